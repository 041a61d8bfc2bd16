package lead

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/process/jobstore"
	"camphorhead.example/camphorhead/process/term"
	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/version/profile"
)

const (
	modelTick  = 100 * time.Millisecond // longest time between two steps of all processes
	modelTasks = 3
	// Time for a report, a transaction and an order, once nothing has to be waited for.
	modelPlacing = time.Second
)

var modelStart = time.Unix(1_800_000_000, 0)

// leaderModel is a chain of leaders over one store, with agents that run the tasks of one
// long-running job. Leaders are real; agents, messages and faults are modelled.
type leaderModel struct {
	t       *rapid.T
	clock   *clockwork.FakeClock
	store   *memoryStore
	entries []*modelEntry
	agents  []*modelAgent
	held    []heldMessage
	newest  uint64 // the newest term that a process has loaded
	// maxWorkerLease is the longest lease that workers grant; 0: no longer one than agents ask for.
	maxWorkerLease time.Duration
	// startDelay is when the worker executes the next start, which has no response; 0: at once. The
	// start was sent to lateAgent then.
	startDelay time.Duration
	lateAgent  *modelAgent
	// handedOver is the newest term that ended with a complete hand-over, which began at
	// handOverBegan; 0: there is none.
	handedOver    uint64
	handOverBegan time.Time
}

// heldMessage is a message that arrives later.
type heldMessage struct {
	at      time.Time
	deliver func()
}

func newLeaderModel(t *rapid.T) *leaderModel {
	m := &leaderModel{t: t, clock: clockwork.NewFakeClockAt(modelStart), store: newMemoryStore(t)}
	m.maxWorkerLease = rapid.SampledFrom([]time.Duration{0, 6 * time.Second}).Draw(t, "longest lease of a worker")
	def := testJob("j")
	def.Steps[0].Count, def.Steps[0].LongRunning = modelTasks, true
	_, created, err := jobstore.New(m.store).Create(t.Context(), def, 0)
	require.NoError(t, err)
	require.True(t, created)
	for i := range rapid.IntRange(2, 4).Draw(t, "entries") {
		m.entries = append(m.entries, &modelEntry{id: fmt.Sprint("entry", i), store: &modelStore{memoryStore: m.store}})
		m.start(m.entries[i])
	}
	for i := range rapid.IntRange(2, 3).Draw(t, "agents") {
		m.agents = append(m.agents, &modelAgent{
			id: fmt.Sprint("agent", i), runs: map[job.RunKey]bool{}, late: map[job.RunKey]lateRun{}, session: 1,
			slowPercent: rapid.IntRange(0, 3).Draw(t, "slow"), older: rapid.Bool().Draw(t, "older"),
		})
	}
	if rapid.Bool().Draw(t, "one agent joins later") {
		m.agents[1].mode = linkCut
	}
	m.claim(m.entries[0])
	m.advance(time.Second)
	return m
}

// start begins a process of an entry.
func (m *leaderModel) start(e *modelEntry) {
	e.node = newProcess(m.t, e.id, e.store, m.clock)
	e.node.cfg.Timing.MaxWorkerLease = m.maxWorkerLease
	e.node.cfg.Profile = func(string) (profile.Profile, bool) { return profile.Profile{Service: "s", MaxAttempts: 3}, true }
	e.node.cfg.Teams = func() map[string]profile.Team { return nil }
	e.paused, e.follows = false, nil
}

// end ends the process of an entry. Its transactions may still be on their way.
func (m *leaderModel) end(e *modelEntry) {
	e.node, e.follows = nil, nil
	for _, a := range m.agents {
		if a.leader == e {
			a.drop()
		}
	}
}

// claim makes a process claim the next term, unless the protocol forbids it now.
func (m *leaderModel) claim(e *modelEntry) {
	e.readsTerm(m.t.Context())
	m.observeTerm(e)
	if e.node.ownTerm.Load() != nil {
		return
	}
	for _, other := range m.entries {
		if l := other.term(); l != nil && !e.mayClaim(m.clock.Now(), l) {
			return
		}
	}
	e.node.executeStep(m.t.Context(), term.ClaimTerm)
	e.forgetLeader()
	m.observeTerm(e)
}

