package schedule

import (
	"strconv"
	"time"

	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/request/outcome"
)

// jobState is a job with its progress.
type jobState struct {
	def      *job.Definition
	progress *job.Progress
	state    job.State
	// began is set with the first run of the job.
	began bool
	// earlier is set for a job that another leader may have started runs of.
	earlier bool
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
	// result and failure are the outcome of a job with a request.
	result  []byte
	failure *outcome.Error
	// dropped is set when the result is in the store only.
	dropped bool
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
	// advice is what the policy service said, for a profile that asks one.
	advice stepAdvice
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
	// restored tasks may have failed in an earlier term at agents that have not
	// reported in this one.
	restored bool
	// savedAt is when the checkpoint was last made durable.
	savedAt time.Time
	// claim is the worker at which room is being made for the task.
	claim claim
}

func (t *taskState) id() job.TaskID {
	return job.TaskID{
		Job: t.step.job().def.ID, Occurrence: t.step.occurrence.index, Step: t.step.index, Index: t.index,
	}
}

// id names a step of one occurrence of a job.
func (s *stepState) id() string {
	return s.job().def.ID + "." + strconv.Itoa(s.occurrence.index) + "." + strconv.Itoa(s.index)
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
	// checkpointAt is when the checkpoint last changed.
	checkpointAt time.Time
	// ticket is the permission of the policy service, if the step needs one.
	ticket   string
	pace     int
	milliCPU int // as last reported; 0: not yet
	// confirmed is when the agent first listed the run; zero: not yet.
	confirmed time.Time
	// cause says why the leader stopped the run to place its task elsewhere.
	cause job.EvictionCause
	// stray runs were listed by an agent and must end; they are not their
	// task's run.
	stray bool
}

func (r *runState) key() job.RunKey { return job.RunKey{Task: r.task.id(), Run: r.number} }

// runsPerTerm separates the run numbers of different terms of one job.
const runsPerTerm = 1 << 12
