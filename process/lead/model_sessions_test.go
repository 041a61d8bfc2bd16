package lead

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/request/job"
)

// inContact reports whether an agent reports to the newest leader, whose transactions are confirmed.
func (m *leaderModel) inContact(a *modelAgent) bool {
	if a.leader == nil || !a.reportsTo(a.leader) || a.fault != linkWorks || a.awaitsReply || !a.leader.running() {
		return false
	}
	l, store := a.leader.term(), a.leader.store
	return l != nil && l.number == m.newest && !store.cut && store.fault == commitWorks && l.mu.pending == nil && !l.resigning.Load()
}

// restartWorker restarts the worker of an agent that reports to the newest leader. Calls to the
// instance before start the same runs again, with the longest lease. The agent reports that, and
// the leader has written it before anything else happens. It reports false if that is not possible now.
func (m *leaderModel) restartWorker(a *modelAgent) bool {
	if !m.inContact(a) {
		return false
	}
	l, now := a.leader.term(), m.clock.Now()
	a.expire(now)
	a.startedMs++
	a.restartLeaseEnd = now.Add(m.longestWorkerLease())
	m.report(a)
	l.write(m.t.Context())
	return a.leader != nil && l.mu.pending == nil
}

// loseStart makes an agent that reports to the newest leader end a run. The next start of the task has
// no response, its agent goes silent, and the leader has written that before anything else happens.
func (m *leaderModel) loseStart(a *modelAgent, delay time.Duration) bool {
	if len(a.runs) == 0 || m.maxWorkerLease == 0 || !m.inContact(a) {
		return false
	}
	keys := slices.SortedFunc(maps.Keys(a.runs), func(x, y job.RunKey) int { return cmp.Compare(x.Task.Index, y.Task.Index) })
	delete(a.runs, keys[0])
	a.ends = append(a.ends, message.RunEnd{Key: keys[0], How: job.EndStopped})
	m.startDelay, m.lateAgent = delay, nil
	m.report(a)
	m.startDelay = 0
	if m.lateAgent == nil {
		return false
	}
	m.lateAgent.mode = linkCut
	m.lateAgent.drop()
	m.advance(modelSilence)
	return true
}

// longestWorkerLease is the longest lease of a slow worker by the leaders' clocks.
func (m *leaderModel) longestWorkerLease() time.Duration {
	return m.maxWorkerLease * (100 + modelWorkerSlowPercent) / 100
}

// report sends the report of an agent that is due, and applies the reply.
func (m *leaderModel) report(a *modelAgent) {
	if a.mode == linkCut || a.mode == linkPaused || a.awaitsReply {
		return
	}
	if a.leader == nil || a.leader.node != a.node {
		a.drop()
		m.findLeader(a)
	}
	if a.leader == nil {
		return
	}
	sent := m.clock.Now()
	e, node, r := a.leader, a.node, a.buildReport(sent)
	fault := a.fault
	switch fault {
	case reportLost, reportLate, replyLost, replyLate:
		a.fault = linkWorks
	}
	switch {
	case fault == reportLate:
		m.hold(a.faultDelay, func() {
			if e.node == node && e.running() {
				m.reply(node, r)
			}
		})
		a.drop()
		return
	case fault == reportLost || !e.running():
		a.drop()
		return
	}
	reply := m.reply(node, r)
	defer m.dispatch(e)
	switch fault {
	case replyLost:
		a.drop()
	case replyLate:
		a.awaitsReply = true
		m.hold(a.faultDelay, func() {
			a.awaitsReply = false
			if a.node == node && a.session == r.Session {
				a.applyReply(m.clock.Now(), sent, r, &reply)
			}
		})
	default:
		a.applyReply(sent, sent, r, &reply)
	}
}

// reply returns what Node.handleReport replies.
func (m *leaderModel) reply(n *Node, r *message.Report) message.ReportReply {
	l := n.ownTerm.Load()
	if l == nil {
		leader := n.Leader()
		return message.ReportReply{Term: leader.Term, Leader: leader.Address}
	}
	return l.applyReport(m.t.Context(), nil, r)
}

