package document

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/process/configpeer"
	"camphorhead.example/camphorhead/process/metrics"
	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/process/pool"
	"camphorhead.example/camphorhead/version/holder"
	"camphorhead.example/camphorhead/version/profile"
)

const (
	applyBound      = 3 * time.Second // required by the users' platform
	testCallTimeout = 700 * time.Millisecond
	testPoll        = 5 * time.Millisecond
)

func decodeVersion(value []byte) (*profile.Document, error) {
	doc := profile.Empty()
	v, err := strconv.ParseUint(string(value), 10, 64)
	doc.Version = v
	return doc, err
}

// entry is a follower with its holder. Its fields are set before it starts.
type entry struct {
	*Follower
	holder *holder.Holder
	leads  atomic.Bool
	// storeFails is set while the latest call to the store has failed.
	storeFails atomic.Bool
	call       func(ctx context.Context, address string, pull message.ConfigPull) (message.Config, error)
}

// startEntry runs a follower of the store until the end of the test.
func startEntry(t *testing.T, store Store) *entry {
	t.Helper()
	clock := clockwork.NewRealClock()
	e := &entry{holder: holder.New(clock)}
	workers := pool.New(2, 16)
	e.Follower = New(Config{
		Source: Source{Key: "k", Prefix: "k", Decode: decodeVersion}, Store: store, Holder: e.holder, Clock: clock, Metrics: metrics.New(),
		Puller: &configpeer.Puller{
			Call: func(ctx context.Context, address string, pull message.ConfigPull) (message.Config, error) {
				return e.call(ctx, address, pull)
			},
			Holder: e.holder, Replace: e.holder.ReplaceByOperators,
		},
		Submit: workers.Submit, Leads: e.leads.Load,
		OnStoreResult: func(_ string, err error) { e.storeFails.Store(err != nil) }, OnInForce: func() {},
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		e.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
		workers.Close()
	})
	return e
}

func (e *entry) requireVersion(t *testing.T, version uint64, bound time.Duration) {
	t.Helper()
	require.Eventually(t, func() bool { return e.version() == version }, bound, testPoll)
}

// testStore serves a document and watches of it. Its fields are guarded by mu.
type testStore struct {
	mu       sync.Mutex
	version  uint64
	revision uint64
	changed  chan struct{}
	calls    atomic.Int64
	down     atomic.Bool
}

func newTestStore() *testStore {
	return &testStore{version: 1, revision: 1, changed: make(chan struct{})}
}

func (s *testStore) write(version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version, s.revision = version, s.revision+1
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *testStore) kv() platform.KV {
	return platform.KV{Key: "k", Value: []byte(strconv.FormatUint(s.version, 10)), Revision: s.revision}
}

func (s *testStore) ReadAt(context.Context, string) (platform.KV, uint64, error) {
	s.calls.Add(1)
	if s.down.Load() {
		return platform.KV{}, 0, platform.ErrUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.kv(), s.revision, nil
}

func (s *testStore) Changes(ctx context.Context, _ string, after uint64, wait time.Duration) ([]platform.Change, uint64, error) {
	s.calls.Add(1)
	if s.down.Load() {
		return nil, after, platform.ErrUnavailable
	}
	s.mu.Lock()
	changed, newer := s.changed, s.revision > after
	s.mu.Unlock()
	if !newer {
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(wait):
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.revision > after {
		return []platform.Change{{KV: s.kv()}}, s.revision, nil
	}
	return nil, s.revision, nil
}

// unresponsiveStore serves reads of a document, but its watch calls get no
// response, as on a connection that fails without being closed.
type unresponsiveStore struct{ version atomic.Uint64 }

func (s *unresponsiveStore) ReadAt(context.Context, string) (platform.KV, uint64, error) {
	v := s.version.Load()
	return platform.KV{Value: []byte(strconv.FormatUint(v, 10)), Revision: v}, v, nil
}

func (s *unresponsiveStore) Changes(ctx context.Context, _ string, after uint64, wait time.Duration) ([]platform.Change, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+testCallTimeout)
	defer cancel()
	<-ctx.Done()
	return nil, after, platform.ErrUncertain
}

// Guards against a configuration change that is applied too late because the
// watch call waits for a response on an unresponsive connection.
func TestConfigurationAppliedDespiteUnresponsiveWatch(t *testing.T) {
	for name, leads := range map[string]bool{"leader": true, "follower": false} {
		t.Run(name, func(t *testing.T) {
			store := &unresponsiveStore{}
			store.version.Store(1)
			e := startEntry(t, store)
			e.leads.Store(leads)
			e.requireVersion(t, 1, applyBound)
			store.version.Store(2)
			e.requireVersion(t, 2, applyBound)
		})
	}
}

// compactedStore has no history: watches from before its latest revision fail.
type compactedStore struct{ reads atomic.Int64 }

const compactedRevision = 100

func (s *compactedStore) ReadAt(context.Context, string) (platform.KV, uint64, error) {
	s.reads.Add(1)
	return platform.KV{Value: []byte("1"), Revision: 7}, compactedRevision, nil
}

func (s *compactedStore) Changes(ctx context.Context, _ string, after uint64, wait time.Duration) ([]platform.Change, uint64, error) {
	if after < compactedRevision {
		return nil, after, platform.ErrCompacted
	}
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return nil, after, nil
}

// Guards against an entry that reads the whole document again and again, because it watches from
// the document's own revision, which the store has forgotten.
func TestConfigurationIsReadOnceWithoutHistory(t *testing.T) {
	store := &compactedStore{}
	e := startEntry(t, store)
	e.leads.Store(true)
	require.Never(t, func() bool { return store.reads.Load() > 1 }, 5*retryPause, testPoll)
	require.EqualValues(t, 1, store.reads.Load())
}

// state returns what the leader of the store's newest version would tell.
func (s *testStore) state() message.ConfigState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return message.ConfigState{Version: s.version, Revision: s.revision}
}

