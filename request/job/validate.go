package job

import "camphorhead.example/camphorhead/request/outcome"

const (
	// MaxTasks is the largest number of tasks of a job, over all its occurrences.
	MaxTasks = 1 << 16
	maxLimit = 1 << 32 // of a limit on a number of tasks
	// maxEstimateMs bounds the estimated run time of a task, about two years.
	maxEstimateMs = 1 << 36
	// maxTimeMs bounds the first due time and the interval of a job, so that the due time
	// of each occurrence is representable.
	maxTimeMs = 1 << 43
)

// Validate returns an *outcome.Error that names the first field whose value the leader
// cannot work with, or nil. Definitions come from callers, and from a store to which
// others may write.
func (d *Definition) Validate() error {
	tasks := 0
	for i := range d.Steps {
		if err := d.Steps[i].validate(i); err != nil {
			return err
		}
		if tasks += d.Steps[i].Count; tasks > MaxTasks {
			return invalidSteps("a job may have at most 65536 tasks")
		}
	}
	switch {
	case tasks == 0:
		return invalidSteps("a job needs at least 1 step")
	case d.Occurrences < 0 || d.Occurrences > MaxTasks || d.OccurrenceCount()*tasks > MaxTasks:
		return invalidSteps("a job needs 0 or more repeats, and at most 65536 tasks in all of them")
	case !inRange(d.FirstMs, maxTimeMs) || !inRange(d.IntervalMs, maxTimeMs):
		return invalidSteps("the first due time and the interval of a job must be at least 0 and below the year 2248")
	}
	return nil
}

// validate checks the step with the given index in its job.
func (s *Step) validate(index int) error {
	for _, before := range s.After {
		if before < 0 || before >= index {
			return invalidSteps("a step may only come after earlier steps")
		}
	}
	switch {
	case s.Count < 1 || s.Count > MaxTasks:
		return invalidSteps("each step needs 1 to 65536 tasks")
	case !s.Need.InRange():
		return invalidSteps("the resources of a task must be at least 0 and at most 2^30")
	case !inRange(s.EstimateMs, maxEstimateMs) || !inRange(s.TargetMs, maxEstimateMs):
		return invalidSteps("the estimated time and the latency target of a task must be at least 0 and below two years")
	case !inRange(int64(s.Spread), maxLimit) || !inRange(int64(s.MaxUnavailable), maxLimit):
		return invalidSteps("a limit on the number of tasks must be at least 0 and at most 2^32")
	}
	return nil
}

func inRange(value, limit int64) bool { return value >= 0 && value <= limit }

func invalidSteps(message string) error {
	return outcome.Field(outcome.InvalidField, "steps", message)
}
