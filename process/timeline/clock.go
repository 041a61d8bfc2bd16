// Package timeline keeps the latest events of one process, with timestamps that order
// causes before their effects across processes.
//
// A timestamp comes from a hybrid logical clock: physical milliseconds and a counter.
// Every frame carries the sender's timestamp, and the receiver's clock never falls
// behind a timestamp that it has received. An event caused by a message thus sorts
// after its sending even if the clocks of the hosts differ by seconds.
package timeline

import (
	"sync/atomic"

	"github.com/jonboulle/clockwork"
)

// counterBits is the width of the counter below the milliseconds.
const counterBits = 16

// Timestamp is the time of a hybrid logical clock: milliseconds << counterBits | counter.
type Timestamp uint64

// Ms returns the physical part in unix milliseconds.
func (t Timestamp) Ms() int64 { return int64(t >> counterBits) }

// FromMs returns the first timestamp of a millisecond.
func FromMs(ms int64) Timestamp { return Timestamp(ms) << counterBits }

// Clock is the hybrid logical clock of one process. Any goroutine may use it.
type Clock struct {
	physical clockwork.Clock
	last     atomic.Uint64
}

// NewClock returns a clock that is based on a physical one.
func NewClock(physical clockwork.Clock) *Clock { return &Clock{physical: physical} }

// Now returns a Timestamp above all that this clock has returned or observed.
func (c *Clock) Now() uint64 {
	wall := uint64(FromMs(c.physical.Now().UnixMilli()))
	for {
		last := c.last.Load()
		next := max(wall, last+1)
		if c.last.CompareAndSwap(last, next) {
			return next
		}
	}
}

// Observe advances the clock to the Timestamp of a received message.
func (c *Clock) Observe(remote uint64) {
	for {
		last := c.last.Load()
		if remote <= last || c.last.CompareAndSwap(last, remote) {
			return
		}
	}
}
