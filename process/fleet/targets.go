package fleet

import (
	"math/rand/v2"
	"slices"
	"time"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/request/routing"
)

// target is the target of one service at one agent.
type target struct {
	member  *member
	service *service
	load    message.ServiceLoad
	// replyLoadAt is when a reply last carried a load; zero: never.
	replyLoadAt time.Time
	// sentSinceLoad bounds the number of checks in flight that were sent since load arrived.
	sentSinceLoad int
	inFlight      int
	health        checkHealth
	retries       routing.RetryBudget
	group         *group
	index         int // in group.targets
}

// group holds the targets of a service in one failure domain.
type group struct {
	location message.Location // without the rack
	targets  []*target
}

// service holds all targets of one service.
type service struct {
	groups  []*group
	total   int
	ejected int
}

func (s *service) add(t *target) {
	at := t.member.summary.Location
	at.Rack = ""
	i := slices.IndexFunc(s.groups, func(g *group) bool { return g.location == at })
	if i < 0 {
		i = len(s.groups)
		s.groups = append(s.groups, &group{location: at})
	}
	g := s.groups[i]
	t.service, t.group, t.index = s, g, len(g.targets)
	g.targets = append(g.targets, t)
	s.total++
	if t.health.ejected {
		s.ejected++
	}
}

func (s *service) remove(t *target) {
	g := t.group
	last := g.targets[len(g.targets)-1]
	g.targets[t.index] = last
	last.index = t.index
	g.targets = g.targets[:len(g.targets)-1]
	s.total--
	if t.health.ejected {
		s.ejected--
	}
}

// mayEject reports whether the ejected targets and one more are at most percent of all.
func (s *service) mayEject(percent int) bool { return (s.ejected+1)*100 <= percent*s.total }

// updateTargets applies the summary that has replaced old. The caller holds mu.
func (f *Fleet) updateTargets(m *member, old message.Summary) {
	kept := m.targets[:0]
	for _, t := range m.targets {
		if old.Session != m.summary.Session {
			t.inFlight, t.sentSinceLoad = 0, 0
		}
		offered := slices.ContainsFunc(m.summary.Services, func(l message.ServiceLoad) bool {
			return l.Service == t.load.Service
		})
		if !offered || old.Location != m.summary.Location {
			t.service.remove(t)
		}
		if !offered {
			continue
		}
		if old.Location != m.summary.Location {
			t.service.add(t)
		}
		kept = append(kept, t)
	}
	m.targets = kept
	for _, l := range m.summary.Services {
		f.updateLoad(m, l)
	}
}

// replyLoadValidity is how long a load from a reply takes precedence over one from a
// summary, which may be as old as the interval between summaries.
const replyLoadValidity = 2 * time.Second

// updateLoad applies a load from a summary. The caller holds mu.
func (f *Fleet) updateLoad(m *member, l message.ServiceLoad) {
	t := m.target(l.Service)
	if t == nil {
		s := f.services[l.Service]
		if s == nil {
			s = &service{}
			f.services[l.Service] = s
		}
		t = &target{member: m, load: l}
		m.targets = append(m.targets, t)
		s.add(t)
	}
	if f.clock.Since(t.replyLoadAt) >= replyLoadValidity {
		t.load, t.sentSinceLoad = l, 0
	}
}

func (m *member) target(service string) *target {
	for _, t := range m.targets {
		if t.load.Service == service {
			return t
		}
	}
	return nil
}

// Candidates appends to dst up to perDomain targets of a service from each failure
// domain, beginning at a random one, for routing.Choose, and returns it. Ejected targets
// are included only if they are due for a probe; Candidate.Probe marks them.
func (f *Fleet) Candidates(service string, perDomain int, rng *rand.Rand, dst []routing.Candidate) []routing.Candidate {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.services[service]
	if s == nil {
		return dst
	}
	now := f.clock.Now()
	for _, g := range s.groups {
		n := len(g.targets)
		if n == 0 {
			continue
		}
		found, start := 0, rng.IntN(n)
		for i := 0; i < n && found < perDomain; i++ {
			t := g.targets[(start+i)%n]
			if !t.member.acceptsChecks() || (t.health.ejected && !t.health.probeDue(now)) {
				continue
			}
			found++
			dst = append(dst, t.candidate(now, f.settings.Health.ProbeTimeout))
		}
	}
	return dst
}

