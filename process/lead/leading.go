package lead

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/connection/peer"
	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/process/jobstore"
	"camphorhead.example/camphorhead/process/lockrank"
	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/process/schedule"
	"camphorhead.example/camphorhead/process/term"
)

// agentsKey holds the list of agents that may have runs.
const agentsKey = "leader/agents"

const (
	// commitInterval is the least pause between two transactions, so that the
	// ends of a moment go into one.
	commitInterval = 40 * time.Millisecond
	// inboxInterval is the pause between two looks for jobs and cancellings
	// whose entry did not tell the leader.
	inboxInterval = time.Second
	// purgeInterval is the pause between two removals of old records.
	purgeInterval = 5 * time.Second
	// recordsPerCommit is more than one transaction can hold.
	recordsPerCommit = platform.MaxTxnEntries
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
	beat    atomic.Uint64

	mu termState
}

// termState is the state of a term beside the table.
type termState struct {
	lockrank.Mutex                       // guards the fields below
	conns          map[string]*peer.Conn // agents, by id
	followers      map[*peer.Conn]message.EntryInfo
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
}

func newLeading(n *Node, previous, view term.View) *leading {
	l := &leading{node: n, number: view.Term}
	l.table = schedule.New(schedule.Config{
		Clock: n.cfg.Clock, Log: n.cfg.Log, Term: view.Term, Lease: n.cfg.Timing.Lease,
		Heartbeat: n.cfg.Timing.Heartbeat, Retention: n.cfg.Timing.Retention, Profile: n.cfg.Profile,
	})
	l.writer = jobstore.NewWriter(n.cfg.Store, jobstore.Fence{Key: term.Key, Revision: view.Revision})
	l.mu.Mutex = lockrank.NewMutex(lockrank.RankSessions)
	l.mu.conns, l.mu.followers = map[string]*peer.Conn{}, map[*peer.Conn]message.EntryInfo{}
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
	l.commit()
	l.sendUpdates(updateDue)
	if inboxDue {
		l.once(&l.reading, l.readInbox)
	}
	if purgeDue {
		l.once(&l.purging, l.purge)
	}
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
		if l.valid() {
			l.sendOrders(l.table.Dispatch(l.node.cfg.Clock.Now()))
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

// commit writes what has changed, with a beat when one is due.
func (l *leading) commit() {
	if !l.loaded.Load() {
		return
	}
	now := l.node.cfg.Clock.Now()
	l.mu.Lock()
	beatDue := now.Sub(l.mu.lastCommit) >= l.node.cfg.Timing.Silence/beatsPerSilence
	spaced := now.Sub(l.mu.lastCommit) >= commitInterval
	open := l.mu.open != nil
	l.mu.Unlock()
	if !spaced {
		return
	}
	_, agentsChanged := l.table.Unregistered()
	if open || beatDue || agentsChanged || l.table.Dirty() {
		l.once(&l.committing, l.write)
	}
}

// write carries out one transaction, or one more attempt at an open one.
func (l *leading) write(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, l.node.cfg.Timing.Call)
	defer cancel()
	now := l.node.cfg.Clock.Now()
	l.mu.Lock()
	open := l.mu.open
	l.mu.lastCommit = now
	l.mu.Unlock()
	if open == nil {
		var err error
		if open, err = l.plan(); err != nil {
			l.node.cfg.Log.Emit(event.InternalError, "component", "records", "error", err)
			return
		}
	}
	err := l.writer.Write(ctx, open.batch)
	l.conclude(now, open, err)
}

func (l *leading) plan() (*openBatch, error) {
	agents, changed := l.table.Unregistered()
	l.mu.Lock()
	beatRevision, agentsRev := l.mu.beatRevision, l.mu.agentsRev
	l.mu.Unlock()
	open := &openBatch{beat: l.beat.Load() + 1}
	extra, err := term.BeatPut(l.number, open.beat, beatRevision)
	if err != nil {
		return nil, err
	}
	if changed {
		value, err := msgpack.Marshal(agents)
		if err != nil {
			return nil, err
		}
		open.agents = agents
		extra.Expect = append(extra.Expect, platform.Expectation{Key: agentsKey, Revision: agentsRev})
		extra.Puts = append(extra.Puts, platform.Put{Key: agentsKey, Value: value})
	}
	records := l.table.TakeRecords(recordsPerCommit)
	open.batch, err = l.writer.Plan(records, extra)
	if err != nil {
		l.table.Failed(records)
		return nil, err
	}
	l.table.Failed(open.batch.Rest)
	return open, nil
}

// conclude takes in the outcome of a transaction.
func (l *leading) conclude(sent time.Time, open *openBatch, err error) {
	now := l.node.cfg.Clock.Now()
	l.node.cfg.Metrics.Observe("store_commit", now.Sub(sent))
	switch {
	case err == nil:
		l.succeeded(sent, open)
	case errors.Is(err, jobstore.ErrDeposed):
		l.node.stepDown(l, "another entry has begun a term")
	case errors.Is(err, platform.ErrUnavailable):
		// Nothing was written, unless an earlier attempt was.
		l.failed(now, open, err, false)
	case errors.Is(err, platform.ErrConflict):
		l.failed(now, open, err, false)
		l.refreshOwnKeys()
	default:
		l.failed(now, open, err, true)
	}
}

func (l *leading) succeeded(sent time.Time, open *openBatch) {
	l.table.Committed(open.batch.Records)
	if open.agents != nil {
		l.table.NoteRegistered(open.agents)
	}
	l.beat.Store(open.beat)
	l.mu.Lock()
	outage := time.Duration(0)
	if !l.mu.failingSince.IsZero() {
		outage = l.node.cfg.Clock.Since(l.mu.failingSince)
	}
	l.mu.beatRevision = open.batch.RevisionOf(term.BeatKey)
	if open.agents != nil {
		l.mu.agentsRev = open.batch.RevisionOf(agentsKey)
	}
	l.mu.open, l.mu.failingSince = nil, time.Time{}
	l.mu.lastSuccess = l.node.cfg.Clock.Now()
	l.mu.validUntil = sent.Add(l.node.cfg.Timing.Outage)
	l.mu.Unlock()
	if outage > 0 {
		l.node.cfg.Log.Emit(event.StoreAvailable, "outage_ms", outage.Milliseconds())
	}
	l.dispatch()
	l.sendUpdates(false)
}

// failed keeps or takes back a transaction that was not confirmed.
func (l *leading) failed(now time.Time, open *openBatch, err error, uncertain bool) {
	l.mu.Lock()
	first := l.mu.failingSince.IsZero()
	if first {
		l.mu.failingSince = now
	}
	keep := uncertain || l.mu.open != nil
	if keep && !errors.Is(err, platform.ErrConflict) {
		l.mu.open = open
	} else {
		l.mu.open = nil
	}
	kept := l.mu.open != nil
	l.mu.Unlock()
	if !kept {
		l.table.Failed(open.batch.Records)
	}
	if first {
		l.node.cfg.Log.Emit(event.StoreUnavailable, "operation", "commit", "error", err)
	}
}

// refreshOwnKeys reads the revisions of the leader's own keys after a conflict.
func (l *leading) refreshOwnKeys() {
	ctx, cancel := context.WithTimeout(context.Background(), l.node.cfg.Timing.Call)
	defer cancel()
	items, _, err := l.node.cfg.Store.List(ctx, "leader/")
	if err != nil {
		return // the next attempt meets the same conflict and asks again
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, kv := range items {
		switch kv.Key {
		case term.BeatKey:
			l.mu.beatRevision = kv.Revision
		case agentsKey:
			l.mu.agentsRev = kv.Revision
		}
	}
}

// readInbox takes in jobs and cancellings whose entry did not tell of them.
func (l *leading) readInbox(ctx context.Context) { _ = l.lookIntoInbox(ctx) }

func (l *leading) lookIntoInbox(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, l.node.cfg.Timing.Call)
	defer cancel()
	l.mu.Lock()
	after := l.mu.inboxRev
	l.mu.inboxAt = l.node.cfg.Clock.Now()
	l.mu.Unlock()
	in, err := l.writer.Inbox(ctx, after)
	if errors.Is(err, platform.ErrCompacted) {
		in, err = l.reload(ctx)
	}
	if err != nil {
		l.node.cfg.Metrics.Add("inbox_read_failed", 1)
		return err
	}
	for i := range in.Jobs {
		l.accept(&in.Jobs[i], "store")
	}
	for _, id := range in.Cancels {
		l.cancel(id, "store")
	}
	l.mu.Lock()
	l.mu.inboxRev = max(l.mu.inboxRev, in.Revision)
	l.mu.Unlock()
	l.dispatch()
	return nil
}

// reload reads everything that entries wrote, for a history that is gone.
func (l *leading) reload(ctx context.Context) (jobstore.Inbox, error) {
	jobs, revision, _, err := l.writer.LoadInbox(ctx)
	if err != nil {
		return jobstore.Inbox{}, err
	}
	in := jobstore.Inbox{Revision: revision}
	for _, j := range jobs {
		if j.Ended() {
			continue
		}
		in.Jobs = append(in.Jobs, j.Stored)
		if j.Cancelled {
			in.Cancels = append(in.Cancels, j.Definition.ID)
		}
	}
	return in, nil
}

// accept enters a recorded job. source says who told of it.
func (l *leading) accept(s *jobstore.Stored, source string) {
	l.writer.NoteJob(s.Definition.ID, s.Revision)
	if l.table.Accept(l.node.cfg.Clock.Now(), s.Definition, s.Term) {
		l.node.cfg.Log.Emit(event.JobQueued, "job", s.Definition.ID, "profile", s.Definition.Profile,
			"tasks", taskCount(s.Definition), "source", source)
	}
}

func (l *leading) cancel(id, source string) {
	l.writer.NoteCancel(id)
	if l.table.Cancel(l.node.cfg.Clock.Now(), id) {
		l.node.cfg.Log.Emit(event.JobCancelWanted, "job", id, "source", source)
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
		l.node.cfg.Metrics.Add("purge_failed", 1)
	}
}

// resign gives the term up in good order: what is known becomes durable, and
// the other entries learn that the term is free.
func (l *leading) resign(ctx context.Context) {
	for ctx.Err() == nil && l.table.Dirty() && !l.trouble.Load() {
		l.commit()
		select {
		case <-ctx.Done():
		case <-l.node.cfg.Clock.After(commitInterval):
		}
	}
	l.node.stepDown(l, "process stops")
	for _, conn := range l.followerConns() {
		_ = conn.Notify(message.KindUpdate, &message.Update{Term: l.number, Resigned: true})
	}
}
