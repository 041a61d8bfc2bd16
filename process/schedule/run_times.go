package schedule

import (
	"slices"
	"time"

	"camphorhead.example/camphorhead/process/metrics"
	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/request/runtimes"
)

// keptRunTimes is the number of latest run times that a step keeps. Their median is not moved by
// the 3% of runs that take several times as long.
const keptRunTimes = 7

// minEndedRuns is the number of ended runs of a step that decide its expected run time if its kind
// has an estimate too: a single one may be far off.
const minEndedRuns = 2

// endedRuns are the latest run times of one step.
type endedRuns struct {
	count int // of all run times, kept or not
	took  [keptRunTimes]time.Duration
}

func (e *endedRuns) add(took time.Duration) {
	e.took[e.count%keptRunTimes] = took
	e.count++
}

// median returns the median of the kept run times; there must be one.
func (e *endedRuns) median() time.Duration {
	n := min(e.count, keptRunTimes)
	sorted := e.took
	slices.Sort(sorted[:n])
	return (sorted[(n-1)/2] + sorted[n/2]) / 2
}

func (s *stepState) kind() runtimes.Kind {
	return runtimes.Kind{Profile: s.job().def.Profile, Image: s.def.Image}
}

func declaredRunTime(def *job.Step) time.Duration {
	return time.Duration(def.EstimateMs) * time.Millisecond
}

// expectedRunTime returns the expected run time of one task of a step from its beginning to its end,
// on the rack of its data or of its group if it has one: that of the tasks of the step that are done,
// else the one learned for its kind, else the declared one. With Features.LearnRunTimes off, and for
// long-running steps, it is the declared one, which may be 0: unknown.
func (t *Table) expectedRunTime(s *stepState) time.Duration {
	if !t.cfg.Features.LearnRunTimes || s.def.LongRunning {
		return declaredRunTime(s.def)
	}
	if s.ended.count >= minEndedRuns {
		return s.ended.median()
	}
	if e, ok := t.runTimes.Expect(s.kind(), declaredRunTime(s.def)); ok {
		return e.Mean
	}
	if s.ended.count > 0 {
		return s.ended.median()
	}
	return declaredRunTime(s.def)
}

// updatePaths sets the expected run times and the critical paths of an occurrence and its job, when it
// is created and when ended runs have changed the expectation of a step. The path of the job, by which
// it is due, and those of its steps change together: a due time by the declared run times made jobs
// late whose remaining time followed the longer actual ones.
func (t *Table) updatePaths(o *occurrence) {
	list := make([]int64, len(o.steps))
	for i, s := range o.steps {
		list[i] = t.expectedRunTime(s).Milliseconds()
	}
	o.job.criticalPathMs = 0
	for i, ms := range criticalPaths(o.job.def.Steps, list) {
		o.steps[i].runTimeMs, o.steps[i].criticalPathMs = list[i], ms
		o.job.criticalPathMs = max(o.job.criticalPathMs, ms)
	}
}

// learnRunTime records the run time of a task that is done. It learns nothing from a run of which
// it does not know the beginning.
func (t *Table) learnRunTime(run *runState, took time.Duration) {
	if !t.cfg.Features.LearnRunTimes || run.partial {
		return
	}
	s := run.task.step
	if e, ok := t.runTimes.Expect(s.kind(), declaredRunTime(s.def)); ok {
		t.cfg.Meter.ObserveRatio(metrics.RunAgainstLearned, took.Seconds()/e.Mean.Seconds())
	}
	far := s.severalRacks && s.def.SameRack || s.def.Rack != "" && run.agent.worker.Rack != s.def.Rack
	t.runTimes.Observe(s.kind(), declaredRunTime(s.def), took, far)
	t.modelVersion++
	if far {
		factor, ok := t.runTimes.FarFactor(s.kind())
		if !ok {
			factor = t.cfg.Features.FarFactor
		}
		if factor < 1 {
			return // unknown
		}
		took = time.Duration(float64(took) / factor)
	}
	s.ended.add(took)
	if s.ended.count <= keptRunTimes || s.ended.count%keptRunTimes == 0 {
		t.updatePaths(s.occurrence)
	}
}

// recordRack records the rack of a new run of the step.
func (s *stepState) recordRack(rack string) {
	switch {
	case s.rack == "":
		s.rack = rack
	case s.rack != rack:
		s.severalRacks = true
	}
}
