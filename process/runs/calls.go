package runs

import (
	"context"
	"errors"
	"time"

	"github.com/zeebo/errs"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/process/metrics"
	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/request/job"
)

const (
	// startRetryDelay is the pause before a start, a stop that cancels it, or a pace change is
	// sent again, and between two checks whether a start is resolved.
	startRetryDelay   = 30 * time.Millisecond
	stopRetryInterval = 300 * time.Millisecond // until a stop is sent again if the end is not listed
	maxDialAttempts   = 5                      // of a start that the worker cannot have received yet
	// maxStartAge is how long after its admission a start may be sent, so that an order of a leader
	// which has been replaced, or evacuated the failure domain since, does not wait for the worker. The
	// bound after a cancellation is run.startBy.
	maxStartAge = 1500 * time.Millisecond
)

// submitCall queues a call to the worker and reports whether the queue had space.
func (n *Node) submitCall(call func(ctx context.Context)) bool {
	if err := n.calls.Submit(call); err != nil {
		n.cfg.Metrics.Add(metrics.WorkerCallsRefused, 1)
		return false
	}
	return true
}

func (n *Node) submitStart(r *run) {
	if !n.submitCall(func(ctx context.Context) { n.startRun(ctx, r) }) {
		n.refuse(r, "too many calls wait for the worker", false)
	}
}

// refuse removes a run that is known neither to exist at the worker nor to start there later,
// and reports that. unhealthy: the worker refused it because it is unhealthy.
func (n *Node) refuse(r *run, reason string, unhealthy bool) {
	n.mu.Lock()
	unanswered := !r.noResponseAt.IsZero()
	if n.runs[r.order.Key] == r {
		n.removeRun(r.order.Key)
		n.givenUp.add(n.cfg.Clock.Now(), r.order.Key, "refused: "+reason)
		n.refused = append(n.refused, message.RunRefusal{Key: r.order.Key, Reason: reason, Unhealthy: unhealthy})
		n.unreportedChange = true
	}
	n.mu.Unlock()
	n.cfg.Metrics.AddFor(metrics.StartsRejected, reason, 1)
	n.cfg.Log.Emit(event.RunRefused, "task", r.order.Key.Task.String(), "run", r.order.Key.Run, "reason", reason, "unanswered", unanswered)
	n.leader.triggerReport()
}

// startRun sends the start until it is known whether the run exists at the worker.
// A call without a response is sent again with a higher token, so that the worker
// refuses the earlier copy if it has not executed it yet.
func (n *Node) startRun(ctx context.Context, r *run) {
	dials := 0
	for ctx.Err() == nil {
		if n.startObsolete(r) {
			n.cancelStart(ctx, r)
			return
		}
		req, lease, needed := n.startRequest(r)
		if !needed {
			return
		}
		if lease == nil {
			if !n.mayHaveStarted(r) {
				n.refuse(r, message.RefusedLease, false)
				return
			}
			// A copy may have been executed; a listing or the end of the lease resolves that.
			n.sleep(ctx, startRetryDelay)
			continue
		}
		began := n.cfg.Clock.Now()
		bounded, cancel := context.WithTimeout(ctx, n.cfg.Timing.WorkerCallTimeout)
		clockMs, err := n.cfg.Worker.Start(bounded, req)
		cancel()
		if behind := lease.clockBehind(clockMs); behind > 0 {
			n.cfg.Log.Emit(event.StartAnsweredByAnotherInstance, "worker", req.Instance, "task", r.order.Key.Task.String(),
				"run", r.order.Key.Run, "behind_ms", behind.Milliseconds())
			err = errAnotherInstance
		}
		n.finishStart(r, lease, req.Token, err)
		var refusal *platform.RefusalError
		switch {
		case err == nil:
			n.confirmStart(r, began)
			return
		case errors.As(err, &refusal) && refusal.Reason == platform.RefusedFenced:
			n.raiseToken(req.Token)
		case errors.As(err, &refusal):
			n.startRefused(ctx, r, refusal.Reason)
			return
		case errors.Is(err, platform.ErrUnavailable):
			if dials++; dials >= maxDialAttempts && !n.mayHaveStarted(r) {
				n.refuse(r, "the worker is not reached", false)
				return
			}
			n.sleep(ctx, startRetryDelay)
		default:
			n.cfg.Metrics.Add(metrics.StartsUnanswered, 1)
			n.cfg.Log.Emit(event.StartUnanswered, "task", r.order.Key.Task.String(), "run", r.order.Key.Run)
		}
	}
}

