package jobstore

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"time"

	"camphorhead.example/camphorhead/process/platform"
)

// A refusal record occupies the key of a job that an entry refuses, or that was cancelled before it was
// recorded, so that an earlier create which the store executes late fails. It refuses each submission that
// arrived before it; a later one replaces it. For the leader and for lookups there is no such job.

// The values of refusal records are msgpack maps. Only these bytes are one, because a newer version may
// give a record with more fields another meaning.
var (
	// untimedRefusal is the value that earlier versions wrote: "refused" is the form 1.
	untimedRefusal = []byte("\x81\xa7refused\x01")
	// timedRefusal precedes the time of the refusal in 8 bytes: "refused" is the form 2, "at" the Unix time
	// in milliseconds by the clock of the entry.
	timedRefusal = []byte("\x82\xa7refused\x02\xa2at\xd3")
)

func refusalAt(at time.Time) []byte {
	return binary.BigEndian.AppendUint64(bytes.Clone(timedRefusal), uint64(at.UnixMilli()))
}

// parseRefusal reports whether a value is that of a refusal record; at is zero if it has no time.
func parseRefusal(value []byte) (at time.Time, ok bool) {
	if bytes.Equal(value, untimedRefusal) {
		return time.Time{}, true
	}
	ms, ok := bytes.CutPrefix(value, timedRefusal)
	if !ok || len(ms) != 8 {
		return time.Time{}, false
	}
	return time.UnixMilli(int64(binary.BigEndian.Uint64(ms))), true
}

const (
	// MaxCreateTime is how long an entry may repeat the create of one submission. The users' platform
	// waits for at most a minute.
	MaxCreateTime = time.Minute
	// refusalRetention is how long a refusal record is kept after a leader has found it: until no create
	// of a submission from before it can be executed any more, whose time another clock has measured.
	// The margin is above the 4% by which clock rates may differ.
	refusalRetention = MaxCreateTime + platform.LateCallWindow + 5*time.Second
	// wallClockSlack is added to refusalRetention where the age is that by the time in the record: the time
	// of day differs between hosts, and may jump by seconds. So the age of a record is bounded although
	// leaders change more often than once in refusalRetention.
	wallClockSlack = 30 * time.Second
	// maxRefuseAttempts bounds the transactions of one refusal. Each follows a conflict with the
	// refusal of another submission of the id, or with the removal of one.
	maxRefuseAttempts = 3
	// maxRefusals bounds the refusal records that a writer remembers; the next leader finds the others.
	maxRefusals = 1 << 15
	// refusalsPerPurge is the limit of one transaction: each needs an expectation and a deletion.
	refusalsPerPurge = (platform.MaxTxnEntries - 1) / 2
)

// Refuse records the refusal of a job at a time and returns its revision. refused is false if the key
// contains another record or may contain one. After platform.ErrUncertain the refusal record may exist or
// appear later, unless the key is taken first.
func (s *Jobs) Refuse(ctx context.Context, id string, at time.Time) (revision uint64, refused bool, err error) {
	key, expected := jobKey(id), uint64(0)
	for range maxRefuseAttempts {
		revision, err = s.store.Commit(ctx, platform.Txn{
			Expect: []platform.Expectation{{Key: key, Revision: expected}},
			Puts:   []platform.Put{{Key: key, Value: refusalAt(at)}},
		})
		if err == nil {
			return revision, true, nil
		}
		var conflict *platform.ConflictError
		if !errors.As(err, &conflict) || len(conflict.Items) == 0 {
			return 0, false, err
		}
		item := conflict.Items[0]
		if _, isRefusal := parseRefusal(item.Value); item.Revision != 0 && !isRefusal {
			return 0, false, nil
		}
		// An earlier refusal is written again: a submission that has seen it may replace it late.
		expected = item.Revision
	}
	return 0, false, nil
}

// refusal is a refusal record that the leader has found.
type refusal struct {
	revision uint64
	at       time.Time // in the record; zero: it has none
	foundAt  time.Time // time of the first PurgeRefusals after it was found; zero: none yet
}

// isDue reports whether the record may be deleted.
func (r *refusal) isDue(now time.Time) bool {
	byRecord := !r.at.IsZero() && now.Sub(r.at) >= refusalRetention+wallClockSlack
	return byRecord || now.Sub(r.foundAt) >= refusalRetention
}

func (w *Writer) recordRefusal(id string, revision uint64, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r, known := w.refusals[id]; known && r.revision >= revision || !known && len(w.refusals) >= maxRefusals {
		return
	}
	w.refusals[id] = refusal{revision: revision, at: at}
}

// dropRefusal forgets a refusal record that was replaced or deleted.
func (w *Writer) dropRefusal(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.refusals, id)
}

// PurgeRefusals deletes some of the refusal records that were found longer than refusalRetention ago, or
// by their time are older than that by wallClockSlack, unless they have been replaced, and returns how many
// it tried. It fails with platform.ErrConflict if
// another term has begun.
func (w *Writer) PurgeRefusals(ctx context.Context, now time.Time) (tried int, err error) {
	t := platform.Txn{Expect: []platform.Expectation{{Key: w.fence.Key, Revision: w.fence.Revision}}}
	due := w.dueRefusals(now)
	if len(due) == 0 {
		return 0, nil
	}
	for id, revision := range due {
		t.Expect = append(t.Expect, platform.Expectation{Key: jobKey(id), Revision: revision})
		t.Deletes = append(t.Deletes, jobKey(id))
	}
	_, err = w.store.Commit(ctx, t)
	current := map[string]uint64{} // of keys that were not deleted
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		for _, item := range conflict.Items {
			current[item.Key] = item.Revision
		}
		if current[w.fence.Key] != w.fence.Revision {
			return 0, err
		}
		err = nil
	}
	if err != nil {
		return 0, err // a later purge tries again
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, revision := range due {
		if w.refusals[id].revision == revision && current[jobKey(id)] != revision {
			delete(w.refusals, id)
		}
	}
	return len(due), nil
}

// dueRefusals returns the revisions of up to refusalsPerPurge refusal records that may be deleted.
func (w *Writer) dueRefusals(now time.Time) map[string]uint64 {
	due := map[string]uint64{}
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, r := range w.refusals {
		if r.foundAt.IsZero() {
			r.foundAt = now
			w.refusals[id] = r
		}
		if r.isDue(now) && len(due) < refusalsPerPurge {
			due[id] = r.revision
		}
	}
	return due
}
