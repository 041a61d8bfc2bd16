package lead

import (
	"context"
	"sync/atomic"
	"time"

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

const (
	// evacuationInterval is the time between two reads of the evacuations. Together with the age up to
	// which an agent sends an ordered start, an evacuation is in force within 3 s.
	evacuationInterval = time.Second
	inboxInterval      = time.Second     // between polls for jobs and cancellations of which no notice arrived
	purgeInterval      = 5 * time.Second // between deletions of old records
	// maxPurgeBatches bounds the transactions of one deletion to 2 writes a second, which delete 62
	// jobs a second. Three times the 8 that users hand in a second are a burst.
	maxPurgeBatches = 10
	// maxRefusalPurges bounds the transactions of one deletion of refusal records to 4 writes a
	// second, which delete 60 of them a second.
	maxRefusalPurges = 20
	recordsPerCommit = platform.MaxTxnEntries // records taken for a transaction; fewer fit
	// backlogThreshold is the number of changed records from which on transactions follow each
	// other at once: each record takes two entries or more, so waiting would not make them fewer.
	backlogThreshold = platform.MaxTxnEntries / 2
)

// leaderTerm is a term that this process leads, from the claim until it steps down.
type leaderTerm struct {
	node   *Node
	number uint64
	table  *schedule.Table
	writer *jobstore.Writer
	begun  time.Time // from which stamps count
	// followedPrevious: this process followed the leader of the previous term, which could not take it
	// that no newer term had begun without this process.
	followedPrevious bool

	loaded atomic.Bool // the table holds the jobs of earlier terms
	// Each is set while its work is queued or running; dispatchPending requests one more pass.
	dispatching, dispatchPending atomic.Bool
	committing, readingInbox     atomic.Bool
	readingEvacuations           atomic.Bool
	purging                      atomic.Bool
	recordingModel               atomic.Bool
	sendingUpdates               atomic.Bool
	// degraded is set while commits fail and none was confirmed for 2/3 of the leader timeout.
	degraded      atomic.Bool
	agentsReached atomic.Bool   // at least half of the known agents were once reachable in this term
	resigning     atomic.Bool   // the term is being resigned: isolated from agents and entries
	closing       atomic.Bool   // the term is being handed over
	startsHeld    atomic.Bool   // cancellations may be missing, so no starts are ordered
	isolated      atomic.Bool   // cancellations may have been missing for the leader timeout: another term may have begun
	previousEnded atomic.Bool   // the leader of the previous term grants leases no more
	heartbeat     atomic.Uint64 // number of the last one that the store has confirmed

	mu termState
}

// termState is the state of a term outside the table. Its mutex ranks after that of the node;
// neither is held during a call to the store or to another process.
type termState struct {
	lockrank.Mutex                         // guards the fields below
	sessions       map[string]agentSession // by id of the agent
	followers      map[*peer.Conn]*follower
	// candidates are the entries that may claim the next term, by id. They stay when their
	// connection closes.
	candidates     map[string]candidate
	acknowledgers  map[entryProcess]acknowledger
	entriesVersion uint64            // number of changes of the followers
	entriesSent    map[string]uint64 // entriesVersion last sent to each agent, by id
	// validUntil is when the right to grant leases expires: Timing.Outage after the start of
	// the last confirmed transaction, or of the term.
	validUntil        time.Time
	lastCommit        time.Time // start of the last attempt at a transaction
	lastSuccess       time.Time // end of the last confirmed transaction
	failingSince      time.Time // zero: the last transaction was confirmed
	lastUpdate        time.Time // last heartbeat to the followers
	inboxReadAt       time.Time // start of the last poll of the inbox
	evacuationsReadAt time.Time // start of the last read
	inboxRevision     uint64    // revision up to which the inbox has been read
	inboxKnownAt      time.Time // start of the latest read of the inbox that was successful
	purgedAt          time.Time // start of the last purge
	modelRecordedAt   time.Time // start of the last record of the model, or of the term
	modelVersion      uint64    // of the model that the store is known to contain; 0: none of this term
	heartbeatRevision uint64    // of term.HeartbeatKey
	agentsRevision    uint64
	pending           *pendingBatch // nil: no outcome is uncertain
	// previous is the view before the claim, whose leader may still grant leases. It never changes
	// and is read without the lock.
	previous term.View
}

// agentSession is the latest session of an agent that the table has accepted, with the
// connection over which its reports arrive and its orders go out.
type agentSession struct {
	number uint64
	conn   *peer.Conn
}

// follower is an entry that follows over one connection.
type follower struct {
	message.Follow
	receivedAt time.Time // when its latest message arrived
}

// pendingBatch is a transaction that is being committed or whose outcome is uncertain.
type pendingBatch struct {
	batch     *jobstore.Batch
	agents    *schedule.AgentLeases // nil unless the batch writes the list of agents
	heartbeat uint64
	resigns   bool // the heartbeat gives the term up
}

// newLeaderTerm returns a term whose jobs are not loaded. The right to grant leases counts from
// newestAt, as in commitSucceeded: the response or this process may have been delayed.
func newLeaderTerm(n *Node, previous, view term.View, followedPrevious bool, newestAt time.Time) *leaderTerm {
	l := &leaderTerm{node: n, number: view.Term, followedPrevious: followedPrevious}
	l.table = schedule.New(schedule.Config{
		Clock: n.cfg.Clock, Log: n.cfg.Log, Meter: n.cfg.Metrics, Term: view.Term, Lease: n.cfg.Timing.Lease,
		MaxWorkerLease: n.cfg.Timing.MaxWorkerLease, LateCallWindow: platform.LateCallWindow, CancelBound: n.cfg.Timing.CancelBound,
		ReportInterval: n.cfg.Timing.ReportInterval, Retention: n.cfg.Timing.Retention, NeverFitsDelay: n.cfg.Timing.NeverFitsDelay,
		Guard:              interference.Guard{MaxOver: n.cfg.Timing.MaxOver},
		Features:           n.cfg.Features,
		CheckpointInterval: n.cfg.Timing.CheckpointInterval, Profile: n.cfg.Profile, Teams: n.cfg.Teams, AdmitLink: n.cfg.AdmitLink,
	})
	l.writer = jobstore.NewWriter(n.cfg.Store, jobstore.Fence{Key: term.Key, Revision: view.Revision})
	l.mu.Mutex = lockrank.NewMutex(lockrank.RankSessions)
	l.mu.sessions, l.mu.followers = map[string]agentSession{}, map[*peer.Conn]*follower{}
	l.mu.candidates, l.mu.entriesSent = map[string]candidate{}, map[string]uint64{}
	l.mu.acknowledgers = map[entryProcess]acknowledger{}
	l.mu.previous = previous
	l.mu.heartbeatRevision = view.HeartbeatRevision
	l.heartbeat.Store(view.Heartbeat.Number)
	now := n.cfg.Clock.Now()
	l.begun = now
	l.mu.validUntil = newestAt.Add(n.cfg.Timing.Outage)
	l.mu.lastSuccess, l.mu.inboxReadAt, l.mu.purgedAt, l.mu.modelRecordedAt = now, now, now, now
	return l
}

// tick does the periodic work; before the jobs are loaded it only sends heartbeats.
func (l *leaderTerm) tick(_ context.Context, now time.Time) {
	if !l.loaded.Load() {
		interval := l.updateInterval()
		l.mu.Lock()
		due := now.Sub(l.mu.lastUpdate) >= interval
		l.mu.Unlock()
		if due {
			l.sendUpdates(true)
		}
		return
	}
	l.table.Tick(now)
	l.updateCancellationsKnown(now)
	l.dispatch()
	interval := l.updateInterval()
	l.mu.Lock()
	leaderTimeout := l.node.cfg.Timing.LeaderTimeout
	updateDue := now.Sub(l.mu.lastUpdate) >= interval
	inboxDue := now.Sub(l.mu.inboxReadAt) >= inboxInterval
	purgeDue := now.Sub(l.mu.purgedAt) >= purgeInterval
	modelInterval := l.node.cfg.Timing.ModelInterval
	modelDue := modelInterval > 0 && now.Sub(l.mu.modelRecordedAt) >= modelInterval
	evacuationsDue := l.node.cfg.Evacuations != nil && now.Sub(l.mu.evacuationsReadAt) >= evacuationInterval
	l.degraded.Store(!l.mu.failingSince.IsZero() && now.Sub(l.mu.lastSuccess) >= leaderTimeout*2/3)
	l.mu.Unlock()
	l.checkIsolation(now)
	l.confirmTerm()
	l.commit()
	l.sendUpdates(updateDue)
	if inboxDue {
		l.submitOnce(&l.readingInbox, l.readInbox)
	}
	if evacuationsDue {
		l.submitOnce(&l.readingEvacuations, l.readEvacuations)
	}
	if purgeDue {
		l.submitOnce(&l.purging, l.purge)
	}
	if modelDue {
		l.submitOnce(&l.recordingModel, l.recordModel)
	}
}

// checkIsolation resigns the term when this process no longer reaches the other entries and most
// agents, but still reaches the store: another entry may reach the agents before their leases expire.
func (l *leaderTerm) checkIsolation(now time.Time) {
	if l.resigning.Load() || l.degraded.Load() {
		return
	}
	reporting, known := l.table.ReachableAgents(now)
	if 2*reporting >= known {
		l.agentsReached.Store(known > 0)
		return
	}
	if l.agentsReached.Load() && l.node.knowsOtherEntries() && !l.hasActiveFollower(now) {
		l.resigning.Store(true)
		l.node.cfg.Log.Emit(event.TermResigned, "term", l.number, "agents", reporting, "known", known)
	}
}

// hasActiveFollower reports whether a message of a follower arrived within 2/3 of the leader
// timeout.
func (l *leaderTerm) hasActiveFollower(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c, f := range l.mu.followers {
		if !c.Closed() && now.Sub(f.receivedAt) < l.node.cfg.Timing.LeaderTimeout*2/3 {
			return true
		}
	}
	return false
}

// submitOnce runs work on the store pool unless flag shows that it is already queued or
// running. If the pool is full, the next tick tries again.
func (l *leaderTerm) submitOnce(flag *atomic.Bool, work func(context.Context)) {
	if !flag.CompareAndSwap(false, true) {
		return
	}
	err := l.node.storePool.Submit(func(ctx context.Context) {
		defer flag.Store(false)
		if l.node.ownTerm.Load() == l {
			work(ctx)
		}
	})
	if err != nil {
		flag.Store(false)
	}
}

// dispatch places waiting tasks, sends the orders and requests advice while this process may
// grant leases. A call during another one makes that one do one more pass.
func (l *leaderTerm) dispatch() {
	l.dispatchPending.Store(true)
	if !l.loaded.Load() || !l.dispatching.CompareAndSwap(false, true) {
		return
	}
	for l.dispatchPending.Swap(false) {
		if l.valid() && !l.resigning.Load() {
			l.sendOrders(l.table.Dispatch(l.node.cfg.Clock.Now()))
			l.requestAdvice()
		}
	}
	l.dispatching.Store(false)
	if l.dispatchPending.Load() {
		l.dispatch()
	}
}

// valid reports whether this process may still grant leases and order runs.
func (l *leaderTerm) valid() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.node.cfg.Clock.Now().Before(l.mu.validUntil)
}

