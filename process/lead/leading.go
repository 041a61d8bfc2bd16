package lead

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/connection/peer"
	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/process/jobstore"
	"camphorhead.example/camphorhead/process/lockrank"
	"camphorhead.example/camphorhead/process/metrics"
	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/process/schedule"
	"camphorhead.example/camphorhead/process/term"
	"camphorhead.example/camphorhead/request/interference"
)

// agentsKey holds the list of agents that may have runs.
const agentsKey = "leader/agents"

const (
	// inboxInterval is the pause between two looks for jobs and cancellings
	// whose entry did not tell the leader.
	inboxInterval = time.Second
	// purgeInterval is the pause between two removals of old records.
	purgeInterval = 5 * time.Second
	// recordsPerCommit is more than one transaction can hold.
	recordsPerCommit = platform.MaxTxnEntries
	// backlog is the number of changed records from which on transactions follow
	// each other without a pause: each record takes two entries or more, so that
	// waiting would not make the transactions fewer.
	backlog = platform.MaxTxnEntries / 2
)

// leading is one term that this process leads.
type leading struct {
	node   *Node
	number uint64
	table  *schedule.Table
	writer *jobstore.Writer

	// loaded is set once the table holds the jobs of earlier terms.
	loaded atomic.Bool
	// Each is set while its work is under way or wanted.
	dispatching, dispatchWanted atomic.Bool
	committing, reading         atomic.Bool
	purging                     atomic.Bool
	flushing                    atomic.Bool
	// trouble is set while the store does not serve this process.
	trouble atomic.Bool
	// reached is set once most agents have been heard in this term, resigning once
	// this process gives the term up because it is cut off from them.
	reached   atomic.Bool
	resigning atomic.Bool
	beat      atomic.Uint64

	mu termState
}

// termState is the state of a term beside the table.
type termState struct {
	lockrank.Mutex                       // guards the fields below
	conns          map[string]*peer.Conn // agents, by id
	followers      map[*peer.Conn]message.Follow
	// others holds the latest connection of each other entry that may begin a term.
	others map[string]*peer.Conn
	// entriesVersion counts the changes of the followers; entriesTold is the
	// version that each agent was last told.
	entriesVersion uint64
	entriesTold    map[string]uint64
	// validUntil is how long grants may be given: Outage after the store last
	// confirmed the term.
	validUntil   time.Time
	lastCommit   time.Time // start of the last transaction
	lastSuccess  time.Time
	failingSince time.Time
	lastUpdate   time.Time
	inboxAt      time.Time
	inboxRev     uint64
	purgeAt      time.Time
	beatRevision uint64
	agentsRev    uint64
	open         *openBatch
	// previous is the term before, as long as its leader may go on granting leases.
	previous term.View
}

// openBatch is a transaction whose outcome is not known yet.
type openBatch struct {
	batch  *jobstore.Batch
	agents []string // nil unless the batch records the agents
	beat   uint64
	// resigns says that the beat gives the term up.
	resigns bool
}

func newLeading(n *Node, previous, view term.View) *leading {
	l := &leading{node: n, number: view.Term}
	l.table = schedule.New(schedule.Config{
		Clock: n.cfg.Clock, Log: n.cfg.Log, Meter: n.cfg.Metrics, Term: view.Term, Lease: n.cfg.Timing.Lease,
		Heartbeat: n.cfg.Timing.Heartbeat, Retention: n.cfg.Timing.Retention, Settle: n.cfg.Timing.Settle,
		Guard:      interference.Guard{MaxOver: n.cfg.Timing.MaxOver},
		Checkpoint: n.cfg.Timing.Checkpoint, Profile: n.cfg.Profile, Teams: n.cfg.Teams, AdmitLink: n.cfg.AdmitLink,
	})
	l.writer = jobstore.NewWriter(n.cfg.Store, jobstore.Fence{Key: term.Key, Revision: view.Revision})
	l.mu.Mutex = lockrank.NewMutex(lockrank.RankSessions)
	l.mu.conns, l.mu.followers = map[string]*peer.Conn{}, map[*peer.Conn]message.Follow{}
	l.mu.others, l.mu.entriesTold = map[string]*peer.Conn{}, map[string]uint64{}
	l.mu.previous = previous
	l.mu.beatRevision = view.BeatRevision
	l.beat.Store(view.Beat.Number)
	now := n.cfg.Clock.Now()
	l.mu.validUntil = now.Add(n.cfg.Timing.Outage)
	l.mu.lastSuccess, l.mu.inboxAt, l.mu.purgeAt = now, now, now
	return l
}

