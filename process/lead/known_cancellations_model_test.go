package lead

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/connection/peer"
	"camphorhead.example/camphorhead/process/jobstore"
	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/process/term"
	"camphorhead.example/camphorhead/version/profile"
)

// changeLog is a store that keeps its history.
type changeLog struct {
	*memoryStore
	mu      sync.Mutex // guards changes
	changes []platform.Change
}

func (s *changeLog) Commit(ctx context.Context, txn platform.Txn) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	revision, err := s.memoryStore.Commit(ctx, txn)
	if err != nil {
		return revision, err
	}
	for _, p := range txn.Puts {
		s.changes = append(s.changes, platform.Change{KV: platform.KV{Key: p.Key, Value: p.Value, Revision: revision}})
	}
	for _, key := range txn.Deletes {
		s.changes = append(s.changes, platform.Change{KV: platform.KV{Key: key, Revision: revision}, Deleted: true})
	}
	return revision, nil
}

func (s *changeLog) Changes(_ context.Context, prefix string, after uint64, _ time.Duration) (list []platform.Change, revision uint64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.changes {
		if c.Revision > after && len(c.Key) >= len(prefix) && c.Key[:len(prefix)] == prefix {
			list = append(list, c)
		}
		revision = max(revision, c.Revision)
	}
	return list, max(revision, after), nil
}

// reachedStore is the log as one entry reaches it.
type reachedStore struct {
	modelStore
	log *changeLog
}

func (s *reachedStore) Commit(ctx context.Context, txn platform.Txn) (uint64, error) {
	if s.cut {
		return 0, platform.ErrUnavailable
	}
	return s.log.Commit(ctx, txn)
}

func (s *reachedStore) Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]platform.Change, uint64, error) {
	if s.cut {
		return nil, 0, platform.ErrUnavailable
	}
	return s.log.Changes(ctx, prefix, after, wait)
}

// cancelEntry is an entry of the model with its current process.
type cancelEntry struct {
	id     string
	node   *Node
	store  *reachedStore
	paused bool
	conn   *cancelConn // to the leader that it follows; nil: none
}

// cancelConn is a connection between a follower and a leader. Messages arrive in order, after a delay, and
// not while the connection is cut.
type cancelConn struct {
	id         *peer.Conn
	follower   *cancelEntry
	leader     *cancelEntry
	term       *leaderTerm
	delay      time.Duration
	cut        bool
	toLeader   []timedMessage
	toFollower []timedMessage
}

type timedMessage struct {
	sentAt  time.Time
	deliver func()
}

// cancelModel is a chain of leaders, of which entries acknowledge cancellations. Nodes are real; messages,
// pauses, cuts and restarts are modelled. Nobody announces a term, as if all announcements were lost.
type cancelModel struct {
	t       *rapid.T
	clock   *clockwork.FakeClock
	log     *changeLog
	entries []*cancelEntry
	conns   []*cancelConn
	jobs    int
	pending []*pendingAnswer
	// answered is when the cancellation of a job was acknowledged.
	answered map[string]time.Time
}

// pendingAnswer is a cancellation that is recorded and not acknowledged yet.
type pendingAnswer struct {
	job  string
	node *Node
}

func newCancelModel(t *rapid.T) *cancelModel {
	m := &cancelModel{
		t: t, clock: clockwork.NewFakeClockAt(modelStart), log: &changeLog{memoryStore: newMemoryStore(t)}, answered: map[string]time.Time{},
	}
	for range rapid.IntRange(1, 3).Draw(t, "entries") {
		m.add()
	}
	m.advance(5 * time.Second)
	return m
}

func (m *cancelModel) add() {
	e := &cancelEntry{id: fmt.Sprint("entry", len(m.entries))}
	e.store = &reachedStore{modelStore: modelStore{memoryStore: m.log.memoryStore}, log: m.log}
	m.entries = append(m.entries, e)
	m.start(e)
}

// start begins a process of an entry, instead of the one before.
func (m *cancelModel) start(e *cancelEntry) {
	m.disconnect(e)
	e.node = newProcess(m.t, e.id, e.store, m.clock)
	e.node.cfg.Timing.CancelBound = testCancelBound
	e.node.cfg.Profile = func(string) (profile.Profile, bool) { return profile.Profile{Service: "s", MaxAttempts: 3}, true }
	e.node.cfg.Teams = func() map[string]profile.Team { return nil }
	e.paused = false
}

// disconnect ends all connections of an entry. What is on its way is lost.
func (m *cancelModel) disconnect(e *cancelEntry) {
	for _, c := range m.conns {
		if c.follower == e || c.leader == e {
			m.closeConn(c)
		}
	}
}

func (m *cancelModel) closeConn(c *cancelConn) {
	c.term.mu.Lock()
	delete(c.term.mu.followers, c.id)
	c.term.mu.Unlock()
	if c.follower.conn == c {
		c.follower.conn = nil
	}
	c.toLeader, c.toFollower = nil, nil
}

