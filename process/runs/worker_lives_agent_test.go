package runs

import (
	"maps"
	"slices"
	"strings"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/process/ledger"
	"camphorhead.example/camphorhead/process/metrics"
	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/process/pool"
	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/request/resources"
)

const (
	modelTick  = 10 * time.Millisecond // between two reports, and two checks
	modelTasks = 4
	// modelGrantMargin is how long runs may go on after the grant.
	modelGrantMargin = testGrant / 20
	// modelSettle exceeds the time for which a run may stay unresolved when all faults are over.
	modelSettle = platform.LateCallWindow + 2*testMaxLease
)

// agentModel is an agent process beside a workerModel, and its leader.
type agentModel struct {
	t      *rapid.T
	worker *workerModel
	node   *Node
	pool   *pool.Pool

	attached bool      // reports reach the leader
	records  bool      // the leader records ends
	grantEnd time.Time // latest of all processes
	orders   map[job.RunKey]*modelOrder
	latest   map[job.TaskID]*modelOrder
	beats    time.Time // of the latest announcements
	broken   string    // the first broken rule; guarded by worker.mu
	excepted int       // uses of the exception of isLateAtALaterLife
}

// modelOrder is an ordered run as the leader knows it. worker.mu guards it.
type modelOrder struct {
	key      job.RunKey
	resolved int // event at which the agent reported it as ended, refused or absent; 0: it has not
	cause    string
	byLease  bool // concluded because the lease is over
	// pending: an end was reported in this session; recorded: the leader has recorded it.
	pending, recorded bool
}

// modelLog appends the agent's events to the trace.
type modelLog struct{ w *workerModel }

func (l modelLog) Write(p []byte) (int, error) {
	l.w.mu.Lock()
	defer l.w.mu.Unlock()
	l.w.tracef("agent: %s", strings.TrimSpace(string(p)))
	return len(p), nil
}

func newAgentModel(t *rapid.T) *agentModel {
	a := &agentModel{
		t: t, worker: newWorkerModel(), attached: true, records: true,
		orders: map[job.RunKey]*modelOrder{}, latest: map[job.TaskID]*modelOrder{},
	}
	a.worker.life().announces = true
	a.worker.onStart, a.worker.onDiscard = a.checkStart, a.checkDiscard
	a.startProcess()
	a.advance(time.Second, modelTick)
	return a
}

// startProcess starts an agent process.
func (a *agentModel) startProcess() {
	log, err := event.New(modelLog{a.worker}, "human", "info")
	if err != nil {
		a.t.Fatal(err)
	}
	clock := clockwork.NewRealClock() // that of the bubble
	a.pool = pool.New(4, 64)
	a.node = New(Config{
		ID: "agent", Address: func() string { return "127.0.0.1:1" }, Clock: clock, Worker: a.worker, Log: log,
		Ledger: ledger.New(ledger.Config{Clock: clock}), Pool: a.pool, Metrics: metrics.New(), ConfigVersion: func() uint64 { return 0 },
		Timing: Timing{
			ReportInterval: testReportInterval, WorkerLease: testWorkerLease, MaxWorkerLease: testMaxLease,
			ReportTimeout: time.Second, CallTimeout: time.Second, WorkerCallTimeout: time.Second,
		},
	})
	a.node.Start()
}

// stopProcess ends the agent process; its calls stay in flight.
func (a *agentModel) stopProcess() {
	a.node.Stop()
	a.pool.Close()
}

// advance lets time pass, with reports and checks at each tick.
func (a *agentModel) advance(d, tick time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(min(tick, time.Until(end)))
		a.step()
	}
}

// step brings messages that are due to the agent and its leader, and checks the rules.
func (a *agentModel) step() {
	synctest.Wait()
	a.worker.tick()
	if l := a.worker.life(); l.announces && !a.worker.isCut() && time.Since(a.beats) >= time.Second {
		a.beats = time.Now()
		a.worker.announce(a.node, l)
	}
	synctest.Wait()
	if a.noteInstance() && a.attached {
		a.report()
		synctest.Wait()
	}
	a.check()
}

