package entry

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"camphorhead.example/camphorhead/process/configlog"
	"camphorhead.example/camphorhead/process/fleet"
	"camphorhead.example/camphorhead/process/metrics"
	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/process/pool"
	"camphorhead.example/camphorhead/process/settings"
	"camphorhead.example/camphorhead/version/holder"
	"camphorhead.example/camphorhead/version/profile"
)

// compactedStore has no history: watches from before its latest revision fail.
type compactedStore struct {
	platform.Store
	value []byte
	reads atomic.Int64
}

const compactedRevision = 100

func (s *compactedStore) ReadAt(context.Context, string) (platform.KV, uint64, error) {
	s.reads.Add(1)
	return platform.KV{Value: s.value, Revision: 7}, compactedRevision, nil
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

// Guards against an entry that calls the store without pause, because it watches from the head's
// own revision, which the store has forgotten.
func TestConfigurationLogIsReadOnceWithoutHistory(t *testing.T) {
	store := &compactedStore{value: []byte{0x81, 0xa1, 'v', 0}} // a head of version 0
	e, stop := newConfigFollower(t, store, 700*time.Millisecond)
	go e.watchConfig()
	require.Never(t, func() bool { return store.reads.Load() > 1 }, 2*storeBackoff, 10*time.Millisecond)
	stop()
	require.EqualValues(t, 1, store.reads.Load())
}

// slowStore delivers values in a multiple of the call timeout, as a slow link does.
type slowStore struct {
	platform.Store
	values map[string][]byte
	delay  time.Duration
}

func (s *slowStore) Read(ctx context.Context, key string) (platform.KV, error) {
	kv, _, err := s.ReadAt(ctx, key)
	return kv, err
}

func (s *slowStore) ReadAt(ctx context.Context, key string) (platform.KV, uint64, error) {
	select {
	case <-ctx.Done():
		return platform.KV{}, 0, platform.ErrUncertain
	case <-time.After(s.delay):
		return platform.KV{Key: key, Value: s.values[key], Revision: 5}, 9, nil
	}
}

func (s *slowStore) Changes(ctx context.Context, _ string, after uint64, wait time.Duration) ([]platform.Change, uint64, error) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return nil, after, nil
}

// Guards against an entry that never has a configuration, because its link to the store needs longer
// than one call timeout for the snapshot.
func TestSnapshotMayTakeLongerThanTheCallTimeout(t *testing.T) {
	snapshot := profile.Empty()
	snapshot.Version = 40
	encoded, err := msgpack.Marshal(snapshot)
	require.NoError(t, err)
	delta := profile.Delta{Version: 41, Team: &profile.Team{Name: "team", Version: 41}}
	head, err := msgpack.Marshal(map[string]any{"v": 41, "d": []profile.Delta{delta}})
	require.NoError(t, err)
	const callTimeout = 100 * time.Millisecond
	store := &slowStore{values: map[string][]byte{"config/head": head, "config/snapshot": encoded}, delay: 2 * callTimeout}
	e, stop := newConfigFollower(t, store, callTimeout)
	defer stop()
	e.fleet = fleet.New(e.clock, fleet.DefaultSettings())
	e.waitPool = pool.New(1, 1)
	e.waitPool.Close() // nothing is pushed to other processes
	go e.watchConfig()
	require.Eventually(t, func() bool { return e.ConfigVersion() == 41 }, 20*callTimeout, 10*time.Millisecond)
}

// newConfigFollower returns an entry that has no more than watchConfig needs; stop ends it.
func newConfigFollower(t *testing.T, store platform.Store, callTimeout time.Duration) (e *Entry, stop func()) {
	run, cancel := context.WithCancel(t.Context())
	clock := clockwork.NewRealClock()
	e = &Entry{store: store, clock: clock, config: holder.New(clock), metrics: metrics.New(), runCtx: run, watchDone: make(chan struct{})}
	e.configLog = configlog.New(store, e.config, clock)
	e.cfg.Limits = settings.Limits{CallTimeoutMs: callTimeout.Milliseconds()}
	return e, func() {
		cancel()
		<-e.watchDone
	}
}
