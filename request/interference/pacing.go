package interference

import (
	"cmp"
	"slices"
	"time"
)

// PacedTask is one filling task on a worker.
type PacedTask struct {
	Image string
	// Share is the measured use of the worker's processors, FullShare what it
	// would use at full pace.
	Share, FullShare float64
	// Pace is the present pace in percent.
	Pace int
}

// ServedTask is a serving task with how long it has been over its target.
type ServedTask struct {
	Serving
	Over time.Duration
}

// PaceConfig holds the thresholds of pacing.
type PaceConfig struct {
	// Margin is kept between the utilization of a serving task and its target.
	Margin float64
	// Ahead is how far ahead the load of serving tasks is looked at, which covers
	// the age of a reading and the time until a pace takes effect.
	Ahead time.Duration
	// Step is the largest rise of a pace in one decision, in percent.
	Step int
	// Grain is the least change of a pace that is worth a call, in percent.
	Grain int
	// OverLimit is the time over its target after which everything that presses
	// on a serving task pauses.
	OverLimit time.Duration
}

// DefaultPaceConfig returns the default thresholds.
func DefaultPaceConfig() PaceConfig {
	return PaceConfig{Margin: 0.02, Ahead: 600 * time.Millisecond, Step: 30, Grain: 10, OverLimit: 1500 * time.Millisecond}
}

// Paces returns the pace of each filling task, in the order of the tasks: the
// highest at which no serving task is expected to exceed its target. What
// presses most on a serving task is slowed down first. The agent calls it once
// per reading of its worker.
func (p *Pressure) Paces(cfg PaceConfig, now time.Time, serving []ServedTask, tasks []PacedTask) []int {
	paces := make([]float64, len(tasks))
	for i := range paces {
		paces[i] = 1
	}
	for _, s := range serving {
		p.slowFor(cfg, now, s, tasks, paces)
	}
	out := make([]int, len(tasks))
	for i, t := range tasks {
		out[i] = settle(cfg, int(100*paces[i]), t.Pace)
	}
	return out
}

// slowFor lowers paces until one serving task is expected to meet its target.
func (p *Pressure) slowFor(cfg PaceConfig, now time.Time, s ServedTask, tasks []PacedTask, paces []float64) {
	excess := -p.Allowed(now.Add(cfg.Ahead), s.Serving, cfg.Margin)
	order := make([]int, len(tasks))
	press := make([]float64, len(tasks))
	for i, t := range tasks {
		order[i] = i
		press[i] = p.Weight(PressurePair{s.Image, t.Image}) * t.FullShare
		excess += press[i] * paces[i]
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(press[b], press[a]) })
	pause := s.Over >= cfg.OverLimit
	for _, i := range order {
		if excess <= 0 && !pause {
			return
		}
		relief := press[i] * paces[i]
		switch {
		case pause || relief <= excess:
			paces[i] = 0
			excess -= relief
		case relief > 0:
			paces[i] *= 1 - excess/relief
			excess = 0
		}
	}
}

// settle limits the rise of a pace and drops changes that are too small.
func settle(cfg PaceConfig, wanted, present int) int {
	wanted = min(wanted, present+cfg.Step)
	wanted -= wanted % cfg.Grain
	return max(wanted, 0)
}
