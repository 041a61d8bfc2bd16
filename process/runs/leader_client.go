package runs

import (
	"context"
	"sync/atomic"
	"time"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/connection/peer"
	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/process/lockrank"
	"camphorhead.example/camphorhead/process/metrics"
)

const (
	// findInterval is the time between two searches for the leader, and how long each waits for
	// replies of entries.
	findInterval = 150 * time.Millisecond
	// reportSpacing is the minimum time between two reports, so that ends which
	// follow each other closely share a report.
	reportSpacing = 10 * time.Millisecond
	// pendingLeaseInterval is the time between two reports while the leader grants no lease yet:
	// about that of two of its transactions.
	pendingLeaseInterval = 100 * time.Millisecond
)

// leaderClient finds the leader, keeps the agent's session with it and sends reports.
type leaderClient struct {
	node *Node
	// sending: the send loop runs. reportDue: a report waits for it. finding: a search runs.
	sending, reportDue atomic.Bool
	finding            atomic.Bool

	mu lockrank.Mutex // guards the fields below; for the lock order see Node.mu
	// session numbers the attachments to a leader. The first one derives from the start time of
	// the process, so that it exceeds those of earlier processes.
	session         uint64
	sequence        uint64
	nextFull        bool   // the next report is full; it begins the session
	moreEnds        bool   // that report of the session may lack ends, see message.Report.MoreEnds
	lastSerial      uint64 // of the latest end that was reported in the session
	term            uint64 // the highest term known
	address         string // of the leader; empty: none is known
	entries         []string
	nextEntry       int       // index of the entry to query next, modulo len(entries)
	searchedAt      time.Time // when the latest search began; zero: search at the next tick
	sentAt          time.Time
	sentReports     []sentReport // latest ones of the session, at most maxSentReports
	leasePending    bool         // the leader has accepted the latest report, and its lease is pending
	droppedAt       time.Time
	droppedAddress  string
	conn            *peer.Conn       // of the session; nil until its first report
	acceptedSummary *message.Summary // the latest that the leader of this session has accepted
	summarySentAt   time.Time
}

// sentReport is when a report of the session was sent.
type sentReport struct {
	sequence uint64
	at       time.Time
}

// maxSentReports is above the number of reports to which orders that are on their way may refer: each
// report waits for the reply to the one before.
const maxSentReports = 8

func newLeaderClient(n *Node) leaderClient {
	return leaderClient{
		node: n, mu: lockrank.NewMutex(lockrank.RankSessions), nextFull: true,
		session: uint64(n.cfg.Clock.Now().UnixMilli()) << 8, entries: n.cfg.Seeds,
	}
}

// triggerReport makes the send loop send a report as soon as possible, without blocking. If the
// pool is full, the report waits for the next trigger.
func (l *leaderClient) triggerReport() {
	l.reportDue.Store(true)
	l.startSendLoop()
}

// startSendLoop starts, unless it runs, the loop that sends reports while reportDue is set.
func (l *leaderClient) startSendLoop() {
	if !l.sending.CompareAndSwap(false, true) {
		return
	}
	err := l.node.cfg.Pool.Submit(func(ctx context.Context) {
		for l.reportDue.Swap(false) && ctx.Err() == nil {
			l.sendReport(ctx)
			l.node.sleep(ctx, reportSpacing)
		}
		l.sending.Store(false)
		if l.reportDue.Load() {
			l.startSendLoop()
		}
	})
	if err != nil {
		l.sending.Store(false)
	}
}

// tick triggers a report after each ReportInterval, renews a session whose full report lacked ends,
// drops a leader whose connection has closed, and searches for a leader every findInterval while
// none is known.
func (l *leaderClient) tick(_ context.Context, now time.Time) {
	l.mu.Lock()
	due := l.isReportDue(now)
	address, closed := l.address, l.conn != nil && l.conn.Closed()
	complete := l.moreEnds && l.node.listedAllEnds()
	l.mu.Unlock()
	if complete {
		l.renewSession("the worker has listed all ends")
	}
	if closed {
		l.dropLeader(address, "the connection to the leader is closed")
	}
	l.mu.Lock()
	find := l.address == "" && now.Sub(l.searchedAt) >= findInterval
	if find {
		l.searchedAt = now
	}
	l.mu.Unlock()
	if find {
		l.startSearch(l.findLeader)
	}
	if due {
		l.triggerReport()
	}
}

