package schedule

import (
	"time"

	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/request/job"
)

const (
	// maxAdvisedWorkers bounds the workers of one advice request: the response time grows
	// with each of them, and the objective of a job allows one such request per step.
	maxAdvisedWorkers = 30
	adviceRetryDelay  = 300 * time.Millisecond // after a request without a response
	// ticketMargin is how long a ticket must still be valid when a start is ordered, so
	// that the worker receives a valid one.
	ticketMargin = 500 * time.Millisecond
)

// AdviceRequest asks the policy service which of the listed workers may run a step.
type AdviceRequest struct {
	Step    job.TaskID // Index is unused
	Workers []string   // ids
	// ExpectedDuration is the response time that the profile states for this many workers.
	ExpectedDuration time.Duration
	ticketValidity   time.Duration // of the response's tickets, from the time of the request
}

// workerInstance identifies a worker between two restarts.
type workerInstance struct {
	workerID  string
	startedMs int64
}

// eligibility is the decision of the policy service on one worker for one step. A refusal
// is final; a ticket is valid until validUntil.
type eligibility struct {
	ticket     string // empty if the worker may not run the step
	validUntil time.Time
}

// stepAdvice holds the decisions of the policy service for one step.
type stepAdvice struct {
	pending     bool      // a request is waiting for its response
	retryAt     time.Time // earliest time of the next request after a failed one
	eligibility map[workerInstance]eligibility
}

func (a *agentState) workerInstance() workerInstance {
	return workerInstance{a.worker.ID, a.worker.StartedMs}
}

// validTicket returns the ticket with which the agent's worker may run tasks of the step.
// If ok is false, there is none or it expires within ticketMargin and must not be used.
func (s *stepState) validTicket(now time.Time, a *agentState) (ticket string, ok bool) {
	e, known := s.advice.eligibility[a.workerInstance()]
	return e.ticket, known && e.ticket != "" && now.Add(ticketMargin).Before(e.validUntil)
}

// withoutTicket returns a predicate on indexes into v.agents that is true for workers
// without a valid ticket for the step; nil if its profile needs no policy decision.
func (t *Table) withoutTicket(v *view, c candidate) func(i int) bool {
	if c.profile.Advice == nil {
		return nil
	}
	return func(i int) bool {
		_, ok := c.step.validTicket(v.now, v.agents[i])
		return !ok
	}
}

// requestAdvice queues an advice request for the workers that have capacity for a waiting
// task of the step and no valid decision, those on the rack of its data first. A step has
// at most one request without a response.
func (t *Table) requestAdvice(v *view, c candidate) {
	if c.step.pending > 0 {
		t.queueAdvice(v, c)
	}
}

// queueAdvice is requestAdvice for a step whose tasks wait or are to be moved.
func (t *Table) queueAdvice(v *view, c candidate) {
	s := c.step
	if c.profile.Advice == nil || s.advice.pending || v.now.Before(s.advice.retryAt) {
		return
	}
	req := t.placementRequest(v, c)
	request := AdviceRequest{Step: job.TaskID{Job: s.job().def.ID, Occurrence: s.occurrence.index, Step: s.index}}
	onDataRack := func(a *agentState) bool { return s.def.Rack == "" || a.worker.Rack == s.def.Rack }
	for _, local := range []bool{true, false} {
		for _, a := range v.agents {
			if onDataRack(a) == local && len(request.Workers) < maxAdvisedWorkers && req.Fits(&a.node) && s.needsAdvice(v.now, a) {
				request.Workers = append(request.Workers, a.worker.ID)
			}
		}
	}
	if len(request.Workers) == 0 {
		return
	}
	policy := c.profile.Advice
	request.ExpectedDuration = time.Duration(policy.DecideMs+policy.EachMs*int64(len(request.Workers))) * time.Millisecond
	request.ticketValidity = time.Duration(policy.ValidMs) * time.Millisecond
	s.advice.pending = true
	t.adviceRequests = append(t.adviceRequests, request)
}

// needsAdvice reports whether the step has no decision on the agent's worker, or a
// ticket that expires within ticketMargin.
func (s *stepState) needsAdvice(now time.Time, a *agentState) bool {
	e, known := s.advice.eligibility[a.workerInstance()]
	return !known || e.ticket != "" && !now.Add(ticketMargin).Before(e.validUntil)
}

// TakeAdviceRequests returns and clears the queued advice requests. The caller calls
// ApplyAdvice once for each of them.
func (t *Table) TakeAdviceRequests() []AdviceRequest {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.adviceRequests
	t.adviceRequests = nil
	return list
}

// ApplyAdvice records the response to a request that was sent at sentAt: tickets
// by worker id. Workers without a ticket may not run the step. err is set if there was no
// response; another request follows after adviceRetryDelay.
func (t *Table) ApplyAdvice(sentAt time.Time, request AdviceRequest, tickets map[string]string, err error) {
	now := t.cfg.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	task := t.task(request.Step)
	if task == nil {
		return
	}
	s := task.step
	s.advice.pending = false
	if err != nil {
		s.advice.retryAt = now.Add(adviceRetryDelay)
		t.cfg.Log.Emit(event.AdviceMissing, "job", request.Step.Job, "workers", len(request.Workers), "error", err)
		return
	}
	if s.advice.eligibility == nil {
		s.advice.eligibility = map[workerInstance]eligibility{}
	}
	for _, worker := range request.Workers {
		for _, a := range t.sortedAgents {
			// The decision does not apply to a worker that was restarted after the request.
			if a.worker.ID == worker && a.worker.StartedMs <= sentAt.UnixMilli() {
				s.advice.eligibility[a.workerInstance()] = eligibility{ticket: tickets[worker], validUntil: sentAt.Add(request.ticketValidity)}
			}
		}
	}
	t.needsPass = true
	t.cfg.Log.Emit(event.AdviceGiven, "job", request.Step.Job, "workers", len(request.Workers), "tickets", len(tickets),
		"elapsed_ms", now.Sub(sentAt).Milliseconds())
}