// noteInstance records from which token on the agent's calls are made for the life that it has
// listed last, and reports whether the agent has something to report.
func (a *agentModel) noteInstance() (due bool) {
	n, l := a.node, &a.node.leader
	l.mu.Lock()
	n.mu.Lock()
	born, fence := n.instanceStartMs, n.fenceToken
	due = l.nextFull || n.unreportedChange || len(n.refused) > 0 || l.isReportDue(time.Now())
	due = due && !n.listedAt.IsZero() && n.worker.ID != ""
	n.mu.Unlock()
	l.mu.Unlock()
	a.worker.mu.Lock()
	defer a.worker.mu.Unlock()
	for _, l := range a.worker.lives {
		if l.startedAt.UnixMilli() == born && l.fence == 0 {
			l.fence = fence
			a.worker.tracef("the agent knows life %d, tokens from %d", l.number, fence)
		}
	}
	return due
}

// report brings a report to the leader and its reply and orders to the agent.
func (a *agentModel) report() {
	l := &a.node.leader
	r := l.buildReport(time.Now())
	o := message.Orders{Session: r.Session, Term: r.Term}
	a.worker.mu.Lock()
	for _, order := range a.orders {
		order.pending = order.pending && !r.Full
	}
	for i := range r.Ends {
		e := &r.Ends[i]
		a.orders[e.Key].pending = true
		a.resolve(e.Key, "ended: "+e.How.String()+" "+e.Message, e.Message != "")
	}
	for _, refusal := range r.Refused {
		a.resolve(refusal.Key, "refused: "+refusal.Reason, false)
	}
	listed := map[job.RunKey]bool{}
	for i := range r.Running {
		key := r.Running[i].Key
		listed[key] = true
		switch order := a.orders[key]; {
		case order.resolved > 0:
			o.Stops = append(o.Stops, message.StopRun{Key: key})
		case r.Full && !r.Running[i].Unconfirmed:
			o.Adopted = append(o.Adopted, ordersFor(key).Starts...)
		}
	}
	for key, order := range a.orders {
		if r.Full && order.resolved == 0 && !listed[key] {
			a.resolve(key, "left out of a full report", false)
		}
	}
	a.worker.mu.Unlock()
	if len(o.Stops)+len(o.Adopted) > 0 {
		a.node.applyOrders(&o)
	}
	if a.records {
		a.worker.mu.Lock()
		for _, order := range a.orders {
			order.recorded = order.recorded || order.pending
		}
		a.worker.mu.Unlock()
		a.node.markRecorded(l.lastSerial, r.Session)
	}
	a.grant(testGrant)
}

func (a *agentModel) grant(d time.Duration) {
	a.grantEnd = time.Now().Add(d)
	a.node.extendGrant(a.grantEnd)
}

// resolve records that the agent has reported a run as ended, refused or absent. The caller holds
// worker.mu.
func (a *agentModel) resolve(key job.RunKey, cause string, byLease bool) {
	order := a.orders[key]
	if order == nil || order.resolved > 0 {
		return
	}
	a.worker.tracef("%v is reported as %s", key, cause)
	a.worker.events++
	order.resolved, order.cause, order.byLease = a.worker.events, cause, byLease
	if run := a.worker.life().running[key]; run != nil {
		a.checkStart(run)
	}
}

// checkStart checks that a run which a life begins, or has when it is resolved, has not been
// reported as ended, refused or absent. The caller holds worker.mu.
func (a *agentModel) checkStart(run *modelRun) {
	order := a.orders[run.key]
	switch {
	case order.resolved == 0:
	case a.isLateAtALaterLife(run, order):
		a.excepted++
	case a.broken == "":
		a.broken = "I1: life " + string(rune('0'+run.life.number)) + " has a run that was reported as " + order.cause
	}
}

// checkDiscard checks that the leader has recorded an end which a life discards. The caller holds
// worker.mu.
func (a *agentModel) checkDiscard(l *modelLife, key job.RunKey) {
	a.worker.tracef("life %d discards the end of %v", l.number, key)
	if !a.orders[key].recorded && a.broken == "" {
		a.broken = "I6: an end is discarded that the leader has not recorded"
	}
}

