package jobstore

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/request/outcome"
)

// checkPrefix is the prefix of the records of checks that run at most once. The
// entry that sends a check writes its record; the leader only deletes old ones.
const checkPrefix = "check/"

func checkKey(id string) string { return checkPrefix + id }

// StoredCheck is the record of a check.
type StoredCheck struct {
	Record job.Record `msgpack:"r"`
	// Attempt names the request that may send the check.
	Attempt  string `msgpack:"a"`
	Revision uint64 `msgpack:"-"`
}

// Checks is the part of the store that holds the records of checks.
type Checks struct {
	store platform.Store
}

// NewChecks returns the checks of a store.
func NewChecks(store platform.Store) *Checks { return &Checks{store: store} }

// Claim records that an attempt is about to send a check. mine is false when
// another attempt has recorded it before; a check that provably did not run is
// claimed again. After platform.ErrUncertain the record may exist, now or later.
func (c *Checks) Claim(ctx context.Context, r job.Record, attempt string) (stored StoredCheck, mine bool, err error) {
	stored = StoredCheck{Record: r, Attempt: attempt}
	stored, mine, err = c.swap(ctx, stored)
	if err != nil || mine || stored.Record.InputHash != r.InputHash || !stored.Record.NotRun() {
		return stored, mine, err
	}
	stored.Record.Reopen(r.AcceptedMs)
	stored.Attempt = attempt
	return c.swap(ctx, stored)
}

// Finish records the outcome of a claimed check. It changes nothing if the
// record has another outcome by now.
func (c *Checks) Finish(ctx context.Context, stored StoredCheck, result []byte, failure *outcome.Error, nowMs int64) (StoredCheck, error) {
	if !stored.Record.Finish(result, failure, nowMs) {
		return stored, nil
	}
	stored, _, err := c.swap(ctx, stored)
	return stored, err
}

// Lookup returns the record of a check.
func (c *Checks) Lookup(ctx context.Context, id string) (stored StoredCheck, found bool, err error) {
	kv, err := c.store.Read(ctx, checkKey(id))
	if err != nil || kv.Revision == 0 {
		return StoredCheck{}, false, err
	}
	stored, err = decodeCheck(kv)
	return stored, err == nil, err
}

// swap writes a record if its key has the revision that it was read with. Else
// it returns what is there; ok is true if that is this very record.
func (c *Checks) swap(ctx context.Context, stored StoredCheck) (now StoredCheck, ok bool, err error) {
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
		return stored, false, Class.New("record of check %s was deleted: %w", stored.Record.ID, platform.ErrConflict)
	}
	if now, err = decodeCheck(item); err != nil {
		return stored, false, err
	}
	mine := now.Attempt == stored.Attempt && now.Record.State == stored.Record.State && now.Record.Incarnation == stored.Record.Incarnation
	return now, mine, nil
}

func decodeCheck(kv platform.KV) (StoredCheck, error) {
	var stored StoredCheck
	if err := msgpack.Unmarshal(kv.Value, &stored); err != nil {
		return StoredCheck{}, Class.Wrap(err)
	}
	stored.Revision = kv.Revision
	return stored, nil
}

// OldChecks returns the keys of checks that were accepted before a time, as far
// as they can be read.
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

// PurgeChecks deletes records of checks, at most MaxPurge of them.
func (w *Writer) PurgeChecks(ctx context.Context, ids []string) error {
	t := platform.Txn{Expect: []platform.Expectation{{Key: w.fence.Key, Revision: w.fence.Revision}}}
	for _, id := range ids {
		t.Deletes = append(t.Deletes, checkKey(id))
	}
	_, err := w.store.Commit(ctx, t)
	return err
}
