package jobstore

import (
	"context"
	"errors"
	"strings"
	"time"

	"camphorhead.example/camphorhead/connection/body"
	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/request/outcome"
)

// checkPrefix is the key prefix of the records of checks that run at most once. The
// entry that sends a check writes its record; the leader only deletes old ones.
const checkPrefix = "check/"

func checkKey(id string) string { return checkPrefix + id }

// StoredCheck is the record of a check in the store.
type StoredCheck struct {
	Record job.Record `msgpack:"r"`
	// Attempt is the id of the request that has claimed the check and may send it.
	Attempt  string `msgpack:"a"`
	Revision uint64 `msgpack:"-"` // of the key; 0: not written yet
}

// Checks reads and writes the records of checks in the store, from any goroutine.
type Checks struct {
	store platform.Store
}

func NewChecks(store platform.Store) *Checks { return &Checks{store: store} }

// Claim records that an attempt is about to send a check. claimed is false if another
// attempt has recorded it before; a check that is known not to have run is claimed again.
// After platform.ErrUncertain the record may exist or appear later.
func (c *Checks) Claim(ctx context.Context, r job.Record, attempt string) (stored StoredCheck, claimed bool, err error) {
	stored = StoredCheck{Record: r, Attempt: attempt}
	stored, claimed, err = c.compareAndSwap(ctx, stored)
	if err != nil || claimed || stored.Record.InputHash != r.InputHash || !stored.Record.NotRun() {
		return stored, claimed, err
	}
	stored.Record.Reopen(r.AcceptedMs)
	stored.Attempt = attempt
	return c.compareAndSwap(ctx, stored)
}

// Finish records the outcome of a claimed check and returns the stored record. If that
// has an outcome already, it stays unchanged.
func (c *Checks) Finish(ctx context.Context, stored StoredCheck, result []byte, failure *outcome.Error, nowMs int64) (StoredCheck, error) {
	if !stored.Record.Finish(result, failure, nowMs) {
		return stored, nil
	}
	stored, _, err := c.compareAndSwap(ctx, stored)
	return stored, err
}

func (c *Checks) Lookup(ctx context.Context, id string) (stored StoredCheck, found bool, err error) {
	kv, err := c.store.Read(ctx, checkKey(id))
	if err != nil || kv.Revision == 0 {
		return StoredCheck{}, false, err
	}
	stored, err = decodeCheck(kv)
	return stored, err == nil, err
}

// compareAndSwap writes a record if its key still has the record's revision. Else it
// returns the record in the store; ok is true if an earlier copy of this call wrote it,
// that is, if attempt, state and incarnation are the same.
func (c *Checks) compareAndSwap(ctx context.Context, stored StoredCheck) (current StoredCheck, ok bool, err error) {
	value, err := encode(&stored)
	if err != nil {
		return stored, false, err
	}
	key := checkKey(stored.Record.ID)
	revision, err := c.store.Commit(ctx, platform.Txn{
		Expect: []platform.Expectation{{Key: key, Revision: stored.Revision}},
		Puts:   []platform.Put{{Key: key, Value: value}},
	})
	if err == nil {
		stored.Revision = revision
		return stored, true, nil
	}
	var conflict *platform.ConflictError
	if !errors.As(err, &conflict) || len(conflict.Items) == 0 {
		return stored, false, err
	}
	item := conflict.Items[0]
	if item.Revision == 0 {
		return stored, false, Class.New("writing the record of check %s: it was deleted: %w", stored.Record.ID, platform.ErrConflict)
	}
	if current, err = decodeCheck(item); err != nil {
		return stored, false, err
	}
	same := current.Attempt == stored.Attempt && current.Record.State == stored.Record.State && current.Record.Incarnation == stored.Record.Incarnation
	return current, same, nil
}

func decodeCheck(kv platform.KV) (StoredCheck, error) {
	var stored StoredCheck
	if err := body.Unmarshal(kv.Value, &stored); err != nil {
		return StoredCheck{}, Class.Wrap(err)
	}
	stored.Revision = kv.Revision
	return stored, nil
}

// OldChecks returns the ids of checks that were accepted before a time. It skips records
// that cannot be decoded.
func (w *Writer) OldChecks(ctx context.Context, before time.Time) (ids []string, err error) {
	items, _, err := w.store.List(ctx, checkPrefix)
	if err != nil {
		return nil, err
	}
	for _, kv := range items {
		stored, err := decodeCheck(kv)
		if err == nil && stored.Record.AcceptedMs < before.UnixMilli() {
			ids = append(ids, strings.TrimPrefix(kv.Key, checkPrefix))
		}
	}
	return ids, nil
}

// PurgeChecks deletes the records of up to MaxPurge checks, with the errors of Purge.
func (w *Writer) PurgeChecks(ctx context.Context, ids []string) error {
	t := platform.Txn{Expect: []platform.Expectation{{Key: w.fence.Key, Revision: w.fence.Revision}}}
	for _, id := range ids {
		t.Deletes = append(t.Deletes, checkKey(id))
	}
	_, err := w.store.Commit(ctx, t)
	return err
}
