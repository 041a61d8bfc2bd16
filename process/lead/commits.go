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
	"camphorhead.example/camphorhead/process/term"
)

// commit writes what has changed, with a beat when one is due.
func (l *leading) commit() {
	if !l.loaded.Load() {
		return
	}
	now := l.node.cfg.Clock.Now()
	dirty := l.table.Dirty()
	l.mu.Lock()
	beatDue := now.Sub(l.mu.lastCommit) >= l.node.cfg.Timing.Silence/beatsPerSilence
	spaced := now.Sub(l.mu.lastCommit) >= l.node.cfg.Timing.Commit
	open := l.mu.open != nil
	l.mu.Unlock()
	if !spaced && (dirty < backlog || open) {
		return
	}
	agentsChanged := l.table.Unregistered()
	if open || beatDue || agentsChanged || dirty > 0 || l.table.Unconfirmed() {
		l.once(&l.committing, l.write)
	}
}

// write carries out transactions until little is left to write.
func (l *leading) write(ctx context.Context) {
	for l.transact(ctx) && l.table.Dirty() >= backlog && ctx.Err() == nil && l.node.leading.Load() == l {
	}
}

// transact carries out one transaction, or one more attempt at an open one. It
// reports whether the store has confirmed it.
func (l *leading) transact(ctx context.Context) (confirmed bool) {
	ctx, cancel := context.WithTimeout(ctx, l.node.cfg.Timing.Call)
	defer cancel()
	now := l.node.cfg.Clock.Now()
	l.mu.Lock()
	open := l.mu.open
	l.mu.lastCommit = now
	l.mu.Unlock()
	if open == nil {
		var err error
		if open, err = l.plan(); err != nil {
			l.node.cfg.Log.Emit(event.InternalError, "component", "records", "error", err)
			return false
		}
	}
	err := l.writer.Write(ctx, open.batch)
	l.node.reach.note(err)
	l.conclude(now, open, err)
	return err == nil
}

func (l *leading) plan() (*openBatch, error) {
	agents, changed := l.table.TakeAgents()
	l.mu.Lock()
	beatRevision, agentsRev := l.mu.beatRevision, l.mu.agentsRev
	l.mu.Unlock()
	open := &openBatch{beat: l.beat.Load() + 1}
	open.resigns = l.resigning.Load()
	extra, err := term.BeatPut(term.Beat{Term: l.number, Number: open.beat, Resigned: open.resigns}, beatRevision)
	if err != nil {
		return nil, err
	}
	if changed {
		value, err := msgpack.Marshal(agents)
		if err != nil {
			return nil, err
		}
		open.agents = agents
		extra.Expect = append(extra.Expect, platform.Expectation{Key: agentsKey, Revision: agentsRev})
		extra.Puts = append(extra.Puts, platform.Put{Key: agentsKey, Value: value})
	}
	records := l.table.TakeRecords(recordsPerCommit)
	open.batch, err = l.writer.Plan(records, extra)
	if err != nil {
		l.table.Failed(records)
		return nil, err
	}
	l.table.Failed(open.batch.Rest)
	return open, nil
}

// conclude takes in the outcome of a transaction.
func (l *leading) conclude(sent time.Time, open *openBatch, err error) {
	now := l.node.cfg.Clock.Now()
	l.node.cfg.Metrics.Observe(metrics.StoreCommit, now.Sub(sent))
	switch {
	case err == nil:
		l.succeeded(sent, open)
	case errors.Is(err, jobstore.ErrDeposed):
		l.node.stepDown(l, "another entry has begun a term")
	case errors.Is(err, platform.ErrUnavailable):
		// Nothing was written, unless an earlier attempt was.
		l.failed(now, open, err, false)
	case errors.Is(err, platform.ErrConflict):
		l.failed(now, open, err, false)
		l.refreshOwnKeys()
	default:
		l.failed(now, open, err, true)
	}
}

func (l *leading) succeeded(sent time.Time, open *openBatch) {
	l.table.Committed(open.batch.Records)
	l.table.Confirm(sent)
	if open.agents != nil {
		l.table.NoteRegistered(open.agents)
	}
	l.beat.Store(open.beat)
	l.mu.Lock()
	outage := time.Duration(0)
	if !l.mu.failingSince.IsZero() {
		outage = l.node.cfg.Clock.Since(l.mu.failingSince)
	}
	l.mu.beatRevision = open.batch.RevisionOf(term.BeatKey)
	if open.agents != nil {
		l.mu.agentsRev = open.batch.RevisionOf(agentsKey)
	}
	l.mu.open, l.mu.failingSince = nil, time.Time{}
	l.mu.lastSuccess = l.node.cfg.Clock.Now()
	l.mu.validUntil = sent.Add(l.node.cfg.Timing.Outage)
	l.mu.Unlock()
	if open.resigns {
		l.node.yield(l)
		return
	}
	if outage > 0 {
		l.node.cfg.Log.Emit(event.StoreAvailable, "outage_ms", outage.Milliseconds())
	}
	l.dispatch()
	l.sendUpdates(false)
}

// failed keeps or takes back a transaction that was not confirmed.
func (l *leading) failed(now time.Time, open *openBatch, err error, uncertain bool) {
	l.mu.Lock()
	first := l.mu.failingSince.IsZero()
	if first {
		l.mu.failingSince = now
	}
	keep := uncertain || l.mu.open != nil
	if keep && !errors.Is(err, platform.ErrConflict) {
		l.mu.open = open
	} else {
		l.mu.open = nil
	}
	kept := l.mu.open != nil
	l.mu.Unlock()
	if !kept {
		l.table.Failed(open.batch.Records)
	}
	if first {
		l.node.cfg.Log.Emit(event.StoreUnavailable, "operation", "commit", "error", err)
	}
}

// refreshOwnKeys reads the revisions of the leader's own keys after a conflict.
func (l *leading) refreshOwnKeys() {
	ctx, cancel := context.WithTimeout(context.Background(), l.node.cfg.Timing.Call)
	defer cancel()
	items, _, err := l.node.cfg.Store.List(ctx, "leader/")
	if err != nil {
		return // the next attempt meets the same conflict and asks again
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, kv := range items {
		switch kv.Key {
		case term.BeatKey:
			l.mu.beatRevision = kv.Revision
		case agentsKey:
			l.mu.agentsRev = kv.Revision
		}
	}
}

// StoreAnswers reports whether the store has confirmed what this entry last wrote
// as the leader; true on other entries.
func (n *Node) StoreAnswers() bool {
	l := n.leadingLoaded()
	if l == nil {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mu.failingSince.IsZero()
}
