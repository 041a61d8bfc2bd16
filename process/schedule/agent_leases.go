package schedule

import (
	"slices"
	"strings"
	"time"

	"camphorhead.example/camphorhead/request/job"
)

// AgentLeases lists the agents that may have runs, or ends that are not durable, for the leader of
// the next term: it waits for them or for the end of their leases before it places tasks of earlier
// terms.
type AgentLeases struct {
	Term uint64 `msgpack:"t"` // of the leader that made the list
	// Closed: that leader grants no lease any more.
	Closed bool         `msgpack:"c,omitempty"`
	Agents []AgentLease `msgpack:"a"` // by id
	// Unresolved are the starts by which runs may still begin, although the next leader may take the
	// leases of their agents as ended before.
	Unresolved []UnresolvedStart `msgpack:"u,omitempty"` // by task
}

// UnresolvedStart is a start in AgentLeases that its agent has not reported as confirmed.
type UnresolvedStart struct {
	Task  job.TaskID `msgpack:"t"`
	Run   uint32     `msgpack:"r"`
	Agent string     `msgpack:"i,omitempty"` // empty: several agents; only time resolves the start
	// EndsInMs is as in AgentLease, for the run that may begin.
	EndsInMs int64 `msgpack:"e"`
}

// AgentLease is an agent in AgentLeases.
type AgentLease struct {
	Agent string `msgpack:"i"`
	// EndsInMs is the time in milliseconds, from when the list was made, by which leases that had
	// been granted until then are known to have ended. It is 0 for an agent that has reported to
	// the leader of an open list: no earlier leader's grant counts any more.
	EndsInMs int64 `msgpack:"e,omitempty"`
	// RestartEndsInMs is as EndsInMs, for the leases of the agent's worker that were not given to it
	// under a leader's grant, but in calls to an earlier instance. It is 0 if a lease that the leader
	// of the list grants now ends later.
	RestartEndsInMs int64 `msgpack:"f,omitempty"`
	// WorkerStartedMs identifies the instance of the worker that RestartEndsInMs is about.
	WorkerStartedMs int64 `msgpack:"s,omitempty"`
	// Withheld: the agent is missing, and neither the leader that made the list nor a later one
	// grants it a lease before the store contains a list of its own term without this mark.
	Withheld bool `msgpack:"w,omitempty"`
}

// sameExceptTimes reports whether a list differs from the stored one in times at most, and in
// leases that have ended and starts that have been resolved since then.
func (l *AgentLeases) sameExceptTimes(stored *AgentLeases) bool {
	for _, u := range l.Unresolved {
		if !slices.ContainsFunc(stored.Unresolved, func(s UnresolvedStart) bool {
			return s.Task == u.Task && s.Run == u.Run && s.Agent == u.Agent
		}) {
			return false
		}
	}
	return l.Term == stored.Term && l.Closed == stored.Closed && slices.EqualFunc(l.Agents, stored.Agents, func(a, b AgentLease) bool {
		sameRestart := a.RestartEndsInMs == 0 || b.RestartEndsInMs != 0 && a.WorkerStartedMs == b.WorkerStartedMs
		return a.Agent == b.Agent && a.Withheld == b.Withheld && sameRestart
	})
}

const (
	// leasesRefresh is the time after which the times in the stored list are written again, along
	// with another transaction.
	leasesRefresh = 250 * time.Millisecond
	// withholdDivisor gives the part of a lease after which an agent that has not reported to a
	// new leader counts as missing. Most agents report within a second of a change.
	withholdDivisor = 4
)

// SetRegistered records that the store contains a list of TakeAgentLeases. Its agents get leases
// and new runs, except those whose leases are withheld.
func (t *Table) SetRegistered(list AgentLeases) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.storedLeases, t.listed, t.registered, t.needsPass = list, true, map[string]bool{}, true
	for _, a := range list.Agents {
		if !a.Withheld {
			t.registered[a.Agent] = true
			delete(t.withheld, a.Agent)
		}
	}
}

