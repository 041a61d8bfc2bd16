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
	// franchiseeShare bounds one franchisee's part of a queue.
	franchiseeShare = 2
	// backlogMargin multiplies the expected time of a check behind a backlog.
	backlogMargin = 2
)

// Target is a back end as it announces itself.
type Target struct {
	Service     string `json:"service"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
}

// service is one announced target with its queue. Its slot workers start in
// run and end after leave.
type service struct {
	checks *checks
	target Target
	queue  *queue.Queue[*pendingCheck]
	http   *fasthttp.HostClient
	wg     sync.WaitGroup

	busy     atomic.Int64
	estimate serviceTime
	// windowUs and windowCount collect samples for the control loop. They are
	// read one after the other, which puts a sample into the next window at worst.
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

// run starts one worker per slot.
func (s *service) run() {
	for range s.target.Slots {
		s.wg.Go(s.serve)
	}
}

// leave refuses queued checks as "not run" and lets the slot workers end.
func (s *service) leave() {
	for _, it := range s.queue.Close() {
		s.checks.fail(it.Value, outcome.New(outcome.Draining, "target is leaving"))
	}
}

// wait returns when the slot workers have ended or ctx does.
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

// enqueue puts an admitted check into the fair queue.
func (s *service) enqueue(p *pendingCheck) error {
	check := p.check
	remaining := time.Duration(check.RemainingMs) * time.Millisecond
	wait := s.queue.EstimateWait(check.Franchisee, check.Team) / time.Duration(max(s.target.Slots, 1))
	deadline := p.received.Add(remaining)
	need := wait + s.serviceTime()
	if wait > 0 {
		// Service times vary: with the mean alone a tenth of the answers of an
		// overloaded target came too late.
		need *= backlogMargin
		deadline = deadline.Add(-s.serviceTime())
	}
	if need > remaining {
		return outcome.New(outcome.DeadlineRefused, "deadline cannot be met with the present queue")
	}
	displaced, err := s.queue.Push(queue.Item[*pendingCheck]{
		ID: check.Request, Team: check.Team, Franchisee: check.Franchisee, Weight: check.Weight,
		Cost: s.serviceTime().Microseconds(), Deadline: deadline, Value: p,
	})
	if displaced != nil {
		s.checks.fail(displaced.Value, outcome.New(outcome.QueueFull, "displaced by a franchisee with a shorter queue"))
	}
	return err
}

func (s *service) serve() {
	for {
		it, err := s.queue.Pop(context.Background())
		if err != nil {
			return
		}
		s.busy.Add(1)
		s.answer(it.Value)
		s.busy.Add(-1)
	}
}

func (s *service) answer(p *pendingCheck) {
	began := s.checks.agent.clock.Now()
	body, err := s.call(p)
	took := s.checks.agent.clock.Since(began)
	s.checks.agent.metrics.Observe(metrics.TargetCall, took)
	if err == nil || err.Kind == outcome.DeadlineExceeded {
		s.windowUs.Add(took.Microseconds())
		s.windowCount.Add(1)
	}
	if err != nil {
		s.checks.fail(p, err)
		return
	}
	s.estimate.sample(s.checks.agent.clock.Now(), took)
	s.checks.agent.metrics.Add(metrics.ChecksServed, 1)
	s.checks.agent.log.Emit(event.CheckServed, "request", p.check.Request, "agent", s.checks.agent.cfg.Process.ID,
		"franchisee", p.check.Franchisee, "service", p.check.Service, "elapsed_ms", took.Milliseconds())
	s.checks.finish(p, message.CheckReply{Request: p.check.Request, Body: body, Load: s.load()})
}

// call runs one check on the target. The body is copied out of the response.
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
			return nil, outcome.New(outcome.TargetFailed, "target refused the connection").AsNotRun()
		}
		return nil, outcome.New(outcome.TargetFailed, "target answered with status "+strconv.Itoa(status))
	}
	return append([]byte(nil), resp.Body()...), nil
}

func targetError(err error) *outcome.Error {
	switch err {
	case fasthttp.ErrNoFreeConns, fasthttp.ErrDialTimeout:
		return outcome.New(outcome.TargetFailed, err.Error()).AsNotRun()
	case fasthttp.ErrTimeout:
		return outcome.New(outcome.DeadlineExceeded, "target did not answer before the deadline")
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
