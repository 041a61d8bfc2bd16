package runs

import (
	"context"
	"errors"
	"time"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/process/metrics"
	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/request/job"
)

const (
	// maxPollWait is how long the worker may wait for an end before it responds to a
	// poll; it bounds the age of the agent's listing.
	maxPollWait = 500 * time.Millisecond
	// minPollInterval is the minimum time between the starts of two polls.
	minPollInterval = 15 * time.Millisecond
	pollRetryDelay  = 100 * time.Millisecond // instead of minPollInterval after a failed poll
	// leaseClockFactor shortens the lease that is requested from the worker, whose
	// clock may be 2% slow.
	leaseClockFactor = 0.97
)

// pollLoop polls the worker, which lists its runs and renews its lease, until ctx ends.
func (n *Node) pollLoop(ctx context.Context) {
	for ctx.Err() == nil {
		began := n.cfg.Clock.Now()
		pause := minPollInterval
		if !n.poll(ctx, began) {
			pause = pollRetryDelay
		}
		if rest := pause - n.cfg.Clock.Since(began); rest > 0 {
			select {
			case <-ctx.Done():
			case <-n.cfg.Clock.After(rest):
			}
		}
	}
}

// poll polls the worker once and reports whether it returned a listing.
func (n *Node) poll(ctx context.Context, sent time.Time) bool {
	req, lease := n.holdRequest(sent)
	bounded, cancel := context.WithTimeout(ctx, req.Wait+n.cfg.Timing.WorkerCallTimeout)
	defer cancel()
	n.setPollCancel(cancel)
	list, err := n.cfg.Worker.Hold(bounded, req)
	now := n.cfg.Clock.Now()
	n.finishLease(lease, err)
	if err != nil {
		n.pollFailed(now, err)
		return false
	}
	n.applyListing(sent, now, req.Recorded, &list)
	return true
}

// holdRequest builds the poll request with the longest allowed lease. A worker that did not
// respond to the previous poll gets no extension, so that its runs end within a known time.
func (n *Node) holdRequest(now time.Time) (req platform.HoldRequest, lease *leaseRequest) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var leaseEnd time.Time
	req = platform.HoldRequest{Wait: maxPollWait, Instance: n.instance}
	if !n.unresponsive {
		req.LeaseUntilMs, leaseEnd = n.leaseUntil(now)
		// An instance that has restarted under the same ID numbers its ends from 1 again and would
		// discard those up to this number, which nobody has recorded. So each number is sent only
		// until a poll with it has a response, and while no start is on its way to that instance.
		if n.lastRecorded > n.discarded && !n.hasUnconfirmedRun() {
			req.Recorded = n.lastRecorded
		}
	}
	if n.listedAt.IsZero() {
		req.Wait, req.Instance = 0, "" // the first listing shows the runs to take over
	}
	lease = n.requestLease(now, leaseEnd)
	req.Token, n.pollToken = n.token, n.token
	if req.Recorded > 0 {
		n.token++ // an instance that executes a start sent from now on refuses this poll afterwards
	}
	return req, lease
}

// hasUnconfirmedRun reports whether a start may be on its way. The caller holds mu.
func (n *Node) hasUnconfirmedRun() bool {
	for _, r := range n.runs {
		if r.confirmedAt.IsZero() {
			return true
		}
	}
	return false
}

// leaseUntil returns the end of the lease to request, by the worker's clock in ms and by the
// agent's; both zero: no extension, because the leader's grant is over, or because the instance
// that the call reaches or its clock is unknown. The caller holds mu.
func (n *Node) leaseUntil(now time.Time) (untilMs int64, end time.Time) {
	end = now.Add(n.cfg.Timing.WorkerLease)
	if n.grantEnd.Before(end) {
		end = n.grantEnd
	}
	if n.clock.readAt.IsZero() || !n.isAnnounced() || !end.After(now) {
		return 0, time.Time{}
	}
	left := end.Sub(n.clock.readAt)
	return n.clock.valueMs + int64(float64(left.Milliseconds())*leaseClockFactor), end
}

// requestLease records a call that is about to be sent with n.token; end is that of the lease
// that it requests, zero for none. If the call renews an expired lease, the token is raised: a
// start from before the expiry that is still on its way must not be executed under the new
// lease, as its task may have been started elsewhere. The caller holds mu.
func (n *Node) requestLease(now, end time.Time) *leaseRequest {
	q, expired := n.lease.request(now, end, n.clock)
	if expired && !end.IsZero() {
		n.token++
	}
	return q
}

