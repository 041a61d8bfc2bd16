package worker

import (
	"time"

	"camphorhead.example/camphorhead/request/resources"
	"camphorhead.example/standin/interference"
)

// Outcome is how a run ended; OutcomeRunning until then.
type Outcome string

const (
	OutcomeRunning      Outcome = "running"
	OutcomeDone         Outcome = "done"
	OutcomeFailed       Outcome = "failed"
	OutcomeStopped      Outcome = "stopped"
	OutcomeLeaseExpired Outcome = "lease-ended"
	OutcomeKilled       Outcome = "killed"
)

// Record is one run of a task. End, Progress and Checkpoint are zero while it is running.
type Record struct {
	ID             string // of the job
	Task           string // job.TaskID in text form
	Incarnation    uint32 // number of the run
	Lasts          bool   // set for a long-running task
	Life           int    // number of restarts of the worker before it
	Late           bool   // set if the start had no response and was executed late
	Profile        string
	Start, End     time.Time // by Config.Clock, which all stand-ins of a deployment share
	Outcome        Outcome
	Declared, Real resources.Resources
	ResumedAt      time.Duration // progress in the checkpoint that the run started from
	Progress       time.Duration // progress at the end
	Checkpoint     string        // last checkpoint
}

// Records returns a copy of the records of all runs in the order of their starts.
func (w *Worker) Records() []Record {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.applyDue()
	records := make([]Record, len(w.records))
	for i, r := range w.records {
		records[i] = *r
	}
	return records
}

// Progress returns the work done by the running tasks, by job ID: of any one task per job.
func (w *Worker) Progress() map[string]time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.applyDue()
	progress := make(map[string]time.Duration, len(w.running))
	for id, t := range w.running {
		t.advance(now)
		progress[id.Job] = t.progress
	}
	return progress
}

// Overcommits returns the number of starts after which the declared resources of the
// running tasks exceeded the capacity.
func (w *Worker) Overcommits() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.overcommits.declared
}

// RealOvercommits returns the number of starts after which the real memory use of the
// running tasks exceeded the capacity.
func (w *Worker) RealOvercommits() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.overcommits.real
}

// Neighbours returns the running tasks as input of the interference model.
func (w *Worker) Neighbours() []interference.Neighbour {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.applyDue()
	neighbours := make([]interference.Neighbour, 0, len(w.running))
	for _, t := range w.running {
		neighbours = append(neighbours, interference.Neighbour{
			Profile: t.req.Profile, ThrottlePct: t.throttle,
			CPUShare: float64(t.behaviour.Real.MilliCPU) / float64(max(w.capacity.MilliCPU, 1)),
		})
	}
	return neighbours
}