// Guards against a store that sends the document to each entry, although the leader confirms that
// they have the newest version; and against an entry that takes an old confirmation for a new one.
func TestConfirmedEntryDoesNotCallTheStore(t *testing.T) {
	store := newTestStore()
	e := startEntry(t, store)
	e.requireVersion(t, 1, applyBound)
	confirmed := store.state()
	confirm := func() bool {
		// Never may call this once more after it has returned, so the state must not change.
		e.Observe("leader", confirmed)
		return false
	}
	confirm()
	before := store.calls.Load()
	require.Never(t, confirm, 2*confirmationLifetime, confirmationLifetime/10)
	require.LessOrEqual(t, store.calls.Load()-before, int64(1), "at most the call that was in progress")

	store.write(2)
	require.Eventually(t, func() bool {
		e.Observe("leader", message.ConfigState{Version: confirmed.Version, Revision: confirmed.Revision, AgeMs: confirmationLifetime.Milliseconds()})
		return e.version() == 2
	}, applyBound, testPoll, "the leader does not reach the store any more")
}

// Guards against an entry that has no newer configuration although another one has it, while the
// store does not serve this entry; and against pages that are fetched again after a failed call.
func TestConfigurationIsPulledFromAnotherEntry(t *testing.T) {
	store := newTestStore()
	e := startEntry(t, store)
	e.requireVersion(t, 1, applyBound)
	store.down.Store(true)

	clock := clockwork.NewRealClock()
	other := holder.New(clock)
	first, _ := decodeVersion([]byte("1"))
	other.ReplaceByOperators(first)
	newer, _ := decodeVersion([]byte("2"))
	for i := range 10_000 { // several pages
		name := "profile-" + strconv.Itoa(i)
		newer.Profiles[name] = profile.Profile{Name: name}
	}
	other.ReplaceByOperators(newer)
	server := configpeer.NewServer(other, clock)
	pages, failed := 0, false
	e.call = func(_ context.Context, address string, pull message.ConfigPull) (message.Config, error) {
		require.Equal(t, "other", address)
		if pages == 2 && !failed {
			failed = true
			return message.Config{}, errors.New("connection lost")
		}
		pages++
		return server.Serve(pull)
	}
	require.Eventually(t, func() bool {
		e.Observe("other", message.ConfigState{Version: 2})
		return e.version() == 2
	}, applyBound, 10*testPoll)
	require.Len(t, e.holder.Document().Profiles, 10_000)
	require.True(t, failed)
	require.Less(t, pages, 6, "10,000 profiles have less than six pages; more were fetched twice")
	require.True(t, e.Current())
}

// Guards against an entry that reports an outage of the store for good, because the leader confirms
// its version from the end of the outage on.
func TestEndOfAnOutageIsSeenByAConfirmedEntry(t *testing.T) {
	store := newTestStore()
	e := startEntry(t, store)
	e.requireVersion(t, 1, applyBound)
	store.down.Store(true)
	require.Eventually(t, e.storeFails.Load, applyBound, testPoll)
	confirmed := store.state()
	confirm := func() { e.Observe("leader", confirmed) }
	confirm()
	store.down.Store(false)
	require.Eventually(t, func() bool {
		confirm()
		return !e.storeFails.Load()
	}, applyBound, testPoll)
}

// Guards against an entry that serves by a version, or denies a route, long after it has learned
// that there is a newer one which it does not get.
func TestOutdatedWhenANewerVersionIsOutOfReach(t *testing.T) {
	store := newTestStore()
	e := startEntry(t, store)
	e.requireVersion(t, 1, applyBound)
	e.call = func(context.Context, string, message.ConfigPull) (message.Config, error) {
		return message.Config{}, errors.New("unreachable")
	}
	require.True(t, e.Current())
	e.Observe("other", message.ConfigState{Version: 5})
	require.False(t, e.Current())
	require.False(t, e.Outdated())
	require.Eventually(t, e.Outdated, applyBound, testPoll)
	store.write(5)
	e.requireVersion(t, 5, applyBound)
	require.True(t, e.Current())
	require.False(t, e.Outdated())
}
