package schedule

import (
	"cmp"
	"slices"
	"time"

	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/request/job"
)

// Restored is an unfinished job as read from the store.
type Restored struct {
	Definition *job.Definition
	Progress   *job.Progress // nil if no progress has been recorded
	Cancelled  bool          // the store contains a cancellation of the job
	Term       uint64        // in which the job was accepted
}

// Restore adds the unfinished jobs of earlier terms. agents are those that may have
// runs of these jobs. No task of these jobs is placed until each agent has reported or its
// leases are known to have ended.
func (t *Table) Restore(now time.Time, jobs []Restored, agents map[string]EarlierLease) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.restoredAt = now
	for agent, lease := range agents {
		t.unconfirmedAgents[agent] = lease
		t.registered[agent] = !lease.Withheld
		if lease.Withheld {
			t.withheld[agent] = true
		}
	}
	for _, r := range jobs {
		t.addJob(now, r, len(t.unconfirmedAgents) > 0)
		if recent(now, r.Definition.AcceptedMs) {
			t.cfg.Log.Emit(event.JobQueued, "job", r.Definition.ID, "profile", r.Definition.Profile, "source", "record")
		}
	}
	t.requeueRestored(now)
}

// relogWindow is the age up to which accepted and ended jobs are logged again after a
// change of the leader. The previous leader may have been killed before it wrote its
// buffered log lines, and its term lasts until the others detect that it is unreachable.
const relogWindow = 30 * time.Second

func recent(now time.Time, ms int64) bool { return now.Sub(time.UnixMilli(ms)) < relogWindow }

// EndedJob is a job that ended in an earlier term. EndedMs is a Unix time in milliseconds.
type EndedJob struct {
	ID      string
	Profile string
	State   job.State
	EndedMs int64
}

// RestoreEnded adds jobs that ended in earlier terms, so that their states can be
// looked up until their retention is over.
func (t *Table) RestoreEnded(jobs []EndedJob) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Clock.Now()
	slices.SortFunc(jobs, func(a, b EndedJob) int { return cmp.Compare(a.EndedMs, b.EndedMs) })
	for _, e := range jobs {
		// RemoveExpired stops at the first job that is kept, so an end in the future, by another
		// clock or of another writer, must not keep those that end later.
		e.EndedMs = min(e.EndedMs, now.UnixMilli())
		if _, known := t.jobs[e.ID]; known {
			continue
		}
		j := &jobState{
			def: &job.Definition{ID: e.ID, Profile: e.Profile}, progress: &job.Progress{}, started: true,
			state: e.State, endedAt: time.UnixMilli(e.EndedMs),
		}
		t.jobs[e.ID] = j
		// The previous leader may have ended before it published the state, and this entry and
		// those that follow it already keep the earlier one.
		t.publish(j)
		t.endedJobs = append(t.endedJobs, j)
		if recent(now, e.EndedMs) {
			t.cfg.Log.Emit(event.JobFinished, "job", e.ID, "state", e.State, "source", "record")
		}
	}
}

// Accept adds a job whose record is durable and reports whether it did. It is idempotent:
// for a job that is in the table it only publishes the state again. newer is set if the
// record was written after the one in the table; a job that has ended without having run
// then starts again. A job that was accepted in a newer term is refused, because the
// leader of that term starts it.
func (t *Table) Accept(now time.Time, def *job.Definition, term uint64, newer bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if term > t.cfg.Term {
		return false
	}
	if j, known := t.jobs[def.ID]; known {
		if !newer || !j.state.Terminal() {
			t.republish(j)
			return false
		}
		t.remove(j)
	}
	// A job of an earlier term that Restore did not receive may have runs that are not
	// in the table.
	t.addJob(now, Restored{Definition: def, Term: term}, term != t.cfg.Term && len(t.unconfirmedAgents) > 0)
	return true
}

