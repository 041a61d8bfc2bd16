package schedule

import (
	"time"

	"camphorhead.example/camphorhead/process/metrics"
	"camphorhead.example/camphorhead/request/job"
)

// Record is the durable state of one job, to be written to the store.
type Record struct {
	ID      string
	Profile string
	// State is the final state, or Running for a job that has not ended.
	State    job.State
	Progress job.Progress // a copy; unset if State is final
	EndedMs  int64        // Unix time in milliseconds; 0 unless State is final
	Record   *job.Record  // for the caller of an ended job with a request; else nil

	state   *jobState
	version uint64
}

// TakeRecords returns the records of up to limit jobs whose durable state has changed.
// The caller passes each of them to MarkCommitted once it is written, or to
// ReturnRecords.
func (t *Table) TakeRecords(limit int) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := min(limit, len(t.dirtyJobs))
	records := make([]Record, 0, n)
	for _, j := range t.dirtyJobs[:n] {
		j.dirty = false
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
	t.dirtyJobs = append(t.dirtyJobs[:0], t.dirtyJobs[n:]...)
	return records
}

// DirtyCount returns the number of records that TakeRecords has to return.
func (t *Table) DirtyCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.dirtyJobs)
}

// MarkCommitted records that the given records are durable. Ends of runs that they
// contain are now acknowledged, and final states are published.
func (t *Table) MarkCommitted(records []Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range records {
		r.state.durableVersion = max(r.state.durableVersion, r.version)
		if r.State.Terminal() {
			t.cfg.Meter.AddFor(metrics.JobsEnded, string(r.State), 1)
			t.cfg.Meter.Observe(metrics.JobTime, r.state.endedAt.Sub(r.state.addedAt))
			t.publish(r.state)
		}
	}
	for _, a := range t.agents {
		a.advanceDurableSerial()
	}
}

// ReturnRecords queues records that were not written for the next TakeRecords.
func (t *Table) ReturnRecords(records []Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range records {
		if !r.state.dirty {
			r.state.dirty = true
			t.dirtyJobs = append(t.dirtyJobs, r.state)
		}
	}
}

// RemoveExpired removes up to limit jobs whose retention is over and returns their ids.
// It stops at a job whose end is not durable.
func (t *Table) RemoveExpired(now time.Time, limit int) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ids []string
	for len(t.endedJobs) > 0 && len(ids) < limit {
		j := t.endedJobs[0]
		if now.Sub(j.endedAt) < t.cfg.Retention || j.durableVersion < j.version {
			break
		}
		t.endedJobs = t.endedJobs[1:]
		delete(t.jobs, j.def.ID)
		t.resultBytes -= len(j.result)
		ids = append(ids, j.def.ID)
	}
	return ids
}