// sendOrders drops orders that cannot be sent and closes their connection, with which the agent's
// session ends: the full report that begins the next one resolves their runs.
func (l *leaderTerm) sendOrders(list []schedule.AgentOrders) {
	for _, o := range list {
		l.mu.Lock()
		session := l.mu.sessions[o.Agent]
		l.mu.Unlock()
		if session.number != o.Orders.Session {
			continue // the full report that began the next session has resolved the runs
		}
		if err := session.conn.Notify(message.KindOrders, &o.Orders); err != nil {
			l.node.cfg.Log.Emit(event.OrdersNotSent, "agent", o.Agent, "session", o.Orders.Session,
				"tasks", len(o.Orders.Starts), "error", err)
			l.table.MarkUnsent(&o)
			session.conn.Close()
		}
	}
}

// purge deletes the records of jobs that ended more than Timing.Retention ago, in up to
// maxPurgeBatches transactions, and refusal records that no late create needs any more.
func (l *leaderTerm) purge(ctx context.Context) {
	now := l.node.cfg.Clock.Now()
	l.mu.Lock()
	l.mu.purgedAt = now
	l.mu.Unlock()
	for range maxRefusalPurges {
		if !l.purgeRefusals(ctx, now) {
			break
		}
	}
	for range maxPurgeBatches {
		ids := l.table.RemoveExpired(now, jobstore.MaxPurge)
		if len(ids) > 0 {
			l.purgeBatch(ctx, ids)
		}
		if len(ids) < jobstore.MaxPurge {
			return
		}
	}
}

