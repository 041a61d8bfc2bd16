package schedule

import (
	"math"
	"time"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/process/metrics"
	"camphorhead.example/camphorhead/request/interference"
)

// tailSample is the latest tail latency of a serving task.
type tailSample struct {
	interference.Serving
	at        time.Time
	overSince time.Time // first of the consecutive samples over the target; zero if this one is not
}

const (
	// maxFillLoad is the load of a worker's idle processors up to which filling tasks
	// are placed, as a ratio. Tasks that share processors are all done late; tasks that
	// wait are done one after the other.
	maxFillLoad       = 1.25
	maxSampleAge      = 3 * time.Second        // older samples are ignored
	predictionHorizon = 500 * time.Millisecond // of the load of serving tasks
)

// observeTails stores the tail latencies of the serving tasks in a report and updates the
// pressure model with them. Serving tasks below full progress are left out.
func (t *Table) observeTails(now time.Time, a *agentState, rows []message.RunState) {
	sampled := false
	for i := range rows {
		sampled = sampled || rows[i].TailMs > 0 && a.runs[rows[i].Key] != nil && a.runs[rows[i].Key].task.step.def.TargetMs > 0
	}
	if !sampled {
		return
	}
	a.fillLoad = nil
	if t.cfg.Features.Forecast {
		t.observeFillUse(now, a)
	}
	capacity := float64(max(a.node.Capacity.MilliCPU, 1))
	var use []interference.Filling
	for _, run := range a.runs {
		if def := run.task.step.def; def.Fills && run.milliCPU > 0 {
			use = append(use, interference.Filling{Image: def.Image, Share: float64(run.milliCPU) / capacity})
		}
	}
	use = interference.SumByImage(use)
	for i := range rows {
		run := a.runs[rows[i].Key]
		if run == nil || run.task.step.def.TargetMs == 0 || rows[i].TailMs <= 0 || rows[i].ProgressPct < fullPacePct {
			continue
		}
		def := run.task.step.def
		r := tailSample{at: now, Serving: interference.Serving{
			Task: run.task.id().String(), Step: run.task.step.id(), Image: def.Image, TailMs: int64(rows[i].TailMs), TargetMs: def.TargetMs,
		}}
		if r.TailMs > r.TargetMs {
			if r.overSince = a.tailSamples[rows[i].Key].overSince; r.overSince.IsZero() {
				r.overSince = now
			}
		}
		a.tailSamples[rows[i].Key] = r
		t.cfg.Meter.Observe(metrics.ServingTail, time.Duration(r.TailMs)*time.Millisecond)
		t.pressure.Observe(now, r.Serving, use)
		t.modelVersion++
	}
}

const (
	// baseCostLimit, in serving tasks over their target, applies to a filling task whose
	// job is in time or already late.
	baseCostLimit = 0.03
	// missCostPerSecond is the cost of a job of filling tasks that misses its objective, in
	// seconds of one serving task over its target for each second of the job's work: a job of
	// many tasks is worth more of the interference that its tasks cause.
	missCostPerSecond = 0.35
	// tightSlackShare is the share of a job's initial slack below which the remaining
	// slack is tight: interference is then weighed against missing the objective.
	tightSlackShare = 0.6
)

// costLimit returns the interference cost that is accepted for a filling task of a step:
// baseCostLimit, and if the slack of its job is tight, in addition up to the cost of missing the
// objective, spread over the remaining work of the occurrence. A late job gets only baseCostLimit.
func (t *Table) costLimit(now time.Time, c candidate) float64 {
	j := c.step.job()
	slack := c.due.Sub(now).Seconds() - float64(c.step.criticalPathMs)/1000
	if slack < 0 {
		return baseCostLimit
	}
	full := c.due.Sub(j.addedAt).Seconds() - float64(j.criticalPathMs)/1000
	urgency := 1 - slack/math.Max(tightSlackShare*full, 0.001)
	if urgency <= 0 {
		return baseCostLimit
	}
	total, left := c.step.occurrence.workSeconds()
	return baseCostLimit + urgency*missCostPerSecond*total/math.Max(left, 0.1)
}

// workSeconds returns the expected run time of all tasks, and of the unfinished ones.
func (o *occurrence) workSeconds() (total, left float64) {
	for _, s := range o.steps {
		seconds := float64(s.runTimeMs) / 1000
		total += float64(s.def.Count) * seconds
		left += float64(s.tasksLeft) * seconds
	}
	return total, left
}
