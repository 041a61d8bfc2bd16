package lead

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/process/schedule"
	"camphorhead.example/camphorhead/process/term"
)

// waitForEarlier returns how long a term waits for an agent that does not report, with its
// transactions confirmed all the time.
func waitForEarlier(t *testing.T, l *leaderTerm, clock *clockwork.FakeClock) time.Duration {
	t.Helper()
	began := clock.Now()
	for l.table.Load().UnconfirmedAgents > 0 {
		require.Less(t, clock.Since(began), time.Minute)
		clock.Advance(20 * time.Millisecond)
		l.table.ConfirmTerm(clock.Now(), schedule.ConfirmedByStore)
		l.table.Tick(clock.Now())
	}
	return clock.Since(began)
}

// Guards against two runs of a task when a leader waits only for the grants of the process that
// held the term before, which was one of this entry: a leader of an earlier term, which the
// store and the entries do not reach, grants leases until Timing.Outage after its last
// transaction.
func TestRestartedLeaderWaitsForEarlierLeaders(t *testing.T) {
	clock := clockwork.NewFakeClock()
	store := newMemoryStore(t, "a")
	claimTerm(t, newProcess(t, "one", store, clock)) // from now on isolated
	clock.Advance(testTiming.LeaderTimeout)
	claimTerm(t, newProcess(t, "two", store, clock)) // killed at once
	l := claimTerm(t, newProcess(t, "two", store, clock))
	require.Equal(t, uint64(3), l.number)
	require.GreaterOrEqual(t, waitForEarlier(t, l, clock), testTiming.Outage+testTiming.Lease)
}

// Guards against two runs of a task when the leader of the previous term follows, but one of an
// earlier term may still grant leases.
func TestFollowingLeaderDoesNotEndEarlierTerms(t *testing.T) {
	clock := clockwork.NewFakeClock()
	store := newMemoryStore(t, "a")
	claimTerm(t, newProcess(t, "one", store, clock)) // from now on isolated
	clock.Advance(testTiming.LeaderTimeout)
	second := claimTerm(t, newProcess(t, "two", store, clock))
	second.write(t.Context())
	l := claimTerm(t, newProcess(t, "three", store, clock))
	l.recordFollower(&message.Follow{Entry: message.EntryInfo{ID: "two"}, Term: l.number})
	require.GreaterOrEqual(t, waitForEarlier(t, l, clock), testTiming.Outage+testTiming.Lease)
}

// Guards against a wait that is shortened by a message from before the previous leader's term,
// which a link has held back: that leader may still grant leases.
func TestLateMessageDoesNotEndThePreviousTerm(t *testing.T) {
	clock := clockwork.NewFakeClock()
	store := newMemoryStore(t, "a")
	first := claimTerm(t, newProcess(t, "one", store, clock))
	late := message.Follow{Entry: message.EntryInfo{ID: "two"}, Term: first.number}
	second := claimTerm(t, newProcess(t, "two", store, clock)) // from now on isolated
	join(t, second, "a")
	second.write(t.Context())
	l := claimTerm(t, newProcess(t, "one", store, clock))
	l.recordFollower(&late)
	require.GreaterOrEqual(t, waitForEarlier(t, l, clock), testTiming.Outage+testTiming.Lease)
}

// Guards against tasks that wait needlessly after a single change of the leader: the earlier
// leaders' leases are over, and the previous one is known to grant none.
func TestWaitIsShortOnceEarlierTermsAreOver(t *testing.T) {
	clock := clockwork.NewFakeClock()
	store := newMemoryStore(t, "a")
	first := claimTerm(t, newProcess(t, "one", store, clock))
	join(t, first, "a")
	first.write(t.Context())
	restarted := claimTerm(t, newProcess(t, "one", store, clock))
	wait := waitForEarlier(t, restarted, clock)
	require.GreaterOrEqual(t, wait, testTiming.Lease)
	require.Less(t, wait, testTiming.Outage)

	join(t, restarted, "a")
	restarted.write(t.Context())
	next := claimTerm(t, newProcess(t, "two", store, clock))
	next.recordFollower(&message.Follow{Entry: message.EntryInfo{ID: "one"}, Term: next.number})
	wait = waitForEarlier(t, next, clock)
	require.GreaterOrEqual(t, wait, testTiming.Lease)
	require.Less(t, wait, testTiming.Outage)
}

// Guards against two runs of a task when the response to the claim of a term is lost: the
// leader of the term before may still grant leases.
func TestLeaderWaitsAfterAnUncertainClaim(t *testing.T) {
	clock := clockwork.NewFakeClock()
	store := newMemoryStore(t, "a")
	claimTerm(t, newProcess(t, "one", store, clock))
	clock.Advance(testTiming.LeaderTimeout)
	second := newProcess(t, "two", store, clock)
	second.executeStep(t.Context(), term.ReadStore)
	store.loseResponse = true
	l := claimTerm(t, second)
	require.Equal(t, uint64(2), l.number)
	require.GreaterOrEqual(t, waitForEarlier(t, l, clock), testTiming.Outage+testTiming.Lease)
}