// purgeRefusals deletes one batch of refusal records and reports whether there may be more.
func (l *leaderTerm) purgeRefusals(ctx context.Context, now time.Time) bool {
	ctx, cancel := context.WithTimeout(ctx, l.node.cfg.Timing.CallTimeout)
	defer cancel()
	tried, err := l.writer.PurgeRefusals(ctx, now)
	if err != nil {
		l.node.cfg.Metrics.Add(metrics.PurgesFailed, 1)
	}
	return tried > 0
}

func (l *leaderTerm) purgeBatch(ctx context.Context, ids []string) {
	ctx, cancel := context.WithTimeout(ctx, l.node.cfg.Timing.CallTimeout)
	defer cancel()
	if err := l.writer.Purge(ctx, ids); err != nil {
		// The records stay. The next leader loads them as ended and purges them.
		l.node.cfg.Metrics.Add(metrics.PurgesFailed, 1)
	}
}

// resign gives the term up, steps down, and notifies the followers of that and of the successor.
// Nothing is left to do if the term ends otherwise meanwhile.
func (l *leaderTerm) resign(ctx context.Context) {
	l.closeTerm(ctx)
	if !l.node.stepDown(l, "process stops") {
		return
	}
	last := message.Update{Term: l.number, Resigned: true, Successor: l.successor()}
	for _, conn := range l.followerConns() {
		_ = conn.Notify(message.KindUpdate, &last) // an entry that misses it finds that this one does not lead
	}
}

