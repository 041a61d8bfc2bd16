package interference

import (
	"math"
	"slices"
	"time"
)

const (
	// recentHalfLife is the half-life of the samples in the current service time.
	recentHalfLife = 2 * time.Second
	// batchFreeHalfLife is the half-life, in time without batch tasks, of the samples
	// taken then.
	batchFreeHalfLife = time.Minute
	// batchFreeMaxAge is how long the mean of these samples is used without a new one.
	batchFreeMaxAge = 6 * time.Hour
	// minRecent and minBatchFree are the least samples for a mean; the standard error of
	// the mean of 64 exponentially distributed times is an eighth of it.
	minRecent    = 16
	minBatchFree = 64
	// Samples taken beside batch tasks are collected in buckets of at least bucketCount
	// samples over at least bucketTime. The latest maxBuckets are kept; fewer than
	// minBuckets give no baseline.
	bucketTime  = 10 * time.Second
	bucketCount = 256
	maxBuckets  = 60
	minBuckets  = 3
	// lowQuantile selects a bucket with little interference. The lowest one is an outlier
	// and would give a baseline that is too low.
	lowQuantile = 0.1
)

// Baseline tracks the service time of one target and the service time without batch
// tasks: the mean of the samples taken while no task ran or, where tasks run all the
// time, a low quantile of the means of recent buckets. The zero value is ready to use.
// It is not safe for concurrent use: the lock of its owner guards it.
type Baseline struct {
	recent      mean
	updatedAt   time.Time
	batchFree   mean
	batchFreeAt time.Time
	bucket      mean
	bucketSince time.Time // start of bucket
	buckets     []float64 // mean service times in nanoseconds, the oldest first
}

// mean is an exponentially decaying mean of durations in nanoseconds.
type mean struct{ sum, count float64 }

func (m *mean) decay(elapsed, halfLife time.Duration) {
	keep := math.Exp2(-float64(elapsed) / float64(halfLife))
	m.sum *= keep
	m.count *= keep
}

func (m *mean) add(sum time.Duration, count int) {
	m.sum += float64(sum)
	m.count += float64(count)
}

// value returns the mean, or 0 if fewer than minCount samples remain.
func (m mean) value(minCount float64) float64 {
	if m.count < minCount {
		return 0
	}
	return m.sum / m.count
}

// Observe adds the samples since the previous call; batchFree is set if no batch task
// ran in that time. The agent calls it once per measurement of its worker.
func (b *Baseline) Observe(now time.Time, sum time.Duration, count int, batchFree bool) {
	elapsed := now.Sub(b.updatedAt)
	if b.updatedAt.IsZero() {
		elapsed = 0
	}
	b.updatedAt = now
	b.recent.decay(elapsed, recentHalfLife)
	b.recent.add(sum, count)
	if batchFree {
		b.batchFree.decay(elapsed, batchFreeHalfLife)
		b.batchFree.add(sum, count)
		b.batchFreeAt = now
		return
	}
	b.addToBucket(now, sum, count)
}

func (b *Baseline) addToBucket(now time.Time, sum time.Duration, count int) {
	if b.bucket.count == 0 {
		b.bucketSince = now
	}
	b.bucket.add(sum, count)
	if b.bucket.count < bucketCount || now.Sub(b.bucketSince) < bucketTime {
		return
	}
	if len(b.buckets) == maxBuckets {
		b.buckets = b.buckets[1:]
	}
	b.buckets = append(b.buckets, b.bucket.value(bucketCount))
	b.bucket = mean{}
}

// ResetRecent drops the samples of the current service time, so that only samples
// taken after an action show its effect.
func (b *Baseline) ResetRecent() { b.recent = mean{} }

// Ratio returns the current service time relative to the baseline, or 0 while either
// is unknown.
func (b *Baseline) Ratio() float64 {
	base := b.base()
	if base == 0 {
		return 0
	}
	return b.recent.value(minRecent) / base
}

// base returns the baseline in nanoseconds; 0 if unknown.
func (b *Baseline) base() float64 {
	if batchFree := b.batchFree.value(minBatchFree); batchFree > 0 && b.updatedAt.Sub(b.batchFreeAt) < batchFreeMaxAge {
		return batchFree
	}
	if len(b.buckets) < minBuckets {
		return 0
	}
	sorted := slices.Sorted(slices.Values(b.buckets))
	return sorted[int(lowQuantile*float64(len(sorted)))]
}
