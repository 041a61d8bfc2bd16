package runs

import (
	"time"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/request/job"
)

// applyEnded adds a listed end, unless it is pending or recorded already, and removes its run.
// expired: the lease had expired, which makes the end void unless the expiry itself ended the run
// or the run was started after it. precedes: the listing shows that the end precedes an expiry,
// of which this process may have no record. The caller holds mu.
func (n *Node) applyEnded(now time.Time, instanceStartMs int64, e *platform.EndedTask, expired, precedes bool) {
	if e.Number <= n.lastRecorded {
		return
	}
	for _, known := range n.ends {
		if known.instanceStartMs == instanceStartMs && known.number == e.Number {
			return
		}
	}
	ended := &pendingEnd{
		RunEnd: message.RunEnd{Key: e.RunKey, How: e.How, Checkpoint: e.Checkpoint, Result: e.Result, Message: e.Message},
		number: e.Number, instanceStartMs: instanceStartMs,
	}
	if r := n.runs[e.RunKey]; r != nil {
		ended.startedAt = r.startSentAt
		ended.Early = e.How == job.EndFailed && r.known && now.Sub(r.startedAt) < earlyFailureAge
		if e.How == job.EndStopped {
			ended.Cause = r.evictionCause
		}
	}
	ended.Void = e.How != job.EndLeaseExpired && (precedes || expired && n.precedesLapse(ended.startedAt))
	n.ends = append(n.ends, ended)
	n.removeRun(e.RunKey)
	n.unreportedChange = true
	n.cfg.Log.Emit(event.TaskRunEnded, "task", e.Task.String(), "run", e.Run, "state", e.How.String(), "void", ended.Void)
}

// voidEnds marks the ends that no leader had recorded when the lease expired as
// void: a leader that waited for the expiry may have started their tasks elsewhere.
// The caller holds mu.
func (n *Node) voidEnds() {
	for _, e := range n.ends {
		if !e.recorded && e.instanceStartMs == n.instanceStartMs && e.How != job.EndLeaseExpired && n.precedesLapse(e.startedAt) {
			e.Void = true
		}
	}
}

// lastLapsed returns the number of the latest end by the expiry of the lease; 0: there is none.
func lastLapsed(ends []platform.EndedTask) (number uint64) {
	for i := range ends {
		if ends[i].How == job.EndLeaseExpired {
			number = max(number, ends[i].Number)
		}
	}
	return number
}

// voidEndsBefore marks the ends as void that no leader had recorded and whose numbers are below
// that of an end by the expiry of the lease. The caller holds mu.
func (n *Node) voidEndsBefore(number uint64) {
	for _, e := range n.ends {
		if !e.recorded && e.instanceStartMs == n.instanceStartMs && e.number < number && e.How != job.EndLeaseExpired {
			e.Void = true
		}
	}
}

// precedesLapse reports whether a run whose first start was sent at a time may have run before
// the lease expired; zero: it was not started by this process. The caller holds mu.
func (n *Node) precedesLapse(startedAt time.Time) bool {
	return startedAt.IsZero() || startedAt.Before(n.lease.lapsedAt)
}
