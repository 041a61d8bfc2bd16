package runs

import (
	"context"
	"errors"
	"time"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/request/job"
)

const (
	// holdWait is how long the worker may wait for an end before it lists its
	// runs; it bounds the age of what the agent knows of them.
	holdWait = 500 * time.Millisecond
	// minHoldPause is the least time between two questions to the worker.
	minHoldPause = 15 * time.Millisecond
	// failPause is the pause after a question without an answer.
	failPause = 100 * time.Millisecond
	// clockRate is the part of a lease that is asked of the worker, whose clock
	// may be 2% slow.
	clockRate = 0.97
	// lateOrders is the time within which a call without an answer may still be
	// carried out at the worker.
	lateOrders = 13 * time.Second
)

// follow asks the worker again and again what runs, and renews its lease.
func (n *Node) follow(ctx context.Context) {
	for ctx.Err() == nil {
		began := n.cfg.Clock.Now()
		pause := minHoldPause
		if !n.look(ctx, began) {
			pause = failPause
		}
		if rest := pause - n.cfg.Clock.Since(began); rest > 0 {
			select {
			case <-ctx.Done():
			case <-n.cfg.Clock.After(rest):
			}
		}
	}
}

// look asks the worker once; it reports whether the worker answered.
func (n *Node) look(ctx context.Context, sent time.Time) bool {
	req, end := n.holdRequest(sent)
	bounded, cancel := context.WithTimeout(ctx, req.Wait+n.cfg.Timing.WorkerCall)
	defer cancel()
	list, err := n.cfg.Worker.Hold(bounded, req)
	now := n.cfg.Clock.Now()
	held := n.noteLease(end, err)
	if err != nil {
		n.lookFailed(now, err)
		return false
	}
	n.listed(sent, now, held, &list)
	return true
}

// holdRequest builds the question, with the lease as far as it may reach and
// its end. A worker that did not answer the question before gets no longer lease,
// so that what runs there ends within a known time.
func (n *Node) holdRequest(now time.Time) (req platform.HoldRequest, end time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	req = platform.HoldRequest{Token: n.token, Wait: holdWait, Instance: n.instance, Recorded: n.lastRecorded}
	if !n.silent {
		req.LeaseUntilMs, end = n.leaseUntil(now)
	}
	if n.listedAt.IsZero() {
		req.Wait, req.Instance = 0, "" // the first listing shows what this process has to take over
	}
	return req, end
}

// leaseUntil returns the end of the lease to ask for, in the worker's clock and
// in ours; zero if there is none. The caller holds mu.
func (n *Node) leaseUntil(now time.Time) (untilMs int64, end time.Time) {
	end = now.Add(n.cfg.Timing.WorkerLease)
	if n.granted.Before(end) {
		end = n.granted
	}
	if n.clock.readAt.IsZero() || !end.After(now) {
		return 0, time.Time{}
	}
	left := end.Sub(n.clock.readAt)
	return n.clock.valueMs + int64(float64(left.Milliseconds())*clockRate), end
}

// noteLease notes the end of a lease that a call has, or may have, asked of the
// worker, and returns the end of the one before.
func (n *Node) noteLease(end time.Time, err error) (before time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	before = n.held
	if !errors.Is(err, platform.ErrUnavailable) && end.After(n.held) {
		n.held = end
	}
	return before
}

// noteClock takes in a reading of the worker's clock. The caller holds mu.
func (n *Node) noteClock(lifeMs, valueMs int64, at time.Time) {
	if valueMs > 0 {
		n.clock = workerClock{valueMs: valueMs, readAt: at, lifeMs: lifeMs}
	}
}

