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
	self := message.EntryInfo{ID: id, Address: "127.0.0.1:1", StartedMs: startOfProcess}
	workers := pool.New(2, 16)
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
	l.recordFollower("two")
	require.GreaterOrEqual(t, waitForEarlier(t, l, clock), testTiming.Outage+testTiming.Lease)
}

// Guards against tasks that wait needlessly after a single change of the leader: the earlier
// leaders' leases are over, and the previous one is known to grant none.
func TestWaitIsShortOnceEarlierTermsAreOver(t *testing.T) {
	clock := clockwork.NewFakeClock()
	store := newMemoryStore(t, "a")
	first := claimTerm(t, newProcess(t, "one", store, clock))
	waitForEarlier(t, first, clock)
	first.write(t.Context())
	second := claimTerm(t, newProcess(t, "one", store, clock)) // has no agent in the table
	require.Less(t, waitForEarlier(t, second, clock), testTiming.Outage)
	second.write(t.Context())
	third := newProcess(t, "two", store, clock)
	third.executeStep(t.Context(), term.ReadStore)
	third.executeStep(t.Context(), term.ClaimTerm)
	l := third.ownTerm.Load()
	l.recordFollower("one")
	require.Less(t, waitForEarlier(t, l, clock), testTiming.Outage)
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