// findLeader makes an agent follow a leader that it reaches and whose term is not below the
// highest that it has seen.
func (m *leaderModel) findLeader(a *modelAgent) {
	var found *modelEntry
	for _, e := range m.entries {
		l := e.term()
		if l == nil || !e.running() || l.number < a.term {
			continue
		}
		if found == nil || (l.number > found.term().number) == (a.mode == linkNewest) {
			found = e
		}
	}
	switch {
	case found != nil && a.fault == oldTermNamed:
		a.fault = linkWorks
		a.follow(found, a.term)
	case found != nil:
		a.follow(found, found.term().number)
	}
}

// sendOrders takes the orders of a leader and passes them to the agents. The newest leader must
// not order a run of a task while another one may be alive.
func (m *leaderModel) sendOrders(e *modelEntry, l *leaderTerm) {
	for _, o := range l.table.Dispatch(m.clock.Now()) {
		for _, start := range o.Orders.Starts {
			if l.number == m.newest {
				m.requireNoOther(start.Key, fmt.Sprintf("term %d orders a run at %s", l.number, o.Agent))
			}
		}
		for _, a := range m.agents {
			if a.id == o.Agent && a.leader == e && a.node == e.node && a.session == o.Orders.Session {
				m.sendTo(a, &o.Orders)
			}
		}
	}
}

func (m *leaderModel) sendTo(a *modelAgent, o *message.Orders) {
	fault := a.fault
	if fault == orderLost || fault == orderLate {
		a.fault = linkWorks
	}
	switch {
	case fault == orderLost:
		a.drop()
	case fault == orderLate || a.mode == linkPaused:
		m.hold(a.faultDelay, func() { m.applyOrders(a, o) })
	default:
		m.applyOrders(a, o)
	}
}

func (m *leaderModel) applyOrders(a *modelAgent, o *message.Orders) {
	now := m.clock.Now()
	a.expire(now)
	switch {
	case a.leader == nil || a.session != o.Session:
		return
	case a.mode == linkPaused:
		m.hold(a.faultDelay, func() { m.applyOrders(a, o) })
		return
	}
	for _, stop := range o.Stops {
		if a.runs[stop.Key] {
			delete(a.runs, stop.Key)
			a.ends = append(a.ends, message.RunEnd{Key: stop.Key, How: job.EndStopped})
		}
	}
	for _, start := range o.Starts {
		if now.After(a.leaseEnd) || a.restartLeaseEnd.After(a.leaseEnd) {
			a.refused = append(a.refused, message.RunRefusal{Key: start.Key, Reason: message.RefusedLease})
			continue
		}
		m.requireNoOther(start.Key, a.id+" starts a run")
		if m.startDelay > 0 {
			begins := now.Add(m.startDelay)
			a.late[start.Key] = lateRun{begins, begins.Add(m.longestWorkerLease())}
			m.startDelay, m.lateAgent = 0, a
			continue
		}
		a.runs[start.Key] = true
	}
}

// requireNoOther fails if another run of a task may be alive.
func (m *leaderModel) requireNoOther(k job.RunKey, what string) {
	for _, a := range m.agents {
		for other := range a.runs {
			if other.Task == k.Task && other != k && a.alive(m.clock.Now(), other) {
				m.t.Fatalf("%s: %s, %d of task %s, while run %d is alive at %s until %s", m.now(), what, k.Run, k.Task,
					other.Run, a.id, a.leaseEnd.Sub(m.clock.Now()))
			}
		}
		for other, r := range a.late {
			if other.Task == k.Task && other != k && !m.clock.Now().After(r.ends) {
				m.t.Fatalf("%s: %s, %d of task %s, while run %d may begin at %s, and last for %s", m.now(), what, k.Run, k.Task,
					other.Run, a.id, r.ends.Sub(m.clock.Now()))
			}
		}
	}
}