func (n *Node) lookFailed(now time.Time, err error) {
	var refusal *platform.RefusalError
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent = !errors.As(err, &refusal)
	switch {
	case errors.As(err, &refusal) && refusal.Reason == platform.RefusedFenced:
		n.token += tokenStep
	case errors.As(err, &refusal) && refusal.Reason == platform.RefusedOther:
		// Another life answers; the next question goes to whichever is there.
		n.instance = ""
	case n.worker.Present && now.Sub(n.listedAt) > n.cfg.Timing.WorkerLease/2:
		n.worker.Present, n.changed = false, true
		n.cfg.Log.Emit(event.WorkerSilent, "worker", n.worker.ID, "silent_ms", now.Sub(n.listedAt).Milliseconds(), "error", err)
	}
}

// listed takes in a listing. sent is when the worker was asked, held the end of
// the lease that it had before.
func (n *Node) listed(sent, now, held time.Time, list *platform.Listing) {
	n.mu.Lock()
	n.silent = false
	n.noteUnannounced(list)
	n.usageAge = time.Duration(list.UsageAgeMs) * time.Millisecond
	lapsed := n.noteLife(sent, now, held, list)
	if !n.worker.Present {
		n.worker.Present, n.changed = true, true
		n.cfg.Log.Emit(event.WorkerAnswers, "worker", n.worker.ID, "silent_ms", sinceOrZero(now, n.listedAt))
	}
	first := n.listedAt.IsZero()
	n.listedAt, n.askedAt = now, sent
	there := make(map[job.RunKey]bool, len(list.Running)+len(list.Ended))
	strange := false
	for i := range list.Running {
		there[list.Running[i].RunKey] = true
		strange = n.noteRunning(now, &list.Running[i]) || strange
	}
	for i := range list.Ended {
		e := &list.Ended[i]
		there[e.RunKey] = true
		n.noteEnded(now, list.BornMs, e, lapsed)
	}
	for key, r := range n.runs {
		if !there[key] && !r.confirmed.IsZero() && r.confirmed.Before(sent) {
			// It was there and is neither running nor among the ends: the
			// worker's previous life has taken it along.
			n.conclude(r, job.EndLapsed, "")
		}
	}
	changed := n.changed
	paced := n.pace(now)
	n.mu.Unlock()
	for _, r := range paced {
		n.carryOutPace(r)
	}
	if strange && !first {
		n.link.renew("a run that nobody ordered in this session")
	}
	if changed || first {
		n.link.kick()
	}
}

// noteUnannounced takes in a worker that does not announce itself but describes
// itself in its listing. The caller holds mu.
func (n *Node) noteUnannounced(list *platform.Listing) {
	if list.Worker == "" {
		return
	}
	n.changed = n.changed || n.worker.ID != list.Worker || n.worker.BornMs != list.BornMs || n.worker.Capacity != list.Capacity
	n.worker.ID, n.worker.BornMs, n.worker.Capacity = list.Worker, list.BornMs, list.Capacity
	n.cfg.Ledger.Open(list.Capacity, nil)
}

func sinceOrZero(now, at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return now.Sub(at).Milliseconds()
}

// noteLife takes in which life of the worker has answered, and its clock. It
// reports whether the lease had run out before this question renewed it. The
// caller holds mu.
func (n *Node) noteLife(sent, now, held time.Time, list *platform.Listing) (lapsed bool) {
	if n.lifeMs != list.BornMs {
		if n.lifeMs != 0 {
			n.cfg.Log.Emit(event.WorkerReborn, "worker", n.worker.ID, "tasks", len(n.runs))
		}
		n.lifeMs, n.lastRecorded, n.clock = list.BornMs, 0, workerClock{}
		n.changed = true
	} else if n.clock.lifeMs == list.BornMs && !held.IsZero() {
		lapsed = sent.After(held) && len(n.runs)+len(n.ends) > 0
	}
	if lapsed {
		n.voidEnds()
	}
	n.noteClock(list.BornMs, list.ClockMs, now)
	return lapsed
}

// voidEnds marks the ends that no leader has recorded before the lease ran out:
// a leader that waited for that may have had their tasks started elsewhere. The
// caller holds mu.
func (n *Node) voidEnds() {
	for _, e := range n.ends {
		if !e.recorded && e.lifeMs == n.lifeMs && e.How != job.EndLapsed {
			e.Void = true
		}
	}
}