// observeTerm checks a term that a process has just loaded: the leader must wait for each agent
// with a run, unless that is one for which an earlier leader holds the task. The model takes the orders from then on, not dispatch.
func (m *leaderModel) observeTerm(e *modelEntry) {
	l := e.term()
	if l == nil || l.dispatching.Swap(true) {
		return
	}
	for _, a := range m.agents {
		if l.mu.previous.Term == m.handedOver && m.handedOver != 0 {
			a.countsFrom = a.waitCountsFrom().Add(m.clock.Since(m.handOverBegan))
		} else {
			a.countsFrom = m.clock.Now()
		}
	}
	m.newest = max(m.newest, l.number)
	m.t.Logf("%s: %s leads term %d after %d", m.now(), e.id, l.number, l.mu.previous.Term)
	withRuns := 0
	for _, a := range m.agents {
		for k := range a.runs {
			if a.alive(m.clock.Now(), k) && k != a.begunLate {
				withRuns++
				break
			}
		}
	}
	if waits := l.table.Load().UnconfirmedAgents; waits < withRuns {
		m.t.Fatalf("%s: %d agents have runs, term %d waits for %d", m.now(), withRuns, l.number, waits)
	}
}

// handOver makes a leader resign.
func (m *leaderModel) handOver(e *modelEntry) {
	l := e.term()
	works := !e.store.cut && e.store.fault == commitWorks && l.mu.pending == nil && l.number == m.newest
	ctx, cancel := context.WithCancel(m.t.Context())
	defer cancel()
	ended, end := context.WithCancel(m.t.Context())
	go func() {
		defer end()
		l.resign(ctx)
	}()
	began := m.clock.Now()
	for m.clock.BlockUntilContext(ended, 1) == nil {
		m.awaitStore(l)
		for _, a := range m.agents {
			if a.leader == e {
				m.report(a) // as after a change of its runs
			}
		}
		m.clock.Advance(testTiming.CommitInterval)
		if m.clock.Since(began) >= time.Second {
			works = false
			cancel()
		}
	}
	<-ended.Done()
	m.awaitStore(l)
	if works {
		m.handedOver, m.handOverBegan = l.number, began
	}
	m.t.Logf("%s: %s has resigned term %d", m.now(), e.id, l.number)
}

// awaitStore waits until the work of a term on the store pool has ended.
func (m *leaderModel) awaitStore(l *leaderTerm) {
	for l.committing.Load() || l.readingInbox.Load() || l.purging.Load() {
		time.Sleep(10 * time.Microsecond)
	}
}

// advance lets time pass, in which running processes and agents do their periodic work.
func (m *leaderModel) advance(d time.Duration) {
	for end := m.clock.Now().Add(d); m.clock.Now().Before(end); {
		m.clock.Advance(min(modelTick, end.Sub(m.clock.Now())))
		m.deliverHeld()
		for _, a := range m.agents {
			a.expire(m.clock.Now())
			if m.clock.Since(a.reportedAt) >= testTiming.ReportInterval {
				m.report(a)
			}
		}
		for _, e := range m.entries {
			if e.running() {
				m.tick(e)
			}
		}
	}
}

func (m *leaderModel) tick(e *modelEntry) {
	m.followLeader(e)
	l := e.term()
	if l == nil {
		return
	}
	// On the pool, as in operation: lockrank walks the stack at each lock, and that of rapid is deep.
	ticked := make(chan struct{})
	require.NoError(m.t, e.node.cfg.Pool.Submit(func(ctx context.Context) {
		l.tick(ctx, m.clock.Now())
		close(ticked)
	}))
	<-ticked
	m.awaitStore(l)
	m.dispatch(e)
}

// dispatch does what leaderTerm.dispatch does.
func (m *leaderModel) dispatch(e *modelEntry) {
	if l := e.term(); l != nil && l.valid() && !l.resigning.Load() {
		m.sendOrders(e, l)
	}
}

// followLeader makes a process that does not lead follow the newest leader that it knows.
func (m *leaderModel) followLeader(e *modelEntry) {
	if e.follows != nil {
		if e.follows.node.ownTerm.Load() != e.follows {
			e.follows = nil
		} else {
			e.confirmFollowing(m.clock.Now())
		}
		return
	}
	if e.isolated || e.node.ownTerm.Load() != nil {
		return
	}
	if !e.store.cut {
		e.readsTerm(m.t.Context())
		m.observeTerm(e)
	}
	if e.node.ownTerm.Load() != nil {
		return
	}
	view := e.node.elector.View()
	for _, to := range m.entries {
		if to == e || !to.running() || !view.HeldBy(to.node.cfg.Self()) {
			continue
		}
		node, f := to.node, message.Follow{Entry: e.node.cfg.Self(), Term: view.Term}
		if e.holdNext {
			e.holdNext = false
			m.hold(rapid.SampledFrom(modelDelays).Draw(m.t, "delay"), func() {
				if to.node == node {
					to.accept(&f)
				}
			})
			continue
		}
		if l := node.ownTerm.Load(); to.accept(&f) && l.number == view.Term {
			e.node.elector.RecordHeartbeat(m.clock.Now(), l.number, l.heartbeat.Load(), false)
			e.follows = l
		}
	}
}

