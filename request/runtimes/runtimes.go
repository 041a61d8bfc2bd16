// Package runtimes learns the run times of tasks from runs that ended as done, per kind.
//
// Callers declare run times that are off by a factor of 2.5 and more, but by a similar factor for
// similar tasks. A kind therefore predicts the logarithm of a run time from that of the declared
// one by a regression: its slope is near zero if declarations tell nothing, so that the prediction
// is the average of the kind, and near one if they differ from the run times by a constant factor.
package runtimes

import (
	"container/list"
	"math"
	"slices"
	"time"
)

const (
	// MaxKinds bounds a Table; the kind whose last run ended first is evicted.
	MaxKinds = 512
	// minSamples is the number of runs from which on a kind has an estimate.
	minSamples = 3
	// memory is the number of latest runs that averages and the regression weigh.
	memory = 100
	// slopeShrinkage is added to the weighted sum of squared deviations of the logarithms of the
	// declared run times. Declarations with a standard deviation of 0.9 exceed it after four
	// different ones.
	slopeShrinkage = 3.0
	// maxDeviation is the largest deviation that counts, in standard deviations. A few runs that
	// take several times as long would otherwise decide the mean.
	maxDeviation = 2.5
	// initialVariance is that of the logarithms before there are runs, minVariance bounds it from
	// below so that runs which have all taken equally long do not make any other an outlier.
	initialVariance = 0.5
	minVariance     = 0.1 * 0.1
	// p95Step is the least step by which the offset of the p95 moves.
	p95Step = 0.02
	// maxP95Deviation bounds the offset of the p95, in standard deviations: while the mean adapts to a
	// longer run time, all runs are above the p95, and it falls more slowly than it rises.
	maxP95Deviation = 2.5
	// recentDeclared is the number of declared run times whose runs are counted, see kind.novelty.
	recentDeclared = 8
	maxFarFactor   = 32
	// minRunTime and maxRunTime bound the run times that count.
	minRunTime = time.Millisecond
	maxRunTime = 10 * 365 * 24 * time.Hour
)

// Kind selects the tasks that share an estimate.
type Kind struct{ Profile, Image string }

// Estimate is the expected run time of one task on a worker near its data.
type Estimate struct {
	Mean, P95 time.Duration
	Samples   int // runs that it is based on, at most memory
}

// Table holds the estimates of up to MaxKinds kinds. It is not safe for concurrent use: the lock
// of its owner guards it.
type Table struct {
	kinds map[Kind]*list.Element // of *kind
	order *list.List             // the kind with the latest run first
}

// kind is what is known of one kind. Run times are in natural logarithms of seconds.
type kind struct {
	key     Kind
	samples float64 // runs on near workers, at most memory
	// x and y are the averages of the declared and of the actual run times.
	x, y float64
	// xx and xy are the sums of the regression, see novelty.
	xx, xy     float64
	variance   float64 // of actual from predicted run times
	p95        float64 // offset of the p95 from the predicted run time
	farSamples float64
	far        float64 // average difference of runs on far workers from the prediction
	declared   [recentDeclared]declaredCount
	next       int // index in declared to be replaced next
}

// declaredCount is the number of runs with one declared run time.
type declaredCount struct {
	declared time.Duration
	runs     int
}

// New returns an empty table.
func New() *Table { return &Table{kinds: map[Kind]*list.Element{}, order: list.New()} }

// Len returns the number of kinds.
func (t *Table) Len() int { return len(t.kinds) }

// Observe adds a run that ended as done after took. declared is its declared run time, 0 if there
// is none. far is set if it ran on a worker away from the rack of its data.
func (t *Table) Observe(key Kind, declared, took time.Duration, far bool) {
	if took < minRunTime || took > maxRunTime || declared < 0 || declared > maxRunTime {
		return
	}
	e := t.kinds[key]
	if e == nil {
		e = t.add(&kind{key: key, variance: initialVariance, p95: 1.645 * math.Sqrt(initialVariance)})
	}
	t.order.MoveToFront(e)
	k, actual := e.Value.(*kind), math.Log(took.Seconds())
	if far {
		k.observeFar(declared, actual)
		return
	}
	k.observe(declared, actual)
}

