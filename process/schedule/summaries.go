package schedule

import "camphorhead.example/camphorhead/connection/message"

// applySummary stores the state of an agent's worker and targets, and queues it for
// AgentUpdates.
func (t *Table) applySummary(a *agentState, s *message.Summary) {
	a.summary = *s
	a.node.PressurePct = int(s.PressurePct)
	t.capacities.Add(s.Capacity)
	t.changedSummaries[a.id] = struct{}{}
}

// expectedSlowdown returns the largest slowdown of checks on the agent's targets that a
// task of the profile is expected to cause, by the pairings that agents reported. 1 means
// that checks take twice as long.
func (t *Table) expectedSlowdown(a *agentState, profile string) float64 {
	var worst float64
	for i := range a.summary.Services {
		worst = max(worst, t.pairings.Score(a.summary.Services[i].Service, profile))
	}
	return worst
}

// AgentUpdates returns the summaries that changed and the ids of the agents that were
// removed since the previous call.
func (t *Table) AgentUpdates() (changed []message.Summary, removed []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.changedSummaries {
		if a := t.agents[id]; a != nil {
			changed = append(changed, a.summary)
		}
	}
	clear(t.changedSummaries)
	removed, t.removedAgents = t.removedAgents, nil
	return changed, removed
}

// AgentSummaries returns the summaries of all agents that have reported one, by id.
func (t *Table) AgentSummaries() []message.Summary {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]message.Summary, 0, len(t.agents))
	for _, a := range t.sortedAgents {
		if a.summary.Agent != "" {
			all = append(all, a.summary)
		}
	}
	return all
}
