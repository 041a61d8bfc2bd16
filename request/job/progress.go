package job

import "slices"

// Progress is the durable progress of a job: which tasks are done, and which have
// failed how often. Which task runs where follows from the listings of the workers.
// The lock of its owner guards it.
type Progress struct {
	// Done holds one bitmap of tasks per occurrence and step, in order of occurrences.
	Done [][]byte `msgpack:"d,omitempty"`
	// Failed lists the tasks with failed runs.
	Failed []TaskFailures `msgpack:"f,omitempty"`
	// Expired lists the tasks with a run that counts as ended because its lease expired.
	Expired []ExpiredRun `msgpack:"x,omitempty"`
	// Cancelled is set once the leader has processed the cancellation of the job.
	Cancelled bool `msgpack:"c,omitempty"`
	// Task is the progress of the one task of a job with a Request, else nil.
	Task *TaskProgress `msgpack:"t,omitempty"`
}

// TaskProgress is the durable progress of one task.
type TaskProgress struct {
	Checkpoint string `msgpack:"c,omitempty"`
	Evictions  uint32 `msgpack:"e,omitempty"`
	// FailedOn are the agents on whose workers the task failed soon after its start, the
	// latest last.
	FailedOn []string `msgpack:"o,omitempty"`
}

// TaskFailures lists the failed runs of one task by number. The numbers distinguish
// another failure from one that is reported again, as after a change of the leader.
type TaskFailures struct {
	Occurrence int      `msgpack:"o,omitempty"`
	Step       int      `msgpack:"s,omitempty"`
	Index      int      `msgpack:"i,omitempty"`
	Runs       []uint32 `msgpack:"r"`
}

// ExpiredRun is the highest number of a run of one task that counts as ended because its lease
// expired. Another end of that run or of an earlier one does not count, whichever leader it is
// reported to.
type ExpiredRun struct {
	Occurrence int    `msgpack:"o,omitempty"`
	Step       int    `msgpack:"s,omitempty"`
	Index      int    `msgpack:"i,omitempty"`
	Run        uint32 `msgpack:"r"`
}

func (e *ExpiredRun) isOf(t TaskID) bool {
	return e.Occurrence == t.Occurrence && e.Step == t.Step && e.Index == t.Index
}

// NewProgress returns the progress of a job without any task done.
func NewProgress(d *Definition) *Progress {
	p := &Progress{Done: make([][]byte, 0, d.OccurrenceCount()*len(d.Steps))}
	for range d.OccurrenceCount() {
		for i := range d.Steps {
			p.Done = append(p.Done, make([]byte, (d.Steps[i].Count+7)/8))
		}
	}
	return p
}

// Matches reports whether the bitmaps of Done have the numbers and sizes that the
// definition requires. Only then may SetDone and IsDone be called with it.
func (p *Progress) Matches(d *Definition) bool {
	if len(p.Done) != d.OccurrenceCount()*len(d.Steps) {
		return false
	}
	for i, bits := range p.Done {
		if len(bits) != (d.Steps[i%len(d.Steps)].Count+7)/8 {
			return false
		}
	}
	return true
}

// SetDone marks a task of the definition as done.
func (p *Progress) SetDone(d *Definition, t TaskID) {
	p.Done[t.Occurrence*len(d.Steps)+t.Step][t.Index/8] |= 1 << (t.Index % 8)
}

// IsDone reports whether a task of the definition is done.
func (p *Progress) IsDone(d *Definition, t TaskID) bool {
	return p.Done[t.Occurrence*len(d.Steps)+t.Step][t.Index/8]&(1<<(t.Index%8)) != 0
}

// AddFailure records a failed run; it reports false if the run was recorded before.
func (p *Progress) AddFailure(t TaskID, run uint32) bool {
	for i := range p.Failed {
		f := &p.Failed[i]
		if f.Occurrence == t.Occurrence && f.Step == t.Step && f.Index == t.Index {
			if slices.Contains(f.Runs, run) {
				return false
			}
			f.Runs = append(f.Runs, run)
			return true
		}
	}
	p.Failed = append(p.Failed, TaskFailures{Occurrence: t.Occurrence, Step: t.Step, Index: t.Index, Runs: []uint32{run}})
	return true
}

// FailuresOf returns the number of recorded failed runs of a task.
func (p *Progress) FailuresOf(t TaskID) int {
	for i := range p.Failed {
		f := &p.Failed[i]
		if f.Occurrence == t.Occurrence && f.Step == t.Step && f.Index == t.Index {
			return len(f.Runs)
		}
	}
	return 0
}

// SetExpired records that a run counts as ended because its lease expired; it reports false if
// that or a later run of the task was recorded before.
func (p *Progress) SetExpired(t TaskID, run uint32) bool {
	for i := range p.Expired {
		if e := &p.Expired[i]; e.isOf(t) {
			changed := run > e.Run
			e.Run = max(e.Run, run)
			return changed
		}
	}
	p.Expired = append(p.Expired, ExpiredRun{Occurrence: t.Occurrence, Step: t.Step, Index: t.Index, Run: run})
	return true
}

// ExpiredRunOf returns the highest number of a run of a task whose lease expired; 0: none.
func (p *Progress) ExpiredRunOf(t TaskID) uint32 {
	for i := range p.Expired {
		if p.Expired[i].isOf(t) {
			return p.Expired[i].Run
		}
	}
	return 0
}

// Clone returns a deep copy.
func (p *Progress) Clone() Progress {
	c := Progress{Cancelled: p.Cancelled, Done: make([][]byte, len(p.Done)), Expired: slices.Clone(p.Expired)}
	for i, bits := range p.Done {
		c.Done[i] = append([]byte(nil), bits...)
	}
	for _, f := range p.Failed {
		f.Runs = slices.Clone(f.Runs)
		c.Failed = append(c.Failed, f)
	}
	if p.Task != nil {
		task := *p.Task
		task.FailedOn = slices.Clone(task.FailedOn)
		c.Task = &task
	}
	return c
}
