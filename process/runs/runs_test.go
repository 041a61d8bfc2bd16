package runs

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/process/metrics"
	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/request/job"
)

// Guards against a start without a response that is given up although the worker may
// execute it, or that the worker executes late in addition to the retry.
func TestStartWithoutResponseIsFenced(t *testing.T) {
	for _, first := range []callOutcome{executedLate, responseLost} {
		r := newRig(t)
		k := runKey("j", 1)
		calls := 0
		r.worker.setOutcome(func(call string) callOutcome {
			if call != "start" {
				return succeeds
			}
			if calls++; calls == 1 {
				return first
			}
			return succeeds
		})
		r.orderStarts(r.node, k)
		r.eventually("the run is confirmed", func() bool { return r.node.isConfirmed(k) })
		require.True(t, r.worker.has(k))
		r.worker.finish(k, job.EndDone)
		r.poll(r.node)
		r.worker.runDelayedCalls()
		require.False(t, r.worker.has(k), "the late copy of the start ran after the end")
		report := fullReport(r.node)
		require.Empty(t, report.Running)
		require.Len(t, report.Ends, 1)
		require.Equal(t, job.EndDone, report.Ends[0].How)
	}
}

// Guards against a full report that leaves out a run whose start had no response yet.
func TestFullReportNamesUnconfirmedStarts(t *testing.T) {
	r := newRig(t)
	k := runKey("j", 1)
	r.worker.setOutcome(func(call string) callOutcome {
		if call == "start" {
			return executedLate
		}
		return succeeds
	})
	r.orderStarts(r.node, k)
	report := fullReport(r.node)
	require.Len(t, report.Running, 1)
	require.Equal(t, k, report.Running[0].Key)
}

// Guards against an end that the worker discards before it is durable, because a serial of
// another session is applied, and against one that stays unrecorded after it was reported again
// under another serial.
func TestEndsAreKeptUntilRecorded(t *testing.T) {
	r := newRig(t)
	a, b := runKey("a", 1), runKey("b", 1)
	r.orderStarts(r.node, a, b)
	r.eventually("both run", func() bool { return r.node.isConfirmed(a) && r.node.isConfirmed(b) })
	r.worker.finish(a, job.EndDone)
	r.worker.finish(b, job.EndDone)
	r.poll(r.node)
	require.Len(t, fullReport(r.node).Ends, 2)
	session := r.node.leader.session
	r.node.markRecorded(1, session)
	r.poll(r.node)
	require.Equal(t, uint64(1), r.worker.recorded)
	r.node.markRecorded(2, session-1)
	r.poll(r.node)
	require.Equal(t, uint64(1), r.worker.recorded, "a serial of another session was applied")
	again := fullReport(r.node)
	require.Len(t, again.Ends, 1)
	require.Equal(t, b, again.Ends[0].Key)
	r.node.markRecorded(again.Ends[0].Serial, session)
	r.poll(r.node)
	require.Equal(t, uint64(2), r.worker.recorded)
}

// Guards against a lease at the worker that extends beyond the leader's grant.
func TestWorkerLeaseEndsWithGrant(t *testing.T) {
	r := newRig(t)
	k := runKey("j", 1)
	r.orderStarts(r.node, k)
	r.eventually("the run is confirmed", func() bool { return r.node.isConfirmed(k) })
	granted := r.node.grantEnd
	for r.clock.Now().Before(granted.Add(time.Second)) {
		r.poll(r.node)
		r.worker.mu.Lock()
		until := r.worker.leaseEnd
		r.worker.mu.Unlock()
		require.False(t, until.After(granted), "lease until %s, granted until %s", until, granted)
		r.clock.Advance(100 * time.Millisecond)
	}
	require.False(t, r.worker.has(k))
}

