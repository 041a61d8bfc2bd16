package store

import (
	"context"
	"slices"
	"time"

	"github.com/zeebo/errs"

	"camphorhead.example/camphorhead/process/platform"
)

// Counts is the number of calls by kind, refused ones included. A list counts as one
// read, and so does a call for changes that does not wait.
type Counts struct {
	Reads, Writes, Watches uint64
}

func (c Counts) Total() uint64 { return c.Reads + c.Writes + c.Watches }

// Sub returns the calls made after the earlier counts o.
func (c Counts) Sub(o Counts) Counts {
	return Counts{c.Reads - o.Reads, c.Writes - o.Writes, c.Watches - o.Watches}
}

// Write is one change of a key: a put, or a delete if Deleted is set.
type Write struct {
	Key        string
	Revision   uint64
	At         time.Time
	ValueBytes int
	Deleted    bool
}

// callKind selects the field of Counts for a call.
type callKind int

const (
	read callKind = iota
	write
	watch
)

func (s *Store) Calls() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// History returns all changes since the start, oldest first; Compact keeps them.
func (s *Store) History() []Write {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.history)
}

// SetDown makes all calls, also waiting watches, fail with ErrUnavailable (503) while set.
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

// SetDelay delays the effect of every call by d.
func (s *Store) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// SetLostResponses makes the next n commits that succeed return platform.ErrUncertain
// although they take effect; over HTTP their connections close without a response.
func (s *Store) SetLostResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lostResponses = n
}

// SetHang blocks all calls while hang is set. Calls over HTTP take effect afterwards even if
// their clients have timed out; calls in the process fail when their context ends.
func (s *Store) SetHang(hang bool) { s.hang.SetClosed(hang) }

// beginCall counts a call and applies the injected faults that precede its effect.
func (s *Store) beginCall(ctx context.Context, k callKind) error {
	delay, err := s.countCall(k)
	if err != nil {
		return err
	}
	if err := s.hang.Wait(ctx); err != nil {
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

// countCall counts a call and returns its delay; it fails while the store is down.
func (s *Store) countCall(k callKind) (time.Duration, error) {
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
