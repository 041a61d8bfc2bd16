// Package metrics holds the counters, gauges and histograms of one process and
// writes them in the text format that common tools read.
//
// A registry belongs to one process's role: tests and the demo run several in one
// operating system process.
package metrics

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"camphorhead.example/camphorhead/process/lockrank"
)

// Registry holds the metrics of one process.
type Registry struct {
	values [numIDs]values
}

// values are those of one metric.
type values struct {
	plain  atomic.Int64
	series sync.Map // label to *atomic.Int64 or *histogram
	read   atomic.Pointer[func() []Sample]
}

// Sample is a value that is read when the metrics are.
type Sample struct {
	Label string
	Value float64
}

// Up is the sample of a dependency: 1 while it answers.
func Up(dependency string, answers bool) Sample {
	if answers {
		return Sample{dependency, 1}
	}
	return Sample{dependency, 0}
}

// New returns an empty registry.
func New() *Registry { return &Registry{} }

// Add adds delta to a counter.
func (r *Registry) Add(id ID, delta int64) { r.values[id].plain.Add(delta) }

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
	sum := r.values[id].plain.Load()
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

// Read sets how the values of a metric are read when the metrics are.
func (r *Registry) Read(id ID, read func() []Sample) { r.values[id].read.Store(&read) }

// ReadOne is Read for a metric without a label.
func (r *Registry) ReadOne(id ID, read func() float64) {
	r.Read(id, func() []Sample { return []Sample{{Value: read()}} })
}

// Observe records a duration in a histogram.
func (r *Registry) Observe(id ID, d time.Duration) { r.ObserveFor(id, "", d) }

// ObserveFor records a duration in a histogram with a label.
func (r *Registry) ObserveFor(id ID, label string, d time.Duration) {
	r.histogram(id, label).record(d.Microseconds())
}

// ObserveRatio records a ratio in a histogram.
func (r *Registry) ObserveRatio(id ID, ratio float64) {
	r.histogram(id, "").record(int64(ratio * microsPerUnit))
}

// Quantile returns a quantile (0 to 100) of a histogram of durations.
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
	// microsPerUnit relates what histograms count, millionths, to what they export.
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
	_ = h.counts.RecordValue(value) // it is within the range
	h.sum += value
}

func (h *histogram) quantile(quantile float64) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Duration(h.counts.ValueAtQuantile(quantile)) * time.Microsecond
}
