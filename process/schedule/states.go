package schedule

import (
	"sort"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/request/job"
)

// State returns the reported state of a job; known is false if the table has no such job.
func (t *Table) State(id string) (state job.State, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	j := t.jobs[id]
	if j == nil {
		return "", false
	}
	return j.reportedState(), true
}

// reportedState returns Running instead of an end that is not durable.
func (j *jobState) reportedState() job.State {
	if j.state.Terminal() && j.durableVersion < j.version {
		return job.Running
	}
	return j.state
}

// Updates returns the reported states and the queue lengths that changed since the
// previous call.
func (t *Table) Updates() (jobs []message.JobUpdate, waiting []message.QueueLength) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, j := range t.changedJobs {
		if state := j.reportedState(); state != j.published {
			j.published = state
			jobs = append(jobs, message.JobUpdate{Job: j.def.ID, Profile: j.def.Profile, State: state})
		}
	}
	t.changedJobs = t.changedJobs[:0]
	for name, n := range t.waiting {
		if t.publishedWaiting[name] != n {
			t.publishedWaiting[name] = n
			waiting = append(waiting, message.QueueLength{Profile: name, Waiting: n})
		}
	}
	return jobs, waiting
}

// Snapshot returns the reported states of all jobs, by id, and all queue lengths, for an
// entry that begins to follow the leader.
func (t *Table) Snapshot() (jobs []message.JobUpdate, waiting []message.QueueLength) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, j := range t.jobs {
		jobs = append(jobs, message.JobUpdate{Job: id, Profile: j.def.Profile, State: j.reportedState()})
	}
	for name, n := range t.waiting {
		waiting = append(waiting, message.QueueLength{Profile: name, Waiting: n})
	}
	sort.Slice(jobs, func(a, b int) bool { return jobs[a].Job < jobs[b].Job })
	return jobs, waiting
}

// publish queues the reported state of a job for Updates.
func (t *Table) publish(j *jobState) { t.changedJobs = append(t.changedJobs, j) }

// republish makes Updates return the state of a job even if it has not changed, for an
// entry that may have no record of it.
func (t *Table) republish(j *jobState) {
	j.published = ""
	t.publish(j)
}
