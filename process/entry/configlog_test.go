package entry

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"camphorhead.example/camphorhead/process/configlog"
	"camphorhead.example/camphorhead/process/metrics"
	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/process/settings"
	"camphorhead.example/camphorhead/version/holder"
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
	run, cancel := context.WithCancel(t.Context())
	clock := clockwork.NewRealClock()
	e := &Entry{store: store, clock: clock, config: holder.New(clock), metrics: metrics.New(), runCtx: run, watchDone: make(chan struct{})}
	e.configLog = configlog.New(store, e.config, clock)
	e.cfg.Limits = settings.Limits{CallTimeoutMs: 700}
	go e.watchConfig()
	require.Never(t, func() bool { return store.reads.Load() > 1 }, 2*storeBackoff, 10*time.Millisecond)
	cancel()
	<-e.watchDone
	require.EqualValues(t, 1, store.reads.Load())
}
