package schedule

import (
	"time"

	"camphorhead.example/camphorhead/process/event"
)

// requeueRestored requeues the unfinished tasks of earlier terms once no agent can have a
// run of them that is not in the table: each agent of earlier terms has reported, or
// its leases are known to have expired. As for sessions, that takes a confirmation of the
// term: a newer leader may have extended the leases.
func (t *Table) requeueRestored(now time.Time) {
	for agent, lease := range t.unconfirmedAgents {
		switch {
		case t.agents[agent] != nil: // it has not reported all of its ends yet
		case !now.After(lease.End):
		case t.termConfirmedAt.Before(lease.End):
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

// EarlierLease bounds the leases that an agent may hold from leaders of earlier terms.
type EarlierLease struct {
	End time.Time // by which they are known to have ended
	// Earliest bounds End from below when LimitEarlierLeases shortens it, for the leases of leaders
	// before the previous one; zero: there are none.
	Earliest time.Time
	Withheld bool // as in AgentLease
	// Missing: the agent had not reported to the previous leader either, and is likely to stay away.
	Missing bool
}

// LimitEarlierLeases records that the leases which the leader of the previous term has granted
// are known to have ended by until, and reports whether that shortens a wait. Those of leaders
// before it may last longer.
func (t *Table) LimitEarlierLeases(until time.Time) (shortened bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for agent, lease := range t.unconfirmedAgents {
		end := until
		if end.Before(lease.Earliest) {
			end = lease.Earliest
		}
		if end.Before(lease.End) {
			lease.End = end
			t.unconfirmedAgents[agent], shortened = lease, true
		}
	}
	return shortened
}
