// Package configlog keeps the configuration in the platform's store.
//
// The key config/head contains the newest version number and the latest deltas; a change
// is accepted if and only if its compare-and-swap of the head took effect. The key
// config/snapshot contains the document at an earlier version, from which the deltas of
// the head lead to the newest one.
package configlog

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/zeebo/errs"

	"camphorhead.example/camphorhead/connection/body"
	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/request/outcome"
	"camphorhead.example/camphorhead/version/holder"
	"camphorhead.example/camphorhead/version/profile"
)

// Keys in the store.
const (
	Prefix      = "config/"
	headKey     = Prefix + "head"
	snapshotKey = Prefix + "snapshot"
)

const (
	// A head with more than maxDeltas deltas is trimmed to the latest keptDeltas, after a
	// snapshot is written.
	maxDeltas  = 64
	keptDeltas = 32
	// resolveInterval is the pause between attempts to resolve a write without a response.
	resolveInterval = 100 * time.Millisecond
	maxAttempts     = 50 // of one call of Change
)

type head struct {
	Version uint64          `msgpack:"v"`
	Deltas  []profile.Delta `msgpack:"d"`
}

// storedHead is the head as read from the store. Its zero value is that of an empty store.
type storedHead struct {
	head
	revision uint64 // of the key
	position uint64 // the store's revision at the read, from which Watch misses no change
}

// Log reads and changes the configuration in the store. All methods may be called from any
// goroutine that holds no lock.
type Log struct {
	store  platform.Store
	holder *holder.Holder
	clock  clockwork.Clock
}

// New returns a log that puts the versions that it reads in force in h.
func New(store platform.Store, h *holder.Holder, clock clockwork.Clock) *Log {
	return &Log{store: store, holder: h, clock: clock}
}

// Refresh reads the head, puts its version in force and returns the store's revision at the read.
func (l *Log) Refresh(ctx context.Context) (position uint64, err error) {
	h, err := l.applyHead(ctx)
	return h.position, err
}

// Watch waits up to wait for a change of the head after a revision, and returns the
// revision for the next call. It returns 0 if the store no longer has that history, which
// is no error because the caller calls Refresh in any case.
func (l *Log) Watch(ctx context.Context, after uint64, wait time.Duration) (uint64, error) {
	_, next, err := l.store.Changes(ctx, headKey, after, wait)
	if errs.Is(err, platform.ErrCompacted) {
		return 0, nil
	}
	return next, err
}

// compareAndSwap writes one key if it has the given revision; 0: it does not exist.
func (l *Log) compareAndSwap(ctx context.Context, key string, value []byte, revision uint64) error {
	_, err := l.store.Commit(ctx, platform.Txn{
		Expect: []platform.Expectation{{Key: key, Revision: revision}},
		Puts:   []platform.Put{{Key: key, Value: value}},
	})
	return err
}

