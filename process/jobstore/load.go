package jobstore

import (
	"context"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"camphorhead.example/camphorhead/request/job"
)

// Loaded is a job as the store has it.
type Loaded struct {
	Stored
	Progress  *job.Progress
	Cancelled bool
}

// Inbox is what entries have written since the previous reading.
type Inbox struct {
	Jobs    []Stored
	Cancels []string
	// Revision is where the next reading goes on.
	Revision uint64
}

// Load reads all jobs and enters their revisions. Records that cannot be read
// are returned by key; they are left alone.
func (w *Writer) Load(ctx context.Context) (jobs []Loaded, revision uint64, unreadable []string, err error) {
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
		w.noteProgress(id, kv.Revision)
		var p job.Progress
		if err := msgpack.Unmarshal(kv.Value, &p); err != nil {
			unreadable = append(unreadable, kv.Key)
			continue
		}
		jobs[i].Progress = &p
	}
	return jobs, revision, unreadable, nil
}

// LoadInbox reads what entries have written, without the progress.
func (w *Writer) LoadInbox(ctx context.Context) (jobs []Loaded, revision uint64, unreadable []string, err error) {
	items, revision, err := w.store.List(ctx, inPrefix)
	if err != nil {
		return nil, 0, nil, err
	}
	cancelled := map[string]bool{}
	for _, kv := range items {
		if id, isCancel := strings.CutPrefix(kv.Key, cancelPrefix); isCancel {
			cancelled[id] = true
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
		w.NoteJob(stored.ID, kv.Revision)
		if cancelled[stored.ID] {
			w.noteCancel(stored.ID)
		}
		jobs = append(jobs, Loaded{Stored: stored, Cancelled: cancelled[stored.ID]})
	}
	return jobs, revision, unreadable, nil
}

// Inbox returns what entries have written after a revision. It does not wait.
// After platform.ErrCompacted the caller loads everything again.
func (w *Writer) Inbox(ctx context.Context, after uint64) (Inbox, error) {
	changes, next, err := w.store.Changes(ctx, inPrefix, after, time.Duration(0))
	if err != nil {
		return Inbox{}, err
	}
	in := Inbox{Revision: next}
	for _, c := range changes {
		if c.Deleted {
			continue
		}
		if id, isCancel := strings.CutPrefix(c.Key, cancelPrefix); isCancel {
			in.Cancels = append(in.Cancels, id)
			continue
		}
		stored, err := decodeStored(c.KV)
		if err != nil || stored.Ended() {
			continue // unreadable records are left alone, final ones are our own
		}
		in.Jobs = append(in.Jobs, stored)
	}
	return in, nil
}
