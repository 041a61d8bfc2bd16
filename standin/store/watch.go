package store

import (
	"context"
	"strings"
	"time"

	"camphorhead.example/camphorhead/process/platform"
)

// watcher is one waiting call. wake is closed at its first change, or when it has to fail.
type watcher struct {
	prefix string
	wake   chan struct{}
}

// Changes implements platform.Store.
func (s *Store) Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]platform.Change, uint64, error) {
	k := watch
	if wait <= 0 {
		k = read
	}
	if err := s.beginCall(ctx, k); err != nil {
		return nil, after, err
	}
	w := s.register(prefix, after)
	timer := s.clock.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-w.wake:
	case <-timer.Chan():
	case <-ctx.Done():
	}
	if err := s.hang.Wait(ctx); err != nil {
		return nil, after, err
	}
	return s.collectChanges(w, after)
}

// register adds a watcher, woken at once if there are later changes, after was compacted, or the
// store has gone down since the call began.
func (s *Store) register(prefix string, after uint64) *watcher {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := &watcher{prefix: prefix, wake: make(chan struct{})}
	s.watchers[w] = struct{}{}
	if s.down || after < s.compacted || len(s.changesAfter(prefix, after)) > 0 {
		s.wake(w)
	}
	return w
}

// collectChanges removes a watcher and returns the result of its call.
func (s *Store) collectChanges(w *watcher, after uint64) ([]platform.Change, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.watchers, w)
	switch {
	case s.down:
		return nil, after, platform.ErrUnavailable
	case after < s.compacted:
		return nil, after, platform.ErrCompacted
	}
	return s.changesAfter(w.prefix, after), max(s.revision, after), nil
}

// changesAfter returns the changes of a prefix after a revision. The caller holds the lock.
func (s *Store) changesAfter(prefix string, revision uint64) []platform.Change {
	var list []platform.Change
	for i := len(s.log) - 1; i >= 0 && s.log[i].Revision > revision; i-- {
		if strings.HasPrefix(s.log[i].Key, prefix) {
			list = append(list, s.log[i])
		}
	}
	for i, j := 0, len(list)-1; i < j; i, j = i+1, j-1 {
		list[i], list[j] = list[j], list[i]
	}
	return list
}

// recordChange records one change and wakes its watchers. The caller holds the lock.
func (s *Store) recordChange(c platform.Change) {
	s.log = append(s.log, c)
	s.history = append(s.history, Write{
		Key: c.Key, Revision: c.Revision, At: s.clock.Now(), ValueBytes: len(c.Value), Deleted: c.Deleted,
	})
	for w := range s.watchers {
		if strings.HasPrefix(c.Key, w.prefix) {
			s.wake(w)
		}
	}
}

// Compact makes Changes after any earlier revision fail with platform.ErrCompacted.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log, s.compacted = nil, s.revision
}

// wake removes a watcher and closes its wake channel. The caller holds the lock.
func (s *Store) wake(w *watcher) {
	delete(s.watchers, w)
	close(w.wake)
}
