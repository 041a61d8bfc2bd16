package agent

import (
	"math"
	"time"

	"camphorhead.example/camphorhead/process/runs"
	"camphorhead.example/camphorhead/request/estimate"
	"camphorhead.example/camphorhead/request/interference"
	"camphorhead.example/camphorhead/request/resources"
)

const (
	// pressureStepPct is the resolution of the slowdown in summaries; a finer one would
	// change it, and so send a summary, with every report.
	pressureStepPct = 20
	maxPressurePct  = 240
)

// window holds the service times of one service since its previous window.
type window struct {
	service string
	sum     time.Duration
	count   int
}

// listing is the worker's latest listing, with the conversions for the control loop.
type listing struct{ runs.Listing }

// measured reports whether the delayed measurements include the task yet.
func measured(t *runs.Task) bool { return t.Usage.MemoryMB > 0 }

// samples returns the measured use of the tasks whose profile is known.
func (l listing) samples() []estimate.Sample {
	var list []estimate.Sample
	for i := range l.Tasks {
		t := &l.Tasks[i]
		if !measured(t) || !t.Known {
			continue
		}
		list = append(list, estimate.Sample{
			Key: estimateKey(&t.Order), Use: t.Usage,
			Running: l.MeasuredAt.Sub(t.StartedAt), ThrottlePct: t.PacePct,
		})
	}
	return list
}

// input returns the fields of a decision's input that follow from the listing. Tasks
// that are unknown, being stopped or urgent are left out, but their memory counts;
// urgent ones are included when memory is about to run out.
func (l listing) input(cfg interference.Config, capacity resources.Resources, score func(profile string) float64) interference.Input {
	in := interference.Input{MeasuredAt: l.MeasuredAt, MemoryCapacityMB: capacity.MemoryMB}
	anyMeasured := false
	for i := range l.Tasks {
		in.MemoryUsedMB += memoryMB(&l.Tasks[i])
		anyMeasured = anyMeasured || measured(&l.Tasks[i])
	}
	if !anyMeasured {
		in.MemoryUsedMB = 0 // without any measurement there are only declared amounts, which do not show use
	}
	scarce := float64(in.MemoryUsedMB) >= cfg.MemoryEvict*float64(in.MemoryCapacityMB)
	for i := range l.Tasks {
		t := &l.Tasks[i]
		if t.Stopping || !t.Known || (t.Order.Urgent && !scarce) {
			continue
		}
		in.Tasks = append(in.Tasks, interference.Task{
			ID: t.Key.Task.String(), Run: t.Key.Run, Profile: t.Order.Profile, Declared: t.Order.Charge, Use: t.Usage, ThrottlePct: t.PacePct,
			Started: t.StartedAt, Score: score(t.Order.Profile), EvictionsLeft: t.Order.EvictionsLeft, Guarded: t.Order.Fills,
		})
	}
	return in
}

// memoryMB returns the measured memory of a task, or the declared one until it is measured.
func memoryMB(t *runs.Task) int64 {
	if measured(t) {
		return t.Usage.MemoryMB
	}
	return t.Order.Charge.MemoryMB
}

// pressurePct returns a slowdown in percent, rounded down to steps of pressureStepPct.
func pressurePct(ratio float64) uint8 {
	slowdown := math.Max(ratio-1, 0) * 100
	steps := math.Floor(slowdown/pressureStepPct) * pressureStepPct
	return uint8(math.Min(steps, maxPressurePct))
}
