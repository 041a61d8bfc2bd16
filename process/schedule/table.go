// Package schedule is the leader's table of jobs, runs and workers, and the
// scheduling decisions over it.
//
// One table lives for one term of one leader. It performs no input or output:
// reports of agents and accepted jobs go in, orders for agents, records for the
// store and states for the other entries come out. Its guarantees:
//
//   - a task has at most one run that may be alive, unless it is speculative:
//     the next run is ordered only after the end of the previous one was
//     reported, or after the lease of its agent has certainly ended;
//   - an end counts for callers and is acknowledged to its agent only after it
//     is durable;
//   - a worker is never ordered beyond its capacity.
package schedule

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/jonboulle/clockwork"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/process/lockrank"
	"camphorhead.example/camphorhead/request/interference"
	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/version/profile"
)

// Config holds the settings of a table.
type Config struct {
	Clock clockwork.Clock
	Log   event.Logger
	Term  uint64
	// Lease is how long an agent may keep its runs alive after it sent a report.
	Lease time.Duration
	// Heartbeat is the longest pause between two reports of an agent.
	Heartbeat time.Duration
	// Retention is how long the state of an ended job is kept.
	Retention time.Duration
	// Profile returns the profile in force under a name.
	Profile func(name string) (profile.Profile, bool)
}

// leaseSlack covers the rate of the worker's clock, which may be 2% slow, and
// the rate of the agent's.
const leaseSlack = 0.04

// Table is the table. All methods may be called from any goroutine; they
// neither block nor call out, apart from writing log lines.
type Table struct {
	cfg Config

	mu     lockrank.Mutex // guards all fields below and everything that they reach
	jobs   map[string]*jobState
	agents map[string]*agentState
	// ready are the steps with tasks that wait for a worker.
	ready map[*stepState]struct{}
	// later are jobs with occurrences that are not due yet.
	later map[*jobState]struct{}
	// ended are the ended jobs in the order of their end, for the retention.
	ended []*jobState
	// unproven are agents of the previous term that may still have runs, with
	// the time by which their leases have ended.
	unproven map[string]time.Time
	// restored are steps of the previous term whose unfinished tasks may have
	// runs at unproven agents.
	restored []*stepState
	dirty    []*jobState
	changed  []*jobState
	waiting  map[string]int // jobs that have not begun, by profile
	told     map[string]int // what the followers were told of waiting
	// registered are the agents that are durably known to have runs.
	registered map[string]bool
	pressure   *interference.Pressure
	// sorted are the agents in the order of their ids.
	sorted []*agentState
	// changedRoom is set when something may be placed that could not before.
	changedRoom bool
	passedAt    time.Time
}

// New returns an empty table.
func New(cfg Config) *Table {
	return &Table{
		cfg: cfg, mu: lockrank.NewMutex(lockrank.RankScheduler),
		jobs: map[string]*jobState{}, agents: map[string]*agentState{},
		ready: map[*stepState]struct{}{}, later: map[*jobState]struct{}{},
		unproven: map[string]time.Time{}, waiting: map[string]int{}, told: map[string]int{},
		registered: map[string]bool{}, pressure: interference.NewPressure(),
	}
}

// CertainEnd returns when a lease that ends at a time by the leader's clock has
// ended by the clocks of agent and worker too.
func CertainEnd(end time.Time, lease time.Duration) time.Time {
	return end.Add(time.Duration(leaseSlack * float64(lease)))
}

// certainEnd is when everything that an agent held at a report is certainly dead.
func (t *Table) certainEnd(reported time.Time) time.Time {
	return CertainEnd(reported.Add(t.cfg.Lease), t.cfg.Lease)
}

// jobState is a job with its progress.
type jobState struct {
	def      *job.Definition
	progress *job.Progress
	state    job.State
	// began is set with the first run of the job.
	began bool
	// known is when the leader learned of the job, due when it should be done.
	known time.Time
	// baseRun is below every run number that this term assigns.
	baseRun uint32
	// occurrences are created when they are due.
	occurrences []*occurrence
	unfinished  int
	// chain is the longest chain of estimated work, in milliseconds.
	chain int64
	// version counts durable changes; durable is the version that is in the store.
	version, durable uint64
	listed           bool // in Table.dirty
	published        job.State
	endedAt          time.Time
	inputAt          map[string]uint64 // agents that have the input, by session
	cancelled        bool
}

