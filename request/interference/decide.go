// Package interference decides how an agent protects the checks of its worker from the
// batch tasks beside them: it throttles tasks, moves them to other workers and lifts
// throttles again. Pairings and Pressure are models of interference.
//
// Decide is a pure function from a delayed measurement and the state that it
// returned last to at most one action. It acts only on measurements taken after
// the effect of the previous action became measurable, so a delayed measurement
// never makes it act twice on one cause.
package interference

import (
	"time"

	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/request/resources"
)

// Kind is the kind of an action.
type Kind uint8

// The kinds of actions.
const (
	None     Kind = iota
	Throttle      // lower the limit on a task's speed
	Lift          // raise or remove that limit
	Move          // checkpoint, stop, resume on another worker
)

// Action is what the agent does next with one task.
type Action struct {
	Kind   Kind
	TaskID string // Task.ID
	Run    uint32
	// Percent is the new limit, for Throttle and Lift; 100 removes the limit.
	Percent int
	Cause   job.EvictionCause // set for Move
	// OverBudget marks a Move beyond the job's eviction budget, only when memory is
	// about to run out and no task has budget left.
	OverBudget bool
}

// Task is one task on the worker.
type Task struct {
	ID       string // in the form of job.TaskID.String
	Run      uint32
	Profile  string
	Declared resources.Resources
	Use      resources.Resources // at Input.MeasuredAt
	// ThrottlePct is the current limit on the task's speed; 100 means no limit.
	ThrottlePct int
	Started     time.Time
	// Score is the learned rise of Input.Ratio by this task at full speed; 0 if unknown.
	Score         float64
	EvictionsLeft int // of the job's eviction budget
	// Guarded marks a filling task: Guard alone sets its limit, so Decide only moves it to
	// free memory. A lift by Decide would undo a pause by Guard.
	Guarded bool
}

// Input is one measurement of the worker.
type Input struct {
	Now time.Time
	// MeasuredAt is when the measurement was taken; Now less this is its lag.
	MeasuredAt time.Time
	// Ratio is the smoothed latency of checks relative to the baseline without
	// batch tasks; 0 if there were too few checks.
	Ratio            float64
	MemoryUsedMB     int64
	MemoryCapacityMB int64
	EvictionsLeft    int // of the worker's own eviction budget
	Tasks            []Task
}

// Config holds the thresholds of Decide.
type Config struct {
	// Throttling begins above HighRatio and lifting below LowRatio. From
	// SevereRatio on, a task is throttled to the minimum at once.
	HighRatio   float64
	LowRatio    float64
	SevereRatio float64
	// MinThrottlePct is the lowest limit; below it a task makes hardly any progress.
	MinThrottlePct int
	// SettleTime is the time until an action shows in the smoothed ratio.
	SettleTime time.Duration
	// MaxLag is the age beyond which a measurement is ignored.
	MaxLag time.Duration
	// LiftDelay is how long the ratio must stay below LowRatio before a lift.
	LiftDelay time.Duration
	// MinRunTime is how long a task runs before it may be moved for interference.
	MinRunTime time.Duration
	// MoveAfter is the number of consecutive throttles without relief after which a task
	// at the lowest limit is moved.
	MoveAfter int
	// From these shares of the memory capacity on a task is throttled, moved within its
	// eviction budget, and moved beyond it.
	MemoryThrottle float64
	MemoryEvict    float64
	MemoryCritical float64
}

// DefaultConfig returns the default thresholds.
func DefaultConfig() Config {
	return Config{
		HighRatio:      1.30,
		LowRatio:       1.10,
		SevereRatio:    2.0,
		MinThrottlePct: 10,
		SettleTime:     5 * time.Second,
		MaxLag:         time.Minute,
		LiftDelay:      30 * time.Second,
		MinRunTime:     time.Minute,
		MoveAfter:      3,
		MemoryThrottle: 0.85,
		MemoryEvict:    0.92,
		MemoryCritical: 0.97,
	}
}

// targetRatio is the ratio that a change of a throttle aims at.
func (c Config) targetRatio() float64 { return (c.HighRatio + c.LowRatio) / 2 }

// maxLiftDelayFactor bounds the growth of LiftDelay after reverted lifts.
const maxLiftDelayFactor = 32

// State is kept from one Decide to the next. The zero value is the initial state.
type State struct {
	measuredAt    time.Time // of the latest measurement
	lastAction    time.Time
	last          Action
	previousPct   int     // limit on the task last.TaskID before last
	previousRatio float64 // ratio before last
	profile       string  // of the task last.TaskID
	effectPending bool    // the effect of last has not been observed yet
	observedScore float64 // score derived from the effect of last; 0 while unknown

	lowSince             time.Time // measurement time since which the ratio is below LowRatio; zero if it is not
	liftDelayFactor      int       // doubles with each lift that a throttle reverted
	consecutiveThrottles int       // throttles in a row while the ratio stayed above HighRatio

	memoryMB     map[string]int64 // by task id, at measuredAt
	memoryGrowth float64          // smoothed, MB per second
}

