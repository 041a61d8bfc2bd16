package metrics

import (
	"bytes"
	"cmp"
	"slices"
	"sync/atomic"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"google.golang.org/protobuf/proto"
)

// ContentType is the media type of the output of Text.
const ContentType = string(expfmt.FmtText)

// bucketBounds are the upper bounds of the exported buckets, in seconds or as ratios.
var bucketBounds = []float64{
	0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 1.5, 2.5, 5, 10, 25, 50, 100, 600,
}

// Text returns all metrics that have a value, in the Prometheus text format.
func (r *Registry) Text() []byte {
	var out bytes.Buffer
	for id := range numIDs {
		family := r.family(id)
		if len(family.Metric) == 0 {
			continue
		}
		// Writing to a buffer fails only for a family without metrics.
		_, _ = expfmt.MetricFamilyToText(&out, family)
	}
	return out.Bytes()
}

func (r *Registry) family(id ID) *dto.MetricFamily {
	d := &catalogue[id]
	family := &dto.MetricFamily{Name: proto.String(d.ExportedName()), Help: proto.String(d.Help)}
	switch d.Kind {
	case Counter:
		family.Type = dto.MetricType_COUNTER.Enum()
	case Gauge:
		family.Type = dto.MetricType_GAUGE.Enum()
	case Histogram:
		family.Type = dto.MetricType_HISTOGRAM.Enum()
	}
	v := &r.values[id]
	if collect := v.collect.Load(); collect != nil {
		for _, s := range (*collect)() {
			family.Metric = append(family.Metric, d.newScalar(s.Label, s.Value))
		}
	} else if n := v.unlabeled.Load(); n != 0 {
		family.Metric = append(family.Metric, d.newScalar("", float64(n)))
	}
	v.series.Range(func(label, value any) bool {
		switch value := value.(type) {
		case *atomic.Int64:
			family.Metric = append(family.Metric, d.newScalar(label.(string), d.scaled(value.Load())))
		case *histogram:
			family.Metric = append(family.Metric, &dto.Metric{Label: d.labels(label.(string)), Histogram: value.export()})
		}
		return true
	})
	slices.SortFunc(family.Metric, func(a, b *dto.Metric) int { return cmp.Compare(labelOf(a), labelOf(b)) })
	return family
}

// scaled converts a count to the exported unit: core seconds are counted in thousandths.
func (d *Definition) scaled(n int64) float64 {
	if d.Unit == "core_seconds" {
		return float64(n) / 1000
	}
	return float64(n)
}

func (d *Definition) newScalar(label string, value float64) *dto.Metric {
	m := &dto.Metric{Label: d.labels(label)}
	if d.Kind == Counter {
		m.Counter = &dto.Counter{Value: proto.Float64(value)}
	} else {
		m.Gauge = &dto.Gauge{Value: proto.Float64(value)}
	}
	return m
}

func (d *Definition) labels(label string) []*dto.LabelPair {
	if d.Label == "" {
		return nil
	}
	return []*dto.LabelPair{{Name: proto.String(d.Label), Value: proto.String(label)}}
}

func labelOf(m *dto.Metric) string {
	if len(m.Label) == 0 {
		return ""
	}
	return m.Label[0].GetValue()
}

// export returns the cumulative counts at bucketBounds.
func (h *histogram) export() *dto.Histogram {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := &dto.Histogram{
		SampleCount: proto.Uint64(uint64(h.counts.TotalCount())), SampleSum: proto.Float64(float64(h.sum) / microsPerUnit),
	}
	buckets := h.counts.Distribution() // in ascending order of value
	count, next := uint64(0), 0
	for _, bound := range bucketBounds {
		for next < len(buckets) && float64(buckets[next].From) <= bound*microsPerUnit {
			count += uint64(buckets[next].Count)
			next++
		}
		out.Bucket = append(out.Bucket, &dto.Bucket{UpperBound: proto.Float64(bound), CumulativeCount: proto.Uint64(count)})
	}
	return out
}
