package agent

import (
	"sync/atomic"
	"time"
)

const (
	// initialServiceTime is the estimate before the first sample.
	initialServiceTime = 5 * time.Millisecond
	// smoothingDivisor is the inverse of the weight of a new sample.
	smoothingDivisor = 16
	// serviceTimeHalfLife is the time without samples in which an estimate halves.
	serviceTimeHalfLife = time.Second
)

// serviceTime is the smoothed time that a check occupies a slot of a target. Without
// samples it decays to the initial value: a target that was slow or frozen for a while
// gets no checks, and only checks could show that it has recovered. The two fields are
// accessed one after the other; a concurrent sample counts as one a moment later.
type serviceTime struct {
	meanUs      atomic.Int64
	sampledAtMs atomic.Int64 // unix milliseconds; 0: no sample yet
}

// addSample adds the time of one check that the target has completed.
func (s *serviceTime) addSample(now time.Time, elapsed time.Duration) {
	old, _ := s.value(now)
	s.meanUs.Store(old.Microseconds() + (elapsed-old).Microseconds()/smoothingDivisor)
	s.sampledAtMs.Store(now.UnixMilli())
}

// value returns the estimate; measured is false if there is no sample yet.
func (s *serviceTime) value(now time.Time) (estimate time.Duration, measured bool) {
	at := s.sampledAtMs.Load()
	if at == 0 {
		return initialServiceTime, false
	}
	estimate = time.Duration(s.meanUs.Load()) * time.Microsecond
	idle := max(now.UnixMilli()-at, 0)
	halvings := min(idle/serviceTimeHalfLife.Milliseconds(), 32)
	return max(estimate>>halvings, min(estimate, initialServiceTime)), true
}