// remove removes an ended job from the table.
func (t *Table) remove(j *jobState) {
	delete(t.jobs, j.def.ID)
	t.endedJobs = slices.DeleteFunc(t.endedJobs, func(other *jobState) bool { return other == j })
}

// addJob adds a job unless the table contains it. For mayHaveRuns, see jobState.
func (t *Table) addJob(now time.Time, r Restored, mayHaveRuns bool) {
	if _, known := t.jobs[r.Definition.ID]; known {
		return
	}
	j := &jobState{
		def: r.Definition, progress: r.Progress, state: job.Accepted, addedAt: now,
		occurrencesLeft: r.Definition.OccurrenceCount(), inputSession: map[string]uint64{},
	}
	if j.progress == nil || !j.progress.Matches(j.def) {
		j.progress = job.NewProgress(j.def)
	}
	if t.cfg.Term > r.Term {
		j.baseRun = uint32(min(t.cfg.Term-r.Term, 1<<18)) * runsPerTerm
	}
	t.jobs[j.def.ID] = j
	t.waiting[j.def.Profile]++
	j.queued = true
	t.publish(j)
	if r.Cancelled || j.progress.Cancelled {
		t.cancel(now, j)
		return
	}
	j.mayHaveRuns = mayHaveRuns
	t.createDue(now, j)
}

// createDue creates the occurrences of a job that are due. While agents may still
// follow the previous leader, it may have started occurrences of its jobs as well.
func (t *Table) createDue(now time.Time, j *jobState) {
	mayHaveRuns := j.mayHaveRuns && len(t.unconfirmedAgents) > 0
	for len(j.occurrences) < j.def.OccurrenceCount() {
		k := len(j.occurrences)
		if due := j.def.DueMs(k); due > now.UnixMilli() {
			t.futureJobs[j] = struct{}{}
			return
		}
		t.createOccurrence(now, j, mayHaveRuns)
	}
	delete(t.futureJobs, j)
}

// createOccurrence creates the next occurrence of a job.
func (t *Table) createOccurrence(now time.Time, j *jobState, mayHaveRuns bool) {
	o := t.newOccurrence(j, len(j.occurrences), mayHaveRuns)
	j.occurrences = append(j.occurrences, o)
	for _, s := range o.steps {
		t.updateReady(now, s)
	}
	t.finishIfDone(now, o)
}

// createStarted creates the occurrences up to that of a reported task: the clock of an earlier
// leader, by which they were due, may be ahead.
func (t *Table) createStarted(now time.Time, id job.TaskID) {
	j := t.jobs[id.Job]
	if j == nil || j.state.Terminal() || id.Occurrence >= j.def.OccurrenceCount() {
		return
	}
	for len(j.occurrences) <= id.Occurrence {
		t.createOccurrence(now, j, j.mayHaveRuns && len(t.unconfirmedAgents) > 0)
	}
}

// newOccurrence returns the k-th occurrence of a job with its recorded progress. With
// mayHaveRuns its unfinished tasks are not placed before requeueRestored.
func (t *Table) newOccurrence(j *jobState, k int, mayHaveRuns bool) *occurrence {
	o := &occurrence{job: j, index: k, stepsLeft: len(j.def.Steps)}
	for i := range j.def.Steps {
		def := &j.def.Steps[i]
		s := &stepState{
			occurrence: o, def: def, index: i, tasksLeft: def.Count, tasks: make([]taskState, def.Count),
			onAgent: map[string]int{},
		}
		for n := range s.tasks {
			task := &s.tasks[n]
			task.step, task.index = s, n
			if saved := j.progress.Task; saved != nil {
				task.checkpoint, task.avoidedAgents = saved.Checkpoint, slices.Clone(saved.FailedOn)
			}
			task.lastExpiredRun = j.progress.ExpiredRunOf(task.id())
			if j.progress.IsDone(j.def, task.id()) {
				task.phase = taskDone
				s.tasksLeft--
				continue
			}
			if mayHaveRuns {
				task.phase, task.restored = taskUnknown, true
			} else {
				s.pending++
			}
		}
		if def.LongRunning {
			t.idle.add(s)
		}
		if mayHaveRuns && s.tasksLeft > 0 {
			t.restoredSteps = append(t.restoredSteps, s)
		}
		o.steps = append(o.steps, s)
	}
	t.updatePaths(o)
	for _, s := range o.steps {
		if s.tasksLeft == 0 {
			o.stepsLeft--
		}
		for _, before := range s.def.After {
			if o.steps[before].tasksLeft > 0 {
				s.unmetDependencies++
			}
		}
	}
	return o
}

