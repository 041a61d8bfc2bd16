package runs

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/process/metrics"
	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/request/job"
)

// outcomeOf returns the outcomes of calls by name; others succeed.
func outcomeOf(outcomes map[string]callOutcome) func(string) callOutcome {
	return func(call string) callOutcome { return outcomes[call] }
}

// requireKeptWhileRunning advances the clock, with the worker cut off from its agent, until the
// agent gives the run up, by which time the worker must have ended it.
func (r *rig) requireKeptWhileRunning(k job.RunKey) {
	r.t.Helper()
	r.worker.setOutcome(always(unreachable))
	began := r.clock.Now()
	for r.node.hasRun(k) {
		require.Less(r.t, r.clock.Since(began), 2*(platform.LateCallWindow+testMaxLease), "the run of an unreachable worker never ends")
		r.clock.Advance(100 * time.Millisecond)
		r.node.extendGrant(r.clock.Now().Add(testGrant))
		r.poll(r.node)
		r.node.concludeExpired(r.clock.Now())
	}
	require.False(r.t, r.worker.has(k), "reported as ended while it is running")
}

// awaitStartReturned waits until a start has returned that leaves its run unconfirmed.
func (r *rig) awaitStartReturned(k job.RunKey) {
	r.t.Helper()
	r.eventually("the start has returned", func() bool {
		r.node.mu.Lock()
		defer r.node.mu.Unlock()
		run := r.node.runs[k]
		return run != nil && !run.startSentAt.IsZero() && !run.startInFlight
	})
}

// Guards against two runs of a task: a worker that restarted under its ID answers a start which
// was made for its previous instance, is cut off before it has been listed, and runs the task
// beyond the lease that the start requested.
func TestStartAnsweredByAnUnlistedInstanceIsNotConcluded(t *testing.T) {
	r := newOldWorkerRig(t)
	r.worker.restart()
	k := runKey("j", 1)
	r.orderStarts(r.node, k)
	r.awaitStartReturned(k)
	require.True(t, r.worker.has(k))
	require.Equal(t, int64(1), r.node.cfg.Metrics.Value(metrics.StartsUnanswered), "the start is repeated without a listing")
	report := message.Report{Full: true}
	r.node.fillReport(&report, 0)
	require.True(t, report.Running[0].Unconfirmed, "the leader takes the run as confirmed by the listed instance")
	r.requireKeptWhileRunning(k)
}

// Guards against the same when the response of the restarted worker is lost.
func TestStartExecutedByAnUnlistedInstanceIsNotConcluded(t *testing.T) {
	r := newOldWorkerRig(t)
	r.worker.restart()
	r.worker.setOutcome(outcomeOf(map[string]callOutcome{"start": responseLost}))
	k := runKey("j", 1)
	r.orderStarts(r.node, k)
	r.eventually("a start has had no response", func() bool { return r.worker.has(k) })
	r.requireKeptWhileRunning(k)
}

// Guards against two runs of a task: a restarted worker executes a start at the end of the time in
// which calls without a response may be executed, and its lease begins then.
func TestStartExecutedLateKeepsItsLease(t *testing.T) {
	r := newOldWorkerRig(t)
	r.worker.setOutcome(outcomeOf(map[string]callOutcome{"start": executedLate}))
	k := runKey("j", 1)
	r.orderStarts(r.node, k)
	r.awaitStartReturned(k)
	r.worker.setOutcome(always(unreachable))
	r.worker.restart()
	r.clock.Advance(platform.LateCallWindow - 500*time.Millisecond)
	r.node.concludeExpired(r.clock.Now())
	r.worker.runDelayedCalls()
	require.True(t, r.worker.has(k))
	r.requireKeptWhileRunning(k)
}

// Guards against starts that count as answered by a restarted worker although the listed one has
// answered them, whose clock may be 2% slow and is read in whole milliseconds.
func TestClockBehindAllowsForSlowClocks(t *testing.T) {
	at := time.Date(2026, 12, 6, 0, 0, 0, 0, time.UTC)
	for elapsedMs := int64(0); elapsedMs < 3000; elapsedMs++ {
		q := leaseRequest{clock: workerClock{valueMs: 50_000, readAt: at}, sentAt: at.Add(time.Duration(elapsedMs) * time.Millisecond)}
		for _, rate := range []float64{0.98, 1} {
			for _, shown := range []float64{50_000, 50_000.999} { // valueMs is rounded down
				require.Zero(t, q.clockBehind(int64(shown+float64(elapsedMs)*rate)))
			}
		}
	}
	q := leaseRequest{clock: workerClock{valueMs: 50_000, readAt: at}, sentAt: at.Add(time.Second)}
	require.Equal(t, 50_870*time.Millisecond, q.clockBehind(100))
	require.Zero(t, q.clockBehind(0), "an unknown clock is behind")
	require.Zero(t, (&leaseRequest{}).clockBehind(100), "a clock is behind an unknown one")
}

