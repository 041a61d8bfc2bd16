// Package fleet is an entry's table of agents: their summaries and the health of
// their targets, by which it routes checks.
//
// The leader sends the changes of the agents to every entry. Guarantees: a summary is
// replaced only by one of a newer session, or of the same session with a higher
// sequence; an agent that is draining or covered by a planned stop gets no new checks.
// One mutex guards the table; no method blocks while holding it.
package fleet

import (
	"time"

	"github.com/jonboulle/clockwork"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/process/lockrank"
	"camphorhead.example/camphorhead/request/routing"
	"camphorhead.example/camphorhead/version/profile"
)

// Settings configures a Fleet.
type Settings struct {
	Health HealthSettings
	// UnlistedRetention is how long an agent is kept that a new leader has not listed.
	UnlistedRetention time.Duration
}

// DefaultSettings returns the settings of production.
func DefaultSettings() Settings {
	return Settings{Health: DefaultHealthSettings(), UnlistedRetention: 30 * time.Second}
}

// Fleet is the table of agents. All methods are safe for concurrent use.
type Fleet struct {
	clock    clockwork.Clock
	settings Settings

	mu       lockrank.Mutex // guards all fields below and everything they point to
	agents   map[string]*member
	services map[string]*service
	stops    []profile.Stop
	retries  routing.RetryBudget            // of the process
	hedges   map[string]routing.HedgeBudget // by profile
}

// member is one agent.
type member struct {
	summary message.Summary
	// unlistedSince is when a leader's full list first lacked the agent; zero: listed.
	unlistedSince time.Time
	// plannedStop is set if a planned stop covers the agent or its targets.
	plannedStop bool
	targets     []*target
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

// Apply applies an update from the leader: changed summaries and the IDs of removed
// agents. If all is set, changed lists all agents that the leader knows; the others are
// kept for Settings.UnlistedRetention, because a leader whose term has just begun does
// not know all agents yet.
func (f *Fleet) Apply(changed []message.Summary, removed []string, all bool) {
	now := f.clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if all {
		for _, m := range f.agents {
			if m.unlistedSince.IsZero() {
				m.unlistedSince = now
			}
		}
	}
	// An agent that is in both lists was removed and has joined again since.
	for _, agent := range removed {
		if m := f.agents[agent]; m != nil {
			f.remove(m)
		}
	}
	for i := range changed {
		f.update(&changed[i])
	}
}

// Sweep removes the agents that have been unlisted for Settings.UnlistedRetention.
func (f *Fleet) Sweep() {
	limit := f.clock.Now().Add(-f.settings.UnlistedRetention)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.agents {
		if !m.unlistedSince.IsZero() && m.unlistedSince.Before(limit) {
			f.remove(m)
		}
	}
}

// update marks an agent as listed and stores a newer summary. The caller holds mu.
func (f *Fleet) update(s *message.Summary) {
	m := f.agents[s.Agent]
	if m == nil {
		m = &member{}
		f.agents[s.Agent] = m
	}
	m.unlistedSince = time.Time{}
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
func (f *Fleet) remove(m *member) {
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

// Agents returns all summaries in no particular order, for status reports.
func (f *Fleet) Agents() []message.Summary {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make([]message.Summary, 0, len(f.agents))
	for _, m := range f.agents {
		all = append(all, m.summary)
	}
	return all
}
