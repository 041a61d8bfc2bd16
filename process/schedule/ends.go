package schedule

import (
	"slices"
	"time"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/process/metrics"
	"camphorhead.example/camphorhead/request/job"
)

const (
	maxAvoidedAgents = 4 // per task
	// refusalPause is how long an agent gets no new runs after it refused a start for
	// lack of capacity: its next report contains the capacity that it has.
	refusalPause = 200 * time.Millisecond
	// leasePause is the pause after a refusal for lack of a lease: by then the agent has
	// reported that its worker does not respond, or it reports to the leader again.
	leasePause = time.Second
)

// recordEnd applies the reported end of a run and queues its acknowledgement. listed is set if
// the same report lists the run: then the agent was wrong about the end, which does not count.
func (t *Table) recordEnd(now time.Time, a *agentState, e *message.RunEnd, listed bool) {
	switch task := t.task(e.Key.Task); {
	case listed:
		t.logEnd(a, e, "listed")
	case task != nil:
		t.applyEnd(now, a, task, e)
	}
	if e.Serial == 0 {
		return
	}
	// A job that has ended here may lack the occurrence of the run. The end of the job is needed too:
	// without it, the next leader starts the occurrence.
	j := t.jobs[e.Key.Task.Job]
	pending := pendingEnd{serial: e.Serial, job: j}
	if j != nil {
		pending.version = j.version
	}
	a.ends = append(a.ends, pending)
}

// applyEnd decides what an end means for its task: done, failed or requeued. It ignores
// the end of an orphaned run, of a run whose lease had expired before, and of one that a
// later run supersedes.
func (t *Table) applyEnd(now time.Time, a *agentState, task *taskState, e *message.RunEnd) {
	how := e.How
	run := a.runs[e.Key]
	if e.Void {
		how = job.EndLeaseExpired
	}
	superseded := run == nil && task.hasLaterRun(e.Key.Run)
	task.lastRun = max(task.lastRun, e.Key.Run)
	if run == nil && (e.Key.Run <= task.lastExpiredRun || superseded && !countsDespiteLaterRun(task, how) || how != job.EndDone && how != job.EndFailed) {
		if how == job.EndStopped && e.Key.Run > task.lastExpiredRun && !superseded && e.Checkpoint != "" {
			// A stop that an earlier leader ordered: the end decides nothing, but the task goes on from
			// its checkpoint.
			task.checkpoint = e.Checkpoint
			t.saveCheckpoint(now, task)
		}
		t.logEnd(a, e, "superseded")
		return
	}
	if run != nil {
		t.release(run)
	}
	if run != nil && run.orphaned {
		t.logEnd(a, e, "stray")
		return
	}
	if e.Checkpoint != "" && !superseded {
		task.checkpoint = e.Checkpoint
	}
	t.logEnd(a, e, "")
	if run != nil {
		t.updateHealth(now, a, run, how, e.Early)
		t.measureEnd(now, run, how)
	}
	j := task.step.job()
	if how != job.EndLeaseExpired {
		t.leaveQueue(j)
	}
	switch {
	case task.phase == taskDone || j.state.Terminal():
	case how == job.EndDone && !task.step.def.LongRunning:
		if j.def.Request != nil {
			j.result = e.Result
		}
		t.completeTask(now, task)
	case how == job.EndFailed && j.def.Request != nil:
		t.handleRequestFailure(now, a, task, e)
	case how == job.EndFailed:
		t.handleTaskFailure(now, a, task, e.Key.Run)
	default:
		if how == job.EndLeaseExpired {
			t.recordExpiry(task, e.Key.Run)
		}
		t.recordEviction(now, task, e.Key.Run, causeOf(run, e))
		if e.Cause == job.CauseInterference || e.Cause == job.CauseMemory {
			task.avoidAgent(a.id)
		}
		t.requeue(now, task)
	}
}

// recordExpiry records that a run counts as ended because its lease expired, so that another end
// of it does not count. The next leader knows that too once the record is durable.
func (t *Table) recordExpiry(task *taskState, run uint32) {
	task.lastExpiredRun = max(task.lastExpiredRun, run)
	j := task.step.job()
	if task.phase != taskDone && !j.state.Terminal() && j.progress.SetExpired(task.id(), run) {
		t.markDirty(j)
	}
}

// hasLaterRun reports whether the task has had a run with a higher number, which a leader
// ordered only when the numbered run was known to have ended. It is false for speculative
// tasks, whose runs may overlap.
func (t *taskState) hasLaterRun(number uint32) bool {
	return t.lastRun > number && !t.step.def.Speculative
}

