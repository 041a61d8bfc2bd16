package interference

import (
	"cmp"
	"slices"
)

// WeightRecord is the learned weight of a pair of images in a durable form.
type WeightRecord struct {
	Serving  string  `msgpack:"s"`
	Filling  string  `msgpack:"f"`
	Mean     float64 `msgpack:"m"`
	Variance float64 `msgpack:"v"`
}

// LowTailRecord is the undisturbed tail latency of a serving image in a durable form.
type LowTailRecord struct {
	Image string  `msgpack:"i"`
	Ms    float64 `msgpack:"t"`
	Count int     `msgpack:"n"`
}

// PressureRecord is what a Pressure has learned that outlives the tasks: not the loads of steps.
type PressureRecord struct {
	Weights  []WeightRecord  `msgpack:"w,omitempty"`
	LowTails []LowTailRecord `msgpack:"t,omitempty"`
	Swing    SwingRecord     `msgpack:"s,omitempty"`
}

const (
	// maxWeightRecords bounds the exported weights: about those of 30 filling and 32 serving images.
	maxWeightRecords  = 1024
	maxLowTailRecords = 256
	maxImageLength    = 1024 // longer names are not exported
	// maxLowTailCount bounds the exported counts: beyond 1/minLowTailStep a count has no effect.
	maxLowTailCount = 1000
	maxLowTailMs    = 1e9
	// minLowTailMs: below, every measurement would count as saturated, and at 0.6% a second the low tail
	// would not recover.
	minLowTailMs = 0.1
)

// Export returns the best known weights, the one with the least variance first, and the low tails of
// the most measurements.
func (p *Pressure) Export() PressureRecord {
	var r PressureRecord
	for pair, w := range p.weights {
		record := WeightRecord{Serving: pair.Serving, Filling: pair.Filling, Mean: w.mean, Variance: w.variance}
		if record.valid() {
			r.Weights = append(r.Weights, record)
		}
	}
	slices.SortFunc(r.Weights, func(a, b WeightRecord) int {
		return cmp.Or(cmp.Compare(a.Variance, b.Variance), cmp.Compare(a.Serving, b.Serving), cmp.Compare(a.Filling, b.Filling))
	})
	r.Weights = r.Weights[:min(len(r.Weights), maxWeightRecords)]
	for image, low := range p.lowTails {
		record := LowTailRecord{Image: image, Ms: low.value, Count: min(low.count, maxLowTailCount)}
		if record.valid() {
			r.LowTails = append(r.LowTails, record)
		}
	}
	slices.SortFunc(r.LowTails, func(a, b LowTailRecord) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Image, b.Image))
	})
	r.LowTails = r.LowTails[:min(len(r.LowTails), maxLowTailRecords)]
	r.Swing = p.exportSwing()
	return r
}

// Import adds the weights and low tails of a valid record. What p has measured itself stays.
func (p *Pressure) Import(r PressureRecord) {
	for _, w := range r.Weights[:min(len(r.Weights), maxWeightRecords)] {
		pair := PressurePair{Serving: w.Serving, Filling: w.Filling}
		if _, known := p.weights[pair]; !known {
			p.weights[pair] = estimate{mean: w.Mean, variance: w.Variance}
		}
	}
	for _, low := range r.LowTails[:min(len(r.LowTails), maxLowTailRecords)] {
		if _, known := p.lowTails[low.Image]; !known {
			p.lowTails[low.Image] = lowTail{value: low.Ms, count: low.Count}
		}
	}
	p.importSwing(r.Swing)
}

// Valid reports whether a record may be imported: other writers may have changed it.
func (r *PressureRecord) Valid() bool {
	for i := range r.Weights {
		if !r.Weights[i].valid() {
			return false
		}
	}
	for i := range r.LowTails {
		if !r.LowTails[i].valid() {
			return false
		}
	}
	return r.Swing.valid()
}

// The comparisons are false for NaN.
func (w *WeightRecord) valid() bool {
	return len(w.Serving) <= maxImageLength && len(w.Filling) <= maxImageLength &&
		w.Mean >= 0 && w.Mean <= maxPressureWeight && w.Variance > 0 && w.Variance <= priorWeightVariance
}

func (l *LowTailRecord) valid() bool {
	return len(l.Image) <= maxImageLength && l.Ms >= minLowTailMs && l.Ms <= maxLowTailMs &&
		l.Count > 0 && l.Count <= maxLowTailCount
}
