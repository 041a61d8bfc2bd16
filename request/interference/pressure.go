package interference

import (
	"math"
	"slices"
	"time"
)

// Pressure is a model of how much filling tasks slow down the serving tasks on their
// worker, by the images of both.
//
// The tail latency of a serving task is base/(1-v), as in a queue, where base is the
// tail latency when idle and v the utilization: the task's own load times 1 + pressure.
// Pressure is the sum of weight times share over the filling tasks, a share being that
// of the worker's processors. The tasks of one step serve the same users, so they have
// one load; short deviations are stored for each task. A Kalman filter tracks the load
// of each step with its trend, and the weight of each pair of images. A Pressure is not
// safe for concurrent use: the lock of its owner guards it.
type Pressure struct {
	weights  map[PressurePair]estimate
	loads    map[string]*load // by step
	lowTails map[string]lowTail
	bank     *periodBank // nil: loads are forecast by their trend
}

// lowTail tracks a low quantile of the undisturbed tail latency of a serving image.
type lowTail struct {
	value float64 // in milliseconds
	count int     // measurements so far
	at    time.Time
}

// PressurePair identifies a serving and a filling image.
type PressurePair struct{ Serving, Filling string }

// estimate is an estimate with a normally distributed error.
type estimate struct{ mean, variance float64 }

// load is the estimate of a step's own load and its change per second.
type load struct {
	at                             time.Time
	level, slope                   float64
	levelVar, slopeVar, covariance float64
	tasks                          map[string]deviation
	swing                          *swing // nil without a bank
}

// deviation is the difference of one task's latest measurement from the model.
type deviation struct {
	at          time.Time
	utilization float64
	excess      float64 // measured less predicted utilization
}

const (
	// priorWeight is the assumed weight of an unknown pair: filling tasks that use the
	// whole worker add this multiple of a serving task's load to its utilization.
	priorWeight         = 1.0
	priorWeightVariance = 4.0
	maxPressureWeight   = 16.0
	// weightProcessVariance lets weights change within seconds; levelProcessVariance
	// and slopeProcessVariance do the same for loads. All are variances per second.
	weightProcessVariance = 4e-3
	levelProcessVariance  = 0.03 * 0.03
	slopeProcessVariance  = 0.03 * 0.03
	measurementVariance   = 0.05 * 0.05 // variance of one measured utilization
	priorLoad             = 0.5
	priorLevelVar         = 0.06
	priorSlopeVar         = 0.01
	minLoad               = 0.05
	maxLoad               = 0.95
	// baseTailShare is the tail latency of an idle task as a share of the low tail. The
	// low tail is the quantile tailQuantile of the measurements beside which no filling
	// image uses more than undisturbedShare of the worker. It follows them in steps of
	// at least minLowTailStep of its value.
	baseTailShare    = 0.78
	tailQuantile     = 0.1
	undisturbedShare = 0.02
	minLowTailStep   = 0.03
	// lowTailRate is the number of steps per second with a forecast. With a step for each measurement,
	// the low tail of an image of many tasks followed their load through its swings.
	lowTailRate = 2.0
	// saturatedUtilization is the utilization above which a queue grows for as long as the
	// overload lasts. There, tailsPerExtraUtilization more idle tail latencies add 1 to
	// the utilization, up to maxUtilization.
	saturatedUtilization     = 0.93
	tailsPerExtraUtilization = 100
	maxUtilization           = 1.6
	maxGapSeconds            = 2.0 // over which a load is extrapolated at most
	// deviationRetained is the share of a task's deviation that persists; it decays with
	// the time constant deviationDecaySeconds.
	deviationRetained     = 0.7
	deviationDecaySeconds = 1.5
	// utilizationStdDev is the standard deviation of a utilization from its prediction.
	utilizationStdDev = 0.12
)

// NewPressure returns a model without any measurements.
func NewPressure() *Pressure {
	return &Pressure{weights: map[PressurePair]estimate{}, loads: map[string]*load{}, lowTails: map[string]lowTail{}}
}

// NewForecast returns a model without any measurements that forecasts swinging loads. Phases count
// from epoch.
func NewForecast(epoch time.Time) *Pressure {
	p := NewPressure()
	p.bank = &periodBank{epoch: epoch}
	return p
}

// Filling is the use of one filling image on a worker, as a share of its processors.
type Filling struct {
	Image string
	Share float64
}

// SumByImage adds up the shares of each image, in order of first appearance.
func SumByImage(list []Filling) []Filling {
	var sum []Filling
	for _, f := range list {
		i := slices.IndexFunc(sum, func(s Filling) bool { return s.Image == f.Image })
		if i < 0 {
			sum = append(sum, f)
			continue
		}
		sum[i].Share += f.Share
	}
	return sum
}

// Serving is one measurement of a serving task.
type Serving struct {
	// Task and Step are the ids of the task and of its step.
	Task  string
	Step  string
	Image string
	// TailMs is the measured tail latency, TargetMs its upper bound.
	TailMs   int64
	TargetMs int64
}

