// Package lead makes one of the entries the leader of all jobs and lets the
// others work with it.
//
// A Node lives as long as its process. Every entry records jobs and
// cancellings itself, tells the leader and answers from the states that the
// leader sends it. While a node leads it also owns the table of jobs, which
// lives for that one term. Nothing is lost with a leader: the next one reads
// the store and lets the agents say what runs.
package lead

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

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

// Timing holds the durations that leader and agents share.
type Timing struct {
	// Lease is how long an agent may keep its runs alive after a report.
	Lease time.Duration
	// Heartbeat is the longest pause between two reports of an agent.
	Heartbeat time.Duration
	// Silence is the time after which a leader without a sign of life is replaced.
	Silence time.Duration
	// Outage is how long a leader goes on without the store.
	Outage time.Duration
	// Retention is how long the state of an ended job is kept.
	Retention time.Duration
	// Settle is how long after its begin a term says of no job that it never fits.
	Settle time.Duration
	// Checkpoint is how often the checkpoint of a running task is made durable by
	// itself; 0: only along with other changes.
	Checkpoint time.Duration
	// MaxOver bounds how long filling tasks may keep a serving task over its target.
	MaxOver time.Duration
	// Commit is the least pause between two transactions of the leader, so that
	// the ends of a moment go into one.
	Commit time.Duration
	// Call bounds a call to another process or the store.
	Call time.Duration
	// Preference is how long this entry lets others go first in the choice of a
	// leader, beside StoreTrips times the time of a call of the store.
	Preference time.Duration
	StoreTrips int
}

// Config sets up a Node.
type Config struct {
	Self  func() message.EntryInfo
	Clock clockwork.Clock
	Log   event.Logger
	Store platform.Store
	// Advisor is the policy service; nil: there is none.
	Advisor platform.Advisor
	Net     *peer.Network
	Pool    *pool.Pool
	Metrics *metrics.Registry
	Timing  Timing
	// Profile returns the profile in force under a name, Teams all teams.
	Profile func(name string) (profile.Profile, bool)
	Teams   func() map[string]profile.Team
	// AdmitLink takes bytes for another region from the budget of the link.
	AdmitLink func(region string, bytes int) bool
	// Agents is told of summaries that changed and of agents that were lost; with
	// all set the summaries are those of all agents. It may be called from any goroutine.
	Agents func(changed []message.Summary, gone []string, all bool)
	// ConfigVersion returns the configuration version in force.
	ConfigVersion func() uint64
	// Behind is called with the address of a process that has a newer
	// configuration in force; nil ignores that.
	Behind func(ctx context.Context, address string)
}

const (
	// tickInterval is the grain of the timers of a node.
	tickInterval = 20 * time.Millisecond
	// beatsPerSilence is how often a leader shows itself within the time after
	// which it would be replaced.
	beatsPerSilence = 4
	// storePool bounds the writes and readings of the store that wait at a time.
	storePoolWorkers = 8
	// maxStoreTrip bounds what a slow store adds to the preference.
	maxStoreTrip   = 80 * time.Millisecond
	storePoolQueue = 256
	// adviceQueue bounds the questions to the policy service that wait.
	adviceQueue = 256
)

// Node is an entry's part in leading and following.
type Node struct {
	cfg       Config
	jobs      *jobstore.Jobs
	states    *states
	storePool *pool.Pool
	// advice asks the policy service, which serves a process one call at a time.
	advice *pool.Pool
	ticker *pool.Ticker
	// leading is the term that this process leads; nil while it follows.
	leading atomic.Pointer[leading]
	// leaving is set once this process is to end or a planned stop covers it.
	leaving atomic.Bool
	// served is set while a leader is known that knows all jobs.
	served atomic.Bool
	reach  storeReach
	// leaderlessSince is since when no leader is known that knows all jobs, in
	// nanoseconds since 1970; 0: there is one.
	leaderlessSince atomic.Int64
	// busy is set while a step of the watch is carried out.
	busy atomic.Bool

	mu     lockrank.Mutex // guards the fields below
	watch  term.Watch
	follow *following
	// entries are all that were ever named, for announcements; present those that
	// the leader named last.
	entries map[string]message.EntryInfo
	present []message.EntryInfo
	pending map[string]*notice
}