// updateReady adds a step to Table.ready or removes it.
func (t *Table) updateReady(now time.Time, s *stepState) {
	if s.unmetDependencies > 0 || s.pending == 0 || s.job().state.Terminal() || s.job().cancelled {
		delete(t.ready, s)
		return
	}
	if _, ok := t.ready[s]; !ok {
		t.ready[s] = struct{}{}
		s.readyAt, s.waitLimit = now, 0
		t.needsPass = true
	}
}

// finishIfDone ends an occurrence without unfinished steps, and the job with the last one.
// A restored occurrence may have none from the beginning.
func (t *Table) finishIfDone(now time.Time, o *occurrence) {
	if o.stepsLeft > 0 {
		return
	}
	j := o.job
	j.occurrencesLeft--
	if j.occurrencesLeft == 0 {
		t.finishJob(now, j, job.Done)
	}
}

// leaveQueue removes a job from the queue length of its profile, once.
func (t *Table) leaveQueue(j *jobState) {
	if j.queued {
		j.queued = false
		t.waiting[j.def.Profile]--
	}
}

// finishJob sets the final state of a job and stops its runs.
func (t *Table) finishJob(now time.Time, j *jobState, state job.State) {
	if j.state.Terminal() {
		return
	}
	t.leaveQueue(j)
	j.state, j.endedAt = state, now
	delete(t.futureJobs, j)
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			delete(t.ready, s)
			for i := range s.tasks {
				t.dropReservation(&s.tasks[i])
				if run := s.tasks[i].run; run != nil {
					t.stop(run)
				}
			}
		}
	}
	t.endedJobs = append(t.endedJobs, j)
	t.boundResults(j)
	t.markDirty(j)
	t.cfg.Log.Emit(event.JobFinished, "job", j.def.ID, "state", state, "elapsed_ms", now.Sub(j.addedAt).Milliseconds())
}

// maxResultBytes bounds the results that are kept in memory for lookups; others are
// read from the store.
const maxResultBytes = 16 << 20

// boundResults counts the result of an ended job. Beyond maxResultBytes it drops the
// durable results of the jobs that ended first.
func (t *Table) boundResults(ended *jobState) {
	t.resultBytes += len(ended.result)
	for _, j := range t.endedJobs {
		if t.resultBytes <= maxResultBytes {
			return
		}
		if len(j.result) > 0 && j.durableVersion >= j.version {
			t.resultBytes -= len(j.result)
			j.result, j.resultDropped = nil, true
		}
	}
}

// markDirty queues a job for TakeRecords after a change of its durable state.
func (t *Table) markDirty(j *jobState) {
	j.version++
	if !j.dirty {
		j.dirty = true
		t.dirtyJobs = append(t.dirtyJobs, j)
	}
}

// Cancel cancels a job and stops its runs. It reports whether the table contains the
// job; one that has ended stays as it is.
func (t *Table) Cancel(now time.Time, id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	j := t.jobs[id]
	if j == nil {
		return false
	}
	t.cancel(now, j)
	t.republish(j)
	return true
}

func (t *Table) cancel(now time.Time, j *jobState) {
	if j.state.Terminal() {
		return
	}
	j.cancelled, j.progress.Cancelled = true, true
	t.finishJob(now, j, job.Cancelled)
}
