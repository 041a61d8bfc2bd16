package agent

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/process/metrics"
	"camphorhead.example/camphorhead/process/queue"
	"camphorhead.example/camphorhead/request/outcome"
)

const (
	// franchiseeQueueDivisor bounds the part of a queue that one franchisee may occupy.
	franchiseeQueueDivisor = 2
	// backlogFactor multiplies the expected time of a check that has to wait in the queue.
	backlogFactor = 2
)

// Target is a target's announcement of itself. Slots is the number of checks that it runs
// concurrently, Connections the maximum number of connections to it.
type Target struct {
	Service     string `json:"service"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
}

// service is one announced target with its queue. Its slot workers begin in start and
// end after shutdown.
type service struct {
	checks *checks
	target Target
	queue  *queue.Queue[*pendingCheck]
	http   *fasthttp.HostClient
	wg     sync.WaitGroup

	busy     atomic.Int64
	estimate serviceTime
	// windowUs and windowCount collect samples for the control loop. They are read one after
	// the other, which at worst puts part of a sample into the next window.
	windowUs    atomic.Int64
	windowCount atomic.Int64
}

func newService(c *checks, t Target) *service {
	s := &service{
		checks: c, target: t, queue: c.newQueue(),
		http: &fasthttp.HostClient{
			Addr: t.Address, MaxConns: t.Connections, NoDefaultUserAgentHeader: true,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		},
	}
	return s
}

func (s *service) start() {
	for range s.target.Slots {
		s.wg.Go(s.serveSlot)
	}
}

// shutdown refuses the queued checks as "not run" and lets the slot workers end.
func (s *service) shutdown() {
	for _, it := range s.queue.Close() {
		s.checks.fail(it.Value, outcome.New(outcome.Draining, "target is draining"))
	}
}

// wait waits until the slot workers have ended or ctx ends.
func (s *service) wait(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// enqueue adds a registered check to the fair queue; after an error it is not queued.
func (s *service) enqueue(p *pendingCheck) error {
	check := p.check
	remaining := time.Duration(check.RemainingMs) * time.Millisecond
	wait := s.queue.EstimateWait(check.Franchisee, check.Team) / time.Duration(max(s.target.Slots, 1))
	deadline := p.received.Add(remaining)
	need := wait + s.serviceTime()
	if wait > 0 {
		// Service times vary: with the mean alone, a tenth of the replies of an
		// overloaded target came after the deadline.
		need *= backlogFactor
		deadline = deadline.Add(-s.serviceTime())
	}
	if need > remaining {
		return outcome.New(outcome.DeadlineRefused, "remaining time is too short for the expected queue wait and service time")
	}
	displaced, err := s.queue.Push(queue.Item[*pendingCheck]{
		ID: check.Request, Team: check.Team, Franchisee: check.Franchisee, Weight: check.Weight,
		Cost: s.serviceTime().Microseconds(), Deadline: deadline, Value: p,
	})
	if displaced != nil {
		s.checks.fail(displaced.Value, outcome.New(outcome.QueueFull, "check queue is full; the place went to a franchisee with fewer queued checks"))
	}
	return err
}

func (s *service) serveSlot() {
	for {
		it, err := s.queue.Pop(context.Background())
		if err != nil {
			return
		}
		s.busy.Add(1)
		s.execute(it.Value)
		s.busy.Add(-1)
	}
}

// execute runs a check and replies. One that times out enters the window, not the estimate.
func (s *service) execute(p *pendingCheck) {
	start := s.checks.agent.clock.Now()
	body, err := s.call(p)
	elapsed := s.checks.agent.clock.Since(start)
	s.checks.agent.metrics.Observe(metrics.TargetCall, elapsed)
	if err == nil || err.Kind == outcome.DeadlineExceeded {
		s.windowUs.Add(elapsed.Microseconds())
		s.windowCount.Add(1)
	}
	if err != nil {
		s.checks.fail(p, err)
		return
	}
	s.estimate.addSample(s.checks.agent.clock.Now(), elapsed)
	s.checks.agent.metrics.Add(metrics.ChecksServed, 1)
	s.checks.agent.log.Emit(event.CheckServed, "request", p.check.Request, "agent", s.checks.agent.cfg.Process.ID,
		"franchisee", p.check.Franchisee, "service", p.check.Service, "elapsed_ms", elapsed.Milliseconds())
	s.checks.finish(p, message.CheckReply{Request: p.check.Request, Body: body, Load: s.load()})
}

// call sends one check to the target and returns a copy of the response's body.
func (s *service) call(p *pendingCheck) ([]byte, *outcome.Error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + s.target.Address + "/v1/run")
	req.Header.Set("Camphorhead-Request-Id", p.check.Request)
	req.Header.Set("Camphorhead-Franchisee", p.check.Franchisee)
	req.Header.Set("Camphorhead-Profile", p.check.Profile)
	req.Header.Set("Camphorhead-Attempt", strconv.Itoa(int(p.check.Attempt)))
	req.SetBodyRaw(p.check.Body)
	deadline := p.received.Add(time.Duration(p.check.RemainingMs) * time.Millisecond)
	if err := s.http.DoDeadline(req, resp, deadline); err != nil {
		return nil, targetError(err)
	}
	if status := resp.StatusCode(); status != fasthttp.StatusOK {
		if status == fasthttp.StatusServiceUnavailable {
			return nil, outcome.New(outcome.TargetFailed, "target refused the check with status 503").AsNotRun()
		}
		return nil, outcome.New(outcome.TargetFailed, "target responded with status "+strconv.Itoa(status))
	}
	return append([]byte(nil), resp.Body()...), nil
}

// targetError converts an error of the HTTP client; without a connection nothing has run.
func targetError(err error) *outcome.Error {
	switch err {
	case fasthttp.ErrNoFreeConns, fasthttp.ErrDialTimeout:
		return outcome.New(outcome.TargetFailed, err.Error()).AsNotRun()
	case fasthttp.ErrTimeout:
		return outcome.New(outcome.DeadlineExceeded, "target did not respond before the deadline")
	}
	return &outcome.Error{Kind: outcome.ConnectionLost, Message: err.Error()}
}

func (s *service) serviceTime() time.Duration {
	estimate, _ := s.estimate.value(s.checks.agent.clock.Now())
	return estimate
}

// takeWindow returns the samples since the previous call.
func (s *service) takeWindow() window {
	sum := time.Duration(s.windowUs.Swap(0)) * time.Microsecond
	return window{service: s.target.Service, sum: sum, count: int(s.windowCount.Swap(0))}
}

func (s *service) load() message.ServiceLoad {
	load := message.ServiceLoad{
		Service: s.target.Service, Slots: s.target.Slots, Busy: int(s.busy.Load()),
		Queued: s.queue.Len(),
	}
	if estimate, measured := s.estimate.value(s.checks.agent.clock.Now()); measured {
		load.ServiceTimeUs = estimate.Microseconds()
	}
	return load
}
