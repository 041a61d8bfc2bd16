// Package schedule is the leader's scheduler: one table of jobs, tasks, runs and agents,
// and the decisions on them.
//
// A table exists for one term of one leader. It does no input or output. Its inputs are
// the reports of agents and the accepted jobs; its outputs are orders for agents, records
// for the store and job states for the other entries. It guarantees that
//
//   - a task has at most one run that may be alive, unless it is speculative: the next
//     run is ordered only after the end of the previous one was reported, or after the
//     lease of its agent is known to have expired, and with it the time in which a start
//     without a response may still be executed;
//   - an end is reported to callers and acknowledged to its agent only after it is
//     durable;
//   - the runs ordered at a worker never exceed its capacity.
package schedule

import (
	"time"

	"github.com/jonboulle/clockwork"

	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/process/lockrank"
	"camphorhead.example/camphorhead/process/metrics"
	"camphorhead.example/camphorhead/request/fairness"
	"camphorhead.example/camphorhead/request/interference"
	"camphorhead.example/camphorhead/request/placement"
	"camphorhead.example/camphorhead/request/placewait"
	"camphorhead.example/camphorhead/request/runtimes"
	"camphorhead.example/camphorhead/version/profile"
)

// Meter receives the measurements of a table; the metrics registry implements it. Its
// methods are called with Table.mu held.
type Meter interface {
	Add(id metrics.ID, delta int64)
	AddFor(id metrics.ID, label string, delta int64)
	Observe(id metrics.ID, d time.Duration)
	ObserveRatio(id metrics.ID, ratio float64)
}

type noMeter struct{}

func (noMeter) Add(metrics.ID, int64)             {}
func (noMeter) AddFor(metrics.ID, string, int64)  {}
func (noMeter) Observe(metrics.ID, time.Duration) {}
func (noMeter) ObserveRatio(metrics.ID, float64)  {}

// Config holds the settings of a table. Its functions are called with Table.mu held.
type Config struct {
	Clock clockwork.Clock
	Log   event.Logger
	Meter Meter // may be nil
	Term  uint64
	// Lease is how long an agent may keep its runs alive after it sent a report.
	Lease time.Duration
	// MaxWorkerLease is the longest lease that a worker grants. A call that was made for an earlier
	// instance of the worker may have such a lease at a later one, whose clock begins anew.
	MaxWorkerLease time.Duration
	// LateCallWindow is how long after a call was sent a worker may execute it, if there was no response.
	LateCallWindow time.Duration
	// ReportInterval is the longest time between two reports of an agent.
	ReportInterval time.Duration
	// Retention is how long an ended job is kept.
	Retention time.Duration
	// NeverFitsDelay is the time after the creation of the table during which no job is
	// failed because it fits no worker, since agents may not have reported yet.
	NeverFitsDelay time.Duration
	// CheckpointInterval is the shortest time between two writes of the checkpoint of a
	// running task with a request; 0: it is written only along with other changes.
	CheckpointInterval time.Duration
	// CancelBound is the time after the response to a cancellation by which no task of the job starts
	// any more; 0: there is no bound.
	CancelBound time.Duration
	// Guard bounds how long filling tasks may keep a serving task over its target.
	Guard    interference.Guard
	Features Features
	// Profile returns the profile in force under a name. Teams returns all teams; it may
	// be nil if there are none.
	Profile func(name string) (profile.Profile, bool)
	Teams   func() map[string]profile.Team
	// AdmitLink takes bytes from the budget of the link to a region and reports whether
	// the budget sufficed; nil: no link is limited.
	AdmitLink func(region string, bytes int) bool
}

// leaseSlack is the share of a lease that is added to it as an allowance for slow clocks:
// that of the worker, which may be 2% slow, and that of the agent.
const leaseSlack = 0.04

