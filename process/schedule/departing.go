package schedule

import (
	"slices"
	"time"

	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/process/metrics"
	"camphorhead.example/camphorhead/request/departure"
	"camphorhead.example/camphorhead/request/placement"
)

const (
	// defaultNotice is assumed if a draining worker does not tell when it leaves; maxNotice bounds
	// what it tells.
	defaultNotice = 5 * time.Second
	maxNotice     = time.Hour
	// Stops take up to 900 ms at the users' workers.
	departureStopTime   = 900 * time.Millisecond
	departureReportTime = 300 * time.Millisecond
	departureMargin     = 1.25
	// departureDeviation is that of the estimates that callers declare, as measured.
	departureDeviation = 0.9
	// moveTimeout is how long the place for a moved task is kept for it.
	moveTimeout = 3 * time.Second
	// departureLogInterval is the shortest time between two events about one worker.
	departureLogInterval = time.Second
)

// departures are the workers that have announced their departure, and the tasks on their way from
// them to others.
type departures struct {
	agents map[*agentState]*notice // nil before the first one
	moves  []*move                 // in the order of their stops
	// reviewAt is the earliest time of the next review of the runs; held are the workers that the
	// latest one has chosen to be kept free of short tasks.
	reviewAt   time.Time
	held       []*agentState
	unfinished bool // the latest review has ordered as many stops as one may
	// noRoom are the steps for which no place was found since the last review that considered all runs.
	noRoom map[*stepState]struct{}
}

func (d *departures) any() bool { return len(d.agents) > 0 || len(d.moves) > 0 }

// notice is the announcement of a worker that it leaves.
type notice struct {
	startedMs int64 // of the worker's instance
	leavesAt  time.Time
	known     bool // the worker has told the time
	// moved counts the runs that were stopped; finishing and left count the others at the latest
	// review.
	moved, finishing, left int
	loggedAt               time.Time // zero: not yet
	loggedMoved            int       // moved as last logged
	closed                 bool      // the remaining time has become too short for a stop
}

// move is a task whose run on a departing worker was stopped. It ends when its next run is confirmed,
// or after moveTimeout.
type move struct {
	task      *taskState
	run       uint32
	to        *agentState // where the room was; nil once a kept place is used or given up
	orderedAt time.Time
}

// noteDeparture updates the departures after a report about a worker. A planned stop is carried out
// by the agent, which stops all runs itself. Reports repeat an announcement that may be older than
// they are, so the earliest known time counts.
func (t *Table) noteDeparture(now time.Time, a *agentState) {
	w := &a.worker
	if !t.cfg.Features.MoveDeparting || !w.Draining {
		delete(t.departing.agents, a)
		return
	}
	for _, run := range slices.Clone(a.pendingStarts) {
		t.withdraw(now, run) // the agent would refuse it
	}
	if w.PlannedStop {
		delete(t.departing.agents, a)
		return
	}
	known := w.LeavesInMs > 0
	leavesAt := now.Add(defaultNotice)
	if known {
		leavesAt = now.Add(time.Duration(min(w.LeavesInMs, maxNotice.Milliseconds())) * time.Millisecond)
	}
	n := t.departing.agents[a]
	switch {
	case n == nil || n.startedMs != w.StartedMs:
		if t.departing.agents == nil {
			t.departing.agents = map[*agentState]*notice{}
		}
		t.departing.agents[a] = &notice{startedMs: w.StartedMs, leavesAt: leavesAt, known: known}
	case known && (!n.known || leavesAt.Before(n.leavesAt)):
		n.leavesAt, n.known = leavesAt, true
	}
}

func (t *Table) departureConfig() departure.Config {
	return departure.Config{
		StopTime: departureStopTime, ReportTime: departureReportTime, LossWait: t.cfg.Lease + t.cfg.MaxWorkerLease,
		Margin: departureMargin, Deviation: departureDeviation,
	}
}

// placeMoved places the waiting tasks for which a place is kept, before other tasks of their steps
// are found not to fit. A place that does not suit its task any more is given up.
func (t *Table) placeMoved(now time.Time) {
	for _, m := range t.departing.moves {
		_, ready := t.ready[m.task.step]
		if !ready || m.task.phase != taskWaiting || m.to == nil || m.task.reservation.agent != m.to {
			continue
		}
		to := m.to
		t.dropReservation(m.task)
		m.to = nil // a later reservation of the task at the same worker, with runs to be stopped, is not this one
		if t.suits(now, m.task, to) {
			t.assign(now, m.task, to, 0)
		}
	}
}

// suits reports whether a task may be placed at an agent by the rules for placement that can have
// changed since a place was kept there: the worker may have been replaced, ejected, or lost the
// ticket for the step.
func (t *Table) suits(now time.Time, task *taskState, a *agentState) bool {
	s := task.step
	p := t.profileOf(s.job())
	req := placement.Request{Service: p.Service, Label: s.def.Label, Charge: s.def.Charge()}
	if s.job().def.Request != nil {
		req.Service = ""
	}
	node := a.node
	node.Open = t.agents[a.id] == a && t.schedulable(now, a) && !a.health.ejected
	_, ticket := s.validTicket(now, a)
	return req.Fits(&node) && (s.def.Spread == 0 || s.onAgent[a.id] < s.def.Spread) && (p.Advice == nil || ticket)
}

// pruneMoves removes the moves that are over and the places kept for them.
func (t *Table) pruneMoves(now time.Time) {
	t.departing.moves = slices.DeleteFunc(t.departing.moves, func(m *move) bool {
		run := m.task.run
		over := m.task.phase == taskDone || m.task.step.job().state.Terminal() ||
			run != nil && run.number != m.run && !run.confirmedAt.IsZero()
		if !over && now.Sub(m.orderedAt) < moveTimeout {
			return false
		}
		if m.to != nil && m.task.reservation.agent == m.to {
			t.dropReservation(m.task)
		}
		return true
	})
}

// logDeparture logs the decisions on the runs of a departing worker: once at first, after further
// stops, and when the time has become too short for another one. What is left then is counted.
func (t *Table) logDeparture(now time.Time, a *agentState, c departure.Config) {
	n := t.departing.agents[a]
	left := n.leavesAt.Sub(now)
	closes := !n.closed && left < c.Latest()
	if closes {
		n.closed = true
		t.cfg.Meter.AddFor(metrics.DepartingTasks, departure.Leave.String(), int64(n.left))
	}
	idle := n.moved+n.finishing+n.left == 0
	repeats := !n.loggedAt.IsZero() && n.loggedMoved == n.moved && (!closes || n.left == 0)
	if idle || repeats || !closes && now.Sub(n.loggedAt) < departureLogInterval {
		return
	}
	n.loggedAt, n.loggedMoved = now, n.moved
	t.cfg.Log.Emit(event.TasksMovedOffWorker, "worker", a.worker.ID, "agent", a.id, "remaining_ms", max(left, 0).Milliseconds(),
		"moved", n.moved, "finishing", n.finishing, "left", n.left)
}
