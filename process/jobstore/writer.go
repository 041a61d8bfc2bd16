package jobstore

import (
	"bytes"
	"context"
	"errors"

	"camphorhead.example/camphorhead/process/lockrank"
	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/process/schedule"
)

// ErrDeposed reports that another leader's term has begun.
var ErrDeposed = Class.New("another term has begun")

// Fence is the key that names the term, with the revision that this leader wrote.
type Fence struct {
	Key      string
	Revision uint64
}

// Writer writes what becomes of jobs. It lives for one term. Write and Purge
// are called by one goroutine at a time.
type Writer struct {
	store platform.Store
	fence Fence

	mu   lockrank.Mutex // guards revs
	revs map[string]revisions
}

// revisions are those of the keys of one job; 0: the key does not exist.
type revisions struct {
	job, progress uint64
	cancel        bool
}

// NewWriter returns the writer of one term.
func NewWriter(store platform.Store, fence Fence) *Writer {
	return &Writer{store: store, fence: fence, mu: lockrank.NewMutex(lockrank.RankRecords), revs: map[string]revisions{}}
}

// NoteJob enters the revision of a record that an entry created. It reports
// false for one that is older than what is known of the job.
func (w *Writer) NoteJob(id string, revision uint64) (newer bool) {
	w.change(id, func(r *revisions) {
		newer = revision > r.job
		r.job = max(r.job, revision)
	})
	return newer
}

// NoteCancel notes that the wish to cancel a job is recorded.
func (w *Writer) NoteCancel(id string) { w.noteCancel(id) }

func (w *Writer) change(id string, f func(*revisions)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.revs[id]
	f(&r)
	w.revs[id] = r
}

func (w *Writer) noteCancel(id string) { w.change(id, func(r *revisions) { r.cancel = true }) }

func (w *Writer) noteProgress(id string, revision uint64) {
	w.change(id, func(r *revisions) { r.progress = revision })
}

func (w *Writer) of(id string) revisions {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.revs[id]
}

// Batch is one transaction with the records that it makes durable.
type Batch struct {
	Records []schedule.Record
	// Rest are records that did not fit.
	Rest []schedule.Record
	txn  platform.Txn
	// revisionOf tells the revisions after the batch was written.
	revisionOf func(key string) uint64
}

// RevisionOf returns the revision of a key that the batch has written.
func (b *Batch) RevisionOf(key string) uint64 { return b.revisionOf(key) }

// maxEntriesPerRecord is the number of entries of an ended job: two
// expectations, a write and two deletions.
const maxEntriesPerRecord = 5

// maxTxnBytes bounds the values of one transaction.
const maxTxnBytes = 512 << 10

// Plan builds the transaction for as many of the records as fit. extra are
// writes of the leader's own keys that go with it.
func (w *Writer) Plan(records []schedule.Record, extra platform.Txn) (*Batch, error) {
	b := &Batch{txn: extra}
	b.txn.Expect = append([]platform.Expectation{{Key: w.fence.Key, Revision: w.fence.Revision}}, extra.Expect...)
	size := 0
	for i, r := range records {
		if b.txn.Size()+maxEntriesPerRecord > platform.MaxTxnEntries || size >= maxTxnBytes {
			b.Rest = records[i:]
			break
		}
		if err := w.add(&b.txn, r); err != nil {
			return nil, err
		}
		size += len(b.txn.Puts[len(b.txn.Puts)-1].Value)
		b.Records = append(b.Records, r)
	}
	return b, nil
}

func (w *Writer) add(t *platform.Txn, r schedule.Record) error {
	revs := w.of(r.ID)
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
	value, err := encode(Stored{State: r.State, Profile: r.Profile, EndedMs: r.EndedMs, Record: r.Record})
	if err != nil {
		return err
	}
	t.Expect = append(t.Expect, platform.Expectation{Key: jobKey(r.ID), Revision: revs.job})
	t.Puts = append(t.Puts, platform.Put{Key: jobKey(r.ID), Value: value})
	if revs.progress != 0 {
		t.Expect = append(t.Expect, platform.Expectation{Key: progressKey(r.ID), Revision: revs.progress})
		t.Deletes = append(t.Deletes, progressKey(r.ID))
	}
	if revs.cancel {
		t.Deletes = append(t.Deletes, cancelKey(r.ID))
	}
	return nil
}

// Write commits a batch. The error is ErrDeposed, or one of package platform;
// after platform.ErrUncertain the same batch must be written again, until the
// outcome is known.
func (w *Writer) Write(ctx context.Context, b *Batch) error {
	revision, err := w.store.Commit(ctx, b.txn)
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return w.settle(b, conflict.Items)
	}
	if err != nil {
		return err
	}
	w.enter(b, func(string) uint64 { return revision })
	return nil
}

// settle decides what a conflict means: an earlier copy of this batch was
// written, or another leader is in office.
func (w *Writer) settle(b *Batch, items []platform.KV) error {
	found := make(map[string]platform.KV, len(items))
	for _, kv := range items {
		found[kv.Key] = kv
	}
	if found[w.fence.Key].Revision != w.fence.Revision {
		return ErrDeposed
	}
	for _, p := range b.txn.Puts {
		if kv, ok := found[p.Key]; ok && !bytes.Equal(kv.Value, p.Value) {
			// Only this leader writes these keys under its term.
			w.adopt(found)
			return Class.New("key %s has revision %d and other content: %w", p.Key, kv.Revision, platform.ErrConflict)
		}
	}
	w.enter(b, func(key string) uint64 { return found[key].Revision })
	return nil
}

// adopt takes over the revisions that the store names, so that the next
// attempt can succeed.
func (w *Writer) adopt(found map[string]platform.KV) {
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

// enter notes the revisions of a batch that was written.
func (w *Writer) enter(b *Batch, revisionOf func(key string) uint64) {
	b.revisionOf = revisionOf
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range b.Records {
		revs := w.revs[r.ID]
		if r.State.Terminal() {
			revs = revisions{job: revisionOf(jobKey(r.ID))}
		} else {
			revs.progress = revisionOf(progressKey(r.ID))
		}
		w.revs[r.ID] = revs
	}
}

// Purge deletes the records of jobs that ended long ago.
func (w *Writer) Purge(ctx context.Context, ids []string) error {
	t := platform.Txn{Expect: []platform.Expectation{{Key: w.fence.Key, Revision: w.fence.Revision}}}
	for _, id := range ids {
		t.Deletes = append(t.Deletes, jobKey(id))
	}
	if _, err := w.store.Commit(ctx, t); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range ids {
		delete(w.revs, id)
	}
	return nil
}

// MaxPurge is the number of records that one call of Purge deletes.
const MaxPurge = platform.MaxTxnEntries - 1

// Restored converts what was loaded for the table of the schedule.
func Restored(jobs []Loaded) (unfinished []schedule.Restored, ended []schedule.EndedJob) {
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
