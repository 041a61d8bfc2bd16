package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/request/resources"
)

// serve submits a serving task, dispatches, and returns its run and agent.
func (b *testbench) serve(id, image string) (job.RunKey, string) {
	def := definition(id, checkProfile, 1)
	def.Steps[0].LongRunning, def.Steps[0].TargetMs, def.Steps[0].Image = true, 50, image
	def.Steps[0].Need = resources.Resources{MilliCPU: 40_000, MemoryMB: 1000}
	b.accept(def)
	return onlyEntry(b.t, b.starts())
}

// reportTail reports the tail latency of a serving task, in milliseconds, together with
// other runs.
func (b *testbench) reportTail(agent string, serving job.RunKey, ms int, others ...message.RunState) {
	running := append([]message.RunState{{Key: serving, TailMs: ms, ProgressPct: fullPacePct, PacePct: fullPacePct}}, others...)
	b.report(agent, message.Report{Running: running})
}

func fillingJob(id string, estimateMs int64) *job.Definition {
	def := definition(id, proofProfile, 1)
	def.Steps[0].Fills, def.Steps[0].Image, def.Steps[0].EstimateMs = true, "noisy", estimateMs
	def.Steps[0].Need.MilliCPU = 12_000
	return def
}

// newDisturbedService returns a testbench with one worker and a serving task, whose
// measured latency rises strongly beside the image "noisy".
func newDisturbedService(t *testing.T) (b *testbench, serving job.RunKey) {
	b = newTestbench(t, 1)
	b.join("a")
	serving, agent := b.serve("s", "service")
	require.Equal(t, "a", agent)
	b.reportTail("a", serving, 12)
	b.accept(fillingJob("first", 2000))
	k, _ := onlyEntry(t, b.starts())
	for range 8 {
		b.clock.Advance(testReportInterval)
		b.reportTail("a", serving, 45, message.RunState{Key: k, MilliCPU: 10_000, PacePct: fullPacePct})
	}
	b.report("a", message.Report{Ends: []message.RunEnd{runEnd(k, job.EndDone, 1)}})
	for range 8 {
		b.clock.Advance(testReportInterval)
		b.reportTail("a", serving, 30)
	}
	return b, serving
}

// Guards against a filling task that brings a serving task over its target although its
// job has slack, or although another worker is free.
func TestFillingTaskWaitsOrUsesAnotherWorker(t *testing.T) {
	b, _ := newDisturbedService(t)
	b.accept(fillingJob("second", 2000))
	require.Empty(t, b.starts())
	b.join("b")
	b.tick()
	_, agent := onlyEntry(t, b.starts())
	require.Equal(t, "b", agent)
}

// Guards against a job that misses its objective because its last task, which would slow
// a serving task only briefly, is not placed.
func TestFillingTaskIsPlacedBeforeItsObjective(t *testing.T) {
	b, serving := newDisturbedService(t)
	def := fillingJob("second", 2000)
	b.accept(def)
	require.Empty(t, b.starts())
	due := b.table.jobs["second"].due(b.table.profileOf(b.table.jobs["second"]))
	for due.Sub(b.now()) > 2500*time.Millisecond {
		b.clock.Advance(testReportInterval / 2)
		b.reportTail("a", serving, 30)
		b.tick()
		if len(b.starts()) > 0 {
			return
		}
	}
	t.Fatal("the task was not placed before its objective")
}

// Guards against more filling tasks on a worker whose serving task has been over its
// target for so long that the filling tasks there are about to be paused.
func TestWorkerOverTargetGetsNoFillingTasks(t *testing.T) {
	b, serving := newDisturbedService(t)
	for range 6 {
		b.clock.Advance(testReportInterval)
		b.reportTail("a", serving, 400)
	}
	b.accept(fillingJob("second", 60_000))
	b.clock.Advance(time.Minute) // the job is due, and a high interference cost would be accepted
	for range 6 {
		b.clock.Advance(testReportInterval)
		b.reportTail("a", serving, 400)
		b.tick()
		require.Empty(t, b.starts())
	}
}

// Guards against an interference cost that is accepted for a task of a narrow job and refused for
// the same task of a wide one: with a cost per job, the tasks of wide jobs waited until they were
// late.
func TestCostLimitDoesNotDependOnTheWidth(t *testing.T) {
	var limits []float64
	for _, count := range []int{1, 10, 100} {
		b := newTestbench(t, 1)
		def := fillingJob("j", 1000)
		def.Steps[0].Count = count
		b.accept(def)
		j := b.table.jobs["j"]
		p := b.table.profileOf(j)
		c := candidate{step: j.occurrences[0].steps[0], profile: p, due: j.due(p)}
		last := c.due.Add(-time.Duration(c.step.criticalPathMs) * time.Millisecond)
		limits = append(limits, b.table.costLimit(last, c))
	}
	require.Greater(t, limits[0], 2*baseCostLimit)
	require.InDelta(t, limits[0], limits[1], 1e-9)
	require.InDelta(t, limits[0], limits[2], 1e-9)
}
