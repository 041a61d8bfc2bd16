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
	// startPause is the pause before a start that was not taken is repeated.
	startPause = 30 * time.Millisecond
	// stopInterval is the pause before a stop whose end is not listed is repeated.
	stopInterval = 300 * time.Millisecond
	// maxDialAttempts bounds the attempts to reach a worker for a start that
	// was never sent.
	maxDialAttempts = 5
	// startWindow is how long after its order a start may be sent. A job may have
	// been cancelled meanwhile by a leader that this agent does not hear, and
	// nothing of it may start 3 s after that.
	startWindow = 1500 * time.Millisecond
)

// submit runs a call to the worker; a full queue refuses it.
func (n *Node) submit(call func(ctx context.Context)) bool {
	if err := n.calls.Submit(call); err != nil {
		n.cfg.Metrics.Add(metrics.WorkerCallsRefused, 1)
		return false
	}
	return true
}

func (n *Node) launch(r *run) {
	if !n.submit(func(ctx context.Context) { n.startRun(ctx, r) }) {
		n.refuse(r, "too many calls wait for the worker", false)
	}
}

// refuse gives a run up that is certainly not at the worker and will not be.
// sick says that the worker itself refused it.
func (n *Node) refuse(r *run, reason string, sick bool) {
	n.mu.Lock()
	if n.runs[r.order.Key] == r {
		n.drop(r.order.Key)
		n.refused = append(n.refused, message.RunRefusal{Key: r.order.Key, Reason: reason, Sick: sick})
		n.changed = true
	}
	n.mu.Unlock()
	n.cfg.Metrics.AddFor(metrics.StartsRejected, reason, 1)
	n.cfg.Log.Emit(event.RunRefused, "task", r.order.Key.Task.String(), "run", r.order.Key.Run, "reason", reason)
	n.link.kick()
}

// startRun calls the worker until it is known whether the run is there. A call
// without an answer is repeated under a higher token, which fences off the
// copy that may still be carried out.
func (n *Node) startRun(ctx context.Context, r *run) {
	dials := 0
	for ctx.Err() == nil {
		if n.outdated(r) {
			n.withdraw(ctx, r)
			return
		}
		req, end, wanted := n.startRequest(r)
		if !wanted {
			return
		}
		if req.LeaseUntilMs == 0 {
			if !n.hasUnanswered(r) {
				n.refuse(r, message.RefusedLease, false)
				return
			}
			// A copy may have been carried out; the worker's answer or the end of
			// its lease settles that.
			n.sleep(ctx, startPause)
			continue
		}
		began := n.cfg.Clock.Now()
		bounded, cancel := context.WithTimeout(ctx, n.cfg.Timing.WorkerCall)
		clockMs, err := n.cfg.Worker.Start(bounded, req)
		cancel()
		n.noteLease(end, err)
		var refusal *platform.RefusalError
		switch {
		case err == nil:
			n.started(r, clockMs, began)
			return
		case errors.As(err, &refusal) && refusal.Reason == platform.RefusedFenced:
			n.raise(req.Token)
		case errors.As(err, &refusal) && refusal.Reason == platform.RefusedOld:
			n.settle(ctx, r)
			return
		case errors.As(err, &refusal):
			n.refuse(r, string(refusal.Reason), refusal.Reason == platform.RefusedSick)
			return
		case errors.Is(err, platform.ErrUnavailable):
			if dials++; dials >= maxDialAttempts && !n.hasUnanswered(r) {
				n.refuse(r, "the worker is not reached", false)
				return
			}
			n.sleep(ctx, startPause)
		default:
			n.noAnswer(r, req.Token)
		}
	}
}

func (n *Node) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-n.cfg.Clock.After(d):
	}
}

// startRequest builds the call; wanted is false once the run is settled.
func (n *Node) startRequest(r *run) (req platform.RunRequest, end time.Time, wanted bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.runs[r.order.Key] != r || !r.confirmed.IsZero() {
		return req, end, false
	}
	req = platform.RunRequest{
		RunKey: r.order.Key, Token: n.token, Instance: n.instance, Checkpoint: r.order.Checkpoint,
		Ticket: r.order.Ticket, Input: n.inputs[r.order.Key.Task.Job], Need: r.order.Need,
		Lasts: r.order.Lasts, Profile: r.order.Profile, Franchisee: r.order.Franchisee,
	}
	req.LeaseUntilMs, end = n.leaseUntil(n.cfg.Clock.Now())
	if n.silent && end.After(n.held) {
		// A worker that does not answer gets no longer lease.
		req.LeaseUntilMs, end = 0, time.Time{}
	}
	return req, end, true
}

