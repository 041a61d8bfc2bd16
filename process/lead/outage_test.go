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
	"camphorhead.example/camphorhead/process/term"
	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/request/outcome"
)

const testCall = 700 * time.Millisecond

// cutStore is a store that does not answer while cut is set; each such call
// takes all of a caller's patience on the test's clock.
type cutStore struct {
	clock *clockwork.FakeClock
	cut   bool
	calls int
}

func (s *cutStore) answer() error {
	s.calls++
	if s.cut {
		s.clock.Advance(patienceHalves * testCall / 2)
		return platform.ErrUncertain
	}
	return nil
}

func (s *cutStore) Read(context.Context, string) (platform.KV, error) {
	return platform.KV{}, s.answer()
}

func (s *cutStore) List(context.Context, string) ([]platform.KV, uint64, error) {
	return nil, 1, s.answer()
}

func (s *cutStore) Commit(context.Context, platform.Txn) (uint64, error) { return 1, s.answer() }

func (s *cutStore) Changes(context.Context, string, uint64, time.Duration) ([]platform.Change, uint64, error) {
	return nil, 1, s.answer()
}

func newTestNode(t *testing.T) (*Node, *cutStore, *clockwork.FakeClock) {
	t.Helper()
	clock := clockwork.NewFakeClock()
	store := &cutStore{clock: clock}
	workers := pool.New(2, 16)
	n := New(Config{
		Self: func() message.EntryInfo { return message.EntryInfo{ID: "entry"} }, Clock: clock, Store: store,
		Pool: workers, Metrics: metrics.New(),
		Timing: Timing{Call: testCall, Silence: 1500 * time.Millisecond, Retention: time.Minute},
	})
	t.Cleanup(func() {
		n.storePool.Close()
		workers.Close()
	})
	return n, store, clock
}

// Guards against callers that wait until their deadline at an entry which the
// store does not serve, while other entries would take their jobs.
func TestEntryWithoutStoreRefusesAtOnce(t *testing.T) {
	n, store, clock := newTestNode(t)
	def := &job.Definition{ID: "j", Steps: []job.Step{{Count: 1}}}
	require.True(t, n.InService())
	store.cut = true
	began := clock.Now()
	_, _, err := n.Create(t.Context(), def)
	require.Equal(t, outcome.StoreUncertain, outcome.From(err).Kind, "a call without an answer may have taken effect")
	require.LessOrEqual(t, clock.Since(began), 2*testCall)
	clock.Advance(testCall)
	require.False(t, n.InService())

	_, _, err = n.Create(t.Context(), def) // the one that tries the store
	require.Equal(t, outcome.StoreUncertain, outcome.From(err).Kind)
	calls, now := store.calls, clock.Now()
	n.reach.probedAt.Store(now.UnixNano())
	_, _, err = n.Create(t.Context(), def)
	require.Equal(t, outcome.StoreUnavailable, outcome.From(err).Kind)
	require.Equal(t, outcome.RanNo, outcome.From(err).Ran())
	require.Equal(t, calls, store.calls)
	require.Equal(t, now, clock.Now())
}

// Guards against an entry that never takes requests again after an outage,
// because no request comes to find out that the store is back.
func TestEntryFindsThatTheStoreIsBack(t *testing.T) {
	n, store, clock := newTestNode(t)
	n.served.Store(true)
	store.cut = true
	n.reach.note(store.answer())
	clock.Advance(testCall)
	require.False(t, n.InService())
	store.cut = false
	clock.Advance(probeInterval)
	n.tick(t.Context())
	require.Eventually(t, n.InService, 5*time.Second, time.Millisecond)
}

// Guards against an entry that stays in the balancer's rotation although no
// leader tells it of the jobs, and against one that leaves it at each change of
// the leader.
func TestEntryWithoutLeaderIsOutOfService(t *testing.T) {
	n, _, clock := newTestNode(t)
	n.noteService(clock.Now())
	clock.Advance(leaderlessTime - time.Millisecond)
	require.True(t, n.InService())
	clock.Advance(time.Millisecond)
	require.False(t, n.InService())
	n.served.Store(true)
	n.noteService(clock.Now())
	require.True(t, n.InService())
}

// Guards against requests that are refused in an outage for all entries, when
// waiting is the best that can be done for them.
func TestRequestsWaitInAnOutageForAll(t *testing.T) {
	n, store, clock := newTestNode(t)
	n.watch.Saw(clock.Now(), term.View{Record: term.Record{Term: 1, Holder: message.EntryInfo{ID: "leader"}}, Revision: 1})
	require.True(t, n.cutOff())
	n.watch.Heard(clock.Now(), 1, 1, true)
	require.False(t, n.cutOff())
	store.cut = true
	n.reach.note(store.answer())
	clock.Advance(testCall)
	n.reach.probedAt.Store(clock.Now().UnixNano())
	done := make(chan error, 1)
	go func() {
		_, _, err := n.Create(t.Context(), &job.Definition{ID: "j", Steps: []job.Step{{Count: 1}}})
		done <- err
	}()
	require.NoError(t, clock.BlockUntilContext(t.Context(), 1), "the request waits for the next attempt")
	store.cut = false
	clock.Advance(minStorePause)
	select {
	case err := <-done:
		require.NoError(t, err)
	case <-time.After(5 * time.Second):
		require.Fail(t, "the request was not recorded")
	}
}

// Guards against requests that are refused right after an outage for all entries, by
// one that has not found out yet that the store is back (TestStoreDown, seen once in
// CI: a cancel was refused within 250 ms of the store's return).
func TestRequestsAreTriedAfterAnOutageForAll(t *testing.T) {
	n, store, clock := newTestNode(t)
	n.watch.Saw(clock.Now(), term.View{Record: term.Record{Term: 1, Holder: message.EntryInfo{ID: "leader"}}, Revision: 1})
	n.watch.Heard(clock.Now(), 1, 1, true)
	store.cut = true
	n.reach.note(store.answer())
	clock.Advance(testCall)
	n.reach.probedAt.Store(clock.Now().UnixNano())
	store.cut = false
	n.watch.Heard(clock.Now(), 1, 2, false)
	require.False(t, n.InService())
	_, _, err := n.Create(t.Context(), &job.Definition{ID: "j", Steps: []job.Step{{Count: 1}}})
	require.NoError(t, err)

	// An entry that the store does not serve afterwards refuses again.
	store.cut = true
	n.reach.note(store.answer())
	clock.Advance(testCall)
	n.reach.probedAt.Store(clock.Now().UnixNano())
	_, _, err = n.Create(t.Context(), &job.Definition{ID: "k", Steps: []job.Step{{Count: 1}}})
	require.Equal(t, outcome.StoreUnavailable, outcome.From(err).Kind)
}
