package runs

import (
	"time"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/request/resources"
)

// Task is a confirmed run at the worker.
type Task struct {
	Key   job.RunKey
	Order message.StartRun
	// Known is false until the leader describes a run not ordered here; Order has only its key.
	Known     bool
	StartedAt time.Time // when it was admitted or, if not ordered here, first listed
	Usage     resources.Resources
	PacePct   int // in percent of its speed
	Stopping  bool
}

// Listing is the agent's copy of the worker's latest listing. At is when it arrived
// (zero: none yet), MeasuredAt when the usage of the tasks was measured.
type Listing struct {
	At, MeasuredAt time.Time
	Tasks          []Task
}

// Listing returns the confirmed runs as of the latest listing, in no order.
func (n *Node) Listing() Listing {
	n.mu.Lock()
	defer n.mu.Unlock()
	listing := Listing{At: n.listedAt, MeasuredAt: n.listedAt.Add(-n.usageAge)}
	for key, r := range n.runs {
		if r.confirmedAt.IsZero() {
			continue
		}
		listing.Tasks = append(listing.Tasks, Task{
			Key: key, Order: r.order, Known: r.known, StartedAt: r.startedAt, Usage: r.usage,
			PacePct: r.state.PacePct, Stopping: r.stopping,
		})
	}
	return listing
}

// Count returns the number of runs in the table, including those not confirmed yet.
func (n *Node) Count() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.runs)
}

// Throttle sets the pace of a run, in percent of its speed. It does not wait for the
// worker; a run that is not in the table is ignored.
func (n *Node) Throttle(key job.RunKey, percent int) {
	n.mu.Lock()
	r := n.runs[key]
	start := r != nil && !r.pacing
	if r != nil {
		r.requestedPace = percent
		r.pacing = true
	}
	n.mu.Unlock()
	if start {
		n.submitPace(r)
	}
}

// Evict stops a run and reports the cause with its end; the leader then continues the task
// elsewhere. It does not wait. A run that is being stopped or not in the table is left alone.
func (n *Node) Evict(key job.RunKey, cause job.EvictionCause) {
	n.mu.Lock()
	if r := n.runs[key]; r != nil && !r.stopping {
		r.stopping, r.evictionCause = true, cause
	}
	n.mu.Unlock()
	n.sendStops(n.cfg.Clock.Now())
}

// SetPlannedStop records whether a planned stop covers the worker; new runs are then
// refused and the worker is reported as draining.
func (n *Node) SetPlannedStop(active bool) {
	n.mu.Lock()
	n.plannedStop = active
	n.mu.Unlock()
	n.TriggerReport()
}

// TriggerReport sends a report as soon as possible, without blocking the caller.
func (n *Node) TriggerReport() { n.leader.triggerReport() }

// Session returns the number of the latest session.
func (n *Node) Session() uint64 {
	n.leader.mu.Lock()
	defer n.leader.mu.Unlock()
	return n.leader.session
}

// Attached reports whether the agent follows a leader, which ends when the connection
// closes or a report has no valid reply.
func (n *Node) Attached() bool {
	n.leader.mu.Lock()
	defer n.leader.mu.Unlock()
	return n.leader.address != ""
}

// WorkerReachable reports whether the worker responds to polls. It turns false once
// no listing has arrived for half of WorkerLease, or when the worker departs.
func (n *Node) WorkerReachable() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.worker.Reachable
}
