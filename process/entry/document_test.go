package entry

import (
	"context"
	"errors"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"camphorhead.example/camphorhead/process/metrics"
	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/process/settings"
	"camphorhead.example/camphorhead/version/holder"
	"camphorhead.example/camphorhead/version/profile"
)

// testCallTimeout is the call timeout of deploy/entry.toml.
const testCallTimeout = 700 * time.Millisecond

// unresponsiveStore serves reads of a document, but its watch calls get no
// response, as on a connection that fails without being closed.
type unresponsiveStore struct {
	platform.Store
	version atomic.Uint64
}

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

func decodeVersion(value []byte) (*profile.Document, error) {
	doc := profile.Empty()
	v, err := strconv.ParseUint(string(value), 10, 64)
	doc.Version = v
	return doc, err
}

// Guards against a configuration change that is applied too late because the
// watch call waits for a response on an unresponsive connection.
func TestConfigurationAppliedDespiteUnresponsiveWatch(t *testing.T) {
	const applyBound = 3 * time.Second // required by the users' platform
	store := &unresponsiveStore{}
	store.version.Store(1)
	run, cancel := context.WithCancel(t.Context())
	clock := clockwork.NewRealClock()
	e := &Entry{store: store, clock: clock, config: holder.New(clock), metrics: metrics.New(), runCtx: run, watchDone: make(chan struct{})}
	e.cfg.Limits = settings.Limits{CallTimeoutMs: 700}
	go e.followDocument(DocumentSource{Key: "k", Prefix: "k", Decode: decodeVersion})
	require.Eventually(t, func() bool { return e.ConfigVersion() == 1 }, applyBound, 5*time.Millisecond)
	store.version.Store(2)
	require.Eventually(t, func() bool { return e.ConfigVersion() == 2 }, applyBound, 5*time.Millisecond)
	cancel()
	<-e.watchDone
	require.True(t, errors.Is(run.Err(), context.Canceled))
}
