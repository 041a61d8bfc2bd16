package lead

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/connection/peer"
	"camphorhead.example/camphorhead/process/metrics"
	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/process/pool"
	"camphorhead.example/camphorhead/process/schedule"
	"camphorhead.example/camphorhead/process/term"
)

// memoryStore is a store in memory that several nodes share.
type memoryStore struct {
	mu           sync.Mutex // guards the fields below
	revision     uint64
	items        map[string]platform.KV
	loseResponse bool // of the next transaction, which takes effect
}

func newMemoryStore(t *testing.T, agents ...string) *memoryStore {
	t.Helper()
	value, err := msgpack.Marshal(agents)
	require.NoError(t, err)
	return &memoryStore{revision: 1, items: map[string]platform.KV{agentsKey: {Key: agentsKey, Value: value, Revision: 1}}}
}

func (s *memoryStore) Read(_ context.Context, key string) (platform.KV, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kv := s.items[key]
	kv.Key = key
	return kv, nil
}

func (s *memoryStore) List(_ context.Context, prefix string) ([]platform.KV, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []platform.KV
	for key, kv := range s.items {
		if strings.HasPrefix(key, prefix) {
			list = append(list, kv)
		}
	}
	slices.SortFunc(list, func(a, b platform.KV) int { return cmp.Compare(a.Key, b.Key) })
	return list, s.revision, nil
}

func (s *memoryStore) Commit(_ context.Context, txn platform.Txn) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict := &platform.ConflictError{}
	holds := true
	for _, e := range txn.Expect {
		kv := s.items[e.Key]
		kv.Key = e.Key
		conflict.Items = append(conflict.Items, kv)
		holds = holds && kv.Revision == e.Revision
	}
	if !holds {
		return 0, conflict
	}
	s.revision++
	for _, p := range txn.Puts {
		s.items[p.Key] = platform.KV{Key: p.Key, Value: p.Value, Revision: s.revision}
	}
	for _, key := range txn.Deletes {
		delete(s.items, key)
	}
	if s.loseResponse {
		s.loseResponse = false
		return 0, platform.ErrUncertain
	}
	return s.revision, nil
}

func (s *memoryStore) Changes(context.Context, string, uint64, time.Duration) ([]platform.Change, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return nil, s.revision, nil
}

// cutStore is the store as one process reaches it.
type cutStore struct {
	*memoryStore
	cut       bool
	committed func() // called after a transaction, before its response; may be nil
}

func (s *cutStore) Commit(ctx context.Context, txn platform.Txn) (uint64, error) {
	if s.cut {
		return 0, platform.ErrUnavailable
	}
	revision, err := s.memoryStore.Commit(ctx, txn)
	if s.committed != nil {
		s.committed()
	}
	return revision, err
}

// Settings of the nodes in tests of several terms.
var testTiming = Timing{
	Lease: 4 * time.Second, ReportInterval: 500 * time.Millisecond, LeaderTimeout: 1500 * time.Millisecond,
	Outage: 8 * time.Second, Retention: time.Minute, CallTimeout: testCallTimeout, CommitInterval: 20 * time.Millisecond,
}

// startOfProcess numbers the processes of tests, so that two of one entry differ.
var startOfProcess int64

// newProcess returns the node of a process of an entry. It has no ticker: tests call its steps.
func newProcess(t *testing.T, id string, store platform.Store, clock clockwork.Clock) *Node {
	t.Helper()
	startOfProcess++
	self := message.EntryInfo{ID: id, StartedMs: startOfProcess}
	workers := pool.New(2, 64)
	n := New(Config{
		Self: func() message.EntryInfo { return self }, Clock: clock, Store: store, Pool: workers, Metrics: metrics.New(),
		ConfigVersion: func() uint64 { return 1 }, Timing: testTiming,
	})
	t.Cleanup(func() {
		n.storePool.Close()
		workers.Close()
	})
	return n
}

// listen connects a node to others. It is called before the first step of the node.
func listen(t *testing.T, n *Node) *Node {
	t.Helper()
	self := n.cfg.Self()
	n.cfg.Net = peer.New(peer.Config{
		Listen: "127.0.0.1:0", Key: []byte("key"), Hello: func() message.Hello { return message.Hello{ID: self.ID, Role: message.RoleEntry} },
	}, n.cfg.Pool, nodeHandler{n})
	require.NoError(t, n.cfg.Net.Start())
	t.Cleanup(func() { require.NoError(t, n.cfg.Net.Close()) })
	self.Address = n.cfg.Net.Address()
	n.cfg.Self = func() message.EntryInfo { return self }
	return n
}

// nodeHandler passes the messages of other processes to a node.
type nodeHandler struct{ node *Node }

func (h nodeHandler) Handle(ctx context.Context, r peer.Request) { h.node.Handle(ctx, r) }
func (h nodeHandler) Queue(peer.Request) bool                    { return false }

// claimTerm reads the store and claims the next term.
func claimTerm(t *testing.T, n *Node) *leaderTerm {
	t.Helper()
	n.executeStep(t.Context(), term.ReadStore)
	n.executeStep(t.Context(), term.ClaimTerm)
	l := n.loadedTerm()
	require.NotNil(t, l)
	return l
}

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

// join makes an agent without runs report to a leader.
func join(t *testing.T, l *leaderTerm, agent string) {
	t.Helper()
	report := message.Report{Agent: agent, Session: 1, Sequence: 1, Full: true, Worker: &message.WorkerInfo{ID: agent, Reachable: true}}
	require.NotZero(t, l.table.ApplyReport(l.node.cfg.Clock.Now(), &report).LeaseMs)
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
