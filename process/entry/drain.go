package entry

import (
	"context"
	"time"

	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/version/profile"
)

const (
	drainInterval = 250 * time.Millisecond
	// handOverTimeout bounds the wait for another entry that can lead.
	handOverTimeout = 10 * time.Second
)

// drain carries out a planned stop that covers this entry; a ticker calls it.
// First the readiness check fails, then the term is handed over. Requests are
// still served, and calls about jobs forwarded to the leader, until Stop.
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
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	e.node.Leave(ctx)
	e.drainingSince.Store(e.nowMs())
}

// reportDrain logs once that no connections are open any more or, after the
// grace period, how many are.
func (e *Entry) reportDrain(stop profile.Stop, elapsedMs int64) {
	openConnections := int(e.web.server.GetOpenConnectionsCount())
	switch {
	case openConnections == 0 && e.drainReported.CompareAndSwap(false, true):
		e.log.Emit(event.PlannedStopComplete, "stop", stop.ID, "scope", stop.Scope, "subject", stop.Name, "elapsed_ms", elapsedMs)
	case openConnections > 0 && elapsedMs > stop.GraceMs && e.drainReported.CompareAndSwap(false, true):
		e.log.Emit(event.PlannedStopIncomplete, "stop", stop.ID, "scope", stop.Scope, "subject", stop.Name,
			"unfinished", openConnections, "elapsed_ms", elapsedMs)
	}
}