// utilization returns the utilization of a measurement and the one at the target. Until
// an image has a low tail, its idle tail latency is taken as a quarter of the target.
func (p *Pressure) utilization(s Serving) (v, target float64) {
	base := baseTailShare * p.lowTails[s.Image].value
	if base == 0 {
		base = float64(s.TargetMs) / 4
	}
	base = math.Min(base, float64(s.TargetMs)/2)
	v = 1 - base/math.Max(float64(s.TailMs), base)
	if v > saturatedUtilization {
		v = math.Min(saturatedUtilization+(float64(s.TailMs)/base-1/(1-saturatedUtilization))/tailsPerExtraUtilization, maxUtilization)
	}
	return v, 1 - base/float64(s.TargetMs)
}

// Weight returns the learned weight of a pair, or the prior of an unknown one.
func (p *Pressure) Weight(pair PressurePair) float64 { return p.weight(pair).mean }

func (p *Pressure) weight(pair PressurePair) estimate {
	if w, ok := p.weights[pair]; ok {
		return w
	}
	return estimate{priorWeight, priorWeightVariance}
}

// Sum returns the pressure of fillings on tasks of a serving image.
func (p *Pressure) Sum(image string, fillings []Filling) float64 {
	var sum float64
	for _, f := range fillings {
		sum += p.Weight(PressurePair{image, f.Image}) * f.Share
	}
	return sum
}

// SumEstimate returns the mean and the variance of the pressure of fillings on tasks of a serving image.
func (p *Pressure) SumEstimate(image string, fillings []Filling) (mean, variance float64) {
	for _, f := range fillings {
		w := p.weight(PressurePair{image, f.Image})
		mean += w.mean * f.Share
		variance += w.variance * f.Share * f.Share
	}
	return mean, variance
}

// ShareOf returns the share of an image, 0 if it is not in the list.
func ShareOf(list []Filling, image string) float64 {
	for _, f := range list {
		if f.Image == image {
			return f.Share
		}
	}
	return 0
}

// OverTarget returns the probability that a serving task is over its target at a time
// under the given pressure.
func (p *Pressure) OverTarget(at time.Time, s Serving, pressure float64) float64 {
	_, limit := p.utilization(s)
	excess := p.load(at, s.Step)*(1+pressure) + p.deviation(at, s) - limit
	return math.Erfc(-excess/(utilizationStdDev*math.Sqrt2)) / 2
}

// Forecast is the forecast of one serving task, as of its creation.
type Forecast struct {
	p         *Pressure
	load      *load // nil: never measured
	deviation deviation
	limit     float64 // utilization at the target
}

// Forecast returns the forecast of a serving task. It is valid until the next measurement.
func (p *Pressure) Forecast(s Serving) Forecast {
	f := Forecast{p: p, load: p.loads[s.Step]}
	if f.load != nil {
		f.deviation = f.load.tasks[s.Task]
	}
	_, f.limit = p.utilization(s)
	return f
}

// At returns the expected own load of the task at a time, and its expected utilization without filling
// tasks above that at its target; negative below the target.
func (f *Forecast) At(at time.Time) (load, excess float64) {
	load = f.p.loadAt(at, f.load)
	return load, load + f.deviation.remainder(at) - f.limit
}

// weightSpread is the relative standard deviation of the pressure of known weights: weights change
// within seconds, and the measured use of filling tasks is half a second old.
const weightSpread = 0.25

// PressureVariance returns the variance of the utilization that a pressure with the given estimate
// adds to a load.
func PressureVariance(load, mean, variance float64) float64 {
	spread := weightSpread * mean
	return load * load * (variance + spread*spread)
}

// OverProbability returns the probability that a task with an expected excess is over its target.
// variance is that of the excess, apart from that of the forecast.
func (p *Pressure) OverProbability(excess, variance float64) float64 {
	deviation := utilizationStdDev
	if p.bank != nil {
		deviation = math.Max(p.bank.stdDev(), minForecastStdDev)
	}
	return math.Erfc(-excess/math.Sqrt(2*(deviation*deviation+variance))) / 2
}

// WeightEstimate returns the mean and the variance of the weight of a pair.
func (p *Pressure) WeightEstimate(pair PressurePair) (mean, variance float64) {
	w := p.weight(pair)
	return w.mean, w.variance
}

// deviation returns the expected remainder of a task's deviation at a time.
func (p *Pressure) deviation(at time.Time, s Serving) float64 {
	l := p.loads[s.Step]
	if l == nil {
		return 0
	}
	d := l.tasks[s.Task]
	return d.remainder(at)
}

// remainder returns what is expected to remain of a deviation at a time.
func (d *deviation) remainder(at time.Time) float64 {
	return deviationRetained * d.excess * math.Exp(-math.Max(at.Sub(d.at).Seconds(), 0)/deviationDecaySeconds)
}

// load returns the expected own load of a step's tasks at a time.
func (p *Pressure) load(at time.Time, step string) float64 { return p.loadAt(at, p.loads[step]) }

func (p *Pressure) loadAt(at time.Time, l *load) float64 {
	if l == nil {
		return priorLoad
	}
	if p.bank != nil && p.bank.best != trendCandidate {
		h := &l.swing.harmonics[p.bank.best]
		return math.Min(math.Max(h.value(p.bank.basis(p.bank.best, at)), minLoad), maxLoad)
	}
	return l.trend(at)
}

