package interference

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// SwingRecord is what a Pressure has learned of the period of loads, and of the loads themselves, in
// a durable form. It is empty without a period.
type SwingRecord struct {
	EpochMs int64        `msgpack:"e,omitempty"` // Unix time from which phases count
	Period  float64      `msgpack:"p,omitempty"` // in seconds: versions may differ in their candidates
	StdDev  float64      `msgpack:"d,omitempty"` // of its forecasts
	Steps   []StepRecord `msgpack:"s,omitempty"`
}

// StepRecord holds the mean load of a step and the coefficients of its harmonic.
type StepRecord struct {
	Step string  `msgpack:"i"`
	Mean float64 `msgpack:"m"`
	Cos  float64 `msgpack:"c"`
	Sin  float64 `msgpack:"n"`
}

const (
	maxStepRecords = 256
	// importedRatings is the number of rated forecasts for which an imported period counts.
	importedRatings = 2 * minRatings
	// maxEpochMs bounds an epoch so that the time since then fits a time.Duration.
	maxEpochMs = int64(1) << 42
)

func (p *Pressure) exportSwing() (r SwingRecord) {
	if p.bank == nil || p.bank.best == trendCandidate {
		return r
	}
	r.EpochMs, r.Period, r.StdDev = p.bank.epoch.UnixMilli(), candidatePeriods[p.bank.best], p.bank.stdDev()
	for step, l := range p.loads {
		mean := l.swing.harmonics[p.bank.best].mean
		if s := (StepRecord{Step: step, Mean: mean[0], Cos: mean[1], Sin: mean[2]}); s.valid() {
			r.Steps = append(r.Steps, s)
		}
	}
	slices.SortFunc(r.Steps, func(a, b StepRecord) int { return cmp.Compare(a.Step, b.Step) })
	r.Steps = r.Steps[:min(len(r.Steps), maxStepRecords)]
	return r
}

// importSwing takes the period over unless forecasts have been rated here already.
func (p *Pressure) importSwing(r SwingRecord) {
	if p.bank == nil || r.Period == 0 || p.bank.weight > 0 {
		return
	}
	b, best := p.bank, nearestCandidate(r.Period)
	// The epoch keeps its monotonic reading, so that later steps of the wall clock do not shift phases.
	b.epoch = b.epoch.Add(time.Duration(r.EpochMs-b.epoch.UnixMilli()) * time.Millisecond)
	b.best, b.weight, b.imported = best, importedRatings, map[string][3]float64{}
	for i := range b.squares {
		b.squares[i] = importedRatings * utilizationStdDev * utilizationStdDev
	}
	b.squares[best] = importedRatings * r.StdDev * r.StdDev
	for _, s := range r.Steps[:min(len(r.Steps), maxStepRecords)] {
		b.imported[s.Step] = [3]float64{s.Mean, s.Cos, s.Sin}
	}
}

// nearestCandidate returns the candidate whose period differs least from one in seconds.
func nearestCandidate(period float64) int {
	best := 1
	for i := 2; i < candidateCount; i++ {
		if math.Abs(candidatePeriods[i]-period) < math.Abs(candidatePeriods[best]-period) {
			best = i
		}
	}
	return best
}

func (r *SwingRecord) valid() bool {
	inRange := r.Period == 0 || r.Period >= candidatePeriods[1] && r.Period <= candidatePeriods[candidateCount-1]
	if !inRange || r.EpochMs < 0 || r.EpochMs > maxEpochMs ||
		!(r.StdDev >= 0 && r.StdDev <= 1) {
		return false
	}
	for i := range r.Steps {
		if !r.Steps[i].valid() {
			return false
		}
	}
	return true
}

func (s *StepRecord) valid() bool {
	return len(s.Step) <= maxImageLength && math.Abs(s.Mean) <= 1 && math.Abs(s.Cos) <= 1 && math.Abs(s.Sin) <= 1
}
