package lead

import (
	"context"
	"errors"
	"time"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/connection/peer"
	"camphorhead.example/camphorhead/process/metrics"
	"camphorhead.example/camphorhead/process/term"
	"camphorhead.example/camphorhead/request/outcome"
)

// following is the connection of this entry to the leader.
type following struct {
	term    uint64
	address string
	conn    *peer.Conn
	// dialing is set while a connection is being made.
	dialing bool
	triedAt time.Time
	heardAt time.Time
	// pingedAt is when this entry last showed the leader that it is there.
	pingedAt time.Time
}

// notice is something that the leader has to be told, until one of its updates
// shows that it knows.
type notice struct {
	kind   message.Kind
	body   any
	sentAt time.Time
}

const (
	// redialInterval is the pause between two attempts to reach the leader.
	redialInterval = 100 * time.Millisecond
	// noticeInterval is the pause before a notice without an answer is repeated.
	noticeInterval = 300 * time.Millisecond
	// maxNotices bounds what waits for a leader; what is beyond it is found in
	// the store by the leader itself.
	maxNotices = 4096
)

// followTick keeps the connection to the leader and repeats notices.
func (n *Node) followTick(now time.Time) {
	n.mu.Lock()
	v := n.watch.View()
	if v.Term == 0 || v.Mine(n.cfg.Self()) {
		n.mu.Unlock()
		return
	}
	if n.follow == nil || n.follow.term != v.Term {
		n.follow = &following{term: v.Term, address: v.Holder.Address, heardAt: now}
	}
	f := n.follow
	lost := f.conn == nil || f.conn.Closed() || now.Sub(f.heardAt) >= n.cfg.Timing.Silence/2
	dial := lost && !f.dialing && now.Sub(f.triedAt) >= redialInterval
	if dial {
		f.dialing, f.triedAt = true, now
	}
	stale := f.conn
	var due []*notice
	ping := false
	if !lost {
		due = n.dueNotices(now)
		if ping = now.Sub(f.pingedAt) >= n.cfg.Timing.Silence/beatsPerSilence; ping {
			f.pingedAt = now
		}
	} else {
		n.served.Store(false)
	}
	n.mu.Unlock()
	if ping {
		_ = stale.Notify(message.KindPing, message.Ping{SentMs: now.UnixMilli()}) // a lost one is followed by others
	}
	if dial {
		if stale != nil {
			stale.Close()
		}
		n.dial(f)
	}
	for _, note := range due {
		_ = f.conn.Notify(note.kind, note.body) // repeated until an update shows it
	}
}

// dueNotices returns the notices to send now. The caller holds mu.
func (n *Node) dueNotices(now time.Time) []*notice {
	var due []*notice
	for _, note := range n.pending {
		if now.Sub(note.sentAt) >= noticeInterval {
			note.sentAt = now
			due = append(due, note)
		}
	}
	return due
}

func (n *Node) dial(f *following) {
	err := n.cfg.Pool.Submit(func(ctx context.Context) { n.connect(ctx, f) })
	if err != nil {
		n.mu.Lock()
		f.dialing = false
		n.mu.Unlock()
	}
}

// connect asks the holder of the term for updates.
func (n *Node) connect(ctx context.Context, f *following) {
	ctx, cancel := context.WithTimeout(ctx, n.cfg.Timing.Silence/2)
	defer cancel()
	var reply message.FollowReply
	n.mu.Lock()
	preference := n.watch.Preference()
	n.mu.Unlock()
	conn, err := n.cfg.Net.Conn(ctx, f.address)
	if err == nil {
		err = conn.Call(ctx, message.KindFollow, message.Follow{Entry: n.cfg.Self(), Term: f.term, Leaving: n.leaving.Load(), PreferenceMs: preference.Milliseconds()}, &reply)
	}
	now := n.cfg.Clock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	f.dialing = false
	switch {
	case err != nil:
		if conn != nil {
			conn.Close()
		}
		if refused(err) {
			n.watch.Gone(now, f.term)
		}
	case !reply.Leading && reply.Term <= f.term:
		// The process is there but does not lead this term, as after a restart.
		n.watch.Gone(now, f.term)
	case reply.Leading:
		f.conn, f.heardAt = conn, now
		n.watch.Heard(now, reply.Term, 0, false)
		for _, note := range n.pending {
			note.sentAt = time.Time{}
		}
	}
}

// refused reports whether nobody listens at an address.
func refused(err error) bool {
	var failure *outcome.Error
	return errors.As(err, &failure) && failure.Kind == outcome.ConnectionLost && failure.Field == peer.FieldRefused
}

// tell notifies the leader now, and again until it shows that it knows.
func (n *Node) tell(key string, kind message.Kind, body any) {
	note := &notice{kind: kind, body: body, sentAt: n.cfg.Clock.Now()}
	n.mu.Lock()
	if len(n.pending) < maxNotices {
		n.pending[key] = note
	}
	var conn *peer.Conn
	if n.follow != nil {
		conn = n.follow.conn
	}
	n.mu.Unlock()
	if conn != nil {
		_ = conn.Notify(kind, body) // repeated by the ticker until an update shows it
	}
}

// update takes in what the leader sends its followers.
func (n *Node) update(u *message.Update) {
	now := n.cfg.Clock.Now()
	n.mu.Lock()
	if u.Resigned {
		if u.Successor == n.cfg.Self().ID {
			n.watch.Appoint(u.Term)
		}
		n.watch.Gone(now, u.Term)
	} else {
		n.watch.Heard(now, u.Term, u.Beat, u.Trouble)
	}
	address := ""
	if n.follow != nil && n.follow.term == u.Term {
		n.follow.heardAt, address = now, n.follow.address
		n.served.Store(!u.Loading && !u.Resigned)
	}
	for _, info := range u.Entries {
		n.entries[info.ID] = info
	}
	if len(u.Entries) > 0 {
		n.present = u.Entries
	}
	for _, j := range u.Jobs {
		// The leader knows the job, and a final state needs no cancelling.
		delete(n.pending, submittedKey(j.Job))
		if j.State.Terminal() {
			delete(n.pending, cancelledKey(j.Job))
		}
	}
	n.mu.Unlock()
	n.states.apply(u.Jobs, u.Waiting)
	n.noteAgents(u.Agents, u.Gone, u.AllAgents)
	if n.cfg.Behind == nil || address == "" || u.ConfigVersion <= n.cfg.ConfigVersion() {
		return
	}
	if err := n.cfg.Pool.Submit(func(ctx context.Context) { n.cfg.Behind(ctx, address) }); err != nil {
		n.cfg.Metrics.Add(metrics.ConfigPullsRefused, 1) // the next update asks again
	}
}

func submittedKey(id string) string { return "submitted " + id }
func cancelledKey(id string) string { return "cancelled " + id }

// announced takes in that another entry has begun a term.
func (n *Node) announced(v term.View) {
	now := n.cfg.Clock.Now()
	n.mu.Lock()
	newer := v.Term > n.watch.Term()
	if newer {
		n.watch.Saw(now, v)
	}
	n.mu.Unlock()
	if !newer {
		return
	}
	n.noteLeader(v, "announcement")
	if l := n.leading.Load(); l != nil && l.number < v.Term {
		n.stepDown(l, "another entry has begun a term")
	}
}
