package runs

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/request/job"
)

// Guards against runs that are reported as ended while they run: the worker may have executed a
// poll that is still in flight when a frozen process continues, which extends their lease.
func TestLeaseOfPollInFlightCounts(t *testing.T) {
	r := newRig(t)
	k := runKey("j", 1)
	r.orderStarts(r.node, k)
	r.eventually("the run is confirmed", func() bool { return r.node.isConfirmed(k) })
	r.poll(r.node)
	leaseEnd := r.clock.Now().Add(testWorkerLease)
	r.clock.Advance(500 * time.Millisecond)
	r.node.extendGrant(r.clock.Now().Add(testGrant))
	r.worker.setOutcome(always(responseHeld))
	polled := make(chan struct{})
	go func() {
		defer close(polled)
		r.poll(r.node)
	}()
	<-r.worker.heldCalls
	r.clock.Advance(leaseEnd.Add(200 * time.Millisecond).Sub(r.clock.Now())) // the process is frozen
	r.node.concludeExpired(r.clock.Now())
	require.True(t, r.worker.has(k))
	require.True(t, r.node.hasRun(k), "reported as ended while it is running")
	r.worker.releaseCalls()
	<-polled
	require.True(t, r.node.hasRun(k))
}

// Guards against a start that is given up as expired while its call is on the way to the worker,
// which executes it.
func TestStartInFlightIsNotConcluded(t *testing.T) {
	r := newRig(t)
	k := runKey("j", 1)
	r.poll(r.node)
	leaseEnd := r.clock.Now().Add(testWorkerLease)
	r.clock.Advance(500 * time.Millisecond)
	r.node.extendGrant(r.clock.Now().Add(testGrant))
	r.worker.setOutcome(always(held))
	r.orderStarts(r.node, k)
	<-r.worker.heldCalls
	r.clock.Advance(leaseEnd.Add(200 * time.Millisecond).Sub(r.clock.Now()))
	r.node.concludeExpired(r.clock.Now())
	require.True(t, r.node.hasRun(k), "given up while its start is on the way")
	r.clock.Advance(testWorkerLease)
	r.node.concludeExpired(r.clock.Now())
	require.True(t, r.node.hasRun(k), "given up although the next worker instance may execute the start")
	r.worker.releaseCalls()
}

// Guards against ends that are marked as void although the lease never expired: a start in
// flight has extended it.
func TestEndsAreValidUnderLeaseOfStartInFlight(t *testing.T) {
	r := newRig(t)
	a, b := runKey("a", 1), runKey("b", 1)
	r.orderStarts(r.node, a)
	r.eventually("the run is confirmed", func() bool { return r.node.isConfirmed(a) })
	r.poll(r.node)
	leaseEnd := r.clock.Now().Add(testWorkerLease)
	r.clock.Advance(500 * time.Millisecond)
	r.node.extendGrant(r.clock.Now().Add(testGrant))
	r.worker.setOutcome(func(call string) callOutcome {
		if call == "start" {
			return responseHeld
		}
		return succeeds
	})
	r.orderStarts(r.node, b)
	<-r.worker.heldCalls
	r.clock.Advance(leaseEnd.Add(100 * time.Millisecond).Sub(r.clock.Now()))
	require.True(t, r.worker.has(a))
	r.worker.finish(a, job.EndDone)
	r.poll(r.node)
	report := fullReport(r.node)
	require.Len(t, report.Ends, 1)
	require.Equal(t, job.EndDone, report.Ends[0].How)
	require.False(t, report.Ends[0].Void, "a valid end is void")
	r.worker.releaseCalls()
}

// Guards against a run that is reported as refused while it runs: a refusal of a repeated start
// says nothing about the first copy, which had no response.
func TestRefusalDoesNotResolveUnansweredStart(t *testing.T) {
	reasons := []platform.Refusal{
		platform.RefusedUnhealthy, platform.RefusedCapacity, platform.RefusedTicket, platform.RefusedInstance,
		platform.RefusedLeaseExpired, platform.RefusedMalformed,
	}
	for _, first := range []callOutcome{executedLate, responseLost} {
		for _, reason := range reasons {
			r := newRig(t)
			k := runKey("j", 1)
			starts := 0
			r.worker.setOutcome(func(call string) callOutcome {
				if call != "start" {
					return succeeds
				}
				if starts++; starts == 1 {
					return first
				}
				r.worker.refusal = reason
				return refuses
			})
			r.poll(r.node)
			r.orderStarts(r.node, k)
			r.eventually("the start is repeated", func() bool {
				r.worker.mu.Lock()
				defer r.worker.mu.Unlock()
				return starts > 1
			})
			for range 20 {
				r.clock.Advance(startRetryDelay)
				time.Sleep(100 * time.Microsecond)
			}
			require.True(t, r.node.hasRun(k), "%s: given up before a listing shows whether it runs", reason)
			r.eventually("a listing resolves the start", func() bool {
				r.poll(r.node)
				return r.node.isConfirmed(k) || !r.node.hasRun(k)
			})
			r.worker.runDelayedCalls()
			require.Equal(t, r.worker.has(k), r.node.hasRun(k), "%s", reason)
			require.Equal(t, first == responseLost, r.worker.has(k), "%s", reason)
			report := message.Report{}
			r.node.fillReport(&report, 0)
			if first == executedLate {
				require.Equal(t, []message.RunRefusal{{Key: k, Reason: string(reason), Unhealthy: reason == platform.RefusedUnhealthy}}, report.Refused)
			}
		}
	}
}

