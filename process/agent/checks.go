package agent

import (
	"context"
	"sort"
	"sync"
	"time"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/connection/peer"
	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/process/lockrank"
	"camphorhead.example/camphorhead/process/metrics"
	"camphorhead.example/camphorhead/process/queue"
	"camphorhead.example/camphorhead/request/outcome"
)

const (
	checkSweepInterval = time.Second
	// outcomeRetention is how long the outcome of an ended check can be queried. It exceeds
	// the time after which an entry drops an unresponsive connection and queries.
	outcomeRetention = 30 * time.Second
	// sentTimeSlack covers the difference of clock rates in Query.SentAgoMs, 2% of outcomeRetention,
	// and the time that the query takes.
	sentTimeSlack = time.Second
	// drainTimeout bounds the wait for running checks when the process stops.
	drainTimeout = 10 * time.Second
)

// pendingCheck is a queued or running check.
type pendingCheck struct {
	check    message.Check
	request  peer.Request
	received time.Time
}

// checkRecord is the state of one check for queries; at is when it was entered.
type checkRecord struct {
	state message.QueryState
	reply *message.CheckReply
	err   *outcome.Error
	at    time.Time
}

// checks serves the checks of the targets beside the agent, with one queue and a
// fixed number of slot workers per service.
type checks struct {
	agent *Agent

	mu       lockrank.Mutex // guards services and requests
	services map[string]*service
	requests map[string]*checkRecord
}

func newChecks(a *Agent) *checks {
	return &checks{
		agent: a, mu: lockrank.NewMutex(lockrank.RankRequests),
		services: map[string]*service{}, requests: map[string]*checkRecord{},
	}
}

// announce adds a target; it replaces a different target of the same service. It returns an
// error if the targets of the agent would have more than maxSlots.
func (c *checks) announce(t Target) error {
	c.mu.Lock()
	old, ok := c.services[t.Service]
	if ok && old.target == t {
		c.mu.Unlock()
		return nil
	}
	slots := t.Slots
	for name, other := range c.services {
		if name != t.Service {
			slots += other.target.Slots
		}
	}
	if slots > maxSlots {
		c.mu.Unlock()
		return outcome.Field(outcome.InvalidField, "slots", "the targets of this agent have more than 4096 slots together")
	}
	s := newService(c, t)
	c.services[t.Service] = s
	c.mu.Unlock()
	if ok {
		old.shutdown()
	}
	s.start()
	c.agent.ledger.SetService(t.Service, t.Slots, t.Connections)
	c.agent.log.Emit(event.TargetAnnounced, "target", t.Address, "service", t.Service, "agent", c.agent.cfg.Process.ID)
	c.agent.node.TriggerReport()
	return nil
}

// withdraw removes the target of a service; its running checks finish.
func (c *checks) withdraw(t Target) {
	c.mu.Lock()
	s, ok := c.services[t.Service]
	if ok {
		delete(c.services, t.Service)
	}
	c.mu.Unlock()
	if !ok {
		return
	}
	s.shutdown()
	c.agent.ledger.RemoveService(t.Service)
	c.agent.log.Emit(event.TargetLeft, "target", t.Address, "service", t.Service, "agent", c.agent.cfg.Process.ID, "reason", "withdrawn")
	c.agent.node.TriggerReport()
}

// handle queues one check or refuses it. The event loop calls it, so it must not block.
func (c *checks) handle(r peer.Request) {
	var check message.Check
	if err := r.Decode(&check); err != nil {
		r.Fail(err)
		return
	}
	p := &pendingCheck{check: check, request: r, received: c.agent.clock.Now()}
	s, err := c.register(p)
	if err != nil {
		c.agent.metrics.Add(metrics.ChecksRefused, 1)
		r.Fail(err)
		return
	}
	if err := s.enqueue(p); err != nil {
		c.fail(p, err)
	}
}

// register records a check as pending, so that a query finds it, and returns its service.
// It refuses a check that is tombstoned, was received before or cannot be served.
func (c *checks) register(p *pendingCheck) (*service, *outcome.Error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if record, ok := c.requests[p.check.Request]; ok {
		if record.state == message.QueryNotRun || record.state == message.QueryUnknown {
			return nil, outcome.New(outcome.Tombstoned, "check arrived after a query for its outcome")
		}
		return nil, outcome.New(outcome.Internal, "a check with this request ID was received before")
	}
	if c.agent.draining.checks.Load() {
		return nil, outcome.New(outcome.Draining, "target is draining")
	}
	s, ok := c.services[p.check.Service]
	if !ok {
		return nil, outcome.Field(outcome.NoTarget, "service", "no target of the service on this worker")
	}
	c.requests[p.check.Request] = &checkRecord{state: message.QueryPending, at: p.received}
	return s, nil
}

