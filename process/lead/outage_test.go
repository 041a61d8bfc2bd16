package lead

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/process/metrics"
	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/process/pool"
	"camphorhead.example/camphorhead/process/schedule"
	"camphorhead.example/camphorhead/process/term"
	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/request/outcome"
)

const testCallTimeout = 700 * time.Millisecond

// failingStore is an empty store that does not respond while failing is set. Each such call
// advances the test's clock by the whole retry limit of a store call.
type failingStore struct {
	clock   *clockwork.FakeClock
	failing bool
	calls   int
}

func (s *failingStore) respond() error {
	s.calls++
	if s.failing {
		s.clock.Advance(retryHalfTimeouts * testCallTimeout / 2)
		return platform.ErrUncertain
	}
	return nil
}

func (s *failingStore) Read(context.Context, string) (platform.KV, error) {
	return platform.KV{}, s.respond()
}

func (s *failingStore) ReadAt(ctx context.Context, key string) (platform.KV, uint64, error) {
	kv, err := s.Read(ctx, key)
	return kv, 1, err
}

func (s *failingStore) List(context.Context, string) ([]platform.KV, uint64, error) {
	return nil, 1, s.respond()
}

func (s *failingStore) Commit(context.Context, platform.Txn) (uint64, error) { return 1, s.respond() }

func (s *failingStore) Changes(context.Context, string, uint64, time.Duration) ([]platform.Change, uint64, error) {
	return nil, 1, s.respond()
}

func newTestNode(t *testing.T) (*Node, *failingStore, *clockwork.FakeClock) {
	t.Helper()
	clock := clockwork.NewFakeClock()
	store := &failingStore{clock: clock}
	workers := pool.New(2, 16)
	n := New(Config{
		Self: func() message.EntryInfo { return message.EntryInfo{ID: "entry"} }, Clock: clock, Store: store,
		Pool: workers, Metrics: metrics.New(),
		Timing: Timing{CallTimeout: testCallTimeout, LeaderTimeout: 1500 * time.Millisecond, Retention: time.Minute},
	})
	t.Cleanup(func() {
		n.storePool.Close()
		workers.Close()
	})
	return n, store, clock
}

// Guards against callers that wait until their deadline at an entry which the store does
// not serve, while other entries could accept their jobs.
func TestIsolatedEntryRefusesAtOnce(t *testing.T) {
	n, store, clock := newTestNode(t)
	def := &job.Definition{ID: "j", Steps: []job.Step{{Count: 1}}}
	require.True(t, n.InService())
	store.failing = true
	began := clock.Now()
	_, _, err := n.Create(t.Context(), def)
	require.Equal(t, outcome.StoreUncertain, outcome.From(err).Kind, "a call without a response may have taken effect")
	require.LessOrEqual(t, clock.Since(began), 2*testCallTimeout)
	clock.Advance(testCallTimeout)
	require.False(t, n.InService())

	_, _, err = n.Create(t.Context(), def) // the probe
	require.Equal(t, outcome.StoreUncertain, outcome.From(err).Kind)
	calls, now := store.calls, clock.Now()
	n.breaker.probedAt.Store(now.UnixNano())
	_, _, err = n.Create(t.Context(), def)
	require.Equal(t, outcome.StoreUnavailable, outcome.From(err).Kind)
	require.Equal(t, outcome.RanNo, outcome.From(err).Ran())
	require.Equal(t, calls, store.calls)
	require.Equal(t, now, clock.Now())
}

// Guards against an entry that never accepts requests again after an outage, because
// without requests nothing probes the store.
func TestEntryDetectsStoreRecovery(t *testing.T) {
	n, store, clock := newTestNode(t)
	n.leaderReady.Store(true)
	store.failing = true
	n.breaker.record(store.respond())
	clock.Advance(testCallTimeout)
	require.False(t, n.InService())
	store.failing = false
	clock.Advance(probeInterval)
	n.tick(t.Context())
	require.Eventually(t, n.InService, 5*time.Second, time.Millisecond)
}

// Guards against an entry that stays in the load balancer's rotation although no leader
// sends it the states of jobs, and against one that leaves it at each change of the leader.
func TestEntryWithoutLeaderIsOutOfService(t *testing.T) {
	n, _, clock := newTestNode(t)
	n.trackLeader(clock.Now())
	clock.Advance(leaderlessGracePeriod - time.Millisecond)
	require.True(t, n.InService())
	clock.Advance(time.Millisecond)
	require.False(t, n.InService())
	n.leaderReady.Store(true)
	n.trackLeader(clock.Now())
	require.True(t, n.InService())
}

