package schedule

import "time"

// passInterval is the longest time between two attempts to place waiting tasks.
const passInterval = 100 * time.Millisecond

// Tick expires sessions and unresolved starts, creates occurrences, requeues restored tasks, verifies starts and
// logs idle tasks, as they are due. The leader calls it every few tens of milliseconds.
func (t *Table) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.awaitsTermConfirmation = false
	for _, a := range t.agents {
		if end := t.safeLeaseEnd(a); now.After(end) {
			if t.termConfirmedAt.Before(end) {
				t.awaitsTermConfirmation = true
				continue
			}
			t.expireSession(now, a)
		}
	}
	t.expireUnresolved(now)
	for j := range t.futureJobs {
		t.createDue(now, j)
	}
	if len(t.unconfirmedAgents) > 0 {
		t.requeueRestored(now)
	}
	t.verifyStarts(now)
	t.scanIdle(now)
	if now.Sub(t.passForcedAt) >= passInterval {
		// Capacity may become available without any report: after the pause that follows
		// a refusal, or when the predicted load of a serving task falls.
		t.passForcedAt, t.needsPass = now, true
	}
}

// Confirmation is what has shown that a term was the newest one.
type Confirmation string

// The confirmations: a transaction of the leader, and its followers.
const (
	ConfirmedByStore     Confirmation = "store"
	ConfirmedByFollowers Confirmation = "followers"
)

// ConfirmTerm records that no newer term had begun at the given time. A session expires
// only if that time is not before the end of its lease: otherwise the agent may follow
// the leader of a newer term, and its tasks would be started a second time here.
func (t *Table) ConfirmTerm(at time.Time, by Confirmation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at.After(t.termConfirmedAt) {
		t.termConfirmedAt, t.termConfirmedBy = at, by
	}
}

// NeedsTermConfirmation reports whether the expiry of a session waits for ConfirmTerm.
func (t *Table) NeedsTermConfirmation() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.awaitsTermConfirmation
}

// Load contains the numbers of jobs, attached agents, ready steps and runs in a table, of the
// agents of earlier terms that have not reported and may still have runs, of the tasks that are held
// because of an unresolved start, and of the idle long-running tasks at the latest scan.
type Load struct {
	Jobs, Agents, Ready, Runs, UnconfirmedAgents, UnresolvedTasks int
	Idle                                                          IdleCounts
}

// Load returns the current numbers.
func (t *Table) Load() Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := Load{
		Jobs: len(t.jobs), Agents: len(t.agents), Ready: len(t.ready), UnconfirmedAgents: len(t.unconfirmedAgents),
		UnresolvedTasks: len(t.unresolvedTasks), Idle: t.idle.counts,
	}
	for _, a := range t.agents {
		l.Runs += len(a.runs)
	}
	return l
}
