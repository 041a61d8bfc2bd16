package runs

import (
	"context"
	"sync/atomic"
	"time"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/connection/peer"
	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/process/lockrank"
)

const (
	// findInterval is the pause between two looks for the leader.
	findInterval = 150 * time.Millisecond
	// reportSpacing is the least pause between two reports, so that the ends of
	// a moment go into one.
	reportSpacing = 10 * time.Millisecond
)

// link is the agent's attachment to the leader.
type link struct {
	node *Node
	// sending is set while a report is under way; wanted while another is due.
	sending, wanted atomic.Bool
	finding         atomic.Bool

	mu lockrank.Mutex // guards the fields below
	// session counts the attachments; it begins with the time of the process's
	// start, so that it is higher than those of earlier processes.
	session  uint64
	sequence uint64
	full     bool // the next report begins the session
	serial   uint64
	term     uint64
	address  string
	entries  []string
	asked    int // index of the entry to ask next
	triedAt  time.Time
	sentAt   time.Time
	lostAt   time.Time
}

func newLink(n *Node) link {
	return link{
		node: n, mu: lockrank.NewMutex(lockrank.RankSessions), full: true,
		session: uint64(n.cfg.Clock.Now().UnixMilli()) << 8, entries: n.cfg.Seeds,
	}
}

// kick sends a report as soon as may be.
func (l *link) kick() {
	l.wanted.Store(true)
	l.pump()
}

// pump sends the wanted reports, one after the other.
func (l *link) pump() {
	if !l.sending.CompareAndSwap(false, true) {
		return
	}
	err := l.node.cfg.Pool.Submit(func(ctx context.Context) {
		for l.wanted.Swap(false) && ctx.Err() == nil {
			l.report(ctx)
			l.node.sleep(ctx, reportSpacing)
		}
		l.sending.Store(false)
		if l.wanted.Load() {
			l.pump()
		}
	})
	if err != nil {
		l.sending.Store(false)
	}
}

// tick reports when a heartbeat is due, and looks for a leader while there is none.
func (l *link) tick(_ context.Context, now time.Time) {
	l.mu.Lock()
	due := now.Sub(l.sentAt) >= l.node.cfg.Timing.Heartbeat
	find := l.address == "" && now.Sub(l.triedAt) >= findInterval
	if find {
		l.triedAt = now
	}
	l.mu.Unlock()
	if find && l.finding.CompareAndSwap(false, true) {
		err := l.node.cfg.Pool.Submit(func(ctx context.Context) {
			defer l.finding.Store(false)
			l.find(ctx)
		})
		if err != nil {
			l.finding.Store(false)
		}
	}
	if due {
		l.kick()
	}
}

// find asks the store, or else an entry, who leads.
func (l *link) find(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, l.node.cfg.Timing.Call)
	defer cancel()
	if read := l.node.cfg.ReadLeader; read != nil {
		if leader, err := read(ctx); err == nil && l.found(leader, "store") {
			return
		}
	}
	l.mu.Lock()
	var address string
	if len(l.entries) > 0 {
		address = l.entries[l.asked%len(l.entries)]
		l.asked++
	}
	l.mu.Unlock()
	if address == "" {
		return
	}
	var leader message.Leader
	if l.node.cfg.Net.Call(ctx, address, message.KindWhoLeads, struct{}{}, &leader) == nil {
		l.found(leader, "entry")
	}
}

// found takes in where the leader is; it reports false for one that is older
// than the leader that this agent has followed.
func (l *link) found(leader message.Leader, source string) bool {
	l.mu.Lock()
	ok := leader.Address != "" && leader.Term >= l.term
	if ok {
		l.address = leader.Address
		l.begin()
	}
	l.mu.Unlock()
	if ok {
		l.node.cfg.Log.Emit(event.LeaderKnown, "term", leader.Term, "address", leader.Address, "source", source)
		l.kick()
	}
	return ok
}

// begin starts a new session. The caller holds mu.
func (l *link) begin() {
	l.session++
	l.sequence, l.serial, l.full = 0, 0, true
}

