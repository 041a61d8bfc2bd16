package fleet

import (
	"math/rand/v2"
	"slices"
	"time"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/request/routing"
)

// target is one service at one agent.
type target struct {
	member  *member
	service *service
	load    message.ServiceLoad
	// answered is when load came with an answer; zero if it is from a summary.
	answered time.Time
	// sent counts the checks sent since that load, open those not yet ended.
	sent    int
	open    int
	health  checkHealth
	retries routing.RetryBudget
	group   *group
	slot    int // in group.targets
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
	t.service, t.group, t.slot = s, g, len(g.targets)
	g.targets = append(g.targets, t)
	s.total++
	if t.health.ejected {
		s.ejected++
	}
}

func (s *service) remove(t *target) {
	g := t.group
	last := g.targets[len(g.targets)-1]
	g.targets[t.slot] = last
	last.slot = t.slot
	g.targets = g.targets[:len(g.targets)-1]
	s.total--
	if t.health.ejected {
		s.ejected--
	}
}

// mayEject reports whether one more ejection stays within the floor.
func (s *service) mayEject(percent int) bool { return (s.ejected+1)*100 <= percent*s.total }

// updateTargets follows the services of a new summary. The caller holds mu.
func (f *Fleet) updateTargets(m *member, old message.Summary) {
	kept := m.targets[:0]
	for _, t := range m.targets {
		if old.Session != m.summary.Session {
			t.open, t.sent = 0, 0
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

// loadFresh is how long a load that came with an answer outweighs one from a
// summary, which may be as old as the interval between digests.
const loadFresh = 2 * time.Second

// The caller holds mu.
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
	if f.clock.Since(t.answered) >= loadFresh {
		t.load, t.sent = l, 0
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

// Candidates appends to dst up to perDomain random targets of a service from
// each failure domain, for routing.Choose, and returns it. Ejected targets
// that are due for a probe are marked.
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
			if !t.member.takesChecks() || (t.health.ejected && !t.health.due(now)) {
				continue
			}
			found++
			dst = append(dst, t.candidate(now, f.settings.Health.ProbeTimeout))
		}
	}
	return dst
}

// candidate returns the target as routing sees it. Checks on their way when
// the load was measured are not in it, so the open ones are a lower bound.
func (t *target) candidate(now time.Time, overdue time.Duration) routing.Candidate {
	s := &t.member.summary
	return routing.Candidate{
		Agent:    s.Agent,
		Address:  s.Address,
		Session:  s.Session,
		Location: s.Location,
		Load:     t.load,
		Pending:  max(t.sent, t.open-t.load.Busy-t.load.Queued),
		Probe:    t.health.probe(now, overdue),
		RetryOK:  t.retries.Admits(),
	}
}

// Begin notes that a check is about to be sent. It reports false when the
// target may no longer get it: it left, is ejected and has its probe, or the
// retry budget of the target or the process is spent. The caller then chooses again.
func (f *Fleet) Begin(agent, service string, kind routing.AttemptKind) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.target(agent, service)
	if t == nil || !t.member.takesChecks() {
		return false
	}
	now := f.clock.Now()
	if t.health.ejected && !t.health.due(now) {
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
		t.health = t.health.probed(f.settings.Health, now)
	}
	t.sent++
	t.open++
	return true
}

// Retries returns the retry budget of this process, for routing.RetryPolicy.
func (f *Fleet) Retries() routing.RetryBudget {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.retries
}

// NoteLoad takes the load that came with an answer.
func (f *Fleet) NoteLoad(agent string, l message.ServiceLoad) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t := f.target(agent, l.Service); t != nil {
		t.load, t.sent, t.answered = l, 0, f.clock.Now()
	}
}

// NoteCheck notes how a check ended. ok is false when the target or the way to
// it failed: no answer, a lost connection, or outcome.TargetFailed. A refusal
// for load or deadline is an answer. NoteCheck or Abandon is called once for
// each Begin that returned true. It reports what has changed for the target.
func (f *Fleet) NoteCheck(agent, service string, ok bool) Turn {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.target(agent, service)
	if t == nil {
		return Unchanged
	}
	t.ended()
	s := t.service
	was := t.health.ejected
	t.health = t.health.noted(ok, f.settings.Health, s.mayEject(f.settings.Health.MaxEjectedPercent), f.clock.Now())
	switch {
	case t.health.ejected && !was:
		s.ejected++
		return Ejected
	case !t.health.ejected && was:
		s.ejected--
		return Readmitted
	}
	return Unchanged
}

// Turn is what the result of a check has changed for its target.
type Turn uint8

// The turns.
const (
	Unchanged Turn = iota
	Ejected
	Readmitted
)

// Abandon notes that a check is not waited for any more, such as the slower
// one of a hedged pair. It says nothing about the target.
func (f *Fleet) Abandon(agent, service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t := f.target(agent, service); t != nil {
		t.ended()
	}
}

func (t *target) ended() {
	t.open = max(0, t.open-1)
	t.sent = min(t.sent, t.open)
}

// target returns a service at an agent, or nil. The caller holds mu.
func (f *Fleet) target(agent, service string) *target {
	m := f.agents[agent]
	if m == nil {
		return nil
	}
	return m.target(service)
}
