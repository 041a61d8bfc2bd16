// Package runs manages the runs of tasks at the worker beside an agent: it executes the
// leader's orders at the worker and reports their outcome.
//
// It guarantees that
//
//   - the worker's lease, measured by the worker's own clock, never extends beyond what a
//     leader has granted, so that the runs of an isolated or paused agent end before their
//     tasks may be started elsewhere;
//   - a full report names every run that exists at the worker or may still start there;
//   - the worker discards an end only after the leader has made it durable.
//
// An end is the record of a run that has ended. The worker numbers its ends from 1 for each
// worker instance, the agent those that it reports with serials from 1 for each session. An
// end is recorded once the leader has acknowledged its serial as durable.
package runs

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/connection/peer"
	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/process/ledger"
	"camphorhead.example/camphorhead/process/lockrank"
	"camphorhead.example/camphorhead/process/metrics"
	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/process/pool"
	"camphorhead.example/camphorhead/request/interference"
	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/request/resources"
)

// Timing holds the intervals and timeouts of a Node.
type Timing struct {
	ReportInterval time.Duration // maximum time between two reports to the leader
	// WorkerLease is the length to which each poll extends the worker's lease, unless the
	// leader's grant ends earlier.
	WorkerLease time.Duration
	// MaxWorkerLease is the longest lease that the worker grants, to which it shortens longer
	// ones; at least WorkerLease.
	MaxWorkerLease    time.Duration
	ReportTimeout     time.Duration // of a report with its reply, and of each request to find the leader
	CallTimeout       time.Duration // of connecting to the leader
	WorkerCallTimeout time.Duration // of a call to the worker; a poll has its Wait in addition
}

// longestLease returns how long a lease may last after the call that requested it, by the agent's
// clock: a worker shortens one that is too long by its clock, such as one that was requested from
// an earlier instance, to the longest that it grants.
func (t *Timing) longestLease() time.Duration {
	return time.Duration(float64(max(t.WorkerLease, t.MaxWorkerLease)) / leaseClockFactor)
}

// Config holds the dependencies and settings of a Node.
type Config struct {
	ID       string
	Address  func() string // at which the agent receives frames
	Location message.Location
	Clock    clockwork.Clock
	Log      event.Logger
	Worker   platform.Worker
	Ledger   *ledger.Ledger
	Net      *peer.Network
	Pool     *pool.Pool // for reports, leader search and timers; calls to the worker have their own pool
	Metrics  *metrics.Registry
	Timing   Timing
	// Guard bounds how long filling tasks may keep a serving task over its target.
	Guard interference.Guard
	// Seeds are addresses of entries to query for the leader, besides those a leader names.
	Seeds []string
	// ReadLeader reads the leader from the store; nil or an error: entries are queried.
	ReadLeader func(ctx context.Context) (message.Leader, error)
	// ConfigVersion returns the version in force. OnNewerConfig runs on Pool when a reply shows
	// that the leader at that address has a newer one; nil: the agent needs no configuration.
	ConfigVersion func() uint64
	OnNewerConfig func(ctx context.Context, leader string)
	// Reserve reserves ledger capacity for a start, with Node.mu held; its error becomes the
	// reason of the refusal. nil: the order's charge is reserved.
	Reserve func(o *message.StartRun) error
	// Summary describes the worker and its targets for the entries, with leaderClient.mu held.
	// If exact is set, as during a planned stop, changed amounts are reported at once, not
	// after summaryInterval. nil: reports have no summary.
	Summary func() (s message.Summary, exact bool)
	// Pairings returns the learned pairings that no leader has accepted yet, or with all set
	// those of all pairs, with leaderClient.mu held. OnPairingsAccepted receives those that a
	// leader has accepted. nil: none.
	Pairings           func(all bool) []interference.Pairing
	OnPairingsAccepted func([]interference.Pairing)
}

const (
	tickInterval          = 50 * time.Millisecond // resolution of the timers
	workerCallConcurrency = 12                    // concurrent starts, stops and pace changes at the worker
	workerCallQueueLength = 1024                  // calls that wait; more are refused
)

// Node is the table of runs at one worker. It polls the worker, executes the leader's orders
// there and reports to the leader. Methods other than Start and Stop may be called
// concurrently.
type Node struct {
	cfg    Config
	calls  *pool.Pool // starts, stops and pace changes at the worker
	leader leaderClient
	ticker *pool.Ticker
	cancel context.CancelFunc // ends pollLoop
	wg     sync.WaitGroup

	mu            lockrank.Mutex     // guards the fields below; taken after leaderClient.mu; no remote calls under either
	worker        message.WorkerInfo // latest description by an instance that has responded to polls
	announcements announcements
	instance      string // worker ID in calls, so that another worker refuses them; empty: whichever responds
	clock         workerClock
	token         int64     // fencing token of calls; the worker refuses lower ones than it has seen
	grantEnd      time.Time // end of the leader's grant, by the agent's clock
	lease         workerLease
	pollToken     int64 // of the latest poll
	// Calls with a token below fenceToken were made for earlier worker instances. fenced: the
	// current one executes none of them any more, as it has answered a poll with fenceToken or
	// a higher one. sharesID: until then it may have, since they name the same ID.
	fenceToken       int64
	fenced, sharesID bool
	unresponsive     bool               // the latest poll had no response, or the worker seems to have restarted since
	cancelPoll       context.CancelFunc // of the latest poll
	// listedAt is when the latest listing arrived, polledAt when the poll of the latest one with
	// all ends was sent; zero: none.
	listedAt, polledAt time.Time
	// instanceStartMs identifies the worker instance of the latest listing: the Unix time of its
	// start, in ms; 0: none yet. That instance is listed; it is announced once worker describes it.
	instanceStartMs int64
	runs            map[job.RunKey]*run
	// ends are in the order of the worker's numbers; one that the agent concluded follows those
	// known by then. The first reportedEnds of them were reported in this session.
	ends             []*pendingEnd
	reportedEnds     int
	lastRecorded     uint64               // worker's number of the latest recorded end of the current instance
	discarded        uint64               // number up to which that instance has discarded its ends
	refused          []message.RunRefusal // not yet reported
	givenUp          givenUpRuns          // runs whose end the worker has not listed
	inputs           map[string][]byte    // by job
	inputBytes       int                  // size of inputs
	plannedStop      bool                 // a planned stop covers the worker; starts are refused
	leavesAt         time.Time            // when the worker leaves, as announced; zero: it has not told
	reportedWorker   message.WorkerInfo
	reportedLeavesAt time.Time     // leavesAt as last reported
	usageAge         time.Duration // age of the measured usage in the latest listing
	sampledAt        time.Time     // when a report last had the measurements of all serving and filling tasks
	unreportedChange bool
}

