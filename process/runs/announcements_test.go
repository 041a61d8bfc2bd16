package runs

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/request/resources"
)

// smallCapacity has room for two of the tests' runs.
var smallCapacity = resources.Resources{MilliCPU: 2000, MemoryMB: 2000}

// runsOf returns n runs of different tasks of a job.
func runsOf(id string, n int) (keys []job.RunKey) {
	for i := range n {
		keys = append(keys, job.RunKey{Task: job.TaskID{Job: id, Index: i}, Run: 1})
	}
	return keys
}

// Guards against runs that a worker restarted under its ID has no room for, admitted by the
// capacity of the previous instance before the new one has announced itself.
func TestRestartedWorkerGetsNoRunsUntilAnnounced(t *testing.T) {
	r := newRig(t)
	r.poll(r.node)
	r.worker.restart()
	r.poll(r.node)
	r.orderStarts(r.node, runsOf("early", 4)...)
	require.Zero(t, r.node.Count(), "admitted by the capacity of the previous instance")
	r.announce(r.node, smallCapacity, 1)
	r.poll(r.node)
	r.node.extendGrant(r.clock.Now().Add(testGrant))
	r.orderStarts(r.node, runsOf("later", 4)...)
	require.Equal(t, 2, r.node.Count())
}

// Guards against runs that were admitted by the capacity of one worker instance and are started
// at the next one.
func TestAdmittedRunsAreNotStartedAtTheNextInstance(t *testing.T) {
	r := newRig(t)
	r.poll(r.node)
	c := r.node.admitOrders(ordersFor(runsOf("j", 4)...), time.Time{})
	require.Len(t, c.starts, 4)
	r.worker.restart()
	r.announce(r.node, smallCapacity, 1)
	r.poll(r.node)
	r.poll(r.node)
	r.node.sendCalls(c)
	r.eventually("the starts are given up", func() bool { return r.node.Count() == 0 })
	r.worker.mu.Lock()
	defer r.worker.mu.Unlock()
	require.Empty(t, r.worker.running)
}

// Guards against a new worker instance whose announcements are ignored because the wall clock
// was set back before it started, and against a delayed announcement of an earlier instance that
// replaces its description.
func TestCapacityIsThatOfTheListedInstance(t *testing.T) {
	r := newRig(t)
	r.poll(r.node)
	earlier := r.worker.startedMs
	r.worker.restart()
	r.worker.startedMs = earlier - 60_000
	r.announce(r.node, smallCapacity, 1)
	r.poll(r.node)
	require.Equal(t, smallCapacity, r.node.cfg.Ledger.Capacity(), "the new instance's announcement is ignored")
	r.node.Announce(message.WorkerInfo{ID: "i-1", StartedMs: earlier, Service: "s", Capacity: testCapacity}, 9)
	r.poll(r.node)
	require.Equal(t, smallCapacity, r.node.cfg.Ledger.Capacity(), "a delayed announcement is in force")
	require.True(t, fullReport(r.node).Worker.Reachable)
}

// Guards against starts at a worker that has announced that it is draining or has departed, also
// if an older announcement arrives afterwards.
func TestDrainingActsAtOnce(t *testing.T) {
	for _, departs := range []bool{false, true} {
		r := newRig(t)
		w := message.WorkerInfo{ID: "i-1", StartedMs: r.worker.startedMs, Service: "s", Capacity: testCapacity, Draining: true}
		r.node.Announce(w, 5)
		if departs {
			r.node.Withdraw("i-1")
		}
		w.Draining = false
		r.node.Announce(w, 4)
		require.True(t, r.node.Draining())
		r.orderStarts(r.node, runKey("j", 1))
		require.Zero(t, r.node.Count())
	}
}

// Guards against a full report, and so a session, before the listed instance is described, and
// against an instance that stays without runs although it has announced itself.
func TestAnnouncementBeforeFirstListing(t *testing.T) {
	r := newRig(t)
	n := r.newUnannouncedNode()
	n.Announce(message.WorkerInfo{ID: "other", StartedMs: 1, Service: "s", Capacity: testCapacity}, 1)
	r.poll(n)
	require.False(t, n.ready())
	r.announce(n, smallCapacity, 1)
	require.True(t, n.ready())
	require.Equal(t, smallCapacity, n.cfg.Ledger.Capacity())
	require.True(t, n.WorkerReachable())
}

// Guards against stops that the leader orders beside those by which the agent carries out a planned
// stop, and against a departure of the worker that the leader takes for a planned stop.
func TestPlannedStopsAreReportedAsSuch(t *testing.T) {
	r := newRig(t)
	r.poll(r.node)
	r.node.SetPlannedStop(true)
	w := fullReport(r.node).Worker
	require.True(t, w.Draining && w.PlannedStop)
	r.node.SetPlannedStop(false)
	var report message.Report
	r.node.fillReport(&report, 0)
	require.NotNil(t, report.Worker, "the end of the planned stop is not reported")
	require.False(t, report.Worker.Draining || report.Worker.PlannedStop)
	r.node.Announce(message.WorkerInfo{ID: "i-1", StartedMs: r.worker.startedMs, Service: "s", Capacity: testCapacity, Draining: true, LeavesInMs: 5500}, 5)
	w = fullReport(r.node).Worker
	require.True(t, w.Draining && !w.PlannedStop)
	require.Equal(t, int64(5500), w.LeavesInMs)
}

// Guards against a new leader that believes a departing worker to stay for as long as it announced to
// the previous one, and against a leader that does not learn that a worker leaves earlier.
func TestTimeOfDepartureIsReportedAsItIs(t *testing.T) {
	r := newRig(t)
	r.poll(r.node)
	announce := func(leavesInMs int64, sequence uint64) {
		r.node.Announce(message.WorkerInfo{ID: "i-1", StartedMs: r.worker.startedMs, Service: "s", Capacity: testCapacity, Draining: true, LeavesInMs: leavesInMs}, sequence)
	}
	changes := func() *message.WorkerInfo {
		var report message.Report
		r.node.fillReport(&report, 0)
		return report.Worker
	}
	announce(60_000, 5)
	require.Equal(t, int64(60_000), changes().LeavesInMs)
	r.clock.Advance(4 * time.Second)
	require.Equal(t, int64(56_000), fullReport(r.node).Worker.LeavesInMs)
	announce(55_900, 6)
	require.Nil(t, changes(), "a repetition")
	announce(5500, 7)
	require.Equal(t, int64(5500), changes().LeavesInMs)
	r.clock.Advance(time.Minute)
	require.Equal(t, int64(1), fullReport(r.node).Worker.LeavesInMs)
}
