package runs

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/request/job"
)

// executedAtTheNextInstance orders a run whose start has no response, restarts the worker under its
// ID and lets the new instance execute the start. Further starts and stops do not reach it.
func (r *rig) executedAtTheNextInstance(k job.RunKey) {
	r.t.Helper()
	r.worker.setOutcome(outcomeOf(map[string]callOutcome{"start": executedLate}))
	r.orderStarts(r.node, k)
	r.awaitStartReturned(k)
	r.worker.setOutcome(outcomeOf(map[string]callOutcome{"start": unreachable, "stop": unreachable}))
	r.worker.restart()
	r.worker.runDelayedCalls()
	require.True(r.t, r.worker.has(k))
}

// Guards against a run that is reported as ended although it is done, so that its task is started
// again: a poll that was made for the previous instance of the worker reaches the next one, whose
// ends are numbered from 1 again, and lets it discard one that nobody has recorded.
func TestPollForAnEarlierInstanceDiscardsNoEnd(t *testing.T) {
	r := newOldWorkerRig(t)
	a, b := runKey("a", 1), runKey("b", 1)
	r.orderStarts(r.node, a)
	r.eventually("the run is confirmed", func() bool { return r.node.isConfirmed(a) })
	r.worker.finish(a, job.EndDone)
	r.poll(r.node)
	fullReport(r.node)
	r.node.markRecorded(1, r.node.leader.session)
	require.True(t, r.poll(r.node), "the worker discards the end of a")
	r.executedAtTheNextInstance(b)
	r.worker.finish(b, job.EndDone)
	for range 2 {
		r.poll(r.node) // the first is made for the previous instance
	}
	ends := fullReport(r.node).Ends
	require.Len(t, ends, 1)
	require.Equal(t, b, ends[0].Key)
	require.Equal(t, job.EndDone, ends[0].How)
}

// Guards against ends that the worker keeps for ever because the number is not sent again after a
// poll without a response.
func TestRecordedEndsAreDiscardedAfterALostPoll(t *testing.T) {
	r := newRig(t)
	k := runKey("a", 1)
	r.orderStarts(r.node, k)
	r.eventually("the run is confirmed", func() bool { return r.node.isConfirmed(k) })
	r.worker.finish(k, job.EndDone)
	r.poll(r.node)
	fullReport(r.node)
	r.node.markRecorded(1, r.node.leader.session)
	r.worker.setOutcome(always(executedLate))
	r.poll(r.node)
	r.worker.setOutcome(always(succeeds))
	r.poll(r.node)
	r.poll(r.node)
	r.worker.mu.Lock()
	defer r.worker.mu.Unlock()
	require.Equal(t, []platform.EndedTask(nil), append([]platform.EndedTask(nil), r.worker.ended...))
}

// Guards against a task that is started again although its run is done: the end was reported as
// void when the requested lease was over, but the worker held the longest lease that it grants,
// since it had restarted and executed a start that was made for its previous instance.
func TestEndUnderALeaseBeyondTheGrantIsValid(t *testing.T) {
	r := newOldWorkerRig(t)
	k := runKey("j", 1)
	r.executedAtTheNextInstance(k)
	r.announce(r.node, testCapacity, 1)
	for grantEnd := r.node.grantEnd; !r.clock.Now().After(grantEnd.Add(testReportInterval)); r.clock.Advance(200 * time.Millisecond) {
		r.poll(r.node) // the leader grants nothing any more
	}
	require.True(t, r.worker.has(k), "the lease has expired")
	r.worker.finish(k, job.EndDone)
	r.poll(r.node)
	ends := fullReport(r.node).Ends
	require.Len(t, ends, 1)
	require.Equal(t, job.EndDone, ends[0].How)
	require.False(t, ends[0].Void, "the lease has not expired")
}

// Guards against a task that is started again although its run is done: a poll in flight reaches the
// next worker instance after a run that was started there meanwhile has ended, and lets it discard
// the end.
func TestPollInFlightDiscardsNoEndOfALaterStart(t *testing.T) {
	r := newOldWorkerRig(t)
	a, b := runKey("a", 1), runKey("b", 1)
	r.orderStarts(r.node, a)
	r.eventually("the run is confirmed", func() bool { return r.node.isConfirmed(a) })
	r.worker.finish(a, job.EndDone)
	r.poll(r.node)
	fullReport(r.node)
	r.node.markRecorded(1, r.node.leader.session)
	r.worker.setOutcome(outcomeOf(map[string]callOutcome{"hold": held}))
	polled := make(chan struct{})
	go func() {
		defer close(polled)
		r.poll(r.node)
	}()
	<-r.worker.heldCalls
	r.worker.restart()
	r.orderStarts(r.node, b)
	r.awaitStartReturned(b)
	r.worker.finish(b, job.EndDone)
	r.worker.releaseCalls()
	<-polled
	r.worker.setOutcome(outcomeOf(map[string]callOutcome{"start": unreachable}))
	r.poll(r.node)
	r.poll(r.node)
	ends := fullReport(r.node).Ends
	require.Len(t, ends, 1)
	require.Equal(t, b, ends[0].Key)
	require.Equal(t, job.EndDone, ends[0].How)
}

// Guards against the same for a start that was sent before the poll.
func TestRecordedEndsWaitForStartsInFlight(t *testing.T) {
	r := newOldWorkerRig(t)
	a, b := runKey("a", 1), runKey("b", 1)
	r.orderStarts(r.node, a)
	r.eventually("the run is confirmed", func() bool { return r.node.isConfirmed(a) })
	r.worker.finish(a, job.EndDone)
	r.poll(r.node)
	fullReport(r.node)
	r.node.markRecorded(1, r.node.leader.session)
	r.worker.setOutcome(outcomeOf(map[string]callOutcome{"start": held}))
	r.orderStarts(r.node, b)
	<-r.worker.heldCalls
	r.poll(r.node)
	require.Zero(t, r.worker.recorded, "the next instance may execute the start before the poll")
	r.worker.releaseCalls()
	r.eventually("the run is confirmed", func() bool { return r.node.isConfirmed(b) })
	r.poll(r.node)
	require.Equal(t, uint64(1), r.worker.recorded)
}
