// Package runs is an agent's part in running tasks: it carries out the
// leader's orders at the worker beside it and reports what becomes of them.
//
// It guarantees that
//
//   - the worker's lease never reaches beyond what a leader has granted, in the
//     worker's own clock, so that runs of an agent that is cut off or paused end
//     before anyone may start them elsewhere;
//   - a full report names every run that exists at the worker or may still come
//     into being there;
//   - an end is dropped at the worker only after the leader has made it durable.
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

// Timing holds the durations of an agent.
type Timing struct {
	// Heartbeat is the longest pause between two reports.
	Heartbeat time.Duration
	// WorkerLease is how far ahead the worker's lease is kept, as long as the
	// leader's grant allows it.
	WorkerLease time.Duration
	// Report bounds the answer to a report, Call any other call to another
	// process, WorkerCall one to the worker.
	Report     time.Duration
	Call       time.Duration
	WorkerCall time.Duration
}

// Config sets up a Node.
type Config struct {
	ID       string
	Address  func() string
	Location message.Location
	Clock    clockwork.Clock
	Log      event.Logger
	Worker   platform.Worker
	Ledger   *ledger.Ledger
	Net      *peer.Network
	Pool     *pool.Pool
	Metrics  *metrics.Registry
	Timing   Timing
	// Guard bounds the harm of filling tasks.
	Guard interference.Guard
	// Seeds are addresses of entries to ask for the leader.
	Seeds []string
	// ReadLeader asks the store for the leader; nil: there is no way to.
	ReadLeader func(ctx context.Context) (message.Leader, error)
	// ConfigVersion returns the configuration version in force; Behind is told of
	// a leader with a newer one. Behind nil: the agent needs none.
	ConfigVersion func() uint64
	Behind        func(ctx context.Context, leader string)
	// Reserve takes the room of a start from the ledger; nil: as the start says.
	Reserve func(o *message.StartRun) error
	// Summary describes the worker and its targets for the entries; exact says that
	// its amounts matter, as during a planned stop. nil: it is not needed.
	Summary func() (s message.Summary, exact bool)
	// Pairings returns what was learned of pairs and not yet taken by a leader,
	// with all set everything; PairingsTaken is told what a leader has taken.
	Pairings      func(all bool) []interference.Pairing
	PairingsTaken func([]interference.Pairing)
}

const (
	// tickInterval is the grain of the timers.
	tickInterval = 50 * time.Millisecond
	// callWorkers and callQueue bound the calls to the worker that wait at a time.
	callWorkers = 12
	callQueue   = 1024
)

// Node is the table of runs at one worker with the work around it.
type Node struct {
	cfg    Config
	calls  *pool.Pool // calls to the worker
	link   link
	ticker *pool.Ticker
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu lockrank.Mutex // guards the fields below
	// worker is what the worker last said of itself, announced the sequence of
	// that announcement.
	worker    message.WorkerInfo
	announced uint64
	instance  string
	// clock relates the worker's clock to ours.
	clock workerClock
	// token fences off earlier calls to the worker.
	token int64
	// granted is the end of the leader's grant, held the end of the lease that
	// was last asked of the worker.
	granted, held time.Time
	// silent is set while the worker does not answer.
	silent bool
	// listedAt is when the worker last listed its runs, askedAt when it was asked
	// for that listing; zero: never.
	listedAt, askedAt time.Time
	lifeMs            int64 // of the life that was listed
	runs              map[job.RunKey]*run
	// ends are the ends that are not recorded, in the order of the worker's
	// numbers; the first reportedEnds of them were reported in this session.
	ends         []*end
	reportedEnds int
	// lastRecorded is the worker's number of the last end that is recorded.
	lastRecorded uint64
	refused      []message.RunRefusal
	inputs       map[string][]byte
	// leaving is set by a planned stop of the worker.
	leaving bool
	// reportedWorker is what the leader was last told of the worker.
	reportedWorker message.WorkerInfo
	usageAge       time.Duration
	// sampledAt is when figures were last reported.
	sampledAt time.Time
	// changed is set when there is something to report.
	changed bool
}

