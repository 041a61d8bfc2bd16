package store

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a watch that waits in a store that is down: the store went down after the call
// had begun and before it was registered, and wakes only registered watches.
func TestWatchOfAStoreThatGoesDownIsWoken(t *testing.T) {
	s, err := New(Config{})
	require.NoError(t, err)
	t.Cleanup(s.Close)
	s.SetDown(true)
	select {
	case <-s.register("", 0).wake:
	default:
		t.Fatal("the watch waits")
	}
}
