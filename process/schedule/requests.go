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

// Record returns the record of a job with a request for its caller, without an end that is
// not durable. It is nil if the table does not contain the job, the job has no request, or
// its result is in the store only.
func (t *Table) Record(id string) *job.Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	j := t.jobs[id]
	if j == nil || j.def.Request == nil || j.resultDropped {
		return nil
	}
	r := j.record()
	if j.state.Terminal() && j.durableVersion < j.version {
		// The end is lost if this process fails now.
		r.State, r.FinishedMs, r.Result, r.Failure = job.Running, 0, nil, nil
	}
	return &r
}

// record returns the record of a job with a request, including an end that is not durable.
func (j *jobState) record() job.Record {
	r := j.def.Record()
	r.CancelRequested = j.cancelled
	if j.state.Terminal() {
		r.State, r.Result, r.Failure, r.FinishedMs = j.state, j.result, j.failure, j.endedAt.UnixMilli()
	}
	if len(j.occurrences) == 0 {
		return r // cancelled before this leader received the job
	}
	task := &j.occurrences[0].steps[0].tasks[0]
	r.Checkpoint, r.Incarnation = task.checkpoint, task.lastRun
	r.StartFailures = uint32(j.progress.FailuresOf(task.id()))
	if saved := j.progress.Task; saved != nil {
		r.Evictions, r.FailedOn = saved.Evictions, slices.Clone(saved.FailedOn)
	}
	switch run := task.run; {
	case j.state.Terminal():
	case run != nil && run.confirmedAt.IsZero():
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

// taskProgress returns the durable progress of the only task of a job with a request.
func (j *jobState) taskProgress() *job.TaskProgress {
	if j.progress.Task == nil {
		j.progress.Task = &job.TaskProgress{}
	}
	return j.progress.Task
}

// recordEviction counts a run that ended before its task was done. Jobs without a request
// are not counted.
func (t *Table) recordEviction(now time.Time, task *taskState, run uint32, cause job.EvictionCause) {
	j := task.step.job()
	if j.def.Request == nil || j.state.Terminal() {
		return
	}
	saved := j.taskProgress()
	saved.Evictions++
	saved.Checkpoint, task.checkpointSavedAt = task.checkpoint, now
	t.markDirty(j)
	t.cfg.Meter.AddFor(metrics.Evictions, string(cause), 1)
	t.cfg.Log.Emit(event.JobEvicted, "job", j.def.ID, "incarnation", run, "cause", cause)
}

// saveCheckpoint queues the checkpoint of a running task for the store, at most once per
// Config.CheckpointInterval. The task resumes from it if both its worker and this
// process fail.
func (t *Table) saveCheckpoint(now time.Time, task *taskState) {
	j := task.step.job()
	if t.cfg.CheckpointInterval == 0 || j.def.Request == nil || j.state.Terminal() || now.Sub(task.checkpointSavedAt) < t.cfg.CheckpointInterval {
		return
	}
	if saved := j.taskProgress(); saved.Checkpoint != task.checkpoint {
		saved.Checkpoint, task.checkpointSavedAt = task.checkpoint, now
		t.markDirty(j)
	}
}

// handleRequestFailure decides what follows a failed run of a job with a request. After an
// early failure, which the worker may have caused, the task is retried on another worker
// as far as the request allows; otherwise the job fails.
func (t *Table) handleRequestFailure(now time.Time, a *agentState, task *taskState, e *message.RunEnd) {
	j := task.step.job()
	if !j.progress.AddFailure(task.id(), e.Key.Run) {
		return
	}
	saved := j.taskProgress()
	healthy := t.countStartingAgents(saved.FailedOn)
	if !e.Early || !j.def.Request.RetriesStart(j.progress.FailuresOf(task.id()), healthy) {
		j.failure = outcome.New(outcome.TaskFailed, e.Message)
		t.finishJob(now, j, job.Failed)
		return
	}
	saved.FailedOn = append(slices.DeleteFunc(saved.FailedOn, func(id string) bool { return id == a.id }), a.id)
	task.avoidedAgents = slices.Clone(saved.FailedOn)
	t.markDirty(j)
	t.requeue(now, task)
}

// failIfNeverFits fails a job with a request that no worker seen so far could run, and
// reports whether it did. It does nothing within Config.NeverFitsDelay.
func (t *Table) failIfNeverFits(now time.Time, s *stepState) bool {
	j := s.job()
	if j.def.Request == nil || now.Sub(t.createdAt) < t.cfg.NeverFitsDelay {
		return false
	}
	reason, never := t.capacities.NeverFits(s.def.Charge())
	if !never {
		return false
	}
	j.failure = outcome.Field(outcome.NeverFits, "resources", reason)
	t.cfg.Log.Emit(event.JobRefused, "job", j.def.ID, "kind", outcome.NeverFits, "profile", j.def.Profile,
		"franchisee", j.def.Request.Franchisee, "reason", reason, "ran", outcome.RanNo)
	t.finishJob(now, j, job.Failed)
	return true
}