func (n *Node) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-n.cfg.Clock.After(d):
	}
}

// startRequest builds a start request; needed is false once the run is confirmed or removed.
// lease is nil if the run may get no lease; the start must then not be sent.
func (n *Node) startRequest(r *run) (req platform.RunRequest, lease *leaseRequest, needed bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.runs[r.order.Key] != r || !r.confirmedAt.IsZero() {
		return req, nil, false
	}
	req = platform.RunRequest{
		RunKey: r.order.Key, Instance: n.instance, Checkpoint: r.order.Checkpoint,
		Ticket: r.order.Ticket, Input: n.inputs[r.order.Key.Task.Job], Need: r.order.Need,
		LongRunning: r.order.LongRunning, Profile: r.order.Profile, Franchisee: r.order.Franchisee,
	}
	now := n.cfg.Clock.Now()
	untilMs, leaseEnd := n.leaseUntil(now)
	if untilMs == 0 || n.unresponsive {
		return req, nil, true // an unresponsive worker may have restarted, with another clock
	}
	req.LeaseUntilMs = untilMs
	if r.startInFlight = true; r.startSentAt.IsZero() {
		r.startSentAt = now
	}
	lease = n.requestLease(now, leaseEnd)
	req.Token = n.token
	return req, lease, true
}

// startRefused handles a refusal that repeating the start would not change. An earlier copy that
// had no response may have been executed, or may still be: an unhealthy worker has not recorded
// the higher token of the copy that it refuses.
func (n *Node) startRefused(ctx context.Context, r *run, reason platform.Refusal) {
	unhealthy := reason == platform.RefusedUnhealthy
	if reason == platform.RefusedOldRun || n.mayHaveStarted(r) {
		n.resolveStart(ctx, r, string(reason), unhealthy)
		return
	}
	n.refuse(r, string(reason), unhealthy)
}

// errAnotherInstance means that a worker instance has answered a start which was made for an
// earlier one. It resolves nothing: only a listing shows which runs that instance has.
var errAnotherInstance = errs.New("another worker instance has responded")

// finishStart records the return of a start. If it had no response, finishStart raises the
// token, so that the worker refuses the start if it has not executed it before the next call
// arrives.
func (n *Node) finishStart(r *run, lease *leaseRequest, token int64, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lease.finish(lease, !errors.Is(err, platform.ErrUnavailable))
	r.startInFlight = false
	if !outcomeUnknown(err) {
		return
	}
	now := n.cfg.Clock.Now()
	r.noResponseAt = now
	n.lease.extendUnlisted(now.Add(platform.LateCallWindow + n.cfg.Timing.longestLease()))
	if n.token == token {
		n.token++
	}
	if errors.Is(err, errAnotherInstance) {
		n.suspectRestart()
	}
}

// startObsolete reports whether the start of an unconfirmed run must no longer be sent: it is to
// stop, its order is too old, the job may have been cancelled too long ago, or another worker instance
// has taken the place of the one by whose capacity it was admitted.
func (n *Node) startObsolete(r *run) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.cfg.Clock.Now()
	return n.runs[r.order.Key] == r && r.confirmedAt.IsZero() &&
		(r.stopping || r.instanceStartMs != n.instanceStartMs || now.Sub(r.startedAt) > maxStartAge || startTooLate(now, r.startBy))
}

