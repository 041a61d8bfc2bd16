package schedule

import (
	"time"

	"camphorhead.example/camphorhead/request/job"
)

// health is what the latest runs at a worker tell of it.
type health struct {
	failed   float64 // decaying share of runs that failed
	slow     float64 // decaying mean of the run time relative to the estimate of the fleet, less 1
	lastSeen time.Time
}

const (
	// healthWeight is the weight of one run in the decaying means.
	healthWeight = 0.25
	// healthHalfLife is the time after which an old impression counts half, so
	// that a worker that gets no work is tried again.
	healthHalfLife = 3 * time.Second
)

func (h *health) decay(now time.Time) float64 {
	if h.lastSeen.IsZero() {
		return 0
	}
	steps := float64(now.Sub(h.lastSeen)) / float64(healthHalfLife)
	return 1 / (1 + steps*steps)
}

func (h *health) failPct(now time.Time) int { return int(100 * h.failed * h.decay(now)) }

func (h *health) slowPct(now time.Time) int { return int(100 * max(h.slow, 0) * h.decay(now)) }

// noteHealth takes the end of a run into the impression of its worker.
func (t *Table) noteHealth(now time.Time, a *agentState, run *runState, how job.EndKind) {
	h := &a.health
	switch how {
	case job.EndDone:
		h.failed *= 1 - healthWeight
	case job.EndFailed:
		h.failed += healthWeight * (1 - h.failed)
	default:
		return
	}
	h.lastSeen = now
	_ = run
}
