package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/request/job"
)

// Guards against a long-running task that never starts because small short tasks take the
// free capacity of every worker as soon as it appears.
func TestLongRunningTasksGetCapacity(t *testing.T) {
	b := newTestbench(t, 1)
	b.join("a")
	b.join("b")
	small := func(id string) *job.Definition {
		def := definition(id, checkProfile, 1)
		def.Steps[0].Need.MilliCPU = 16_000
		return def
	}
	running := map[job.RunKey]string{}
	for i := range 8 {
		b.accept(small(fmt.Sprintf("old-%d", i)))
	}
	for k, agent := range b.starts() {
		running[k] = agent
	}
	require.Len(t, running, 8)
	longRunning := definition("lasting", checkProfile, 1)
	longRunning.Steps[0].LongRunning, longRunning.Steps[0].Need.MilliCPU = true, 32_000
	b.accept(longRunning)
	serial := map[string]uint64{}
	for i := range 8 {
		// One of the small tasks ends, on each worker in turn, and another one is submitted.
		b.accept(small(fmt.Sprintf("new-%d", i)))
		for k, agent := range running {
			if agent != []string{"a", "b"}[i%2] {
				continue
			}
			serial[agent]++
			b.report(agent, message.Report{Ends: []message.RunEnd{runEnd(k, job.EndDone, serial[agent])}})
			delete(running, k)
			break
		}
		for k, agent := range b.starts() {
			if k.Task.Job == "lasting" {
				return
			}
			running[k] = agent
		}
	}
	t.Fatal("the long-running task has not started")
}

// Guards against stop orders for running long-running tasks. Neither waiting work of a
// higher priority, a draining worker, a new session of the agent nor the next leader may
// cause one; cancelling the job does.
func TestLongRunningTasksAreNotStopped(t *testing.T) {
	b := newTestbench(t, 1)
	b.join("a")
	b.join("b")
	longRunning := definition("lasting", proofProfile, 2) // the lower of two priorities
	longRunning.Steps[0].LongRunning, longRunning.Steps[0].MaxUnavailable, longRunning.Steps[0].Spread = true, 1, 1
	longRunning.Steps[0].Need.MilliCPU = 40_000
	b.accept(longRunning)
	running := b.starts()
	require.Len(t, running, 2)
	at := map[string]job.RunKey{}
	for k, agent := range running {
		at[agent] = k
		b.report(agent, message.Report{Running: []message.RunState{{Key: k, PacePct: fullPacePct, ProgressPct: 100}}})
	}
	requireNoStops := func(event string) { require.Empty(t, stops(b), event) }
	urgent := definition("urgent", checkProfile, 6)
	urgent.Steps[0].Need.MilliCPU = 30_000
	b.accept(urgent)
	b.tick()
	requireNoStops("work of a higher priority")

	draining := workerInfo("a")
	draining.Draining, draining.LeavesInMs = true, 5000
	b.report("a", message.Report{Worker: draining})
	b.tick()
	requireNoStops("a draining worker")

	b.report("b", message.Report{
		Session: 2, Full: true, Worker: workerInfo("b"), Running: []message.RunState{{Key: at["b"], PacePct: fullPacePct, ProgressPct: 100}},
	})
	b.tick()
	requireNoStops("a new session")

	next := newTestbench(t, 2)
	next.clock = b.clock
	next.table = newTable(b.clock, 2)
	until := b.now().Add(time.Minute)
	next.table.Restore(b.now(), []Restored{{Definition: longRunning, Term: 1}, {Definition: urgent, Term: 1}}, leasesEnding(map[string]time.Time{"a": until, "b": until}))
	for agent, k := range at {
		next.report(agent, message.Report{
			Session: 3, Full: true, Worker: workerInfo(agent), Running: []message.RunState{{Key: k, PacePct: fullPacePct, ProgressPct: 100}},
		})
	}
	next.register()
	next.tick()
	require.Empty(t, stops(next), "the next leader")
	require.True(t, next.table.Cancel(next.now(), "lasting"))
	require.ElementsMatch(t, []job.RunKey{at["a"], at["b"]}, stops(next))
}

// stops dispatches and returns the runs that the orders stop.
func stops(b *testbench) (keys []job.RunKey) {
	for _, o := range b.table.Dispatch(b.now()) {
		for _, s := range o.Orders.Stops {
			keys = append(keys, s.Key)
		}
	}
	return keys
}
