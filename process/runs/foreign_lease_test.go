package runs

import (
	"testing"

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

