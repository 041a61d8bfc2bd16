package lead

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/process/term"
)

// follow makes an entry follow a leader and waits until the leader has recorded it.
func follow(t *testing.T, n *Node, l *leaderTerm) {
	t.Helper()
	n.executeStep(t.Context(), term.ReadStore)
	require.Eventually(t, func() bool {
		n.followLeader(n.cfg.Clock.Now())
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.leader != nil && n.leader.conn != nil
	}, 10*time.Second, time.Millisecond)
	require.Eventually(t, func() bool { return l.hasActiveFollower(n.cfg.Clock.Now()) }, 10*time.Second, time.Millisecond)
}

// expiresSilentAgent reports whether a leader ends the session of an agent that last reported
// longer ago than its lease, when only the followers can confirm the term.
func expiresSilentAgent(l *leaderTerm, now time.Time) bool {
	before := l.table.Load().Agents
	l.confirmTerm()
	l.table.Tick(now)
	return l.table.Load().Agents < before
}

// Guards against two runs of a task when a leader that is cut off from the store takes its
// followers' silence for consent. It took the wall clock time at which data of a follower had
// last arrived, which lies ahead of the leader's clock after a jump of the wall clock, and is
// later than the message was sent if the leader was paused or the network held it back.
func TestSilentFollowerDoesNotConfirmTheTerm(t *testing.T) {
	clock := clockwork.NewFakeClockAt(time.Now().Add(-time.Minute)) // the wall clock has jumped ahead since the start
	store := newMemoryStore(t)
	l := claimTerm(t, listen(t, newProcess(t, "one", store, clock)))
	follower := listen(t, newProcess(t, "two", store, clock))
	follow(t, follower, l)
	join(t, l, "a")

	clock.Advance(testTiming.Lease + testTiming.Lease/10)
	require.False(t, expiresSilentAgent(l, clock.Now()), "the follower may have begun a term")
	follower.followLeader(clock.Now())
	require.Eventually(t, func() bool { return l.hasActiveFollower(clock.Now()) }, 10*time.Second, time.Millisecond)
	require.False(t, expiresSilentAgent(l, clock.Now()), "the message may be as old as the stamp that it returns")

	l.sendUpdates(true)
	require.Eventually(t, func() bool {
		follower.followLeader(clock.Now())
		return expiresSilentAgent(l, clock.Now())
	}, 10*time.Second, time.Millisecond, "the follower has returned a stamp from after the lease")
}

// Guards against two runs of a task when a leader is cut off from the store and confirms its
// term by its followers, while an entry that does not follow it, such as an added one, has begun
// the next term. An agent that went over to that one must not count as expired at the old leader.
func TestUnknownEntryDoesNotLeadBesideAConfirmedTerm(t *testing.T) {
	clock := clockwork.NewFakeClockAt(time.Now())
	store := newMemoryStore(t)
	cut := &cutStore{memoryStore: store}
	l := claimTerm(t, listen(t, newProcess(t, "one", cut, clock)))
	follower := listen(t, newProcess(t, "two", store, clock))
	follow(t, follower, l)
	l.write(t.Context())
	cut.cut = true
	cutAt := clock.Now()

	added := newProcess(t, "three", store, clock)
	reported := false
	for added.loadedTerm() == nil || l.valid() {
		require.Less(t, clock.Since(cutAt), time.Minute)
		clock.Advance(20 * time.Millisecond)
		if clock.Since(cutAt) >= 3*time.Second && !reported {
			reported = true
			join(t, l, "a") // its last report here: from now on it may follow the other entry
		}
		if step := added.elector.Next(clock.Now()); step != term.Nothing {
			added.executeStep(t.Context(), step)
		}
		sent := clock.Now()
		l.sendUpdates(true)
		require.Eventually(t, func() bool {
			follower.followLeader(clock.Now())
			l.mu.Lock()
			defer l.mu.Unlock()
			return !l.mu.candidates["two"].followedAt.Before(sent)
		}, 10*time.Second, 100*time.Microsecond)
		expired := expiresSilentAgent(l, clock.Now())
		require.False(t, expired && added.loadedTerm() != nil, "%s after the cut", clock.Since(cutAt))
	}
	require.Less(t, clock.Since(cutAt), testTiming.Outage+testTiming.LeaderTimeout)
}

// Guards against a term that is confirmed without an entry which follows it: a message of the
// entry's earlier process, which drained, is handled after one of its next process.
func TestLateDrainingOfAnEarlierProcessRemovesNoCandidate(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := claimTerm(t, newProcess(t, "one", newMemoryStore(t), clock))
	l.addCandidate(&message.Follow{Entry: message.EntryInfo{ID: "two", StartedMs: 1}})
	l.addCandidate(&message.Follow{Entry: message.EntryInfo{ID: "two", StartedMs: 2}})
	l.addCandidate(&message.Follow{Entry: message.EntryInfo{ID: "two", StartedMs: 1}, Draining: true})
	require.Contains(t, l.mu.candidates, "two")
	l.addCandidate(&message.Follow{Entry: message.EntryInfo{ID: "two", StartedMs: 2}, Draining: true})
	require.NotContains(t, l.mu.candidates, "two")
}

// Guards against two runs of a task when a leader that may grant leases for longer than an entry
// that does not follow it waits confirms its term by its followers all that time.
func TestFollowersConfirmNoLongerThanUnknownEntriesWait(t *testing.T) {
	clock := clockwork.NewFakeClock()
	n := newProcess(t, "one", newMemoryStore(t), clock)
	n.cfg.Timing.Outage = time.Minute
	l := claimTerm(t, n)
	l.write(t.Context())
	clock.Advance(5 * time.Second)
	join(t, l, "a")
	clock.Advance(testTiming.Lease + testTiming.Lease/10)
	l.mu.candidates["two"] = candidate{followedAt: clock.Now()}
	require.True(t, l.valid())
	require.False(t, expiresSilentAgent(l, clock.Now()), "an entry that does not follow may have begun a term")
	l.write(t.Context())
	require.True(t, expiresSilentAgent(l, clock.Now()))
}

// Guards against a second leader: an entry that has not followed the leader takes a refused
// connection for the end of the term, although a cut may refuse connections to a leader that
// confirms its term by other followers. A follower may: the term is not confirmed without it.
func TestRefusedConnectionEndsTheTermOfAFollowerOnly(t *testing.T) {
	clock := clockwork.NewFakeClockAt(time.Now())
	store := newMemoryStore(t)
	leader := listen(t, newProcess(t, "one", store, clock))
	l := claimTerm(t, leader)
	follower := listen(t, newProcess(t, "two", store, clock))
	follow(t, follower, l)
	added := listen(t, newProcess(t, "three", store, clock))
	added.executeStep(t.Context(), term.ReadStore)
	require.NoError(t, leader.cfg.Net.Close()) // refuses connections from now on
	for _, n := range []*Node{follower, added} {
		clock.Advance(redialInterval)
		require.Eventually(t, func() bool {
			n.followLeader(clock.Now())
			n.mu.Lock()
			defer n.mu.Unlock()
			return !n.leader.dialedAt.Before(clock.Now()) && !n.leader.dialing
		}, 10*time.Second, time.Millisecond)
		require.Equal(t, n == follower, n.elector.TermEnded(), n.cfg.Self().ID)
	}
}
