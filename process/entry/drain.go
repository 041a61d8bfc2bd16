package entry

import (
	"context"
	"time"

	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/version/profile"
)

const (
	drainInterval = 250 * time.Millisecond
	// handOverTime bounds the wait for another entry that could lead.
	handOverTime = 10 * time.Second
)

// drain follows planned stops that cover this entry; the ticker calls it. The
// health check turns first, then another entry leads.
// Requests in progress and those that still arrive are served, and job calls
// are passed on, until the process is told to end.
func (e *Entry) drain(ctx context.Context) {
	stop, planned := e.config.Document().StopFor(profile.ScopeEntry, e.cfg.Process.ID, e.cfg.Process.FailureDomain)
	if !planned {
		return
	}
	began := e.drainingSince.Load()
	if began == 0 {
		e.beginDrain(ctx, stop)
		return
	}
	e.reportDrain(stop, e.nowMs()-began)
}

func (e *Entry) beginDrain(ctx context.Context, stop profile.Stop) {
	e.ready.Store(false)
	e.log.Emit(event.PlannedStopBegun, "stop", stop.ID, "scope", stop.Scope, "subject", stop.Name, "grace_ms", stop.GraceMs)
	ctx, cancel := context.WithTimeout(ctx, handOverTime)
	defer cancel()
	e.node.Leave(ctx)
	e.drainingSince.Store(e.nowMs())
}

// reportDrain says once whether the stop is complete, or what is left at the
// end of its grace.
func (e *Entry) reportDrain(stop profile.Stop, elapsedMs int64) {
	left := int(e.web.server.GetOpenConnectionsCount())
	switch {
	case left == 0 && e.drainReported.CompareAndSwap(false, true):
		e.log.Emit(event.PlannedStopComplete, "stop", stop.ID, "scope", stop.Scope, "subject", stop.Name, "elapsed_ms", elapsedMs)
	case left > 0 && elapsedMs > stop.GraceMs && e.drainReported.CompareAndSwap(false, true):
		e.log.Emit(event.PlannedStopIncomplete, "stop", stop.ID, "scope", stop.Scope, "subject", stop.Name,
			"unfinished", left, "elapsed_ms", elapsedMs)
	}
}
