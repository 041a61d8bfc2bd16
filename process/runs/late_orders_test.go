package runs

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorhead.example/camphorhead/connection/message"
)

// reportedOrders returns orders of the current session that refer to the report which was built last.
func reportedOrders(r *rig, within time.Duration) *message.Orders {
	o := ordersFor(runKey("j", 1))
	o.Session, o.Sequence, o.StartWithinMs = r.node.leader.session, r.node.leader.sequence, within.Milliseconds()
	return o
}

// Guards against a start of a cancelled job at an agent that receives its order late, over a connection
// that a partition has held up, from a leader that has been replaced since.
func TestLateOrderStartsNothing(t *testing.T) {
	const within = 2 * time.Second
	for _, late := range []bool{false, true} {
		r := newRig(t)
		r.node.leader.buildReport(r.clock.Now())
		o := reportedOrders(r, within)
		if r.clock.Advance(within); late {
			r.clock.Advance(time.Millisecond)
		}
		r.node.extendGrant(r.clock.Now().Add(testGrant))
		r.node.applyOrders(o)
		if !late {
			require.Eventually(t, func() bool { return r.node.isConfirmed(runKey("j", 1)) }, 10*time.Second, time.Millisecond)
			continue
		}
		report := r.node.leader.buildReport(r.clock.Now())
		require.Len(t, report.Refused, 1, "the leader must place the task again")
		require.False(t, r.node.hasRun(runKey("j", 1)))
		require.Zero(t, r.worker.count())
	}
}

// Guards against a start that waits at its agent for the worker until the job may have been cancelled for
// too long.
func TestStartThatWaitsForTheWorkerExpires(t *testing.T) {
	const within = 500 * time.Millisecond
	r := newRig(t)
	r.node.leader.buildReport(r.clock.Now())
	called := make(chan struct{}, 100)
	r.worker.setOutcome(func(string) callOutcome {
		called <- struct{}{}
		return unreachable
	})
	r.node.applyOrders(reportedOrders(r, within))
	<-called
	r.clock.Advance(within + time.Millisecond)
	r.worker.setOutcome(always(succeeds))
	r.eventually("the start is given up", func() bool { return !r.node.hasRun(runKey("j", 1)) })
	require.Zero(t, r.worker.count())
	require.Len(t, r.node.leader.buildReport(r.clock.Now()).Refused, 1)
}

// Guards against orders that refer to a report whose time of sending is not known any more, and against
// orders of a leader of an earlier version, which refer to none, that are refused.
func TestOrdersReferToKnownReports(t *testing.T) {
	r := newRig(t)
	l := &r.node.leader
	l.buildReport(r.clock.Now())
	old := reportedOrders(r, time.Minute)
	require.Equal(t, r.clock.Now().Add(time.Minute), l.startBy(old))
	for range maxSentReports {
		l.buildReport(r.clock.Now())
	}
	require.True(t, startTooLate(r.clock.Now(), l.startBy(old)))
	require.False(t, startTooLate(r.clock.Now(), l.startBy(reportedOrders(r, time.Minute))))
	require.False(t, startTooLate(r.clock.Now(), l.startBy(ordersFor(runKey("j", 1)))))
}