// candidate returns the target for routing. The load lacks checks that were being sent when
// it was measured, so the checks in flight are a lower bound of Load and Pending together.
func (t *target) candidate(now time.Time, idempotentOnly time.Duration) routing.Candidate {
	s := &t.member.summary
	return routing.Candidate{
		Agent:    s.Agent,
		Address:  s.Address,
		Session:  s.Session,
		Location: s.Location,
		Load:     t.load,
		Pending:  max(t.sentSinceLoad, t.inFlight-t.load.Busy-t.load.Queued),
		Probe:    t.health.probeKind(now, idempotentOnly),
		RetryOK:  t.retries.Admits(),
	}
}

// Begin records that a check is about to be sent. It reports false, and records nothing,
// if the target is removed, draining, or ejected and not due for a probe, or if the retry
// budget of the target or the process is spent. The caller then chooses again.
func (f *Fleet) Begin(agent, service string, kind routing.AttemptKind) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.target(agent, service)
	if t == nil || !t.member.acceptsChecks() {
		return false
	}
	now := f.clock.Now()
	if t.health.ejected && !t.health.probeDue(now) {
		return false
	}
	if kind == routing.Retry && (!t.retries.Admits() || !f.retries.Admits()) {
		return false
	}
	switch kind {
	case routing.First:
		t.retries, f.retries = t.retries.AfterFirst(), f.retries.AfterFirst()
	case routing.Retry:
		t.retries, f.retries = t.retries.AfterRetry(), f.retries.AfterRetry()
	case routing.Hedge:
	}
	if t.health.ejected {
		t.health = t.health.afterProbeSent(f.settings.Health, now)
	}
	t.sentSinceLoad++
	t.inFlight++
	return true
}

// RetryBudget returns the retry budget of this process, for routing.RetryInput.
func (f *Fleet) RetryBudget() routing.RetryBudget {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.retries
}

// RecordLoad records the load in a reply.
func (f *Fleet) RecordLoad(agent string, l message.ServiceLoad) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t := f.target(agent, l.Service); t != nil {
		t.load, t.sentSinceLoad, t.replyLoadAt = l, 0, f.clock.Now()
	}
}

// RecordCheck records the result of a check and returns how it changes the target's
// health. ok is false if the target or the network path to it failed: no reply, a lost
// connection, or outcome.TargetFailed. A refusal for load or deadline is a reply. The
// caller calls either RecordCheck or Abandon, once for each Begin that returned true.
func (f *Fleet) RecordCheck(agent, service string, ok bool) HealthChange {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.target(agent, service)
	if t == nil {
		return Unchanged
	}
	t.checkEnded()
	s := t.service
	wasEjected := t.health.ejected
	t.health = t.health.afterCheck(ok, f.settings.Health, s.mayEject(f.settings.Health.MaxEjectedPercent), f.clock.Now())
	switch {
	case t.health.ejected && !wasEjected:
		s.ejected++
		return Ejected
	case !t.health.ejected && wasEjected:
		s.ejected--
		return Readmitted
	}
	return Unchanged
}

// HealthChange is how the result of a check has changed the health of its target.
type HealthChange uint8

// The changes.
const (
	Unchanged HealthChange = iota
	Ejected
	Readmitted
)

// Abandon records that the caller no longer waits for a check, such as the slower one
// of a hedged pair. It does not affect the target's health.
func (f *Fleet) Abandon(agent, service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t := f.target(agent, service); t != nil {
		t.checkEnded()
	}
}

func (t *target) checkEnded() {
	t.inFlight = max(0, t.inFlight-1)
	t.sentSinceLoad = min(t.sentSinceLoad, t.inFlight)
}

// target returns the target of a service at an agent, or nil. The caller holds mu.
func (f *Fleet) target(agent, service string) *target {
	m := f.agents[agent]
	if m == nil {
		return nil
	}
	return m.target(service)
}
