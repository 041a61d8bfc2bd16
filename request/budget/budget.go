// Package budget holds the deadline budget of one request.
//
// The budget is created once, at the entry. Each attempt inherits the remaining
// time and never gets a fresh timeout.
package budget

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// Budget is the time that one request may take. It is immutable.
type Budget struct {
	clock    clockwork.Clock
	deadline time.Time
}

// New starts a budget of the given length.
func New(clock clockwork.Clock, total time.Duration) Budget {
	return Budget{clock: clock, deadline: clock.Now().Add(total)}
}

// Remaining returns the time until the deadline; it is negative after it.
func (b Budget) Remaining() time.Duration { return b.deadline.Sub(b.clock.Now()) }

// Deadline returns the end of the budget.
func (b Budget) Deadline() time.Time { return b.deadline }

// Allows reports whether an attempt that is expected to take need can still finish.
func (b Budget) Allows(need time.Duration) bool { return b.Remaining() > need }