// advance lets time pass, in which running processes do their periodic work.
func (m *cancelModel) advance(d time.Duration) {
	for end := m.clock.Now().Add(d); m.clock.Now().Before(end); {
		m.clock.Advance(min(modelTick, end.Sub(m.clock.Now())))
		for _, c := range m.conns {
			m.deliver(c, c.leader, &c.toLeader)
			m.deliver(c, c.follower, &c.toFollower)
		}
		for _, e := range m.entries {
			if !e.paused {
				m.tick(e)
			}
		}
		m.check()
	}
}

func (m *cancelModel) deliver(c *cancelConn, to *cancelEntry, queue *[]timedMessage) {
	for len(*queue) > 0 && !c.cut && !to.paused && m.clock.Since((*queue)[0].sentAt) >= c.delay {
		first := (*queue)[0]
		*queue = (*queue)[1:]
		first.deliver()
	}
}

func (m *cancelModel) tick(e *cancelEntry) {
	n, now, ctx := e.node, m.clock.Now(), m.t.Context()
	if l := n.loadedTerm(); l != nil {
		m.lead(e, l)
		return
	}
	defer func() {
		if l := n.loadedTerm(); l != nil {
			m.t.Logf("%s: %s leads term %d", m.clock.Since(modelStart), e.id, l.number)
		}
	}()
	m.follow(e)
	n.mu.Lock()
	step := n.elector.Next(now)
	n.mu.Unlock()
	if step != term.Nothing {
		n.executeStep(ctx, step)
	}
}

// lead does the periodic work of a leader.
func (m *cancelModel) lead(e *cancelEntry, l *leaderTerm) {
	now, ctx := m.clock.Now(), m.t.Context()
	l.sendingUpdates.Store(true) // the model sends them, over its connections
	l.mu.Lock()
	inboxDue, commitDue := now.Sub(l.mu.inboxReadAt) >= inboxInterval, now.Sub(l.mu.lastCommit) >= testTiming.LeaderTimeout/heartbeatsPerTimeout
	l.degraded.Store(!l.mu.failingSince.IsZero() && now.Sub(l.mu.lastSuccess) >= testTiming.LeaderTimeout*2/3)
	l.mu.Unlock()
	if commitDue {
		l.transact(ctx)
	}
	if inboxDue {
		l.readInbox(ctx)
	}
	e.node.applyOwnNotices(l)
	if e.node.ownTerm.Load() != l {
		return
	}
	for _, c := range m.conns {
		if c.term == l && c.follower.conn == c {
			u := l.newUpdate()
			u.Stamp = l.stamp()
			c.toFollower = append(c.toFollower, timedMessage{now, func() { c.follower.node.applyUpdate(&u) }})
		}
	}
}

// follow does what Node.followLeader does.
func (m *cancelModel) follow(e *cancelEntry) {
	n, now := e.node, m.clock.Now()
	n.mu.Lock()
	view := n.elector.View()
	if view.Term == 0 || view.HeldBy(n.cfg.Self()) {
		n.mu.Unlock()
		return
	}
	if n.leader == nil || n.leader.term != view.Term {
		n.leader = &leaderConn{term: view.Term, receivedAt: now}
	}
	unreachable := now.Sub(n.leader.receivedAt) >= testTiming.LeaderTimeout/2
	stamp := n.leader.stamp
	n.mu.Unlock()
	if c := e.conn; c != nil && (unreachable || c.term.number != view.Term) {
		m.closeConn(c)
	}
	if e.conn == nil {
		m.connect(e, view)
		return
	}
	m.sendNotices(e)
	c := e.conn
	c.toLeader = append(c.toLeader, timedMessage{now, func() {
		if c.leader.node.ownTerm.Load() == c.term {
			c.term.recordFollowing(c.id, stamp)
		}
	}})
}

// sendNotices sends the notices that are due.
func (m *cancelModel) sendNotices(e *cancelEntry) {
	e.node.mu.Lock()
	defer e.node.mu.Unlock()
	c := e.conn
	for _, pending := range e.node.dueNotices(m.clock.Now()) {
		c.toLeader = append(c.toLeader, timedMessage{m.clock.Now(), func() {
			if c.leader.node.ownTerm.Load() == c.term {
				c.leader.node.handleCancelled(peer.Request{}, pending.body.(*message.JobRef))
			}
		}})
	}
}