// noteRunning takes in a run that the worker lists. It reports true for one
// that this process does not know. The caller holds mu.
func (n *Node) noteRunning(now time.Time, t *platform.RunningTask) (strange bool) {
	r := n.runs[t.RunKey]
	if r == nil {
		r = &run{order: message.StartRun{Key: t.RunKey}, startedAt: now}
		r.state.PacePct = fullPace
		n.runs[t.RunKey] = r
		strange = true
	}
	if r.confirmed.IsZero() {
		r.confirmed = now
	}
	r.state.Key = t.RunKey
	if t.Checkpoint != "" {
		r.state.Checkpoint = t.Checkpoint
	}
	r.state.ProgressPct, r.state.MilliCPU, r.state.TailMs = t.ProgressPct, int(t.MilliCPU), int(t.TailMs)
	r.usage = t.Usage
	return strange
}

const (
	// fullPace is the pace of a run that is not throttled, in percent.
	fullPace = 100
	// early is the age below which a failed run counts as a failed start.
	early = time.Second
)

// noteEnded takes in an end that the worker lists; one that is known already
// changes nothing. The caller holds mu.
func (n *Node) noteEnded(now time.Time, lifeMs int64, e *platform.EndedTask, lapsed bool) {
	if e.Number <= n.lastRecorded {
		return
	}
	for _, known := range n.ends {
		if known.lifeMs == lifeMs && known.number == e.Number {
			return
		}
	}
	ended := &end{
		RunEnd: message.RunEnd{
			Key: e.RunKey, How: e.How, Checkpoint: e.Checkpoint, Void: lapsed && e.How != job.EndLapsed,
			Result: e.Result, Message: e.Message,
		},
		number: e.Number, lifeMs: lifeMs,
	}
	if r := n.runs[e.RunKey]; r != nil {
		ended.Early = e.How == job.EndFailed && r.known && now.Sub(r.startedAt) < early
		if e.How == job.EndStopped {
			ended.Cause = r.cause
		}
	}
	n.ends = append(n.ends, ended)
	n.drop(e.RunKey)
	n.changed = true
	n.cfg.Log.Emit(event.TaskRunEnded, "task", e.Task.String(), "run", e.Run, "state", e.How.String(), "void", lapsed)
}

// conclude ends a run that the worker will not list any more. The caller holds mu.
func (n *Node) conclude(r *run, how job.EndKind, note string) {
	n.ends = append(n.ends, &end{
		RunEnd: message.RunEnd{Key: r.order.Key, How: how, Checkpoint: r.state.Checkpoint, Message: note},
		lifeMs: n.lifeMs,
	})
	n.drop(r.order.Key)
	n.changed = true
	n.cfg.Log.Emit(event.TaskRunEnded, "task", r.order.Key.Task.String(), "run", r.order.Key.Run,
		"state", how.String(), "cause", "concluded")
}

// drop forgets a run that is not at the worker any more. The caller holds mu.
func (n *Node) drop(key job.RunKey) {
	delete(n.runs, key)
	n.cfg.Ledger.Release(key.Task.String(), key.Run)
}

// concludeLapse ends all runs when the worker has not answered until its lease
// was over.
func (n *Node) concludeLapse(now time.Time) {
	n.mu.Lock()
	ended := 0
	if !n.held.IsZero() && now.After(n.held.Add(n.cfg.Timing.WorkerLease/20)) && now.Sub(n.listedAt) > n.cfg.Timing.WorkerLease/2 {
		for _, r := range n.runs {
			if !r.unanswered.IsZero() && now.Sub(r.unanswered) < lateOrders {
				continue // a copy of its start may still be carried out by the worker's next life
			}
			n.conclude(r, job.EndLapsed, "the worker did not answer until its lease was over")
			ended++
		}
	}
	n.mu.Unlock()
	if ended > 0 {
		n.cfg.Log.Emit(event.TasksStoppedForLease, "tasks", ended)
		n.link.kick()
	}
}
