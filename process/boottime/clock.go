// Package boottime is a clock that leases can be measured with.
//
// It counts the time for which the host was suspended, which the steady clock
// of the runtime leaves out, and it does not follow jumps of the time of day:
// the time of day is read once, at the start of the process.
package boottime

import (
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// Clock is a real clock whose readings come from the time since boot. Timers
// and tickers are those of the runtime.
type Clock struct {
	clockwork.Clock
	start time.Time // time of day at boot time base, without a monotonic reading
	base  time.Duration
}

// New returns a clock that starts from the present time of day.
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
		panic("boottime: the system has no clock that counts suspension: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
