package worker

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// maxLeaseMs bounds the time from the start to a lease's end, to fit into a time.Duration.
const maxLeaseMs = int64(100 * 365 * 24 * time.Hour / time.Millisecond)

// skewedClock is the worker's own clock: start+offset at start, and rate times base's speed.
type skewedClock struct {
	base   clockwork.Clock
	start  time.Time
	offset time.Duration
	rate   float64
}

func newSkewedClock(config Config, start time.Time) skewedClock {
	offset := config.ClockOffset
	if config.ClockStartMs != 0 {
		offset = time.UnixMilli(config.ClockStartMs).Sub(start)
	}
	return skewedClock{config.Clock, start, offset, config.ClockRate}
}

func (c skewedClock) startMs() int64 { return c.start.Add(c.offset).UnixMilli() }

func (c skewedClock) nowMs() int64 {
	elapsed := float64(c.base.Since(c.start)) * c.rate
	return c.startMs() + time.Duration(elapsed).Milliseconds()
}

// baseTime returns the time of the base clock at which the worker's clock shows ms.
func (c skewedClock) baseTime(ms int64) time.Time {
	elapsed := float64(time.Duration(min(ms-c.startMs(), maxLeaseMs)) * time.Millisecond)
	return c.start.Add(time.Duration(elapsed / c.rate))
}
