package interference

import (
	"math"
	"slices"
	"time"
)

// Pressure learns how much filling tasks disturb the tasks that serve users
// beside them, by the images of both.
//
// The tail latency of a serving task is taken to grow with its utilization v as
// base/(1-v), as in a queue, and its utilization to be its own load times
// 1 + the sum of weight times share over what fills the worker, a share being
// that of the worker's processors. A Kalman filter follows the load of each
// serving task with its trend, and the weight of each pair of images. A Pressure
// is not safe for concurrent use: the lock of its owner guards it.
type Pressure struct {
	weights map[PressurePair]belief
	loads   map[string]*load   // by the key of a serving task
	bases   map[string]float64 // lowest tail latency seen of a serving image, ms
}

// PressurePair names a serving and a filling image.
type PressurePair struct{ Serving, Filling string }

// belief is a normally distributed estimate.
type belief struct{ mean, variance float64 }

// load is the belief about a serving task's own load and its change a second.
type load struct {
	at                             time.Time
	level, slope                   float64
	levelVar, slopeVar, covariance float64
	before                         float64 // utilization of the reading before
}

const (
	// priorWeight is what an unknown pair is taken to weigh: a worker full of
	// such filling tasks raises the utilization by this part.
	priorWeight         = 0.8
	priorWeightVariance = 0.5
	maxPressureWeight   = 16.0
	// weightDrift lets weights change within seconds; levelDrift and slopeDrift
	// do the same for loads. All are variances a second.
	weightDrift = 4e-3
	levelDrift  = 0.03 * 0.03
	slopeDrift  = 0.03 * 0.03
	// measureVariance is the noise of one reading.
	measureVariance = 0.05 * 0.05
	priorLoad       = 0.5
	priorLevelVar   = 0.06
	priorSlopeVar   = 0.01
	minLoad         = 0.05
	maxLoad         = 0.95
	// baseShare is the part of the lowest tail seen that is taken for the tail of
	// an idle task.
	baseShare = 0.8
	// saturated is the utilization above which a queue grows for as long as it
	// lasts. A tail of saturatedTail idle ones more counts as one more.
	saturated     = 0.93
	saturatedTail = 100
	maxUtilized   = 1.6
	// maxGap bounds the time over which a load is extrapolated.
	maxGap = 2.0
)

// NewPressure returns a model that knows nothing.
func NewPressure() *Pressure {
	return &Pressure{weights: map[PressurePair]belief{}, loads: map[string]*load{}, bases: map[string]float64{}}
}

// Filling is the use of one filling image on a worker, as a share of its processors.
type Filling struct {
	Image string
	Share float64
}

// SumByImage adds up what the tasks of each image use.
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

// Serving is one reading of a serving task.
type Serving struct {
	Key      string
	Image    string
	TailMs   int64
	TargetMs int64
}

// utilization returns v of a reading, and the v at which the tail reaches its target.
func (p *Pressure) utilization(s Serving) (v, target float64) {
	base, ok := p.bases[s.Image]
	if !ok {
		base = float64(s.TargetMs) / 4
	}
	base = math.Min(base, float64(s.TargetMs)/2)
	v = 1 - base/math.Max(float64(s.TailMs), base)
	if v > saturated {
		v = math.Min(saturated+(float64(s.TailMs)/base-1/(1-saturated))/saturatedTail, maxUtilized)
	}
	return v, 1 - base/float64(s.TargetMs)
}

// Weight returns the learned weight of a pair.
func (p *Pressure) Weight(pair PressurePair) float64 { return p.weight(pair).mean }

func (p *Pressure) weight(pair PressurePair) belief {
	if w, ok := p.weights[pair]; ok {
		return w
	}
	return belief{priorWeight, priorWeightVariance}
}

// Sum returns the part by which fillings raise the utilization of a serving image.
func (p *Pressure) Sum(image string, fillings []Filling) float64 {
	var sum float64
	for _, f := range fillings {
		sum += p.Weight(PressurePair{image, f.Image}) * f.Share
	}
	return sum
}

// Allowed returns the sum of weight times share that a serving task bears at a
// time without exceeding its target by more than the margin allows, which is
// subtracted from the target's utilization.
func (p *Pressure) Allowed(at time.Time, s Serving, margin float64) float64 {
	_, target := p.utilization(s)
	return (target-margin)/p.load(at, s.Key) - 1
}

// load returns the expected own load of a serving task at a time.
func (p *Pressure) load(at time.Time, key string) float64 {
	l := p.loads[key]
	if l == nil {
		return priorLoad
	}
	dt := math.Min(math.Max(at.Sub(l.at).Seconds(), 0), maxGap)
	return math.Min(math.Max(l.level+l.slope*dt, minLoad), maxLoad)
}

// Observe takes in one reading of a serving task beside what filled its worker.
func (p *Pressure) Observe(now time.Time, s Serving, fillings []Filling) {
	if s.TailMs <= 0 || s.TargetMs <= 0 {
		return
	}
	if low := baseShare * float64(s.TailMs); p.bases[s.Image] == 0 || low < p.bases[s.Image] {
		p.bases[s.Image] = low
	}
	l := p.loads[s.Key]
	if l == nil {
		l = &load{at: now, level: priorLoad, levelVar: priorLevelVar, slopeVar: priorSlopeVar}
		p.loads[s.Key] = l
	}
	dt := math.Min(now.Sub(l.at).Seconds(), maxGap)
	l.advance(now, dt)
	v, _ := p.utilization(s)
	draining := v > saturated && v < l.before
	l.before = v
	if draining {
		return // the queue of a moment ago is worked off
	}
	rise := 1 + p.Sum(s.Image, fillings)
	surprise := v - l.level*rise
	if v > saturated && surprise < 0 {
		return // the reading is a lower bound, which the prediction already exceeds
	}
	variance := rise*rise*l.levelVar + measureVariance
	for _, f := range fillings {
		gradient := l.level * f.Share
		variance += p.weight(PressurePair{s.Image, f.Image}).variance * gradient * gradient
	}
	for _, f := range fillings {
		p.adjust(PressurePair{s.Image, f.Image}, l.level*f.Share, surprise, variance, dt)
	}
	l.correct(rise, surprise, variance)
}

// adjust moves one weight by its part of a surprise.
func (p *Pressure) adjust(pair PressurePair, gradient, surprise, variance, dt float64) {
	w := p.weight(pair)
	gain := w.variance * gradient / variance
	w.mean = math.Min(math.Max(w.mean+gain*surprise, 0), maxPressureWeight)
	w.variance = math.Min(w.variance*(1-gain*gradient)+weightDrift*dt, priorWeightVariance)
	p.weights[pair] = w
}

// advance extrapolates a load over a time.
func (l *load) advance(now time.Time, dt float64) {
	l.at = now
	l.level = math.Min(math.Max(l.level+l.slope*dt, minLoad), maxLoad)
	l.levelVar += 2*l.covariance*dt + l.slopeVar*dt*dt + levelDrift*dt
	l.covariance += l.slopeVar * dt
	l.slopeVar += slopeDrift * dt
}

// correct takes a surprise into a load.
func (l *load) correct(rise, surprise, variance float64) {
	levelGain, slopeGain := rise*l.levelVar/variance, rise*l.covariance/variance
	l.level += levelGain * surprise
	l.slope += slopeGain * surprise
	l.slopeVar -= slopeGain * rise * l.covariance
	l.covariance -= levelGain * rise * l.covariance
	l.levelVar -= levelGain * rise * l.levelVar
}

// Forget drops the load of a serving task that has ended.
func (p *Pressure) Forget(key string) { delete(p.loads, key) }
