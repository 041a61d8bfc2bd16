package fleetload

import (
	"math"
	"slices"
	"time"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/request/interference"
	"camphorhead.example/camphorhead/request/job"
)

// worker is a worker with its agent, whose messages take delay.
type worker struct {
	agent    string
	capacity int64
	delay    time.Duration
	runs     []*run
	inbox    []delayedOrders
	ends     []message.RunEnd
	serial   uint64
	sequence uint64
	sampled  time.Time
	due      time.Time // of the next report
}

// delayedOrders are orders that arrive at a time.
type delayedOrders struct {
	at     time.Time
	orders message.Orders
}

// run is a run at a worker, with the work that is left of it.
type run struct {
	order  message.StartRun
	leftMs float64
	fails  bool
	tailMs int
	cpu    int64 // in use
	pace   int
	over   time.Time
}

// work executes one Step at a worker.
func (f *Fleet) work(now time.Time, w *worker) {
	for len(w.inbox) > 0 && !w.inbox[0].at.After(now) {
		for _, o := range w.inbox[0].orders.Starts {
			j := f.byID[o.Key.Task.Job]
			left := j.workMs[o.Key.Task]
			r := &run{order: o, leftMs: left, pace: fullPace}
			if !o.LongRunning && f.rand.Float64() < failureShare {
				r.fails, r.leftMs = true, left*f.rand.Float64()
			}
			w.runs = append(w.runs, r)
		}
		for _, s := range w.inbox[0].orders.Stops {
			w.runs = slices.DeleteFunc(w.runs, func(r *run) bool { return r.order.Key == s.Key })
		}
		w.inbox = w.inbox[1:]
	}
	var used, fill float64
	for _, r := range w.runs {
		switch {
		case r.order.Fills && r.pace > 0:
			fill += 0.8 * float64(r.order.Need.MilliCPU)
		case r.order.TargetMs > 0:
			used += f.servingLoad(now, r) * float64(r.order.Need.MilliCPU)
		case !r.order.Fills:
			used += float64(r.order.Need.MilliCPU)
		}
	}
	rate := min(1, max(float64(w.capacity)-used, 0)/max(fill, 1))
	pauses := false
	for _, r := range w.runs {
		if r.order.TargetMs > 0 {
			f.serve(now, w, r, rate)
			pauses = pauses || !r.over.IsZero() && f.guard.Pauses(now.Sub(r.over))
		}
	}
	w.runs = slices.DeleteFunc(w.runs, func(r *run) bool {
		speed := 1.0
		if r.order.Fills {
			if r.pace = fullPace; pauses {
				r.pace = 0
			}
			speed = rate * float64(r.pace) / fullPace
			r.cpu = int64(0.8 * float64(r.order.Need.MilliCPU) * speed)
		}
		if r.order.LongRunning {
			return false
		}
		r.leftMs -= speed * float64(Step.Milliseconds())
		if r.leftMs > 0 {
			return false
		}
		w.serial++
		e := message.RunEnd{Key: r.order.Key, How: job.EndDone, Serial: w.serial}
		if r.fails {
			e.How = job.EndFailed
		}
		w.ends = append(w.ends, e)
		w.due = now.Add(w.delay + 15*time.Millisecond)
		return true
	})
}

// servingLoad returns the utilization of a serving task by its own users.
func (f *Fleet) servingLoad(now time.Time, r *run) float64 {
	l := f.loads[r.order.Key.Task.Job]
	return l.level * (1 + l.swing*math.Sin(2*math.Pi*(float64(now.UnixMilli())/1000+l.phase)/servingPeriod))
}

// serve updates the tail latency of a serving task.
func (f *Fleet) serve(now time.Time, w *worker, r *run, rate float64) {
	load := f.servingLoad(now, r)
	pressure := 0.0
	for _, other := range w.runs {
		if other.order.Fills && other.pace > 0 {
			share := 0.8 * rate * float64(other.order.Need.MilliCPU) / float64(w.capacity)
			pressure += share * f.weights[interference.PressurePair{Serving: r.order.Image, Filling: other.order.Image}]
		}
	}
	v := min(load*(1+pressure), 0.99)
	r.tailMs = int(idleTailMs / (1 - v))
	if r.tailMs <= targetMs {
		r.over = time.Time{}
		return
	}
	if r.over.IsZero() {
		r.over = now
	}
	if pressure > 0 {
		id, window := r.order.Key.Task.Job, int(now.Sub(f.began)/windowLength)
		for len(f.windows[id]) <= window {
			f.windows[id] = append(f.windows[id], 0)
		}
		f.windows[id][window] += Step.Seconds()
	}
}

// report sends the ends of a worker, and the measurements of its tasks every half second.
func (f *Fleet) report(now time.Time, w *worker) {
	sample := now.Sub(w.sampled) >= reportInterval
	if !sample && (len(w.ends) == 0 || now.Before(w.due)) {
		return
	}
	w.sequence++
	r := message.Report{Agent: w.agent, Session: 1, Sequence: w.sequence, Ends: w.ends}
	w.ends = nil
	if sample {
		w.sampled = now
		for _, run := range w.runs {
			s := message.RunState{Key: run.order.Key, PacePct: run.pace, MilliCPU: int(run.cpu), TailMs: run.tailMs}
			if run.order.LongRunning {
				s.ProgressPct = fullPace
			}
			r.Running = append(r.Running, s)
		}
	}
	f.table.ApplyReport(now, &r)
}
