// Package configlog keeps the configuration in the platform's store.
//
// The key config/head holds the newest version and its latest deltas; a change
// is accepted exactly when its compare-and-swap of the head took effect. The
// key config/snapshot holds the document at an earlier version, from which the
// deltas of the head lead to the newest one.
package configlog

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/zeebo/errs"

	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/request/outcome"
	"camphorhead.example/camphorhead/version/holder"
	"camphorhead.example/camphorhead/version/profile"
)

// The keys in the store.
const (
	Prefix      = "config/"
	headKey     = Prefix + "head"
	snapshotKey = Prefix + "snapshot"
)

const (
	// maxDeltas is the number of deltas in the head after which a snapshot is
	// written; keptDeltas is how many remain.
	maxDeltas  = 64
	keptDeltas = 32
	// settleInterval is the pause between attempts to settle a lost answer.
	settleInterval = 100 * time.Millisecond
	maxAttempts    = 50
)

// head is the value of the head key.
type head struct {
	Version uint64          `msgpack:"v"`
	Deltas  []profile.Delta `msgpack:"d"`
}

// Log reads and changes the configuration in the store. All methods may be
// called from any goroutine; no lock may be held.
type Log struct {
	store  platform.Store
	holder *holder.Holder
	clock  clockwork.Clock
}

// New returns a log that puts what it reads in force in h.
func New(store platform.Store, h *holder.Holder, clock clockwork.Clock) *Log {
	return &Log{store: store, holder: h, clock: clock}
}

// Refresh reads the head, puts the newest version in force and returns the
// store's revision of it.
func (l *Log) Refresh(ctx context.Context) (revision uint64, err error) {
	_, revision, err = l.read(ctx)
	return revision, err
}

// Watch waits until the head changes after a revision, or for a time. It
// returns the revision to go on from. A history that is gone is no error: the
// caller refreshes in any case.
func (l *Log) Watch(ctx context.Context, after uint64, wait time.Duration) (uint64, error) {
	_, next, err := l.store.Changes(ctx, headKey, after, wait)
	if errs.Is(err, platform.ErrCompacted) {
		return 0, nil
	}
	return next, err
}

// put writes one key if its revision is the expected one.
func (l *Log) put(ctx context.Context, key string, value []byte, revision uint64) error {
	_, err := l.store.Commit(ctx, platform.Txn{
		Expect: []platform.Expectation{{Key: key, Revision: revision}},
		Puts:   []platform.Put{{Key: key, Value: value}},
	})
	return err
}

// Change builds a delta on the newest document and writes it. build is called
// again when another change came first; its error ends the call, and nothing
// was changed then. The returned delta is accepted and durable.
func (l *Log) Change(ctx context.Context, by string, build func(*profile.Document) (profile.Delta, error)) (profile.Delta, error) {
	for range maxAttempts {
		h, revision, err := l.read(ctx)
		if err != nil {
			return profile.Delta{}, storeFailure(err)
		}
		doc := l.holder.Document()
		if doc.Version != h.Version {
			continue // another goroutine has put a newer version in force
		}
		delta, err := build(doc)
		if err != nil {
			return profile.Delta{}, err
		}
		delta.Version = h.Version + 1
		delta.ID, delta.By, delta.AtMs = uuid.NewString(), by, l.clock.Now().UnixMilli()
		accepted, err := l.write(ctx, doc, h, revision, delta)
		if err != nil {
			return profile.Delta{}, err
		}
		if accepted {
			l.holder.Apply([]profile.Delta{delta})
			return delta, nil
		}
	}
	return profile.Delta{}, outcome.New(outcome.Conflict, "too many concurrent changes")
}

// write swaps the head. It reports false when another change came first.
func (l *Log) write(ctx context.Context, doc *profile.Document, h head, revision uint64, delta profile.Delta) (bool, error) {
	next := head{Version: delta.Version, Deltas: append(append([]profile.Delta(nil), h.Deltas...), delta)}
	if len(next.Deltas) > maxDeltas {
		if err := l.writeSnapshot(ctx, doc); err != nil {
			return false, storeFailure(err)
		}
		next.Deltas = next.Deltas[len(next.Deltas)-keptDeltas:]
	}
	value, err := msgpack.Marshal(next)
	if err != nil {
		return false, errs.Wrap(err)
	}
	err = l.put(ctx, headKey, value, revision)
	switch {
	case err == nil:
		return true, nil
	case errs.Is(err, platform.ErrConflict):
		return false, nil
	case errs.Is(err, platform.ErrUncertain):
		return l.settle(ctx, value, revision, delta)
	}
	return false, storeFailure(err)
}

// settle finds out whether a swap without an answer took effect. While the
// head is unchanged it repeats the same swap with the same bytes.
func (l *Log) settle(ctx context.Context, value []byte, revision uint64, delta profile.Delta) (bool, error) {
	for {
		if err := l.pause(ctx); err != nil {
			return false, outcome.New(outcome.StoreUncertain, "the store gave no answer; the change may be in force")
		}
		h, now, err := l.readHead(ctx)
		if err != nil {
			continue
		}
		if now != revision {
			return h.contains(delta.ID), nil
		}
		if l.put(ctx, headKey, value, revision) == nil {
			return true, nil
		}
	}
}

func (h head) contains(id string) bool {
	for _, d := range h.Deltas {
		if d.ID == id {
			return true
		}
	}
	return false
}

func (l *Log) pause(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-l.clock.After(settleInterval):
		return nil
	}
}

// read reads the head and puts its version in force.
func (l *Log) read(ctx context.Context) (head, uint64, error) {
	h, revision, err := l.readHead(ctx)
	if err != nil {
		return head{}, 0, err
	}
	if len(h.Deltas) > 0 && h.Deltas[0].Version > l.holder.Document().Version+1 {
		if err := l.readSnapshot(ctx); err != nil {
			return head{}, 0, err
		}
	}
	l.holder.Apply(h.Deltas)
	if l.holder.Document().Version == h.Version {
		l.holder.Confirm()
	}
	return h, revision, nil
}

func (l *Log) readHead(ctx context.Context) (head, uint64, error) {
	kv, err := l.store.Read(ctx, headKey)
	if err != nil || kv.Revision == 0 {
		return head{}, 0, err
	}
	var h head
	if err := msgpack.Unmarshal(kv.Value, &h); err != nil {
		return head{}, 0, errs.New("config/head: %w", err)
	}
	return h, kv.Revision, nil
}

func (l *Log) readSnapshot(ctx context.Context) error {
	kv, err := l.store.Read(ctx, snapshotKey)
	if err != nil {
		return err
	}
	var doc profile.Document
	if err := msgpack.Unmarshal(kv.Value, &doc); err != nil {
		return errs.New("config/snapshot: %w", err)
	}
	l.holder.Replace(&doc)
	return nil
}

// writeSnapshot writes the document unless the stored one is as new.
func (l *Log) writeSnapshot(ctx context.Context, doc *profile.Document) error {
	kv, err := l.store.Read(ctx, snapshotKey)
	if err != nil {
		return err
	}
	if kv.Revision > 0 {
		var stored profile.Document
		if err := msgpack.Unmarshal(kv.Value, &stored); err == nil && stored.Version >= doc.Version {
			return nil
		}
	}
	value, err := msgpack.Marshal(doc)
	if err != nil {
		return errs.Wrap(err)
	}
	return l.put(ctx, snapshotKey, value, kv.Revision)
}

// storeFailure says that nothing was changed.
func storeFailure(err error) error {
	return outcome.New(outcome.StoreUnavailable, err.Error())
}
