package agent

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"camphorhead.example/camphorhead/process/event"
)

// Guards against another writer that fills the log with refused announcements.
func TestRefusedAnnouncementsAreLoggedAtABoundedRate(t *testing.T) {
	var out bytes.Buffer
	log, err := event.New(&out, "json", "info")
	require.NoError(t, err)
	clock := clockwork.NewFakeClock()
	a := &Agent{clock: clock, log: log}
	for range 1000 {
		a.Malformed("i-1", errors.New("announcement with an odd port"))
		clock.Advance(20 * time.Millisecond)
	}
	require.Equal(t, 2, strings.Count(out.String(), "announcement_refused"), "lines in 20 s")
	require.Contains(t, out.String(), `"refused":500`)
}
