package runs

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/request/job"
)

// Guards against a start without an answer that is given up although it may be
// carried out, or that is carried out late beside the repetition.
func TestUnansweredStartIsFencedOff(t *testing.T) {
	for _, first := range []answerTo{late, unheard} {
		r := newRig(t)
		k := runKey("j", 1)
		calls := 0
		r.worker.setAnswer(func(call string) answerTo {
			if call != "start" {
				return answered
			}
			if calls++; calls == 1 {
				return first
			}
			return answered
		})
		r.order(r.node, k)
		r.eventually("the run is confirmed", func() bool { return r.node.confirmed(k) })
		require.True(t, r.worker.has(k))
		r.worker.finish(k, job.EndDone)
		r.look(r.node)
		r.worker.carryOutLate()
		require.False(t, r.worker.has(k), "the late copy ran after the end")
		report := full(r.node)
		require.Empty(t, report.Running)
		require.Len(t, report.Ends, 1)
		require.Equal(t, job.EndDone, report.Ends[0].How)
	}
}

// Guards against a full report that leaves out a start that is still under way.
func TestFullReportNamesStartsUnderWay(t *testing.T) {
	r := newRig(t)
	k := runKey("j", 1)
	r.worker.setAnswer(func(call string) answerTo {
		if call == "start" {
			return late
		}
		return answered
	})
	r.order(r.node, k)
	report := full(r.node)
	require.Len(t, report.Running, 1)
	require.Equal(t, k, report.Running[0].Key)
}

// Guards against an end that the worker forgets before it is durable, and
// against one that is reported again under another serial and then skipped.
func TestEndsAreKeptUntilRecorded(t *testing.T) {
	r := newRig(t)
	a, b := runKey("a", 1), runKey("b", 1)
	r.order(r.node, a, b)
	r.eventually("both run", func() bool { return r.node.confirmed(a) && r.node.confirmed(b) })
	r.worker.finish(a, job.EndDone)
	r.worker.finish(b, job.EndDone)
	r.look(r.node)
	require.Len(t, full(r.node).Ends, 2)
	session := r.node.link.session
	r.node.recorded(1, session)
	r.look(r.node)
	require.Equal(t, uint64(1), r.worker.seen)
	r.node.recorded(2, session-1)
	r.look(r.node)
	require.Equal(t, uint64(1), r.worker.seen, "a serial of another session was taken")
	again := full(r.node)
	require.Len(t, again.Ends, 1)
	require.Equal(t, b, again.Ends[0].Key)
	r.node.recorded(again.Ends[0].Serial, session)
	r.look(r.node)
	require.Equal(t, uint64(2), r.worker.seen)
}

// Guards against a lease at the worker that reaches beyond the leader's grant.
func TestWorkerLeaseEndsWithTheGrant(t *testing.T) {
	r := newRig(t)
	k := runKey("j", 1)
	r.order(r.node, k)
	r.eventually("the run is confirmed", func() bool { return r.node.confirmed(k) })
	granted := r.node.granted
	for r.clock.Now().Before(granted.Add(time.Second)) {
		r.look(r.node)
		r.worker.mu.Lock()
		until := r.worker.until
		r.worker.mu.Unlock()
		require.False(t, until.After(granted), "lease until %s, granted until %s", until, granted)
		r.clock.Advance(100 * time.Millisecond)
	}
	require.False(t, r.worker.has(k))
}

// Guards against a worker that is gone for good: its runs must be reported as
// ended once its lease is over, although the leader goes on granting.
func TestRunsOfAGoneWorkerLapse(t *testing.T) {
	for _, silence := range []answerTo{notSent, late} {
		r := newRig(t)
		k := runKey("j", 1)
		r.order(r.node, k)
		r.eventually("the run is confirmed", func() bool { return r.node.confirmed(k) })
		r.worker.setAnswer(always(silence))
		began := r.clock.Now()
		for r.node.holds(k) {
			require.Less(t, r.clock.Since(began), 2*testWorkerLease, "runs of a worker that does not answer never end")
			r.node.grant(r.clock.Now().Add(testGrant))
			r.look(r.node)
			r.node.concludeLapse(r.clock.Now())
			r.clock.Advance(100 * time.Millisecond)
		}
		require.False(t, r.worker.has(k), "reported as ended while it runs")
		report := full(r.node)
		require.Len(t, report.Ends, 1)
		require.Equal(t, job.EndLapsed, report.Ends[0].How)
	}
}

