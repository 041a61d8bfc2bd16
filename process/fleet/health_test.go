package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// recovery is the time by which service is normal after a fault was lifted.
const recovery = 15 * time.Second

// Guards against a target that stays without checks long after it has recovered,
// because it was away for long before.
func TestRecoveredTargetIsTriedSoon(t *testing.T) {
	settings := DefaultHealthSettings()
	for _, away := range []time.Duration{5 * time.Second, 20 * time.Second, time.Minute, 10 * time.Minute} {
		now := time.Unix(1000, 0)
		recovered := now.Add(away)
		var h checkHealth
		for now.Before(recovered) {
			if h.due(now) {
				h = h.probed(settings, now)
			}
			h = h.noted(false, settings, true, now)
			now = now.Add(100 * time.Millisecond)
		}
		// One more probe is lost on the way.
		for !h.due(now) {
			now = now.Add(100 * time.Millisecond)
		}
		h = h.probed(settings, now)
		for !h.due(now) {
			now = now.Add(100 * time.Millisecond)
		}
		require.LessOrEqual(t, now.Sub(recovered), recovery, "away for %s", away)
	}
}
