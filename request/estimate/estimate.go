// Package estimate learns the real resource use of tasks from a worker's delayed
// measurements, per profile and franchisee.
//
// The declared resources are the estimate until enough measurements exist, an
// exponentially weighted moving average from then on. The margin on top is a
// multiple of its mean absolute error, so it is wide for franchisees whose tasks
// differ and narrow for those with steady use.
package estimate

import (
	"container/list"
	"math"
	"time"

	"github.com/jonboulle/clockwork"

	"camphorhead.example/camphorhead/request/resources"
)

const (
	defaultMaxEntries      = 4096
	defaultMinMeasurements = 4
	defaultMaxAge          = 6 * time.Hour
	// smoothing is the weight of one measurement in the moving averages.
	smoothing = 0.15
	// marginFactor is the margin in mean absolute errors; three of them cover
	// about 98 percent of a normal distribution.
	marginFactor = 3
	// minMarginShare is the least margin as a share of the average. It leaves
	// headroom for growth of a use that has been steady so far.
	minMarginShare = 0.05
)

// Key selects the tasks that share an estimate.
type Key struct {
	Profile    string
	Franchisee string
}

// Estimate is the expected use of one task.
type Estimate struct {
	Known  bool // false while Use is only the declared value and Margin is zero
	Use    resources.Resources
	Margin resources.Resources // to reserve on top of Use
}

// Sample is the measured use of one task in one measurement of the worker.
type Sample struct {
	Key Key
	Use resources.Resources
	// Running is how long the task had been running when Use was measured.
	Running time.Duration
	// ThrottlePct is the limit on the task's speed; 100 means no throttle. The
	// processor use of a throttled task does not show its need and is ignored.
	ThrottlePct int
}

// Config configures a Table. A zero MaxEntries, MinMeasurements or MaxAge selects
// the default: 4096 entries, 4 measurements and 6 hours.
type Config struct {
	Clock clockwork.Clock
	// MaxEntries bounds the table; the least recently updated entry is evicted first.
	MaxEntries int
	// MinMeasurements is the number of measurements after which the average
	// replaces the declared value.
	MinMeasurements int
	// WarmUp is how long a task must have been running before its samples count.
	WarmUp time.Duration
	// MaxAge is how long an estimate is used without a new sample.
	MaxAge time.Duration
}

// Table holds the estimates of one agent. It is not safe for concurrent use: the
// lock of its owner guards it.
type Table struct {
	cfg     Config
	latest  time.Time // time of the latest measurement
	entries map[Key]*list.Element
	recent  *list.List // of *entry, the most recently updated first
}

type entry struct {
	key          Key
	measurements int
	measuredAt   time.Time
	cpu          average
	memory       average
}

// New returns an empty table.
func New(cfg Config) *Table {
	if cfg.MaxEntries <= 0 {
		cfg.MaxEntries = defaultMaxEntries
	}
	if cfg.MinMeasurements <= 0 {
		cfg.MinMeasurements = defaultMinMeasurements
	}
	if cfg.MaxAge <= 0 {
		cfg.MaxAge = defaultMaxAge
	}
	return &Table{cfg: cfg, entries: map[Key]*list.Element{}, recent: list.New()}
}

// Observe adds all samples of one measurement, taken at measured, and reports
// whether it was newer than the previous one. An older or repeated measurement
// is ignored, because a worker lists its delayed measurements more than once.
func (t *Table) Observe(measured time.Time, samples []Sample) bool {
	if !measured.After(t.latest) {
		return false
	}
	t.latest = measured
	counts := map[Key]int{}
	for _, s := range samples {
		if s.Running >= t.cfg.WarmUp {
			counts[s.Key]++
		}
	}
	for _, s := range samples {
		if s.Running >= t.cfg.WarmUp {
			t.observe(s, measured, counts[s.Key])
		}
	}
	return true
}

// observe adds one of n samples of a key, which together weigh as one measurement.
func (t *Table) observe(s Sample, measured time.Time, n int) {
	e := t.entry(s.Key)
	if !e.measuredAt.Equal(measured) {
		e.measurements++
		e.measuredAt = measured
	}
	// The first measurements weigh more, so that none of them alone sets the estimate.
	weight := max(smoothing, 1/float64(e.measurements)) / float64(n)
	if s.ThrottlePct >= 100 {
		e.cpu.add(float64(s.Use.MilliCPU), weight)
	}
	e.memory.add(float64(s.Use.MemoryMB), weight)
}

// entry returns the entry of a key, marked as the most recently updated one. A new
// entry evicts the least recently updated one from a full table.
func (t *Table) entry(key Key) *entry {
	if element, ok := t.entries[key]; ok {
		t.recent.MoveToFront(element)
		return element.Value.(*entry)
	}
	if t.recent.Len() >= t.cfg.MaxEntries {
		oldest := t.recent.Back()
		delete(t.entries, t.recent.Remove(oldest).(*entry).key)
	}
	e := &entry{key: key}
	t.entries[key] = t.recent.PushFront(e)
	return e
}

// Expect returns the estimate for a task that declares the given resources.
// Accelerators are allocated exclusively, so their number is always the declared one.
func (t *Table) Expect(key Key, declared resources.Resources) Estimate {
	element, ok := t.entries[key]
	if !ok {
		return Estimate{Use: declared}
	}
	e := element.Value.(*entry)
	if e.measurements < t.cfg.MinMeasurements || t.cfg.Clock.Since(e.measuredAt) > t.cfg.MaxAge {
		return Estimate{Use: declared}
	}
	cpu, cpuMargin := e.cpu.expect(declared.MilliCPU)
	memory, memoryMargin := e.memory.expect(declared.MemoryMB)
	return Estimate{
		Known:  true,
		Use:    resources.Resources{MilliCPU: cpu, MemoryMB: memory, Accelerators: declared.Accelerators},
		Margin: resources.Resources{MilliCPU: cpuMargin, MemoryMB: memoryMargin},
	}
}

// Len returns the number of keys in the table.
func (t *Table) Len() int { return t.recent.Len() }

type average struct {
	seen         bool
	mean         float64
	meanAbsError float64
}

func (a *average) add(x, weight float64) {
	if !a.seen {
		a.seen, a.mean = true, x
		return
	}
	a.meanAbsError += weight * (math.Abs(x-a.mean) - a.meanAbsError)
	a.mean += weight * (x - a.mean)
}

// expect returns the average and its margin, or the declared value without samples.
func (a *average) expect(declared int64) (use, margin int64) {
	if !a.seen {
		return declared, 0
	}
	margin = int64(math.Ceil(max(marginFactor*a.meanAbsError, minMarginShare*a.mean)))
	return int64(math.Ceil(a.mean)), margin
}
