package schedule

import "time"

const (
	// A leader's and an agent's clock may differ in rate by cancelClockSlack of the time between them.
	cancelClockSlack = 0.04
	// startTransitTime is the part of Config.CancelBound for the way of a start from the agent, which
	// has found it in time, to the worker.
	startTransitTime = 100 * time.Millisecond
	// minOrderTime is the least time that an agent must have left for a start when it is ordered: the
	// agent would refuse one that arrives too late, and the leader would order it again.
	minOrderTime = 300 * time.Millisecond
)

// RecordCancellationsKnown records that the table has all cancellations that were acknowledged before
// a time. No start is ordered that could begin later than Config.CancelBound after that time.
func (t *Table) RecordCancellationsKnown(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at.After(t.cancellationsKnownAt) {
		t.cancellationsKnownAt = at
	}
}

// startsEnd returns the time until which agents may send starts to their workers that are ordered now.
// A job whose cancellation the table lacks was cancelled after cancellationsKnownAt.
func (t *Table) startsEnd() time.Time {
	return t.cancellationsKnownAt.Add(time.Duration(float64(t.cfg.CancelBound)*(1-cancelClockSlack)) - startTransitTime)
}

// MayOrderStarts reports whether Dispatch orders starts at a time, as far as cancellations are concerned.
func (t *Table) MayOrderStarts(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mayOrderStarts(now)
}

// mayOrderStarts reports whether a start that is ordered now could reach its worker in time.
func (t *Table) mayOrderStarts(now time.Time) bool {
	return t.cfg.CancelBound == 0 || now.Add(minOrderTime).Before(t.startsEnd())
}

// startWithinMs returns the time from the latest report of an agent until startsEnd, in milliseconds.
// The agent counts it from when it sent that report, which was not later.
func (t *Table) startWithinMs(a *agentState) int64 {
	return max(t.startsEnd().Sub(a.reportedAt).Milliseconds(), 0)
}