// load reads what the store knows of jobs and agents.
func (l *leading) load(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, loadCalls*l.node.cfg.Timing.Call)
	defer cancel()
	jobs, revision, unreadable, err := l.writer.Load(ctx)
	if err != nil {
		return err
	}
	for _, key := range unreadable {
		l.node.cfg.Log.Emit(event.RecordUnreadable, "subject", key)
	}
	kv, err := l.node.cfg.Store.Read(ctx, agentsKey)
	if err != nil {
		return err
	}
	var agents []string
	if kv.Revision != 0 {
		if err := msgpack.Unmarshal(kv.Value, &agents); err != nil {
			l.node.cfg.Log.Emit(event.RecordUnreadable, "subject", agentsKey)
		}
	}
	l.mu.inboxRev, l.mu.agentsRev = revision, kv.Revision
	unfinished, ended := jobstore.Restored(jobs)
	now := l.node.cfg.Clock.Now()
	dead := now.Add(l.node.cfg.Timing.Outage + l.node.cfg.Timing.Lease)
	if l.mu.previous.Holder.ID == l.node.cfg.Self().ID {
		dead = now.Add(l.node.cfg.Timing.Lease) // this process has replaced that of the previous leader
	}
	unproven := make(map[string]time.Time, len(agents))
	for _, id := range agents {
		unproven[id] = schedule.CertainEnd(dead, l.node.cfg.Timing.Lease)
	}
	l.table.Restore(now, unfinished, unproven)
	l.table.RestoreEnded(ended)
	return nil
}

// previousEnded notes that the leader of the previous term grants nothing any
// more, so that its agents' leases end sooner than they might have.
func (l *leading) previousEnded() {
	now := l.node.cfg.Clock.Now()
	l.table.Shorten(schedule.CertainEnd(now.Add(l.node.cfg.Timing.Lease), l.node.cfg.Timing.Lease))
}

// loadCalls is how many calls' time the reading of all records may take.
const loadCalls = 5

// tick does what is due; the node's ticker calls it.
func (l *leading) tick(_ context.Context, now time.Time) {
	if !l.loaded.Load() {
		l.mu.Lock()
		due := now.Sub(l.mu.lastUpdate) >= l.node.cfg.Timing.Silence/beatsPerSilence
		l.mu.Unlock()
		if due {
			l.sendUpdates(true)
		}
		return
	}
	l.table.Tick(now)
	l.dispatch()
	l.mu.Lock()
	silence := l.node.cfg.Timing.Silence
	updateDue := now.Sub(l.mu.lastUpdate) >= silence/beatsPerSilence
	inboxDue := now.Sub(l.mu.inboxAt) >= inboxInterval
	purgeDue := now.Sub(l.mu.purgeAt) >= purgeInterval
	l.trouble.Store(!l.mu.failingSince.IsZero() && now.Sub(l.mu.lastSuccess) >= silence*2/3)
	l.mu.Unlock()
	l.checkReach(now)
	l.confirm()
	l.commit()
	l.sendUpdates(updateDue)
	if inboxDue {
		l.once(&l.reading, l.readInbox)
	}
	if purgeDue {
		l.once(&l.purging, l.purge)
	}
}

// checkReach gives the term up when this process reaches neither the other
// entries nor most agents, while the store still serves it: another entry may
// reach them, and their leases must not end for that.
func (l *leading) checkReach(now time.Time) {
	if l.resigning.Load() || l.trouble.Load() {
		return
	}
	heard, known := l.table.Reach(now)
	if 2*heard >= known {
		l.reached.Store(known > 0)
		return
	}
	if l.reached.Load() && l.node.hasOthers() && !l.followerHeard(now) {
		l.resigning.Store(true)
		l.node.cfg.Log.Emit(event.TermResigned, "term", l.number, "agents", heard, "known", known)
	}
}

