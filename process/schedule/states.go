package schedule

import (
	"sort"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/request/job"
)

// State returns the state of a job that callers may be shown.
func (t *Table) State(id string) (state job.State, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	j := t.jobs[id]
	if j == nil {
		return "", false
	}
	return j.shown(), true
}

// shown is the state that is durable enough to be told to callers.
func (j *jobState) shown() job.State {
	if j.state.Terminal() && j.durable < j.version {
		return job.Running
	}
	return j.state
}

// Updates returns the states that changed since the previous call, and the
// queue lengths that did.
func (t *Table) Updates() (jobs []message.JobUpdate, waiting []message.QueueLength) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, j := range t.changed {
		if shown := j.shown(); shown != j.published {
			j.published = shown
			jobs = append(jobs, message.JobUpdate{Job: j.def.ID, Profile: j.def.Profile, State: shown})
		}
	}
	t.changed = t.changed[:0]
	for name, n := range t.waiting {
		if t.told[name] != n {
			t.told[name] = n
			waiting = append(waiting, message.QueueLength{Profile: name, Waiting: n})
		}
	}
	return jobs, waiting
}

// Snapshot returns all states and queue lengths for a new follower.
func (t *Table) Snapshot() (jobs []message.JobUpdate, waiting []message.QueueLength) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, j := range t.jobs {
		jobs = append(jobs, message.JobUpdate{Job: id, Profile: j.def.Profile, State: j.shown()})
	}
	for name, n := range t.waiting {
		waiting = append(waiting, message.QueueLength{Profile: name, Waiting: n})
	}
	sort.Slice(jobs, func(a, b int) bool { return jobs[a].Job < jobs[b].Job })
	return jobs, waiting
}

func (t *Table) publish(j *jobState) { t.changed = append(t.changed, j) }

// publishAgain repeats the state of a job for an entry that may not know it.
func (t *Table) publishAgain(j *jobState) {
	j.published = ""
	t.publish(j)
}
