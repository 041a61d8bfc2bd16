package story

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Outcome is the last state of an accepted job that the logs show.
type Outcome string

// The outcomes of a job. The logs lack the end of Lost and Unfinished jobs.
const (
	// Done, Failed and Cancelled jobs have a line for their end.
	Done      Outcome = "done"
	Failed    Outcome = "failed"
	Cancelled Outcome = "cancelled"
	// Running jobs have a run that has not ended.
	Running Outcome = "running"
	// Waiting jobs have no run, but a leader has loaded them.
	Waiting Outcome = "waiting"
	// Lost jobs were accepted, and no line shows that a leader loaded them.
	Lost Outcome = "lost"
	// Unfinished jobs have had runs that all ended, but no line for their own end.
	Unfinished Outcome = "unfinished"
)

// Outcomes returns all outcomes.
func Outcomes() []Outcome {
	return []Outcome{Done, Failed, Cancelled, Running, Waiting, Lost, Unfinished}
}

// FollowedJob is the outcome of one accepted job. Runs counts its runs that were placed.
type FollowedJob struct {
	Job      string    `json:"job"`
	Accepted time.Time `json:"accepted"`
	Outcome  Outcome   `json:"outcome"`
	Runs     int       `json:"runs"`
	// Last is the event name of the job's last line.
	Last string `json:"last"`
}

// Follow returns all accepted jobs in the order of their acceptance. It corrects the
// times in lines by alignClocks.
func Follow(lines []Line) []FollowedJob {
	alignClocks(lines)
	sorted := slices.Clone(lines)
	slices.SortStableFunc(sorted, func(a, b Line) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(causalRank(a.Name), causalRank(b.Name)))
	})
	traces := map[string]*trace{}
	for i := range sorted {
		l := &sorted[i]
		job, ok := l.jobID()
		if !ok {
			continue
		}
		if traces[job] == nil {
			traces[job] = &trace{job: job, activeRuns: map[runKey]bool{}}
		}
		traces[job].record(l)
	}
	var list []FollowedJob
	for _, t := range traces {
		if !t.accepted.IsZero() {
			list = append(list, FollowedJob{Job: t.job, Accepted: t.accepted, Outcome: t.outcome(), Runs: t.runs, Last: t.last})
		}
	}
	slices.SortFunc(list, func(a, b FollowedJob) int {
		return cmp.Or(a.Accepted.Compare(b.Accepted), cmp.Compare(a.Job, b.Job))
	})
	return list
}

func (l *Line) jobID() (string, bool) {
	if job, ok := l.Fields["job"].(string); ok {
		return job, true
	}
	task, ok := l.Fields["task"].(string)
	job, _, _ := strings.Cut(task, ".")
	return job, ok
}

// trace accumulates the lines about one job.
type trace struct {
	job            string
	accepted       time.Time
	loadedByLeader bool
	runs           int
	activeRuns     map[runKey]bool
	finalState     Outcome
	last           string
}

func (t *trace) record(l *Line) {
	t.last = l.Name
	key, isRun := l.runKey()
	switch l.Name {
	case "job_accepted":
		t.recordAccepted(l.At)
	case "job_queued":
		// An entry killed after accepting the job may not have written job_accepted.
		t.recordAccepted(l.At)
		t.loadedByLeader = true
	case "run_placed":
		t.loadedByLeader = true
		t.runs++
		t.activeRuns[key] = true
	case "run_ended", "run_refused", "task_run_ended":
		if isRun {
			delete(t.activeRuns, key)
		}
	case "job_finished":
		state, _ := l.Fields["state"].(string)
		t.finalState = Outcome(state)
	}
}

func (t *trace) recordAccepted(at time.Time) {
	if t.accepted.IsZero() {
		t.accepted = at
	}
}

func (t *trace) outcome() Outcome {
	switch {
	case t.finalState != "":
		return t.finalState
	case len(t.activeRuns) > 0:
		return Running
	case t.runs > 0:
		return Unfinished
	case t.loadedByLeader:
		return Waiting
	}
	return Lost
}
