package runs

import (
	"context"
	"errors"
	"time"

	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/request/job"
)

// pausedPace is the pace of a paused filling task, in percent.
const pausedPace = 0

// choosePaces chooses the pace of the filling tasks by the latest listing: all pause while
// Guard requires it for a serving task, else they work at full pace. The caller holds mu and,
// after its release, calls submitPace for the returned runs.
func (n *Node) choosePaces(now time.Time) []*run {
	pace := fullPace
	for key, r := range n.runs {
		if r.order.TargetMs > 0 && r.state.ProgressPct == fullPace && r.state.TailMs > 0 &&
			n.cfg.Guard.Pauses(n.overTargetFor(now, key, r)) {
			pace = pausedPace
		}
	}
	var changed []*run
	for _, r := range n.runs {
		if !r.order.Fills || r.confirmedAt.IsZero() || r.paceKnown && r.state.PacePct == pace {
			continue
		}
		r.requestedPace = pace
		if !r.pacing {
			r.pacing = true
			changed = append(changed, r)
		}
	}
	return changed
}

// overTargetFor returns how long a serving task may have been over its target: since the latest
// listing that showed it within, or else since the first one. The caller holds mu.
func (n *Node) overTargetFor(now time.Time, key job.RunKey, r *run) time.Duration {
	if int64(r.state.TailMs) <= r.order.TargetMs {
		r.withinTargetAt, r.overTarget = now, false
		return 0
	}
	if r.withinTargetAt.IsZero() {
		r.withinTargetAt = now
	}
	if !r.overTarget {
		r.overTarget = true
		n.cfg.Log.Emit(event.ServingOverTarget, "task", key.Task.String(), "run", key.Run,
			"tail_ms", r.state.TailMs, "target_ms", r.order.TargetMs)
	}
	return now.Sub(r.withinTargetAt)
}

// submitPace queues the change of a run to its requested pace. The caller has set r.pacing; a
// full queue resets it, and the next listing or Throttle tries again.
func (n *Node) submitPace(r *run) {
	if !n.submitCall(func(ctx context.Context) { n.setPace(ctx, r) }) {
		n.mu.Lock()
		r.pacing = false
		n.mu.Unlock()
	}
}

// setPace brings a run to its requested pace, unless it has ended, and resets r.pacing.
func (n *Node) setPace(ctx context.Context, r *run) {
	key := r.order.Key
	for ctx.Err() == nil {
		n.mu.Lock()
		pace, token, instance := r.requestedPace, n.token, n.instance
		if n.runs[key] != r || (r.paceKnown && r.state.PacePct == pace) {
			r.pacing = false
			n.mu.Unlock()
			return
		}
		n.mu.Unlock()
		bounded, cancel := context.WithTimeout(ctx, n.cfg.Timing.WorkerCallTimeout)
		err := n.cfg.Worker.Throttle(bounded, key, pace, token, instance)
		cancel()
		var refusal *platform.RefusalError
		switch {
		case err == nil:
			n.mu.Lock()
			r.state.PacePct, r.paceKnown = pace, true
			n.mu.Unlock()
			n.cfg.Log.Emit(event.RunPaced, "task", key.Task.String(), "run", key.Run, "percent", pace)
		case errors.As(err, &refusal) && refusal.Reason == platform.RefusedFenced:
			n.raiseToken(token)
		case errors.As(err, &refusal):
			n.mu.Lock()
			r.pacing = false
			n.mu.Unlock()
			return // the run has ended; a listing will show it
		case errors.Is(err, platform.ErrUnavailable):
			n.sleep(ctx, startRetryDelay)
		default:
			// The worker may execute the call late; with a higher token it refuses it.
			n.mu.Lock()
			r.paceKnown = false
			if n.token == token {
				n.token++
			}
			n.mu.Unlock()
		}
	}
}