// Guards against runs of a worker's previous life that are kept, and against
// ends of that life whose numbers are taken for those of the next.
func TestNextLifeOfTheWorker(t *testing.T) {
	r := newRig(t)
	a, b := runKey("a", 1), runKey("b", 1)
	r.order(r.node, a, b)
	r.eventually("both run", func() bool { return r.node.confirmed(a) && r.node.confirmed(b) })
	r.worker.finish(a, job.EndDone)
	r.look(r.node)
	r.worker.reborn()
	r.clock.Advance(testHeartbeat)
	r.look(r.node)
	report := full(r.node)
	require.Empty(t, report.Running)
	require.Len(t, report.Ends, 2)
	require.Equal(t, message.RunEnd{Key: a, How: job.EndDone, Serial: 1}, report.Ends[0])
	require.Equal(t, job.EndLapsed, report.Ends[1].How)
	r.node.recorded(2, r.node.link.session)
	c := runKey("c", 1)
	r.order(r.node, c)
	r.eventually("the next one runs", func() bool { return r.node.confirmed(c) })
	r.worker.finish(c, job.EndDone)
	r.look(r.node)
	require.Len(t, full(r.node).Ends, 1, "the first end of the new life was taken for recorded")
}

// Guards against a new agent process that does not take over what runs, and
// against starts beside a run whose size it has not been told.
func TestNextProcessTakesOver(t *testing.T) {
	r := newRig(t)
	k := runKey("j", 1)
	r.order(r.node, k)
	r.eventually("the run is confirmed", func() bool { return r.node.confirmed(k) })
	r.node.mu.Lock()
	token := r.node.token // a process that lives on raises it when it is refused
	r.node.mu.Unlock()
	r.clock.Advance(time.Millisecond) // tokens begin at the time of the start
	next := r.newNode()
	report := full(next)
	require.Len(t, report.Running, 1)
	require.Equal(t, k, report.Running[0].Key)
	other := runKey("o", 1)
	r.order(next, other)
	delta := message.Report{}
	next.fill(&delta, 0)
	require.Len(t, delta.Refused, 1)
	next.orders(&message.Orders{Adopted: []message.StartRun{{Key: k, Need: testNeed, Charge: testNeed}}})
	r.order(next, runKey("o", 2))
	r.eventually("a start is taken once the size is known", func() bool { return next.confirmed(runKey("o", 2)) })
	// The previous process's calls do nothing any more.
	_, err := r.worker.Start(t.Context(), platform.RunRequest{RunKey: runKey("x", 1), Token: token, LeaseUntilMs: 1 << 40})
	require.Error(t, err)
}

// Guards against more runs than the worker has room for.
func TestRoomIsNotExceeded(t *testing.T) {
	r := newRig(t)
	var keys []job.RunKey
	for i := range uint32(12) {
		keys = append(keys, job.RunKey{Task: job.TaskID{Job: "j", Index: int(i)}, Run: 1})
	}
	r.order(r.node, keys...)
	r.eventually("eight run", func() bool { return r.node.Count() == 8 && r.worker.count == 0 })
	report := message.Report{}
	r.node.fill(&report, 0)
	require.Len(t, report.Refused, 4)
}

// Guards against an end before a lapse of the worker's lease that is taken as
// noted although the platform does not count it.
func TestEndsBeforeALapseAreVoid(t *testing.T) {
	r := newRig(t)
	a, b := runKey("a", 1), runKey("b", 1)
	r.order(r.node, a, b)
	r.eventually("both run", func() bool { return r.node.confirmed(a) && r.node.confirmed(b) })
	r.worker.finish(a, job.EndDone)
	r.clock.Advance(testWorkerLease + time.Second) // the process was paused
	r.node.grant(r.clock.Now().Add(testGrant))
	r.look(r.node)
	report := full(r.node)
	require.Len(t, report.Ends, 2)
	require.True(t, report.Ends[0].Void)
	require.Equal(t, job.EndLapsed, report.Ends[1].How)
}

// Guards against an end that counts although the lease ran out before any leader
// had recorded it, while its task may have been started elsewhere.
func TestUnrecordedEndsAreVoidAfterALapse(t *testing.T) {
	r := newRig(t)
	k := runKey("j", 1)
	r.order(r.node, k)
	r.eventually("the run is confirmed", func() bool { return r.node.confirmed(k) })
	r.worker.finish(k, job.EndDone)
	r.look(r.node)
	require.False(t, full(r.node).Ends[0].Void)
	r.clock.Advance(testGrant + time.Second) // no leader is heard
	r.look(r.node)
	report := full(r.node)
	require.Len(t, report.Ends, 1)
	require.True(t, report.Ends[0].Void)
}

