package lead

import (
	"context"
	"time"

	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/process/metrics"
	"camphorhead.example/camphorhead/process/term"
)

func (n *Node) executeStep(ctx context.Context, step term.Step) {
	bounded, cancel := context.WithTimeout(ctx, n.cfg.Timing.CallTimeout)
	defer cancel()
	if step == term.ReadStore {
		n.readTerm(bounded)
		return
	}
	n.claiming.Store(true)
	defer n.claiming.Store(false)
	if n.draining.Load() {
		return
	}
	n.mu.Lock()
	began := n.cfg.Clock.Now()
	view, followed := n.elector.View(), n.elector.Followed()
	n.mu.Unlock()
	// The view is the one that was read last, so that a term which another entry has just
	// begun is not claimed again.
	next, err := term.Claim(bounded, n.cfg.Store, view, n.cfg.Self(), followed)
	if err != nil {
		n.cfg.Log.Emit(event.TermNotBegun, "term", view.Term+1, "error", err)
		n.readTerm(ctx)
		return
	}
	n.beginTerm(ctx, view, next, followed, began)
}

// readTerm reads the term from the store, adjusts the claim delay to the store's latency, and ends an older
// term that is led here.
func (n *Node) readTerm(ctx context.Context) {
	began := n.cfg.Clock.Now()
	view, err := term.Read(ctx, n.cfg.Store)
	n.breaker.record(err)
	now := n.cfg.Clock.Now()
	n.mu.Lock()
	if err == nil {
		n.elector.SetClaimDelay(n.cfg.Timing.ClaimDelay + time.Duration(n.cfg.Timing.StoreLatencyFactor)*min(now.Sub(began), maxStoreLatency))
	}
	previous, followed := n.elector.View(), n.elector.Followed()
	if err != nil {
		n.elector.RecordReadFailure(now)
	} else {
		n.elector.RecordView(now, view)
	}
	n.mu.Unlock()
	switch {
	case err != nil:
		n.cfg.Metrics.Add(metrics.StoreReadsFailed, 1)
	case view.Term > previous.Term && view.HeldBy(n.cfg.Self()) && n.ownTerm.Load() == nil && !n.draining.Load():
		// This process's own claim had taken effect without a response.
		n.beginTerm(ctx, previous, view, followed, began)
	case view.Term > previous.Term && view.Unreadable:
		n.cfg.Log.Emit(event.RecordUnreadable, "subject", term.Key)
	case view.Term > previous.Term:
		n.logLeader(view, "store")
	}
	if l := n.ownTerm.Load(); err == nil && l != nil && l.number < view.Term {
		n.stepDown(l, "another entry has begun a term")
	}
}

func (n *Node) logLeader(view term.View, source string) {
	n.cfg.Log.Emit(event.LeaderKnown, "term", view.Term, "entry", view.Holder.ID, "address", view.Holder.Address, "source", source)
}

// beginTerm leads the term of view, which this process has claimed, or steps down if the jobs
// cannot be loaded. previous is the view before the claim, and followed is
// set if this process followed its leader; newestAt is a time at or before which
// the store was called that has shown view as the newest one. Nothing happens if another entry
// has begun a newer term since then.
func (n *Node) beginTerm(ctx context.Context, previous, view term.View, followed bool, newestAt time.Time) {
	l := newLeaderTerm(n, previous, view, followed, newestAt)
	n.mu.Lock()
	superseded := n.elector.Term() > view.Term
	if !superseded {
		n.elector.RecordView(n.cfg.Clock.Now(), view)
		n.leader = nil
		// From now on this process replies as the leader, so that no other entry considers the
		// term ended while the jobs are loaded.
		n.ownTerm.Store(l)
	}
	n.mu.Unlock()
	if superseded {
		n.cfg.Log.Emit(event.TermNotBegun, "term", view.Term, "error", "another entry has begun a newer term")
		return
	}
	l.announce()
	if err := l.load(ctx); err != nil {
		n.cfg.Log.Emit(event.TermNotBegun, "term", view.Term, "error", err)
		n.stepDown(l, "jobs could not be read")
		return // another entry, or this one, begins the next term
	}
	l.loaded.Store(true)
}

// resignIsolated steps down and leaves the next term to others for Timing.LeaderTimeout.
func (n *Node) resignIsolated(l *leaderTerm) {
	n.stepDown(l, "isolated from entries and agents")
	n.mu.Lock()
	defer n.mu.Unlock()
	n.elector.SuspendClaims(n.cfg.Clock.Now().Add(n.cfg.Timing.LeaderTimeout))
}

// stepDown ends the term l and reports true if this process still leads it.
func (n *Node) stepDown(l *leaderTerm, reason string) bool {
	if !n.ownTerm.CompareAndSwap(l, nil) {
		return false
	}
	n.leaderReady.Store(false)
	n.cfg.Log.Emit(event.TermEnded, "term", l.number, "reason", reason)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.elector.RecordTermEnd(n.cfg.Clock.Now(), l.number)
	return true
}
