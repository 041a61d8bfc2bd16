package runs

import (
	"context"
	"errors"
	"slices"
	"time"

	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/request/interference"
	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/request/placement"
)

const (
	// sampleInterval is the time in which the worker's figures change.
	sampleInterval = 450 * time.Millisecond
	// paceInterval is the pause between two decisions on paces.
	paceInterval = 200 * time.Millisecond
)

// pacing keeps the tasks that serve users within their targets by slowing down
// what fills the worker beside them. The lock of the node guards it.
type pacing struct {
	cfg       interference.PaceConfig
	pressure  *interference.Pressure
	sampledAt time.Time
	decidedAt time.Time
	// overSince is since when a serving task has been over its target.
	overSince map[job.RunKey]time.Time
}

func newPacing() pacing {
	return pacing{
		cfg: interference.DefaultPaceConfig(), pressure: interference.NewPressure(),
		overSince: map[job.RunKey]time.Time{},
	}
}

// pace decides on the paces of the filling tasks from the latest listing. The
// caller holds mu; the result is carried out without it.
func (n *Node) pace(now time.Time) []*run {
	p := &n.pacing
	if now.Sub(p.decidedAt) < paceInterval {
		return nil
	}
	serving, tasks, fills := n.paceInput(now)
	if len(serving) == 0 && len(tasks) == 0 {
		return nil
	}
	p.decidedAt = now
	if now.Sub(p.sampledAt) >= sampleInterval {
		p.sampledAt = now
		use := fillings(tasks)
		for _, s := range serving {
			p.pressure.Observe(now, s.Serving, use)
		}
	}
	var changed []*run
	paces := p.pressure.Paces(p.cfg, now, serving, tasks)
	for i, pace := range paces {
		r := fills[i]
		if pace != r.state.PacePct || !r.paceKnown {
			r.wantedPace = pace
			if !r.pacing {
				r.pacing = true
				changed = append(changed, r)
			}
		}
	}
	return changed
}

// paceInput collects the serving tasks that are at work and the filling tasks
// that are there, in a stable order. The caller holds mu.
func (n *Node) paceInput(now time.Time) ([]interference.ServedTask, []interference.PacedTask, []*run) {
	node := placement.Node{Capacity: n.worker.Capacity}
	capacity := float64(max(node.Capacity.MilliCPU, 1))
	var fills []*run
	var serving []interference.ServedTask
	for key, r := range n.runs {
		switch {
		case r.order.Fills && !r.confirmed.IsZero():
			fills = append(fills, r)
			node.FillMilliCPU += r.order.Need.MilliCPU
		case r.order.TargetMs > 0 && r.state.ProgressPct == fullPace && r.state.TailMs > 0:
			serving = append(serving, n.served(now, key, r))
		}
		node.Used = node.Used.Add(r.order.Charge)
		if r.order.TargetMs > 0 {
			node.ServingMilliCPU += r.order.Need.MilliCPU
		}
	}
	slices.SortFunc(fills, func(a, b *run) int { return compareKeys(a.order.Key, b.order.Key) })
	slices.SortFunc(serving, func(a, b interference.ServedTask) int { return compareText(a.Key, b.Key) })
	tasks := make([]interference.PacedTask, len(fills))
	for i, r := range fills {
		tasks[i] = interference.PacedTask{
			Image: r.order.Image, Share: float64(r.state.MilliCPU) / capacity,
			FullShare: node.FillShare(r.order.Need.MilliCPU), Pace: r.state.PacePct,
		}
	}
	return serving, tasks, fills
}

func (n *Node) served(now time.Time, key job.RunKey, r *run) interference.ServedTask {
	s := interference.ServedTask{Serving: interference.Serving{
		Key: key.Task.String(), Image: r.order.Image, TailMs: int64(r.state.TailMs), TargetMs: r.order.TargetMs,
	}}
	if s.TailMs <= s.TargetMs {
		delete(n.pacing.overSince, key)
		return s
	}
	since, ok := n.pacing.overSince[key]
	if !ok {
		n.pacing.overSince[key] = now
		since = now
		n.cfg.Log.Emit(event.ServingOverTarget, "task", s.Key, "run", key.Run, "tail_ms", s.TailMs, "target_ms", s.TargetMs)
	}
	s.Over = now.Sub(since)
	return s
}

func compareKeys(a, b job.RunKey) int { return compareText(a.Task.String(), b.Task.String()) }

func compareText(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// fillings sums the use of the filling tasks by image.
func fillings(tasks []interference.PacedTask) []interference.Filling {
	list := make([]interference.Filling, len(tasks))
	for i, t := range tasks {
		list[i] = interference.Filling{Image: t.Image, Share: t.Share}
	}
	return interference.SumByImage(list)
}

// carryOutPace brings a run to its wanted pace on the pool of calls.
func (n *Node) carryOutPace(r *run) {
	if !n.submit(func(ctx context.Context) { n.setPace(ctx, r) }) {
		n.mu.Lock()
		r.pacing = false
		n.mu.Unlock()
	}
}

// setPace brings one run to the pace that is wanted of it.
func (n *Node) setPace(ctx context.Context, r *run) {
	key := r.order.Key
	for ctx.Err() == nil {
		n.mu.Lock()
		wanted, token, instance := r.wantedPace, n.token, n.instance
		if n.runs[key] != r || (r.paceKnown && r.state.PacePct == wanted) {
			r.pacing = false
			n.mu.Unlock()
			return
		}
		n.mu.Unlock()
		bounded, cancel := context.WithTimeout(ctx, n.cfg.Timing.WorkerCall)
		err := n.cfg.Worker.Throttle(bounded, key, wanted, token, instance)
		cancel()
		var refusal *platform.RefusalError
		switch {
		case err == nil:
			n.mu.Lock()
			r.state.PacePct, r.paceKnown = wanted, true
			n.mu.Unlock()
			n.cfg.Log.Emit(event.RunPaced, "task", key.Task.String(), "run", key.Run, "percent", wanted)
		case errors.As(err, &refusal) && refusal.Reason == platform.RefusedFenced:
			n.raise(token)
		case errors.As(err, &refusal):
			n.mu.Lock()
			r.pacing = false
			n.mu.Unlock()
			return // the run has ended, as a listing will show
		case errors.Is(err, platform.ErrUnavailable):
			n.sleep(ctx, startPause)
		default:
			// The call may be carried out late; a higher token fences it off.
			n.mu.Lock()
			r.paceKnown = false
			if n.token == token {
				n.token++
			}
			n.mu.Unlock()
		}
	}
}
