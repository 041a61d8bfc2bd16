package schedule

import (
	"time"

	"camphorhead.example/camphorhead/process/metrics"
	"camphorhead.example/camphorhead/request/job"
)

// Record is what the store has to know of one job.
type Record struct {
	ID      string
	Profile string
	// State is final, or Running for a job that goes on.
	State    job.State
	Progress job.Progress // a copy; unused when State is final
	EndedMs  int64
	// Record is what the caller of an ended job with a request is shown.
	Record *job.Record

	state   *jobState
	version uint64
}

// TakeRecords returns the records of up to limit jobs that changed. Each call
// is followed by Committed or Failed with the same records.
func (t *Table) TakeRecords(limit int) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := min(limit, len(t.dirty))
	records := make([]Record, 0, n)
	for _, j := range t.dirty[:n] {
		j.listed = false
		r := Record{ID: j.def.ID, Profile: j.def.Profile, State: j.state, state: j, version: j.version}
		if j.state.Terminal() {
			r.EndedMs = j.endedAt.UnixMilli()
			if j.def.Request != nil {
				record := j.record()
				r.Record = &record
			}
		} else {
			r.State, r.Progress = job.Running, j.progress.Clone()
		}
		records = append(records, r)
	}
	t.dirty = append(t.dirty[:0], t.dirty[n:]...)
	return records
}

// Dirty returns the number of records to write.
func (t *Table) Dirty() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.dirty)
}

// Committed notes that records are durable.
func (t *Table) Committed(records []Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range records {
		r.state.durable = max(r.state.durable, r.version)
		if r.State.Terminal() {
			t.cfg.Meter.AddFor(metrics.JobsEnded, string(r.State), 1)
			t.cfg.Meter.Observe(metrics.JobTime, r.state.endedAt.Sub(r.state.known))
			t.publish(r.state)
		}
	}
	for _, a := range t.agents {
		a.advance()
	}
}

// Failed takes records back that were not written.
func (t *Table) Failed(records []Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range records {
		if !r.state.listed {
			r.state.listed = true
			t.dirty = append(t.dirty, r.state)
		}
	}
}

// Expired drops the jobs that ended before the retention and returns their ids.
func (t *Table) Expired(now time.Time, limit int) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ids []string
	for len(t.ended) > 0 && len(ids) < limit {
		j := t.ended[0]
		if now.Sub(j.endedAt) < t.cfg.Retention || j.durable < j.version {
			break
		}
		t.ended = t.ended[1:]
		delete(t.jobs, j.def.ID)
		t.resultBytes -= len(j.result)
		ids = append(ids, j.def.ID)
	}
	return ids
}
