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
	"time"

	"github.com/jonboulle/clockwork"

	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/process/lockrank"
	"camphorhead.example/camphorhead/process/metrics"
	"camphorhead.example/camphorhead/request/fairness"
	"camphorhead.example/camphorhead/request/interference"
	"camphorhead.example/camphorhead/request/placement"
	"camphorhead.example/camphorhead/version/profile"
)

// Meter takes counters and durations; a metrics registry is one.
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

// Config holds the settings of a table.
type Config struct {
	Clock clockwork.Clock
	Log   event.Logger
	// Meter may be nil.
	Meter Meter
	Term  uint64
	// Lease is how long an agent may keep its runs alive after it sent a report.
	Lease time.Duration
	// Heartbeat is the longest pause between two reports of an agent.
	Heartbeat time.Duration
	// Retention is how long the state of an ended job is kept.
	Retention time.Duration
	// Settle is how long after its begin a table says of no job that it never fits.
	Settle time.Duration
	// Checkpoint is how often the checkpoint of a running task with a request is
	// made durable; 0: only along with other changes.
	Checkpoint time.Duration
	// Guard bounds the harm of filling tasks.
	Guard interference.Guard
	// Profile returns the profile in force under a name, Teams all teams; nil:
	// there are none.
	Profile func(name string) (profile.Profile, bool)
	Teams   func() map[string]profile.Team
	// AdmitLink takes bytes of an agent's region from the budget of the link to
	// it; nil: no region is limited.
	AdmitLink func(region string, bytes int) bool
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
	// expired is set when one of them was not heard before its leases had ended.
	expired bool
	// restored are steps of the previous term whose unfinished tasks may have
	// runs at unproven agents.
	restored []*stepState
	dirty    []*jobState
	changed  []*jobState
	waiting  map[string]int // jobs that have not begun, by profile
	told     map[string]int // what the followers were told of waiting
	// registered are the agents that are durably known to have runs, listed the
	// number of agents that the store is known to name.
	registered map[string]bool
	listed     int
	pressure   *interference.Pressure
	// sorted are the agents in the order of their ids.
	sorted []*agentState
	// changedRoom is set when something may be placed that could not before.
	changedRoom bool
	passedAt    time.Time
	// notBefore keeps the passes from taking more than a part of the processor.
	notBefore time.Time
	began     time.Time
	// confirmed is when the term is known to have been the newest one.
	confirmed time.Time
	// unconfirmed is set while the loss of an agent waits for that.
	unconfirmed bool
	starts      starts
	shares      *fairness.Shares
	quotas      quotas
	pairings    *interference.Pairings
	// capacities are the shapes of the workers ever seen.
	capacities placement.Capacities
	// summaries are the agents whose summary changed, gone those that were lost,
	// since the followers were told.
	summaries map[string]struct{}
	gone      []string
	// questions wait for the leader to ask the policy service.
	questions []Question
	// resultBytes is the size of the results that are kept.
	resultBytes int
}

// New returns an empty table.
func New(cfg Config) *Table {
	if cfg.Meter == nil {
		cfg.Meter = noMeter{}
	}
	t := &Table{
		cfg: cfg, mu: lockrank.NewMutex(lockrank.RankScheduler),
		jobs: map[string]*jobState{}, agents: map[string]*agentState{},
		ready: map[*stepState]struct{}{}, later: map[*jobState]struct{}{},
		unproven: map[string]time.Time{}, waiting: map[string]int{}, told: map[string]int{},
		registered: map[string]bool{}, pressure: interference.NewPressure(),
		began: cfg.Clock.Now(), starts: newStarts(), quotas: newQuotas(), capacities: placement.Capacities{},
		pairings:  interference.NewPairings(interference.PairingsConfig{Clock: cfg.Clock}),
		summaries: map[string]struct{}{},
	}
	t.shares = fairness.New(t.teamWeight)
	return t
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