// Guards against runs that never end because their worker stays unreachable: once its lease has
// expired, and not before, they must be reported as ended, although the leader extends the
// grant.
func TestRunsOfUnreachableWorkerExpire(t *testing.T) {
	for _, failure := range []callOutcome{unreachable, executedLate} {
		r := newRig(t)
		k := runKey("j", 1)
		r.orderStarts(r.node, k)
		r.eventually("the run is confirmed", func() bool { return r.node.isConfirmed(k) })
		r.worker.setOutcome(always(failure))
		began := r.clock.Now()
		for r.node.hasRun(k) {
			require.Less(t, r.clock.Since(began), 2*testWorkerLease, "the runs of an unreachable worker never end")
			r.node.extendGrant(r.clock.Now().Add(testGrant))
			r.poll(r.node)
			r.node.concludeExpired(r.clock.Now())
			r.clock.Advance(100 * time.Millisecond)
		}
		require.False(t, r.worker.has(k), "reported as ended while it is running")
		report := fullReport(r.node)
		require.Len(t, report.Ends, 1)
		require.Equal(t, job.EndLeaseExpired, report.Ends[0].How)
	}
}

// Guards against runs of the previous worker instance that stay in the table, and
// against confusing the end numbers of two instances, each of which starts at 1.
func TestRestartedWorker(t *testing.T) {
	r := newRig(t)
	a, b := runKey("a", 1), runKey("b", 1)
	r.orderStarts(r.node, a, b)
	r.eventually("both run", func() bool { return r.node.isConfirmed(a) && r.node.isConfirmed(b) })
	r.worker.finish(a, job.EndDone)
	r.poll(r.node)
	r.worker.restart()
	r.clock.Advance(testReportInterval)
	r.poll(r.node)
	report := fullReport(r.node)
	require.Empty(t, report.Running)
	require.Len(t, report.Ends, 2)
	require.Equal(t, message.RunEnd{Key: a, How: job.EndDone, Serial: 1}, report.Ends[0])
	require.Equal(t, job.EndLeaseExpired, report.Ends[1].How)
	r.node.markRecorded(2, r.node.leader.session)
	r.announce(r.node, testCapacity, 1)
	r.poll(r.node)
	c := runKey("c", 1)
	r.orderStarts(r.node, c)
	r.eventually("the next one runs", func() bool { return r.node.isConfirmed(c) })
	r.worker.finish(c, job.EndDone)
	r.poll(r.node)
	require.Len(t, fullReport(r.node).Ends, 1, "the first end of the new instance was treated as recorded")
}

// Guards against a new agent process that does not take over the worker's runs, that starts
// others next to a run of unknown size, or whose predecessor can still start runs.
func TestNewAgentTakesOverRuns(t *testing.T) {
	r := newRig(t)
	k := runKey("j", 1)
	r.orderStarts(r.node, k)
	r.eventually("the run is confirmed", func() bool { return r.node.isConfirmed(k) })
	r.node.mu.Lock()
	token := r.node.token // an earlier process that still runs raises its token when it is refused
	r.node.mu.Unlock()
	r.clock.Advance(time.Millisecond) // the first token derives from the start time
	next := r.newNode()
	report := fullReport(next)
	require.Len(t, report.Running, 1)
	require.Equal(t, k, report.Running[0].Key)
	other := runKey("o", 1)
	r.orderStarts(next, other)
	delta := message.Report{}
	next.fillReport(&delta, 0)
	require.Len(t, delta.Refused, 1)
	next.applyOrdersUnchecked(&message.Orders{Adopted: []message.StartRun{{Key: k, Need: testNeed, Charge: testNeed}}})
	r.orderStarts(next, runKey("o", 2))
	r.eventually("a start is admitted once the size is known", func() bool { return next.isConfirmed(runKey("o", 2)) })
	// The worker refuses calls of the previous process.
	_, err := r.worker.Start(t.Context(), platform.RunRequest{RunKey: runKey("x", 1), Token: token, LeaseUntilMs: 1 << 40})
	require.Error(t, err)
}