// startSearch runs a search for the leader on the pool, unless one is running.
func (l *leaderClient) startSearch(search func(context.Context)) {
	if !l.finding.CompareAndSwap(false, true) {
		return
	}
	err := l.node.cfg.Pool.Submit(func(ctx context.Context) {
		defer l.finding.Store(false)
		search(ctx)
	})
	if err != nil {
		l.finding.Store(false)
	}
}

// isReportDue reports whether the time between two reports is over. The caller holds mu.
func (l *leaderClient) isReportDue(now time.Time) bool {
	interval := l.node.cfg.Timing.ReportInterval
	if l.leasePending {
		interval = min(interval, pendingLeaseInterval)
	}
	return now.Sub(l.sentAt) >= interval
}

// maxConcurrentQueries bounds the entries that are queried for the leader
// concurrently, so that one that does not reply does not delay the search.
const maxConcurrentQueries = 3

// findLeader reads the leader from the store or, if that gives none to follow, queries entries.
func (l *leaderClient) findLeader(ctx context.Context) {
	if read := l.node.cfg.ReadLeader; read != nil {
		readCtx, cancel := context.WithTimeout(ctx, l.node.cfg.Timing.ReportTimeout)
		leader, err := read(readCtx)
		cancel()
		if err == nil && l.followLeader(leader, "store", "") {
			return
		}
	}
	l.queryEntries(ctx)
}

// queryEntries queries the next entries for the leader and follows the first one that is to be followed.
func (l *leaderClient) queryEntries(ctx context.Context) {
	results := make(chan bool, maxConcurrentQueries)
	queried := l.nextEntries()
	for _, address := range queried {
		go func() { results <- l.queryEntry(ctx, address) }()
	}
	// An entry without a reply must not delay the next search; a late reply is still applied.
	wait := l.node.cfg.Clock.After(findInterval)
	for range queried {
		select {
		case followed := <-results:
			if followed {
				return
			}
		case <-wait:
			return
		}
	}
}

// nextEntries returns up to maxConcurrentQueries entries to query, in rotation.
func (l *leaderClient) nextEntries() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := min(maxConcurrentQueries, len(l.entries))
	list := make([]string, 0, n)
	for range n {
		list = append(list, l.entries[l.nextEntry%len(l.entries)])
		l.nextEntry++
	}
	return list
}

// queryEntry queries one entry and reports whether it named a leader to follow.
func (l *leaderClient) queryEntry(ctx context.Context, address string) (followed bool) {
	ctx, cancel := context.WithTimeout(ctx, l.node.cfg.Timing.ReportTimeout)
	defer cancel()
	var leader message.Leader
	err := l.node.cfg.Net.Call(ctx, address, message.KindFindLeader, message.FindLeader{}, &leader)
	if err != nil {
		l.node.cfg.Metrics.Add(metrics.LeaderQueriesFailed, 1) // other entries are queried concurrently
		return false
	}
	return l.followLeader(leader, "entry", address)
}

// followLeader begins a session with a leader and reports true. It does nothing and reports
// false if the leader has no address, is followed already, has a term below the highest known,
// or was dropped in this term within the last ReportTimeout and does not name itself. from is
// the process that named the leader; empty: the store. source is for the log.
func (l *leaderClient) followLeader(leader message.Leader, source, from string) bool {
	now := l.node.cfg.Clock.Now()
	l.mu.Lock()
	dropped := leader.Address == l.droppedAddress && leader.Term == l.term && now.Sub(l.droppedAt) < l.node.cfg.Timing.ReportTimeout
	ok := leader.Address != "" && leader.Term >= l.term && (!dropped || from == leader.Address)
	ok = ok && (l.address != leader.Address || leader.Term > l.term)
	if ok {
		l.term, l.address = leader.Term, leader.Address
		l.beginSession()
	}
	l.mu.Unlock()
	if ok {
		l.node.cfg.Log.Emit(event.LeaderKnown, "term", leader.Term, "address", leader.Address, "source", source)
		l.triggerReport()
	}
	return ok
}

// beginSession begins the next session, whose first report is full. The caller holds mu.
func (l *leaderClient) beginSession() {
	l.session++
	l.sequence, l.lastSerial, l.nextFull, l.moreEnds = 0, 0, true, false
	l.conn, l.acceptedSummary, l.leasePending = nil, nil, false
	l.sentReports = nil
}

