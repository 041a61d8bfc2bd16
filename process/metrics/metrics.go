// Package metrics holds the counters, gauges and histograms of one process and
// exports them in the Prometheus text format.
//
// There is no global registry, because tests and the demo run several entries and
// agents in one operating system process.
package metrics

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"camphorhead.example/camphorhead/process/lockrank"
)

// Registry holds the metrics of one entry or agent. Any goroutine may use it.
type Registry struct {
	values [numIDs]valueSet
}

// valueSet holds the values of one metric, by the way they are set.
type valueSet struct {
	unlabeled atomic.Int64                    // counter without a label
	series    sync.Map                        // label to *atomic.Int64 or *histogram
	collect   atomic.Pointer[func() []Sample] // exported in place of unlabeled
}

// Sample is a value that a registered function returns at each export.
type Sample struct {
	Label string
	Value float64
}

// Up returns the sample of a dependency: 1 if it responds, else 0.
func Up(dependency string, responds bool) Sample {
	if responds {
		return Sample{dependency, 1}
	}
	return Sample{dependency, 0}
}

// New returns an empty registry.
func New() *Registry { return &Registry{} }

// Add adds delta to a counter without a label.
func (r *Registry) Add(id ID, delta int64) { r.values[id].unlabeled.Add(delta) }

// AddFor adds delta to a counter with a label.
func (r *Registry) AddFor(id ID, label string, delta int64) {
	found, ok := r.values[id].series.Load(label)
	if !ok {
		found, _ = r.values[id].series.LoadOrStore(label, new(atomic.Int64))
	}
	found.(*atomic.Int64).Add(delta)
}

// Value returns the sum of a counter over its labels.
func (r *Registry) Value(id ID) int64 {
	sum := r.values[id].unlabeled.Load()
	r.values[id].series.Range(func(_, v any) bool {
		if n, ok := v.(*atomic.Int64); ok {
			sum += n.Load()
		}
		return true
	})
	return sum
}

// ValueFor returns a counter's value for one label.
func (r *Registry) ValueFor(id ID, label string) int64 {
	if v, ok := r.values[id].series.Load(label); ok {
		return v.(*atomic.Int64).Load()
	}
	return 0
}

// RegisterFunc sets the function that returns the values of a metric at each export.
func (r *Registry) RegisterFunc(id ID, collect func() []Sample) { r.values[id].collect.Store(&collect) }

// RegisterValueFunc is RegisterFunc for a metric without a label.
func (r *Registry) RegisterValueFunc(id ID, value func() float64) {
	r.RegisterFunc(id, func() []Sample { return []Sample{{Value: value()}} })
}

// Observe records a duration in a histogram without a label.
func (r *Registry) Observe(id ID, d time.Duration) { r.ObserveFor(id, "", d) }

// ObserveFor records a duration in a histogram with a label.
func (r *Registry) ObserveFor(id ID, label string, d time.Duration) {
	r.histogram(id, label).record(d.Microseconds())
}

// ObserveRatio records a ratio in a histogram without a label.
func (r *Registry) ObserveRatio(id ID, ratio float64) {
	r.histogram(id, "").record(int64(ratio * microsPerUnit))
}

// Quantile returns a quantile, in percent, of a histogram of durations; 0 if it is empty.
func (r *Registry) Quantile(id ID, label string, quantile float64) time.Duration {
	return r.histogram(id, label).quantile(quantile)
}

func (r *Registry) histogram(id ID, label string) *histogram {
	found, ok := r.values[id].series.Load(label)
	if !ok {
		found, _ = r.values[id].series.LoadOrStore(label, newHistogram())
	}
	return found.(*histogram)
}

const (
	// microsPerUnit converts between recorded millionths and the exported unit.
	microsPerUnit   = 1e6
	histogramMax    = 600 * microsPerUnit
	histogramDigits = 2
)

// histogram counts durations in microseconds, or ratios in millionths.
type histogram struct {
	mu     lockrank.Mutex // guards the fields below
	counts *hdrhistogram.Histogram
	sum    int64
}

func newHistogram() *histogram {
	return &histogram{
		mu:     lockrank.NewMutex(lockrank.RankMetrics),
		counts: hdrhistogram.New(1, histogramMax, histogramDigits),
	}
}

func (h *histogram) record(value int64) {
	value = min(max(value, 1), histogramMax)
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.counts.RecordValue(value) // cannot fail: value is within the range
	h.sum += value
}

func (h *histogram) quantile(quantile float64) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Duration(h.counts.ValueAtQuantile(quantile)) * time.Microsecond
}