// Guards against a refusal by a restarted worker that is taken as the answer of the listed one,
// whose copy of the start may have been executed.
func TestRefusalOfAnotherInstanceResolvesNothing(t *testing.T) {
	r := newOldWorkerRig(t)
	k := runKey("j", 1)
	r.node.cfg.Worker = refusingWorker{r.worker}
	r.orderStarts(r.node, k)
	r.awaitStartReturned(k)
	require.True(t, r.node.hasRun(k), "given up before a listing shows which runs the worker has")
}

// refusingWorker refuses starts with the clock of an instance that has just started.
type refusingWorker struct{ *fakeWorker }

func (refusingWorker) Start(context.Context, platform.RunRequest) (clockMs int64, err error) {
	return 1, &platform.RefusalError{Reason: platform.RefusedCapacity}
}

// Guards against a run that is reported as ended with the previous worker instance while its
// start is on the way to the next one, which is listed before it executes the start.
func TestRunWithAStartInFlightIsNotTakenAsNotListed(t *testing.T) {
	r := newOldWorkerRig(t)
	k := runKey("j", 1)
	r.worker.setOutcome(outcomeOf(map[string]callOutcome{"start": responseLost}))
	r.orderStarts(r.node, k)
	r.eventually("the first copy is executed", func() bool { return r.worker.has(k) })
	r.worker.setOutcome(outcomeOf(map[string]callOutcome{"start": held}))
	<-r.worker.heldCalls
	r.poll(r.node)
	require.True(t, r.node.isConfirmed(k))
	r.clock.Advance(time.Millisecond)
	r.worker.restart()
	r.announce(r.node, testCapacity, 1)
	r.poll(r.node)
	require.True(t, r.node.hasRun(k), "concluded while a copy of its start is on the way")
	r.worker.releaseCalls()
	r.eventually("the run is resolved", func() bool {
		r.poll(r.node)
		return r.node.isConfirmed(k) == r.worker.has(k) && r.node.hasRun(k) == r.worker.has(k)
	})
}

// Guards against starts by the clock of a worker instance that is gone: an announcement of the
// next one ends the poll that still waits for the previous one, and until a listing no start is
// sent.
func TestAnnouncementOfAnotherInstanceSuspendsLeases(t *testing.T) {
	r := newOldWorkerRig(t)
	ended := false
	r.node.setPollCancel(func() { ended = true })
	r.worker.restart()
	r.announce(r.node, testCapacity, 1)
	require.True(t, ended, "the poll waits for the previous instance")
	early := runKey("early", 1)
	r.orderStarts(r.node, early)
	r.eventually("the start is refused", func() bool { return !r.node.hasRun(early) })
	require.Zero(t, r.worker.count())
	r.poll(r.node)
	r.requireLeaseWithinGrant("restarted worker")
	ended = false
	r.announce(r.node, testCapacity, 2)
	require.False(t, ended, "an announcement of the listed instance ends the poll")
}

// Guards against two runs of a task (TWICE): the leader takes the runs of a silent agent as ended by
// the instance of the worker that it knows. A listing has shown another one, which has not announced
// itself, and its run under the longest lease.
func TestReportNamesTheListedInstance(t *testing.T) {
	r := newOldWorkerRig(t)
	r.worker.restart()
	k := runKey("j", 1)
	r.orderStarts(r.node, k)
	r.awaitStartReturned(k)
	r.poll(r.node) // made for the previous instance
	r.poll(r.node)
	require.True(t, r.worker.has(k))
	report := fullReport(r.node)
	require.Len(t, report.Running, 1)
	require.False(t, report.Running[0].Unconfirmed)
	require.Equal(t, r.worker.startedMs, report.Worker.StartedMs, "the run is reported as confirmed at the previous instance")
}

// Guards against two runs of a task (TWICE): an instance that has been listed, but has not executed a
// poll with a higher token yet, executes a late start, which extends the lease of all its runs.
func TestLateStartExtendsTheLeaseOfListedRuns(t *testing.T) {
	r := newOldWorkerRig(t)
	k := runKey("listed", 1)
	r.worker.setOutcome(outcomeOf(map[string]callOutcome{"start": held}))
	r.orderStarts(r.node, runKey("late", 1))
	<-r.worker.heldCalls
	r.worker.restart()
	r.worker.mu.Lock()
	r.worker.running[k] = platform.RunningTask{RunKey: k}
	r.worker.extend(1 << 40)
	r.worker.mu.Unlock()
	require.True(t, r.poll(r.node)) // with the token of the start
	require.True(t, r.node.hasRun(k))
	r.worker.setOutcome(always(unreachable))
	r.clock.Advance(testMaxLease - 100*time.Millisecond)
	r.worker.releaseCalls()
	r.awaitStartReturned(runKey("late", 1))
	require.True(t, r.worker.has(runKey("late", 1)))
	r.requireKeptWhileRunning(k)
}