// Guards against starting more runs than the worker has capacity for.
func TestWorkerCapacityIsNotExceeded(t *testing.T) {
	r := newRig(t)
	var keys []job.RunKey
	for i := range uint32(12) {
		keys = append(keys, job.RunKey{Task: job.TaskID{Job: "j", Index: int(i)}, Run: 1})
	}
	r.orderStarts(r.node, keys...)
	r.eventually("eight run", func() bool { return r.node.Count() == 8 && r.worker.endCount == 0 })
	report := message.Report{}
	r.node.fillReport(&report, 0)
	require.Len(t, report.Refused, 4)
}

// Guards against counting an end that happened before the worker's lease expired but was listed
// after it: the platform does not count such an end.
func TestEndsListedAfterLeaseExpiryAreVoid(t *testing.T) {
	r := newRig(t)
	a, b := runKey("a", 1), runKey("b", 1)
	r.orderStarts(r.node, a, b)
	r.eventually("both run", func() bool { return r.node.isConfirmed(a) && r.node.isConfirmed(b) })
	r.worker.finish(a, job.EndDone)
	r.clock.Advance(testWorkerLease + time.Second) // the agent process was paused
	r.node.extendGrant(r.clock.Now().Add(testGrant))
	r.poll(r.node)
	report := fullReport(r.node)
	require.Len(t, report.Ends, 2)
	require.True(t, report.Ends[0].Void)
	require.Equal(t, job.EndLeaseExpired, report.Ends[1].How)
}

// Guards against counting a reported end if the lease expired before any leader
// recorded it: its task may have been started elsewhere.
func TestUnrecordedEndsAreVoidAfterLeaseExpiry(t *testing.T) {
	r := newRig(t)
	k := runKey("j", 1)
	r.orderStarts(r.node, k)
	r.eventually("the run is confirmed", func() bool { return r.node.isConfirmed(k) })
	r.worker.finish(k, job.EndDone)
	r.poll(r.node)
	require.False(t, fullReport(r.node).Ends[0].Void)
	r.clock.Advance(testGrant + time.Second) // no leader extends the grant
	r.poll(r.node)
	report := fullReport(r.node)
	require.Len(t, report.Ends, 1)
	require.True(t, report.Ends[0].Void)
}

// Guards against a stop that is not retried after a call without a response, and
// against a run that starts after it was stopped.
func TestStopsAreRetriedAndPreventLaterStarts(t *testing.T) {
	r := newRig(t)
	k := runKey("j", 1)
	r.orderStarts(r.node, k)
	r.eventually("the run is confirmed", func() bool { return r.node.isConfirmed(k) })
	r.worker.setOutcome(func(call string) callOutcome {
		if call == "stop" {
			return executedLate
		}
		return succeeds
	})
	r.node.applyOrdersUnchecked(&message.Orders{Stops: []message.StopRun{{Key: k}}})
	r.worker.setOutcome(always(succeeds))
	r.eventually("the run has ended", func() bool {
		r.node.sendStops(r.clock.Now())
		r.clock.Advance(stopRetryInterval)
		r.poll(r.node)
		return !r.node.hasRun(k)
	})
	unknown := runKey("u", 3)
	r.node.applyOrdersUnchecked(&message.Orders{Stops: []message.StopRun{{Key: unknown}}})
	r.eventually("the stop reaches the worker", func() bool {
		r.worker.mu.Lock()
		defer r.worker.mu.Unlock()
		return r.worker.highestRun[unknown.Task] == 3
	})
}

