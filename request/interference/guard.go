package interference

import "time"

// Guard bounds how long filling tasks may keep a serving task over its latency
// target. A task that stays within the bound costs its users little; slowing all
// filling tasks down at the first measurement over a target would cost far more
// of their work than it saves.
type Guard struct {
	// MaxOver is the longest uninterrupted time that a serving task may be over its
	// target beside filling tasks that work.
	MaxOver time.Duration
}

const (
	// pauseLead is the time that a pause needs to take effect: the age of a
	// measurement, the wait for the next one, and the call to the worker.
	pauseLead = 1500 * time.Millisecond
	// closeLead is pauseLead plus the time for which a start that was ordered before
	// the worker was closed may still be in progress.
	closeLead = 2500 * time.Millisecond
	// minOver prevents a short excess over the target from pausing a worker.
	minOver = 500 * time.Millisecond
)

// Pauses reports whether filling tasks must pause beside a serving task that has
// been over its target for the given time.
func (g Guard) Pauses(over time.Duration) bool { return over >= max(g.MaxOver-pauseLead, minOver) }

// Closes reports whether the worker of a serving task that has been over its
// target for the given time must be closed to new filling tasks.
func (g Guard) Closes(over time.Duration) bool { return over >= max(g.MaxOver-closeLead, minOver) }
