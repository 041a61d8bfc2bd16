package lead

import (
	"context"
	"errors"
	"time"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/connection/peer"
	"camphorhead.example/camphorhead/process/term"
	"camphorhead.example/camphorhead/request/outcome"
)

// leaderConn is the connection to the leader of one term; the mutex of the node guards it.
type leaderConn struct {
	term       uint64
	address    string
	conn       *peer.Conn
	dialing    bool
	dialedAt   time.Time // start of the last attempt to open one
	receivedAt time.Time // when the leader accepted this follower or last sent an update
	// reportedAt is when the leader was last told that this entry follows; stamp is the latest
	// of its stamps, reportedStamp the latest returned.
	reportedAt           time.Time
	stamp, reportedStamp int64
	// noticeDropped is set if a notice of a cancellation was not kept. No stamp is returned from then on:
	// the leader learns of that cancellation from the store.
	noticeDropped bool
	earlierLeader bool // message.Update.EarlierLeader of the latest update
}

// notice is a message to the leader, repeated until one of its updates shows the effect, or until it
// is too old.
type notice struct {
	kind      message.Kind
	body      any
	createdAt time.Time
	sentAt    time.Time
}

const (
	redialInterval = 100 * time.Millisecond // least time between two attempts to connect to the leader
	noticeInterval = 300 * time.Millisecond // least time between two transmissions of a notice
	maxNotices     = 4096                   // the leader finds the jobs and cancellations of dropped notices in the store
	// noticeDivisor gives the part of Timing.Retention after which a notice is dropped: the leader
	// may purge the job a retention after its end, and would start it again on a later notice.
	noticeDivisor = 2
)

// followLeader keeps the connection to the leader open, returns its stamps and repeats notices. It
// does nothing while the newest term is this process's own.
func (n *Node) followLeader(now time.Time) {
	n.mu.Lock()
	view := n.elector.View()
	if view.Term == 0 || view.HeldBy(n.cfg.Self()) {
		n.mu.Unlock()
		return
	}
	if n.leader == nil || n.leader.term != view.Term {
		n.leader = &leaderConn{term: view.Term, address: view.Holder.Address, receivedAt: now}
	}
	c := n.leader
	unreachable := c.conn == nil || c.conn.Closed() || now.Sub(c.receivedAt) >= n.cfg.Timing.LeaderTimeout/2
	dial := unreachable && !c.dialing && now.Sub(c.dialedAt) >= redialInterval
	if dial {
		c.dialing, c.dialedAt = true, now
	}
	conn := c.conn
	var due []*notice
	var following *message.Following
	if !unreachable {
		due = n.dueNotices(now)
		if c.stamp > c.reportedStamp || now.Sub(c.reportedAt) >= n.cfg.Timing.LeaderTimeout/heartbeatsPerTimeout {
			c.reportedAt, c.reportedStamp = now, c.stamp
			following = &message.Following{Term: c.term, Stamp: c.stamp}
			if c.noticeDropped {
				following.Stamp = 0
			}
		}
	} else {
		n.leaderReady.Store(false)
	}
	n.mu.Unlock()
	for _, pending := range due {
		_ = c.conn.Notify(pending.kind, pending.body) // repeated until an update shows its effect
	}
	// After the notices: a stamp also tells the leader that it has all cancellations from before it.
	if following != nil {
		following.Config = n.cfg.ConfigState()
		_ = conn.Notify(message.KindFollowing, following) // the next one replaces a lost one
	}
	if dial {
		if conn != nil {
			conn.Close()
		}
		n.dial(c)
	}
}

// dueNotices returns the notices that are due and marks them as sent. The caller holds mu.
func (n *Node) dueNotices(now time.Time) []*notice {
	var due []*notice
	n.dropOldNotices(now)
	for _, pending := range n.notices {
		if now.Sub(pending.sentAt) >= noticeInterval {
			pending.sentAt = now
			due = append(due, pending)
		}
	}
	return due
}

// dropOldNotices drops the notices that are too old. The caller holds mu.
func (n *Node) dropOldNotices(now time.Time) {
	for key, pending := range n.notices {
		if now.Sub(pending.createdAt) >= n.cfg.Timing.Retention/noticeDivisor {
			delete(n.notices, key)
		}
	}
}

// dial connects on the pool. The caller has set dialing.
func (n *Node) dial(c *leaderConn) {
	err := n.cfg.Pool.Submit(func(ctx context.Context) { n.connect(ctx, c) })
	if err != nil {
		n.mu.Lock()
		c.dialing = false
		n.mu.Unlock()
	}
}

