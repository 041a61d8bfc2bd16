package schedule

import (
	"strconv"
	"time"

	"camphorhead.example/camphorhead/request/departure"
	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/request/outcome"
)

// jobState is a job in the table.
type jobState struct {
	def      *job.Definition
	progress *job.Progress // the durable part of the state; TakeRecords copies it
	state    job.State     // an end may not be durable yet; see reportedState
	started  bool          // set when the first run is ordered or adopted
	// queued: the job counts in Table.waiting. A run that was ordered may not have begun, so it
	// counts until a worker has confirmed or ended a run.
	queued bool
	// mayHaveRuns is set if an earlier leader may have started runs of the job that are
	// not in the table.
	mayHaveRuns     bool
	addedAt         time.Time
	baseRun         uint32        // below every run number that this term assigns
	occurrences     []*occurrence // created when they are due
	occurrencesLeft int           // unfinished ones, those that are not due yet included
	criticalPathMs  int64         // expected time of the longest chain of dependent steps; see Table.updatePaths
	// version counts the changes of the durable state; durableVersion is the highest
	// version that the store is known to contain.
	version, durableVersion uint64
	dirty                   bool      // in Table.dirtyJobs
	published               job.State // as last returned by Updates
	endedAt                 time.Time
	inputSession            map[string]uint64 // by agent: the session that received the input
	cancelled               bool
	result                  []byte         // of a job with a request
	failure                 *outcome.Error // of a job with a request; nil unless it failed
	resultDropped           bool           // the result is in the store only
}

// occurrence is one execution of all steps of a job.
type occurrence struct {
	job       *jobState
	index     int
	steps     []*stepState
	stepsLeft int
}

// stepState is a step of one occurrence.
type stepState struct {
	occurrence        *occurrence
	def               *job.Step
	index             int
	unmetDependencies int
	tasksLeft         int
	pending           int // tasks in the phase taskWaiting
	tasks             []taskState
	ended             endedRuns      // run times of its tasks that are done
	rack              string         // of its first run
	severalRacks      bool           // it has had runs on another rack too
	onAgent           map[string]int // number of runs by agent id
	readyAt           time.Time      // when the step last became ready
	// runTimeMs is the expected run time of one task, criticalPathMs the expected time of the longest
	// chain of dependent steps from this one on; see Table.updatePaths.
	runTimeMs, criticalPathMs int64
	advice                    stepAdvice // unused unless the job's profile requires the policy service
	placeWaits                stepPlaceWaits
	waitLimit                 time.Duration // as with minWaitLimit, from readyAt; 0: not computed yet
}

type taskPhase uint8

const (
	taskWaiting taskPhase = iota // waits for a worker, or for the steps before its own
	taskUnknown                  // may have a run of an earlier term that is not in the table
	taskActive                   // has a run, or one that has just ended
	taskDone
)

type taskState struct {
	step    *stepState
	index   int
	phase   taskPhase
	lastRun uint32 // highest known run number; 0: no run
	// lastExpiredRun is the highest number of a run that counts as ended because its lease
	// expired. Ends that agents report later for it and earlier runs are ignored.
	lastExpiredRun uint32
	checkpoint     string // latest known; empty if there is none
	run            *runState
	unresolved     *unresolvedStart // nil: none; the task is in Table.unresolvedTasks otherwise
	orphans        int              // orphaned runs that may be alive
	avoidedAgents  []string         // agents whose workers the task avoids, the oldest first
	endedAt        time.Time        // when the latest run ended
	// restored is set if the task may have failed in an earlier term at agents that have
	// not reported in this one.
	restored          bool
	checkpointSavedAt time.Time // when the checkpoint was last queued for the store
	reservation       reservation
	placeWait         taskPlaceWait
}

func (t *taskState) id() job.TaskID {
	return job.TaskID{
		Job: t.step.job().def.ID, Occurrence: t.step.occurrence.index, Step: t.step.index, Index: t.index,
	}
}

// id is unique among all occurrences of all jobs.
func (s *stepState) id() string {
	return s.job().def.ID + "." + strconv.Itoa(s.occurrence.index) + "." + strconv.Itoa(s.index)
}

func (s *stepState) job() *jobState { return s.occurrence.job }

// runState is a run that may be alive.
type runState struct {
	task         *taskState
	number       uint32
	agent        *agentState
	orderedAt    time.Time         // or adopted; zero if orphaned
	stopping     bool              // a stop order has been queued
	unsent       bool              // its start order could not be sent; see MarkUnsent
	progressPct  int               // as last reported, in percent
	progressAt   time.Time         // when progressPct last changed
	checkpointAt time.Time         // when the checkpoint last changed
	ticket       string            // permission of the policy service; empty if the step needs none
	pacePct      int               // as last reported, in percent
	milliCPU     int               // measured use as last reported; 0 before the first report
	confirmedAt  time.Time         // when the agent first listed the run; zero before that
	cause        job.EvictionCause // why the leader stopped the run to place its task elsewhere; else empty
	// partial is set if the run began before this table knew it, or from a checkpoint: its duration
	// is then less than the run time of its task.
	partial bool
	// orphaned is set for a run that an agent listed and that must end because its task
	// has another run or no longer needs one. It is not the current run of its task.
	orphaned bool
	// departure is the latest decision on the run since its worker has announced its departure.
	departure departure.Decision
}

func (r *runState) key() job.RunKey { return job.RunKey{Task: r.task.id(), Run: r.number} }

// runsPerTerm is the distance between the first run numbers of a job in consecutive
// terms. It keeps a new leader from assigning numbers that an earlier one has used.
const runsPerTerm = 1 << 12