// trend extrapolates the load by its latest change.
func (l *load) trend(at time.Time) float64 {
	dt := math.Min(math.Max(at.Sub(l.at).Seconds(), 0), maxGapSeconds)
	return math.Min(math.Max(l.level+l.slope*dt, minLoad), maxLoad)
}

// Observe adds one measurement of a serving task beside the fillings of its worker. It
// ignores one without a tail latency or a target.
func (p *Pressure) Observe(now time.Time, s Serving, fillings []Filling) {
	if s.TailMs <= 0 || s.TargetMs <= 0 {
		return
	}
	p.updateLowTail(now, s, fillings)
	l := p.loads[s.Step]
	if l == nil {
		l = &load{at: now, level: priorLoad, levelVar: priorLevelVar, slopeVar: priorSlopeVar, tasks: map[string]deviation{}}
		if p.bank != nil {
			l.swing = p.bank.newSwing(now, s.Step, priorLoad)
		}
		p.loads[s.Step] = l
	}
	dt := math.Min(now.Sub(l.at).Seconds(), maxGapSeconds)
	l.predict(now, dt)
	v, _ := p.utilization(s)
	draining := v > saturatedUtilization && v < l.tasks[s.Task].utilization
	if !draining { // while a queue drains, the tail latency shows the past load
		if p.bank != nil {
			p.updateSwing(now, l, s, v, fillings, dt)
		} else {
			p.update(l, s, v, fillings, dt)
		}
	}
	l.tasks[s.Task] = deviation{at: now, utilization: v, excess: v - p.load(now, s.Step)*(1+p.Sum(s.Image, fillings))}
}

// update corrects weights and load by the innovation, the measured less the predicted v.
func (p *Pressure) update(l *load, s Serving, v float64, fillings []Filling, dt float64) {
	factor := 1 + p.Sum(s.Image, fillings)
	innovation := v - l.level*factor
	if v > saturatedUtilization && innovation < 0 {
		return // above saturation v is a lower bound, which the prediction already exceeds
	}
	variance := factor*factor*l.levelVar + measurementVariance
	for _, f := range fillings {
		gradient := l.level * f.Share
		variance += p.weight(PressurePair{s.Image, f.Image}).variance * gradient * gradient
	}
	for _, f := range fillings {
		p.updateWeight(PressurePair{s.Image, f.Image}, l.level*f.Share, innovation, variance, dt)
	}
	l.correct(factor, innovation, variance)
}

func (p *Pressure) updateLowTail(now time.Time, s Serving, fillings []Filling) {
	for _, f := range fillings {
		if f.Share > undisturbedShare {
			return
		}
	}
	tail := float64(s.TailMs)
	low, known := p.lowTails[s.Image]
	if !known {
		low.value = tail
	}
	low.count++
	step := minLowTailStep
	if p.bank != nil {
		step *= math.Min(math.Max(now.Sub(low.at).Seconds(), 0)*lowTailRate, 1)
		low.at = now
	}
	step = math.Max(1/float64(low.count), step)
	if tail < low.value {
		low.value *= 1 - (1-tailQuantile)*step
	} else {
		low.value *= 1 + tailQuantile*step
	}
	p.lowTails[s.Image] = low
}

// updateWeight corrects one weight by an innovation with the given variance. gradient is
// the derivative of the utilization with respect to the weight, dt is in seconds.
func (p *Pressure) updateWeight(pair PressurePair, gradient, innovation, variance, dt float64) {
	w := p.weight(pair)
	gain := w.variance * gradient / variance
	w.mean = math.Min(math.Max(w.mean+gain*innovation, 0), maxPressureWeight)
	w.variance = math.Min(w.variance*(1-gain*gradient)+weightProcessVariance*dt, priorWeightVariance)
	p.weights[pair] = w
}

// predict extrapolates over dt seconds.
func (l *load) predict(now time.Time, dt float64) {
	l.at = now
	l.level = math.Min(math.Max(l.level+l.slope*dt, minLoad), maxLoad)
	l.levelVar += 2*l.covariance*dt + l.slopeVar*dt*dt + levelProcessVariance*dt
	l.covariance += l.slopeVar * dt
	l.slopeVar += slopeProcessVariance * dt
}

// correct corrects a load by an innovation with the given variance. factor is the
// derivative of the utilization with respect to the load.
func (l *load) correct(factor, innovation, variance float64) {
	levelGain, slopeGain := factor*l.levelVar/variance, factor*l.covariance/variance
	l.level += levelGain * innovation
	l.slope += slopeGain * innovation
	l.slopeVar -= slopeGain * factor * l.covariance
	l.covariance -= levelGain * factor * l.covariance
	l.levelVar -= levelGain * factor * l.levelVar
}

// Remove removes the state of a serving task that has ended. Learned weights stay.
func (p *Pressure) Remove(step, task string) {
	l := p.loads[step]
	if l == nil {
		return
	}
	delete(l.tasks, task)
	if len(l.tasks) == 0 {
		delete(p.loads, step)
	}
}