// AgentLeasesChanged reports whether the store must contain another list than that of the last
// SetRegistered. storeServes is as for TakeAgentLeases.
func (t *Table) AgentLeasesChanged(now time.Time, storeServes bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.agentLeases(now, storeServes)
	return !list.sameExceptTimes(&t.storedLeases)
}

// TakeAgentLeases returns the list that the store must contain. If changed is set, the caller
// writes it and then calls SetRegistered; until then it is not known which agents the list in the
// store contains. From now on agents that are not in the list get no new runs, and those whose
// leases are withheld no leases either, whether the write succeeds or not: the next leader relies
// on that. storeServes is set unless the last transaction has failed: in an outage of the store no
// further leases are withheld, since they would stay so until its end.
func (t *Table) TakeAgentLeases(now time.Time, storeServes bool) (list AgentLeases, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	list = t.agentLeases(now, storeServes)
	if list.sameExceptTimes(&t.storedLeases) {
		equal := slices.Equal(list.Agents, t.storedLeases.Agents) && slices.Equal(list.Unresolved, t.storedLeases.Unresolved)
		refresh := !equal && now.Sub(t.leasesTakenAt) >= leasesRefresh
		if refresh {
			t.leasesTakenAt = now
		}
		return list, refresh
	}
	t.leasesTakenAt, t.storedLeases = now, AgentLeases{}
	may := map[string]bool{}
	for _, a := range list.Agents {
		may[a.Agent] = !a.Withheld
		if a.Withheld {
			t.withheld[a.Agent] = true
		}
	}
	for id := range t.registered {
		if !may[id] {
			delete(t.registered, id)
		}
	}
	return list, true
}

// Close ends the grants of leases and the orders of this table, so that the list of agents tells
// the next leader when the leases end.
func (t *Table) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
}

// ClosedDurably reports whether the store is known to contain the list of a closed table.
func (t *Table) ClosedDurably() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.storedLeases.Closed
}

// agentLeases returns the list of the agents that may have runs, or ends that are not durable. An
// agent without either whose worker drains gets no runs, so the next leader need not wait for it,
// which may have left by then.
// One whose lease is pending is listed all the same: it reports until it has the lease.
func (t *Table) agentLeases(now time.Time, storeServes bool) AgentLeases {
	list := AgentLeases{Term: t.cfg.Term, Closed: t.closed, Unresolved: t.listUnresolved(now)}
	for id, a := range t.agents {
		_, unconfirmed := t.unconfirmedAgents[id] // it has not reported all of its ends yet
		if a.worker.Draining && len(a.runs) == 0 && len(a.ends) == 0 && !unconfirmed && !t.withheld[id] {
			continue
		}
		lease := AgentLease{Agent: id}
		if t.closed {
			lease.EndsInMs = remainingMs(now, t.safeLeaseEnd(a))
		} else if a.restartLeaseEnd.After(t.safeGrantEnd(a)) {
			lease.RestartEndsInMs, lease.WorkerStartedMs = remainingMs(now, a.restartLeaseEnd), a.worker.StartedMs
		}
		list.Agents = append(list.Agents, lease)
	}
	mayMark := storeServes && t.listed
	late := now.Sub(t.restoredAt) >= t.cfg.Lease/withholdDivisor
	for id, lease := range t.unconfirmedAgents {
		if t.agents[id] != nil {
			continue
		}
		list.Agents = append(list.Agents, AgentLease{
			Agent: id, EndsInMs: remainingMs(now, lease.End), Withheld: t.withheld[id] || mayMark && (late || lease.Missing),
		})
	}
	slices.SortFunc(list.Agents, func(a, b AgentLease) int { return strings.Compare(a.Agent, b.Agent) })
	return list
}

// remainingMs returns the time until end, at least 1 ms.
func remainingMs(now, end time.Time) int64 {
	return max(int64((end.Sub(now)+time.Millisecond-1)/time.Millisecond), 1)
}