type occurrence struct {
	job   *jobState
	index int
	steps []*stepState
	left  int // unfinished steps
}

type stepState struct {
	occurrence *occurrence
	def        *job.Step
	index      int
	blocked    int // steps that must be done first
	left       int // tasks that are not done
	pending    int // tasks that wait for a worker
	tasks      []taskState
	onAgent    map[string]int // active tasks by agent
	readyAt    time.Time
	// chain is the longest chain of estimated work from this step on, in
	// milliseconds.
	chain int64
}

type taskPhase uint8

const (
	taskWaiting taskPhase = iota
	// taskUnknown may have a run of the previous term somewhere.
	taskUnknown
	taskActive
	taskDone
)

type taskState struct {
	step    *stepState
	index   int
	phase   taskPhase
	lastRun uint32
	// lapsedRun is the highest run that was taken for dead because its agent was
	// silent; the platform does not count what such a run reports later.
	lapsedRun  uint32
	checkpoint string
	run        *runState
	avoid      []string
	endedAt    time.Time
}

func (t *taskState) id() job.TaskID {
	return job.TaskID{
		Job: t.step.job().def.ID, Occurrence: t.step.occurrence.index, Step: t.step.index, Index: t.index,
	}
}

func (s *stepState) job() *jobState { return s.occurrence.job }

// runState is a run that may be alive.
type runState struct {
	task     *taskState
	number   uint32
	agent    *agentState
	ordered  time.Time
	stopping bool
	progress int
	// progressAt is when the progress last grew.
	progressAt time.Time
	pace       int
	milliCPU   int // as last reported; 0: not yet
	// stray runs were listed by an agent and must end; they are not their
	// task's run.
	stray bool
}

func (r *runState) key() job.RunKey { return job.RunKey{Task: r.task.id(), Run: r.number} }

// runsPerTerm separates the run numbers of different terms of one job.
const runsPerTerm = 1 << 12

// Restored is a job as the store has it.
type Restored struct {
	Definition *job.Definition
	Progress   *job.Progress // nil: nothing is recorded yet
	Cancelled  bool
	// Term is the term in which the job was accepted.
	Term uint64
}

// Restore enters the unfinished jobs of earlier terms. agents are those that
// may have runs, with the time by which those are certainly dead.
func (t *Table) Restore(now time.Time, jobs []Restored, agents map[string]time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for agent, until := range agents {
		t.unproven[agent] = until
		t.registered[agent] = true
	}
	for _, r := range jobs {
		t.enter(now, r, len(t.unproven) > 0)
	}
	t.prove(now)
}

// EndedJob is a job of an earlier term that has ended.
type EndedJob struct {
	ID      string
	Profile string
	State   job.State
	EndedMs int64
}

// RestoreEnded enters ended jobs, so that their states are known until their
// retention is over.
func (t *Table) RestoreEnded(jobs []EndedJob) {
	t.mu.Lock()
	defer t.mu.Unlock()
	slices.SortFunc(jobs, func(a, b EndedJob) int { return cmp.Compare(a.EndedMs, b.EndedMs) })
	for _, e := range jobs {
		if _, known := t.jobs[e.ID]; known {
			continue
		}
		j := &jobState{
			def: &job.Definition{ID: e.ID, Profile: e.Profile}, progress: &job.Progress{}, began: true,
			state: e.State, published: e.State, endedAt: time.UnixMilli(e.EndedMs),
		}
		t.jobs[e.ID] = j
		t.ended = append(t.ended, j)
	}
}

// Accept enters a job that is durable. A repetition changes nothing; it
// reports whether the job is new.
func (t *Table) Accept(now time.Time, def *job.Definition, term uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if j, known := t.jobs[def.ID]; known {
		t.publishAgain(j)
		return false
	}
	// A job that was accepted in an earlier term and was missed by Restore may
	// have runs that are not known here.
	t.enter(now, Restored{Definition: def, Term: term}, term != t.cfg.Term && len(t.unproven) > 0)
	return true
}

