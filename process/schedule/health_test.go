package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/request/job"
)

// Labels: only the worker "scarce" has scarceLabel, only the others have commonLabel.
const (
	scarceLabel = "scarce"
	commonLabel = "common"
)

// maxIdle is the time after which users take a task for lost that waits beside free capacity.
const maxIdle = 3 * time.Second

// failures reports ends of runs as early failures.
type failures struct {
	*testbench
	serials map[string]uint64 // of the latest end by agent
}

// newFailures returns a table with the worker "scarce", the only one with scarceLabel, and others.
func newFailures(t *testing.T, others int) *failures {
	b := &failures{testbench: newTestbench(t, 1), serials: map[string]uint64{}}
	scarce := workerInfo("scarce")
	scarce.Labels = []string{scarceLabel}
	b.report("scarce", message.Report{Session: 1, Full: true, Worker: scarce})
	for _, name := range agentNames(others) {
		w := workerInfo(name)
		w.Labels = []string{commonLabel}
		b.report(name, message.Report{Session: 1, Full: true, Worker: w})
	}
	b.register()
	return b
}

// fillOthers makes the other workers full and returns their runs by agent.
func (b *failures) fillOthers() map[string]job.RunKey {
	b.t.Helper()
	full := definition("full", checkProfile, len(b.table.agents)-1)
	full.Steps[0].Label, full.Steps[0].Need = commonLabel, testCapacity
	b.accept(full)
	runs := map[string]job.RunKey{}
	for k, at := range b.starts() {
		runs[at] = k
	}
	require.Len(b.t, runs, len(b.table.agents)-1)
	return runs
}

func labelled(id string, count int) *job.Definition {
	def := definition(id, checkProfile, count)
	def.Steps[0].Label = scarceLabel
	return def
}

func (b *failures) end(agent string, how job.EndKind, keys ...job.RunKey) {
	var ends []message.RunEnd
	for _, k := range keys {
		b.serials[agent]++
		ends = append(ends, message.RunEnd{Key: k, How: how, Early: how == job.EndFailed, Serial: b.serials[agent]})
	}
	b.report(agent, message.Report{Ends: ends})
}

// advanceAll moves the clock in steps of a report interval at most, with a report of each agent.
func (b *failures) advanceAll(d time.Duration) {
	for d > 0 {
		step := min(d, testReportInterval)
		var agents []string
		for _, a := range b.table.sortedAgents {
			agents = append(agents, a.id)
		}
		b.advance(step, agents...)
		d -= step
	}
}

// startedWithin dispatches repeatedly and reports whether a run of a job is ordered at an agent
// within the given time.
func (b *failures) startedWithin(id, agent string, limit time.Duration) bool {
	for began := b.now(); b.now().Sub(began) <= limit; b.advanceAll(passInterval) {
		for k, at := range b.starts() {
			if k.Task.Job == id {
				return at == agent
			}
		}
	}
	return false
}

// eject makes single starts of two jobs at the worker "scarce" fail.
func (b *failures) eject() {
	b.t.Helper()
	for i := range ejectAfterFailures {
		id := fmt.Sprint("failing-", i)
		b.accept(labelled(id, 1))
		k, at := onlyEntry(b.t, b.starts())
		b.end(at, job.EndFailed, k)
		require.True(b.t, b.table.Cancel(b.now(), id))
	}
	require.True(b.t, b.table.agents["scarce"].health.ejected)
}

// Guards against a sound worker that is shut out after one job that can never be done, whose
// tasks fail at once on any worker (review, case 2).
func TestFailuresOfOneJobDoNotEjectTheWorker(t *testing.T) {
	b := newFailures(t, 10)
	b.accept(labelled("broken", 8))
	for range time.Minute / passInterval {
		var keys []job.RunKey
		for k := range b.starts() {
			keys = append(keys, k)
		}
		b.end("scarce", job.EndFailed, keys...)
		b.commit()
		b.advanceAll(passInterval)
	}
	require.Equal(t, job.Failed, b.state("broken"))
	b.accept(labelled("sound", 2))
	require.True(t, b.startedWithin("sound", "scarce", maxIdle))
}

// Guards against a job that waits beside an idle worker until other starts have ended or
// maxTrialWait is over, although it fits no other worker (review, case 2).
func TestEjectedWorkerTakesTasksThatFitNoOther(t *testing.T) {
	b := newFailures(t, 10)
	b.eject()
	b.accept(labelled("sound", 2))
	require.True(t, b.startedWithin("sound", "scarce", maxIdle))
	k := key("sound", 0, 0, 1)
	b.end("scarce", job.EndDone, k)
	require.False(t, b.table.agents["scarce"].health.ejected)
	_, at := onlyEntry(t, b.starts())
	require.Equal(t, "scarce", at)
}

// Guards against tasks that use up their attempts at a failing worker although another one, which
// is full now, can take them.
func TestTasksWithLimitedAttemptsWaitForOtherWorkers(t *testing.T) {
	b := newFailures(t, 3)
	b.eject()
	running := b.fillOthers()
	b.accept(definition("waiting", checkProfile, 1))
	require.False(t, b.startedWithin("waiting", "scarce", maxIdle))
	b.end("agent-0", job.EndDone, running["agent-0"])
	require.True(t, b.startedWithin("waiting", "agent-0", maxIdle))
}

// Guards against a long-running task that waits for an ejected worker, which has been repaired,
// while all others are full: its failures have no limit, and many at once are no reason for a
// long penalty (review, case 2, the day).
func TestLongRunningTasksUseEjectedWorkers(t *testing.T) {
	b := newFailures(t, 3)
	b.fillOthers()
	const failing = 20
	for i := range failing {
		b.accept(labelled(fmt.Sprint("failing-", i), 1))
	}
	var keys []job.RunKey
	for k, at := range b.starts() {
		require.Equal(t, "scarce", at)
		keys = append(keys, k)
	}
	require.Len(t, keys, failing)
	b.end("scarce", job.EndFailed, keys...)
	for i := range failing {
		require.True(t, b.table.Cancel(b.now(), fmt.Sprint("failing-", i)))
	}
	require.True(t, b.table.agents["scarce"].health.ejected)
	lasting := definition("lasting", checkProfile, 2)
	lasting.Steps[0].LongRunning, lasting.Steps[0].TargetMs = true, 100
	b.accept(lasting)
	require.True(t, b.startedWithin("lasting", "scarce", maxIdle))
}

// Guards against a gang that waits beside idle workers because it needs an ejected one.
func TestGangUsesEjectedWorkers(t *testing.T) {
	b := newFailures(t, 3)
	b.eject()
	gang := definition("gang", checkProfile, 4)
	gang.Steps[0].Gang, gang.Steps[0].Need = true, testCapacity
	b.accept(gang)
	var started map[job.RunKey]string
	for began := b.now(); len(started) == 0 && b.now().Sub(began) <= maxIdle; b.advanceAll(passInterval) {
		started = b.starts()
	}
	require.Len(t, started, 4)
}