// Guards against a task that starts after its job was cancelled, because a start
// without a response was sent again.
func TestCancelledStartIsNotRepeated(t *testing.T) {
	for _, first := range []callOutcome{executedLate, responseLost} {
		r := newRig(t)
		k := runKey("j", 1)
		starts, stops := 0, 0
		r.worker.setOutcome(func(call string) callOutcome {
			switch call {
			case "start":
				if starts++; starts == 1 {
					r.node.markStopping(k)
					return first
				}
			case "stop":
				if stops++; stops == 1 {
					return unreachable
				}
			}
			return succeeds
		})
		r.orderStarts(r.node, k)
		r.eventually("the start is resolved", func() bool {
			r.poll(r.node)
			return !r.node.hasRun(k)
		})
		r.worker.runDelayedCalls()
		require.False(t, r.worker.has(k), "the start was executed after the cancellation")
		require.Equal(t, 1, starts)
	}
}

func (n *Node) markStopping(key job.RunKey) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.runs[key].stopping = true
}

// Guards against a start that is sent later than maxStartAge after its order, when a
// leader that this agent cannot reach may have cancelled the job.
func TestOldOrdersAreNotStarted(t *testing.T) {
	r := newRig(t)
	k := runKey("j", 1)
	began, last := r.clock.Now(), time.Duration(0)
	stopped := make(chan struct{}, 100)
	r.worker.setOutcome(func(call string) callOutcome {
		switch call {
		case "start":
			last = r.clock.Now().Sub(began)
			r.clock.Advance(500 * time.Millisecond) // the call times out
			return executedLate
		case "stop":
			stopped <- struct{}{}
		}
		return succeeds
	})
	r.orderStarts(r.node, k)
	<-stopped
	r.eventually("the start is resolved", func() bool {
		r.poll(r.node)
		return !r.node.hasRun(k)
	})
	r.worker.runDelayedCalls()
	require.False(t, r.worker.has(k), "an old order was executed")
	require.LessOrEqual(t, last, maxStartAge)
}

// Guards against a leader that continues to order runs at an unreachable worker because no
// report shows it as unreachable.
func TestUnreachableWorkerIsReported(t *testing.T) {
	r := newRig(t)
	require.True(t, fullReport(r.node).Worker.Reachable)
	r.worker.setOutcome(always(unreachable))
	r.clock.Advance(testWorkerLease)
	r.poll(r.node)
	report := message.Report{}
	r.node.fillReport(&report, 0)
	require.NotNil(t, report.Worker)
	require.False(t, report.Worker.Reachable)
	r.worker.setOutcome(always(succeeds))
	r.poll(r.node)
	report = message.Report{}
	r.node.fillReport(&report, 0)
	require.NotNil(t, report.Worker)
	require.True(t, report.Worker.Reachable)
}

// Guards against a start that is given up while its run exists: a listing without the run may
// have been requested before the start and applied after the process was frozen.
func TestOldListingResolvesNoStart(t *testing.T) {
	r := newRig(t)
	k := runKey("j", 1)
	sent := r.clock.Now()
	r.worker.setOutcome(func(call string) callOutcome {
		if call == "start" {
			return responseLost
		}
		return succeeds
	})
	r.node.admitOrders(&message.Orders{
		Inputs: []message.JobInput{{Job: "j", Input: []byte("input")}},
		Starts: []message.StartRun{{Key: k, Need: testNeed, Charge: testNeed}},
	}, time.Time{})
	list, err := r.worker.Hold(t.Context(), platform.HoldRequest{Token: r.node.token})
	require.NoError(t, err)
	r.clock.Advance(time.Millisecond)
	resolved := make(chan struct{})
	go func() {
		defer close(resolved)
		r.node.resolveStart(t.Context(), r.node.findRun(k), string(platform.RefusedOldRun), false)
	}()
	require.NoError(t, r.clock.BlockUntilContext(t.Context(), 1))
	r.clock.Advance(2 * maxPollWait)
	r.node.applyListing(sent, r.clock.Now(), 0, &list)
	for range 5 {
		require.NoError(t, r.clock.BlockUntilContext(t.Context(), 1))
		require.True(t, r.node.hasRun(k), "a listing from before the start resolved it")
		r.clock.Advance(startRetryDelay)
	}
	r.eventually("a listing from after the start resolves it", func() bool {
		r.poll(r.node)
		return !r.node.hasRun(k)
	})
	<-resolved
}

