// Package fleet is an entry's table of agents: their summaries and the health of
// their targets, by which it routes checks.
//
// The leader of the jobs tells every entry of the agents. Guarantees: a summary
// is replaced only by one of a newer session, or of the same session with a
// higher sequence; an agent that drains or is covered by a planned stop gets no
// new checks. One mutex guards the table; no method blocks while holding it.
package fleet

import (
	"time"

	"github.com/jonboulle/clockwork"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/process/lockrank"
	"camphorhead.example/camphorhead/request/routing"
	"camphorhead.example/camphorhead/version/profile"
)

// Settings of a fleet table.
type Settings struct {
	Health HealthSettings
	// Forget is how long an agent is kept that a new leader has not named.
	Forget time.Duration
}

// DefaultSettings returns the settings used in service.
func DefaultSettings() Settings {
	return Settings{Health: DefaultHealthSettings(), Forget: 30 * time.Second}
}

// Fleet is the table of agents. All methods are safe for concurrent use.
type Fleet struct {
	clock    clockwork.Clock
	settings Settings

	mu       lockrank.Mutex // guards all fields below and everything they point to
	agents   map[string]*member
	services map[string]*service
	stops    []profile.Stop
	retries  routing.RetryBudget
	hedges   map[string]routing.HedgeBudget
}

// member is one agent.
type member struct {
	summary message.Summary
	// unnamed is since when the leader does not name the agent; zero: it does.
	unnamed time.Time
	// stopChecks follows from planned stops.
	stopChecks bool
	targets    []*target
}

// New returns an empty table.
func New(clock clockwork.Clock, settings Settings) *Fleet {
	return &Fleet{
		clock:    clock,
		settings: settings,
		mu:       lockrank.NewMutex(lockrank.RankFleet),
		agents:   map[string]*member{},
		services: map[string]*service{},
		hedges:   map[string]routing.HedgeBudget{},
	}
}

// Apply takes in what the leader says: summaries that changed and agents that
// were lost. With all set the summaries are those of all agents that it knows.
// Others are kept for a while, because a leader that has just begun does not
// know all agents yet.
func (f *Fleet) Apply(changed []message.Summary, gone []string, all bool) {
	now := f.clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if all {
		for _, m := range f.agents {
			if m.unnamed.IsZero() {
				m.unnamed = now
			}
		}
	}
	// An agent that is in both lists was lost and has come back since.
	for _, agent := range gone {
		if m := f.agents[agent]; m != nil {
			f.forget(m)
		}
	}
	for i := range changed {
		f.update(&changed[i])
	}
}

// Sweep forgets the agents that no leader has named for long.
func (f *Fleet) Sweep() {
	limit := f.clock.Now().Add(-f.settings.Forget)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.agents {
		if !m.unnamed.IsZero() && m.unnamed.Before(limit) {
			f.forget(m)
		}
	}
}

// update takes one summary. The caller holds mu.
func (f *Fleet) update(s *message.Summary) {
	m := f.agents[s.Agent]
	if m == nil {
		m = &member{}
		f.agents[s.Agent] = m
	}
	m.unnamed = time.Time{}
	if m.summary.Agent != "" && !newer(s, &m.summary) {
		return
	}
	old := m.summary
	m.summary = *s
	f.applyStops(m)
	f.updateTargets(m, old)
}

func newer(s, old *message.Summary) bool {
	if s.Session != old.Session {
		return s.Session > old.Session
	}
	return s.Sequence > old.Sequence
}

// The caller holds mu.
func (f *Fleet) forget(m *member) {
	for _, t := range m.targets {
		t.service.remove(t)
	}
	delete(f.agents, m.summary.Agent)
}

// Get returns the latest summary of an agent.
func (f *Fleet) Get(agent string) (message.Summary, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.agents[agent]
	if m == nil {
		return message.Summary{}, false
	}
	return m.summary, true
}

// Agents returns all summaries in no particular order. Called for reports.
func (f *Fleet) Agents() []message.Summary {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make([]message.Summary, 0, len(f.agents))
	for _, m := range f.agents {
		all = append(all, m.summary)
	}
	return all
}
