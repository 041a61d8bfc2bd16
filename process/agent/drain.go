package agent

import (
	"context"
	"sync/atomic"
	"time"

	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/version/profile"
)

const drainInterval = 200 * time.Millisecond

// drainState records whether new checks are refused and whether the worker is reported as
// draining. Any goroutine may use these flags, only the ticker job the fields below them.
type drainState struct {
	checks atomic.Bool
	tasks  atomic.Bool

	stop     profile.Stop // the planned stop in effect
	began    time.Time
	reported bool
}

// refuseAll is called when the process stops.
func (d *drainState) refuseAll() {
	d.checks.Store(true)
	d.tasks.Store(true)
}

// drain carries out the planned stop that covers this agent, if any; the ticker calls it.
func (a *Agent) drain(context.Context) {
	stop, planned := a.plannedStop()
	d := &a.draining
	if stop.ID != d.stop.ID {
		a.setPlannedStop(stop, planned)
	}
	if !planned {
		return
	}
	if stop.Scope != profile.ScopeTarget {
		a.evictAll()
	}
	a.node.TriggerReport() // operators wait for the remaining work
	a.reportDrain()
}

// plannedStop returns the planned stop that covers this agent. A stop of the worker
// or of its failure domain takes precedence over one of the targets alone.
func (a *Agent) plannedStop() (profile.Stop, bool) {
	doc := a.config.Document()
	id, domain := a.cfg.Process.ID, a.cfg.Process.FailureDomain
	if stop, ok := doc.StopFor(profile.ScopeWorker, id, domain); ok {
		return stop, true
	}
	return doc.StopFor(profile.ScopeTarget, id, domain)
}

// setPlannedStop puts a planned stop in effect, or none if planned is false.
func (a *Agent) setPlannedStop(stop profile.Stop, planned bool) {
	d := &a.draining
	d.stop, d.began, d.reported = stop, a.clock.Now(), false
	d.checks.Store(planned)
	d.tasks.Store(planned && stop.Scope != profile.ScopeTarget)
	a.node.SetPlannedStop(d.tasks.Load())
	if planned {
		a.log.Emit(event.PlannedStopBegun, "stop", stop.ID, "scope", stop.Scope, "subject", stop.Name, "grace_ms", stop.GraceMs)
	}
}

// evictAll checkpoints and stops every task because of a planned stop.
func (a *Agent) evictAll() {
	for _, t := range a.node.Listing().Tasks {
		a.node.Evict(t.Key, job.CausePlannedStop)
	}
}

// reportDrain logs once that the stop is complete, or the number of unfinished checks
// and runs at the end of its grace period.
func (a *Agent) reportDrain() {
	d := &a.draining
	if d.reported {
		return
	}
	unfinished := a.checks.unfinished()
	if d.stop.Scope != profile.ScopeTarget {
		unfinished += a.node.Count()
	}
	elapsedMs := a.clock.Since(d.began).Milliseconds()
	switch {
	case unfinished == 0:
		a.log.Emit(event.PlannedStopComplete, "stop", d.stop.ID, "scope", d.stop.Scope, "subject", d.stop.Name, "elapsed_ms", elapsedMs)
	case elapsedMs > d.stop.GraceMs:
		a.log.Emit(event.PlannedStopIncomplete, "stop", d.stop.ID, "scope", d.stop.Scope, "subject", d.stop.Name,
			"unfinished", unfinished, "elapsed_ms", elapsedMs)
	default:
		return
	}
	d.reported = true
}
