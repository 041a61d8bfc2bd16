package schedule

import (
	"slices"
	"time"

	"camphorhead.example/camphorhead/process/event"
)

// requeueRestored requeues the unfinished tasks of earlier terms once no agent can have a
// run of them that is not in the table: each agent of the previous term has reported, or
// its leases are known to have expired. As for sessions, that takes a confirmation of the
// term: a newer leader may have extended the leases.
func (t *Table) requeueRestored(now time.Time) {
	for agent, until := range t.unconfirmedAgents {
		switch {
		case !now.After(until):
		case t.termConfirmedAt.Before(until):
			t.awaitsTermConfirmation = true
		default:
			delete(t.unconfirmedAgents, agent)
			t.unconfirmedExpired = true
			t.lapsedAgents++
			t.cfg.Log.Emit(event.EarlierAgentLapsed, "term", t.cfg.Term, "agent", agent, "wait_ms", now.Sub(t.createdAt).Milliseconds())
		}
	}
	if len(t.unconfirmedAgents) > 0 {
		return
	}
	requeued := 0
	for _, s := range t.restoredSteps {
		for i := range s.tasks {
			if task := &s.tasks[i]; task.phase == taskUnknown {
				if t.unconfirmedExpired {
					// Ends of runs from earlier terms no longer count if their agent
					// reports them now: their leases have expired.
					task.lastExpiredRun = max(task.lastExpiredRun, s.job().baseRun)
				}
				task.phase = taskWaiting
				s.pending++
				requeued++
			}
		}
		t.updateReady(now, s)
	}
	t.restoredSteps = nil
	if requeued > 0 {
		t.cfg.Log.Emit(event.RestoredTasksRequeued, "term", t.cfg.Term, "tasks", requeued, "lapsed", t.lapsedAgents,
			"wait_ms", now.Sub(t.createdAt).Milliseconds())
	}
}

// LimitPreviousLeases records that the runs of the previous term's agents are known to
// have ended by until at the latest, and reports whether that shortens a wait.
func (t *Table) LimitPreviousLeases(until time.Time) (shortened bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for agent, old := range t.unconfirmedAgents {
		if until.Before(old) {
			t.unconfirmedAgents[agent], shortened = until, true
		}
	}
	return shortened
}

// Settled reports whether no agent may have a run of an earlier term that is not in the
// table. Once true after Restore, it stays true.
func (t *Table) Settled() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.unconfirmedAgents) == 0
}

// SetRegistered sets the agents that the store is known to contain. Only these get new
// runs.
func (t *Table) SetRegistered(agents []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.registered = map[string]bool{}
	t.needsPass = true
	for _, id := range agents {
		t.registered[id] = true
	}
	t.storedAgentCount = len(agents)
}

// DurableAgentsChanged reports whether the agents that the store must contain differ
// from those of the last SetRegistered.
func (t *Table) DurableAgentsChanged() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, changed := t.durableAgents()
	return changed
}

// TakeDurableAgents returns the agents that the store must contain. If changed is set,
// the caller writes the list and then calls SetRegistered. Agents that are not in the
// list get no new runs from now on, whether the write succeeds or not: the next leader
// does not wait for agents that the store does not contain.
func (t *Table) TakeDurableAgents() (agents []string, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	agents, changed = t.durableAgents()
	if changed {
		for id := range t.registered {
			if !slices.Contains(agents, id) {
				delete(t.registered, id)
			}
		}
	}
	return agents, changed
}

// durableAgents returns the sorted ids of the agents that may have runs, and whether they
// differ from those in the store. An agent without runs whose worker drains gets none, so the
// next leader need not wait for it, which may have left by then.
func (t *Table) durableAgents() (agents []string, changed bool) {
	agents = []string{}
	for id, a := range t.agents {
		if a.worker.Draining && len(a.runs) == 0 {
			continue
		}
		agents = append(agents, id)
		changed = changed || !t.registered[id]
	}
	for id := range t.unconfirmedAgents {
		if t.agents[id] == nil {
			agents = append(agents, id)
		}
	}
	slices.Sort(agents)
	return agents, changed || len(agents) != t.storedAgentCount
}
