package runs

import (
	"time"

	"camphorhead.example/camphorhead/connection/message"
)

// sampleInterval is the minimum time between two reports of the measurements of all
// serving and filling tasks; the worker's measurements change no faster.
const sampleInterval = 450 * time.Millisecond

// ready reports whether the worker has been listed and its ID is known. Before that, a full
// report could leave out a run.
func (n *Node) ready() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.listedAt.IsZero() && n.worker.ID != ""
}

// listedAllEnds reports whether a listing has contained all ends of the worker. Until then this
// process does not know how the runs of an earlier one have ended.
func (n *Node) listedAllEnds() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.polledAt.IsZero()
}

// fillReport adds to r what has changed since the previous report or, if r is full,
// every run and every end that is not recorded. It numbers the ends from serial+1
// and returns the last number. The caller holds leaderClient.mu.
func (n *Node) fillReport(r *message.Report, serial uint64) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if w := n.workerInfo(); r.Full || !sameWorker(&w, &n.reportedWorker) || leavesBefore(n.leavesAt, n.reportedLeavesAt) {
		r.Worker, n.reportedWorker, n.reportedLeavesAt = &w, w, n.leavesAt
	}
	n.unreportedChange = false
	// The measurements of serving and filling tasks are reported together.
	sample := n.cfg.Clock.Since(n.sampledAt) >= sampleInterval
	if sample {
		n.sampledAt = n.cfg.Clock.Now()
	}
	if r.Full {
		n.reportedEnds = 0
		n.refused = nil // a full report that does not name a run implies the refusal
		r.MoreEnds = n.polledAt.IsZero()
	}
	for _, run := range n.runs {
		confirmed := !run.confirmedAt.IsZero()
		run.state.Unconfirmed = !confirmed
		sampled := sample && (run.order.Fills || run.order.TargetMs > 0)
		if r.Full || confirmed && (!run.confirmationReported || sampled || progressed(&run.state, &run.reported)) {
			run.reported, run.confirmationReported = run.state, confirmed
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

// workerInfo describes the worker to the leader. The reported capacity is the declared
// resources of the runs there plus what the ledger would still admit. The caller holds mu.
func (n *Node) workerInfo() message.WorkerInfo {
	w := n.worker
	// The leader must know of an instance that holds leases by calls to the one before, although it
	// has not announced itself.
	w.StartedMs = n.instanceStartMs
	w.Draining, w.PlannedStop = w.Draining || n.plannedStop, n.plannedStop
	w.Capacity = n.cfg.Ledger.EffectiveCapacity()
	if !n.leavesAt.IsZero() {
		w.LeavesInMs = max(n.leavesAt.Sub(n.cfg.Clock.Now()).Milliseconds(), 1) // a later leader needs the time that is left
	}
	return w
}

const progressResolution = 10 // smallest increase of a task's progress, in percent, that is reported on its own

// progressed reports whether a run has changed enough since its latest report to repeat it.
func progressed(now, reported *message.RunState) bool {
	grown := now.ProgressPct - reported.ProgressPct
	return now.Checkpoint != reported.Checkpoint || now.PacePct != reported.PacePct ||
		grown >= progressResolution || grown < 0 || (now.ProgressPct == fullPace) != (reported.ProgressPct == fullPace)
}

// markRecorded marks the ends up to a serial as recorded, if it is of the current session, and
// removes those at the head of n.ends, so that the next poll lets the worker discard them.
func (n *Node) markRecorded(serial, session uint64) {
	// The next session assigns the serials to other ends, so it must not begin meanwhile.
	n.leader.mu.Lock()
	defer n.leader.mu.Unlock()
	if session != n.leader.session || serial == 0 {
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
		if n.ends[0].instanceStartMs == n.instanceStartMs {
			n.lastRecorded = max(n.lastRecorded, n.ends[0].number)
		}
		n.ends = n.ends[1:]
		n.reportedEnds--
	}
	n.pruneInputs()
}

// extendGrant moves the end of the leader's grant, by the agent's clock, but never back.
func (n *Node) extendGrant(until time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if until.After(n.grantEnd) {
		n.grantEnd = until
	}
}

// maxInputBytes is the size of the cached inputs above which those of jobs without a run here are
// removed. The leader sends a missing one again, which delays the start by a report and an order.
const maxInputBytes = 16 << 20

// pruneInputs removes unused inputs above maxInputBytes. The caller holds mu.
func (n *Node) pruneInputs() {
	if n.inputBytes <= maxInputBytes {
		return
	}
	used := map[string]bool{}
	for key := range n.runs {
		used[key.Task.Job] = true
	}
	for id, input := range n.inputs {
		if !used[id] {
			delete(n.inputs, id)
			n.inputBytes -= len(input)
		}
	}
}