// Observation is derived from the effect of an action on a task.
type Observation struct {
	Profile string
	// Score is the rise of Input.Ratio by one task of the profile at full speed.
	Score float64
}

// Decide returns the next action, the state for the next call and, once the effect of
// the previous action is measurable, the observation derived from it. The agent calls
// it once per measurement of its worker; repeated or too old ones change nothing.
func Decide(cfg Config, in Input, s State) (Action, State, *Observation) {
	if !in.MeasuredAt.After(s.measuredAt) || in.Now.Sub(in.MeasuredAt) > cfg.MaxLag {
		return Action{}, s, nil
	}
	s = s.updateMemoryGrowth(in)
	s.measuredAt = in.MeasuredAt
	if !s.lastAction.IsZero() && in.MeasuredAt.Before(s.lastAction.Add(cfg.SettleTime)) {
		return Action{}, s, nil
	}
	observation := s.observation(in)
	s.effectPending = false
	if observation != nil {
		s.observedScore = observation.Score
	}
	s = s.updateRatio(cfg, in)

	action := memoryAction(cfg, in, s)
	if action.Kind == None {
		action = latencyAction(cfg, in, s)
	}
	if action.Kind == None {
		return action, s, observation
	}
	return action, s.recordAction(action, in), observation
}

// updateMemoryGrowth counts only tasks that were measured before, because a task that
// starts allocates its memory at once, which is no sign of further growth.
func (s State) updateMemoryGrowth(in Input) State {
	present := make(map[string]int64, len(in.Tasks))
	var growth int64
	for _, t := range in.Tasks {
		if t.Use.MemoryMB == 0 {
			continue
		}
		present[t.ID] = t.Use.MemoryMB
		if before, ok := s.memoryMB[t.ID]; ok {
			growth += t.Use.MemoryMB - before
		}
	}
	if !s.measuredAt.IsZero() {
		seconds := in.MeasuredAt.Sub(s.measuredAt).Seconds()
		s.memoryGrowth = (s.memoryGrowth + float64(growth)/seconds) / 2
	}
	s.memoryMB = present
	return s
}

func (s State) updateRatio(cfg Config, in Input) State {
	if in.Ratio <= cfg.HighRatio {
		s.consecutiveThrottles = 0
	}
	switch {
	case in.Ratio >= cfg.LowRatio:
		s.lowSince = time.Time{}
	case s.lowSince.IsZero():
		s.lowSince = in.MeasuredAt
	}
	return s
}

// recordAction doubles the delay of the next lift after a throttle that reverts a lift,
// and halves it after two lifts in a row.
func (s State) recordAction(a Action, in Input) State {
	s.liftDelayFactor = max(s.liftDelayFactor, 1)
	switch {
	case a.Kind == Throttle && s.last.Kind == Lift:
		s.liftDelayFactor = min(2*s.liftDelayFactor, maxLiftDelayFactor)
	case a.Kind == Lift && s.last.Kind == Lift:
		s.liftDelayFactor = max(s.liftDelayFactor/2, 1)
	}
	if a.Kind == Throttle {
		s.consecutiveThrottles++
	} else {
		s.consecutiveThrottles = 0
	}
	for _, t := range in.Tasks {
		if t.ID == a.TaskID {
			s.previousPct, s.profile = t.ThrottlePct, t.Profile
		}
	}
	s.last, s.lastAction = a, in.Now
	s.previousRatio, s.effectPending, s.observedScore = in.Ratio, true, 0
	s.lowSince = time.Time{}
	return s
}

const (
	// minObservedChangePct is the least change of a limit with an effect above noise.
	minObservedChangePct = 10
	// minScore is the score of a harmless task; 0 would mean unknown.
	minScore = 0.001
)

// observation derives a score from the effect of the last action. It is nil without a
// new effect, with too few checks or after too small a change of the limit.
func (s State) observation(in Input) *Observation {
	if !s.effectPending || s.previousRatio == 0 || in.Ratio == 0 {
		return nil
	}
	toPct := s.last.Percent
	if s.last.Kind == Move {
		toPct = 0
	}
	change := s.previousPct - toPct
	if max(change, -change) < minObservedChangePct {
		return nil
	}
	score := (s.previousRatio - in.Ratio) * 100 / float64(change)
	return &Observation{Profile: s.profile, Score: max(score, minScore)}
}
