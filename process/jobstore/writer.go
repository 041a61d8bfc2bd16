package jobstore

import (
	"bytes"
	"context"
	"errors"

	"camphorhead.example/camphorhead/process/lockrank"
	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/process/schedule"
)

// ErrFenced reports that another term has begun, so that this leader may no longer write.
var ErrFenced = Class.New("write refused: another term has begun")

// Fence is the key that identifies the current term, at the revision that this leader wrote.
type Fence struct {
	Key      string
	Revision uint64
}

// Writer reads jobs for the leader and writes their progress and final states. Its
// lifetime is one term. Calls of Write and Purge must not overlap; the other methods may be
// called from any goroutine.
type Writer struct {
	store platform.Store
	fence Fence

	mu       lockrank.Mutex // guards the fields below
	revs     map[string]revisions
	refusals map[string]refusal // by id of the job, at most maxRefusals
}

// revisions are the revisions of the keys of one job; 0: the key does not exist. deletedCancel is that of
// the cancellation that was deleted with the end of the job; 0: none was.
type revisions struct{ job, progress, cancel, deletedCancel uint64 }

// cancelled reports whether the record of the job is cancelled: a cancellation concerns the record that was
// under the ID when it was written, and none that has replaced it.
func (r *revisions) cancelled() bool { return r.cancel > r.job }

func NewWriter(store platform.Store, fence Fence) *Writer {
	return &Writer{
		store: store, fence: fence, mu: lockrank.NewMutex(lockrank.RankRecords),
		revs: map[string]revisions{}, refusals: map[string]refusal{},
	}
}

// RecordJobRevision records the revision of a job record that an entry created. It
// reports false if the same or a later revision is recorded already.
func (w *Writer) RecordJobRevision(id string, revision uint64) (newer bool) {
	w.updateRevisions(id, func(r *revisions) {
		newer = revision > r.job
		r.job = max(r.job, revision)
	})
	return newer
}

// RecordCancellation records that the store contains a cancellation of a job with a revision, and reports
// whether it concerns the record that is known. That may still be unknown, see Cancelled.
func (w *Writer) RecordCancellation(id string, revision uint64) (applies bool) {
	w.updateRevisions(id, func(r *revisions) {
		if revision > r.deletedCancel {
			r.cancel = max(r.cancel, revision)
		}
		applies = r.cancelled()
	})
	return applies
}

// Cancelled reports whether the store is known to contain a cancellation of the job's record.
func (w *Writer) Cancelled(id string) bool {
	revs := w.revisionsOf(id)
	return revs.cancelled()
}

func (w *Writer) updateRevisions(id string, f func(*revisions)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.revs[id]
	f(&r)
	w.revs[id] = r
}

func (w *Writer) recordProgressRevision(id string, revision uint64) {
	w.updateRevisions(id, func(r *revisions) { r.progress = revision })
}

func (w *Writer) revisionsOf(id string) revisions {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.revs[id]
}

// Fence returns the fence of the writer's term.
func (w *Writer) Fence() Fence { return w.fence }

// Batch is one transaction with the records that it makes durable.
type Batch struct {
	Records []schedule.Record
	Rest    []schedule.Record // did not fit into the transaction
	txn     platform.Txn
	// revisionOf is nil until Write has succeeded.
	revisionOf func(key string) uint64
}

// RevisionOf returns the revision of a written key. It panics unless Write has succeeded.
func (b *Batch) RevisionOf(key string) uint64 { return b.revisionOf(key) }

// maxEntriesPerRecord is the number of transaction entries of an ended job: two
// expectations, a write and two deletions.
const maxEntriesPerRecord = 5

// maxTxnBytes is the size of record values from which on a batch takes no further record.
const maxTxnBytes = 512 << 10

// Plan builds the transaction for as many of the records as fit; the others are in Rest.
// extra are expectations and writes of the leader's own keys, which it includes.
func (w *Writer) Plan(records []schedule.Record, extra platform.Txn) (*Batch, error) {
	b := &Batch{txn: extra}
	b.txn.Expect = append([]platform.Expectation{{Key: w.fence.Key, Revision: w.fence.Revision}}, extra.Expect...)
	size := 0
	for i, r := range records {
		if b.txn.Size()+maxEntriesPerRecord > platform.MaxTxnEntries || size >= maxTxnBytes {
			b.Rest = records[i:]
			break
		}
		if err := w.addRecord(&b.txn, r); err != nil {
			return nil, err
		}
		size += len(b.txn.Puts[len(b.txn.Puts)-1].Value)
		b.Records = append(b.Records, r)
	}
	return b, nil
}

