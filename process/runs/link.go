package runs

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/connection/peer"
	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/process/lockrank"
	"camphorhead.example/camphorhead/process/metrics"
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
	// lostAt is when the leader at lostAddress was last given up.
	lostAt      time.Time
	lostAddress string
	conn        *peer.Conn // of the latest report
	// summary is what a leader last answered, summaryAt when it was sent.
	summary   *message.Summary
	summaryAt time.Time
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
	address, closed := l.address, l.conn != nil && l.conn.Closed()
	l.mu.Unlock()
	if closed {
		l.lose(address, "the connection is closed")
	}
	l.mu.Lock()
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

// askedAtOnce is the number of entries that are asked for the leader at a time,
// so that one that does not answer costs no time.
const askedAtOnce = 3

// find asks the store, or else some entries, who leads.
func (l *link) find(ctx context.Context) {
	if read := l.node.cfg.ReadLeader; read != nil {
		reading, cancel := context.WithTimeout(ctx, l.node.cfg.Timing.Report)
		leader, err := read(reading)
		cancel()
		if err == nil && l.found(leader, "store", "") {
			return
		}
	}
	answers := make(chan bool, askedAtOnce)
	asked := l.nextEntries()
	for _, address := range asked {
		go func() { answers <- l.ask(ctx, address) }()
	}
	// An entry that does not answer must not keep the others from being asked
	// again; its answer still counts when it comes.
	wait := l.node.cfg.Clock.After(findInterval)
	for range asked {
		select {
		case found := <-answers:
			if found {
				return
			}
		case <-wait:
			return
		}
	}
}

// nextEntries returns the entries to ask next.
func (l *link) nextEntries() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := min(askedAtOnce, len(l.entries))
	list := make([]string, 0, n)
	for range n {
		list = append(list, l.entries[l.asked%len(l.entries)])
		l.asked++
	}
	return list
}

// ask asks one entry for the leader.
func (l *link) ask(ctx context.Context, address string) (found bool) {
	ctx, cancel := context.WithTimeout(ctx, l.node.cfg.Timing.Report)
	defer cancel()
	var leader message.Leader
	err := l.node.cfg.Net.Call(ctx, address, message.KindWhoLeads, message.WhoLeads{}, &leader)
	if err != nil {
		l.node.cfg.Metrics.Add(metrics.LeaderNotTold, 1) // others are asked at the same time
		return false
	}
	return l.found(leader, "entry", address)
}

// found takes in where the leader is, as source says; from is the entry that
// said it. It reports false for a leader that is older than one that this agent
// has followed, and for one that has just not answered, unless it says so itself.
func (l *link) found(leader message.Leader, source, from string) bool {
	now := l.node.cfg.Clock.Now()
	l.mu.Lock()
	lost := leader.Address == l.lostAddress && leader.Term == l.term && now.Sub(l.lostAt) < l.node.cfg.Timing.Report
	ok := leader.Address != "" && leader.Term >= l.term && (!lost || from == leader.Address)
	ok = ok && (l.address != leader.Address || leader.Term > l.term)
	if ok {
		l.term, l.address = leader.Term, leader.Address
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
	l.conn, l.summary = nil, nil
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
		l.address, l.lostAt, l.lostAddress = "", now, address
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
	l.mu.Lock()
	l.conn = conn
	l.mu.Unlock()
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
	l.addSummary(now, r)
	return r
}

// summaryInterval is the longest time for which the amounts in a summary may
// differ from what the leader knows.
const summaryInterval = 10 * time.Second

// addSummary adds what has changed of the summary and the pairings. The caller
// holds mu.
func (l *link) addSummary(now time.Time, r *message.Report) {
	if l.node.cfg.Summary != nil {
		s, exact := l.node.cfg.Summary()
		s.Session = l.session
		amounts := exact || now.Sub(l.summaryAt) >= summaryInterval
		if l.summary == nil || !sameSummary(l.summary, &s, amounts) {
			s.Sequence = r.Sequence
			r.Summary, l.summaryAt = &s, now
		}
	}
	if l.node.cfg.Pairings != nil {
		r.Pairings = l.node.cfg.Pairings(r.Full)
	}
}

// sameSummary reports whether two summaries say the same of a worker and its
// targets. amounts says that what is free, what runs, what the targets hold and
// how long they take counts too; the latter also travel with the replies of checks.
func sameSummary(a, b *message.Summary, amounts bool) bool {
	if len(a.Services) != len(b.Services) {
		return false
	}
	for i := range a.Services {
		x, y := &a.Services[i], &b.Services[i]
		if x.Service != y.Service || x.Slots != y.Slots ||
			amounts && (x.Busy != y.Busy || x.Queued != y.Queued || x.ServiceTimeUs != y.ServiceTimeUs) {
			return false
		}
	}
	if amounts && (a.Free != b.Free || a.Tasks != b.Tasks) {
		return false
	}
	return a.Session == b.Session && a.Capacity == b.Capacity && a.Draining == b.Draining &&
		a.ConfigSeen == b.ConfigSeen && a.PressurePct == b.PressurePct
}

// answered takes in the answer to a report.
func (l *link) answered(sent time.Time, address string, r *message.Report, reply *message.ReportReply) {
	l.mu.Lock()
	stale := r.Session != l.session || reply.Term < l.term
	if !stale && reply.LeaseMs > 0 && r.Summary != nil {
		l.summary = r.Summary
	}
	if !stale {
		l.term = reply.Term
		l.learnEntries(reply.Entries)
	}
	leader := message.Leader{Term: reply.Term, Address: reply.Leader}
	l.mu.Unlock()
	switch {
	case stale:
		l.lose(address, "a leader of an earlier term answered")
	case reply.NeedFull:
		l.renew("the leader does not know the session")
	case reply.LeaseMs == 0 && leader.Address != "" && leader.Address != address:
		l.lose(address, "it does not lead")
		l.found(leader, "answer", address)
	case reply.LeaseMs == 0:
		l.lose(address, "it does not lead")
	default:
		l.node.recorded(reply.Recorded, r.Session)
		l.node.grant(sent.Add(time.Duration(reply.LeaseMs) * time.Millisecond))
		l.taken(address, r, reply)
	}
}

// learnEntries takes in the entries that a leader names. The seeds stay among
// those that are asked for the leader: one that has just begun may know no other
// entry yet. The caller holds mu.
func (l *link) learnEntries(named []string) {
	if len(named) == 0 {
		return
	}
	l.entries = slices.Clone(named)
	for _, seed := range l.node.cfg.Seeds {
		if !slices.Contains(named, seed) {
			l.entries = append(l.entries, seed)
		}
	}
}

// taken follows up on a report that the leader has taken in.
func (l *link) taken(leader string, r *message.Report, reply *message.ReportReply) {
	cfg := &l.node.cfg
	if cfg.PairingsTaken != nil && len(r.Pairings) > 0 {
		cfg.PairingsTaken(r.Pairings)
	}
	if cfg.Behind == nil || reply.ConfigVersion <= cfg.ConfigVersion() {
		return
	}
	if err := cfg.Pool.Submit(func(ctx context.Context) { cfg.Behind(ctx, leader) }); err != nil {
		cfg.Metrics.Add(metrics.ConfigPullsRefused, 1) // the next report asks again
	}
}
