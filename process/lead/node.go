// Package lead makes one of the entries the leader of all jobs and connects the other
// entries to it.
//
// A Node exists as long as its process. Every entry records jobs and cancellations in the
// store itself, notifies the leader, and serves callers from the states that the leader
// sends it. A node that leads also owns the table of jobs, which exists for one term.
// Nothing is lost when a leader fails: the next one reads the store, and the agents report
// their runs.
package lead

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/connection/peer"
	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/process/jobstore"
	"camphorhead.example/camphorhead/process/lockrank"
	"camphorhead.example/camphorhead/process/metrics"
	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/process/pool"
	"camphorhead.example/camphorhead/process/schedule"
	"camphorhead.example/camphorhead/process/term"
	"camphorhead.example/camphorhead/version/profile"
)

// Timing holds the durations of a Node.
type Timing struct {
	Lease          time.Duration // how long an agent may keep its runs alive after it sent a report
	MaxWorkerLease time.Duration // longest lease that a worker grants
	ReportInterval time.Duration // longest time between two reports of an agent
	LeaderTimeout  time.Duration // time without a heartbeat after which a leader is replaced
	Outage         time.Duration // how long a leader grants leases after the start of its last confirmed transaction
	Retention      time.Duration // how long the state of an ended job is kept
	// NeverFitsDelay is the time from the start of a term during which no job is reported as
	// never fitting, because most workers are not known yet.
	NeverFitsDelay time.Duration
	// CheckpointInterval is the time between two writes of the checkpoint of a running task; 0:
	// it is made durable only along with other changes.
	CheckpointInterval time.Duration
	MaxOver            time.Duration // how long filling tasks may keep a serving task over its latency target
	// CancelBound is the time after the response to a cancellation by which no task of the job starts
	// any more; 0: there is no bound.
	CancelBound time.Duration
	// CommitInterval is the least time between two transactions of the leader, so that one
	// carries all ends of tasks of that time.
	CommitInterval time.Duration
	CallTimeout    time.Duration // of a call to another process or the store
	ModelInterval  time.Duration // between two records of what the leader has learned; 0: none
	// ClaimDelay is how long this entry waits before it claims a vacant term, so that
	// entries with a shorter delay go first. StoreLatencyFactor times the latency of the
	// store is added, since the leader should be near the store.
	ClaimDelay         time.Duration
	StoreLatencyFactor int
}

// followersAlone returns for how long after the start of its last confirmed transaction a leader
// takes it from its followers that no newer term has begun. As long after the leader's last
// heartbeat, an entry that has not followed the leader replaces it.
func (t *Timing) followersAlone() time.Duration { return min(t.Outage, followersAloneLeases*t.Lease) }

// followersAloneLeases is followersAlone in units of Timing.Lease. Two leases are enough to
// replace an agent that dies within the first one after the store has failed.
const followersAloneLeases = 2

// Config holds the settings and dependencies of a Node. The functions are called from any
// goroutine; Self, Profile, Teams and AdmitLink also under locks, so they must not block.
type Config struct {
	Self    func() message.EntryInfo
	Clock   clockwork.Clock
	Log     event.Logger
	Store   platform.Store
	Advisor platform.Advisor // the policy service; nil: there is none
	Net     *peer.Network
	Pool    *pool.Pool
	Metrics *metrics.Registry
	Timing  Timing
	// Features are the optional decisions of the leader.
	Features schedule.Features
	// Profile returns the profile in force with a name, Teams all teams.
	Profile func(name string) (profile.Profile, bool)
	Teams   func() map[string]profile.Team
	// AdmitLink takes bytes for another region from the budget of the link to it, or nothing if
	// it returns false: the budget does not allow them. nil: there is no limit.
	AdmitLink func(region string, bytes int) bool
	// OnAgentsChanged is called with the summaries that changed and the ids of removed
	// agents; if all is set, changed holds the summaries of all agents. nil ignores changes.
	OnAgentsChanged func(changed []message.Summary, removed []string, all bool)
	// Evacuations reads the failure domains that operators have emptied; nil: there are none.
	Evacuations func(ctx context.Context) ([]string, error)
	// ConfigState returns the state of the configuration in force.
	ConfigState func() message.ConfigState
	// OnConfigState is called with the state of the configuration at the leader that this process
	// follows or, if it leads, at a follower. It must not block. nil ignores it.
	OnConfigState func(address string, s message.ConfigState)
}

const (
	tickInterval         = 20 * time.Millisecond // resolution of a node's timers
	heartbeatsPerTimeout = 4                     // heartbeats of a leader, and messages of a follower without news, per LeaderTimeout
	storePoolWorkers     = 8                     // concurrent calls on the store pool
	maxStoreLatency      = 80 * time.Millisecond // most store latency that counts for the claim delay
	storePoolQueue       = 256                   // calls that wait for the store pool
	adviceQueue          = 256
)