// Guards against counting ends from before the lease expired because a call other than the poll
// that lists them has renewed it, and against voiding the end of a run that was started after
// that.
func TestEndsAreVoidWhicheverCallRenewsTheLease(t *testing.T) {
	for _, renewal := range []string{"hold", "start"} {
		r := newRig(t)
		a, b, c := runKey("a", 1), runKey("b", 1), runKey("c", 1)
		r.orderStarts(r.node, a, b)
		r.eventually("both run", func() bool { return r.node.isConfirmed(a) && r.node.isConfirmed(b) })
		r.node.extendGrant(r.clock.Now().Add(testGrant))
		r.poll(r.node)
		r.worker.finish(a, job.EndDone)
		r.clock.Advance(testWorkerLease + 200*time.Millisecond) // the process is frozen
		if renewal == "hold" {
			r.worker.setOutcome(always(responseLost))
			require.False(t, r.poll(r.node))
			r.worker.setOutcome(always(succeeds))
		} else {
			r.orderStarts(r.node, c)
			r.eventually("the run is confirmed", func() bool { return r.node.isConfirmed(c) })
			r.worker.finish(c, job.EndDone)
		}
		r.poll(r.node)
		for _, e := range fullReport(r.node).Ends {
			require.Equal(t, e.Key == a, e.Void, "%s: %v", renewal, e.Key)
		}
		require.False(t, r.node.hasRun(a) || r.node.hasRun(b) || r.node.hasRun(c))
	}
}

// Guards against a task that is run again although it is done: its run was started and ended
// while the poll was in flight that renewed a lapsed lease, and its end counted as void.
func TestEndOfARunAfterTheRenewalIsValid(t *testing.T) {
	r := newRig(t)
	a, b := runKey("a", 1), runKey("b", 1)
	r.orderStarts(r.node, a)
	r.eventually("the run is confirmed", func() bool { return r.node.isConfirmed(a) })
	r.poll(r.node)
	r.clock.Advance(testWorkerLease + 200*time.Millisecond) // the process is frozen
	r.node.extendGrant(r.clock.Now().Add(testGrant))
	r.worker.setOutcome(func(call string) callOutcome {
		if call == "hold" {
			return held
		}
		return succeeds
	})
	polled := make(chan struct{})
	go func() {
		defer close(polled)
		r.poll(r.node)
	}()
	<-r.worker.heldCalls
	r.orderStarts(r.node, b)
	r.eventually("the run is confirmed", func() bool { return r.node.isConfirmed(b) })
	r.worker.finish(b, job.EndDone)
	r.worker.releaseCalls()
	<-polled
	report := fullReport(r.node)
	require.Len(t, report.Ends, 2)
	require.Equal(t, a, report.Ends[0].Key)
	require.Equal(t, job.EndLeaseExpired, report.Ends[0].How)
	require.Equal(t, b, report.Ends[1].Key)
	require.False(t, report.Ends[1].Void, "a valid end is void")
}

// Guards against an end that is discarded before a leader has recorded it, so that its task runs
// again after it was done: a poll that had no response is executed late, by the next worker
// instance, whose ends are numbered from 1 again.
func TestLatePollDiscardsNoEndsOfTheNextInstance(t *testing.T) {
	r := newRig(t)
	earlier, k := runKey("a", 1), runKey("b", 1)
	r.orderStarts(r.node, earlier)
	r.eventually("the run is confirmed", func() bool { return r.node.isConfirmed(earlier) })
	r.worker.finish(earlier, job.EndDone)
	r.poll(r.node)
	fullReport(r.node)
	r.node.markRecorded(1, r.node.leader.session)
	r.worker.setOutcome(always(executedLate))
	require.False(t, r.poll(r.node))
	r.worker.setOutcome(always(succeeds))
	r.worker.restart()
	r.announce(r.node, testCapacity, 1)
	r.poll(r.node)
	r.poll(r.node)
	r.orderStarts(r.node, k)
	r.eventually("the run is confirmed", func() bool { return r.node.isConfirmed(k) })
	r.worker.finish(k, job.EndDone)
	r.worker.runDelayedCalls()
	r.poll(r.node)
	report := fullReport(r.node)
	require.Len(t, report.Ends, 1)
	require.Equal(t, k, report.Ends[0].Key)
	require.Equal(t, job.EndDone, report.Ends[0].How, "the end was discarded before it was listed")
}

