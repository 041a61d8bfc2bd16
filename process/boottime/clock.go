// Package boottime provides a clock for measuring leases.
//
// It includes the time for which the host was suspended, which the monotonic clock of
// the Go runtime omits, and does not follow jumps of the wall clock, which it reads only
// once, in New.
package boottime

import (
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// Clock is a real clock that advances with the time since boot (CLOCK_BOOTTIME). Its
// timers and tickers are those of the runtime and do not count suspension.
type Clock struct {
	clockwork.Clock
	start time.Time // wall clock when the time since boot was base; no monotonic part
	base  time.Duration
}

// New returns a clock that starts at the current wall clock time.
func New() *Clock {
	return &Clock{Clock: clockwork.NewRealClock(), start: time.Now().Round(0), base: sinceBoot()}
}

// Now implements clockwork.Clock.
func (c *Clock) Now() time.Time { return c.start.Add(sinceBoot() - c.base) }

// Since implements clockwork.Clock.
func (c *Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until implements clockwork.Clock.
func (c *Clock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }

func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("boottime: CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