// New returns a node that is not started.
func New(cfg Config) *Node {
	n := &Node{
		cfg: cfg, jobs: jobstore.New(cfg.Store), mu: lockrank.NewMutex(lockrank.RankMembership),
		states:  newStates(cfg.Clock, cfg.Timing.Retention),
		entries: map[string]message.EntryInfo{}, pending: map[string]*notice{},
	}
	n.watch = term.NewWatch(term.Timing{
		SilentAfter: cfg.Timing.Silence, PollEvery: cfg.Timing.Silence / beatsPerSilence,
		Preference: cfg.Timing.Preference,
	})
	n.reach.clock, n.reach.outageAfter = cfg.Clock, cfg.Timing.Call
	n.storePool = pool.New(storePoolWorkers, storePoolQueue)
	n.advice = pool.New(1, adviceQueue)
	return n
}

// Start begins to follow or to lead.
func (n *Node) Start() {
	n.ticker = n.cfg.Pool.Every(tickInterval, n.tick)
}

// HandOver gives a term up in good order, once there is an entry to take it
// over, or when ctx ends; this entry begins no further term.
func (n *Node) HandOver(ctx context.Context) {
	n.leaving.Store(true)
	n.mu.Lock()
	n.follow = nil // it follows again as one that leaves
	n.mu.Unlock()
	for l := n.leading.Load(); l != nil && ctx.Err() == nil; l = n.leading.Load() {
		if l.loaded.Load() && len(l.followerConns()) > 0 {
			l.resign(ctx)
			return
		}
		select {
		case <-ctx.Done():
		case <-n.cfg.Clock.After(tickInterval):
		}
	}
	if l := n.leading.Load(); l != nil {
		n.stepDown(l, "process stops")
	}
}

// Leave is HandOver for a process that goes on: it still passes requests on but
// is no longer among the entries.
func (n *Node) Leave(ctx context.Context) {
	n.HandOver(ctx)
	n.mu.Lock()
	n.follow = nil // now of the leader that took over
	n.mu.Unlock()
}

// Stop ends the node; HandOver comes before.
func (n *Node) Stop() {
	if n.ticker == nil {
		return
	}
	n.ticker.Stop()
	n.storePool.Close()
	n.advice.Close()
}

// leadingLoaded returns the term that this process leads, once it knows the
// jobs of earlier terms; else nil.
func (n *Node) leadingLoaded() *leading {
	if l := n.leading.Load(); l != nil && l.loaded.Load() {
		return l
	}
	return nil
}

// serveOwnNotices takes in what this process could tell no leader before it led.
func (n *Node) serveOwnNotices(l *leading) {
	if !l.loaded.Load() {
		return
	}
	n.mu.Lock()
	if len(n.pending) == 0 {
		n.mu.Unlock()
		return
	}
	pending := n.pending
	n.pending = map[string]*notice{}
	n.mu.Unlock()
	for _, note := range pending {
		switch body := note.body.(type) {
		case *message.Submitted:
			l.accept(storedOf(body), "caller")
		case *message.JobRef:
			l.cancel(body.Job, "caller")
		}
	}
}

// Leads reports whether this process leads, and the newest term known.
func (n *Node) Leads() (leads bool, number uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leading.Load() != nil, n.watch.Term()
}

// Serving reports whether there is a leader that knows all jobs.
func (n *Node) Serving() bool { return n.leadingLoaded() != nil || n.served.Load() }

// Entries returns the entries that take part, as far as this process knows.
func (n *Node) Entries() []message.EntryInfo {
	if l := n.leading.Load(); l != nil {
		return l.entryList()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.present)
}

// AgentConns returns the connections of the agents, while this process leads.
func (n *Node) AgentConns() []*peer.Conn {
	l := n.leading.Load()
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	conns := slices.Collect(maps.Values(l.mu.conns))
	return slices.DeleteFunc(conns, func(c *peer.Conn) bool { return c.Closed() })
}

// Load is the leader's summary of its table; ok is false on other entries.
func (n *Node) Load() (load schedule.Load, ok bool) {
	l := n.leadingLoaded()
	if l == nil {
		return schedule.Load{}, false
	}
	return l.table.Load(), true
}

// Waiting returns the number of accepted jobs that have not begun.
func (n *Node) Waiting() int { return n.states.waitingJobs() }

// Leader returns where the leader is, as far as this process knows; the address
// is empty while it knows that there is none.
func (n *Node) Leader() message.Leader {
	n.mu.Lock()
	defer n.mu.Unlock()
	v := n.watch.View()
	if n.watch.LeaderGone() || v.Mine(n.cfg.Self()) && n.leading.Load() == nil {
		return message.Leader{Term: v.Term} // the next term has not begun yet
	}
	return message.Leader{Term: v.Term, Address: v.Holder.Address}
}

