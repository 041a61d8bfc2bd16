package worker

import (
	"time"

	"camphorhead.example/camphorhead/request/resources"
	"camphorhead.example/standin/interference"
)

// Outcome says how a run ended.
type Outcome string

// The outcomes of a run.
const (
	OutcomeRunning    Outcome = "running"
	OutcomeDone       Outcome = "done"
	OutcomeFailed     Outcome = "failed"
	OutcomeStopped    Outcome = "stopped"
	OutcomeLeaseEnded Outcome = "lease-ended"
	OutcomeKilled     Outcome = "killed"
)

// Record is one run of a task. End, Progress and Checkpoint are zero while it is running.
type Record struct {
	ID             string
	Task           string // the task of the job, as the platform names it
	Incarnation    uint32
	Lasts          bool
	Profile        string
	Start, End     time.Time // in Config.Clock, which all stand-ins of a deployment share
	Outcome        Outcome
	Declared, Real resources.Resources
	ResumedAt      time.Duration // progress in the checkpoint that the run started from
	Progress       time.Duration // progress at the end
	Checkpoint     string        // last checkpoint
}

// Records returns every run in the order of starts.
func (w *Worker) Records() []Record {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle()
	records := make([]Record, len(w.records))
	for i, r := range w.records {
		records[i] = *r
	}
	return records
}

// Progress returns how far the running tasks are, by job.
func (w *Worker) Progress() map[string]time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.settle()
	progress := make(map[string]time.Duration, len(w.running))
	for id, t := range w.running {
		t.advance(now)
		progress[id.Job] = t.progress
	}
	return progress
}

// Overcommits returns the number of starts that took the declared resources of
// running tasks over capacity or found them there.
func (w *Worker) Overcommits() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.excess.declared
}

// RealOvercommits returns the number of starts after which the real memory use
// of running tasks was over capacity.
func (w *Worker) RealOvercommits() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.excess.real
}

// Neighbours returns the running tasks for the interference model.
func (w *Worker) Neighbours() []interference.Neighbour {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle()
	neighbours := make([]interference.Neighbour, 0, len(w.running))
	for _, t := range w.running {
		neighbours = append(neighbours, interference.Neighbour{
			Profile: t.req.Profile, ThrottlePct: t.throttle,
			CPUShare: float64(t.nature.Real.MilliCPU) / float64(max(w.config.Capacity.MilliCPU, 1)),
		})
	}
	return neighbours
}
