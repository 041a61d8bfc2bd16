package term

import "time"

// Timing holds the durations that govern the choice of a leader.
type Timing struct {
	LeaderTimeout time.Duration // time without a heartbeat after which a leader counts as failed
	// UnknownTimeout is the time without a new heartbeat in the store after which a leader that
	// this entry has never followed counts as failed. That leader does not count this entry
	// among those that may claim the next term; see Claim.
	UnknownTimeout time.Duration
	PollInterval   time.Duration // between two reads of the store while the leader is suspected
	ClaimDelay     time.Duration // how long this entry waits before it claims a vacant term; shorter delays go first
}

// storeRecoveryDelay is how long the store must have served this entry before it
// replaces a leader that the store did not serve: after a global outage the leader
// needs about as long to find that the store responds again.
const storeRecoveryDelay = 400 * time.Millisecond

// Step is what an entry has to do next.
type Step uint8

// The steps of an entry that does not lead.
const (
	Nothing   Step = iota
	ReadStore      // read the current view
	ClaimTerm      // claim the next term
)

// Elector detects that the current term has ended or that its leader has failed, and
// decides when this entry claims the next term. It is a plain value guarded by its
// owner's lock. Its decisions depend only on the observations recorded in it and on
// the times passed with them.
type Elector struct {
	timing         Timing
	view           View
	readOK         bool
	readAt         time.Time // end of the last read
	followed       bool      // the leader in view has accepted this entry as a follower
	receivedAt     time.Time // last message of the leader in view, or the arrival of its term
	heartbeat      uint64    // highest heartbeat number known
	advancedAt     time.Time // when that number became known
	endedAt        time.Time // when the term in view was found to have ended; zero: it has not
	degradedAt     time.Time // when the leader in view first reported that the store does not serve it; zero: it does
	recoveredAt    time.Time // when a degraded leader last recovered or was replaced
	servedSince    time.Time // first of the uninterrupted successful reads; zero: the last read failed
	noTermSince    time.Time // when the store was first read without any term
	successorOf    uint64    // the term after which this entry claims the next one without delay
	suspendedUntil time.Time // before this time this entry claims no term
}

// NewElector returns an elector without any observation.
func NewElector(t Timing) Elector { return Elector{timing: t} }

// SetClaimDelay replaces the claim delay of the timing.
func (e *Elector) SetClaimDelay(d time.Duration) { e.timing.ClaimDelay = d }

// ClaimDelay returns how long this entry waits before it claims a vacant term.
func (e *Elector) ClaimDelay() time.Duration { return e.timing.ClaimDelay }

// MarkSuccessor records that the leader of a term has chosen this entry as its
// successor: once that term has ended, this entry claims the next one without delay.
func (e *Elector) MarkSuccessor(term uint64) { e.successorOf = term }

// SuspendClaims makes this entry claim no term before a time. An entry that
// resigned its term because it is isolated leaves the next one to others this way.
func (e *Elector) SuspendClaims(until time.Time) { e.suspendedUntil = until }

// View returns the newest view recorded.
func (e *Elector) View() View { return e.view }

// Term returns the number of the newest term known; 0: there is none.
func (e *Elector) Term() uint64 { return e.view.Term }

// TermEnded reports whether the leader in view is known to lead no longer.
func (e *Elector) TermEnded() bool { return !e.endedAt.IsZero() }

// Followed reports whether the leader in view has accepted this entry as a follower.
func (e *Elector) Followed() bool { return e.followed }

// LeaderDegraded reports whether the leader in view has reported that the store does
// not serve it, or a leader did until less than gracePeriod ago.
func (e *Elector) LeaderDegraded(now time.Time, gracePeriod time.Duration) bool {
	return !e.degradedAt.IsZero() || !e.recoveredAt.IsZero() && now.Sub(e.recoveredAt) < gracePeriod
}

func (e *Elector) recordRecovery(now time.Time) {
	if !e.degradedAt.IsZero() {
		e.degradedAt, e.recoveredAt = time.Time{}, now
	}
}

