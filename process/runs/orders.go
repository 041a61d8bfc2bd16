package runs

import (
	"context"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/connection/peer"
	"camphorhead.example/camphorhead/process/metrics"
	"camphorhead.example/camphorhead/request/job"
)

// current reports whether orders belong to the present session. The caller holds
// mu until it has taken them in: the full report of a later session says that a
// run which it does not name never starts.
func (l *link) current(o *message.Orders) bool {
	return o.Session == l.session && o.Term >= l.term && !l.full
}

// Handle serves a message of the leader. It reports false for a kind that is
// not the node's.
func (n *Node) Handle(_ context.Context, r peer.Request) bool {
	if r.Kind != message.KindOrders {
		return false
	}
	var o message.Orders
	if err := r.Decode(&o); err != nil {
		r.Fail(err)
		return true
	}
	n.take(&o)
	return true
}

// take carries out orders of the present session; the full report of that
// session settles those of an earlier one.
func (n *Node) take(o *message.Orders) {
	n.link.mu.Lock()
	if !n.link.current(o) {
		n.link.mu.Unlock()
		n.cfg.Metrics.Add(metrics.OrdersOutdated, 1)
		return
	}
	w := n.admitOrders(o)
	n.link.mu.Unlock()
	n.recorded(o.Recorded, o.Session)
	n.carryOut(w)
}

// work is what orders ask for beyond the table of runs.
type work struct {
	starts  []*run
	stops   []job.RunKey // of runs that are not in the table
	refused bool
}

// admitOrders takes what the leader wants into the table of runs.
func (n *Node) admitOrders(o *message.Orders) (w work) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for i := range o.Inputs {
		n.inputs[o.Inputs[i].Job] = o.Inputs[i].Input
	}
	for i := range o.Adopted {
		n.adopt(&o.Adopted[i])
	}
	for i := range o.Starts {
		if r := n.admit(&o.Starts[i]); r != nil {
			w.starts = append(w.starts, r)
		}
	}
	for i := range o.Stops {
		key := o.Stops[i].Key
		if r := n.runs[key]; r != nil {
			r.stopping = true
			continue // carryOut and the ticker ask for it
		}
		w.stops = append(w.stops, key)
	}
	w.refused = len(n.refused) > 0
	return w
}

// carryOut calls the worker for what was taken into the table.
func (n *Node) carryOut(w work) {
	for _, r := range w.starts {
		n.launch(r)
	}
	for _, key := range w.stops {
		n.submit(func(ctx context.Context) { _ = n.stopOnce(ctx, key) }) // the leader repeats it
	}
	n.repeatStops(n.cfg.Clock.Now())
	if w.refused {
		n.link.kick()
	}
}

// adopt takes in what a run is that the worker listed. The caller holds mu.
func (n *Node) adopt(o *message.StartRun) {
	r := n.runs[o.Key]
	if r == nil {
		return // it has ended meanwhile
	}
	r.order, r.known = *o, true
	n.cfg.Ledger.AdoptRun(o.Key.Task.String(), o.Key.Run, o.Charge)
}

// admit takes an ordered run into the table if there is room for it. The
// caller holds mu.
func (n *Node) admit(o *message.StartRun) *run {
	if n.runs[o.Key] != nil {
		return nil
	}
	reason, label := "", ""
	switch _, hasInput := n.inputs[o.Key.Task.Job]; {
	case !hasInput:
		reason = message.RefusedInput
	case n.worker.Draining || n.leaving:
		reason = "draining"
	case n.strangers():
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
		n.changed = true
		return nil
	}
	now := n.cfg.Clock.Now()
	r := &run{order: *o, known: true, startedAt: now}
	r.state = message.RunState{Key: o.Key, Checkpoint: o.Checkpoint, PacePct: fullPace}
	r.paceKnown = true
	n.runs[o.Key] = r
	return r
}

// reserve takes the room of a start from the ledger.
func (n *Node) reserve(o *message.StartRun) error {
	if n.cfg.Reserve != nil {
		return n.cfg.Reserve(o)
	}
	return n.cfg.Ledger.Reserve(o.Key.Task.String(), o.Key.Run, o.Charge)
}

// strangers reports whether the worker has a run whose size nobody has told
// this process. The caller holds mu.
func (n *Node) strangers() bool {
	for _, r := range n.runs {
		if !r.known {
			return true
		}
	}
	return false
}
