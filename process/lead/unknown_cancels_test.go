package lead

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/process/jobstore"
	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/request/outcome"
)

// submitLate submits a job at an entry whose create the store executes late.
func submitLate(t *testing.T, entry *Node, store *lateStore, id string) {
	t.Helper()
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	store.faults = []lateFault{{late: true}}
	require.Equal(t, outcome.StoreUncertain, kindOfError(entry.Submit(ended, testJob(id))))
	require.Len(t, store.pending, 1)
}

// Guards against a job that runs although its cancellation had the answer that there is none, because the
// store executes its create late (review, case 9).
func TestCancelExcludesLateCreate(t *testing.T) {
	for name, cancel := range map[string]func(*Node) (bool, error){
		"cancel":  func(n *Node) (bool, error) { return n.Cancel(t.Context(), "j") },
		"exclude": func(n *Node) (bool, error) { excluded, err := n.Exclude(t.Context(), "j"); return !excluded, err },
	} {
		clock, shared := clockwork.NewFakeClock(), newMemoryStore(t)
		slow := &lateStore{memoryStore: shared}
		one, two := newProcess(t, "one", slow, clock), newProcess(t, "two", shared, clock)
		submitLate(t, one, slow, "j")
		known, err := cancel(two)
		require.NoError(t, err, name)
		require.False(t, known, name)
		slow.executePending(t.Context())
		requireNoJob(t, two, shared, clock, "j")
	}
}

// Guards against an ID that cannot be used any more after a cancellation that found no job, against a
// repeated submission of an accepted job that is refused, and against two jobs under one ID.
func TestJobOfACancelledIDIsAccepted(t *testing.T) {
	clock, shared := clockwork.NewFakeClock(), newMemoryStore(t)
	slow := &lateStore{memoryStore: shared}
	one, two, three := newProcess(t, "one", slow, clock), newProcess(t, "two", shared, clock), newProcess(t, "three", shared, clock)
	submitLate(t, one, slow, "j")
	for range 2 {
		known, err := two.Cancel(t.Context(), "j")
		require.NoError(t, err)
		require.False(t, known)
	}
	err := three.Submit(t.Context(), testJob("j"))
	require.Equal(t, outcome.Overloaded, kindOfError(err), "it may have arrived before the cancellation")
	require.Equal(t, outcome.RanNo, outcome.From(err).Ran())
	require.Positive(t, outcome.From(err).RetryAfterSeconds)
	require.NoError(t, three.Submit(t.Context(), testJob("j")), "it has arrived after it")
	for _, n := range []*Node{one, two, three} {
		require.NoError(t, n.Submit(t.Context(), testJob("j")), "a repetition")
	}
	slow.executePending(t.Context())
	require.True(t, recorded(t, shared, "j"))

	require.NoError(t, two.Submit(t.Context(), testJob("k")))
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	known, err := two.Cancel(ended, "k")
	require.True(t, known)
	require.Equal(t, outcome.NoLeader, kindOfError(err), "no entry leads")
}

// Guards against a client that hands an ID in anew and is refused by one entry after the other, because none
// of them knows that the submission has arrived after the cancellation.
func TestFollowersKnowTheStoreRevision(t *testing.T) {
	r := newCancelRig(t)
	_, err := newProcess(t, "three", r.store, r.clock).Cancel(t.Context(), "j")
	require.NoError(t, err)
	r.l.write(t.Context())
	r.advance(time.Millisecond, true)
	for _, n := range []*Node{r.l.node, r.follower} {
		_, _, err = n.Create(t.Context(), testJob("j"))
		require.NoError(t, err, n.cfg.Self().ID)
	}
}

// Guards against cancellations of unknown jobs that fill the store and its limit of writes, and against an
// answer that none exists without a record that keeps it so.
func TestCancelsOfUnknownJobsAreBounded(t *testing.T) {
	clock, store := clockwork.NewFakeClock(), newMemoryStore(t)
	n := newProcess(t, "one", store, clock)
	n.currentEntries = []message.EntryInfo{{ID: "one"}, {ID: "two"}, {ID: "three"}}
	records := func() int {
		items, _, err := store.List(t.Context(), "in/job/")
		require.NoError(t, err)
		return len(items)
	}
	cancels := 0
	cancelUntilRefused := func() *outcome.Error {
		for {
			cancels++
			known, err := n.Cancel(t.Context(), fmt.Sprint("j", cancels))
			require.False(t, known)
			if err != nil {
				return outcome.From(err)
			}
		}
	}
	err := cancelUntilRefused()
	require.Equal(t, outcome.Overloaded, err.Kind)
	require.Equal(t, unknownCancelRetry, err.RetryAfterSeconds)
	require.Equal(t, unknownCancelBurst, records())
	clock.Advance(time.Second)
	cancelUntilRefused()
	require.Equal(t, unknownCancelBurst+unknownCancelsPerSecond/3, records())

	l := claimTerm(t, newProcess(t, "leader", store, clock))
	l.purge(t.Context())
	clock.Advance(jobstore.MaxCreateTime + platform.LateCallWindow + purgeInterval)
	l.purge(t.Context())
	require.Zero(t, records())
}