func (c *checks) finish(p *pendingCheck, reply message.CheckReply) {
	c.recordOutcome(p, &checkRecord{state: message.QueryDone, reply: &reply})
	p.request.Reply(reply)
}

func (c *checks) fail(p *pendingCheck, err error) {
	failure := outcome.From(err)
	c.agent.metrics.Add(metrics.ChecksRefused, 1)
	c.recordOutcome(p, &checkRecord{state: message.QueryDone, err: failure})
	p.request.Fail(failure)
}

func (c *checks) recordOutcome(p *pendingCheck, record *checkRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	record.at = c.agent.clock.Now()
	c.requests[p.check.Request] = record
}

// handleQuery replies with the state of a check whose connection was lost. An unknown
// request gets a tombstone, so that a delayed copy of it is refused.
func (c *checks) handleQuery(r peer.Request) {
	var q message.Query
	if err := r.Decode(&q); err != nil {
		r.Fail(err)
		return
	}
	r.Reply(c.lookup(q))
}

func (c *checks) lookup(q message.Query) message.QueryReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	record, ok := c.requests[q.Request]
	if !ok {
		now := c.agent.clock.Now()
		record = &checkRecord{state: message.QueryNotRun, at: now}
		if age := time.Duration(q.SentAgoMs)*time.Millisecond + sentTimeSlack; now.Sub(c.agent.started) < age {
			record.state = message.QueryUnknown
		}
		c.requests[q.Request] = record
	}
	return message.QueryReply{State: record.state, Reply: record.reply, Error: record.err}
}

// sweep removes ended checks and tombstones after outcomeRetention, and drops queued
// checks that can no longer meet their deadline. The ticker calls it.
func (c *checks) sweep(context.Context) {
	c.mu.Lock()
	limit := c.agent.clock.Now().Add(-outcomeRetention)
	for id, record := range c.requests {
		if record.state != message.QueryPending && record.at.Before(limit) {
			delete(c.requests, id)
		}
	}
	services := c.sortedServices()
	c.mu.Unlock()
	for _, s := range services {
		s.queue.DropExpired()
	}
}

// sortedServices returns the services in order of their names. The caller holds mu.
func (c *checks) sortedServices() []*service {
	list := make([]*service, 0, len(c.services))
	for _, s := range c.services {
		list = append(list, s)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].target.Service < list[j].target.Service })
	return list
}

func (c *checks) loads() []message.ServiceLoad {
	c.mu.Lock()
	list := c.sortedServices()
	c.mu.Unlock()
	loads := make([]message.ServiceLoad, 0, len(list))
	for _, s := range list {
		loads = append(loads, s.load())
	}
	return loads
}

// takeWindows returns what the services have measured since the previous call. Only
// the control loop may call it.
func (c *checks) takeWindows() []window {
	c.mu.Lock()
	list := c.sortedServices()
	c.mu.Unlock()
	windows := make([]window, 0, len(list))
	for _, s := range list {
		windows = append(windows, s.takeWindow())
	}
	return windows
}

// unfinished returns the number of queued and running checks.
func (c *checks) unfinished() int {
	count := 0
	for _, l := range c.loads() {
		count += l.Busy + l.Queued
	}
	return count
}

// close closes all services and waits for their running checks until ctx ends, at
// most drainTimeout.
func (c *checks) close(ctx context.Context) {
	c.mu.Lock()
	list := c.sortedServices()
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, s := range list {
		wg.Go(func() {
			s.shutdown()
			s.wait(ctx)
		})
	}
	wg.Wait()
}

func (c *checks) newQueue() *queue.Queue[*pendingCheck] {
	limit := int(c.agent.cfg.Limits.QueueLength)
	return queue.New(queue.Config[*pendingCheck]{
		Clock: c.agent.clock, MaxItems: limit, MaxPerFranchisee: max(limit/franchiseeQueueDivisor, 1),
		TeamWeight: func(team string) uint16 { return c.agent.config.Document().Teams[team].Weight },
		OnExpired: func(it queue.Item[*pendingCheck]) {
			c.fail(it.Value, outcome.New(outcome.DeadlineRefused, "deadline can no longer be met; the check was dropped from the queue"))
		},
	})
}
