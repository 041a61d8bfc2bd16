package runs

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/request/resources"
)

const (
	modelLateCall  = 12 * time.Second // for which a call without a response may still arrive
	modelSlowClock = 0.98             // rate of the slowest clock of a worker
	// modelAge is the age of the first life: a lease by its clock is beyond what a younger life
	// grants.
	modelAge = time.Minute
	// maxCallsAtOnce exceeds the calls that an agent without a loop sends at one time.
	maxCallsAtOnce = 100
)

// workerModel is a worker that restarts under its ID, and the network between it and its agent.
// At most one life is there at a time. A call reaches whichever life is there when it arrives.
type workerModel struct {
	mu     sync.Mutex // guards the fields below
	lives  []*modelLife
	cut    bool                     // nothing arrives in either direction
	refuse bool                     // while cut, calls fail at once instead of being in flight
	faults map[string][]callOutcome // of the next calls by name
	calls  []*modelCall             // in flight, or given up by the agent and not executed yet
	// listings are those that have reached the agent.
	listings []modelListing
	// onStart is called when a life begins a run, with mu held.
	onStart func(*modelRun)
	// onDiscard is called when a life discards an end, with mu held.
	onDiscard func(*modelLife, job.RunKey)
	trace     []string
	events    int // number of the latest event: a call or its return, a listing, a run that is resolved
	// callsAtOnce counts the calls that were sent at lastSentAt.
	lastSentAt  time.Time
	callsAtOnce int
}

// modelLife is one life of the worker.
type modelLife struct {
	number     int
	startedAt  time.Time
	clockAt    time.Duration // its clock at startedAt
	clockRate  float64
	capacity   resources.Resources
	announces  bool   // announces itself while it is there
	sequence   uint64 // of its latest announcement
	token      int64  // the highest seen
	leaseEnd   int64  // by its clock, in ms
	running    map[job.RunKey]*modelRun
	highestRun map[job.TaskID]uint32
	ended      []platform.EndedTask
	endCount   uint64
	// fence is the lowest token of the calls that the agent has made for this life; 0: the agent
	// has not listed it yet.
	fence int64
}

// modelRun is a run that a life has begun.
type modelRun struct {
	key  job.RunKey
	need resources.Resources
	life *modelLife
	call *modelCall // the copy of its start that the life has executed
}

// modelCall is a call of an agent process.
type modelCall struct {
	name    string
	token   int64
	sentAt  time.Time
	sent    int // event
	outcome callOutcome
	execute func(*modelLife) error

	executed bool
	answered bool          // the life has produced the response
	err      error         // of the response
	response chan struct{} // closed when the response, or the loss of the connection, reaches the agent
	lost     bool          // the connection was lost
	// returned is the event at which the agent process learned the outcome or gave the call up;
	// 0: it waits.
	returned   int
	unanswered bool // it returned without a response

	life      *modelLife // by which it was executed
	waitUntil time.Time  // poll: until when the life waits for an end
	listing   platform.Listing
	clockMs   int64 // start: in the response
}

// modelListing is a listing that has reached the agent.
type modelListing struct {
	life          *modelLife
	sent, arrived int // events: of its poll, and its own
	ended         []platform.EndedTask
}

func newWorkerModel() *workerModel {
	m := &workerModel{faults: map[string][]callOutcome{}}
	m.restart(testCapacity, 1, false)
	m.life().clockAt = modelAge
	return m
}

func (m *workerModel) tracef(format string, args ...any) {
	m.trace = append(m.trace, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

// fail sets the outcomes of the next calls with a name.
func (m *workerModel) fail(name string, outcomes ...callOutcome) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults[name] = outcomes
}

// setCut cuts the connection or heals it.
func (m *workerModel) setCut(cut, refuse bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cut, m.refuse = cut, refuse
	m.tracef("cut: %v, calls are refused: %v", cut, cut && refuse)
}

func (m *workerModel) isCut() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cut
}

// life returns the current life.
func (m *workerModel) life() *modelLife { return m.lives[len(m.lives)-1] }

// restart begins the next life. The polls that wait at the former one lose their connection, or
// with silent set their agent is not told.
func (m *workerModel) restart(capacity resources.Resources, clockRate float64, silent bool) {
	time.Sleep(time.Millisecond) // lives are told apart by the millisecond of their start
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.calls {
		if c.executed && !c.answered && !silent {
			m.reset(c)
		}
	}
	m.lives = append(m.lives, &modelLife{
		number: len(m.lives) + 1, startedAt: time.Now(), clockAt: time.Millisecond, clockRate: clockRate, capacity: capacity,
		running: map[job.RunKey]*modelRun{}, highestRun: map[job.TaskID]uint32{},
	})
	m.tracef("life %d begins, clock rate %v", m.life().number, clockRate)
}