// Node is an entry's part in leading and following. All exported methods except Start and
// Stop may be called from any goroutine.
type Node struct {
	cfg             Config
	jobs            *jobstore.Jobs
	states          *stateCache
	admissions      *admissions
	unknownCancels  *rate.Limiter // cancellations of jobs that are not recorded
	storePool       *pool.Pool    // calls to the store, announcements of a new term
	advice          *pool.Pool    // advice requests; one worker: the policy service serves a process one call at a time
	ticker          *pool.Ticker
	ownTerm         atomic.Pointer[leaderTerm] // the term that this process leads; nil: it does not lead
	draining        atomic.Bool                // this process is about to end, or a planned stop covers it
	leaderReady     atomic.Bool                // this entry follows a ready leader: one that has loaded the jobs of earlier terms
	breaker         storeBreaker
	leaderlessSince atomic.Int64 // since when there is no ready leader, in nanoseconds since 1970; 0: there is one
	stepRunning     atomic.Bool
	evacuated       atomic.Pointer[[]string] // failure domains where the leader orders no runs, by its latest heartbeat
	claiming        atomic.Bool              // the outcome of a claim of this process is not known yet

	mu             lockrank.Mutex // guards the fields below
	elector        term.Elector
	leader         *leaderConn                  // nil: this process leads, knows no leader or is to follow it again
	knownEntries   map[string]message.EntryInfo // all entries ever learned of, by id; announcements go to them
	currentEntries []message.EntryInfo          // the entries that the leader listed last
	notices        map[string]*notice           // unconfirmed messages to the leader, by submittedKey or cancelledKey
}

// New returns a node that is not started.
func New(cfg Config) *Node {
	n := &Node{
		cfg: cfg, jobs: jobstore.New(cfg.Store), mu: lockrank.NewMutex(lockrank.RankMembership),
		states:     newStateCache(cfg.Clock, cfg.Timing.Retention),
		admissions: newAdmissions(cfg.Clock), unknownCancels: rate.NewLimiter(unknownCancelsPerSecond, unknownCancelBurst),
		knownEntries: map[string]message.EntryInfo{}, notices: map[string]*notice{},
	}
	n.elector = term.NewElector(term.Timing{
		LeaderTimeout: cfg.Timing.LeaderTimeout, PollInterval: cfg.Timing.LeaderTimeout / heartbeatsPerTimeout,
		ClaimDelay: cfg.Timing.ClaimDelay, UnknownTimeout: cfg.Timing.followersAlone(),
	})
	n.breaker.clock, n.breaker.openAfter = cfg.Clock, cfg.Timing.CallTimeout
	n.storePool = pool.New(storePoolWorkers, storePoolQueue)
	n.advice = pool.New(1, adviceQueue)
	return n
}

// Start starts the ticker that makes the node follow or lead.
func (n *Node) Start() {
	n.ticker = n.cfg.Pool.Every(tickInterval, n.tick)
}

// HandOver resigns the term that this process leads, if it leads one: as soon as another
// entry follows, or else when ctx ends. From then on this entry claims no term.
func (n *Node) HandOver(ctx context.Context) {
	n.draining.Store(true)
	for n.claiming.Load() && ctx.Err() == nil {
		// A leader stops counting this entry among those that may claim the next term as soon
		// as it follows as a draining one.
		n.sleep(ctx, tickInterval)
	}
	n.mu.Lock()
	n.leader = nil // follow the leader again, now as a draining entry
	n.mu.Unlock()
	for l := n.ownTerm.Load(); l != nil && ctx.Err() == nil; l = n.ownTerm.Load() {
		if l.loaded.Load() && len(l.followerConns()) > 0 {
			l.resign(ctx)
			return
		}
		n.sleep(ctx, tickInterval)
	}
	if l := n.ownTerm.Load(); l != nil {
		// No entry follows, so the store alone tells the next leader that this term has ended.
		if l.loaded.Load() {
			closing, cancel := context.WithTimeout(context.Background(), n.cfg.Timing.CallTimeout)
			defer cancel()
			l.closeTerm(closing)
		}
		n.stepDown(l, "process stops")
	}
}

func (n *Node) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-n.cfg.Clock.After(d):
	}
}

// Leave is HandOver for a process that keeps running: it still forwards requests but is no
// longer listed among the entries.
func (n *Node) Leave(ctx context.Context) {
	n.HandOver(ctx)
	n.mu.Lock()
	n.leader = nil // follow the leader that took over
	n.mu.Unlock()
}

