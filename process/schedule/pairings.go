package schedule

import "camphorhead.example/camphorhead/connection/message"

// noteSummary takes in what an agent says of its worker and its targets.
func (t *Table) noteSummary(a *agentState, s *message.Summary) {
	a.summary = *s
	a.node.PressurePct = int(s.PressurePct)
	t.capacities.Add(s.Capacity)
	t.summaries[a.id] = struct{}{}
}

// slowdown returns the slowdown that a task of a profile is expected to cause
// to the checks on an agent's targets, by what agents have learned.
func (t *Table) slowdown(a *agentState, profile string) float64 {
	var worst float64
	for i := range a.summary.Services {
		worst = max(worst, t.pairings.Score(a.summary.Services[i].Service, profile))
	}
	return worst
}

// Agents returns the summaries that changed since the previous call and the
// agents that were lost.
func (t *Table) Agents() (changed []message.Summary, gone []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.summaries {
		if a := t.agents[id]; a != nil {
			changed = append(changed, a.summary)
		}
	}
	clear(t.summaries)
	gone, t.gone = t.gone, nil
	return changed, gone
}

// AllAgents returns the summaries of all agents.
func (t *Table) AllAgents() []message.Summary {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]message.Summary, 0, len(t.agents))
	for _, a := range t.sorted {
		if a.summary.Agent != "" {
			all = append(all, a.summary)
		}
	}
	return all
}
