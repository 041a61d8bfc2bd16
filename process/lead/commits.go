package lead

import (
	"context"
	"errors"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/process/jobstore"
	"camphorhead.example/camphorhead/process/metrics"
	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/process/schedule"
	"camphorhead.example/camphorhead/process/term"
)

// commit starts a write on the store pool if there is anything to write. Transactions keep
// Timing.CommitInterval between them, unless a backlog waits and none is pending.
func (l *leaderTerm) commit() {
	if !l.loaded.Load() {
		return
	}
	now := l.node.cfg.Clock.Now()
	dirty := l.table.DirtyCount()
	l.mu.Lock()
	heartbeatDue := now.Sub(l.mu.lastCommit) >= l.node.cfg.Timing.LeaderTimeout/heartbeatsPerTimeout
	intervalPassed := now.Sub(l.mu.lastCommit) >= l.node.cfg.Timing.CommitInterval
	isPending, storeServes := l.mu.pending != nil, l.mu.failingSince.IsZero()
	l.mu.Unlock()
	if !intervalPassed && (dirty < backlogThreshold || isPending) {
		return
	}
	agentsChanged := l.table.AgentLeasesChanged(now, storeServes)
	if isPending || heartbeatDue || agentsChanged || dirty > 0 || l.table.NeedsTermConfirmation() {
		l.submitOnce(&l.committing, l.write)
	}
}

// write commits transactions until no backlog is left or one is not confirmed.
func (l *leaderTerm) write(ctx context.Context) {
	for l.transact(ctx) && l.table.DirtyCount() >= backlogThreshold && ctx.Err() == nil && l.node.ownTerm.Load() == l {
	}
}

// transact commits one transaction, or tries the pending one again.
func (l *leaderTerm) transact(ctx context.Context) (confirmed bool) {
	ctx, cancel := context.WithTimeout(ctx, l.node.cfg.Timing.CallTimeout)
	defer cancel()
	now := l.node.cfg.Clock.Now()
	l.mu.Lock()
	pending := l.mu.pending
	l.mu.lastCommit = now
	l.mu.Unlock()
	if pending == nil {
		var err error
		if pending, err = l.plan(); err != nil {
			l.node.cfg.Log.Emit(event.InternalError, "component", "records", "error", err)
			return false
		}
	}
	err := l.writer.Write(ctx, pending.batch)
	l.node.breaker.record(err)
	l.conclude(now, pending, err)
	return err == nil
}

// plan builds the next transaction. Records that do not fit stay dirty.
func (l *leaderTerm) plan() (*pendingBatch, error) {
	pending := &pendingBatch{heartbeat: l.heartbeat.Load() + 1, resigns: l.resigning.Load()}
	closing := pending.resigns || l.closing.Load()
	if closing {
		l.table.Close()
	}
	l.mu.Lock()
	heartbeatRevision, agentsRevision := l.mu.heartbeatRevision, l.mu.agentsRevision
	storeServes := l.mu.failingSince.IsZero()
	l.mu.Unlock()
	agents, changed := l.table.TakeAgentLeases(l.node.cfg.Clock.Now(), storeServes)
	extra, err := term.HeartbeatTxn(term.Heartbeat{
		Term: l.number, Number: pending.heartbeat, Resigned: closing,
	}, heartbeatRevision)
	if err != nil {
		return nil, err
	}
	if changed {
		value, err := msgpack.Marshal(agents)
		if err != nil {
			return nil, err
		}
		pending.agents = &agents
		extra.Expect = append(extra.Expect, platform.Expectation{Key: agentsKey, Revision: agentsRevision})
		extra.Puts = append(extra.Puts, platform.Put{Key: agentsKey, Value: value})
	}
	records := l.table.TakeRecords(recordsPerCommit)
	pending.batch, err = l.writer.Plan(records, extra)
	if err != nil {
		l.table.ReturnRecords(records)
		return nil, err
	}
	l.table.ReturnRecords(pending.batch.Rest)
	return pending, nil
}

