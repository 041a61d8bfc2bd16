package runs

import (
	"time"

	"camphorhead.example/camphorhead/connection/message"
)

// sampleInterval is the time in which the worker's figures change.
const sampleInterval = 450 * time.Millisecond

// ready reports whether the agent knows its worker well enough to report.
func (n *Node) ready() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.listedAt.IsZero() && n.worker.ID != ""
}

// fill puts what happened since the previous report into r and returns the
// serial of the last end. A full report holds everything.
func (n *Node) fill(r *message.Report, serial uint64) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if w := n.workerInfo(); r.Full || !sameWorker(&w, &n.reportedWorker) {
		r.Worker, n.reportedWorker = &w, w
	}
	n.changed = false
	// The figures of what serves and what fills are sampled together.
	sample := n.cfg.Clock.Since(n.sampledAt) >= sampleInterval
	if sample {
		n.sampledAt = n.cfg.Clock.Now()
	}
	if r.Full {
		n.reportedEnds = 0
		n.refused = nil // a full report does not name them, which says the same
	}
	for _, run := range n.runs {
		confirmed := !run.confirmed.IsZero() && !run.told
		if r.Full || confirmed || sample && (run.order.Fills || run.order.TargetMs > 0) || progressed(&run.state, &run.reported) {
			run.reported, run.told = run.state, !run.confirmed.IsZero()
			r.Running = append(r.Running, run.state)
		}
	}
	for _, e := range n.ends[min(n.reportedEnds, len(n.ends)):] {
		serial++
		e.Serial = serial
		r.Ends = append(r.Ends, e.RunEnd)
	}
	n.reportedEnds = len(n.ends)
	r.Refused, n.refused = n.refused, nil
	return serial
}

// workerInfo describes the worker to the leader: its capacity is what the runs
// there are charged and what the ledger would still admit. The caller holds mu.
func (n *Node) workerInfo() message.WorkerInfo {
	w := n.worker
	w.Draining = w.Draining || n.leaving
	w.Capacity = n.cfg.Ledger.Effective()
	return w
}

// progressGrain is the change of a task's progress, in percent, that is worth a
// line in a report.
const progressGrain = 10

func progressed(now, reported *message.RunState) bool {
	grown := now.ProgressPct - reported.ProgressPct
	return now.Checkpoint != reported.Checkpoint || now.PacePct != reported.PacePct ||
		grown >= progressGrain || grown < 0 || (now.ProgressPct == fullPace) != (reported.ProgressPct == fullPace)
}

// recorded notes the ends up to a serial of a session as durable.
func (n *Node) recorded(serial, session uint64) {
	// The serials of a session hold until the next one begins.
	n.link.mu.Lock()
	defer n.link.mu.Unlock()
	if session != n.link.session || serial == 0 {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, e := range n.ends {
		if e.Serial != 0 && e.Serial <= serial {
			e.recorded = true
		}
	}
	for len(n.ends) > 0 && n.ends[0].recorded {
		if n.ends[0].lifeMs == n.lifeMs {
			n.lastRecorded = max(n.lastRecorded, n.ends[0].number)
		}
		n.ends = n.ends[1:]
		n.reportedEnds--
	}
	n.forgetInputs()
}

// grant takes in a lease of the leader.
func (n *Node) grant(until time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if until.After(n.granted) {
		n.granted = until
	}
}

// maxInputs bounds the job inputs that are kept; the leader sends one again
// that is missing.
const maxInputs = 256

// forgetInputs drops inputs of jobs without a run here. The caller holds mu.
func (n *Node) forgetInputs() {
	if len(n.inputs) <= maxInputs {
		return
	}
	used := map[string]bool{}
	for key := range n.runs {
		used[key.Task.Job] = true
	}
	for id := range n.inputs {
		if !used[id] {
			delete(n.inputs, id)
		}
	}
}