func (w *Writer) addRecord(t *platform.Txn, r schedule.Record) error {
	revs := w.revisionsOf(r.ID)
	if !r.State.Terminal() {
		value, err := encode(&r.Progress)
		if err != nil {
			return err
		}
		key := progressKey(r.ID)
		t.Expect = append(t.Expect, platform.Expectation{Key: key, Revision: revs.progress})
		t.Puts = append(t.Puts, platform.Put{Key: key, Value: value})
		return nil
	}
	value, err := encode(StoredJob{State: r.State, Profile: r.Profile, EndedMs: r.EndedMs, Record: r.Record})
	if err != nil {
		return err
	}
	t.Expect = append(t.Expect, platform.Expectation{Key: jobKey(r.ID), Revision: revs.job})
	t.Puts = append(t.Puts, platform.Put{Key: jobKey(r.ID), Value: value})
	if revs.progress != 0 {
		t.Expect = append(t.Expect, platform.Expectation{Key: progressKey(r.ID), Revision: revs.progress})
		t.Deletes = append(t.Deletes, progressKey(r.ID))
	}
	if revs.cancel != 0 {
		t.Deletes = append(t.Deletes, cancelKey(r.ID))
	}
	return nil
}

// Write commits a batch. The error is ErrFenced or matches one of package platform. After
// platform.ErrUncertain the same batch must be written again until the outcome is known.
func (w *Writer) Write(ctx context.Context, b *Batch) error {
	revision, err := w.store.Commit(ctx, b.txn)
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return w.resolveConflict(b, conflict.Items)
	}
	if err != nil {
		return err
	}
	w.recordWritten(b, func(string) uint64 { return revision })
	return nil
}

// resolveConflict finds out why a batch met a conflict. It returns nil if an earlier copy
// of the batch was applied, ErrFenced if another term has begun, and else an error that
// matches platform.ErrConflict.
func (w *Writer) resolveConflict(b *Batch, items []platform.KV) error {
	found := make(map[string]platform.KV, len(items))
	for _, kv := range items {
		found[kv.Key] = kv
	}
	if found[w.fence.Key].Revision != w.fence.Revision {
		return ErrFenced
	}
	for _, p := range b.txn.Puts {
		if kv, ok := found[p.Key]; ok && !bytes.Equal(kv.Value, p.Value) {
			// Unexpected: during its term only this leader writes these keys.
			w.refreshRevisions(found)
			return Class.New("writing a batch: key %s has revision %d with other content: %w", p.Key, kv.Revision, platform.ErrConflict)
		}
	}
	w.recordWritten(b, func(key string) uint64 { return found[key].Revision })
	return nil
}

// refreshRevisions records the revisions found in the store, so that the next batch can
// succeed.
func (w *Writer) refreshRevisions(found map[string]platform.KV) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, r := range w.revs {
		if kv, ok := found[jobKey(id)]; ok {
			r.job = kv.Revision
		}
		if kv, ok := found[progressKey(id)]; ok {
			r.progress = kv.Revision
		}
		w.revs[id] = r
	}
}

// recordWritten records the revisions of a batch that was written.
func (w *Writer) recordWritten(b *Batch, revisionOf func(key string) uint64) {
	b.revisionOf = revisionOf
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range b.Records {
		revs := w.revs[r.ID]
		if r.State.Terminal() {
			revs = revisions{job: revisionOf(jobKey(r.ID)), deletedCancel: revs.cancel}
		} else {
			revs.progress = revisionOf(progressKey(r.ID))
		}
		w.revs[r.ID] = revs
	}
}

// Purge deletes records of ended jobs, and cancellations of them that were not known when the end was
// written. It fails with platform.ErrConflict if another term has begun.
func (w *Writer) Purge(ctx context.Context, ids []string) error {
	var jobs, cancellations []string
	for _, id := range ids {
		jobs = append(jobs, jobKey(id))
		if w.revisionsOf(id).cancel != 0 {
			cancellations = append(cancellations, cancelKey(id))
		}
	}
	for _, keys := range [][]string{cancellations, jobs} {
		if len(keys) == 0 {
			continue
		}
		t := platform.Txn{Expect: []platform.Expectation{{Key: w.fence.Key, Revision: w.fence.Revision}}, Deletes: keys}
		if _, err := w.store.Commit(ctx, t); err != nil {
			return err
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range ids {
		delete(w.revs, id)
	}
	return nil
}

// Put writes one of the leader's own keys, whatever it contains. It fails with platform.ErrConflict
// if another term has begun. It may overlap with all other methods.
func (w *Writer) Put(ctx context.Context, key string, value []byte) error {
	_, err := w.store.Commit(ctx, platform.Txn{
		Expect: []platform.Expectation{{Key: w.fence.Key, Revision: w.fence.Revision}},
		Puts:   []platform.Put{{Key: key, Value: value}},
	})
	return err
}

// MaxPurge is the limit of one Purge: a full transaction, less the expectation of the term.
const MaxPurge = platform.MaxTxnEntries - 1

// ConvertLoaded converts loaded jobs to those that schedule.Table restores.
func ConvertLoaded(jobs []LoadedJob) (unfinished []schedule.Restored, ended []schedule.EndedJob) {
	for _, l := range jobs {
		if l.Ended() {
			ended = append(ended, schedule.EndedJob{ID: l.ID, Profile: l.Profile, State: l.State, EndedMs: l.EndedMs})
			continue
		}
		unfinished = append(unfinished, schedule.Restored{
			Definition: l.Definition, Progress: l.Progress, Cancelled: l.Cancelled, Term: l.Term,
		})
	}
	return unfinished, ended
}
