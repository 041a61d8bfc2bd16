package lead

import (
	"time"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/connection/peer"
	"camphorhead.example/camphorhead/process/event"
)

// A cancellation takes effect when the leader learns of it. The entry that acknowledges it notifies the
// leader, and the leader reads the inbox in the store. A leader that may have missed one for as long as
// Timing.CancelBound orders no starts: see cancellationsKnownAt and schedule.RecordCancellationsKnown.
// docs/notes/cancellations.md lists who may act when something is learned late, and until when.

// entryProcess identifies a process of an entry.
type entryProcess struct {
	id        string
	startedMs int64
}

func processOf(e *message.EntryInfo) entryProcess { return entryProcess{e.ID, e.StartedMs} }

// acknowledger is a process of an entry that may have acknowledged cancellations of which the leader does
// not know, because it follows, or has followed, in this term. The next process of the entry cannot tell
// what notices were lost with it.
type acknowledger struct {
	followedAt time.Time // as of candidate; all cancellations that the process acknowledged before have arrived
	contactAt  time.Time // when the leader last had an open connection to it
	endedAt    time.Time // when the next process of the entry followed; zero: none has
}

// recordAcknowledger registers a process of an entry before it is told that it follows.
func (l *leaderTerm) recordAcknowledger(e *message.EntryInfo) {
	now := l.node.cfg.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	process := processOf(e)
	for p, a := range l.mu.acknowledgers {
		if p.id == process.id && p.startedMs < process.startedMs && a.endedAt.IsZero() {
			a.endedAt = now
			l.mu.acknowledgers[p] = a
		}
	}
	a := l.mu.acknowledgers[process]
	a.contactAt = now
	l.mu.acknowledgers[process] = a
}

// recordInboxRead records a complete read of the inbox that began at a time: it has returned all that was
// acknowledged before. A process that had ended by then is not waited for any more, nor one to which there
// has been no connection for so long that it acknowledges nothing until it follows again.
func (l *leaderTerm) recordInboxRead(began time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if began.After(l.mu.inboxKnownAt) {
		l.mu.inboxKnownAt = began
	}
	for p, a := range l.mu.acknowledgers {
		lost := began.Sub(a.contactAt) >= l.node.cfg.Timing.uninformedLimit()*21/20 // clock rates differ by up to 4%
		if lost || !a.endedAt.IsZero() && !began.Before(a.endedAt) {
			delete(l.mu.acknowledgers, p)
		}
	}
}

// recordContacts notes the entries with an open connection. The caller holds mu.
func (l *leaderTerm) recordContacts(now time.Time) {
	for c, f := range l.mu.followers {
		if a, ok := l.mu.acknowledgers[processOf(&f.Entry)]; ok && !c.Closed() {
			a.contactAt = now
			l.mu.acknowledgers[processOf(&f.Entry)] = a
		}
	}
}

// cancellationsKnownAt returns the latest time for which this leader has all cancellations that were
// acknowledged before it: the start of the latest read of the inbox, or the time at which all entries that
// may acknowledge any still followed it. The latter goes on while the store serves nobody. What entries have
// acknowledged as followers of an earlier leader was recorded before this term began, see Jobs.Cancel, and so
// was among what this leader has loaded.
func (l *leaderTerm) cancellationsKnownAt(now time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordContacts(now)
	known, followed := l.mu.inboxKnownAt, now
	for _, a := range l.mu.acknowledgers {
		if a.followedAt.Before(followed) {
			followed = a.followedAt
		}
	}
	if followed.After(known) {
		return followed
	}
	return known
}

// updateCancellationsKnown passes cancellationsKnownAt on to the table and logs when starts are held back
// and ordered again.
func (l *leaderTerm) updateCancellationsKnown(now time.Time) {
	known := l.cancellationsKnownAt(now)
	l.table.RecordCancellationsKnown(known)
	l.isolated.Store(now.Sub(known) >= l.node.cfg.Timing.LeaderTimeout)
	may := l.table.MayOrderStarts(now)
	if l.startsHeld.Swap(!may) == !may {
		return
	}
	if may {
		l.node.cfg.Log.Emit(event.StartsResumed, "term", l.number)
		return
	}
	l.node.cfg.Log.Emit(event.StartsHeld, "term", l.number, "age_ms", now.Sub(known).Milliseconds())
}

// updateInterval is the time between two heartbeats to the followers. While the store fails they alone
// show that no cancellation is missing, so they are at least as frequent as that needs.
func (l *leaderTerm) updateInterval() time.Duration {
	interval := l.node.cfg.Timing.LeaderTimeout / heartbeatsPerTimeout
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.mu.failingSince.IsZero() || l.node.cfg.Timing.CancelBound == 0 {
		return interval
	}
	return min(interval, l.node.cfg.Timing.CancelBound/updatesPerCancelBound)
}

// updatesPerCancelBound leaves the greater part of Timing.CancelBound for the reply to an update, and for
// the way of an order.
const updatesPerCancelBound = 8

// recordFollowed records that the follower on a connection had acknowledged no cancellation without
// notifying this leader when it received a stamp. The caller holds mu and has checked the time.
func (l *leaderTerm) recordFollowed(conn *peer.Conn, at time.Time) {
	process := processOf(&l.mu.followers[conn].Entry)
	if a, ok := l.mu.acknowledgers[process]; ok && at.After(a.followedAt) {
		a.followedAt = at
		l.mu.acknowledgers[process] = a
	}
}
