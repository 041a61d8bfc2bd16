package runs

import (
	"context"
	"time"

	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/process/platform"
)

// applyInstance records which worker instance responded, and its clock. It reports whether the
// lease of the same instance had expired before a call renewed it, with runs or pending ends
// under it; these ends are then void. The caller holds mu.
func (n *Node) applyInstance(now time.Time, list *platform.Listing) (expired bool) {
	if n.instanceStartMs != list.StartedMs {
		if n.instanceStartMs != 0 {
			n.cfg.Log.Emit(event.WorkerRestarted, "worker", n.worker.ID, "tasks", len(n.runs),
				"silent_ms", elapsedMs(now, n.listedAt), "pending_calls", len(n.lease.inFlight))
		}
		n.replaceInstance(list)
	} else {
		n.lease.checkExpiry(now)
		expired = !n.lease.lapsedAt.IsZero() && len(n.runs)+len(n.ends) > 0
	}
	if expired {
		n.voidEnds()
	}
	if !n.fenced {
		n.lease.unknownUntil = now.Add(n.cfg.Timing.longestLease())
		n.fenced = n.pollToken >= n.fenceToken
	}
	if list.ClockMs > 0 {
		n.clock = workerClock{valueMs: list.ClockMs, readAt: now}
	}
	return expired
}

// replaceInstance records that another worker instance has responded than before, if any, and
// puts its description in force. One that has not announced itself yet gets no runs and is
// reported as unreachable until it has. The caller holds mu.
func (n *Node) replaceInstance(list *platform.Listing) {
	if n.instanceStartMs != 0 {
		n.token++
		n.sharesID = list.Worker == "" // unless the description shows another ID
	}
	n.fenceToken, n.fenced = n.token, false
	n.instanceStartMs, n.lastRecorded, n.discarded, n.clock, n.instance = list.StartedMs, 0, 0, workerClock{}, ""
	n.lease.lapsedAt = time.Time{}
	n.unreportedChange = true
	if latest, ok := n.announcements.of(n.instanceStartMs); ok {
		n.putInForce(latest.worker, latest.leavesAt)
	} else if !n.isAnnounced() {
		n.worker.Reachable = false
	}
}

// leaseOutlivesGrant reports whether the worker may hold a lease beyond the leader's grant. A
// worker that has restarted under its ID accepts a call that was made for the previous instance,
// whose clock was ahead: the lease is then the longest that the worker grants. The caller holds
// mu.
func (n *Node) leaseOutlivesGrant() bool {
	return n.sharesID && (!n.fenced || n.lease.unknownUntil.After(n.grantEnd))
}

// suspectRestart makes the next poll find out at once which instance responds. Until then calls
// request no lease, since the clock by which they would may not be that of the instance which they
// reach. The caller holds mu.
func (n *Node) suspectRestart() {
	n.unresponsive = true
	if n.cancelPoll != nil {
		n.cancelPoll()
	}
}

// setPollCancel sets what ends the poll in progress.
func (n *Node) setPollCancel(cancel context.CancelFunc) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cancelPoll = cancel
}
