package schedule

import (
	"time"

	"camphorhead.example/camphorhead/process/metrics"
	"camphorhead.example/camphorhead/request/job"
)

// measurePlaced records how long the step of a placed task has been ready. For the first
// task of a step that depends on others, this is also recorded as the gap between steps.
func (t *Table) measurePlaced(now time.Time, task *taskState) {
	s := task.step
	wait := now.Sub(s.readyAt)
	t.cfg.Meter.Add(metrics.RunsPlaced, 1)
	t.cfg.Meter.Observe(metrics.QueueWait, wait)
	if len(s.def.After) > 0 && s.pending == len(s.tasks)-1 && s.tasksLeft == len(s.tasks) {
		t.cfg.Meter.Observe(metrics.StepGap, wait)
	}
}

// measureEnd records the duration of a run that is done, relative to its estimate, or the
// work lost with another run. Long-running tasks and unconfirmed runs are not measured.
func (t *Table) measureEnd(now time.Time, run *runState, how job.EndKind) {
	def := run.task.step.def
	switch {
	case def.LongRunning || run.confirmedAt.IsZero():
	case how != job.EndDone:
		t.measureLostWork(now, run, how)
	default:
		took := now.Sub(run.confirmedAt)
		if def.EstimateMs > 0 {
			t.cfg.Meter.ObserveRatio(metrics.RunAgainstEstimate, float64(took.Milliseconds())/float64(def.EstimateMs))
		}
		t.learnRunTime(run, took)
	}
}

// measureLostWork counts the work of a run since its last checkpoint, or since its start if
// it has none, in milli-CPU seconds.
func (t *Table) measureLostWork(now time.Time, run *runState, how job.EndKind) {
	since := run.confirmedAt
	if run.task.checkpoint != "" && run.checkpointAt.After(since) {
		since = run.checkpointAt
	}
	t.cfg.Meter.AddFor(metrics.WorkLost, how.String(), int64(now.Sub(since).Seconds()*float64(run.task.step.def.Need.MilliCPU)))
}