// add adds a kind in front of the others and evicts the last one beyond MaxKinds.
func (t *Table) add(k *kind) *list.Element {
	if len(t.kinds) >= MaxKinds {
		last := t.order.Back()
		delete(t.kinds, t.order.Remove(last).(*kind).key)
	}
	e := t.order.PushFront(k)
	t.kinds[k.key] = e
	return e
}

func (k *kind) observe(declared time.Duration, actual float64) {
	deviation := actual - k.predict(declared)
	if k.samples >= minSamples {
		bound := maxDeviation * math.Sqrt(k.variance)
		deviation = math.Min(math.Max(deviation, -bound), bound)
		k.updateP95(actual - k.predict(declared))
		actual = k.predict(declared) + deviation
	}
	x := k.x
	if declared > 0 {
		x = math.Log(math.Max(declared.Seconds(), minRunTime.Seconds()))
	}
	k.samples = math.Min(k.samples+1, memory)
	share := 1 / k.samples
	if k.samples == 1 {
		k.x, k.y = x, actual
	} else {
		w := k.novelty(declared)
		dx, dy := x-k.x, actual-k.y
		k.x += share * dx
		k.y += share * dy
		k.xx = k.xx*(1-w/memory) + w*dx*dx
		k.xy = k.xy*(1-w/memory) + w*dx*dy
		k.variance += (deviation*deviation - k.variance) / (k.samples + 1)
		k.variance = math.Max(k.variance, minVariance)
	}
}

// novelty returns the weight of a run in the regression. Runs of one step have the same declared
// run time and the same error of it, so that the n-th of them tells 1/n as much about the slope.
func (k *kind) novelty(declared time.Duration) float64 {
	for i := range k.declared {
		if d := &k.declared[i]; d.runs > 0 && d.declared == declared {
			d.runs++
			return 1 / float64(d.runs)
		}
	}
	k.declared[k.next] = declaredCount{declared, 1}
	k.next = (k.next + 1) % recentDeclared
	return 1
}

func (k *kind) updateP95(deviation float64) {
	step := math.Max(1/k.samples, p95Step)
	if deviation > k.p95 {
		k.p95 = math.Min(k.p95+0.95*step, maxP95Deviation*math.Sqrt(k.variance))
	} else {
		k.p95 = math.Max(k.p95-0.05*step, 0)
	}
}

func (k *kind) observeFar(declared time.Duration, actual float64) {
	if k.samples < minSamples {
		return // nothing to compare with
	}
	difference := math.Min(math.Max(actual-k.predict(declared), -math.Log(maxFarFactor)), math.Log(maxFarFactor))
	if k.farSamples >= minSamples {
		bound := maxDeviation * math.Sqrt(k.variance)
		difference = math.Min(math.Max(difference, k.far-bound), k.far+bound)
	}
	k.farSamples = math.Min(k.farSamples+1, memory)
	k.far += (difference - k.far) / k.farSamples
}

// predict returns the logarithm of the run time that is expected for a declared one.
func (k *kind) predict(declared time.Duration) float64 {
	if declared <= 0 {
		return k.y
	}
	slope := math.Min(math.Max(k.xy/(k.xx+slopeShrinkage), 0), 1)
	return k.y + slope*(math.Log(math.Max(declared.Seconds(), minRunTime.Seconds()))-k.x)
}