// run is a run that exists at the worker or may come into being there.
type run struct {
	order message.StartRun
	// known is false for a run that the worker listed and nobody ordered here.
	known bool
	// confirmed is when the worker first answered or listed the run; zero: not yet.
	confirmed time.Time
	stopping  bool
	stopAt    time.Time // when the stop was last asked for
	state     message.RunState
	reported  message.RunState
	startedAt time.Time
	// told is set once the leader was told that the run is confirmed.
	told bool
	// cause says why this agent stops the run; empty: the leader wants it.
	cause job.EvictionCause
	usage resources.Resources
	// underAt is when a serving task was last seen within its target, over is set
	// while it is not.
	underAt time.Time
	over    bool
	// wantedPace is the pace to reach; paceKnown says that state has the present
	// one, pacing that a call is under way.
	wantedPace        int
	paceKnown, pacing bool
	// unanswered is when a start was last sent that had no answer.
	unanswered time.Time
}

// end is an end that is not recorded yet.
type end struct {
	message.RunEnd
	// number is the worker's number of the end; 0 for one that was concluded here.
	number   uint64
	lifeMs   int64
	recorded bool
}

// workerClock relates the worker's clock to the agent's.
type workerClock struct {
	valueMs int64
	readAt  time.Time
	lifeMs  int64
}

// tokenStep is more than the number of tokens that one agent uses, so that a
// token above one that the worker has seen is above all that were sent before.
const tokenStep = 1 << 22

// New returns a node that is not started.
func New(cfg Config) *Node {
	n := &Node{
		cfg: cfg, mu: lockrank.NewMutex(lockrank.RankTasks), runs: map[job.RunKey]*run{},
		inputs: map[string][]byte{}, token: cfg.Clock.Now().UnixMilli() + tokenStep,
	}
	n.link = newLink(n)
	n.calls = pool.New(callWorkers, callQueue)
	return n
}

// Start begins to follow the worker and to look for a leader.
func (n *Node) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.wg.Go(func() { n.follow(ctx) })
	n.ticker = n.cfg.Pool.Every(tickInterval, n.tick)
}

// Stop ends the node. What runs goes on until its lease ends or the next agent
// takes it over.
func (n *Node) Stop() {
	if n.cancel == nil {
		return
	}
	n.ticker.Stop()
	n.cancel()
	n.wg.Wait()
	n.calls.Close()
}

// Announce takes in what the worker says of itself. An announcement that was
// overtaken by a later one, or that comes from an earlier life, changes nothing.
func (n *Node) Announce(w message.WorkerInfo, sequence uint64) {
	n.mu.Lock()
	older := w.BornMs < n.worker.BornMs || (w.BornMs == n.worker.BornMs && w.ID == n.worker.ID && sequence <= n.announced)
	if older {
		n.mu.Unlock()
		return
	}
	w.Present = n.worker.Present
	differs := !sameWorker(&w, &n.worker)
	n.worker, n.announced, n.instance = w, sequence, w.ID
	n.changed = n.changed || differs
	n.mu.Unlock()
	n.cfg.Ledger.SetCapacity(w.Capacity)
	if differs {
		n.cfg.Log.Emit(event.WorkerAnnounced, "worker", w.ID, "service", w.Service, "state", stateOf(w), "remaining_ms", w.LeavesInMs)
		n.link.kick()
	}
}

// Withdraw takes in that a worker leaves; its runs end with it.
func (n *Node) Withdraw(id string) {
	n.mu.Lock()
	if n.worker.ID == id {
		n.worker.Present, n.worker.Draining, n.changed = false, true, true
	}
	n.mu.Unlock()
	n.cfg.Log.Emit(event.WorkerLeft, "worker", id)
	n.link.kick()
}

// Draining reports whether the worker has said that it leaves.
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

func sameWorker(a, b *message.WorkerInfo) bool {
	if len(a.Labels) != len(b.Labels) {
		return false
	}
	for i := range a.Labels {
		if a.Labels[i] != b.Labels[i] {
			return false
		}
	}
	return a.ID == b.ID && a.BornMs == b.BornMs && a.Service == b.Service && a.Capacity == b.Capacity &&
		a.Rack == b.Rack && a.Draining == b.Draining && a.Present == b.Present
}

// tick repeats what was not answered and reports when a heartbeat is due.
func (n *Node) tick(ctx context.Context) {
	now := n.cfg.Clock.Now()
	n.concludeLapse(now)
	n.repeatStops(now)
	n.link.tick(ctx, now)
}
