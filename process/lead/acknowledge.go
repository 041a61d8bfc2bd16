package lead

import (
	"context"
	"time"

	"camphorhead.example/camphorhead/request/outcome"
)

const (
	// Bounds of the pause between two checks whether a cancellation may be acknowledged; it doubles.
	minInformedPause = 10 * time.Millisecond
	maxInformedPause = 100 * time.Millisecond
	// uninformedTimeouts is the time, in units of Timing.LeaderTimeout, for which an entry may acknowledge
	// cancellations after it last heard of the leader that it follows: longer than a change of the leader
	// takes.
	uninformedTimeouts = 2
)

func (t *Timing) uninformedLimit() time.Duration { return uninformedTimeouts * t.LeaderTimeout }

// awaitInformed returns nil when a cancellation that has been recorded, and passed on to the leader, may be
// acknowledged: no leader can order starts of the job without learning of it in time. That takes as long as
// following the leader of a new term. Else it returns an error of kind outcome.NoLeader, at the end of ctx or
// at once if this entry has lost its leader for good. It runs on the caller's goroutine.
func (n *Node) awaitInformed(ctx context.Context) error {
	pause := minInformedPause
	for {
		informed, expected := n.leaderInformed(n.cfg.Clock.Now())
		if informed {
			return nil
		}
		if !expected || ctx.Err() != nil {
			return outcome.New(outcome.NoLeader, "the cancellation is recorded, but it is not known to reach the leader; repeat the request")
		}
		select {
		case <-ctx.Done():
		case <-n.cfg.Clock.After(pause):
		}
		pause = min(2*pause, maxInformedPause)
	}
}

// leaderInformed reports whether the leader of the newest term that this entry knows waits for this entry
// before it takes it that it has all cancellations, see leaderTerm.cancellationsKnownAt. expected is set if
// that will soon be so. Later leaders find the cancellation in the store, see Jobs.Cancel.
func (n *Node) leaderInformed(now time.Time) (informed, expected bool) {
	l := n.ownTerm.Load()
	n.mu.Lock()
	defer n.mu.Unlock()
	newest, c := n.elector.Term(), n.leader
	if l != nil {
		return l.number == newest && !l.earlierLeaderMayAct(now), true
	}
	if c == nil || c.term != newest || !n.elector.Followed() {
		return false, true
	}
	recent := now.Sub(c.receivedAt) < n.cfg.Timing.uninformedLimit()
	return recent && !c.earlierLeader, recent
}

// earlierLeaderMayAct reports whether the leader of the previous term may still order starts on the word of
// its own followers. Only an entry that has not followed it can begin a term without ending that, and only
// Timing.followersAlone after its last transaction.
func (l *leaderTerm) earlierLeaderMayAct(now time.Time) bool {
	t := &l.node.cfg.Timing
	return !l.followedPrevious && !l.previousEnded.Load() && now.Before(l.begun.Add(t.Outage-t.followersAlone())) &&
		(!l.loaded.Load() || l.table.Load().UnconfirmedAgents > 0)
}