// Guards against a stop that is forgotten when the worker does not answer, and
// against a run that starts after it was stopped.
func TestStopsAreRepeatedAndHold(t *testing.T) {
	r := newRig(t)
	k := runKey("j", 1)
	r.order(r.node, k)
	r.eventually("the run is confirmed", func() bool { return r.node.confirmed(k) })
	r.worker.setAnswer(func(call string) answerTo {
		if call == "stop" {
			return late
		}
		return answered
	})
	r.node.orders(&message.Orders{Stops: []message.StopRun{{Key: k}}})
	r.worker.setAnswer(always(answered))
	r.eventually("the run has ended", func() bool {
		r.node.repeatStops(r.clock.Now())
		r.clock.Advance(stopInterval)
		r.look(r.node)
		return !r.node.holds(k)
	})
	unknown := runKey("u", 3)
	r.node.orders(&message.Orders{Stops: []message.StopRun{{Key: unknown}}})
	r.eventually("the stop reaches the worker", func() bool {
		r.worker.mu.Lock()
		defer r.worker.mu.Unlock()
		return r.worker.highest[unknown.Task] == 3
	})
}

// Guards against a task that starts after its job was cancelled, because its
// start had no answer and was repeated.
func TestCancelledStartIsNotRepeated(t *testing.T) {
	for _, first := range []answerTo{late, unheard} {
		r := newRig(t)
		k := runKey("j", 1)
		starts, stops := 0, 0
		r.worker.setAnswer(func(call string) answerTo {
			switch call {
			case "start":
				if starts++; starts == 1 {
					r.node.markStopping(k)
					return first
				}
			case "stop":
				if stops++; stops == 1 {
					return notSent
				}
			}
			return answered
		})
		r.order(r.node, k)
		r.eventually("the start is settled", func() bool {
			r.look(r.node)
			return !r.node.holds(k)
		})
		r.worker.carryOutLate()
		require.False(t, r.worker.has(k), "the start was carried out after the cancelling")
		require.Equal(t, 1, starts)
	}
}

func (n *Node) markStopping(key job.RunKey) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.runs[key].stopping = true
}

// Guards against a start that is sent long after its order, when its job may
// have been cancelled by a leader that this agent does not hear.
func TestOldOrdersAreNotStarted(t *testing.T) {
	r := newRig(t)
	k := runKey("j", 1)
	began, last := r.clock.Now(), time.Duration(0)
	stopped := make(chan struct{}, 100)
	r.worker.setAnswer(func(call string) answerTo {
		switch call {
		case "start":
			last = r.clock.Now().Sub(began)
			r.clock.Advance(500 * time.Millisecond) // until the call is given up
			return late
		case "stop":
			stopped <- struct{}{}
		}
		return answered
	})
	r.order(r.node, k)
	<-stopped
	r.eventually("the start is settled", func() bool {
		r.look(r.node)
		return !r.node.holds(k)
	})
	r.worker.carryOutLate()
	require.False(t, r.worker.has(k), "an old order was carried out")
	require.LessOrEqual(t, last, startWindow)
}

// Guards against a leader that goes on ordering runs at a worker which does not
// answer, because nobody told it so.
func TestSilentWorkerIsReported(t *testing.T) {
	r := newRig(t)
	require.True(t, full(r.node).Worker.Present)
	r.worker.setAnswer(always(notSent))
	r.clock.Advance(testWorkerLease)
	r.look(r.node)
	report := message.Report{}
	r.node.fill(&report, 0)
	require.NotNil(t, report.Worker)
	require.False(t, report.Worker.Present)
	r.worker.setAnswer(always(answered))
	r.look(r.node)
	report = message.Report{}
	r.node.fill(&report, 0)
	require.NotNil(t, report.Worker)
	require.True(t, report.Worker.Present)
}

// Guards against a start that is given up while its run is there: the listing that
// shows no run may have been asked for before the start, and read after a freeze.
func TestOldListingSettlesNoStart(t *testing.T) {
	r := newRig(t)
	k := runKey("j", 1)
	asked := r.clock.Now()
	r.worker.setAnswer(func(call string) answerTo {
		if call == "start" {
			return unheard
		}
		return answered
	})
	r.node.admitOrders(&message.Orders{
		Inputs: []message.JobInput{{Job: "j", Input: []byte("input")}},
		Starts: []message.StartRun{{Key: k, Need: testNeed, Charge: testNeed}},
	})
	list, err := r.worker.Hold(t.Context(), platform.HoldRequest{Token: r.node.token})
	require.NoError(t, err)
	r.clock.Advance(time.Millisecond)
	settled := make(chan struct{})
	go func() {
		defer close(settled)
		r.node.settle(t.Context(), r.node.run(k))
	}()
	require.NoError(t, r.clock.BlockUntilContext(t.Context(), 1))
	r.clock.Advance(2 * holdWait)
	r.node.listed(asked, r.clock.Now(), time.Time{}, &list)
	for range 5 {
		require.NoError(t, r.clock.BlockUntilContext(t.Context(), 1))
		require.True(t, r.node.holds(k), "a listing from before the start settled it")
		r.clock.Advance(startPause)
	}
	r.eventually("a listing from after the start settles it", func() bool {
		r.look(r.node)
		return !r.node.holds(k)
	})
	<-settled
}

func (n *Node) run(key job.RunKey) *run {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.runs[key]
}