// isLateAtALaterLife reports the exception from the rule that no life has a run that the agent has
// resolved: a listing of a life resolved it, and a life after that one executes a copy of its start
// that was then in flight or had had no response. Either the listing has the run's end, or its poll
// was sent when the copy had no response. Tokens do not prevent that, as the later life has seen
// none. A known open case of issue 38.
func (a *agentModel) isLateAtALaterLife(run *modelRun, order *modelOrder) bool {
	isEnd := func(e platform.EndedTask) bool { return e.RunKey == run.key }
	for _, list := range a.worker.listings {
		if list.life.number >= run.life.number || list.arrived > order.resolved || order.byLease {
			continue
		}
		if list.arrived > run.call.sent && slices.ContainsFunc(list.ended, isEnd) || run.call.unanswered && list.sent > run.call.returned {
			return true
		}
	}
	return false
}

// check checks the rules that hold at any time.
func (a *agentModel) check() {
	a.worker.mu.Lock()
	l := a.worker.life()
	var sum resources.Resources
	for key, run := range l.running {
		if l.fence == 0 || run.call.token < l.fence {
			continue // made for a former life
		}
		sum = sum.Add(run.need)
		if a.broken == "" && time.Now().After(a.grantEnd.Add(modelGrantMargin)) {
			a.broken = "I2: a run goes on after the grant: " + key.Task.Job
		}
	}
	if a.broken == "" && !sum.Fits(l.capacity) {
		a.broken = "I4: more runs were started than the worker has room for"
	}
	if a.broken == "" && a.worker.callsAtOnce > maxCallsAtOnce {
		a.broken = "I5: the agent repeats a call without a pause"
	}
	broken := a.broken
	a.worker.mu.Unlock()
	if broken != "" {
		a.fail(broken)
	}
}

func (a *agentModel) fail(rule string) {
	a.worker.mu.Lock()
	trace := strings.Join(a.worker.trace, "\n")
	a.worker.mu.Unlock()
	panic(brokenRule(rule + "\n" + trace))
}

// brokenRule is the panic that ends a bubble when a rule is broken: the rule and the trace.
type brokenRule string

// order orders the next run of a task, unless its previous one is not resolved.
func (a *agentModel) order(task job.TaskID) {
	number := uint32(1)
	if last := a.latest[task]; last != nil {
		if last.resolved == 0 {
			return
		}
		number = last.key.Run + 1
	}
	order := &modelOrder{key: job.RunKey{Task: task, Run: number}}
	a.worker.mu.Lock()
	a.orders[order.key], a.latest[task] = order, order
	a.worker.tracef("%v is ordered", order.key)
	a.worker.mu.Unlock()
	o := ordersFor(order.key)
	o.Session, o.Term = a.node.leader.session, a.node.leader.term
	a.node.applyOrders(o)
}

// attach begins a session with the leader, or ends it.
func (a *agentModel) attach(attached bool) {
	if attached && !a.attached {
		a.node.leader.mu.Lock()
		a.node.leader.beginSession()
		a.node.leader.mu.Unlock()
	}
	a.attached = attached
}

// settle ends all faults and checks that each run is resolved or runs.
func (a *agentModel) settle() {
	w := a.worker
	w.mu.Lock()
	w.cut = false
	clear(w.faults)
	for _, c := range w.calls {
		w.reset(c)
	}
	w.calls = nil
	w.life().announces = true
	w.mu.Unlock()
	a.attach(true)
	a.records = true
	a.advance(modelSettle, 10*modelTick)
	w.mu.Lock()
	running := maps.Clone(w.life().running)
	w.mu.Unlock()
	for key, order := range a.orders {
		runs := running[key] != nil
		switch {
		case order.resolved == 0 && !(runs && a.node.isConfirmed(key)):
			a.fail("I3: a run is neither resolved nor running when all faults are over")
		case order.resolved > 0 && runs:
			a.fail("I3: a run that is resolved is not stopped")
		}
	}
}
