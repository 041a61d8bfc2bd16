package lead

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/process/term"
)

// Guards against a second leader: the claim of an entry that does not follow takes effect after
// another transaction of the leader, which may confirm its term by its followers from then on.
func TestUnknownEntryDoesNotClaimBesideANewHeartbeat(t *testing.T) {
	clock := clockwork.NewFakeClock()
	store := newMemoryStore(t)
	l := claimTerm(t, newProcess(t, "one", store, clock))
	l.write(t.Context())
	added := newProcess(t, "three", store, clock)
	added.executeStep(t.Context(), term.ReadStore)
	l.write(t.Context())
	added.executeStep(t.Context(), term.ClaimTerm)
	require.Nil(t, added.ownTerm.Load())
	added.executeStep(t.Context(), term.ClaimTerm)
	require.NotNil(t, added.ownTerm.Load(), "there was no transaction since the latest read")
}

// Guards against leases that a new leader grants longer than Timing.Outage after its claim,
// because the response, or the process, was delayed.
func TestRightToGrantCountsFromTheClaim(t *testing.T) {
	clock := clockwork.NewFakeClock()
	store := &cutStore{memoryStore: newMemoryStore(t), committed: func() { clock.Advance(testTiming.Outage) }}
	l := claimTerm(t, newProcess(t, "one", store, clock))
	require.False(t, l.valid())
}

// Guards against a second leader: the response to the claim of a term arrives after another
// entry has begun the next one and this entry has followed it, so that it counts as a leader that
// grants nothing any more.
func TestSupersededClaimBeginsNoTerm(t *testing.T) {
	clock := clockwork.NewFakeClock()
	store := &cutStore{memoryStore: newMemoryStore(t)}
	n := newProcess(t, "one", store, clock)
	n.executeStep(t.Context(), term.ReadStore)
	store.committed = func() {
		n.applyAnnouncement(term.View{Record: term.Record{Term: 2, Holder: message.EntryInfo{ID: "two"}}, Revision: 9})
	}
	n.executeStep(t.Context(), term.ClaimTerm)
	require.Nil(t, n.ownTerm.Load())
	_, number := n.Leads()
	require.Equal(t, uint64(2), number)
}

// Guards against a term that counts as ended before its leader has received the response to its
// claim: a second leader would begin beside it.
func TestClaimInProgressIsNoEndOfTheTerm(t *testing.T) {
	clock := clockwork.NewFakeClock()
	store := newMemoryStore(t)
	slow := &cutStore{memoryStore: store}
	other := listen(t, newProcess(t, "two", store, clock))
	slow.committed = func() {
		other.executeStep(t.Context(), term.ReadStore)
		other.followLeader(clock.Now())
		require.Eventually(t, func() bool {
			other.mu.Lock()
			defer other.mu.Unlock()
			return !other.leader.dialing
		}, 10*time.Second, time.Millisecond)
		require.Equal(t, uint64(1), other.elector.Term())
		require.False(t, other.elector.TermEnded())
	}
	claimTerm(t, listen(t, newProcess(t, "one", slow, clock)))
}

// Guards against an entry that leads after it has followed the leader as a draining entry, which
// no longer counts it among those that may begin a term: its claim was in progress.
func TestDrainingWaitsForItsClaim(t *testing.T) {
	clock := clockwork.NewFakeClock()
	store := &cutStore{memoryStore: newMemoryStore(t)}
	n := newProcess(t, "one", store, clock)
	ctx, cancel := context.WithCancel(t.Context())
	drained, waiting := make(chan struct{}), make(chan struct{})
	store.committed = func() {
		store.committed = nil // the hand-over commits too
		go func() {
			n.HandOver(ctx)
			close(drained)
		}()
		go func() {
			if clock.BlockUntilContext(ctx, 1) == nil {
				close(waiting)
			}
		}()
		select {
		case <-drained:
			t.Error("the claim is in progress")
		case <-waiting:
		}
	}
	claimTerm(t, n)
	cancel()
	<-drained
	require.Nil(t, n.ownTerm.Load())
	n.executeStep(t.Context(), term.ClaimTerm)
	require.Nil(t, n.ownTerm.Load())
}