// connect makes an entry follow the holder of the newest term that it knows, if that leads and is reached.
func (m *cancelModel) connect(e *cancelEntry, view term.View) {
	for _, to := range m.entries {
		l := to.node.ownTerm.Load()
		if to == e || to.paused || !view.HeldBy(to.node.cfg.Self()) || m.isCut(e, to) {
			continue
		}
		if l == nil || l.number != view.Term {
			e.node.mu.Lock()
			e.node.elector.RecordTermEnd(m.clock.Now(), view.Term)
			e.node.mu.Unlock()
			return
		}
		f := message.Follow{Entry: e.node.cfg.Self(), Term: view.Term}
		l.addCandidate(&f)
		l.recordAcknowledger(&f.Entry)
		c := &cancelConn{id: &peer.Conn{}, follower: e, leader: to, term: l}
		c.delay = rapid.SampledFrom([]time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}).Draw(m.t, "delay")
		l.mu.Lock()
		l.mu.followers[c.id] = &follower{Follow: f, receivedAt: m.clock.Now()}
		l.mu.Unlock()
		e.conn = c
		m.conns = append(m.conns, c)
		m.t.Logf("%s: %s follows term %d of %s", m.clock.Since(modelStart), e.id, l.number, to.id)
		e.node.mu.Lock()
		e.node.leader.receivedAt = m.clock.Now()
		e.node.elector.RecordHeartbeat(m.clock.Now(), view.Term, 0, false)
		for _, pending := range e.node.notices {
			pending.sentAt = time.Time{}
		}
		e.node.mu.Unlock()
	}
}

// isCut reports whether a cut separates two entries: the connections between them show that.
func (m *cancelModel) isCut(a, b *cancelEntry) bool {
	for _, c := range m.conns {
		if c.cut && (c.follower == a && c.leader == b || c.follower == b && c.leader == a) {
			return true
		}
	}
	return false
}

// cancel cancels a new job at an entry.
func (m *cancelModel) cancel(e *cancelEntry) {
	m.jobs++
	id := fmt.Sprint("j", m.jobs)
	_, _, err := jobstore.New(m.log).Create(m.t.Context(), testJob(id), 0)
	require.NoError(m.t, err)
	c, err := e.node.recordCancellation(m.t.Context(), id)
	if err != nil {
		return
	}
	if l := e.node.loadedTerm(); l != nil {
		l.cancel(id, c.Revision, "caller")
	} else {
		e.node.notifyLeader(cancelledKey(id), message.KindCancelled, &message.JobRef{Job: id, Revision: c.Revision})
		if e.conn != nil {
			e.node.mu.Lock()
			e.node.notices[cancelledKey(id)].sentAt = time.Time{}
			e.node.mu.Unlock()
			m.sendNotices(e)
		}
	}
	m.pending = append(m.pending, &pendingAnswer{id, e.node})
}

// check acknowledges what may be, and checks that each leader has all cancellations that were acknowledged
// before the time for which it claims to.
func (m *cancelModel) check() {
	now := m.clock.Now()
	var left []*pendingAnswer
	for _, p := range m.pending {
		if informed, _ := p.node.leaderInformed(now); informed && m.runs(p.node) {
			leads, newest := p.node.Leads()
			m.t.Logf("%s: %s acknowledges %s, leads %t, newest term %d", m.clock.Since(modelStart), p.node.cfg.Self().ID, p.job, leads, newest)
			m.answered[p.job] = now
			continue
		}
		left = append(left, p)
	}
	m.pending = left
	for _, e := range m.entries {
		l := e.node.loadedTerm()
		if l == nil || e.paused || !l.valid() {
			continue // it orders nothing
		}
		known := l.cancellationsKnownAt(now)
		require.False(m.t, known.After(now))
		for id, at := range m.answered {
			if state, inTable := l.table.State(id); at.Before(known) && !l.writer.Cancelled(id) && (!inTable || !state.Terminal()) {
				m.t.Fatalf("%s: %s in term %d claims all cancellations from before %s and lacks %s, acknowledged at %s",
					m.clock.Since(modelStart), e.id, l.number, known.Sub(modelStart), id, at.Sub(modelStart))
			}
		}
	}
}

// runs reports whether a node is the running process of its entry.
func (m *cancelModel) runs(n *Node) bool {
	for _, e := range m.entries {
		if e.node == n {
			return !e.paused
		}
	}
	return false
}

// Guards against a leader that orders starts although it lacks a cancellation which was acknowledged longer
// ago, whatever the order of cuts, pauses, restarts, changes of the leader and entries that join.
func TestLeaderHasTheCancellationsItClaims(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newCancelModel(t)
		pick := func(t *rapid.T) *cancelEntry { return rapid.SampledFrom(m.entries).Draw(t, "entry") }
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) { m.advance(time.Duration(rapid.IntRange(1, 30).Draw(t, "ticks")) * modelTick) },
			"cancel": func(t *rapid.T) {
				if e := pick(t); !e.paused {
					m.cancel(e)
				}
				m.advance(modelTick)
			},
			"store": func(t *rapid.T) { e := pick(t); e.store.cut = !e.store.cut },
			"pause": func(t *rapid.T) { e := pick(t); e.paused = !e.paused },
			"link": func(t *rapid.T) {
				if len(m.conns) == 0 {
					t.Skip("no connection")
				}
				c := rapid.SampledFrom(m.conns).Draw(t, "connection")
				c.cut = !c.cut
			},
			"restart": func(t *rapid.T) { m.start(pick(t)) },
			"add": func(t *rapid.T) {
				if len(m.entries) >= 4 {
					t.Skip("enough")
				}
				m.add()
			},
		})
	})
}
