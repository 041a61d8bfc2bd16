package lead

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/process/jobstore"
	"camphorhead.example/camphorhead/request/job"
)

// cancelAtStore records a cancellation as an entry does that does not notify the leader.
func cancelAtStore(t *testing.T, n *Node, id string) jobstore.Cancellation {
	t.Helper()
	c, err := n.recordCancellation(t.Context(), id)
	require.NoError(t, err)
	require.NotZero(t, c.Revision)
	return c
}

// storeJob records a job as an entry does that does not notify the leader.
func storeJob(t *testing.T, n *Node, id string) *jobstore.StoredJob {
	t.Helper()
	stored, created, err := n.jobs.Create(t.Context(), testJob(id), 1)
	require.NoError(t, err)
	require.True(t, created)
	return &stored
}

// Guards against a job that is handed in under the ID of a cancelled one and is cancelled by a late copy of
// that cancellation: the store executes it late, a notice is repeated, or the leader finds its record.
func TestLateCancellationConcernsNoLaterJob(t *testing.T) {
	clock, shared := clockwork.NewFakeClock(), newMemoryStore(t)
	slow := &lateStore{memoryStore: shared}
	l := newSchedulingLeaderAt(t, shared, clock)
	entry := newProcess(t, "entry", slow, clock)
	l.accept(storeJob(t, entry, "j"), "store")
	slow.faults = []lateFault{{late: true}}
	_, err := entry.recordCancellation(t.Context(), "j")
	require.Error(t, err)
	c := cancelAtStore(t, l.node, "j")
	l.cancel("j", c.Revision, "store")
	for l.table.DirtyCount() > 0 {
		l.transact(t.Context())
	}
	clock.Advance(testTiming.Retention)
	l.purge(t.Context())

	slow.executePending(t.Context())
	_, found := shared.items["in/cancel/j"]
	require.False(t, found, "a cancellation without a job stays in the store for good")
	stored := storeJob(t, entry, "j")
	l.accept(stored, "store")
	l.cancelNoticed(&message.JobRef{Job: "j", Revision: c.Revision}, "entry")
	state, known := l.table.State("j")
	require.True(t, known)
	require.Equal(t, job.Accepted, state)
	require.Zero(t, l.table.Load().Runs)
	l.cancelNoticed(&message.JobRef{Job: "j", Revision: stored.Revision + 1}, "entry")
	l.transact(t.Context())
	state, _ = l.table.State("j")
	require.Equal(t, job.Cancelled, state)
}

// Guards against starts of a job whose cancellation reaches the leader before the job does.
func TestCancellationOvertakesItsJob(t *testing.T) {
	l := newSchedulingLeader(t)
	stored := storeJob(t, l.node, "j")
	l.cancelNoticed(&message.JobRef{Job: "j", Revision: cancelAtStore(t, l.node, "j").Revision}, "entry")
	l.accept(stored, "entry")
	l.transact(t.Context())
	state, _ := l.table.State("j")
	require.Equal(t, job.Cancelled, state)
}

// Guards against a cancellation that stays in the store for good, because the leader had written the end of
// its job before it found the cancellation.
func TestCancellationIsPurgedWithItsJob(t *testing.T) {
	l := newSchedulingLeader(t)
	store := l.node.cfg.Store.(*memoryStore)
	l.accept(storeJob(t, l.node, "j"), "store")
	c := cancelAtStore(t, l.node, "j")
	l.table.Cancel(l.node.cfg.Clock.Now(), "j")
	l.transact(t.Context())
	require.Contains(t, store.items, "in/cancel/j")
	l.cancel("j", c.Revision, "store")
	l.node.cfg.Clock.(*clockwork.FakeClock).Advance(testTiming.Retention)
	l.purge(t.Context())
	require.NotContains(t, store.items, "in/cancel/j")
	require.NotContains(t, store.items, "in/job/j")
}

// Guards against a write for each cancelled job that deletes a key again: the leader finds the cancellation in
// the inbox once more after it has deleted it with the job's end.
func TestDeletedCancellationIsNotPurgedAgain(t *testing.T) {
	l := newSchedulingLeader(t)
	l.accept(storeJob(t, l.node, "j"), "store")
	c := cancelAtStore(t, l.node, "j")
	l.cancel("j", c.Revision, "entry")
	l.transact(t.Context())
	require.NotContains(t, l.node.cfg.Store.(*memoryStore).items, "in/cancel/j")
	l.cancel("j", c.Revision, "store")
	l.node.cfg.Clock.(*clockwork.FakeClock).Advance(testTiming.Retention)
	before := l.node.cfg.Store.(*memoryStore).revision
	l.purge(t.Context())
	require.Equal(t, before+1, l.node.cfg.Store.(*memoryStore).revision, "one transaction deletes the job")
}

// Guards against a job under the ID of one that has ended and was purged, for which an entry reports the old
// state and takes no submission or cancellation.
func TestEntryForgetsFinalStates(t *testing.T) {
	clock, shared := clockwork.NewFakeClock(), newMemoryStore(t)
	n := newProcess(t, "one", shared, clock)
	n.states.set("j", "p", job.Done)
	require.NoError(t, n.Submit(t.Context(), testJob("j")))
	require.False(t, recorded(t, shared, "j"), "it has ended")
	clock.Advance(testTiming.Retention)
	require.NoError(t, n.Submit(t.Context(), testJob("j")))
	require.True(t, recorded(t, shared, "j"))
	state, known, err := n.State(t.Context(), "j")
	require.NoError(t, err)
	require.True(t, known)
	require.Equal(t, job.Accepted, state)
	clock.Advance(time.Second)
	n.states.apply([]message.JobUpdate{{Job: "j", Profile: "p", State: job.Running}}, nil)
	state, _ = n.states.get("j")
	require.Equal(t, job.Running, state)
}
