package fleet

import "camphorhead.example/camphorhead/version/profile"

// SetStops applies the planned stops of the document in force. It is called for each
// version.
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

// applyStops sets plannedStop of an agent. The caller holds mu.
func (f *Fleet) applyStops(m *member) {
	m.plannedStop = false
	for _, s := range f.stops {
		domain := m.summary.Location.Domain
		m.plannedStop = m.plannedStop || s.Covers(profile.ScopeWorker, m.summary.Agent, domain) || s.Covers(profile.ScopeTarget, m.summary.Agent, domain)
	}
}

// acceptsChecks reports whether new checks may be sent to the agent's targets.
func (m *member) acceptsChecks() bool { return !m.summary.Draining && !m.plannedStop }
