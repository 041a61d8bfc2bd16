package interference

import (
	"time"

	"camphorhead.example/camphorhead/request/job"
)

const (
	// percentStep is the resolution of limits; smaller changes cost calls to the worker
	// without a measurable effect.
	percentStep = 5
	// firstLiftPct and maxLiftPct bound a lift. Scores are learned while the load
	// changes and may be far too low, so the first lift of a task is small; each
	// consecutive lift of the same task may be twice as large as the previous one.
	firstLiftPct = 10
	maxLiftPct   = 40
	liftShare    = 0.8 // of the predicted headroom below the target ratio
)

// latencyAction throttles a task while the ratio is high, moves one if throttling did
// not help, and lifts a throttle after LiftDelay of a low ratio.
func latencyAction(cfg Config, in Input, s State) Action {
	if in.Ratio > cfg.HighRatio {
		if s.consecutiveThrottles >= cfg.MoveAfter {
			if a := moveForLatency(cfg, in); a.Kind != None {
				return a
			}
		}
		if a := throttleForLatency(cfg, in); a.Kind != None {
			return a
		}
		return moveForLatency(cfg, in)
	}
	liftDelay := cfg.LiftDelay * time.Duration(max(s.liftDelayFactor, 1))
	if s.lowSince.IsZero() || in.MeasuredAt.Sub(s.lowSince) < liftDelay {
		return Action{}
	}
	if memoryShare(in, s) >= cfg.MemoryThrottle {
		return Action{}
	}
	return lift(cfg, in, s)
}

// expectedScore returns the learned score of a task. If it is unknown, the current
// slowdown is attributed to the tasks in proportion to their processor use.
func expectedScore(in Input, t Task) float64 {
	if t.Score > 0 {
		return t.Score
	}
	var cpu int64
	for _, other := range in.Tasks {
		cpu += other.Use.MilliCPU
	}
	if cpu == 0 {
		return 0
	}
	slowdown := max(in.Ratio-1, 0) * float64(t.Use.MilliCPU) / float64(cpu)
	return slowdown * 100 / float64(max(t.ThrottlePct, 1))
}

// pick returns the task with the largest value above zero; among equals the one
// started last, which loses the least progress, then the one with the least ID.
func pick(tasks []Task, value func(Task) float64) (Task, bool) {
	var best Task
	var most float64
	for _, t := range tasks {
		v := value(t)
		newer := t.Started.After(best.Started) || (t.Started.Equal(best.Started) && t.ID < best.ID)
		if v > most || (v > 0 && v == most && newer) {
			best, most = t, v
		}
	}
	return best, most > 0
}

// throttleForLatency lowers the limit that can reduce the slowdown most, as far as the
// target ratio requires. A limit of a task with an unknown score is at most halved,
// unless the slowdown is severe.
func throttleForLatency(cfg Config, in Input) Action {
	t, ok := pick(in.Tasks, func(t Task) float64 {
		if t.Guarded {
			return 0
		}
		return expectedScore(in, t) * float64(t.ThrottlePct-cfg.MinThrottlePct)
	})
	if !ok {
		return Action{}
	}
	percent := cfg.MinThrottlePct
	if in.Ratio < cfg.SevereRatio {
		need := (in.Ratio - cfg.targetRatio()) * 100 / expectedScore(in, t)
		percent = t.ThrottlePct - int(min(need, 100))
		if t.Score == 0 {
			percent = max(percent, t.ThrottlePct/2)
		}
	}
	return throttle(cfg, t, percent)
}

// throttle limits a task to percent, rounded down to a step and at least one step
// below its current limit, but not below MinThrottlePct.
func throttle(cfg Config, t Task, percent int) Action {
	percent = min(percent, t.ThrottlePct-percentStep)
	percent = max(percent/percentStep*percentStep, cfg.MinThrottlePct)
	return Action{Kind: Throttle, TaskID: t.ID, Run: t.Run, Percent: percent}
}

// moveForLatency moves the task at the lowest limit with the highest score, within the
// eviction budgets of its job and of the worker.
func moveForLatency(cfg Config, in Input) Action {
	if in.EvictionsLeft <= 0 {
		return Action{}
	}
	t, ok := pick(in.Tasks, func(t Task) float64 {
		if t.Guarded || t.ThrottlePct > cfg.MinThrottlePct || t.EvictionsLeft <= 0 || in.Now.Sub(t.Started) < cfg.MinRunTime {
			return 0
		}
		return expectedScore(in, t)
	})
	if !ok {
		return Action{}
	}
	return Action{Kind: Move, TaskID: t.ID, Run: t.Run, Cause: job.CauseInterference}
}

// lift raises the limit of the task whose lift slows checks down least.
func lift(cfg Config, in Input, s State) Action {
	var best Task
	percent := 0
	for _, t := range in.Tasks {
		lifted := liftedPct(cfg, in, s, t)
		if t.Guarded || lifted <= t.ThrottlePct {
			continue
		}
		if percent == 0 || t.Score < best.Score || (t.Score == best.Score && t.Started.Before(best.Started)) {
			best, percent = t, lifted
		}
	}
	if percent == 0 {
		return Action{}
	}
	return Action{Kind: Lift, TaskID: best.ID, Run: best.Run, Percent: percent}
}

// liftedPct returns the next limit of a task; the predicted ratio stays below the target.
func liftedPct(cfg Config, in Input, s State, t Task) int {
	if t.ThrottlePct >= 100 {
		return t.ThrottlePct
	}
	raise, score := firstLiftPct, t.Score
	if s.last.Kind == Lift && s.last.TaskID == t.ID {
		raise = min(2*(s.last.Percent-s.previousPct), maxLiftPct)
		score = max(score, s.observedScore)
	}
	if score > 0 {
		headroom := liftShare * (cfg.targetRatio() - max(in.Ratio, 1)) * 100 / score
		raise = int(min(headroom, float64(raise)))
	}
	percent := t.ThrottlePct + raise
	return min(percent/percentStep*percentStep, 100)
}