// clock returns the life's clock in ms.
func (l *modelLife) clock() int64 {
	return (l.clockAt + time.Duration(float64(time.Since(l.startedAt))*l.clockRate)).Milliseconds()
}

// extend extends the lease, at most to the longest one.
func (l *modelLife) extend(until int64) {
	l.leaseEnd = max(l.leaseEnd, min(until, l.clock()+testMaxLease.Milliseconds()))
}

// expire ends what runs if the lease is over.
func (m *workerModel) expire(l *modelLife) {
	if l.clock() < l.leaseEnd {
		return
	}
	for _, key := range sortedRuns(l.running) {
		m.end(l, key, job.EndLeaseExpired)
	}
}

func (m *workerModel) end(l *modelLife, key job.RunKey, how job.EndKind) {
	delete(l.running, key)
	l.endCount++
	l.ended = append(l.ended, platform.EndedTask{RunKey: key, Number: l.endCount, How: how})
	m.tracef("life %d: %v ends: %v", l.number, key, how)
}

func sortedRuns(runs map[job.RunKey]*modelRun) []job.RunKey {
	var keys []job.RunKey
	for key := range runs {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b job.RunKey) int {
		return cmp.Or(cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Run, b.Run))
	})
	return keys
}

// send sends a call and waits for its response until ctx ends.
func (m *workerModel) send(ctx context.Context, c *modelCall) error {
	m.mu.Lock()
	m.events++
	c.sent, c.sentAt, c.response = m.events, time.Now(), make(chan struct{})
	if !c.sentAt.Equal(m.lastSentAt) {
		m.lastSentAt, m.callsAtOnce = c.sentAt, 0
	}
	if m.callsAtOnce++; m.callsAtOnce > maxCallsAtOnce {
		m.mu.Unlock()
		<-ctx.Done() // time goes on, so that the loop is found
		return platform.ErrUncertain
	}
	if faults := m.faults[c.name]; len(faults) > 0 {
		c.outcome, m.faults[c.name] = faults[0], faults[1:]
	}
	switch {
	case c.outcome == unreachable || m.cut && m.refuse:
		m.mu.Unlock()
		return platform.ErrUnavailable
	case c.outcome == refuses && !m.cut:
		err := &platform.RefusalError{Reason: platform.RefusedUnhealthy}
		m.mu.Unlock()
		return err
	}
	m.calls = append(m.calls, c)
	switch {
	case c.outcome == executedLate:
		m.reset(c)
	case !m.cut && c.outcome != held:
		m.arrive(c)
		if c.outcome == responseLost {
			m.reset(c)
		}
	}
	m.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-c.response:
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.events++
	c.returned = m.events
	select {
	case <-c.response:
	default:
		c.lost = true
	}
	if c.lost {
		c.unanswered = true
		m.tracef("%s with token %d has no response", c.name, c.token)
		return platform.ErrUncertain
	}
	return c.err
}

// reset loses the connection of a call. The call may be executed nevertheless.
func (m *workerModel) reset(c *modelCall) {
	if !c.lost && !c.closed() {
		c.lost = true
		close(c.response)
	}
}

// closed reports whether the response, or the loss of the connection, has reached the agent.
func (c *modelCall) closed() bool {
	select {
	case <-c.response:
		return true
	default:
		return c.returned > 0
	}
}

// arrive executes a call at the current life.
func (m *workerModel) arrive(c *modelCall) {
	l := m.life()
	m.expire(l)
	c.executed, c.life = true, l
	if c.token < l.token {
		c.err, c.answered = &platform.RefusalError{Reason: platform.RefusedFenced}, true
	} else {
		l.token = c.token
		c.err, c.answered = c.execute(l), c.waitUntil.IsZero()
	}
	m.tracef("life %d executes %s with token %d, sent at %s, error: %v; its lease ends in %d ms", l.number, c.name, c.token,
		c.sentAt.Format("05.000"), c.err, l.leaseEnd-l.clock())
	m.answerPoll(c)
	m.deliver(c)
}

// answerPoll completes a poll if its life is there and has an end to list or has waited for one.
func (m *workerModel) answerPoll(c *modelCall) {
	l := c.life
	if l != m.life() || c.answered || len(l.ended) == 0 && time.Now().Before(c.waitUntil) {
		return
	}
	m.expire(l)
	c.answered = true
	c.listing = platform.Listing{StartedMs: l.startedAt.UnixMilli(), ClockMs: l.clock(), Ended: slices.Clone(l.ended)}
	for _, key := range sortedRuns(l.running) {
		c.listing.Running = append(c.listing.Running, platform.RunningTask{RunKey: key})
	}
}