// Stop stops the ticker and the pools of a started node. HandOver is called before it.
func (n *Node) Stop() {
	if n.ticker == nil {
		return
	}
	n.ticker.Stop()
	n.storePool.Close()
	n.advice.Close()
}

// loadedTerm returns the term that this process leads, if the jobs are loaded; else nil.
func (n *Node) loadedTerm() *leaderTerm {
	if l := n.ownTerm.Load(); l != nil && l.loaded.Load() {
		return l
	}
	return nil
}

// applyOwnNotices applies the notices that no leader confirmed before this process led.
func (n *Node) applyOwnNotices(l *leaderTerm) {
	if !l.loaded.Load() {
		return
	}
	n.mu.Lock()
	n.dropOldNotices(n.cfg.Clock.Now())
	if len(n.notices) == 0 {
		n.mu.Unlock()
		return
	}
	notices := n.notices
	n.notices = map[string]*notice{}
	n.mu.Unlock()
	for _, pending := range notices {
		switch body := pending.body.(type) {
		case *message.Submitted:
			l.accept(storedJob(body), "caller")
		case *message.JobRef:
			l.cancelNoticed(body, "caller")
		}
	}
}

// AnnounceConfig sends the state of the configuration to the followers, or to the leader, within a
// tick. It is called when a version has been put in force.
func (n *Node) AnnounceConfig() {
	if l := n.ownTerm.Load(); l != nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.mu.lastUpdate = time.Time{}
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leader != nil {
		n.leader.reportedAt = time.Time{}
	}
}

func (n *Node) observeConfig(address string, s message.ConfigState) {
	if n.cfg.OnConfigState != nil && address != "" {
		n.cfg.OnConfigState(address, s)
	}
}

// Leads reports whether this process leads, and the number of the newest term known.
func (n *Node) Leads() (leads bool, number uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ownTerm.Load() != nil, n.elector.Term()
}

// LeaderReady reports whether there is a leader that has loaded the jobs of earlier terms:
// this process, or one whose updates it receives.
func (n *Node) LeaderReady() bool { return n.loadedTerm() != nil || n.leaderReady.Load() }

// Entries returns the entries that take part: this process's own list if it leads, else the
// last list that a leader sent.
func (n *Node) Entries() []message.EntryInfo {
	if l := n.ownTerm.Load(); l != nil {
		return l.entryList()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.currentEntries)
}

// AgentConns returns the open connections of the agents; nil if this process does not lead.
func (n *Node) AgentConns() []*peer.Conn {
	l := n.ownTerm.Load()
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	conns := make([]*peer.Conn, 0, len(l.mu.sessions))
	for _, session := range l.mu.sessions {
		if !session.conn.Closed() {
			conns = append(conns, session.conn)
		}
	}
	return conns
}

// Load returns the summary of the table; ok is false unless this process is a ready leader.
func (n *Node) Load() (load schedule.Load, ok bool) {
	l := n.loadedTerm()
	if l == nil {
		return schedule.Load{}, false
	}
	return l.table.Load(), true
}

// Waiting returns the number of accepted jobs that have not begun.
func (n *Node) Waiting() int { return n.states.waitingJobs() }

// Leader returns the newest term known and the address of its leader. The address is empty
// while no term has begun or the newest one is known to have ended.
func (n *Node) Leader() message.Leader {
	n.mu.Lock()
	defer n.mu.Unlock()
	view := n.elector.View()
	if n.elector.TermEnded() || view.HeldBy(n.cfg.Self()) && n.ownTerm.Load() == nil {
		return message.Leader{Term: view.Term} // the next term has not begun yet
	}
	return message.Leader{Term: view.Term, Address: view.Holder.Address}
}

func (n *Node) tick(ctx context.Context) {
	now := n.cfg.Clock.Now()
	n.trackLeader(now)
	n.admissions.expire(now)
	if l := n.ownTerm.Load(); l != nil {
		l.tick(ctx, now)
		n.applyOwnNotices(l)
		return
	}
	n.states.expire(now)
	n.followLeader(now)
	n.mu.Lock()
	step := n.elector.Next(now)
	n.mu.Unlock()
	if step == term.Nothing && n.breaker.open() && n.breaker.admit() {
		step = term.ReadStore // without requests, no other call detects that the store responds again
	}
	if step == term.Nothing || (step == term.ClaimTerm && n.draining.Load()) || !n.stepRunning.CompareAndSwap(false, true) {
		return
	}
	err := n.storePool.Submit(func(ctx context.Context) {
		defer n.stepRunning.Store(false)
		n.executeStep(ctx, step)
	})
	if err != nil {
		n.stepRunning.Store(false)
	}
}

func (n *Node) knowsOtherEntries() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	self := n.cfg.Self().ID
	for id := range n.knownEntries {
		if id != self {
			return true
		}
	}
	return false
}
