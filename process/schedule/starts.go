package schedule

import (
	"slices"
	"time"

	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/process/metrics"
	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/request/placement"
)

// startTracker holds the fleet's state for detecting workers on which starts fail.
type startTracker struct {
	resolved     uint64 // starts whose outcome is known
	ejectedCount int
	failing      map[*agentState]struct{} // agents whose latest start failed
	unverified   []*runState              // runs within startProbation, in the order of their confirmation
}

func newStartTracker() startTracker { return startTracker{failing: map[*agentState]struct{}{}} }

// setHealth stores the health of an agent's worker and updates the tracker. It does not
// eject a worker beyond maxEjectedPercent.
func (t *Table) setHealth(a *agentState, h health) {
	if h.ejected && !a.health.ejected && (t.startTracker.ejectedCount+1)*100 > maxEjectedPercent*len(t.agents) {
		h.ejected = false
	}
	if a.health.ejected {
		t.startTracker.ejectedCount--
	}
	if h.ejected {
		t.startTracker.ejectedCount++
	}
	switch {
	case h.ejected && !a.health.ejected:
		t.cfg.Log.Emit(event.WorkerEjected, "worker", a.worker.ID, "agent", a.id, "failures", h.failedStarts)
	case !h.ejected && a.health.ejected:
		t.cfg.Log.Emit(event.WorkerReadmitted, "worker", a.worker.ID, "agent", a.id,
			"outage_ms", t.cfg.Clock.Since(a.health.lastFailedAt).Milliseconds())
	}
	a.health = h
	if h.failedStarts > 0 {
		t.startTracker.failing[a] = struct{}{}
	} else {
		delete(t.startTracker.failing, a)
	}
	t.needsPass = true
}

// updateHealth applies the end of a run to the health of its worker. early is set for a
// failure soon after the start. It counts as a failed start unless the task has failed on
// a worker on which other starts succeed: then the task itself is broken.
func (t *Table) updateHealth(now time.Time, a *agentState, run *runState, how job.EndKind, early bool) {
	h := a.health
	switch how {
	case job.EndDone:
		h.failureRate *= 1 - healthWeight
	case job.EndFailed:
		h.failureRate += healthWeight * (1 - h.failureRate)
	default:
		return // a stopped run is no evidence for or against its worker
	}
	h.updatedAt = now
	t.setHealth(a, h)
	switch {
	case how == job.EndDone:
		t.recordSuccessfulStart(run)
	case early && t.countStartingAgents(run.task.avoidedAgents) == 0:
		t.cfg.Meter.Add(metrics.StartsFailedEarly, 1)
		t.recordFailedStart(now, a, failedStart{job: run.task.id().Job, orderedAt: run.orderedAt})
	}
}

func (t *Table) recordFailedStart(now time.Time, a *agentState, f failedStart) {
	t.startTracker.resolved++
	t.setHealth(a, a.health.afterFailedStart(now, t.startTracker.resolved, f))
}

// recordSuccessfulStart clears the failures of the worker unless the run was ordered
// before the latest of them: such a run does not show that the worker has been repaired.
func (t *Table) recordSuccessfulStart(run *runState) {
	t.startTracker.resolved++
	if a := run.agent; run.orderedAt.After(a.health.lastFailedAt) {
		t.setHealth(a, a.health.afterSuccessfulStart())
	}
}

// verifyStarts records the successful starts of the runs that have reached startProbation.
func (t *Table) verifyStarts(now time.Time) {
	unverified := t.startTracker.unverified
	for len(unverified) > 0 && now.Sub(unverified[0].confirmedAt) >= startProbation {
		run := unverified[0]
		unverified = unverified[1:]
		if run.agent.runs[run.key()] == run && !run.stopping {
			t.recordSuccessfulStart(run)
		}
	}
	t.startTracker.unverified = unverified
}

// countStartingAgents returns how many of the agents are attached and had no failure in
// their latest start.
func (t *Table) countStartingAgents(agents []string) int {
	count := 0
	for _, id := range agents {
		if a := t.agents[id]; a != nil && a.health.failedStarts == 0 {
			count++
		}
	}
	return count
}

// trialWorker returns the index of a worker that is due for a trial and fits the task, and
// records the trial; -1 if there is none. The placement score cannot choose such a worker,
// because past failures outweigh the load of any other.
func (t *Table) trialWorker(v *view, req *placement.Request, task *taskState) int {
	if len(t.startTracker.failing) == 0 || req.Fills || req.Serves {
		return -1
	}
	for i, a := range v.agents {
		if a.health.failedStarts == 0 || !a.health.trialDue(v.now, t.startTracker.resolved) {
			continue
		}
		regionAllowed := req.Region == "" || a.location.Region == req.Region || !v.now.Before(a.health.trialDeadline)
		node := a.node
		node.Open = t.schedulable(v.now, a)
		withinSpread := req.Spread == 0 || task.step.onAgent[a.id] < req.Spread
		if regionAllowed && withinSpread && req.Fits(&node) && (req.Ineligible == nil || !req.Ineligible(i)) && !slices.Contains(task.avoidedAgents, a.id) {
			t.setHealth(a, a.health.afterTrialOrdered(v.now, t.startTracker.resolved))
			return i
		}
	}
	return -1
}
