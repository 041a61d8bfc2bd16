package interference

import (
	"math"
	"slices"
)

// Pressure learns how much a filling task disturbs a task that serves users
// beside it, by the images of both.
//
// The tail latency of a serving task is taken to grow with its utilization v as
// base/(1-v), as in a queue. What fills adds to v in proportion to the share of
// the worker's processors that it uses; the weight of each pair of images is
// learned by a Kalman filter, together with the task's own load, which moves.
// A Pressure is not safe for concurrent use: the lock of its owner guards it.
type Pressure struct {
	weights map[PressurePair]estimateOf
	loads   map[string]estimateOf // own load of a serving task, by its key
	bases   map[string]float64    // lowest tail latency of a serving image, ms
}

// PressurePair names a serving and a filling image.
type PressurePair struct{ Serving, Filling string }

// estimateOf is a normally distributed belief.
type estimateOf struct{ mean, variance float64 }

const (
	// priorWeight is what an unknown pair is taken to weigh: one whole worker of
	// filling tasks takes this much of a serving task's capacity.
	priorWeight         = 1.0
	priorWeightVariance = 1.0
	maxPressureWeight   = 8.0
	// weightDrift lets weights change within minutes, loadDrift the load of a
	// serving task within seconds; both are variances per observation.
	weightDrift = 1e-4
	loadDrift   = 0.05 * 0.05
	// measureVariance is the noise of one reading.
	measureVariance = 0.04 * 0.04
	priorLoad       = 0.5
	priorLoadSpread = 0.09
	// baseShare is the part of the lowest tail seen that is taken for the tail of
	// an idle task.
	baseShare = 0.8
	// saturated is the utilization above which a reading says only that there is
	// too much.
	saturated = 0.93
)

// NewPressure returns a model that knows nothing.
func NewPressure() *Pressure {
	return &Pressure{weights: map[PressurePair]estimateOf{}, loads: map[string]estimateOf{}, bases: map[string]float64{}}
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

// Utilization returns v of a reading and the v at which the tail reaches its target.
func (p *Pressure) Utilization(s Serving) (v, target float64) {
	base := p.base(s)
	tail := math.Max(float64(s.TailMs), base)
	return 1 - base/tail, 1 - base/float64(s.TargetMs)
}

func (p *Pressure) base(s Serving) float64 {
	base, ok := p.bases[s.Image]
	if !ok {
		base = float64(s.TargetMs) / 4
	}
	return math.Min(base, float64(s.TargetMs)/2)
}

// Weight returns the learned weight of a pair.
func (p *Pressure) Weight(pair PressurePair) float64 {
	if w, ok := p.weights[pair]; ok {
		return w.mean
	}
	return priorWeight
}

// Observe takes in one reading of a serving task beside what filled its worker.
func (p *Pressure) Observe(s Serving, fillings []Filling) {
	if s.TailMs <= 0 || s.TargetMs <= 0 {
		return
	}
	if low := baseShare * float64(s.TailMs); p.bases[s.Image] == 0 || low < p.bases[s.Image] {
		p.bases[s.Image] = low
	}
	v, _ := p.Utilization(s)
	load, ok := p.loads[s.Key]
	if !ok {
		load = estimateOf{priorLoad, priorLoadSpread}
	}
	load.variance += loadDrift
	predicted, variance := load.mean, load.variance+measureVariance
	for _, f := range fillings {
		w := p.of(PressurePair{s.Image, f.Image})
		predicted += w.mean * f.Share
		variance += w.variance * f.Share * f.Share
	}
	surprise := v - predicted
	if v >= saturated && surprise < 0 {
		return // the reading is a lower bound, which the prediction already exceeds
	}
	for _, f := range fillings {
		pair := PressurePair{s.Image, f.Image}
		w := p.of(pair)
		gain := w.variance * f.Share / variance
		w.mean = math.Min(math.Max(w.mean+gain*surprise, 0), maxPressureWeight)
		w.variance = w.variance*(1-gain*f.Share) + weightDrift
		p.weights[pair] = w
	}
	gain := load.variance / variance
	load.mean += gain * surprise
	load.variance *= 1 - gain
	p.loads[s.Key] = load
}

func (p *Pressure) of(pair PressurePair) estimateOf {
	if w, ok := p.weights[pair]; ok {
		return w
	}
	return estimateOf{priorWeight, priorWeightVariance}
}

// Forget drops the load of a serving task that has ended.
func (p *Pressure) Forget(key string) { delete(p.loads, key) }
