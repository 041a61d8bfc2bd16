package interference

import "camphorhead.example/camphorhead/request/job"

// memoryShare predicts the share of memory in use when the effect of an action taken
// now can be measured: two lags after the measurement.
func memoryShare(in Input, s State) float64 {
	if in.MemoryCapacityMB <= 0 {
		return 0
	}
	lag := in.Now.Sub(in.MeasuredAt).Seconds()
	predicted := float64(in.MemoryUsedMB) + max(s.memoryGrowth, 0)*2*lag
	return predicted / float64(in.MemoryCapacityMB)
}

// memoryAction throttles a task that uses more memory than it declared, and evicts one
// before memory runs out, the largest overrun first. The worker's own eviction budget
// and MinRunTime do not apply, because running out of memory costs more work than one
// eviction.
func memoryAction(cfg Config, in Input, s State) Action {
	share := memoryShare(in, s)
	if share < cfg.MemoryThrottle {
		return Action{}
	}
	if share >= cfg.MemoryEvict {
		if t, ok := pickByMemory(in, func(t Task) bool { return t.EvictionsLeft > 0 }); ok {
			return Action{Kind: Move, TaskID: t.ID, Run: t.Run, Cause: job.CauseMemory}
		}
	}
	overruns := func(t Task) bool {
		return !t.Guarded && t.ThrottlePct > cfg.MinThrottlePct && t.Use.MemoryMB > t.Declared.MemoryMB
	}
	if t, ok := pickByMemory(in, overruns); ok && share < cfg.MemoryCritical {
		return throttle(cfg, t, t.ThrottlePct/2)
	}
	if float64(in.MemoryUsedMB) < cfg.MemoryCritical*float64(in.MemoryCapacityMB) {
		return Action{}
	}
	if t, ok := pickByMemory(in, func(Task) bool { return true }); ok {
		return Action{Kind: Move, TaskID: t.ID, Run: t.Run, Cause: job.CauseMemory, OverBudget: true}
	}
	return Action{}
}

// pickByMemory returns the qualifying task with the largest overrun of its
// declared memory, among equal overruns the one that uses most.
func pickByMemory(in Input, qualifies func(Task) bool) (best Task, found bool) {
	for _, t := range in.Tasks {
		if !qualifies(t) {
			continue
		}
		excess := overrunMB(t) - overrunMB(best)
		if !found || excess > 0 || (excess == 0 && t.Use.MemoryMB > best.Use.MemoryMB) {
			best, found = t, true
		}
	}
	return best, found
}

func overrunMB(t Task) int64 { return max(t.Use.MemoryMB-t.Declared.MemoryMB, 0) }