// RecordHeartbeat records that this entry follows the leader of a term and has received something
// from it. degraded is set if that leader reports that the store does not serve it. A term other
// than the one in view is ignored.
func (e *Elector) RecordHeartbeat(now time.Time, term, heartbeat uint64, degraded bool) {
	if term != e.view.Term {
		return // the store or an announcement has to name the holder first
	}
	e.followed, e.receivedAt, e.endedAt = true, now, time.Time{}
	if heartbeat > e.heartbeat {
		e.heartbeat, e.advancedAt = heartbeat, now
	}
	switch {
	case !degraded:
		e.recordRecovery(now)
	case e.degradedAt.IsZero():
		e.degradedAt = now
	}
}

// RecordTermEnd records that the process that held a term has ended, or reports that it
// does not lead. The call changes nothing if the term is not the one in view.
func (e *Elector) RecordTermEnd(now time.Time, term uint64) {
	if term == e.view.Term && e.endedAt.IsZero() {
		e.endedAt = now
	}
}

// RecordView records a view that was read from the store or announced by a new leader.
// A view of an older term counts as a successful read and changes nothing else.
func (e *Elector) RecordView(now time.Time, v View) {
	e.readOK, e.readAt = true, now
	if e.servedSince.IsZero() {
		e.servedSince = now
	}
	if v.Term < e.view.Term {
		return
	}
	if v.Term == 0 {
		if e.noTermSince.IsZero() {
			e.noTermSince = now
		}
		return
	}
	if v.Term > e.view.Term {
		e.view, e.followed = v, false
		e.receivedAt, e.endedAt = now, time.Time{}
		e.recordRecovery(now)
		e.heartbeat, e.advancedAt = v.Heartbeat.Number, now
		return
	}
	e.view = v
	if v.Heartbeat.Term == v.Term && v.Heartbeat.Number > e.heartbeat {
		e.heartbeat, e.advancedAt = v.Heartbeat.Number, now
	}
	if v.Heartbeat.Term == v.Term && v.Heartbeat.Resigned {
		e.RecordTermEnd(now, v.Term)
	}
}

// RecordReadFailure records a failed read of the store.
func (e *Elector) RecordReadFailure(now time.Time) {
	e.readOK, e.readAt = false, now
	e.servedSince = time.Time{}
}

// Next returns the next step of an entry that does not lead. A term is claimed only if
// the store was read successfully less than PollInterval ago.
func (e *Elector) Next(now time.Time) Step {
	suspected, ready := e.assess(now)
	if !suspected {
		return Nothing
	}
	fresh := e.readOK && now.Sub(e.readAt) < e.timing.PollInterval
	if ready && fresh && !now.Before(e.suspendedUntil) {
		return ClaimTerm
	}
	if now.Sub(e.readAt) >= e.timing.PollInterval {
		return ReadStore
	}
	return Nothing
}

// assess reports whether the leader is suspected, so that the store has to be read, and
// whether this entry may claim the next term.
func (e *Elector) assess(now time.Time) (suspected, ready bool) {
	delay := e.timing.ClaimDelay
	if e.successorOf != 0 && e.successorOf == e.view.Term {
		delay = 0
	}
	delayPassed := func(at time.Time) bool { return !at.IsZero() && now.Sub(at) >= delay }
	switch {
	case e.view.Term == 0:
		return true, delayPassed(e.noTermSince)
	case !e.endedAt.IsZero():
		return true, delayPassed(e.endedAt)
	case !e.degradedAt.IsZero():
		return true, delayPassed(e.degradedAt) && !e.servedSince.IsZero() && now.Sub(e.servedSince) >= storeRecoveryDelay
	case now.Sub(e.receivedAt) >= e.timing.LeaderTimeout/suspectDivisor:
		// The reads begin before the timeout, so that it is known at the timeout for how long
		// the heartbeat number has not risen.
		timedOut := now.Sub(e.receivedAt) >= e.timing.LeaderTimeout+e.timing.ClaimDelay
		stalled := e.timing.LeaderTimeout * 2 / suspectDivisor
		if !e.followed {
			stalled = max(stalled, e.timing.UnknownTimeout)
		}
		return true, timedOut && now.Sub(e.advancedAt) >= stalled
	}
	return false, false
}

// suspectDivisor is the divisor of LeaderTimeout that gives the time without contact
// after which a leader is suspected and its heartbeat is read from the store. The rest
// of LeaderTimeout is longer than two heartbeat intervals.
const suspectDivisor = 3
