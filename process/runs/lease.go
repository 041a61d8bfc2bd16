package runs

import "time"

// workerLease accounts for the leases that calls have requested from the worker, by the agent's
// clock. A requested lease counts from before its call is sent, unless it turns out that the
// worker did not receive the call: the worker may execute the call at any time after that, also
// while the agent's process is frozen with the call in flight. Node.mu guards it.
type workerLease struct {
	returned time.Time // latest end that a call which has returned had requested; zero: none
	inFlight map[*leaseRequest]struct{}
	// unknownUntil is until when the worker may hold a lease that was not requested for it by
	// this process, but by an earlier one or for an earlier worker instance; zero: none.
	unknownUntil time.Time
	// unlistedUntil is until when an instance of the worker that has not been listed may hold a
	// lease; zero: none can. A call without a response may reach one that has restarted under its
	// ID; by the younger clock of that one the lease is the longest that the worker grants.
	unlistedUntil time.Time
	// lapsedAt is when a call or a listing last found the lease expired; zero: none has since
	// the latest listing whose poll was sent then or later.
	lapsedAt time.Time
}

// leaseRequest is a poll or a start in flight.
type leaseRequest struct {
	end    time.Time // of the requested lease; zero: the call extends nothing
	sentAt time.Time
	clock  workerClock // by which the lease was requested
}

// clockBehind returns by how much the clock in a response is behind the lowest value that the instance
// for which the call was made may show, whose clock may be slow; 0: it is not behind, or a clock is
// unknown. If it is behind, an instance that has started since has responded.
func (q *leaseRequest) clockBehind(responseMs int64) time.Duration {
	if responseMs <= 0 || q.clock.readAt.IsZero() {
		return 0
	}
	elapsed := float64(q.sentAt.Sub(q.clock.readAt).Milliseconds()) * leaseClockFactor
	return max(time.Duration(q.clock.valueMs+int64(elapsed)-responseMs)*time.Millisecond, 0)
}

func newWorkerLease() workerLease { return workerLease{inFlight: map[*leaseRequest]struct{}{}} }

// request records a call that is about to be sent, and reports whether the lease that was requested
// before has expired. Another one that the worker may hold can last longer.
func (l *workerLease) request(now, end time.Time, clock workerClock) (q *leaseRequest, expired bool) {
	previous := l.requested()
	expired = !previous.IsZero() && now.After(previous)
	l.checkExpiry(now)
	q = &leaseRequest{end: end, sentAt: now, clock: clock}
	l.inFlight[q] = struct{}{}
	return q, expired
}

// checkExpiry notes at a call or a listing that the lease has expired.
func (l *workerLease) checkExpiry(now time.Time) {
	if end := l.end(); !end.IsZero() && now.After(end) {
		l.lapsedAt = now
	}
}

// finish records the return of a call. received: the worker may have received it.
func (l *workerLease) finish(q *leaseRequest, received bool) {
	delete(l.inFlight, q)
	if received && q.end.After(l.returned) {
		l.returned = q.end
	}
}

// extendUnlisted records that an instance which has not been listed may hold a lease until a time.
func (l *workerLease) extendUnlisted(until time.Time) {
	if until.After(l.unlistedUntil) {
		l.unlistedUntil = until
	}
}

// unlistedMayHoldLease reports whether an instance that has not been listed may hold a lease, or a call
// that may give it one is still in flight.
func (l *workerLease) unlistedMayHoldLease(now time.Time) bool {
	for q := range l.inFlight {
		if !q.end.IsZero() {
			return true
		}
	}
	return now.Before(l.unlistedUntil)
}

// requested returns the latest end that was requested; zero: none.
func (l *workerLease) requested() time.Time {
	end := l.returned
	for q := range l.inFlight {
		if q.end.After(end) {
			end = q.end
		}
	}
	return end
}

// end returns the latest time at which the worker's lease may end; zero: it has none.
func (l *workerLease) end() time.Time {
	if end := l.requested(); end.After(l.unknownUntil) {
		return end
	}
	return l.unknownUntil
}
