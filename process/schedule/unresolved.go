package schedule

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// unresolvedStart is a run whose start its agent has not reported as confirmed before its session
// expired. The worker may execute the call late, in an instance of which nobody has heard, and then
// holds the longest lease that it grants. The task has no run meanwhile, and is not placed.
type unresolvedStart struct {
	agent string // empty: several agents have had such a run, and only time resolves them
	run   uint32
	end   time.Time // by which the run is known to have ended, or can no longer begin
}

// mayBeginLate reports whether a run may begin after the session of its agent has expired: its start
// order was sent and has not been confirmed. Runs of speculative tasks may overlap, so they count as ended.
func (r *runState) mayBeginLate() bool {
	sent := !r.unsent && !slices.Contains(r.agent.pendingStarts, r)
	return sent && r.confirmedAt.IsZero() && !r.orphaned && !r.task.step.def.Speculative && r.task.phase == taskActive
}

// holdUnresolved keeps a task from being placed because of a run of a silent agent, which has been
// released. grantEnd is the latest time at which the agent may have sent calls for it.
func (t *Table) holdUnresolved(task *taskState, agent string, run uint32, grantEnd time.Time) {
	t.holdUntil(task, agent, run, t.lateRunEnd(grantEnd))
}

// lateRunEnd returns the time by which a run is known to have ended, or to be unable to begin, whose
// start was sent to the worker by grantEnd.
func (t *Table) lateRunEnd(grantEnd time.Time) time.Time {
	return SafeLeaseEnd(grantEnd.Add(t.cfg.LateCallWindow+t.cfg.MaxWorkerLease), t.cfg.MaxWorkerLease)
}

func (t *Table) holdUntil(task *taskState, agent string, run uint32, end time.Time) {
	u := task.unresolved
	if u == nil {
		task.unresolved = &unresolvedStart{agent: agent, run: run, end: end}
		t.unresolvedTasks = append(t.unresolvedTasks, task)
		return
	}
	u.run = max(u.run, run)
	if u.agent != agent {
		u.agent = ""
	}
	if end.After(u.end) {
		u.end = end
	}
}

// resolveStarts ends the hold of the tasks whose unresolved starts were those of an agent, after a
// full report of it has been applied: the runs that it lists are in the table, and no others will
// begin.
func (t *Table) resolveStarts(now time.Time, agent string) {
	t.releaseUnresolved(now, func(task *taskState) bool { return task.unresolved.agent == agent })
}

// expireUnresolved ends the hold of the tasks whose unresolved starts are known to have come to
// nothing, or to have ended. As for sessions, that takes a confirmation of the term.
func (t *Table) expireUnresolved(now time.Time) {
	t.releaseUnresolved(now, func(task *taskState) bool {
		u := task.unresolved
		if !now.After(u.end) {
			return false
		}
		if t.termConfirmedAt.Before(u.end) {
			t.awaitsTermConfirmation = true
			return false
		}
		t.recordExpiry(task, u.run)
		return true
	})
}

// releaseUnresolved requeues the held tasks for which resolved is true. Tasks that have been done or
// whose job has ended meanwhile are held no longer either.
func (t *Table) releaseUnresolved(now time.Time, resolved func(task *taskState) bool) {
	var released []*taskState
	t.unresolvedTasks = slices.DeleteFunc(t.unresolvedTasks, func(task *taskState) bool {
		if task.phase != taskDone && !task.step.job().state.Terminal() && !resolved(task) {
			return false
		}
		released = append(released, task)
		return true
	})
	for _, task := range released {
		task.unresolved = nil
		if task.restored && len(t.unconfirmedAgents) > 0 && task.phase == taskActive && task.run == nil {
			task.phase = taskUnknown // requeueRestored requeues it
			continue
		}
		t.requeue(now, task)
	}
}

// RestoreUnresolved holds the tasks whose starts were unresolved in an earlier term. It is called after
// Restore.
func (t *Table) RestoreUnresolved(now time.Time, starts []UnresolvedStart) {
	t.mu.Lock()
	defer t.mu.Unlock()
	longest := t.lateRunEnd(now.Add(t.cfg.Lease)).Sub(now).Milliseconds()
	for _, u := range starts {
		t.createStarted(now, u.Task)
		task := t.task(u.Task)
		if task == nil || task.phase == taskDone || task.step.job().state.Terminal() || task.step.def.Speculative {
			continue
		}
		if task.phase == taskWaiting {
			task.step.pending--
			t.updateReady(now, task.step)
		}
		task.phase = taskActive
		run := min(u.Run, task.step.job().baseRun) // no earlier term has assigned a higher one
		t.holdUntil(task, u.Agent, run, now.Add(time.Duration(min(u.EndsInMs, longest))*time.Millisecond))
	}
}

// listUnresolved returns the unresolved starts for the next leader: those of expired sessions, of
// agents that are silent, and once the table is closed those of all agents.
func (t *Table) listUnresolved(now time.Time) []UnresolvedStart {
	var list []UnresolvedStart
	for _, task := range t.unresolvedTasks {
		u := task.unresolved
		list = append(list, UnresolvedStart{Task: task.id(), Run: u.run, Agent: u.agent, EndsInMs: remainingMs(now, u.end)})
	}
	for _, a := range t.agents {
		if !t.closed && now.Sub(a.reportedAt) < maxMissedReports*t.cfg.ReportInterval {
			continue
		}
		for _, run := range a.runs {
			if run.mayBeginLate() {
				list = append(list, UnresolvedStart{
					Task: run.task.id(), Run: run.number, Agent: a.id, EndsInMs: remainingMs(now, t.lateRunEnd(t.safeGrantEnd(a))),
				})
			}
		}
	}
	slices.SortFunc(list, func(a, b UnresolvedStart) int {
		return cmp.Or(strings.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Occurrence, b.Task.Occurrence),
			cmp.Compare(a.Task.Step, b.Task.Step), cmp.Compare(a.Task.Index, b.Task.Index), cmp.Compare(a.Run, b.Run))
	})
	return list
}
