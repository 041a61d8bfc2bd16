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

	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/process/settings"
	"camphorhead.example/camphorhead/version/holder"
	"camphorhead.example/camphorhead/version/profile"
)

// silentStore has a document whose watch never answers, as over a connection
// that has gone silent.
type silentStore struct {
	platform.Store
	version atomic.Uint64
}

func (s *silentStore) Read(context.Context, string) (platform.KV, error) {
	v := s.version.Load()
	return platform.KV{Value: []byte(strconv.FormatUint(v, 10)), Revision: v}, nil
}

func (s *silentStore) Changes(ctx context.Context, _ string, after uint64, _ time.Duration) ([]platform.Change, uint64, error) {
	<-ctx.Done()
	return nil, after, platform.ErrUncertain
}

func decodeVersion(value []byte) (*profile.Document, error) {
	doc := profile.Empty()
	v, err := strconv.ParseUint(string(value), 10, 64)
	doc.Version = v
	return doc, err
}

// Guards against a configuration that is not in force in time because the watch
// waits on a connection that has gone silent.
func TestConfigurationComesOverASilentWatch(t *testing.T) {
	const applyBound = 3 * time.Second // bound of the users' platform
	store := &silentStore{}
	store.version.Store(1)
	run, cancel := context.WithCancel(t.Context())
	clock := clockwork.NewRealClock()
	e := &Entry{store: store, clock: clock, config: holder.New(clock), run: run, watchDone: make(chan struct{})}
	e.cfg.Limits = settings.Limits{CallTimeoutMs: 700}
	go e.followDocument(DocumentSource{Key: "k", Prefix: "k", Decode: decodeVersion})
	require.Eventually(t, func() bool { return e.ConfigVersion() == 1 }, applyBound, 5*time.Millisecond)
	store.version.Store(2)
	require.Eventually(t, func() bool { return e.ConfigVersion() == 2 }, applyBound, 5*time.Millisecond)
	cancel()
	<-e.watchDone
	require.True(t, errors.Is(run.Err(), context.Canceled))
}