// renewSession begins a session with the same leader: its full report lists exactly the runs
// that exist.
func (l *leaderClient) renewSession(reason string) {
	l.mu.Lock()
	l.beginSession()
	l.mu.Unlock()
	l.node.cfg.Log.Emit(event.SessionRenewed, "reason", reason)
	l.triggerReport()
}

// dropLeader stops following the leader at an address, if it is the current one; the next tick
// searches for a leader.
func (l *leaderClient) dropLeader(address, reason string) {
	now := l.node.cfg.Clock.Now()
	l.mu.Lock()
	dropped := l.address == address && address != ""
	if dropped {
		l.address, l.droppedAt, l.droppedAddress = "", now, address
		l.searchedAt = time.Time{}
	}
	l.mu.Unlock()
	if dropped {
		l.node.cfg.Log.Emit(event.LeaderLost, "address", address, "reason", reason)
	}
}

// sendReport sends one report, if a leader and the worker are known, and applies the reply.
// Without a reply it drops the leader. Only the send loop calls it.
func (l *leaderClient) sendReport(ctx context.Context) {
	l.mu.Lock()
	address := l.address
	l.mu.Unlock()
	if address == "" || !l.node.ready() {
		return
	}
	dialing, cancel := context.WithTimeout(ctx, l.node.cfg.Timing.CallTimeout)
	conn, err := l.node.cfg.Net.Conn(dialing, address)
	cancel()
	if err != nil {
		l.dropLeader(address, err.Error())
		return
	}
	l.useConn(conn)
	ctx, cancel = context.WithTimeout(ctx, l.node.cfg.Timing.ReportTimeout)
	defer cancel()
	now := l.node.cfg.Clock.Now()
	r := l.buildReport(now)
	var reply message.ReportReply
	if err := conn.Call(ctx, message.KindReport, r, &reply); err != nil {
		// The leader may have received the report; the next session's full report makes up for
		// that. The connection may be dead without an error, so it is not used again.
		conn.Close()
		l.dropLeader(address, err.Error())
		return
	}
	l.applyReply(now, address, r, &reply)
}

// useConn records the connection of the next report. A session ends with its connection, since
// orders that the leader wrote to it may be lost: the next one's full report resolves them.
func (l *leaderClient) useConn(conn *peer.Conn) {
	l.mu.Lock()
	replaced := l.conn != nil && l.conn != conn
	if replaced {
		l.beginSession()
	}
	l.conn = conn
	l.mu.Unlock()
	if replaced {
		l.node.cfg.Log.Emit(event.SessionRenewed, "reason", "the connection to the leader was replaced")
	}
}

// buildReport returns the next report and marks its contents as reported.
func (l *leaderClient) buildReport(now time.Time) *message.Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sequence++
	l.sentAt = now
	l.sentReports = append(l.sentReports, sentReport{l.sequence, now})
	l.sentReports = l.sentReports[max(len(l.sentReports)-maxSentReports, 0):]
	r := &message.Report{
		Agent: l.node.cfg.ID, Address: l.node.cfg.Address(), Location: l.node.cfg.Location,
		Session: l.session, Sequence: l.sequence, Term: l.term, Full: l.nextFull, ConfigVersion: l.node.cfg.ConfigVersion(),
	}
	l.nextFull = false
	l.lastSerial = l.node.fillReport(r, l.lastSerial)
	l.moreEnds = l.moreEnds || r.MoreEnds
	l.addSummary(now, r)
	return r
}

// summaryInterval is the maximum time for which the amounts that the leader knows
// may be out of date, unless Config.Summary asks for exact ones.
const summaryInterval = 10 * time.Second

// addSummary adds the pairings, and the summary if it has changed. The caller holds mu.
func (l *leaderClient) addSummary(now time.Time, r *message.Report) {
	if l.node.cfg.Summary != nil {
		s, exact := l.node.cfg.Summary()
		s.Session = l.session
		amounts := exact || now.Sub(l.summarySentAt) >= summaryInterval
		if l.acceptedSummary == nil || !sameSummary(l.acceptedSummary, &s, amounts) {
			s.Sequence = r.Sequence
			r.Summary, l.summarySentAt = &s, now
		}
	}
	if l.node.cfg.Pairings != nil {
		r.Pairings = l.node.cfg.Pairings(r.Full)
	}
}

// sameSummary reports whether two summaries are equal. Unless amounts is set, it ignores the
// free resources, the number of tasks and, since the replies to checks carry them too, the
// targets' busy slots, queue lengths and service times.
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
		a.ConfigVersion == b.ConfigVersion && a.PressurePct == b.PressurePct
}
