package schedule

import "time"

// passInterval is the longest pause between two attempts to place what waits.
const passInterval = 100 * time.Millisecond

// Tick does what follows from the passing of time. The leader calls it every
// few tens of milliseconds.
func (t *Table) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range t.agents {
		if now.After(t.certainEnd(a.reported)) {
			t.lapse(now, a)
		}
	}
	for j := range t.later {
		t.openDue(now, j, false)
	}
	if len(t.unproven) > 0 {
		t.prove(now)
	}
	if now.Sub(t.passedAt) >= passInterval {
		// What opens with time alone: a worker after a refusal, a serving task
		// whose load falls.
		t.passedAt, t.changedRoom = now, true
	}
}

// Load is a summary of the table for status pages and metrics.
type Load struct {
	Jobs, Agents, Ready, Runs, Unproven int
}

// Load returns the summary.
func (t *Table) Load() Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := Load{Jobs: len(t.jobs), Agents: len(t.agents), Ready: len(t.ready), Unproven: len(t.unproven)}
	for _, a := range t.agents {
		l.Runs += len(a.runs)
	}
	return l
}