func (n *Node) tick(ctx context.Context) {
	now := n.cfg.Clock.Now()
	n.noteService(now)
	if l := n.leading.Load(); l != nil {
		l.tick(ctx, now)
		n.serveOwnNotices(l)
		return
	}
	n.states.expire(now)
	n.followTick(now)
	n.mu.Lock()
	step := n.watch.Next(now)
	n.mu.Unlock()
	if step == term.Nothing && n.reach.out() && n.reach.admit() {
		step = term.ReadStore // nobody else finds out that the store is back
	}
	if step == term.Nothing || (step == term.ClaimTerm && n.leaving.Load()) || !n.busy.CompareAndSwap(false, true) {
		return
	}
	err := n.storePool.Submit(func(ctx context.Context) {
		defer n.busy.Store(false)
		n.carryOut(ctx, step)
	})
	if err != nil {
		n.busy.Store(false)
	}
}

// carryOut reads the store or begins a term.
func (n *Node) carryOut(ctx context.Context, step term.Step) {
	bounded, cancel := context.WithTimeout(ctx, n.cfg.Timing.Call)
	defer cancel()
	if step == term.ReadStore {
		n.readTerm(bounded)
		return
	}
	n.mu.Lock()
	view := n.watch.View()
	n.mu.Unlock()
	// A term that was begun just before must not be claimed a second time, so
	// the view that is claimed is always the one that was read last.
	next, err := term.Claim(bounded, n.cfg.Store, view, n.cfg.Self())
	if err != nil {
		n.cfg.Log.Emit(event.TermNotBegun, "term", view.Term+1, "error", err)
		n.readTerm(ctx)
		return
	}
	n.begin(ctx, view, next)
}

func (n *Node) readTerm(ctx context.Context) {
	began := n.cfg.Clock.Now()
	view, err := term.Read(ctx, n.cfg.Store)
	n.reach.note(err)
	now := n.cfg.Clock.Now()
	n.mu.Lock()
	if err == nil {
		n.watch.Prefer(n.cfg.Timing.Preference + time.Duration(n.cfg.Timing.StoreTrips)*min(now.Sub(began), maxStoreTrip))
	}
	before := n.watch.Term()
	if err != nil {
		n.watch.Missed(now)
	} else {
		n.watch.Saw(now, view)
	}
	n.mu.Unlock()
	switch {
	case err != nil:
		n.cfg.Metrics.Add(metrics.StoreReadsFailed, 1)
	case view.Term > before && view.Mine(n.cfg.Self()) && n.leading.Load() == nil:
		// The answer to this process's own claim was lost.
		n.begin(ctx, view, view)
	case view.Term > before:
		n.noteLeader(view, "store")
	}
}

func (n *Node) noteLeader(v term.View, source string) {
	n.cfg.Log.Emit(event.LeaderKnown, "term", v.Term, "entry", v.Holder.ID, "address", v.Holder.Address, "source", source)
}

// begin leads the term that this process has begun. previous is the view that
// it replaced.
func (n *Node) begin(ctx context.Context, previous, view term.View) {
	n.mu.Lock()
	n.watch.Saw(n.cfg.Clock.Now(), view)
	n.follow = nil
	n.mu.Unlock()
	l := newLeading(n, previous, view)
	// From now on this process answers as the leader, so that no other entry
	// takes the term for free while the jobs are read.
	n.leading.Store(l)
	l.announce()
	if err := l.load(ctx); err != nil {
		n.cfg.Log.Emit(event.TermNotBegun, "term", view.Term, "error", err)
		n.stepDown(l, "jobs could not be read")
		return // another entry, or this one, begins the next term
	}
	l.loaded.Store(true)
	load := l.table.Load()
	n.cfg.Log.Emit(event.TermBegun, "term", view.Term, "jobs", load.Jobs, "unproven", load.Unproven)
}

// yield ends a term that this process gave up because it is cut off.
func (n *Node) yield(l *leading) {
	n.stepDown(l, "cut off from entries and agents")
	n.mu.Lock()
	defer n.mu.Unlock()
	n.watch.Yield(n.cfg.Clock.Now().Add(n.cfg.Timing.Silence))
}

// hasOthers reports whether this process has heard of other entries.
func (n *Node) hasOthers() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	self := n.cfg.Self().ID
	for id := range n.entries {
		if id != self {
			return true
		}
	}
	return false
}

// stepDown ends a term that this process leads.
func (n *Node) stepDown(l *leading, reason string) {
	if !n.leading.CompareAndSwap(l, nil) {
		return
	}
	n.served.Store(false)
	n.cfg.Log.Emit(event.TermEnded, "term", l.number, "reason", reason)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.watch.Gone(n.cfg.Clock.Now(), l.number)
}