// countsDespiteLaterRun reports whether an end counts although the task has had a later
// run. A failure does, because it uses up an attempt: the previous leader may have applied
// it without making it durable. Jobs with a request count their attempts separately.
func countsDespiteLaterRun(task *taskState, how job.EndKind) bool {
	return how == job.EndFailed && task.step.job().def.Request == nil
}

// causeOf returns why a run ended before its task was done.
func causeOf(run *runState, e *message.RunEnd) job.EvictionCause {
	switch {
	case run != nil && run.cause != "":
		return run.cause
	case e.Cause != "":
		return e.Cause
	}
	return job.CauseLease
}

// avoidAgent makes a task avoid the agent's worker while others have capacity.
func (t *taskState) avoidAgent(id string) {
	if slices.Contains(t.avoidedAgents, id) {
		return
	}
	t.avoidedAgents = append(t.avoidedAgents, id)
	if len(t.avoidedAgents) > maxAvoidedAgents {
		t.avoidedAgents = t.avoidedAgents[1:]
	}
}

// logEnd logs the end of a run. ignored is why it does not count; empty if it does.
func (t *Table) logEnd(a *agentState, e *message.RunEnd, ignored string) {
	t.cfg.Log.Emit(event.RunEnded, "task", e.Key.Task.String(), "run", e.Key.Run, "agent", a.id,
		"state", e.How.String(), "void", e.Void, "cause", ignored)
}

// completeTask marks a task as done, and with the last one of a step updates the steps that
// depend on it and finishes the occurrence if it is complete.
func (t *Table) completeTask(now time.Time, task *taskState) {
	s := task.step
	j := s.job()
	if s.def.Gang {
		// A gang is done when one of its members is done.
		for i := range s.tasks {
			t.markDone(&s.tasks[i])
		}
	}
	t.markDone(task)
	t.markDirty(j)
	if s.tasksLeft > 0 {
		return
	}
	o := s.occurrence
	for _, next := range o.steps {
		if slices.Contains(next.def.After, s.index) {
			next.unmetDependencies--
			t.updateReady(now, next)
		}
	}
	o.stepsLeft--
	t.finishIfDone(now, o)
}

func (t *Table) markDone(task *taskState) {
	if task.phase == taskDone {
		return
	}
	if task.phase == taskWaiting {
		task.step.pending--
	}
	task.phase = taskDone
	t.dropReservation(task)
	j := task.step.job()
	if task.run != nil {
		t.stop(task.run) // an earlier run, or another member of the gang, is done
	}
	j.progress.SetDone(j.def, task.id())
	task.step.tasksLeft--
}

// handleTaskFailure counts a failed run of a job without a request. It requeues the task,
// or fails the job when the task's attempts are used up. Long-running tasks have no limit
// of attempts.
func (t *Table) handleTaskFailure(now time.Time, a *agentState, task *taskState, run uint32) {
	j := task.step.job()
	task.avoidAgent(a.id)
	if task.step.def.LongRunning {
		t.requeue(now, task)
		return
	}
	if j.progress.AddFailure(task.id(), run) {
		t.markDirty(j)
	}
	limit := t.profileOf(j).MaxAttempts
	if limit > 0 && j.progress.FailuresOf(task.id()) >= limit {
		t.finishJob(now, j, job.Failed)
		return
	}
	if limit > 0 && task.restored && len(t.unconfirmedAgents) > 0 {
		// Agents of earlier terms that have not reported yet may report failures
		// that use up the attempts; requeueRestored requeues the task once they have.
		if task.phase == taskActive && task.run == nil && task.unresolved == nil {
			task.phase, task.endedAt = taskUnknown, now
		}
		return
	}
	t.requeue(now, task)
}

// applyRefusal requeues the task of a refused start. The agent is paused unless it only
// lacked a valid ticket or the job's input, which the next start order contains.
func (t *Table) applyRefusal(now time.Time, a *agentState, r *message.RunRefusal) {
	run := a.runs[r.Key]
	t.cfg.Log.Emit(event.RunRefused, "task", r.Key.Task.String(), "run", r.Key.Run, "agent", a.id, "reason", r.Reason)
	if run == nil {
		return
	}
	t.cfg.Meter.Add(metrics.StartsRefused, 1)
	t.release(run)
	a.pausedUntil = now.Add(refusalPause)
	if r.Unhealthy {
		t.recordFailedStart(now, a, failedStart{orderedAt: run.orderedAt})
	}
	if r.Reason == message.RefusedLease {
		a.pausedUntil = now.Add(leasePause)
	}
	if r.Reason == message.RefusedTicket {
		delete(run.task.step.advice.eligibility, a.workerInstance())
		a.pausedUntil = time.Time{}
	}
	if r.Reason == message.RefusedInput {
		delete(run.task.step.job().inputSession, a.id)
		a.pausedUntil = time.Time{}
	}
	t.requeue(now, run.task)
}
