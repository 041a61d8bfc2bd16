package story

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Outcome is how far the logs tell what became of an accepted job.
type Outcome string

// The outcomes of a job. One that is lost or unfinished cannot be followed to its end.
const (
	// Done, Failed and Cancelled jobs have a line for their end.
	Done      Outcome = "done"
	Failed    Outcome = "failed"
	Cancelled Outcome = "cancelled"
	// Running jobs have a run that has not ended.
	Running Outcome = "running"
	// Waiting jobs have no run; a leader knows of them.
	Waiting Outcome = "waiting"
	// Lost jobs were accepted, and no leader has written that it knows of them.
	Lost Outcome = "lost"
	// Unfinished jobs have had runs that all ended, and no line for their own end.
	Unfinished Outcome = "unfinished"
)

// Outcomes returns all outcomes.
func Outcomes() []Outcome {
	return []Outcome{Done, Failed, Cancelled, Running, Waiting, Lost, Unfinished}
}

// Followed is one accepted job.
type Followed struct {
	Job      string    `json:"job"`
	Accepted time.Time `json:"accepted"`
	Outcome  Outcome   `json:"outcome"`
	Runs     int       `json:"runs"`
	// Last is the name of the job's last line.
	Last string `json:"last"`
}

// Follow returns all accepted jobs of the logs in the order of their acceptance.
func Follow(lines []Line) []Followed {
	align(lines)
	sorted := slices.Clone(lines)
	slices.SortStableFunc(sorted, func(a, b Line) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(rank(a.Name), rank(b.Name)))
	})
	traces := map[string]*trace{}
	for i := range sorted {
		l := &sorted[i]
		job, ok := l.job()
		if !ok {
			continue
		}
		if traces[job] == nil {
			traces[job] = &trace{job: job, alive: map[runKey]bool{}}
		}
		traces[job].note(l)
	}
	var list []Followed
	for _, t := range traces {
		if !t.accepted.IsZero() {
			list = append(list, Followed{Job: t.job, Accepted: t.accepted, Outcome: t.outcome(), Runs: t.runs, Last: t.last})
		}
	}
	slices.SortFunc(list, func(a, b Followed) int {
		return cmp.Or(a.Accepted.Compare(b.Accepted), cmp.Compare(a.Job, b.Job))
	})
	return list
}

// job returns the job that a line is about.
func (l *Line) job() (string, bool) {
	if job, ok := l.Fields["job"].(string); ok {
		return job, true
	}
	task, ok := l.Fields["task"].(string)
	job, _, _ := strings.Cut(task, ".")
	return job, ok
}

// trace is what the lines about one job say.
type trace struct {
	job      string
	accepted time.Time
	known    bool
	runs     int
	alive    map[runKey]bool
	ended    Outcome
	last     string
}

func (t *trace) note(l *Line) {
	t.last = l.Name
	key, isRun := l.runKey()
	switch l.Name {
	case "job_accepted":
		t.accept(l.At)
	case "job_queued":
		// The entry that accepted the job may have been killed with its line.
		t.accept(l.At)
		t.known = true
	case "run_placed":
		t.known = true
		t.runs++
		t.alive[key] = true
	case "run_ended", "run_refused", "task_run_ended":
		if isRun {
			delete(t.alive, key)
		}
	case "job_finished":
		state, _ := l.Fields["state"].(string)
		t.ended = Outcome(state)
	}
}

func (t *trace) accept(at time.Time) {
	if t.accepted.IsZero() {
		t.accepted = at
	}
}

func (t *trace) outcome() Outcome {
	switch {
	case t.ended != "":
		return t.ended
	case len(t.alive) > 0:
		return Running
	case t.runs > 0:
		return Unfinished
	case t.known:
		return Waiting
	}
	return Lost
}