// deliver brings a response to the agent, unless it stays in flight.
func (m *workerModel) deliver(c *modelCall) {
	if c.answered && !m.cut && c.outcome != responseHeld && !c.closed() {
		close(c.response)
	}
}

// tick ends runs whose lease is over, answers polls, and drops calls that cannot arrive any more.
func (m *workerModel) tick() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire(m.life())
	for _, c := range m.calls {
		if c.executed && !c.answered {
			m.answerPoll(c)
			m.deliver(c)
		}
	}
	m.calls = slices.DeleteFunc(m.calls, func(c *modelCall) bool {
		return c.closed() && (c.executed || time.Since(c.sentAt) > modelLateCall)
	})
}

// inFlight returns the calls that a condition holds for.
func (m *workerModel) inFlight(condition func(*modelCall) bool) (list []*modelCall) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.calls {
		if condition(c) {
			list = append(list, c)
		}
	}
	return list
}

// canArrive reports whether a call can still be executed.
func (c *modelCall) canArrive() bool { return !c.executed && time.Since(c.sentAt) <= modelLateCall }

// Hold implements platform.Worker. The lease is extended at once, the listing made at the response.
func (m *workerModel) Hold(ctx context.Context, r platform.HoldRequest) (platform.Listing, error) {
	c := &modelCall{name: "hold", token: r.Token}
	c.execute = func(l *modelLife) error {
		l.extend(r.LeaseUntilMs)
		for len(l.ended) > 0 && l.ended[0].Number <= r.Recorded {
			m.onDiscard(l, l.ended[0].RunKey)
			l.ended = l.ended[1:]
		}
		c.waitUntil = time.Now().Add(r.Wait)
		return nil
	}
	if err := m.send(ctx, c); err != nil {
		return platform.Listing{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.events++
	m.listings = append(m.listings, modelListing{life: c.life, sent: c.sent, arrived: m.events, ended: c.listing.Ended})
	m.tracef("a listing of life %d reaches the agent", c.life.number)
	return c.listing, nil
}

// Start implements platform.Worker.
func (m *workerModel) Start(ctx context.Context, r platform.RunRequest) (clockMs int64, err error) {
	c := &modelCall{name: "start", token: r.Token}
	c.execute = func(l *modelLife) error {
		l.extend(r.LeaseUntilMs)
		if l.running[r.RunKey] == nil {
			if r.Run <= l.highestRun[r.Task] {
				return &platform.RefusalError{Reason: platform.RefusedOldRun}
			}
			if l.clock() >= l.leaseEnd {
				return &platform.RefusalError{Reason: platform.RefusedLeaseExpired}
			}
			l.highestRun[r.Task] = r.Run
			run := &modelRun{key: r.RunKey, need: r.Need, life: l, call: c}
			l.running[r.RunKey] = run
			m.tracef("life %d begins %v, whose start was sent at %s", l.number, r.RunKey, c.sentAt.Format("05.000"))
			m.onStart(run)
		}
		c.clockMs = l.clock()
		return nil
	}
	if err := m.send(ctx, c); err != nil {
		return 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return c.clockMs, nil
}

// Stop implements platform.Worker.
func (m *workerModel) Stop(ctx context.Context, run job.RunKey, token int64, _ string) error {
	return m.send(ctx, &modelCall{name: "stop", token: token, execute: func(l *modelLife) error {
		l.highestRun[run.Task] = max(l.highestRun[run.Task], run.Run)
		if l.running[run] != nil {
			m.end(l, run, job.EndStopped)
		}
		return nil
	}})
}

// Throttle implements platform.Worker.
func (m *workerModel) Throttle(ctx context.Context, _ job.RunKey, _ int, token int64, _ string) error {
	return m.send(ctx, &modelCall{name: "pace", token: token, execute: func(*modelLife) error { return nil }})
}

// announce delivers an announcement of a life to an agent process.
func (m *workerModel) announce(n *Node, l *modelLife) {
	m.mu.Lock()
	l.sequence++
	m.tracef("an announcement of life %d reaches the agent", l.number)
	w := message.WorkerInfo{ID: "i-1", StartedMs: l.startedAt.UnixMilli(), Service: "s", Capacity: l.capacity}
	m.mu.Unlock()
	n.Announce(w, l.sequence)
}