// Expect returns the run time that is expected for a task of a kind with a declared run time, 0 if
// it has none. It returns false if too few runs of the kind have ended.
func (t *Table) Expect(key Kind, declared time.Duration) (Estimate, bool) {
	e := t.kinds[key]
	if e == nil {
		return Estimate{}, false
	}
	k := e.Value.(*kind)
	if k.samples < minSamples {
		return Estimate{}, false
	}
	center := k.predict(declared)
	// The mean of a log-normal distribution exceeds its median.
	mean := fromLog(center + math.Min(k.variance, initialVariance)/2)
	return Estimate{Mean: mean, P95: max(fromLog(center+k.p95), mean), Samples: int(k.samples)}, true
}

// FarFactor returns the run time of a kind away from the rack of its data as a multiple of that
// on it, at least 1. ok is false if too few runs have ended on either.
func (t *Table) FarFactor(key Kind) (factor float64, ok bool) {
	e := t.kinds[key]
	if e == nil || e.Value.(*kind).farSamples < minSamples {
		return 0, false
	}
	return math.Max(math.Exp(e.Value.(*kind).far), 1), true
}

func fromLog(seconds float64) time.Duration {
	s := math.Min(math.Max(math.Exp(seconds), minRunTime.Seconds()), maxRunTime.Seconds())
	return time.Duration(s * float64(time.Second))
}

// Record is a kind in a durable form. The zero values of unset fields are valid.
type Record struct {
	Profile  string  `msgpack:"p"`
	Image    string  `msgpack:"i,omitempty"`
	Samples  float64 `msgpack:"n"`
	X        float64 `msgpack:"x"`
	Y        float64 `msgpack:"y"`
	XX       float64 `msgpack:"xx,omitempty"`
	XY       float64 `msgpack:"xy,omitempty"`
	Variance float64 `msgpack:"v"`
	P95      float64 `msgpack:"q"`
	FarRuns  float64 `msgpack:"fn,omitempty"`
	Far      float64 `msgpack:"f,omitempty"`
}

// Export returns all kinds that have an estimate, the one with the latest run first.
func (t *Table) Export() []Record {
	records := make([]Record, 0, len(t.kinds))
	for e := t.order.Front(); e != nil; e = e.Next() {
		k := e.Value.(*kind)
		r := Record{
			Profile: k.key.Profile, Image: k.key.Image, Samples: k.samples, X: k.x, Y: k.y,
			XX: k.xx, XY: k.xy, Variance: k.variance, P95: k.p95, FarRuns: k.farSamples, Far: k.far,
		}
		if r.Valid() { // it has enough samples, and its names are not too long
			records = append(records, r)
		}
	}
	return records
}

// Import replaces the kinds by those of the first MaxKinds records. The records must be valid.
func (t *Table) Import(records []Record) {
	clear(t.kinds)
	t.order.Init()
	for _, r := range slices.Backward(records[:min(len(records), MaxKinds)]) {
		key := Kind{Profile: r.Profile, Image: r.Image}
		if t.kinds[key] != nil {
			continue
		}
		t.add(&kind{
			key: key, samples: r.Samples, x: r.X, y: r.Y, xx: r.XX, xy: r.XY, variance: r.Variance,
			p95: r.P95, farSamples: r.FarRuns, far: r.Far,
		})
	}
}

// maxNameLength bounds the names in a record.
const maxNameLength = 1024

// Valid reports whether a record may be imported: other writers may have changed it.
func (r *Record) Valid() bool {
	maxLog := math.Log(maxRunTime.Seconds())
	between := func(v, low, high float64) bool { return v >= low && v <= high } // false for NaN
	return len(r.Profile) <= maxNameLength && len(r.Image) <= maxNameLength &&
		between(r.Samples, minSamples, memory) && between(r.FarRuns, 0, memory) &&
		between(r.X, -maxLog, maxLog) && between(r.Y, -maxLog, maxLog) &&
		between(r.XX, 0, 1e6) && between(r.XY, -1e6, 1e6) &&
		between(r.Variance, minVariance, 1e3) && between(r.P95, 0, 1e3) &&
		between(r.Far, -math.Log(maxFarFactor), math.Log(maxFarFactor))
}