// inContact reports whether an agent reports to the newest leader, whose transactions are confirmed.
func (m *leaderModel) inContact(a *modelAgent) bool {
	if a.leader == nil || !a.reportsTo(a.leader) || a.fault != linkWorks || a.awaitsReply || !a.leader.running() {
		return false
	}
	l, store := a.leader.term(), a.leader.store
	return l != nil && l.number == m.newest && !store.cut && store.fault == commitWorks && l.mu.pending == nil && !l.resigning.Load()
}

// restartWorker restarts the worker of an agent that reports to the newest leader. Calls to the
// instance before start the same runs again, with the longest lease. The agent reports that, and
// the leader has written it before anything else happens. It reports false if that is not possible now.
func (m *leaderModel) restartWorker(a *modelAgent) bool {
	if !m.inContact(a) {
		return false
	}
	l, now := a.leader.term(), m.clock.Now()
	a.expire(now)
	a.startedMs++
	a.restartLeaseEnd = now.Add(m.longestWorkerLease())
	m.report(a)
	l.write(m.t.Context())
	return a.leader != nil && l.mu.pending == nil
}

// loseStart makes an agent that reports to the newest leader end a run. The next start of the task has
// no response, its agent goes silent, and the leader has written that before anything else happens.
func (m *leaderModel) loseStart(a *modelAgent, delay time.Duration) bool {
	if len(a.runs) == 0 || m.maxWorkerLease == 0 || !m.inContact(a) {
		return false
	}
	keys := slices.SortedFunc(maps.Keys(a.runs), func(x, y job.RunKey) int { return cmp.Compare(x.Task.Index, y.Task.Index) })
	delete(a.runs, keys[0])
	a.ends = append(a.ends, message.RunEnd{Key: keys[0], How: job.EndStopped})
	m.startDelay, m.lateAgent = delay, nil
	m.report(a)
	m.startDelay = 0
	if m.lateAgent == nil {
		return false
	}
	m.lateAgent.mode = linkCut
	m.lateAgent.drop()
	m.advance(modelSilence)
	return true
}

// modelSilence is the time after which a leader has listed the starts that a silent agent has not
// confirmed.
const modelSilence = 2 * time.Second

// longestWorkerLease is the longest lease of a slow worker by the leaders' clocks.
func (m *leaderModel) longestWorkerLease() time.Duration {
	return m.maxWorkerLease * (100 + modelWorkerSlowPercent) / 100
}

// modelWorkerSlowPercent is how much slower than the leaders' clocks that of a worker may be.
const modelWorkerSlowPercent = 2

// hold delivers a message after a delay.
func (m *leaderModel) hold(delay time.Duration, deliver func()) {
	m.held = append(m.held, heldMessage{at: m.clock.Now().Add(delay), deliver: deliver})
}

func (m *leaderModel) deliverHeld() {
	held := m.held
	m.held = nil
	for _, h := range held {
		if m.clock.Now().Before(h.at) {
			m.held = append(m.held, h)
			continue
		}
		h.deliver()
	}
}

// report sends the report of an agent that is due, and applies the reply.
func (m *leaderModel) report(a *modelAgent) {
	if a.mode == linkCut || a.mode == linkPaused || a.awaitsReply {
		return
	}
	if a.leader == nil || a.leader.node != a.node {
		a.drop()
		m.findLeader(a)
	}
	if a.leader == nil {
		return
	}
	sent := m.clock.Now()
	e, node, r := a.leader, a.node, a.buildReport(sent)
	fault := a.fault
	switch fault {
	case reportLost, reportLate, replyLost, replyLate:
		a.fault = linkWorks
	}
	switch {
	case fault == reportLate:
		m.hold(a.faultDelay, func() {
			if e.node == node && e.running() {
				m.reply(node, r)
			}
		})
		a.drop()
		return
	case fault == reportLost || !e.running():
		a.drop()
		return
	}
	reply := m.reply(node, r)
	defer m.dispatch(e)
	switch fault {
	case replyLost:
		a.drop()
	case replyLate:
		a.awaitsReply = true
		m.hold(a.faultDelay, func() {
			a.awaitsReply = false
			if a.node == node && a.session == r.Session {
				a.applyReply(m.clock.Now(), sent, r, &reply)
			}
		})
	default:
		a.applyReply(sent, sent, r, &reply)
	}
}

