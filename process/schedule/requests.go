package schedule

import (
	"slices"
	"time"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/process/metrics"
	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/request/outcome"
)

// Record returns the record of a job with a request, as its caller may be shown
// it; nil for a job that is not known here, or whose record is in the store.
func (t *Table) Record(id string) *job.Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	j := t.jobs[id]
	if j == nil || j.def.Request == nil || j.dropped {
		return nil
	}
	r := j.record()
	if j.state.Terminal() && j.durable < j.version {
		// The end may still be lost with this process.
		r.State, r.FinishedMs, r.Result, r.Failure = job.Running, 0, nil, nil
	}
	return &r
}

// record is the record of a job with a request, its end included.
func (j *jobState) record() job.Record {
	r := j.def.Record()
	r.CancelRequested = j.cancelled
	if j.state.Terminal() {
		r.State, r.Result, r.Failure, r.FinishedMs = j.state, j.result, j.failure, j.endedAt.UnixMilli()
	}
	if len(j.occurrences) == 0 {
		return r // it was cancelled before this leader learned of it
	}
	task := &j.occurrences[0].steps[0].tasks[0]
	r.Checkpoint, r.Incarnation = task.checkpoint, task.lastRun
	r.StartFailures = uint32(j.progress.FailuresOf(task.id()))
	if saved := j.progress.Task; saved != nil {
		r.Evictions, r.FailedOn = saved.Evictions, slices.Clone(saved.FailedOn)
	}
	switch run := task.run; {
	case j.state.Terminal():
	case run != nil && run.confirmed.IsZero():
		r.State, r.Agent = job.Assigned, run.agent.id
	case run != nil:
		r.State, r.Agent = job.Running, run.agent.id
	case task.phase == taskUnknown:
		r.State = job.Assigned
	case r.Evictions > 0:
		r.State = job.Evicted
	}
	return r
}

// saved returns the durable part of what has become of the one task.
func (j *jobState) saved() *job.TaskProgress {
	if j.progress.Task == nil {
		j.progress.Task = &job.TaskProgress{}
	}
	return j.progress.Task
}

// evicted notes that a run of a job with a request ended before its task did.
func (t *Table) evicted(now time.Time, task *taskState, run uint32, cause job.EvictionCause) {
	j := task.step.job()
	if j.def.Request == nil || j.state.Terminal() {
		return
	}
	saved := j.saved()
	saved.Evictions++
	saved.Checkpoint, task.savedAt = task.checkpoint, now
	t.touch(j)
	t.cfg.Meter.AddFor(metrics.Evictions, string(cause), 1)
	t.cfg.Log.Emit(event.JobEvicted, "job", j.def.ID, "incarnation", run, "cause", cause)
}

// saveCheckpoint makes the checkpoint of a running task durable from time to
// time, from which the task goes on when its worker and this process are lost.
func (t *Table) saveCheckpoint(now time.Time, task *taskState) {
	j := task.step.job()
	if t.cfg.Checkpoint == 0 || j.def.Request == nil || j.state.Terminal() || now.Sub(task.savedAt) < t.cfg.Checkpoint {
		return
	}
	if saved := j.saved(); saved.Checkpoint != task.checkpoint {
		saved.Checkpoint, task.savedAt = task.checkpoint, now
		t.touch(j)
	}
}

// requestFailed decides what follows the failure of the one task of a job with
// a request: another worker tries, or the job has failed.
func (t *Table) requestFailed(now time.Time, a *agentState, task *taskState, e *message.RunEnd) {
	j := task.step.job()
	if !j.progress.AddFailure(task.id(), e.Key.Run) {
		return
	}
	saved := j.saved()
	healthy := t.passing(saved.FailedOn)
	if !e.Early || !j.def.Request.RetriesStart(j.progress.FailuresOf(task.id()), healthy) {
		j.failure = outcome.New(outcome.TaskFailed, e.Message)
		t.end(now, j, job.Failed)
		return
	}
	saved.FailedOn = append(slices.DeleteFunc(saved.FailedOn, func(id string) bool { return id == a.id }), a.id)
	task.avoid = slices.Clone(saved.FailedOn)
	t.touch(j)
	t.again(now, task)
}

// refuse ends a job with a request that no worker could ever hold. It reports
// false while that is not certain, as soon after the begin of a term.
func (t *Table) refuse(now time.Time, s *stepState) bool {
	j := s.job()
	if j.def.Request == nil || now.Sub(t.began) < t.cfg.Settle {
		return false
	}
	reason, never := t.capacities.NeverFits(s.def.Charge())
	if !never {
		return false
	}
	j.failure = outcome.Field(outcome.NeverFits, "resources", reason)
	t.cfg.Log.Emit(event.JobRefused, "kind", outcome.NeverFits, "profile", j.def.Profile,
		"franchisee", j.def.Request.Franchisee, "reason", reason, "ran", outcome.RanNo)
	t.end(now, j, job.Failed)
	return true
}