// renew starts a new session with the same leader, so that a full report
// settles what is in doubt.
func (l *link) renew(reason string) {
	l.mu.Lock()
	l.begin()
	l.mu.Unlock()
	l.node.cfg.Log.Emit(event.SessionRenewed, "reason", reason)
	l.kick()
}

// lose gives the present leader up.
func (l *link) lose(address, reason string) {
	now := l.node.cfg.Clock.Now()
	l.mu.Lock()
	lost := l.address == address && address != ""
	if lost {
		l.address, l.lostAt = "", now
		l.triedAt = time.Time{}
	}
	l.mu.Unlock()
	if lost {
		l.node.cfg.Log.Emit(event.LeaderLost, "address", address, "reason", reason)
	}
}

// report sends one report and takes in the answer.
func (l *link) report(ctx context.Context) {
	l.mu.Lock()
	address := l.address
	l.mu.Unlock()
	if address == "" || !l.node.ready() {
		return
	}
	dialing, cancel := context.WithTimeout(ctx, l.node.cfg.Timing.Call)
	conn, err := l.node.cfg.Net.Conn(dialing, address)
	cancel()
	if err != nil {
		l.lose(address, err.Error())
		return
	}
	ctx, cancel = context.WithTimeout(ctx, l.node.cfg.Timing.Report)
	defer cancel()
	now := l.node.cfg.Clock.Now()
	r := l.build(now)
	var reply message.ReportReply
	if err := conn.Call(ctx, message.KindReport, r, &reply); err != nil {
		// The leader may or may not have it; a full report settles that. The
		// connection may have gone silent, so it is not used again.
		conn.Close()
		l.lose(address, err.Error())
		return
	}
	l.answered(now, address, r, &reply)
}

func (l *link) build(now time.Time) *message.Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sequence++
	l.sentAt = now
	r := &message.Report{
		Agent: l.node.cfg.ID, Address: l.node.cfg.Address(), Location: l.node.cfg.Location,
		Session: l.session, Sequence: l.sequence, Full: l.full, ConfigSeen: l.node.cfg.ConfigVersion(),
	}
	l.full = false
	l.serial = l.node.fill(r, l.serial)
	return r
}

// answered takes in the answer to a report.
func (l *link) answered(sent time.Time, address string, r *message.Report, reply *message.ReportReply) {
	l.mu.Lock()
	stale := r.Session != l.session || reply.Term < l.term
	if !stale {
		l.term = reply.Term
		if len(reply.Entries) > 0 {
			l.entries = reply.Entries
		}
	}
	leader := message.Leader{Term: reply.Term, Address: reply.Leader}
	l.mu.Unlock()
	switch {
	case stale:
		l.lose(address, "a leader of an earlier term answered")
	case reply.NeedFull:
		l.renew("the leader does not know the session")
	case reply.LeaseMs == 0 && leader.Address != "" && leader.Address != address:
		l.found(leader, "answer")
	case reply.LeaseMs == 0:
		l.lose(address, "it does not lead")
	default:
		l.node.recorded(reply.Recorded, r.Session)
		l.node.grant(sent.Add(time.Duration(reply.LeaseMs) * time.Millisecond))
	}
}

// current reports whether orders belong to the present session.
func (l *link) current(o *message.Orders) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return o.Session == l.session && o.Term >= l.term && !l.full
}

// Handle serves a message of the leader. It reports false for a kind that is
// not the node's.
func (n *Node) Handle(_ context.Context, r peer.Request) bool {
	if r.Kind != message.KindOrders {
		return false
	}
	var o message.Orders
	if err := r.Decode(&o); err != nil {
		n.cfg.Log.Emit(event.MalformedFrame, "reason", err)
		return true
	}
	if !n.link.current(&o) {
		n.cfg.Metrics.Add("orders_outdated", 1)
		return true // the full report of the present session settles them
	}
	n.recorded(o.Recorded, o.Session)
	n.orders(&o)
	return true
}
