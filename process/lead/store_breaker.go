package lead

import (
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

// probeInterval is the least time between two calls that probe a store which does not serve
// this process. Other calls are refused at once, so that their callers can try another entry.
const probeInterval = 250 * time.Millisecond

// recoveryGracePeriod is how long after a global outage an entry that is not served yet
// keeps trying: by the end of it, its own probe has found that the store responds again.
const recoveryGracePeriod = 2 * probeInterval

// storeBreaker is the circuit breaker of this process's calls to the store. It exists as long
// as the process and needs no lock.
type storeBreaker struct {
	clock     clockwork.Clock
	openAfter time.Duration // how long all calls must have failed for the breaker to open
	// failingSince is the first failure since the last response, 0: none; probedAt is when an
	// open breaker last admitted a call, 0: never. Both are in nanoseconds since 1970.
	failingSince, probedAt atomic.Int64
}

// record records the outcome of a call: any response closes the breaker, also an error that is
// not retriable. It is called for callers' calls, the elector's reads and the leader's commits.
func (s *storeBreaker) record(err error) {
	if !retriable(err) {
		s.failingSince.Store(0)
		return
	}
	s.failingSince.CompareAndSwap(0, s.clock.Now().UnixNano())
}

func (s *storeBreaker) open() bool {
	since := s.failingSince.Load()
	return since != 0 && s.clock.Now().UnixNano()-since >= s.openAfter.Nanoseconds()
}

// admit reports whether a call may try the store: one per probeInterval while the breaker is open.
func (s *storeBreaker) admit() bool {
	if !s.open() {
		return true
	}
	now, last := s.clock.Now().UnixNano(), s.probedAt.Load()
	return now-last >= probeInterval.Nanoseconds() && s.probedAt.CompareAndSwap(last, now)
}

// mayBeIsolated reports whether the store may serve another entry while it does not serve
// this one. It is false only in a known global outage, and means nothing while the store
// serves this entry.
func (n *Node) mayBeIsolated() bool {
	if l := n.ownTerm.Load(); l != nil {
		// A follower that the store serves would have begun the next term.
		return len(l.followerConns()) == 0
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.elector.LeaderDegraded(n.cfg.Clock.Now(), recoveryGracePeriod)
}

// leaderlessGracePeriod is how long an entry keeps accepting requests without a ready
// leader. A change of the leader takes less.
const leaderlessGracePeriod = 2 * time.Second

// InService reports whether this entry can record jobs and receives their states: the store
// circuit breaker is closed, and a leader was ready less than leaderlessGracePeriod ago.
func (n *Node) InService() bool {
	if n.breaker.open() {
		return false
	}
	since := n.leaderlessSince.Load()
	return since == 0 || n.cfg.Clock.Now().UnixNano()-since < leaderlessGracePeriod.Nanoseconds()
}

func (n *Node) trackLeader(now time.Time) {
	if n.LeaderReady() {
		n.leaderlessSince.Store(0)
		return
	}
	n.leaderlessSince.CompareAndSwap(0, now.UnixNano())
}