// confirm tells the table when all other entries still followed this one.
func (l *leading) confirm() {
	l.mu.Lock()
	var all time.Time
	for _, c := range l.mu.others {
		if heard := c.LastReceived(); all.IsZero() || heard.Before(all) {
			all = heard
		}
	}
	l.mu.Unlock()
	l.table.Confirm(all)
}

// followerHeard reports whether any following entry has shown itself of late.
func (l *leading) followerHeard(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.mu.followers {
		if !c.Closed() && now.Sub(c.LastReceived()) < l.node.cfg.Timing.Silence*2/3 {
			return true
		}
	}
	return false
}

// once runs work on the store's pool unless it is under way.
func (l *leading) once(flag *atomic.Bool, work func(context.Context)) {
	if !flag.CompareAndSwap(false, true) {
		return
	}
	err := l.node.storePool.Submit(func(ctx context.Context) {
		defer flag.Store(false)
		if l.node.leading.Load() == l {
			work(ctx)
		}
	})
	if err != nil {
		flag.Store(false)
	}
}

// dispatch places what waits and sends the orders. Calls that come while a
// pass is under way are served by one more pass.
func (l *leading) dispatch() {
	l.dispatchWanted.Store(true)
	if !l.loaded.Load() || !l.dispatching.CompareAndSwap(false, true) {
		return
	}
	for l.dispatchWanted.Swap(false) {
		if l.valid() && !l.resigning.Load() {
			l.sendOrders(l.table.Dispatch(l.node.cfg.Clock.Now()))
			l.askAdvice()
		}
	}
	l.dispatching.Store(false)
	if l.dispatchWanted.Load() {
		l.dispatch()
	}
}

// valid reports whether this leader may still grant leases and order runs.
func (l *leading) valid() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.node.cfg.Clock.Now().Before(l.mu.validUntil)
}

func (l *leading) sendOrders(list []schedule.AgentOrders) {
	for _, o := range list {
		l.mu.Lock()
		conn := l.mu.conns[o.Agent]
		l.mu.Unlock()
		if conn == nil {
			continue // the agent attaches again and its full report settles the runs
		}
		if err := conn.Notify(message.KindOrders, &o.Orders); err != nil {
			l.node.cfg.Log.Emit(event.OrdersNotSent, "agent", o.Agent, "session", o.Orders.Session,
				"tasks", len(o.Orders.Starts), "error", err)
		}
	}
}

// purge deletes the records of jobs that ended before the retention.
func (l *leading) purge(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, l.node.cfg.Timing.Call)
	defer cancel()
	now := l.node.cfg.Clock.Now()
	l.mu.Lock()
	l.mu.purgeAt = now
	l.mu.Unlock()
	ids := l.table.Expired(now, jobstore.MaxPurge)
	if len(ids) == 0 {
		return
	}
	if err := l.writer.Purge(ctx, ids); err != nil {
		// The records stay; the next leader enters them as ended and drops them.
		l.node.cfg.Metrics.Add(metrics.PurgesFailed, 1)
	}
}

// resign gives the term up in good order: what is known becomes durable, and
// the other entries learn that the term is free.
func (l *leading) resign(ctx context.Context) {
	for ctx.Err() == nil && l.table.Dirty() > 0 && !l.trouble.Load() {
		l.commit()
		select {
		case <-ctx.Done():
		case <-l.node.cfg.Clock.After(l.node.cfg.Timing.Commit):
		}
	}
	l.node.stepDown(l, "process stops")
	last := message.Update{Term: l.number, Resigned: true, Successor: l.successor()}
	for _, conn := range l.followerConns() {
		_ = conn.Notify(message.KindUpdate, &last) // an entry that misses it finds the term given up
	}
}

// successor chooses the entry to begin the next term: the one that would let
// others go first for the shortest time. It is empty when there is none.
func (l *leading) successor() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var best message.Follow
	for c, f := range l.mu.followers {
		if c.Closed() || f.Leaving {
			continue
		}
		if best.Entry.ID == "" || f.PreferenceMs < best.PreferenceMs ||
			f.PreferenceMs == best.PreferenceMs && f.Entry.ID < best.Entry.ID {
			best = f
		}
	}
	return best.Entry.ID
}
