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

// Guards against targets whose announcements make the agent start any number of goroutines,
// or dial an address that no target can have.
func TestOddTargetsAreRefused(t *testing.T) {
	good := Target{Service: "lab", Address: "10.0.0.9:80", Slots: 8, Connections: 64}
	require.Empty(t, good.invalidField())
	for field, change := range map[string]func(*Target){
		"address":     func(t *Target) { t.Address = "10.0.0.9:99999" },
		"service":     func(t *Target) { t.Service = strings.Repeat("s", 200_000) },
		"slots":       func(t *Target) { t.Slots = 1 << 62 },
		"connections": func(t *Target) { t.Connections = 1 << 62 },
	} {
		odd := good
		change(&odd)
		require.Equal(t, field, odd.invalidField())
	}
	for _, address := range []string{"10.0.0.9:0", "10.0.0.9:-1", "10.0.0.9", "[::1]", ":80", "10.0.0.9:http"} {
		odd := good
		odd.Address = address
		require.Equal(t, "address", odd.invalidField(), address)
	}
	c := newChecks(&Agent{})
	c.services["other"] = &service{target: Target{Slots: maxSlots - 7}}
	require.Error(t, c.announce(good))
	require.NotContains(t, c.services, "lab")
}