// cancelStart ensures that an unconfirmed run never starts or is stopped: after a stop, the
// worker refuses every copy of the start that arrives later.
func (n *Node) cancelStart(ctx context.Context, r *run) {
	if !n.mayHaveStarted(r) {
		n.refuse(r, "not wanted any more", false)
		return
	}
	for ctx.Err() == nil {
		n.mu.Lock()
		resolved := n.runs[r.order.Key] != r || !r.confirmedAt.IsZero()
		r.stopping = true
		n.mu.Unlock()
		if resolved {
			return // sendStops stops a confirmed run
		}
		if n.sendStop(ctx, r.order.Key) == nil {
			n.resolveStart(ctx, r, string(platform.RefusedOldRun), false)
			return
		}
		n.sleep(ctx, startRetryDelay)
	}
}

// confirmStart records that the worker accepted a start.
func (n *Node) confirmStart(r *run, began time.Time) {
	now := n.cfg.Clock.Now()
	n.mu.Lock()
	if r.confirmedAt.IsZero() {
		r.confirmedAt = now
	}
	stop := r.stopping
	n.mu.Unlock()
	n.cfg.Metrics.Add(metrics.RunsStarted, 1)
	n.cfg.Metrics.Observe(metrics.WorkerStart, now.Sub(began))
	n.cfg.Log.Emit(event.TaskStarted, "task", r.order.Key.Task.String(), "run", r.order.Key.Run, "elapsed_ms", now.Sub(began).Milliseconds())
	if stop {
		n.sendStops(now)
	}
}

// raiseToken raises the token above a refused one, unless another call has done so.
func (n *Node) raiseToken(refused int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.token == refused {
		n.token += tokenStep
	}
}

// mayHaveStarted reports whether a start had no response: the worker may have executed it.
func (n *Node) mayHaveStarted(r *run) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !r.noResponseAt.IsZero()
}

// resolveStart waits until it is known whether a run exists whose start the worker has refused
// or will refuse. The next listing shows the run if a copy of the start was executed; else the
// run is refused with reason and unhealthy, see refuse. The poll of that listing carries a
// higher token than every copy without a response, so the worker executes none afterwards. A
// listing that was requested before this call may predate the start and does not count.
func (n *Node) resolveStart(ctx context.Context, r *run, reason string, unhealthy bool) {
	began := n.cfg.Clock.Now()
	for ctx.Err() == nil {
		n.mu.Lock()
		resolved := n.runs[r.order.Key] != r || !r.confirmedAt.IsZero()
		fresh := n.polledAt.After(began)
		n.mu.Unlock()
		if resolved {
			return
		}
		if fresh {
			n.refuse(r, reason, unhealthy)
			return
		}
		n.sleep(ctx, startRetryDelay)
	}
}

// sendStops submits a stop for each confirmed run that is to end, every stopRetryInterval until
// a listing shows the end.
func (n *Node) sendStops(now time.Time) {
	n.mu.Lock()
	var due []job.RunKey
	for key, r := range n.runs {
		if r.stopping && !r.confirmedAt.IsZero() && now.Sub(r.stopSentAt) >= stopRetryInterval {
			r.stopSentAt = now
			due = append(due, key)
		}
	}
	n.mu.Unlock()
	for _, key := range due {
		n.submitCall(func(ctx context.Context) { _ = n.sendStop(ctx, key) }) // sent again after stopRetryInterval
	}
}

// sendStop sends one stop to the worker; a later listing shows the end of the run.
func (n *Node) sendStop(ctx context.Context, key job.RunKey) error {
	n.mu.Lock()
	token, instance := n.token, n.instance
	n.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, n.cfg.Timing.WorkerCallTimeout)
	defer cancel()
	err := n.cfg.Worker.Stop(ctx, key, token, instance)
	var refusal *platform.RefusalError
	if errors.As(err, &refusal) && refusal.Reason == platform.RefusedFenced {
		n.raiseToken(token)
	}
	if err != nil {
		n.cfg.Log.Emit(event.StopNotAccepted, "task", key.Task.String(), "run", key.Run, "error", err)
	}
	return err
}
