package schedule

import (
	"slices"
	"time"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/process/metrics"
	"camphorhead.example/camphorhead/request/job"
)

// applyRunState applies the reported state of one run. A run from a full report that is
// not in the table is adopted, or stopped if it must not go on.
func (t *Table) applyRunState(now time.Time, a *agentState, s *message.RunState, full bool) {
	run := a.runs[s.Key]
	if run == nil {
		if !full {
			return // the agent's report of its end, or its stop order, is on the way
		}
		if run = t.adopt(now, a, s.Key); run == nil {
			if run = t.adoptOrphaned(a, s.Key); run == nil {
				return
			}
		}
	}
	if full && run.stopping {
		a.pendingStops = append(a.pendingStops, s.Key) // the previous session may have lost the order
	}
	if full {
		a.pendingAdopted = append(a.pendingAdopted, run) // the agent may have no more than its key
	}
	run.pacePct = s.PacePct
	if run.confirmedAt.IsZero() && !s.Unconfirmed {
		run.confirmedAt = now
		t.leaveQueue(run.task.step.job())
		t.cfg.Meter.Observe(metrics.StartConfirmed, now.Sub(run.orderedAt))
		t.startTracker.unverified = append(t.startTracker.unverified, run)
	}
	if s.Checkpoint != "" && s.Checkpoint != run.task.checkpoint {
		run.task.checkpoint, run.checkpointAt = s.Checkpoint, now
		t.saveCheckpoint(now, run.task)
	}
	run.milliCPU = s.MilliCPU
	if s.ProgressPct != run.progressPct {
		run.progressPct, run.progressAt = s.ProgressPct, now
	}
}

// adopt adds a run of an earlier term or session to the table as the current run of its
// task. It returns nil for a run that must be stopped.
func (t *Table) adopt(now time.Time, a *agentState, key job.RunKey) *runState {
	task := t.task(key.Task)
	if task == nil || task.step.job().state.Terminal() || task.phase == taskDone {
		return nil
	}
	if task.run != nil && !task.step.def.Speculative {
		t.cfg.Meter.Add(metrics.RunsConflicting, 1)
		t.cfg.Log.Emit(event.RunConflicting, "task", key.Task.String(), "run", key.Run, "agent", a.id,
			"other_run", task.run.number, "other_agent", task.run.agent.id)
	}
	if task.run != nil && task.run.agent != a && !task.step.def.Speculative {
		return nil // the current run was ordered when this one was known to have ended
	}
	if task.run != nil {
		if task.run.number >= key.Run {
			return nil
		}
		t.release(task.run)
	}
	if task.phase == taskWaiting {
		task.step.pending--
		t.updateReady(now, task.step)
	}
	run := t.activate(now, task, a, key.Run)
	run.partial = true
	return run
}

// adoptOrphaned adds a run that must be stopped to the table, so that it counts against
// the worker's capacity until its end is reported. It returns nil for a run of an unknown
// task, which is stopped as well.
func (t *Table) adoptOrphaned(a *agentState, key job.RunKey) *runState {
	task := t.task(key.Task)
	if task == nil {
		a.pendingStops = append(a.pendingStops, key)
		return nil // the size is unknown; the agent starts no other run until this one ends
	}
	run := &runState{task: task, number: key.Run, agent: a, stopping: true, orphaned: true, pacePct: fullPacePct}
	a.runs[key] = run
	task.orphans++
	t.adjustUsage(run, 1)
	return run
}

// adjustUsage adds a run to the use of its worker and team, or subtracts it (sign -1).
func (t *Table) adjustUsage(run *runState, sign int64) {
	node, def := &run.agent.node, run.task.step.def
	run.agent.fillLoad = nil
	charge := def.Charge()
	node.Used = node.Used.Add(scaled(charge, sign))
	t.adjustTeamUsage(run.task.step.job(), charge, sign)
	if def.Fills {
		node.FillMilliCPU += sign * def.Need.MilliCPU
	}
	if def.TargetMs > 0 {
		node.Serving += int(sign)
		node.ServingMilliCPU += sign * def.Need.MilliCPU
	}
}

// activate adds a new run to its task and agent. The job counts as running from then on.
func (t *Table) activate(now time.Time, task *taskState, a *agentState, number uint32) *runState {
	run := &runState{
		task: task, number: number, agent: a, orderedAt: now, progressAt: now, checkpointAt: now, pacePct: fullPacePct,
		partial: task.checkpoint != "",
	}
	task.step.recordRack(a.worker.Rack)
	t.dropReservation(task) // an adopted run needs no place
	task.phase, task.run, task.lastRun = taskActive, run, max(task.lastRun, number)
	a.runs[run.key()] = run
	t.adjustUsage(run, 1)
	task.step.onAgent[a.id]++
	j := task.step.job()
	if !j.started {
		j.started = true
		t.cfg.Meter.Observe(metrics.JobStart, now.Sub(j.addedAt))
	}
	if j.state == job.Accepted {
		j.state = job.Running
		t.publish(j)
	}
	return run
}

// fullPacePct is the pace of a run that is not throttled, in percent.
const fullPacePct = 100

// release removes a run that has ended or never started and frees its capacity. The task
// stays active without a run until it is requeued; the release of an orphaned run does so.
func (t *Table) release(run *runState) {
	a := run.agent
	if a.runs[run.key()] != run {
		return
	}
	delete(a.runs, run.key())
	t.adjustUsage(run, -1)
	t.needsPass = true
	if run.task.step.def.TargetMs > 0 {
		delete(a.tailSamples, run.key())
		t.pressure.Remove(run.task.step.id(), run.task.id().String())
	}
	if run.orphaned {
		run.task.orphans--
		t.requeue(t.cfg.Clock.Now(), run.task)
		return
	}
	if run.task.step.onAgent[a.id]--; run.task.step.onAgent[a.id] == 0 {
		delete(run.task.step.onAgent, a.id)
	}
	a.pendingStarts = slices.DeleteFunc(a.pendingStarts, func(r *runState) bool { return r == run })
	if run.task.run == run {
		run.task.run = nil
	}
}

// requeue makes an active task without a run wait for a worker again. Other tasks, such as
// those that are done, stay as they are. A task with orphaned runs stays active until the last
// of them has been released, one with an unresolved start until that is resolved.
func (t *Table) requeue(now time.Time, task *taskState) {
	if task.phase != taskActive || task.run != nil || task.unresolved != nil || task.orphans > 0 && !task.step.def.Speculative {
		return
	}
	task.phase, task.endedAt = taskWaiting, now
	task.step.pending++
	t.updateReady(now, task.step)
}

// stop queues the stop order of a run, or releases it if its start order was not sent.
func (t *Table) stop(run *runState) {
	if run.stopping {
		return
	}
	run.stopping = true
	a := run.agent
	if i := slices.Index(a.pendingStarts, run); i >= 0 {
		t.release(run)
		return
	}
	a.pendingStops = append(a.pendingStops, run.key())
}
