package lead

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/process/jobstore"
)

// Guards against a job that runs again although it has ended: an entry that has not reached the
// leader for longer than the retention repeats its notice of the job, which the leader found in the
// store, executed and purged meanwhile.
func TestNoticeOfAPurgedJobIsDropped(t *testing.T) {
	clock := clockwork.NewFakeClockAt(time.Now())
	store := newMemoryStore(t)
	leader := claimTerm(t, newProcess(t, "leader", store, clock))
	entry := newProcess(t, "entry", store, clock)
	stored, created, err := entry.jobs.Create(t.Context(), testJob("j"), leader.number)
	require.NoError(t, err)
	require.True(t, created)
	entry.forward(&stored)
	for name, n := range map[string]*Node{"another process leads": entry, "this process leads": leader.node} {
		n.notifyLeader(submittedKey("j"), message.KindSubmitted, &message.Submitted{
			Definition: stored.Definition, Term: stored.Term, Revision: stored.Revision,
		})
		clock.Advance(testTiming.Retention/2 - time.Second)
		n.mu.Lock()
		require.Len(t, n.dueNotices(clock.Now()), 1, "%s: the leader may not have found the job yet", name)
		n.mu.Unlock()
	}

	leader.accept(&jobstore.StoredJob{ID: "j", Definition: stored.Definition, Term: stored.Term, Revision: stored.Revision}, "store")
	require.True(t, leader.table.Cancel(clock.Now(), "j"))
	leader.transact(t.Context())
	clock.Advance(testTiming.Retention)
	leader.purge(t.Context())
	_, known := leader.table.State("j")
	require.False(t, known)
	_, found, err := entry.jobs.Lookup(t.Context(), "j")
	require.NoError(t, err)
	require.False(t, found)

	entry.mu.Lock()
	require.Empty(t, entry.dueNotices(clock.Now()))
	entry.mu.Unlock()
	leader.node.applyOwnNotices(leader)
	state, known := leader.table.State("j")
	require.False(t, known, "the job is %s again", state)
}