// Table is the scheduler's table for one term. Its exported methods may be called from
// any goroutine. They hold mu while they run, do not block, and do no input or output
// except for log lines. The unexported methods of all types of this package are called
// with mu held.
type Table struct {
	cfg Config

	// mu guards all fields below and everything that they reach, such as the jobs, runs
	// and agents. Its place in the lock order is lockrank.RankScheduler.
	mu         lockrank.Mutex
	jobs       map[string]*jobState    // by id
	agents     map[string]*agentState  // attached agents, by id
	ready      map[*stepState]struct{} // steps with tasks that may be placed
	futureJobs map[*jobState]struct{}  // jobs with occurrences that are not due yet
	endedJobs  []*jobState             // in the order of their end, for the retention
	// unconfirmedAgents are the agents of earlier terms that may still have runs which
	// are not in the table. An agent is removed when its leases are known to have ended,
	// or with its first full report.
	unconfirmedAgents  map[string]EarlierLease
	unconfirmedExpired bool           // one of them was removed without a report
	lapsedAgents       int            // those that were removed without a report
	restoredSteps      []*stepState   // steps with tasks that may have runs at unconfirmedAgents
	unresolvedTasks    []*taskState   // tasks that are held because of an unresolved start
	dirtyJobs          []*jobState    // jobs for TakeRecords
	changedJobs        []*jobState    // jobs for Updates
	waiting            map[string]int // jobs that have not started, by profile
	publishedWaiting   map[string]int // waiting as last returned by Updates
	// registered are the agents that the store is known to contain and that may get new runs.
	registered    map[string]bool
	evacuated     map[string]bool // failure domains whose workers get no new runs
	withheld      map[string]bool // agents that get no lease before SetRegistered; see AgentLease
	storedLeases  AgentLeases     // that the store is known to contain; Term 0: unknown
	leasesTakenAt time.Time       // when TakeAgentLeases last returned a list to write
	listed        bool            // the store has contained a list of this term
	closed        bool            // see Close
	pressure      *interference.Pressure
	runTimes      *runtimes.Table
	modelVersion  uint64        // number of changes of pressure and runTimes
	sortedAgents  []*agentState // by id
	fillCostCache map[fillClass]*fillCosts
	fillUse       useRatio
	rackDemand    map[offerKey]*placewait.Demand // by the tasks that name a rack; racks of known workers
	needsPass     bool                           // a change since the latest pass may allow new placements
	passForcedAt  time.Time                      // when Tick last set needsPass
	// passNotBefore is the earliest time of the next pass; it limits the processor time
	// of long passes.
	passNotBefore time.Time
	createdAt     time.Time
	restoredAt    time.Time // when Restore was called, before which no agent can report
	// termConfirmedAt is the latest time at which this term is known to have been the
	// newest one.
	termConfirmedAt        time.Time
	termConfirmedBy        Confirmation
	awaitsTermConfirmation bool // the expiry of a session waits for ConfirmTerm
	// cancellationsKnownAt is as in RecordCancellationsKnown.
	cancellationsKnownAt time.Time
	startTracker         startTracker
	idle                 idleTracker
	backlog              backlog
	shares               *fairness.Shares
	quotas               quotas
	departing            departures
	pairings             *interference.Pairings
	capacities           placement.Capacities // of all workers that this table has seen
	changedSummaries     map[string]struct{}  // ids of the agents for AgentUpdates
	removedAgents        []string             // for AgentUpdates
	adviceRequests       []AdviceRequest      // for TakeAdviceRequests
	resultBytes          int                  // size of the job results in memory
}

// New returns an empty table.
func New(cfg Config) *Table {
	if cfg.Meter == nil {
		cfg.Meter = noMeter{}
	}
	t := &Table{
		cfg: cfg, mu: lockrank.NewMutex(lockrank.RankScheduler),
		jobs: map[string]*jobState{}, agents: map[string]*agentState{},
		ready: map[*stepState]struct{}{}, futureJobs: map[*jobState]struct{}{},
		unconfirmedAgents: map[string]EarlierLease{}, waiting: map[string]int{}, publishedWaiting: map[string]int{},
		registered: map[string]bool{}, withheld: map[string]bool{}, pressure: interference.NewPressure(), runTimes: runtimes.New(),
		createdAt: cfg.Clock.Now(), startTracker: newStartTracker(), quotas: newQuotas(), capacities: placement.Capacities{},
		pairings:         interference.NewPairings(interference.PairingsConfig{Clock: cfg.Clock}),
		changedSummaries: map[string]struct{}{}, fillCostCache: map[fillClass]*fillCosts{},
		rackDemand: map[offerKey]*placewait.Demand{}, backlog: newBacklog(),
	}
	if cfg.Features.Forecast {
		t.pressure, t.fillUse.value = interference.NewForecast(t.createdAt), 1
	}
	t.shares = fairness.New(t.teamWeight)
	return t
}

// SafeLeaseEnd returns the time by which a lease of the given length that ends at end by
// the leader's clock is known to have expired by the clocks of the agent and its worker
// as well.
func SafeLeaseEnd(end time.Time, lease time.Duration) time.Time {
	return end.Add(time.Duration(leaseSlack * float64(lease)))
}

// safeLeaseEnd returns the time by which all runs of an agent that its worker has executed are
// known to have ended unless the agent reports again.
func (t *Table) safeLeaseEnd(a *agentState) time.Time {
	if end := t.safeGrantEnd(a); end.After(a.restartLeaseEnd) {
		return end
	}
	return a.restartLeaseEnd
}

// safeGrantEnd returns the time by which the leases that an agent has given its worker under the
// grant of its last report are known to have ended.
func (t *Table) safeGrantEnd(a *agentState) time.Time {
	return SafeLeaseEnd(a.reportedAt.Add(t.cfg.Lease), t.cfg.Lease)
}