// Guards against requests that are refused in a global outage, in which no other entry
// could serve them and waiting is best.
func TestRequestsWaitInAGlobalOutage(t *testing.T) {
	n, store, clock := newTestNode(t)
	n.elector.RecordView(clock.Now(), term.View{Record: term.Record{Term: 1, Holder: message.EntryInfo{ID: "leader"}}, Revision: 1})
	require.True(t, n.mayBeIsolated())
	n.elector.RecordHeartbeat(clock.Now(), 1, 1, true)
	require.False(t, n.mayBeIsolated())
	store.failing = true
	n.breaker.record(store.respond())
	clock.Advance(testCallTimeout)
	n.breaker.probedAt.Store(clock.Now().UnixNano())
	done := make(chan error, 1)
	go func() {
		_, _, err := n.Create(t.Context(), &job.Definition{ID: "j", Steps: []job.Step{{Count: 1}}})
		done <- err
	}()
	require.NoError(t, clock.BlockUntilContext(t.Context(), 1), "the request waits for the next attempt")
	store.failing = false
	clock.Advance(minStoreBackoff)
	select {
	case err := <-done:
		require.NoError(t, err)
	case <-time.After(5 * time.Second):
		require.Fail(t, "the request was not recorded")
	}
}

// Guards against requests that are refused right after a global outage by an entry that has
// not yet found that the store responds again. TestStoreDown failed that way once in CI: a
// cancellation was refused within 250 ms of the store's recovery.
func TestRequestsAreTriedAfterAGlobalOutage(t *testing.T) {
	n, store, clock := newTestNode(t)
	n.elector.RecordView(clock.Now(), term.View{Record: term.Record{Term: 1, Holder: message.EntryInfo{ID: "leader"}}, Revision: 1})
	n.elector.RecordHeartbeat(clock.Now(), 1, 1, true)
	store.failing = true
	n.breaker.record(store.respond())
	clock.Advance(testCallTimeout)
	n.breaker.probedAt.Store(clock.Now().UnixNano())
	store.failing = false
	n.elector.RecordHeartbeat(clock.Now(), 1, 2, false)
	require.False(t, n.InService())
	_, _, err := n.Create(t.Context(), &job.Definition{ID: "j", Steps: []job.Step{{Count: 1}}})
	require.NoError(t, err)

	// An entry that the store does not serve after that refuses requests again.
	store.failing = true
	n.breaker.record(store.respond())
	clock.Advance(testCallTimeout)
	n.breaker.probedAt.Store(clock.Now().UnixNano())
	_, _, err = n.Create(t.Context(), &job.Definition{ID: "k", Steps: []job.Step{{Count: 1}}})
	require.Equal(t, outcome.StoreUnavailable, outcome.From(err).Kind)
}

// oddAgentsStore holds a value of another writer under the key of the list of agents.
type oddAgentsStore struct{ *failingStore }

func (s oddAgentsStore) Read(_ context.Context, key string) (platform.KV, error) {
	return platform.KV{Key: key, Value: []byte("odd entry"), Revision: 7}, nil
}

// Guards against a second run of a task whose first run still has a lease: a leader that
// cannot read which agents may have runs takes none to have any.
func TestUnreadableListOfAgentsIsWaitedFor(t *testing.T) {
	n, store, clock := newTestNode(t)
	n.cfg.Store = oddAgentsStore{store}
	n.cfg.Timing.Outage, n.cfg.Timing.Lease = 5*time.Second, 10*time.Second
	l := newLeaderTerm(n, term.View{}, term.View{Record: term.Record{Term: 2}, Revision: 3}, false, clock.Now())
	require.NoError(t, l.load(t.Context()))
	require.Equal(t, 1, l.table.Load().UnconfirmedAgents, "nothing is placed before the leases have ended")
	clock.Advance(15 * time.Second)
	l.table.Tick(clock.Now())
	require.Equal(t, 1, l.table.Load().UnconfirmedAgents, "the leases may still hold by a slow clock")
	clock.Advance(time.Second)
	l.table.ConfirmTerm(clock.Now(), schedule.ConfirmedByStore)
	l.table.Tick(clock.Now())
	require.Zero(t, l.table.Load().UnconfirmedAgents)
}