// connect opens a connection to the holder of the term and requests its updates. The term has
// ended if the process there does not lead. For a follower it has also ended if the connection is
// refused: that may be the network's doing, but the leader then does not confirm its term without
// this follower. Entries that have not followed it are not needed for that.
func (n *Node) connect(ctx context.Context, c *leaderConn) {
	ctx, cancel := context.WithTimeout(ctx, n.cfg.Timing.LeaderTimeout/2)
	defer cancel()
	var reply message.FollowReply
	n.mu.Lock()
	delay := n.elector.ClaimDelay()
	n.mu.Unlock()
	conn, err := n.cfg.Net.Conn(ctx, c.address)
	if err == nil {
		err = conn.Call(ctx, message.KindFollow, message.Follow{Entry: n.cfg.Self(), Term: c.term, Draining: n.draining.Load(), ClaimDelayMs: delay.Milliseconds()}, &reply)
	}
	now := n.cfg.Clock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	c.dialing = false
	switch {
	case err != nil:
		if conn != nil {
			conn.Close()
		}
		if connectionRefused(err) && n.elector.Followed() {
			n.elector.RecordTermEnd(now, c.term)
		}
	case !reply.Leading && reply.Term <= c.term:
		// The process responds but does not lead this term, for example after a restart.
		n.elector.RecordTermEnd(now, c.term)
	case reply.Leading:
		c.conn, c.receivedAt = conn, now
		n.elector.RecordHeartbeat(now, reply.Term, 0, false)
		for _, pending := range n.notices {
			pending.sentAt = time.Time{}
		}
	}
}

func connectionRefused(err error) bool {
	var failure *outcome.Error
	return errors.As(err, &failure) && failure.Kind == outcome.ConnectionLost && failure.Field == peer.FieldRefused
}

// notifyLeader sends a notice if the leader is connected, and keeps it for repetition unless
// maxNotices are kept already.
func (n *Node) notifyLeader(key string, kind message.Kind, body any) {
	now := n.cfg.Clock.Now()
	pending := &notice{kind: kind, body: body, createdAt: now, sentAt: now}
	n.mu.Lock()
	kept := len(n.notices) < maxNotices
	if kept {
		n.notices[key] = pending
	}
	var conn *peer.Conn
	if n.leader != nil {
		conn = n.leader.conn
		n.leader.noticeDropped = n.leader.noticeDropped || !kept && kind == message.KindCancelled
	}
	n.mu.Unlock()
	if conn != nil {
		_ = conn.Notify(kind, body) // the ticker repeats it until an update shows its effect
	}
}

// keepNotice keeps a notice that has arrived before this process had loaded the jobs of its term.
func (n *Node) keepNotice(key string, kind message.Kind, body any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.notices) < maxNotices {
		n.notices[key] = &notice{kind: kind, body: body, createdAt: n.cfg.Clock.Now()}
	}
}

// applyUpdate applies an update of the leader and pulls its configuration if that is newer.
func (n *Node) applyUpdate(u *message.Update) {
	now := n.cfg.Clock.Now()
	n.mu.Lock()
	if u.Resigned {
		if u.Successor == n.cfg.Self().ID {
			n.elector.MarkSuccessor(u.Term)
		}
		n.elector.RecordTermEnd(now, u.Term)
	} else {
		n.elector.RecordHeartbeat(now, u.Term, u.Heartbeat, u.Degraded)
	}
	address := ""
	followed := n.leader != nil && n.leader.term == u.Term
	if followed {
		n.leader.receivedAt, address = now, n.leader.address
		n.leader.earlierLeader = u.EarlierLeader
		if !u.Resigned {
			n.leader.stamp = max(n.leader.stamp, u.Stamp)
		}
		n.leaderReady.Store(!u.Loading && !u.Resigned)
	}
	for _, info := range u.Entries {
		n.knownEntries[info.ID] = info
	}
	if len(u.Entries) > 0 {
		n.currentEntries = u.Entries
	}
	for _, j := range u.Jobs {
		// The leader has the job; a job in a final state needs no cancellation.
		delete(n.notices, submittedKey(j.Job))
		if j.State.Terminal() {
			delete(n.notices, cancelledKey(j.Job))
		}
	}
	n.mu.Unlock()
	if u.Stamp != 0 {
		n.evacuated.Store(&u.Evacuated)
	}
	if followed {
		n.admissions.applyBacklog(u.Backlog)
		n.admissions.observeRevision(u.StoreRevision)
	}
	n.states.apply(u.Jobs, u.Waiting)
	n.notifyAgentsChanged(u.Agents, u.RemovedAgents, u.AllAgents)
	n.observeConfig(address, u.Config)
}

func submittedKey(id string) string { return "submitted " + id }
func cancelledKey(id string) string { return "cancelled " + id }

// applyAnnouncement records a newer term of another entry and ends an older one led here.
func (n *Node) applyAnnouncement(view term.View) {
	now := n.cfg.Clock.Now()
	n.mu.Lock()
	newer := view.Term > n.elector.Term()
	if newer {
		n.elector.RecordView(now, view)
	}
	n.mu.Unlock()
	if !newer {
		return
	}
	n.logLeader(view, "announcement")
	if l := n.ownTerm.Load(); l != nil && l.number < view.Term {
		n.stepDown(l, "another entry has begun a term")
	}
}
