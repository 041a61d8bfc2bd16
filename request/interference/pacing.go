package interference

import (
	"cmp"
	"slices"
	"time"
)

// PacedTask is one filling task on a worker.
type PacedTask struct {
	Key   string
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
	return PaceConfig{Margin: 0.10, Step: 25, Grain: 10, OverLimit: 1500 * time.Millisecond}
}

// Paces returns the pace of each filling task, in the order of the tasks: the
// highest at which no serving task is expected to exceed its target. What
// presses most on a serving task is slowed down first. The agent calls it once
// per reading of its worker.
func (p *Pressure) Paces(cfg PaceConfig, serving []ServedTask, tasks []PacedTask) []int {
	paces := make([]float64, len(tasks))
	for i := range paces {
		paces[i] = 1
	}
	for _, s := range serving {
		p.slowFor(cfg, s, tasks, paces)
	}
	out := make([]int, len(tasks))
	for i, t := range tasks {
		out[i] = settle(cfg, int(100*paces[i]), t.Pace)
	}
	return out
}

// slowFor lowers paces until one serving task is expected to meet its target.
func (p *Pressure) slowFor(cfg PaceConfig, s ServedTask, tasks []PacedTask, paces []float64) {
	v, target := p.Utilization(s.Serving)
	excess := v - (target - cfg.Margin)
	order := make([]int, len(tasks))
	press := make([]float64, len(tasks))
	for i, t := range tasks {
		order[i] = i
		press[i] = p.Weight(PressurePair{s.Image, t.Image})
		excess += press[i] * (t.FullShare*paces[i] - t.Share)
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(press[b], press[a]) })
	for _, i := range order {
		if excess <= 0 && s.Over < cfg.OverLimit {
			return
		}
		relief := press[i] * tasks[i].FullShare * paces[i]
		if relief <= 0 {
			continue
		}
		if s.Over >= cfg.OverLimit || relief <= excess {
			paces[i] = 0
			excess -= relief
			continue
		}
		paces[i] *= 1 - excess/relief
		excess = 0
	}
}

// settle limits the rise of a pace and drops changes that are too small.
func settle(cfg PaceConfig, wanted, present int) int {
	wanted = min(wanted, present+cfg.Step)
	wanted -= wanted % cfg.Grain
	if wanted > present && wanted-present < cfg.Grain && wanted < 100 {
		return present
	}
	return max(wanted, 0)
}
