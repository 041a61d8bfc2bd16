package job

import "slices"

// Progress is the durable part of what has become of a job: which tasks are
// done and which have failed how often. What runs where is not in it; workers
// list that themselves.
type Progress struct {
	// Done holds one bitmap per occurrence and step, in order of occurrences.
	Done [][]byte `msgpack:"d,omitempty"`
	// Failed counts the failed runs of tasks that have any.
	Failed []Failures `msgpack:"f,omitempty"`
	// Cancelled is set once the cancelling of the job was taken note of.
	Cancelled bool `msgpack:"c,omitempty"`
	// Task is kept for the one task of a job with a request.
	Task *TaskProgress `msgpack:"t,omitempty"`
}

// TaskProgress is the durable part of what has become of one task.
type TaskProgress struct {
	Checkpoint string `msgpack:"c,omitempty"`
	Evictions  uint32 `msgpack:"e,omitempty"`
	// FailedOn are the agents on whose workers the task failed soon after its
	// start, the latest last.
	FailedOn []string `msgpack:"o,omitempty"`
}

// Failures lists the failed runs of one task. The numbers tell a failure that is
// reported again, as after a change of the leader, from another one.
type Failures struct {
	Occurrence int      `msgpack:"o,omitempty"`
	Step       int      `msgpack:"s,omitempty"`
	Index      int      `msgpack:"i,omitempty"`
	Runs       []uint32 `msgpack:"r"`
}

// NewProgress returns the progress of a job of which nothing is done.
func NewProgress(d *Definition) *Progress {
	p := &Progress{Done: make([][]byte, 0, d.Runs()*len(d.Steps))}
	for range d.Runs() {
		for i := range d.Steps {
			p.Done = append(p.Done, make([]byte, (d.Steps[i].Count+7)/8))
		}
	}
	return p
}

// Matches reports whether the progress has the shape of the definition.
func (p *Progress) Matches(d *Definition) bool {
	if len(p.Done) != d.Runs()*len(d.Steps) {
		return false
	}
	for i, bits := range p.Done {
		if len(bits) != (d.Steps[i%len(d.Steps)].Count+7)/8 {
			return false
		}
	}
	return true
}

// SetDone notes a task as done.
func (p *Progress) SetDone(d *Definition, t TaskID) {
	p.Done[t.Occurrence*len(d.Steps)+t.Step][t.Index/8] |= 1 << (t.Index % 8)
}

// IsDone reports whether a task is done.
func (p *Progress) IsDone(d *Definition, t TaskID) bool {
	return p.Done[t.Occurrence*len(d.Steps)+t.Step][t.Index/8]&(1<<(t.Index%8)) != 0
}

// AddFailure notes a failed run; it reports false for one that is noted already.
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
	p.Failed = append(p.Failed, Failures{Occurrence: t.Occurrence, Step: t.Step, Index: t.Index, Runs: []uint32{run}})
	return true
}

// FailuresOf returns the number of failed runs of a task.
func (p *Progress) FailuresOf(t TaskID) int {
	for i := range p.Failed {
		f := &p.Failed[i]
		if f.Occurrence == t.Occurrence && f.Step == t.Step && f.Index == t.Index {
			return len(f.Runs)
		}
	}
	return 0
}

// Clone returns a copy that shares nothing with p.
func (p *Progress) Clone() Progress {
	c := Progress{Cancelled: p.Cancelled, Done: make([][]byte, len(p.Done))}
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