// finishLease records the return of a poll.
func (n *Node) finishLease(q *leaseRequest, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lease.finish(q, !errors.Is(err, platform.ErrUnavailable))
	if !q.end.IsZero() && outcomeUnknown(err) {
		n.lease.extendUnlisted(n.cfg.Clock.Now().Add(platform.LateCallWindow + n.cfg.Timing.longestLease()))
	}
}

// outcomeUnknown reports whether a call failed in a way that leaves open whether the instance that it
// was made for has executed it or will.
func outcomeUnknown(err error) bool {
	var refusal *platform.RefusalError
	return err != nil && !errors.As(err, &refusal) && !errors.Is(err, platform.ErrUnavailable)
}

// pollFailed records a failed poll; any refusal is a response. If the worker may execute the poll
// late, the token is raised so that it refuses it: a poll extends the lease and discards ends.
// Unless the token or the instance was refused, a worker without a listing for half of
// WorkerLease is reported as unreachable.
func (n *Node) pollFailed(now time.Time, err error) {
	var refusal *platform.RefusalError
	n.mu.Lock()
	defer n.mu.Unlock()
	n.unresponsive = !errors.As(err, &refusal)
	if n.unresponsive && !errors.Is(err, platform.ErrUnavailable) && n.token == n.pollToken {
		n.token++
	}
	switch {
	case errors.As(err, &refusal) && refusal.Reason == platform.RefusedFenced:
		n.token += tokenStep
	case errors.As(err, &refusal) && refusal.Reason == platform.RefusedInstance:
		// Another worker instance responded; the next poll accepts any. It extends nothing: by
		// the clock of a younger instance, the lease would last as long as that one allows.
		n.instance, n.clock = "", workerClock{}
	case n.worker.Reachable && now.Sub(n.listedAt) > n.cfg.Timing.WorkerLease/2:
		n.worker.Reachable, n.unreportedChange = false, true
		n.cfg.Log.Emit(event.WorkerUnreachable, "worker", n.worker.ID, "silent_ms", now.Sub(n.listedAt).Milliseconds(), "error", err)
	}
}

// applyListing applies a listing to the table of runs. sent is when the poll was sent, recorded its
// HoldRequest.Recorded.
func (n *Node) applyListing(sent, now time.Time, recorded uint64, list *platform.Listing) {
	n.mu.Lock()
	n.unresponsive = false
	if list.StartedMs == n.instanceStartMs {
		n.discarded = max(n.discarded, recorded)
	}
	n.applySelfDescription(list)
	n.usageAge = time.Duration(list.UsageAgeMs) * time.Millisecond
	expired := n.applyInstance(now, list)
	if !n.worker.Reachable && n.isAnnounced() {
		n.worker.Reachable, n.unreportedChange = true, true
		n.cfg.Log.Emit(event.WorkerReachable, "worker", n.worker.ID, "silent_ms", elapsedMs(now, n.listedAt))
	}
	first := n.listedAt.IsZero()
	n.listedAt = now
	if !list.MoreEnded {
		n.polledAt = sent
	}
	listed := make(map[job.RunKey]bool, len(list.Running)+len(list.Ended))
	unknown := false
	for i := range list.Running {
		listed[list.Running[i].RunKey] = true
		unknown = n.applyRunning(now, &list.Running[i]) || unknown
	}
	lapsed := lastLapsed(list.Ended)
	n.voidEndsBefore(lapsed)
	for i := range list.Ended {
		e := &list.Ended[i]
		listed[e.RunKey] = true
		n.applyEnded(now, list.StartedMs, e, expired, e.Number < lapsed)
	}
	if !sent.Before(n.lease.lapsedAt) {
		n.lease.lapsedAt = time.Time{}
	}
	for key, r := range n.runs {
		if !list.MoreEnded && !listed[key] && !r.startInFlight && !r.confirmedAt.IsZero() && r.confirmedAt.Before(sent) {
			// A run that was confirmed before the poll and is neither running nor
			// among the ends has ended with an earlier worker instance. This one may
			// still execute a copy of its start that is in flight.
			n.conclude(now, r, "not listed", "")
		}
	}
	changed := n.unreportedChange
	repaced := n.choosePaces(now)
	n.mu.Unlock()
	for _, r := range repaced {
		n.submitPace(r)
	}
	if unknown && !first {
		n.leader.renewSession("the worker lists a run that was not ordered in this session")
	}
	if changed || first {
		n.leader.triggerReport()
	}
}

// applySelfDescription applies the worker's description of itself in a listing; a worker that
// announces itself instead has no ID there. The caller holds mu.
func (n *Node) applySelfDescription(list *platform.Listing) {
	if list.Worker == "" {
		return
	}
	n.unreportedChange = n.unreportedChange || n.worker.ID != list.Worker || n.worker.StartedMs != list.StartedMs || n.worker.Capacity != list.Capacity
	n.worker.ID, n.worker.StartedMs, n.worker.Capacity = list.Worker, list.StartedMs, list.Capacity
	n.cfg.Ledger.Open(list.Capacity, nil)
}