// reply returns what Node.handleReport replies.
func (m *leaderModel) reply(n *Node, r *message.Report) message.ReportReply {
	l := n.ownTerm.Load()
	if l == nil {
		leader := n.Leader()
		return message.ReportReply{Term: leader.Term, Leader: leader.Address}
	}
	return l.applyReport(m.t.Context(), nil, r)
}

// findLeader makes an agent follow a leader that it reaches and whose term is not below the
// highest that it has seen.
func (m *leaderModel) findLeader(a *modelAgent) {
	var found *modelEntry
	for _, e := range m.entries {
		l := e.term()
		if l == nil || !e.running() || l.number < a.term {
			continue
		}
		if found == nil || (l.number > found.term().number) == (a.mode == linkNewest) {
			found = e
		}
	}
	switch {
	case found != nil && a.fault == oldTermNamed:
		a.fault = linkWorks
		a.follow(found, a.term)
	case found != nil:
		a.follow(found, found.term().number)
	}
}

// sendOrders takes the orders of a leader and passes them to the agents. The newest leader must
// not order a run of a task while another one may be alive.
func (m *leaderModel) sendOrders(e *modelEntry, l *leaderTerm) {
	for _, o := range l.table.Dispatch(m.clock.Now()) {
		for _, start := range o.Orders.Starts {
			if l.number == m.newest {
				m.requireNoOther(start.Key, fmt.Sprintf("term %d orders a run at %s", l.number, o.Agent))
			}
		}
		for _, a := range m.agents {
			if a.id == o.Agent && a.leader == e && a.node == e.node && a.session == o.Orders.Session {
				m.sendTo(a, &o.Orders)
			}
		}
	}
}

func (m *leaderModel) sendTo(a *modelAgent, o *message.Orders) {
	fault := a.fault
	if fault == orderLost || fault == orderLate {
		a.fault = linkWorks
	}
	switch {
	case fault == orderLost:
		a.drop()
	case fault == orderLate || a.mode == linkPaused:
		m.hold(a.faultDelay, func() { m.applyOrders(a, o) })
	default:
		m.applyOrders(a, o)
	}
}

func (m *leaderModel) applyOrders(a *modelAgent, o *message.Orders) {
	now := m.clock.Now()
	a.expire(now)
	switch {
	case a.leader == nil || a.session != o.Session:
		return
	case a.mode == linkPaused:
		m.hold(a.faultDelay, func() { m.applyOrders(a, o) })
		return
	}
	for _, stop := range o.Stops {
		if a.runs[stop.Key] {
			delete(a.runs, stop.Key)
			a.ends = append(a.ends, message.RunEnd{Key: stop.Key, How: job.EndStopped})
		}
	}
	for _, start := range o.Starts {
		if now.After(a.leaseEnd) || a.restartLeaseEnd.After(a.leaseEnd) {
			a.refused = append(a.refused, message.RunRefusal{Key: start.Key, Reason: message.RefusedLease})
			continue
		}
		m.requireNoOther(start.Key, a.id+" starts a run")
		if m.startDelay > 0 {
			begins := now.Add(m.startDelay)
			a.late[start.Key] = lateRun{begins, begins.Add(m.longestWorkerLease())}
			m.startDelay, m.lateAgent = 0, a
			continue
		}
		a.runs[start.Key] = true
	}
}

// requireNoOther fails if another run of a task may be alive.
func (m *leaderModel) requireNoOther(k job.RunKey, what string) {
	for _, a := range m.agents {
		for other := range a.runs {
			if other.Task == k.Task && other != k && a.alive(m.clock.Now(), other) {
				m.t.Fatalf("%s: %s, %d of task %s, while run %d is alive at %s until %s", m.now(), what, k.Run, k.Task,
					other.Run, a.id, a.leaseEnd.Sub(m.clock.Now()))
			}
		}
		for other, r := range a.late {
			if other.Task == k.Task && other != k && !m.clock.Now().After(r.ends) {
				m.t.Fatalf("%s: %s, %d of task %s, while run %d may begin at %s, and last for %s", m.now(), what, k.Run, k.Task,
					other.Run, a.id, r.ends.Sub(m.clock.Now()))
			}
		}
	}
}

func (m *leaderModel) now() time.Duration { return m.clock.Since(modelStart) }
