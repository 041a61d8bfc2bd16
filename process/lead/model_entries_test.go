package lead

import (
	"context"
	"time"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/process/term"
)

// commitFault is what happens to the next transaction of a process.
type commitFault int

const (
	commitWorks commitFault = iota
	commitRefused
	commitUnanswered // takes effect, without a response
	commitLate       // takes effect later if its expectations hold then, without a response
)

// modelStore is the store as one process of the model reaches it.
type modelStore struct {
	*memoryStore
	cut   bool
	fault commitFault
	late  []platform.Txn // on their way; they outlive the process
}

func (s *modelStore) Read(ctx context.Context, key string) (platform.KV, error) {
	if s.cut {
		return platform.KV{}, platform.ErrUnavailable
	}
	return s.memoryStore.Read(ctx, key)
}

func (s *modelStore) ReadAt(ctx context.Context, key string) (platform.KV, uint64, error) {
	kv, err := s.Read(ctx, key)
	return kv, kv.Revision, err
}

func (s *modelStore) List(ctx context.Context, prefix string) ([]platform.KV, uint64, error) {
	if s.cut {
		return nil, 0, platform.ErrUnavailable
	}
	return s.memoryStore.List(ctx, prefix)
}

func (s *modelStore) Commit(ctx context.Context, txn platform.Txn) (uint64, error) {
	fault := s.fault
	s.fault = commitWorks
	switch {
	case s.cut || fault == commitRefused:
		return 0, platform.ErrUnavailable
	case fault == commitLate:
		s.late = append(s.late, txn)
		return 0, platform.ErrUncertain
	}
	revision, err := s.memoryStore.Commit(ctx, txn)
	if err == nil && fault == commitUnanswered {
		return 0, platform.ErrUncertain
	}
	return revision, err
}

func (s *modelStore) Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]platform.Change, uint64, error) {
	if s.cut {
		return nil, 0, platform.ErrUnavailable
	}
	return s.memoryStore.Changes(ctx, prefix, after, wait)
}

// modelEntry is an entry with its current process.
type modelEntry struct {
	id       string
	node     *Node // nil: the process has ended
	store    *modelStore
	paused   bool        // the process stands still
	follows  *leaderTerm // that has accepted this entry; nil: none
	isolated bool        // it follows nobody
	holdNext bool        // the next message by which it follows is held back
}

func (e *modelEntry) running() bool { return e.node != nil && !e.paused }

// term returns the term that the process leads and has loaded, even while it is paused.
func (e *modelEntry) term() *leaderTerm {
	if e.node == nil {
		return nil
	}
	return e.node.loadedTerm()
}

// readsTerm reads the store. The process may find that it holds the newest term.
func (e *modelEntry) readsTerm(ctx context.Context) {
	e.node.executeStep(ctx, term.ReadStore)
	e.forgetLeader()
}

func (e *modelEntry) forgetLeader() {
	if e.follows != nil && e.node.elector.Term() != e.follows.number {
		e.follows = nil
	}
}

// mayClaim reports whether the process may claim a term beside a process that believes it leads:
// that one counts it among the candidates, or no longer relies on its followers alone.
func (e *modelEntry) mayClaim(now time.Time, l *leaderTerm) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, known := l.mu.candidates[e.id]
	timing := &l.node.cfg.Timing
	return known && c.startedMs == e.node.cfg.Self().StartedMs ||
		!now.Before(l.mu.validUntil.Add(timing.followersAlone()-timing.Outage))
}

// confirmFollowing does what the stamps do that a follower returns.
func (e *modelEntry) confirmFollowing(now time.Time) {
	l := e.follows
	l.mu.Lock()
	defer l.mu.Unlock()
	if c, ok := l.mu.candidates[e.id]; ok && c.startedMs == e.node.cfg.Self().StartedMs {
		c.followedAt = now
		l.mu.candidates[e.id] = c
	}
}

// accept does what Node.handleFollow does, and reports whether the process leads.
func (e *modelEntry) accept(f *message.Follow) bool {
	l := e.node.ownTerm.Load()
	if l == nil {
		return false
	}
	l.addCandidate(f)
	l.recordFollower(f)
	return true
}