// closeTerm ends the grants of leases and the orders of the term, and commits that, with the times
// by which the leases end and the changed records, until ctx or the term ends or the store fails.
func (l *leaderTerm) closeTerm(ctx context.Context) {
	l.closing.Store(true)
	l.table.Close()
	if l.loaded.Load() && l.node.cfg.Timing.ModelInterval > 0 {
		l.submitOnce(&l.recordingModel, l.recordModel)
	}
	for ctx.Err() == nil && l.node.ownTerm.Load() == l && !l.degraded.Load() &&
		(!l.table.ClosedDurably() || l.table.DirtyCount() > 0) {
		l.commit()
		l.node.sleep(ctx, l.node.cfg.Timing.CommitInterval)
	}
}

// successor returns the id of the follower with the shortest claim delay, of equal ones the
// lowest; empty if no follower may claim the next term.
func (l *leaderTerm) successor() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var best message.Follow
	for c, f := range l.mu.followers {
		if c.Closed() || f.Draining {
			continue
		}
		if best.Entry.ID == "" || f.ClaimDelayMs < best.ClaimDelayMs ||
			f.ClaimDelayMs == best.ClaimDelayMs && f.Entry.ID < best.Entry.ID {
			best = f.Follow
		}
	}
	return best.Entry.ID
}
