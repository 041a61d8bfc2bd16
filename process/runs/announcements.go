package runs

import (
	"slices"
	"time"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/process/event"
)

// announcements holds the latest announcement of each of the worker instances heard of last, in
// the order of arrival. An announcement may be delayed beyond the end of its instance, and the
// wall clock that numbers the instances may have been set back, so neither arrival nor start
// time tells which instance is there: the listings do. Node.mu guards it.
type announcements []announcement

type announcement struct {
	worker   message.WorkerInfo
	sequence uint64    // orders the announcements of one instance
	leavesAt time.Time // by the agent's clock; zero: the worker has not told
}

// leaveTolerance is the difference between two announced times of departure from which the leader is
// told of the earlier one. Repetitions of an announcement differ by their delays.
const leaveTolerance = 250 * time.Millisecond

// maxNotice bounds the time until the departure of a worker that is told to the leader.
const maxNotice = time.Hour

// leavesBefore reports whether a time of departure is earlier than another one; zero: not known.
func leavesBefore(at, other time.Time) bool {
	return !at.IsZero() && (other.IsZero() || other.Sub(at) > leaveTolerance)
}

// maxAnnouncements exceeds the number of instances whose announcements can be on the way at
// once: the current one, its successor and delayed ones.
const maxAnnouncements = 8

// add adds an announcement and drops the earliest if there are too many. It does nothing and
// returns false if the sequence is not above the latest of the same instance.
func (a *announcements) add(w message.WorkerInfo, sequence uint64, leavesAt time.Time) bool {
	same := func(b announcement) bool { return b.worker.ID == w.ID && b.worker.StartedMs == w.StartedMs }
	if i := slices.IndexFunc(*a, same); i >= 0 {
		if sequence <= (*a)[i].sequence {
			return false
		}
		*a = slices.Delete(*a, i, i+1)
	}
	if len(*a) >= maxAnnouncements {
		*a = slices.Delete(*a, 0, 1)
	}
	*a = append(*a, announcement{w, sequence, leavesAt})
	return true
}

// of returns the latest announcement of the instance that started at a time.
func (a announcements) of(startedMs int64) (latest announcement, ok bool) {
	for _, b := range slices.Backward(a) {
		if b.worker.StartedMs == startedMs {
			return b, true
		}
	}
	return latest, false
}

// withdraw marks the announcements of a worker that has departed as draining.
func (a announcements) withdraw(id string) {
	for i := range a {
		if a[i].worker.ID == id {
			a[i].worker.Draining = true
		}
	}
}

// Announce applies the worker's announcement of itself, unless its sequence is not above the
// latest of the same instance. The description of an instance that does not respond to polls is
// kept until it does.
func (n *Node) Announce(w message.WorkerInfo, sequence uint64) {
	n.mu.Lock()
	_, known := n.announcements.of(w.StartedMs)
	var leavesAt time.Time
	if w.Draining && w.LeavesInMs > 0 {
		leavesAt = n.cfg.Clock.Now().Add(time.Duration(min(w.LeavesInMs, maxNotice.Milliseconds())) * time.Millisecond)
	}
	if !n.announcements.add(w, sequence, leavesAt) {
		n.mu.Unlock()
		return
	}
	if !known && !n.listedAt.IsZero() && w.StartedMs != n.instanceStartMs {
		n.suspectRestart()
	}
	changed := !n.listedAt.IsZero() && w.StartedMs == n.instanceStartMs && n.putInForce(w, leavesAt)
	n.mu.Unlock()
	if changed {
		n.leader.triggerReport()
	}
}

// putInForce makes w the description of the instance that responds to polls, and reports whether
// it differs from the previous one. The caller holds mu.
func (n *Node) putInForce(w message.WorkerInfo, leavesAt time.Time) (changed bool) {
	w.Reachable = n.worker.Reachable
	if w.StartedMs != n.worker.StartedMs {
		w.Reachable = !n.unresponsive
		n.sharesID = n.sharesID && w.ID == n.worker.ID
	}
	changed = !sameWorker(&w, &n.worker) || leavesBefore(leavesAt, n.leavesAt)
	n.worker, n.instance, n.leavesAt = w, w.ID, leavesAt
	n.unreportedChange = n.unreportedChange || changed
	n.cfg.Ledger.Open(w.Capacity, nil)
	if changed {
		n.cfg.Log.Emit(event.WorkerAnnounced, "worker", w.ID, "service", w.Service, "state", stateOf(w), "remaining_ms", w.LeavesInMs)
	}
	return changed
}

// isAnnounced reports whether the worker instance of the latest listing has described itself.
// The caller holds mu.
func (n *Node) isAnnounced() bool { return n.worker.StartedMs == n.instanceStartMs }

// Withdraw records that the worker with this ID has departed; its runs end with it.
func (n *Node) Withdraw(id string) {
	n.mu.Lock()
	n.announcements.withdraw(id)
	if n.worker.ID == id {
		n.worker.Reachable, n.worker.Draining, n.unreportedChange = false, true, true
	}
	n.mu.Unlock()
	n.cfg.Log.Emit(event.WorkerLeft, "worker", id)
	n.leader.triggerReport()
}