// Change calls build with the newest document and writes the delta that it returns. build
// is called again if another change was accepted first; its error ends the call without a
// change. The returned delta is durable and in force. Errors of the store are of kind
// StoreUnavailable or Conflict if nothing was changed, else StoreUncertain.
func (l *Log) Change(ctx context.Context, by string, build func(*profile.Document) (profile.Delta, error)) (profile.Delta, error) {
	for range maxAttempts {
		h, err := l.applyHead(ctx)
		if err != nil {
			return profile.Delta{}, storeUnavailable(err)
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
		accepted, err := l.swapHead(ctx, doc, h, delta)
		if err != nil {
			return profile.Delta{}, err
		}
		if accepted {
			l.holder.Apply([]profile.Delta{delta})
			return delta, nil
		}
	}
	return profile.Delta{}, outcome.New(outcome.Conflict, "too many concurrent changes of the configuration")
}

// swapHead adds a delta to the head. It returns false if another change was accepted first.
func (l *Log) swapHead(ctx context.Context, doc *profile.Document, h storedHead, delta profile.Delta) (bool, error) {
	next := head{Version: delta.Version, Deltas: append(append([]profile.Delta(nil), h.Deltas...), delta)}
	if len(next.Deltas) > maxDeltas {
		if err := l.writeSnapshot(ctx, doc); err != nil {
			return false, storeUnavailable(err)
		}
		next.Deltas = next.Deltas[len(next.Deltas)-keptDeltas:]
	}
	value, err := msgpack.Marshal(next)
	if err != nil {
		return false, errs.Wrap(err)
	}
	err = l.compareAndSwap(ctx, headKey, value, h.revision)
	switch {
	case err == nil:
		return true, nil
	case errs.Is(err, platform.ErrConflict):
		return false, nil
	case errs.Is(err, platform.ErrUncertain):
		return l.resolveUncertain(ctx, value, h.revision, delta)
	}
	return false, storeUnavailable(err)
}

// resolveUncertain finds out whether a swap of the head without a response took effect, and
// repeats it with the same bytes while the head is unchanged. It ends with ctx, with an
// error of kind StoreUncertain.
func (l *Log) resolveUncertain(ctx context.Context, value []byte, revision uint64, delta profile.Delta) (bool, error) {
	for {
		if err := l.pause(ctx); err != nil {
			return false, outcome.New(outcome.StoreUncertain, "the store did not respond; the change may have taken effect")
		}
		h, err := l.readHead(ctx)
		if err != nil {
			continue
		}
		if h.revision != revision {
			return h.contains(delta.ID), nil
		}
		if l.compareAndSwap(ctx, headKey, value, revision) == nil {
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
	case <-l.clock.After(resolveInterval):
		return nil
	}
}

// applyHead reads the head, puts its version in force and returns it.
func (l *Log) applyHead(ctx context.Context) (storedHead, error) {
	h, err := l.readHead(ctx)
	if err != nil {
		return storedHead{}, err
	}
	if len(h.Deltas) > 0 && h.Deltas[0].Version > l.holder.Document().Version+1 {
		if err := l.readSnapshot(ctx); err != nil {
			return storedHead{}, err
		}
	}
	l.holder.Apply(h.Deltas)
	if l.holder.Document().Version == h.Version {
		l.holder.Confirm()
	}
	return h, nil
}

func (l *Log) readHead(ctx context.Context) (storedHead, error) {
	kv, position, err := l.store.ReadAt(ctx, headKey)
	if err != nil || kv.Revision == 0 {
		return storedHead{position: position}, err
	}
	h := storedHead{revision: kv.Revision, position: position}
	if err := body.Unmarshal(kv.Value, &h.head); err != nil {
		return storedHead{}, errs.New("decoding config/head: %w", err)
	}
	return h, nil
}

func (l *Log) readSnapshot(ctx context.Context) error {
	kv, err := l.store.Read(ctx, snapshotKey)
	if err != nil {
		return err
	}
	var doc profile.Document
	if err := body.Unmarshal(kv.Value, &doc); err != nil {
		return errs.New("decoding config/snapshot: %w", err)
	}
	l.holder.Replace(&doc)
	return nil
}

// writeSnapshot writes the document unless the stored one has the same or a newer version.
func (l *Log) writeSnapshot(ctx context.Context, doc *profile.Document) error {
	kv, err := l.store.Read(ctx, snapshotKey)
	if err != nil {
		return err
	}
	if kv.Revision > 0 {
		var stored profile.Document
		if err := body.Unmarshal(kv.Value, &stored); err == nil && stored.Version >= doc.Version {
			return nil
		}
	}
	value, err := msgpack.Marshal(doc)
	if err != nil {
		return errs.Wrap(err)
	}
	return l.compareAndSwap(ctx, snapshotKey, value, kv.Revision)
}

// storeUnavailable returns the error for a change that failed without effect.
func storeUnavailable(err error) error {
	return outcome.New(outcome.StoreUnavailable, err.Error())
}
