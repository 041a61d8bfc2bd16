package lead

import (
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

// probeInterval is the pause between two calls of callers that try a store which
// does not serve this process; the others are refused at once, so that their
// callers can turn to another entry.
const probeInterval = 250 * time.Millisecond

// returnGrace is how long after an outage for all entries one that has not been
// served yet goes on trying: by then its own probe has found the store back.
const returnGrace = 2 * probeInterval

// storeReach is what this process knows of its way to the store. It lives as
// long as the process.
type storeReach struct {
	clock clockwork.Clock
	// outageAfter is how long all calls fail before the store counts as out of reach.
	outageAfter time.Duration
	// failingSince is when the first of the failures since the last answer was
	// noted, probedAt when a caller's call was last let through meanwhile; both in
	// nanoseconds since 1970, 0: never.
	failingSince, probedAt atomic.Int64
}

// note takes in the outcome of a call. Each call of the store by this package
// that a caller or the watch waits for is noted.
func (s *storeReach) note(err error) {
	if !retriable(err) {
		s.failingSince.Store(0)
		return
	}
	s.failingSince.CompareAndSwap(0, s.clock.Now().UnixNano())
}

// out reports whether the store is out of reach.
func (s *storeReach) out() bool {
	since := s.failingSince.Load()
	return since != 0 && s.clock.Now().UnixNano()-since >= s.outageAfter.Nanoseconds()
}

// admit reports whether a caller's call should try the store now.
func (s *storeReach) admit() bool {
	if !s.out() {
		return true
	}
	now, last := s.clock.Now().UnixNano(), s.probedAt.Load()
	return now-last >= probeInterval.Nanoseconds() && s.probedAt.CompareAndSwap(last, now)
}

// cutOff reports whether another entry may be served by the store although this
// one is not: as far as is known, the outage is not one for all.
func (n *Node) cutOff() bool {
	if l := n.leading.Load(); l != nil {
		// Another entry that the store serves begins the next term.
		return len(l.followerConns()) == 0
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.watch.LeaderInTrouble(n.cfg.Clock.Now(), returnGrace)
}

// leaderlessTime is how long an entry goes on taking requests without a leader
// that knows the jobs: a change of the leader is shorter.
const leaderlessTime = 2 * time.Second

// InService reports whether this entry can record jobs and hears of their states.
func (n *Node) InService() bool {
	if n.reach.out() {
		return false
	}
	since := n.leaderlessSince.Load()
	return since == 0 || n.cfg.Clock.Now().UnixNano()-since < leaderlessTime.Nanoseconds()
}

// noteService follows whether a leader is known that knows all jobs.
func (n *Node) noteService(now time.Time) {
	if n.Serving() {
		n.leaderlessSince.Store(0)
		return
	}
	n.leaderlessSince.CompareAndSwap(0, now.UnixNano())
}