// run is a run that exists at the worker or may still start there. Node.mu guards its fields;
// order.Key never changes.
type run struct {
	order                message.StartRun
	known                bool      // false: only a listing names the run; the leader has not described its size yet
	confirmedAt          time.Time // when the worker first accepted or listed the run; zero: unconfirmed
	stopping             bool
	stopSentAt           time.Time
	state                message.RunState
	reported             message.RunState // state in the latest report that included the run
	startedAt            time.Time        // when it was admitted or, if not ordered here, first listed
	startBy              time.Time        // until when its start may be sent to the worker; zero: the leader has set no limit
	instanceStartMs      int64            // instance by whose capacity it was admitted
	confirmationReported bool
	evictionCause        job.EvictionCause // why this agent stops the run; empty: the leader ordered it
	usage                resources.Resources
	withinTargetAt       time.Time // when last listed within its target; if never, first listed over it
	overTarget           bool
	requestedPace        int // pace to set, in percent
	// paceKnown: state.PacePct is the pace at the worker. pacing: setPace is queued or runs.
	paceKnown, pacing bool
	startSentAt       time.Time // when the first copy of its start was sent; zero: none was
	startInFlight     bool
	noResponseAt      time.Time // when a start last had no response: the worker may have executed it; zero: never
}

// pendingEnd is an end that is not recorded yet. Node.mu guards its fields.
type pendingEnd struct {
	message.RunEnd
	number          uint64 // the worker's number; 0: concluded by the agent without being listed
	instanceStartMs int64  // of the worker instance of the run
	recorded        bool
	startedAt       time.Time // run.startSentAt
}

// workerClock is a sample of the clock of the instance that responds to polls: valueMs at readAt
// of the agent's clock. readAt is zero if there is none.
type workerClock struct {
	valueMs int64
	readAt  time.Time
}

// tokenStep exceeds the number of tokens that one agent uses, so that a token
// raised by it is above all that an earlier agent has sent.
const tokenStep = 1 << 22

// New returns a node that is not started. Its first token and session derive from the time, so
// that they exceed those of earlier processes.
func New(cfg Config) *Node {
	n := &Node{
		cfg: cfg, mu: lockrank.NewMutex(lockrank.RankTasks), runs: map[job.RunKey]*run{}, givenUp: givenUpRuns{},
		lease:  newWorkerLease(),
		inputs: map[string][]byte{}, token: cfg.Clock.Now().UnixMilli() + tokenStep,
	}
	n.leader = newLeaderClient(n)
	n.calls = pool.New(workerCallConcurrency, workerCallQueueLength)
	return n
}

// Start starts to poll the worker and to search for a leader.
func (n *Node) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.wg.Go(func() { n.pollLoop(ctx) })
	n.ticker = n.cfg.Pool.Every(tickInterval, n.tick)
}

// Stop ends the node and waits for the ticker, the poll loop and the calls to the worker;
// before Start it does nothing. Runs continue until their lease expires or the next agent takes
// them over.
func (n *Node) Stop() {
	if n.cancel == nil {
		return
	}
	n.ticker.Stop()
	n.cancel()
	n.wg.Wait()
	n.calls.Close()
}

// Draining reports whether the worker has announced that it is draining, or has departed.
func (n *Node) Draining() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.worker.Draining
}

func stateOf(w message.WorkerInfo) string {
	if w.Draining {
		return "draining"
	}
	return "ready"
}

// sameWorker reports whether two descriptions are equal except for LeavesInMs.
func sameWorker(a, b *message.WorkerInfo) bool {
	if len(a.Labels) != len(b.Labels) {
		return false
	}
	for i := range a.Labels {
		if a.Labels[i] != b.Labels[i] {
			return false
		}
	}
	return a.ID == b.ID && a.StartedMs == b.StartedMs && a.Service == b.Service && a.Capacity == b.Capacity &&
		a.Rack == b.Rack && a.Draining == b.Draining && a.PlannedStop == b.PlannedStop && a.Reachable == b.Reachable
}

// tick concludes expired runs, retries stops, and lets the leader client report and search.
func (n *Node) tick(ctx context.Context) {
	now := n.cfg.Clock.Now()
	n.concludeExpired(now)
	n.sendStops(now)
	n.leader.tick(ctx, now)
}
