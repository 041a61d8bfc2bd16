package schedule

import (
	"time"

	"camphorhead.example/camphorhead/request/interference"
)

// A filling task disturbs the serving tasks on its worker for its whole run, in which their load may
// rise and other filling tasks end. So with Features.Forecast its interference cost is the mean, over
// its expected run, of the number of serving tasks that it brings over their target.

// forecastBounds divide the time after a placement into the intervals for which a load is forecast,
// each by its middle. Run times beyond the last bound count as that: forecasts are not better than
// an average that far ahead.
var forecastBounds = [...]time.Duration{
	0, 500 * time.Millisecond, time.Second, 2 * time.Second, 3 * time.Second, 5 * time.Second, 8 * time.Second,
}

const forecastIntervals = len(forecastBounds) - 1

// minResidualShare is the least share of its expected run time, or of its age if that is more, for
// which a run is expected to go on: runs that exceed their expectation are often much longer.
const minResidualShare = 0.25

// workerForecast is the forecast of a worker's load, as it concerns filling tasks.
type workerForecast struct {
	// filling holds the filling images that are expected to work in each interval.
	filling [forecastIntervals][]interference.Filling
	serving []servingForecast
}

// servingForecast is a serving task with its forecast for each interval.
type servingForecast struct {
	interference.Serving
	load [forecastIntervals]float64
	// pressure is that of the current filling tasks, with the variance of its estimate. excess is the
	// expected utilization above the target beside them, over the probability that it is above zero.
	pressure, variance, excess, over [forecastIntervals]float64
}

// middle returns the time after now for which the load of an interval is forecast.
func middle(interval int) time.Duration {
	return (forecastBounds[interval] + forecastBounds[interval+1]) / 2
}

// useRatio is the use of filling tasks at full pace as a share of what placement assumes.
type useRatio struct{ value float64 }

// useRatioWeight is the weight of one measurement in a useRatio.
const useRatioWeight = 0.005

// observe adds a measurement; the ratio is bounded, since a worker without idle processors shows
// little of what its tasks would use.
func (u *useRatio) observe(measured, assumed float64) {
	if assumed > 0 {
		u.value += useRatioWeight * (min(max(measured/assumed, 0.5), 1.5) - u.value)
	}
}

// fillShare returns the share of a worker's processors that a filling task is expected to use.
func (t *Table) fillShare(a *agentState, milliCPU int64) float64 {
	return t.fillUse.value * a.node.FillShare(milliCPU)
}

// observeFillUse learns from the measured use of the filling tasks in a report.
func (t *Table) observeFillUse(now time.Time, a *agentState) {
	for _, run := range a.runs {
		def := run.task.step.def
		if def.Fills && run.milliCPU > 0 && run.pacePct == fullPacePct && now.Sub(run.confirmedAt) > sampleWarmUp {
			t.fillUse.observe(float64(run.milliCPU)/float64(max(a.node.Capacity.MilliCPU, 1)), a.node.FillShare(def.Need.MilliCPU))
		}
	}
}

// sampleWarmUp is the age from which the measured use of a run covers no time before its start.
const sampleWarmUp = 900 * time.Millisecond

// unknownRunTime is assumed for filling tasks without a declared or learned run time. With 0, the tasks
// that have just been placed at a worker did not count for the next ones.
const unknownRunTime = 3 * time.Second

// fillRunTime returns the run time that is assumed for the filling tasks of a step.
func (t *Table) fillRunTime(s *stepState) time.Duration {
	if expected := t.expectedRunTime(s); expected > 0 {
		return expected
	}
	return unknownRunTime
}

// residual returns how long a run is expected to go on.
func (t *Table) residual(now time.Time, run *runState) time.Duration {
	expected := t.fillRunTime(run.task.step)
	rest := expected
	if !run.confirmedAt.IsZero() {
		rest -= now.Sub(run.confirmedAt)
	}
	return max(rest, time.Duration(minResidualShare*float64(max(expected, expected-rest))))
}

// newWorkerForecast returns the forecast of a worker with its current runs and measurements.
func (t *Table) newWorkerForecast(now time.Time, a *agentState) *workerForecast {
	w := &workerForecast{serving: make([]servingForecast, 0, len(a.tailSamples))}
	for _, run := range a.runs {
		def := run.task.step.def
		if !def.Fills {
			continue
		}
		f, rest := interference.Filling{Image: def.Image, Share: t.fillShare(a, def.Need.MilliCPU)}, t.residual(now, run)
		for i := range w.filling {
			if middle(i) < rest {
				w.filling[i] = append(w.filling[i], f)
			}
		}
	}
	for i := range w.filling {
		w.filling[i] = interference.SumByImage(w.filling[i])
	}
	for _, r := range a.tailSamples {
		if now.Sub(r.at) > maxSampleAge {
			continue
		}
		s, f := servingForecast{Serving: r.Serving}, t.pressure.Forecast(r.Serving)
		for i := range w.filling {
			pressure, variance := t.pressure.SumEstimate(s.Image, w.filling[i])
			s.pressure[i], s.variance[i] = pressure, variance
			s.load[i], s.excess[i] = f.At(now.Add(middle(i)))
			s.excess[i] += s.load[i] * pressure
			s.over[i] = t.pressure.OverProbability(s.excess[i], interference.PressureVariance(s.load[i], pressure, variance))
		}
		w.serving = append(w.serving, s)
	}
	return w
}

// forecastCost returns the interference cost of a filling task at a worker. Tasks of one image share
// their uncertainty: several tasks of an unknown image on one worker cost far more than one, so that
// the first ones show its weight before the others follow.
func (t *Table) forecastCost(a *agentState, w *workerForecast, class fillClass) float64 {
	share := t.fillShare(a, class.milliCPU)
	run := min(max(class.runTime, forecastBounds[1]), forecastBounds[forecastIntervals])
	var cost float64
	for k := range w.serving {
		s := &w.serving[k]
		weight, variance := t.pressure.WeightEstimate(interference.PressurePair{Serving: s.Image, Filling: class.image})
		for i := 0; i < forecastIntervals && forecastBounds[i] < run; i++ {
			// The variance of the sum of shares grows with its square.
			present := interference.ShareOf(w.filling[i], class.image)
			addedSquares := (present+share)*(present+share) - present*present
			added := interference.PressureVariance(s.load[i], s.pressure[i]+weight*share, s.variance[i]+addedSquares*variance)
			over := t.pressure.OverProbability(s.excess[i]+weight*s.load[i]*share, added)
			cost += float64(min(forecastBounds[i+1], run)-forecastBounds[i]) / float64(run) * (over - s.over[i])
		}
	}
	return cost
}

// runTimeClass rounds a run time to the forecast intervals, so that tasks of similar length share a
// class.
func runTimeClass(d time.Duration) time.Duration {
	for _, bound := range forecastBounds[1:] {
		if d <= bound {
			return bound
		}
	}
	return forecastBounds[forecastIntervals]
}
