package lead

import (
	"time"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/connection/peer"
	"camphorhead.example/camphorhead/process/schedule"
)

// candidate is an entry that may claim the next term.
type candidate struct {
	startedMs int64 // start of its process that followed last
	// followedAt is the latest time by the clock of this process at which the entry is known to
	// have followed; zero: no message has shown it since the entry followed.
	followedAt time.Time
}

// addCandidate registers an entry that may claim the next term, or removes one that is draining,
// unless the message is of an earlier process of the entry and was delayed.
func (l *leaderTerm) addCandidate(f *message.Follow) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.mu.candidates[f.Entry.ID]
	switch {
	case !f.Draining:
		c.startedMs = f.Entry.StartedMs
		l.mu.candidates[f.Entry.ID] = c
	case c.startedMs == f.Entry.StartedMs:
		delete(l.mu.candidates, f.Entry.ID)
	}
}

// stamp returns the current time for an update.
func (l *leaderTerm) stamp() int64 {
	return l.node.cfg.Clock.Now().Sub(l.begun).Nanoseconds() + 1 // 0 means none
}

// recordFollowing records that a follower had begun no newer term, and had notified this leader of all
// cancellations that it had acknowledged, when it received the stamp.
// The time of arrival shows less: the message may have been on its way, or this process
// paused, while the follower began the next term. It returns the address of the follower; empty if
// the connection is not that of one.
func (l *leaderTerm) recordFollowing(conn *peer.Conn, stamp int64) (address string) {
	now := l.node.cfg.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.mu.followers[conn]
	if f == nil {
		return ""
	}
	f.receivedAt = now
	at := l.begun.Add(time.Duration(stamp - 1))
	if stamp <= 0 || at.After(now) {
		return f.Entry.Address
	}
	if c, isCandidate := l.mu.candidates[f.Entry.ID]; isCandidate && at.After(c.followedAt) {
		c.followedAt = at
		l.mu.candidates[f.Entry.ID] = c
	}
	l.recordFollowed(conn, at)
	return f.Entry.Address
}

// confirmTerm confirms the term as of the last time at which all candidates followed it, at most
// Timing.followersAlone after the last confirmed transaction.
func (l *leaderTerm) confirmTerm() {
	l.mu.Lock()
	var confirmedAt time.Time
	first := true
	for _, c := range l.mu.candidates {
		if first || c.followedAt.Before(confirmedAt) {
			first, confirmedAt = false, c.followedAt
		}
	}
	// Entries that do not follow are bound by the heartbeats in the store only.
	limit := l.mu.validUntil.Add(l.node.cfg.Timing.followersAlone() - l.node.cfg.Timing.Outage)
	l.mu.Unlock()
	if confirmedAt.After(limit) {
		confirmedAt = limit
	}
	l.table.ConfirmTerm(confirmedAt, schedule.ConfirmedByFollowers)
}
