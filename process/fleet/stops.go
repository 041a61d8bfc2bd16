package fleet

import "camphorhead.example/camphorhead/version/profile"

// SetStops applies the planned stops of the document in force. Called once for
// each version.
func (f *Fleet) SetStops(doc *profile.Document) {
	stops := make([]profile.Stop, 0, len(doc.Stops))
	for _, s := range doc.Stops {
		stops = append(stops, s)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stops = stops
	for _, m := range f.agents {
		f.applyStops(m)
	}
}

// The caller holds mu.
func (f *Fleet) applyStops(m *member) {
	m.stopChecks = false
	for _, s := range f.stops {
		at := m.summary.Location.Domain
		m.stopChecks = m.stopChecks || s.Covers(profile.ScopeWorker, m.summary.Agent, at) || s.Covers(profile.ScopeTarget, m.summary.Agent, at)
	}
}

// takesChecks reports whether the agent's targets may get a new check.
func (m *member) takesChecks() bool { return !m.summary.Draining && !m.stopChecks }