func (t *Table) enter(now time.Time, r Restored, unknown bool) {
	if _, known := t.jobs[r.Definition.ID]; known {
		return
	}
	j := &jobState{
		def: r.Definition, progress: r.Progress, state: job.Accepted, known: now,
		unfinished: r.Definition.Runs(), inputAt: map[string]uint64{},
	}
	if j.progress == nil || !j.progress.Matches(j.def) {
		j.progress = job.NewProgress(j.def)
	}
	if t.cfg.Term > r.Term {
		j.baseRun = uint32(min(t.cfg.Term-r.Term, 1<<18)) * runsPerTerm
	}
	for _, chain := range chains(j.def.Steps) {
		j.chain = max(j.chain, chain)
	}
	t.jobs[j.def.ID] = j
	t.waiting[j.def.Profile]++
	t.publish(j)
	if r.Cancelled || j.progress.Cancelled {
		t.cancel(now, j)
		return
	}
	t.openDue(now, j, unknown)
}

// openDue creates the occurrences whose time has come.
func (t *Table) openDue(now time.Time, j *jobState, unknown bool) {
	for len(j.occurrences) < j.def.Runs() {
		k := len(j.occurrences)
		if due := j.def.DueMs(k); due > now.UnixMilli() {
			t.later[j] = struct{}{}
			return
		}
		o := t.newOccurrence(j, k, unknown)
		j.occurrences = append(j.occurrences, o)
		for _, s := range o.steps {
			t.consider(now, s)
		}
		t.finishEmpty(now, o)
	}
	delete(t.later, j)
}

func (t *Table) newOccurrence(j *jobState, k int, unknown bool) *occurrence {
	o := &occurrence{job: j, index: k, left: len(j.def.Steps)}
	longest := chains(j.def.Steps)
	for i := range j.def.Steps {
		def := &j.def.Steps[i]
		s := &stepState{
			occurrence: o, def: def, index: i, left: def.Count, tasks: make([]taskState, def.Count),
			onAgent: map[string]int{}, chain: longest[i],
		}
		for n := range s.tasks {
			task := &s.tasks[n]
			task.step, task.index = s, n
			if j.progress.IsDone(j.def, task.id()) {
				task.phase = taskDone
				s.left--
				continue
			}
			if unknown {
				task.phase = taskUnknown
			} else {
				s.pending++
			}
		}
		if unknown && s.left > 0 {
			t.restored = append(t.restored, s)
		}
		o.steps = append(o.steps, s)
	}
	for _, s := range o.steps {
		if s.left == 0 {
			o.left--
		}
		for _, before := range s.def.After {
			if o.steps[before].left > 0 {
				s.blocked++
			}
		}
	}
	return o
}

// consider puts a step among the ready ones if it has tasks to place.
func (t *Table) consider(now time.Time, s *stepState) {
	if s.blocked > 0 || s.pending == 0 || s.job().state.Terminal() || s.job().cancelled {
		delete(t.ready, s)
		return
	}
	if _, ok := t.ready[s]; !ok {
		t.ready[s] = struct{}{}
		s.readyAt = now
		t.changedRoom = true
	}
}

// finishEmpty ends an occurrence of which nothing is left, as after a restore.
func (t *Table) finishEmpty(now time.Time, o *occurrence) {
	if o.left > 0 {
		return
	}
	j := o.job
	j.unfinished--
	if j.unfinished == 0 {
		t.end(now, j, job.Done)
	}
}

// end gives a job its final state and stops what still runs.
func (t *Table) end(now time.Time, j *jobState, state job.State) {
	if j.state.Terminal() {
		return
	}
	if !j.began {
		t.waiting[j.def.Profile]--
		j.began = true
	}
	j.state, j.endedAt = state, now
	delete(t.later, j)
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			delete(t.ready, s)
			for i := range s.tasks {
				if run := s.tasks[i].run; run != nil {
					t.stop(run)
				}
			}
		}
	}
	t.ended = append(t.ended, j)
	t.touch(j)
	t.cfg.Log.Emit(event.JobFinished, "job", j.def.ID, "state", state, "elapsed_ms", now.Sub(j.known).Milliseconds())
}

// touch marks a job for the next record in the store.
func (t *Table) touch(j *jobState) {
	j.version++
	if !j.listed {
		j.listed = true
		t.dirty = append(t.dirty, j)
	}
}

// Cancel ends a job at its caller's wish. It reports whether the job is known.
func (t *Table) Cancel(now time.Time, id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	j := t.jobs[id]
	if j == nil {
		return false
	}
	t.cancel(now, j)
	t.publishAgain(j)
	return true
}

func (t *Table) cancel(now time.Time, j *jobState) {
	if j.state.Terminal() {
		return
	}
	j.cancelled, j.progress.Cancelled = true, true
	t.end(now, j, job.Cancelled)
}

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
