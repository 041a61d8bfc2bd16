package agent

import (
	"sync/atomic"
	"time"
)

const (
	// initialServiceTime is the estimate before the first answer of a target.
	initialServiceTime = 5 * time.Millisecond
	// smoothing is the inverse weight of one sample in the service time.
	smoothing = 16
	// serviceTimeHalfLife is the time without answers in which an estimate halves.
	serviceTimeHalfLife = time.Second
)

// serviceTime is the smoothed time that a check holds a slot of a target. Without
// answers it falls back towards the initial value: a target that was slow or
// frozen for a while gets no checks, which alone could show that it has recovered.
// The two values are read one after the other; a sample in between is as good as
// one a moment later.
type serviceTime struct {
	us       atomic.Int64
	sampleAt atomic.Int64 // unix milliseconds; 0: nothing was answered
}

// sample takes in the time of one check that was answered.
func (s *serviceTime) sample(now time.Time, took time.Duration) {
	old, _ := s.value(now)
	s.us.Store(old.Microseconds() + (took-old).Microseconds()/smoothing)
	s.sampleAt.Store(now.UnixMilli())
}

// value returns the estimate, and whether it was measured.
func (s *serviceTime) value(now time.Time) (estimate time.Duration, measured bool) {
	at := s.sampleAt.Load()
	if at == 0 {
		return initialServiceTime, false
	}
	estimate = time.Duration(s.us.Load()) * time.Microsecond
	idle := max(now.UnixMilli()-at, 0)
	halves := min(idle/serviceTimeHalfLife.Milliseconds(), 32)
	return max(estimate>>halves, min(estimate, initialServiceTime)), true
}
