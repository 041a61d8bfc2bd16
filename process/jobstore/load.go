package jobstore

import (
	"context"
	"strings"
	"time"

	"camphorhead.example/camphorhead/connection/body"
	"camphorhead.example/camphorhead/request/job"
)

// LoadedJob is all that the store contains of a job.
type LoadedJob struct {
	StoredJob
	Progress  *job.Progress // nil if none has been recorded or it cannot be decoded
	Cancelled bool
}

// Inbox contains what entries have written since the previous read.
type Inbox struct {
	Jobs    []StoredJob
	Cancels []CancelRecord
	// Unreadable are the keys of the jobs that cannot be decoded.
	Unreadable []string
	// Revision is the store's revision after which the next read continues.
	Revision uint64
}

// CancelRecord is a recorded cancellation. Revision is that of its key.
type CancelRecord struct {
	ID       string
	Revision uint64
}

// Load reads all jobs and records the revisions of their keys. It skips records that
// cannot be decoded and returns their keys in unreadable.
func (w *Writer) Load(ctx context.Context) (jobs []LoadedJob, revision uint64, unreadable []string, err error) {
	jobs, revision, unreadable, err = w.LoadInbox(ctx)
	if err != nil {
		return nil, 0, nil, err
	}
	progress, _, err := w.store.List(ctx, progressPrefix)
	if err != nil {
		return nil, 0, nil, err
	}
	at := make(map[string]int, len(jobs))
	for i := range jobs {
		at[jobs[i].ID] = i
	}
	for _, kv := range progress {
		id := strings.TrimPrefix(kv.Key, progressPrefix)
		i, known := at[id]
		if !known {
			continue
		}
		w.recordProgressRevision(id, kv.Revision)
		var p job.Progress
		if err := body.Unmarshal(kv.Value, &p); err != nil {
			unreadable = append(unreadable, kv.Key)
			continue
		}
		jobs[i].Progress = &p
	}
	return jobs, revision, unreadable, nil
}

// LoadInbox is Load without the progress.
func (w *Writer) LoadInbox(ctx context.Context) (jobs []LoadedJob, revision uint64, unreadable []string, err error) {
	items, revision, err := w.store.List(ctx, inboxPrefix)
	if err != nil {
		return nil, 0, nil, err
	}
	for _, kv := range items {
		if id, isCancel := strings.CutPrefix(kv.Key, cancelPrefix); isCancel {
			w.RecordCancellation(id, kv.Revision)
		}
	}
	for _, kv := range items {
		if !strings.HasPrefix(kv.Key, jobPrefix) {
			continue
		}
		stored, err := decodeStored(kv)
		if err != nil {
			unreadable = append(unreadable, kv.Key)
			continue
		}
		if stored.Refused {
			w.recordRefusal(stored.ID, kv.Revision, stored.RefusedAt)
			continue
		}
		w.RecordJobRevision(stored.ID, kv.Revision)
		jobs = append(jobs, LoadedJob{StoredJob: stored, Cancelled: w.Cancelled(stored.ID)})
	}
	return jobs, revision, unreadable, nil
}

// Inbox returns the unfinished jobs and the cancellations written after a revision. It
// does not wait for changes. After platform.ErrCompacted the caller uses LoadInbox.
func (w *Writer) Inbox(ctx context.Context, after uint64) (Inbox, error) {
	changes, next, err := w.store.Changes(ctx, inboxPrefix, after, time.Duration(0))
	if err != nil {
		return Inbox{}, err
	}
	in := Inbox{Revision: next}
	for _, c := range changes {
		if c.Deleted {
			w.dropRefusal(strings.TrimPrefix(c.Key, jobPrefix))
			continue
		}
		// Also one that was deleted afterwards: if not this leader but the next one has ended the job, its
		// tasks must not start here.
		if id, isCancel := strings.CutPrefix(c.Key, cancelPrefix); isCancel {
			in.Cancels = append(in.Cancels, CancelRecord{ID: id, Revision: c.Revision})
			continue
		}
		stored, err := decodeStored(c.KV)
		if err != nil {
			in.Unreadable = append(in.Unreadable, c.Key)
			continue
		}
		if stored.Refused {
			w.recordRefusal(stored.ID, stored.Revision, stored.RefusedAt)
			continue
		}
		w.dropRefusal(stored.ID)
		if stored.Ended() {
			continue // this leader wrote the final state
		}
		in.Jobs = append(in.Jobs, stored)
	}
	return in, nil
}