func (n *Node) findRun(key job.RunKey) *run {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.runs[key]
}

// Guards against a run that the agent gives up and that runs nevertheless without a trace in the
// log, and against a record of such runs that grows without bound.
func TestReappearedRunIsLogged(t *testing.T) {
	r := newRig(t)
	var log bytes.Buffer
	r.node.cfg.Log, _ = event.New(&log, "json", "info")
	k := runKey("j", 1)
	r.node.mu.Lock()
	for i := range uint32(2 * maxGivenUpRuns) {
		r.node.givenUp.add(r.clock.Now(), runKey("other", i), "lease expired")
	}
	r.node.givenUp.add(r.clock.Now(), k, "refused: no reason")
	require.Len(t, r.node.givenUp, maxGivenUpRuns)
	r.node.mu.Unlock()
	r.clock.Advance(time.Second)
	r.worker.mu.Lock()
	r.worker.running[k] = platform.RunningTask{RunKey: k}
	r.worker.mu.Unlock()
	r.poll(r.node)
	r.poll(r.node)
	require.Equal(t, 1, strings.Count(log.String(), `"name":"run_reappeared","task":"j.0.0.0","run":1,"cause":"refused: no reason","age_ms":1000`), log.String())
	require.Equal(t, int64(1), r.node.cfg.Metrics.Value(metrics.RunsReappeared))
}

// Guards against a run that is reported as expired although it has ended otherwise: the worker
// lists no more than a part of its ends at once.
func TestRunMissingFromPartOfTheEndsIsKept(t *testing.T) {
	r := newRig(t)
	a, b := runKey("a", 1), runKey("b", 1)
	r.orderStarts(r.node, a, b)
	r.eventually("both run", func() bool { return r.node.isConfirmed(a) && r.node.isConfirmed(b) })
	r.worker.finish(a, job.EndDone)
	r.worker.finish(b, job.EndDone)
	r.clock.Advance(testReportInterval)
	r.worker.maxListedEnds = 1
	r.poll(r.node)
	require.True(t, r.node.hasRun(b), "reported as ended by its lease")
	require.Len(t, fullReport(r.node).Ends, 1)
	r.node.markRecorded(1, r.node.leader.session)
	r.poll(r.node)
	ends := fullReport(r.node).Ends
	require.Len(t, ends, 1)
	require.Equal(t, message.RunEnd{Key: b, How: job.EndDone, Serial: 1}, ends[0])
}

// Guards against a task that runs again although it is done: a restarted agent reports as if its
// worker had listed all ends, and the leader takes a run that is missing as one that never started.
func TestRestartedAgentReportsUntilAllEndsAreListed(t *testing.T) {
	r := newRig(t)
	a, b := runKey("a", 1), runKey("b", 1)
	r.orderStarts(r.node, a, b)
	r.eventually("both run", func() bool { return r.node.isConfirmed(a) && r.node.isConfirmed(b) })
	r.worker.finish(a, job.EndDone)
	r.worker.finish(b, job.EndDone)
	r.worker.maxListedEnds = 1
	next := r.newNode()
	l := &next.leader
	report := l.buildReport(r.clock.Now())
	require.Len(t, report.Ends, 1)
	require.True(t, report.MoreEnds)
	for end := range uint64(2) {
		l.tick(t.Context(), r.clock.Now())
		require.Equal(t, report.Session, l.session, "not all ends are listed")
		next.markRecorded(end+1, l.session)
		r.poll(next)
		require.False(t, l.buildReport(r.clock.Now()).Full)
	}
	l.tick(t.Context(), r.clock.Now())
	require.Greater(t, l.session, report.Session)
	report = l.buildReport(r.clock.Now())
	require.True(t, report.Full)
	require.False(t, report.MoreEnds)
}
