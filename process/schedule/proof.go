package schedule

import (
	"slices"
	"time"
)

// prove lets the unfinished tasks of the previous term wait for workers once
// no agent can have a run of them that is not known.
func (t *Table) prove(now time.Time) {
	for agent, until := range t.unproven {
		if now.After(until) {
			delete(t.unproven, agent)
			t.expired = true
		}
	}
	if len(t.unproven) > 0 {
		return
	}
	for _, s := range t.restored {
		for i := range s.tasks {
			if task := &s.tasks[i]; task.phase == taskUnknown {
				if t.expired {
					// What the agent says later of runs whose leases have ended is void.
					task.lapsedRun = max(task.lapsedRun, s.job().baseRun)
				}
				task.phase = taskWaiting
				s.pending++
			}
		}
		t.consider(now, s)
	}
	t.restored = nil
}

// Shorten moves the time by which the agents of the previous term have no runs
// any more; it never moves back.
func (t *Table) Shorten(until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for agent, old := range t.unproven {
		if until.Before(old) {
			t.unproven[agent] = until
		}
	}
}

// NoteRegistered notes that agents are durably known; from now on they get work.
func (t *Table) NoteRegistered(agents []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.registered = map[string]bool{}
	t.changedRoom = true
	for _, id := range agents {
		t.registered[id] = true
	}
	t.listed = len(agents)
}

// Unregistered reports whether the agents that must be durably known are others than
// those of the last NoteRegistered.
func (t *Table) Unregistered() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, changed := t.knownAgents()
	return changed
}

// TakeAgents returns the agents that must be durably known, to be written if that
// list has changed. Those that it leaves out get no work any more, whatever becomes
// of the write: the next leader does not wait for agents that the store does not name.
func (t *Table) TakeAgents() (agents []string, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	agents, changed = t.knownAgents()
	if changed {
		for id := range t.registered {
			if !slices.Contains(agents, id) {
				delete(t.registered, id)
			}
		}
	}
	return agents, changed
}

// knownAgents returns the agents that may have runs. The caller holds mu.
func (t *Table) knownAgents() (agents []string, changed bool) {
	for id := range t.agents {
		agents = append(agents, id)
		changed = changed || !t.registered[id]
	}
	for id := range t.unproven {
		if t.agents[id] == nil {
			agents = append(agents, id)
		}
	}
	slices.Sort(agents)
	return agents, changed || len(agents) != t.listed
}
