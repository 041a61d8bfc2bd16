package store

import (
	"context"
	"slices"
	"time"

	"github.com/zeebo/errs"

	"camphorhead.example/camphorhead/process/platform"
)

// Counts is the number of calls by kind, refused ones included. A list counts as
// one read, and so does a question for changes that does not wait.
type Counts struct {
	Reads, Writes, Watches uint64
}

// Total returns the number of all calls.
func (c Counts) Total() uint64 { return c.Reads + c.Writes + c.Watches }

// Sub returns the calls between the earlier reading o and c.
func (c Counts) Sub(o Counts) Counts {
	return Counts{c.Reads - o.Reads, c.Writes - o.Writes, c.Watches - o.Watches}
}

// Write is one change of a key.
type Write struct {
	Key        string
	Revision   uint64
	At         time.Time
	ValueBytes int
	Deleted    bool
}

type kind int

const (
	read kind = iota
	write
	watch
)

// Calls returns the number of calls so far.
func (s *Store) Calls() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// History returns all changes in their order.
func (s *Store) History() []Write {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.history)
}

// SetDown makes every call fail at once with 503; waiting watches fail too.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	if !down {
		return
	}
	for w := range s.watchers {
		s.wake(w)
	}
}

// SetDelay holds every call back by d before it takes effect.
func (s *Store) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// SetLostAnswers applies the next n writes that succeed and closes their
// connections without an answer.
func (s *Store) SetLostAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost = n
}

// SetHang holds all calls until it is lifted; they take effect then, also when
// their callers have given up.
func (s *Store) SetHang(hang bool) { s.hang.Set(hang) }

// enter counts a call and applies the faults that precede its effect.
func (s *Store) enter(ctx context.Context, k kind) error {
	delay, err := s.count(k)
	if err != nil {
		return err
	}
	if err := s.hang.Pass(ctx); err != nil {
		return err
	}
	if delay <= 0 {
		return nil
	}
	timer := s.clock.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return nil
	case <-ctx.Done():
		return errs.Combine(platform.ErrUncertain, ctx.Err())
	}
}

func (s *Store) count(k kind) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch k {
	case read:
		s.calls.Reads++
	case write:
		s.calls.Writes++
	case watch:
		s.calls.Watches++
	}
	if s.down {
		return 0, platform.ErrUnavailable
	}
	return s.delay, nil
}