// outdated reports whether a start that has not succeeded yet must not be sent
// any more.
func (n *Node) outdated(r *run) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.runs[r.order.Key] == r && r.confirmed.IsZero() &&
		(r.stopping || n.cfg.Clock.Since(r.startedAt) > startWindow)
}

// withdraw makes sure that a start never succeeds, or ends its run: after a stop
// the worker refuses every copy of the start that it may still receive.
func (n *Node) withdraw(ctx context.Context, r *run) {
	if !n.hasUnanswered(r) {
		n.refuse(r, "not wanted any more", false)
		return
	}
	for ctx.Err() == nil {
		n.mu.Lock()
		settled := n.runs[r.order.Key] != r || !r.confirmed.IsZero()
		r.stopping = true
		n.mu.Unlock()
		if settled {
			return // what is confirmed is stopped like any other run
		}
		if n.stopOnce(ctx, r.order.Key) == nil {
			n.settle(ctx, r)
			return
		}
		n.sleep(ctx, startPause)
	}
}

func (n *Node) started(r *run, clockMs int64, began time.Time) {
	now := n.cfg.Clock.Now()
	n.mu.Lock()
	if r.confirmed.IsZero() {
		r.confirmed = now
	}
	n.noteClock(n.lifeMs, clockMs, now)
	stop := r.stopping
	n.mu.Unlock()
	n.cfg.Metrics.Add(metrics.RunsStarted, 1)
	n.cfg.Metrics.Observe(metrics.WorkerStart, now.Sub(began))
	n.cfg.Log.Emit(event.TaskStarted, "task", r.order.Key.Task.String(), "run", r.order.Key.Run, "elapsed_ms", now.Sub(began).Milliseconds())
	if stop {
		n.repeatStops(now)
	}
}

// raise takes a token above one that the worker refused.
func (n *Node) raise(refused int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.token == refused {
		n.token += tokenStep
	}
}

// noAnswer notes that a start may still be carried out, and fences it off.
func (n *Node) noAnswer(r *run, token int64) {
	n.mu.Lock()
	r.unanswered = n.cfg.Clock.Now()
	if n.token == token {
		n.token++
	}
	n.mu.Unlock()
	n.cfg.Metrics.Add(metrics.StartsUnanswered, 1)
	n.cfg.Log.Emit(event.StartUnanswered, "task", r.order.Key.Task.String(), "run", r.order.Key.Run)
}

func (n *Node) hasUnanswered(r *run) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !r.unanswered.IsZero()
}

// settle settles a start that the worker will not take any more, because it knows
// this run or a higher one or was told to stop it: an earlier copy was carried
// out, as the next listing shows, or never will be.
func (n *Node) settle(ctx context.Context, r *run) {
	asked := n.cfg.Clock.Now()
	for ctx.Err() == nil {
		n.mu.Lock()
		settled := n.runs[r.order.Key] != r || !r.confirmed.IsZero()
		fresh := n.askedAt.After(asked)
		n.mu.Unlock()
		if settled {
			return
		}
		if fresh {
			n.refuse(r, string(platform.RefusedOld), false)
			return
		}
		n.sleep(ctx, startPause)
	}
}

// repeatStops asks for the end of runs that are to end and are still there.
func (n *Node) repeatStops(now time.Time) {
	n.mu.Lock()
	var due []job.RunKey
	for key, r := range n.runs {
		if r.stopping && !r.confirmed.IsZero() && now.Sub(r.stopAt) >= stopInterval {
			r.stopAt = now
			due = append(due, key)
		}
	}
	n.mu.Unlock()
	for _, key := range due {
		n.submit(func(ctx context.Context) { _ = n.stopOnce(ctx, key) }) // repeated until a listing shows the end
	}
}

// stopOnce asks the worker to end a run; its end shows in a listing.
func (n *Node) stopOnce(ctx context.Context, key job.RunKey) error {
	n.mu.Lock()
	token, instance := n.token, n.instance
	n.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, n.cfg.Timing.WorkerCall)
	defer cancel()
	err := n.cfg.Worker.Stop(ctx, key, token, instance)
	var refusal *platform.RefusalError
	if errors.As(err, &refusal) && refusal.Reason == platform.RefusedFenced {
		n.raise(token)
	}
	if err != nil {
		n.cfg.Log.Emit(event.StopNotTaken, "task", key.Task.String(), "run", key.Run, "error", err)
	}
	return err
}