// Guards against a poll that had no response and is executed after later ones, which would
// discard ends and extend the lease as of then.
func TestPollWithoutResponseIsFenced(t *testing.T) {
	r := newRig(t)
	late := r.node.token
	r.worker.setOutcome(always(executedLate))
	require.False(t, r.poll(r.node))
	r.worker.setOutcome(always(succeeds))
	require.True(t, r.poll(r.node))
	require.Greater(t, r.worker.token, late)
}

// Guards against a run that is reported as refused, so that its task runs again, although it is
// done: its start had no response, and its end is not in the listing yet.
func TestPartialListingDoesNotResolveAStart(t *testing.T) {
	r := newRig(t)
	a, b := runKey("a", 1), runKey("b", 1)
	r.orderStarts(r.node, a)
	r.eventually("the run is confirmed", func() bool { return r.node.isConfirmed(a) })
	r.worker.finish(a, job.EndDone)
	starts := 0
	r.worker.setOutcome(func(call string) callOutcome {
		if call != "start" {
			return succeeds
		}
		if starts++; starts == 1 {
			return responseLost
		}
		r.worker.refusal = platform.RefusedUnhealthy
		return refuses
	})
	r.orderStarts(r.node, b)
	r.eventually("the start is executed", func() bool { return r.worker.has(b) })
	r.worker.finish(b, job.EndDone)
	r.worker.maxListedEnds = 1
	for range 20 {
		r.clock.Advance(startRetryDelay)
		r.poll(r.node)
		time.Sleep(100 * time.Microsecond)
	}
	require.True(t, r.node.hasRun(b), "given up before its end is listed")
}

// Guards against a start that the worker executes after the lease expired and was renewed, when
// the leader may have started its task elsewhere.
func TestStartFromBeforeAnExpiredLeaseIsFenced(t *testing.T) {
	r := newRig(t)
	k := runKey("j", 1)
	r.poll(r.node)
	r.worker.setOutcome(func(call string) callOutcome {
		if call == "start" {
			return held
		}
		return succeeds
	})
	r.orderStarts(r.node, k)
	<-r.worker.heldCalls
	r.clock.Advance(testGrant + time.Second) // the process is frozen
	r.node.extendGrant(r.clock.Now().Add(testGrant))
	r.poll(r.node)
	r.worker.releaseCalls()
	r.eventually("the start is resolved", func() bool {
		r.poll(r.node)
		return !r.node.hasRun(k)
	})
	require.Zero(t, r.worker.count(), "started from before the lease expired")
}

// Guards against ends from before the lease expired that a new agent process reports as valid: it
// has no record of the lease, but the worker lists runs that the expiry ended after them.
func TestEndsBeforeAnExpiryAreVoidForANewProcess(t *testing.T) {
	r := newRig(t)
	a, b, c := runKey("a", 1), runKey("b", 1), runKey("c", 1)
	r.orderStarts(r.node, a, b)
	r.eventually("both run", func() bool { return r.node.isConfirmed(a) && r.node.isConfirmed(b) })
	r.worker.finish(a, job.EndDone)
	r.clock.Advance(2 * testWorkerLease) // the agent is gone
	n := r.newNode()
	r.poll(n)
	r.orderStarts(n, c)
	r.eventually("the run is confirmed", func() bool { return n.isConfirmed(c) })
	r.worker.finish(c, job.EndDone)
	r.poll(n)
	for _, e := range fullReport(n).Ends {
		require.Equal(t, e.Key == a, e.Void, "%v", e.Key)
	}
	require.Len(t, fullReport(n).Ends, 3)
}

// Guards against an end that counts although the lease expired before it was reported: the process
// was frozen while the response that lists it was on the way.
func TestEndsInALateListingAreVoid(t *testing.T) {
	r := newRig(t)
	k := runKey("j", 1)
	r.orderStarts(r.node, k)
	r.eventually("the run is confirmed", func() bool { return r.node.isConfirmed(k) })
	r.clock.Advance(2 * testMaxLease) // no lease of an earlier process is left
	r.node.extendGrant(r.clock.Now().Add(testGrant))
	r.poll(r.node)
	r.poll(r.node)
	again := runKey("j", 2)
	r.orderStarts(r.node, again)
	r.eventually("the run is confirmed", func() bool { return r.node.isConfirmed(again) })
	r.worker.finish(again, job.EndDone)
	r.worker.setOutcome(always(responseHeld))
	polled := make(chan struct{})
	go func() {
		defer close(polled)
		r.poll(r.node)
	}()
	<-r.worker.heldCalls
	r.clock.Advance(testWorkerLease + 200*time.Millisecond)
	r.worker.releaseCalls()
	<-polled
	ends := fullReport(r.node).Ends
	require.Equal(t, again, ends[len(ends)-1].Key)
	require.True(t, ends[len(ends)-1].Void)
}
