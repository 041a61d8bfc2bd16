package runs

import (
	"time"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/request/resources"
)

// Task is a run at the worker as the agent knows it.
type Task struct {
	Key   job.RunKey
	Order message.StartRun
	// Known is false while nobody has told this process what the run is.
	Known     bool
	StartedAt time.Time
	Usage     resources.Resources
	PacePct   int
	Stopping  bool
}

// Reading is what the worker last listed. Usage was measured at MeasuredAt.
type Reading struct {
	At, MeasuredAt time.Time
	Tasks          []Task
}

// Reading returns the confirmed runs of the latest listing.
func (n *Node) Reading() Reading {
	n.mu.Lock()
	defer n.mu.Unlock()
	reading := Reading{At: n.listedAt, MeasuredAt: n.listedAt.Add(-n.usageAge)}
	for key, r := range n.runs {
		if r.confirmed.IsZero() {
			continue
		}
		reading.Tasks = append(reading.Tasks, Task{
			Key: key, Order: r.order, Known: r.known, StartedAt: r.startedAt, Usage: r.usage,
			PacePct: r.state.PacePct, Stopping: r.stopping,
		})
	}
	return reading
}

// Count returns the number of runs that are here or on their way.
func (n *Node) Count() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.runs)
}

// Throttle lets a run work at a share of its speed.
func (n *Node) Throttle(key job.RunKey, percent int) {
	n.mu.Lock()
	r := n.runs[key]
	start := r != nil && !r.pacing
	if r != nil {
		r.wantedPace = percent
		r.pacing = true
	}
	n.mu.Unlock()
	if start {
		n.carryOutPace(r)
	}
}

// Evict ends a run here; the leader lets its task go on elsewhere.
func (n *Node) Evict(key job.RunKey, cause job.EvictionCause) {
	n.mu.Lock()
	if r := n.runs[key]; r != nil && !r.stopping {
		r.stopping, r.cause = true, cause
	}
	n.mu.Unlock()
	n.repeatStops(n.cfg.Clock.Now())
}

// SetLeaving refuses new runs while a planned stop covers the worker.
func (n *Node) SetLeaving(leaving bool) {
	n.mu.Lock()
	n.leaving = leaving
	n.mu.Unlock()
	n.Kick()
}

// Kick reports as soon as may be, after a change that the leader should know.
func (n *Node) Kick() { n.link.kick() }

// Session returns the number of the attachment to the leader.
func (n *Node) Session() uint64 {
	n.link.mu.Lock()
	defer n.link.mu.Unlock()
	return n.link.session
}

// Attached reports whether the agent knows a leader that answers.
func (n *Node) Attached() bool {
	n.link.mu.Lock()
	defer n.link.mu.Unlock()
	return n.link.address != ""
}

// WorkerAnswers reports whether the worker answers.
func (n *Node) WorkerAnswers() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.worker.Present
}