func elapsedMs(now, at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return now.Sub(at).Milliseconds()
}

// applyRunning applies a listed run to the table and reports whether it was not there yet. The
// caller holds mu.
func (n *Node) applyRunning(now time.Time, t *platform.RunningTask) (unknown bool) {
	r := n.runs[t.RunKey]
	if r == nil {
		r = &run{order: message.StartRun{Key: t.RunKey}, startedAt: now}
		r.state.PacePct = fullPace
		n.runs[t.RunKey] = r
		unknown = true
		if g, ok := n.givenUp[t.RunKey]; ok {
			delete(n.givenUp, t.RunKey)
			n.cfg.Metrics.Add(metrics.RunsReappeared, 1)
			n.cfg.Log.Emit(event.RunReappeared, "task", t.Task.String(), "run", t.Run, "cause", g.cause, "age_ms", now.Sub(g.at).Milliseconds())
		}
	}
	if r.confirmedAt.IsZero() {
		r.confirmedAt = now
	}
	r.state.Key = t.RunKey
	if t.Checkpoint != "" {
		r.state.Checkpoint = t.Checkpoint
	}
	r.state.ProgressPct, r.state.MilliCPU, r.state.TailMs = t.ProgressPct, int(t.MilliCPU), int(t.TailMs)
	r.usage = t.Usage
	return unknown
}

const (
	fullPace = 100 // of a run that is not throttled, in percent
	// earlyFailureAge is the age below which a failed run is reported as an early
	// failure, of which the worker may be the cause.
	earlyFailureAge = time.Second
)

// conclude removes a run that the worker will no longer list and adds an end for it, with its
// last known checkpoint. cause is for the log. The caller holds mu.
func (n *Node) conclude(now time.Time, r *run, cause, text string) {
	n.ends = append(n.ends, &pendingEnd{
		RunEnd:          message.RunEnd{Key: r.order.Key, How: job.EndLeaseExpired, Checkpoint: r.state.Checkpoint, Message: text},
		instanceStartMs: n.instanceStartMs,
	})
	n.removeRun(r.order.Key)
	n.givenUp.add(now, r.order.Key, cause)
	n.unreportedChange = true
	n.cfg.Log.Emit(event.TaskRunEnded, "task", r.order.Key.Task.String(), "run", r.order.Key.Run,
		"state", job.EndLeaseExpired.String(), "cause", "concluded: "+cause, "lease_ms", -elapsedMs(now, n.lease.end()),
		"silent_ms", elapsedMs(now, n.listedAt), "age_ms", elapsedMs(now, r.startedAt), "pending_calls", len(n.lease.inFlight))
}

// removeRun removes a run and releases its capacity in the ledger. The caller holds mu.
func (n *Node) removeRun(key job.RunKey) {
	delete(n.runs, key)
	n.cfg.Ledger.Release(key.Task.String(), key.Run)
}

// concludeExpired concludes the runs of a worker whose lease expired, plus a margin of 5% of
// WorkerLease, and which has returned no listing for half of WorkerLease. A run stays as long as
// an instance that has not been listed may execute its start or hold a lease for it, or the listed
// one may still execute a call that was made for an earlier one.
func (n *Node) concludeExpired(now time.Time) {
	n.mu.Lock()
	ended, leaseEnd := 0, n.lease.end()
	if !leaseEnd.IsZero() && now.After(leaseEnd.Add(n.cfg.Timing.WorkerLease/20)) && now.Sub(n.listedAt) > n.cfg.Timing.WorkerLease/2 {
		for _, r := range n.runs {
			if r.startInFlight || (!n.fenced || n.mayRunAtUnlistedInstance(r)) && n.lease.unlistedMayHoldLease(now) {
				continue
			}
			n.conclude(now, r, "lease expired", "the worker did not answer until its lease was over")
			ended++
		}
	}
	n.mu.Unlock()
	if ended > 0 {
		n.cfg.Log.Emit(event.TasksStoppedForLease, "tasks", ended)
		n.leader.triggerReport()
	}
}

// mayRunAtUnlistedInstance reports whether an instance that has not been listed may have the run: a copy of
// its start had no response and could still be executed after the latest listing. The caller holds
// mu.
func (n *Node) mayRunAtUnlistedInstance(r *run) bool {
	return !r.noResponseAt.IsZero() && n.listedAt.Before(r.noResponseAt.Add(platform.LateCallWindow))
}
