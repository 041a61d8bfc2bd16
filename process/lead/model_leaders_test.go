package lead

import (
	"context"
	"fmt"
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

// modelSilence is the time after which a leader has listed the starts that a silent agent has not
// confirmed.
const modelSilence = 2 * time.Second

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

func (m *leaderModel) now() time.Duration { return m.clock.Since(modelStart) }
