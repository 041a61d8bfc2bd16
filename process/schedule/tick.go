package schedule

import "time"

// passInterval is the longest pause between two attempts to place what waits.
const passInterval = 100 * time.Millisecond

// Tick does what follows from the passing of time. The leader calls it every
// few tens of milliseconds.
func (t *Table) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unconfirmed = false
	for _, a := range t.agents {
		if end := t.certainEnd(a.reported); now.After(end) {
			if t.confirmed.Before(end) {
				t.unconfirmed = true
				continue
			}
			t.lapse(now, a)
		}
	}
	for j := range t.later {
		t.openDue(now, j)
	}
	if len(t.unproven) > 0 {
		t.prove(now)
	}
	t.passStarts(now)
	if now.Sub(t.passedAt) >= passInterval {
		// What opens with time alone: a worker after a refusal, a serving task
		// whose load falls.
		t.passedAt, t.changedRoom = now, true
	}
}

// Confirm takes in that no other term had begun at a time. An agent counts as
// lost only after that: it may have moved to the leader of a newer term, and its
// tasks must not start once more here.
func (t *Table) Confirm(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at.After(t.confirmed) {
		t.confirmed = at
	}
}

// Unconfirmed reports whether the loss of an agent waits for Confirm.
func (t *Table) Unconfirmed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.unconfirmed
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
