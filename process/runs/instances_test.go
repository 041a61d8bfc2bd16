package runs

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorhead.example/camphorhead/process/platform"
)

// testMaxLease is the longest lease that the fake worker grants.
const testMaxLease = 6 * time.Second

// newOldWorkerRig returns a rig whose worker instance is six minutes old, so that a lease by its
// clock never ends for a new instance.
func newOldWorkerRig(t *testing.T) *rig {
	t.Helper()
	r := newRig(t)
	r.worker.maxLease = testMaxLease
	r.node.cfg.Timing.MaxWorkerLease = testMaxLease
	r.clock.Advance(6 * time.Minute)
	r.node.extendGrant(r.clock.Now().Add(testGrant))
	require.True(t, r.poll(r.node))
	require.True(t, r.poll(r.node))
	r.requireLeaseWithinGrant("before the restart")
	return r
}

func (r *rig) requireLeaseWithinGrant(when string) {
	r.t.Helper()
	r.worker.mu.Lock()
	defer r.worker.mu.Unlock()
	require.False(r.t, r.worker.leaseEnd.After(r.node.grantEnd), "%s: the lease ends %s after the grant", when, r.worker.leaseEnd.Sub(r.node.grantEnd))
}

// Guards against a lease beyond the grant for a worker that takes the place of another one,
// because it is computed by the clock of the previous one.
func TestNextWorkerGetsNoLeaseByThePreviousClock(t *testing.T) {
	for _, announcedFirst := range []bool{true, false} {
		r := newOldWorkerRig(t)
		r.worker.restart()
		r.worker.id = "i-2"
		if announcedFirst {
			r.announce(r.node, testCapacity, 1)
		}
		for range 3 {
			r.poll(r.node)
			r.requireLeaseWithinGrant("next worker")
		}
		r.announce(r.node, testCapacity, 2)
		r.poll(r.node)
		r.requireLeaseWithinGrant("next worker")
		k := runKey("j", 1)
		r.orderStarts(r.node, k)
		r.eventually("the next worker gets a run", func() bool { return r.node.isConfirmed(k) })
		r.requireLeaseWithinGrant("next worker")
	}
}

// Guards against a lease beyond the grant because the response to a start of the previous worker
// instance arrives after the first listing of the next one.
func TestClockInResponseToEarlierInstanceIsIgnored(t *testing.T) {
	r := newOldWorkerRig(t)
	k := runKey("j", 1)
	r.worker.setOutcome(func(call string) callOutcome {
		if call == "start" {
			return responseHeld
		}
		return succeeds
	})
	r.orderStarts(r.node, k)
	<-r.worker.heldCalls
	r.worker.restart()
	r.worker.id = "i-2"
	r.announce(r.node, testCapacity, 1)
	for !r.poll(r.node) {
	}
	run := r.node.findRun(k)
	r.worker.releaseCalls()
	r.eventually("the start has returned", func() bool {
		r.node.mu.Lock()
		defer r.node.mu.Unlock()
		return !run.confirmedAt.IsZero()
	})
	r.poll(r.node)
	r.requireLeaseWithinGrant("next worker")
}

// Guards against runs that outlive the leader's grant at a worker that restarted under its ID
// unnoticed, so that it received a lease by the clock of the previous instance.
func TestNoStartsUnderALeaseBeyondTheGrant(t *testing.T) {
	r := newOldWorkerRig(t)
	r.worker.restart()
	r.poll(r.node)
	r.announce(r.node, testCapacity, 1)
	restarted, number := r.clock.Now(), uint32(0)
	for r.worker.count() == 0 {
		require.Less(t, r.clock.Since(restarted), testMaxLease, "the restarted worker gets no runs")
		r.clock.Advance(100 * time.Millisecond)
		r.node.extendGrant(r.clock.Now().Add(testGrant))
		r.poll(r.node)
		number++
		k := runKey("j", number)
		r.orderStarts(r.node, k)
		r.eventually("the start is resolved", func() bool { return r.node.isConfirmed(k) || !r.node.hasRun(k) })
	}
	r.requireLeaseWithinGrant("restarted worker")
}

// Guards against runs that are reported as ended while they run at a restarted worker under a
// lease by the clock of the previous instance, which executed a late copy of their start.
func TestRunsOfRestartedWorkerAreConcludedAfterTheLongestLease(t *testing.T) {
	r := newOldWorkerRig(t)
	k := runKey("j", 1)
	r.worker.restart()
	r.worker.mu.Lock()
	r.worker.running[k] = platform.RunningTask{RunKey: k}
	r.worker.mu.Unlock()
	r.poll(r.node)
	r.worker.setOutcome(always(unreachable))
	began := r.clock.Now()
	for r.node.hasRun(k) {
		require.Less(t, r.clock.Since(began), 2*testMaxLease, "the runs of an unreachable worker never end")
		r.clock.Advance(100 * time.Millisecond)
		r.poll(r.node)
		r.node.concludeExpired(r.clock.Now())
	}
	require.False(t, r.worker.has(k), "reported as ended while it is running")
}