func (l *leaderTerm) conclude(sent time.Time, pending *pendingBatch, err error) {
	now := l.node.cfg.Clock.Now()
	l.node.cfg.Metrics.Observe(metrics.StoreCommit, now.Sub(sent))
	switch {
	case err == nil:
		l.commitSucceeded(sent, pending)
	case errors.Is(err, jobstore.ErrFenced):
		l.node.stepDown(l, "another entry has begun a term")
	case errors.Is(err, platform.ErrUnavailable):
		// This attempt wrote nothing; an earlier one of a pending batch may have.
		l.commitFailed(now, pending, err, false)
	case errors.Is(err, platform.ErrConflict):
		l.commitFailed(now, pending, err, false)
		l.refreshOwnKeys()
	default:
		l.commitFailed(now, pending, err, true)
	}
}

// commitSucceeded applies a confirmed transaction. The right to grant leases counts from sent,
// because the store confirmed the term then or later. A resignation ends the term.
func (l *leaderTerm) commitSucceeded(sent time.Time, pending *pendingBatch) {
	l.table.MarkCommitted(pending.batch.Records)
	l.table.ConfirmTerm(sent, schedule.ConfirmedByStore)
	if pending.agents != nil {
		l.table.SetRegistered(*pending.agents)
	}
	l.heartbeat.Store(pending.heartbeat)
	l.node.admissions.observeRevision(pending.batch.RevisionOf(term.HeartbeatKey))
	l.mu.Lock()
	outage := time.Duration(0)
	if !l.mu.failingSince.IsZero() {
		outage = l.node.cfg.Clock.Since(l.mu.failingSince)
	}
	l.mu.heartbeatRevision = pending.batch.RevisionOf(term.HeartbeatKey)
	if pending.agents != nil {
		l.mu.agentsRevision = pending.batch.RevisionOf(agentsKey)
	}
	l.mu.pending, l.mu.failingSince = nil, time.Time{}
	l.mu.lastSuccess = l.node.cfg.Clock.Now()
	l.mu.validUntil = sent.Add(l.node.cfg.Timing.Outage)
	l.mu.Unlock()
	if pending.resigns {
		l.node.resignIsolated(l)
		return
	}
	if outage > 0 {
		l.node.cfg.Log.Emit(event.StoreAvailable, "outage_ms", outage.Milliseconds())
	}
	l.dispatch()
	l.sendUpdates(false)
}

// commitFailed keeps a transaction pending that may have taken effect, in this or an earlier
// attempt, to try it again unchanged. Otherwise, and after a conflict, its records become
// dirty again.
func (l *leaderTerm) commitFailed(now time.Time, pending *pendingBatch, err error, uncertain bool) {
	l.mu.Lock()
	firstFailure := l.mu.failingSince.IsZero()
	if firstFailure {
		l.mu.failingSince = now
	}
	keep := uncertain || l.mu.pending != nil
	if keep && !errors.Is(err, platform.ErrConflict) {
		l.mu.pending = pending
	} else {
		l.mu.pending = nil
	}
	kept := l.mu.pending != nil
	l.mu.Unlock()
	if !kept {
		l.table.ReturnRecords(pending.batch.Records)
	}
	if firstFailure {
		l.node.cfg.Log.Emit(event.StoreUnavailable, "operation", "commit", "error", err)
	}
}

// refreshOwnKeys reads the revisions of the leader's own keys after a conflict.
func (l *leaderTerm) refreshOwnKeys() {
	ctx, cancel := context.WithTimeout(context.Background(), l.node.cfg.Timing.CallTimeout)
	defer cancel()
	items, _, err := l.node.cfg.Store.List(ctx, "leader/")
	if err != nil {
		return // the next attempt meets the same conflict and reads again
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, kv := range items {
		switch kv.Key {
		case term.HeartbeatKey:
			l.mu.heartbeatRevision = kv.Revision
		case agentsKey:
			l.mu.agentsRevision = kv.Revision
		}
	}
}

// StoreResponds reports whether the store has confirmed the last transaction that this
// entry committed as the leader; true on entries that do not lead or still load the jobs.
func (n *Node) StoreResponds() bool {
	l := n.loadedTerm()
	if l == nil {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mu.failingSince.IsZero()
}
