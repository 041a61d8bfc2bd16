package runs

import (
	"context"
	"time"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/connection/peer"
	"camphorhead.example/camphorhead/process/metrics"
	"camphorhead.example/camphorhead/request/job"
)

// isCurrent reports whether orders are of the current session, whose full report has been
// built, and of no earlier term. The caller holds mu until it has admitted them: the full
// report of a later session guarantees that a run which it does not name never starts.
func (l *leaderClient) isCurrent(o *message.Orders) bool {
	return o.Session == l.session && o.Term >= l.term && !l.nextFull
}

// startBy returns the time until which the starts of orders may be sent to the worker; zero: the leader
// sets no limit. It has passed if the orders refer to a report that is too old to be known. The caller
// holds mu.
func (l *leaderClient) startBy(o *message.Orders) time.Time {
	if o.Sequence == 0 {
		return time.Time{}
	}
	for _, r := range l.sentReports {
		if r.sequence == o.Sequence {
			return r.at.Add(time.Duration(o.StartWithinMs) * time.Millisecond)
		}
	}
	return l.node.cfg.Clock.Now().Add(-1)
}

// Handle serves orders of the leader. It reports false, and leaves the request
// unhandled, for any other kind of message.
func (n *Node) Handle(_ context.Context, r peer.Request) bool {
	if r.Kind != message.KindOrders {
		return false
	}
	var o message.Orders
	if err := r.Decode(&o); err != nil {
		r.Fail(err)
		return true
	}
	n.applyOrders(&o)
	return true
}

// applyOrders executes orders of the current session. It ignores those of an earlier one: the
// full report of the current session does not list their runs, so they do not exist for the
// leader.
func (n *Node) applyOrders(o *message.Orders) {
	n.leader.mu.Lock()
	if !n.leader.isCurrent(o) {
		n.leader.mu.Unlock()
		n.cfg.Metrics.Add(metrics.OrdersOutdated, 1)
		return
	}
	c := n.admitOrders(o, n.leader.startBy(o))
	n.leader.mu.Unlock()
	n.markRecorded(o.Recorded, o.Session)
	n.sendCalls(c)
}

// pendingCalls holds the calls to the worker that admitted orders need.
type pendingCalls struct {
	starts  []*run
	stops   []job.RunKey // of runs that are not in the table of runs
	refused bool         // there are refusals to report
}

// admitOrders applies orders to the table of runs and returns the calls to make. For startBy, see run.
func (n *Node) admitOrders(o *message.Orders, startBy time.Time) (c pendingCalls) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for i := range o.Inputs {
		in := &o.Inputs[i]
		n.inputBytes += len(in.Input) - len(n.inputs[in.Job])
		n.inputs[in.Job] = in.Input
	}
	for i := range o.Adopted {
		n.adopt(&o.Adopted[i])
	}
	for i := range o.Starts {
		if r := n.admit(&o.Starts[i], startBy); r != nil {
			c.starts = append(c.starts, r)
		}
	}
	for i := range o.Stops {
		key := o.Stops[i].Key
		if r := n.runs[key]; r != nil {
			r.stopping = true
			continue // sendCalls and the ticker send the stop
		}
		c.stops = append(c.stops, key)
	}
	c.refused = len(n.refused) > 0
	return c
}

func (n *Node) sendCalls(c pendingCalls) {
	for _, r := range c.starts {
		n.submitStart(r)
	}
	for _, key := range c.stops {
		n.submitCall(func(ctx context.Context) { _ = n.sendStop(ctx, key) }) // the leader repeats the order
	}
	n.sendStops(n.cfg.Clock.Now())
	if c.refused {
		n.leader.triggerReport()
	}
}

// adopt applies the leader's description of a run that was listed but not ordered here, and
// charges it in the ledger. The caller holds mu.
func (n *Node) adopt(o *message.StartRun) {
	r := n.runs[o.Key]
	if r == nil {
		return // it has ended in the meantime
	}
	r.order, r.known = *o, true
	n.cfg.Ledger.AdoptRun(o.Key.Task.String(), o.Key.Run, o.Charge)
}

// admit adds an ordered run to the table if there is capacity for it, else it records a
// refusal. It returns nil if there is nothing to start, also for a run that is in the table
// already. The caller holds mu.
func (n *Node) admit(o *message.StartRun, startBy time.Time) *run {
	if n.runs[o.Key] != nil {
		return nil
	}
	reason, label := "", ""
	now := n.cfg.Clock.Now()
	switch _, hasInput := n.inputs[o.Key.Task.Job]; {
	case !hasInput:
		reason = message.RefusedInput
	case startTooLate(now, startBy):
		reason = "the order is too old"
	case n.worker.Draining || n.plannedStop:
		reason = "draining"
	case !n.isAnnounced():
		reason = "the worker has not announced itself"
	case n.leaseOutlivesGrant():
		reason = message.RefusedLease
	case n.hasUnknownRun():
		reason = "a run of unknown size is here"
	default:
		if err := n.reserve(o); err != nil {
			reason, label = err.Error(), "room"
		}
	}
	if label == "" {
		label = reason
	}
	if reason != "" {
		n.cfg.Metrics.AddFor(metrics.StartsRejected, label, 1)
		n.refused = append(n.refused, message.RunRefusal{Key: o.Key, Reason: reason})
		n.unreportedChange = true
		return nil
	}
	r := &run{order: *o, known: true, startedAt: now, startBy: startBy, instanceStartMs: n.instanceStartMs}
	r.state = message.RunState{Key: o.Key, Checkpoint: o.Checkpoint, PacePct: fullPace}
	r.paceKnown = true
	n.runs[o.Key] = r
	return r
}

// startTooLate reports whether a start may no longer be sent; a zero startBy sets no limit.
func startTooLate(now, startBy time.Time) bool { return !startBy.IsZero() && now.After(startBy) }

// reserve reserves the capacity for a start in the ledger. The caller holds mu.
func (n *Node) reserve(o *message.StartRun) error {
	if n.cfg.Reserve != nil {
		return n.cfg.Reserve(o)
	}
	return n.cfg.Ledger.Reserve(o.Key.Task.String(), o.Key.Run, o.Charge)
}

// hasUnknownRun reports whether the worker has a run whose size the leader has not described to
// this process yet. The caller holds mu.
func (n *Node) hasUnknownRun() bool {
	for _, r := range n.runs {
		if !r.known {
			return true
		}
	}
	return false
}
