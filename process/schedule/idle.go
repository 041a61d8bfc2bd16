package schedule

import (
	"slices"
	"time"

	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/request/placement"
)

const (
	idleScanInterval = 500 * time.Millisecond
	// idleLogDelay is how long a long-running task may be idle before that is logged. Users
	// expect it to run within seconds; an ordinary restart takes less.
	idleLogDelay = 3 * time.Second
	// maxIdleLines bounds the lines about single idle tasks in a second: a leader may hold all
	// tasks at once.
	maxIdleLines = 20
)

// IdleState is why a long-running task is idle, that is, has no confirmed run although its
// job has not ended and the steps before its own are done.
type IdleState uint8

// The states of idle tasks.
const (
	IdleHeld        IdleState = iota // an agent of an earlier term may have a run of the task
	IdleWaiting                      // waits for a worker
	IdleUnconfirmed                  // a run is ordered or adopted, and its worker has not confirmed it
	IdleOrphaned                     // earlier runs that must end have not ended yet
	IdleUnresolved                   // a silent agent had a run that was never confirmed and may begin late
	idleStates
)

func (s IdleState) String() string {
	return [...]string{"held", "waiting", "unconfirmed", "orphaned", "unresolved"}[s]
}

// IdleCounts holds the number of idle tasks in each state.
type IdleCounts [idleStates]int

// idleTracker finds the idle tasks of a table.
type idleTracker struct {
	steps       []idleStep // long-running steps of jobs that have not ended
	scannedAt   time.Time
	counts      IdleCounts // at scannedAt
	windowStart time.Time  // of the second in which lines were written
	lines       int
}

type idleStep struct {
	step     *stepState
	episodes []idleEpisode // by index of the task
}

// idleEpisode is a time during which each scan has found a task idle; since is zero
// otherwise.
type idleEpisode struct {
	since, stateSince time.Time
	state             IdleState
	logged            uint8 // one bit for each state
}

// observe updates an episode and reports whether it must be logged: once it has lasted
// idleLogDelay, and again if the task then stays in another state as long. A held task that
// waits for a worker afterwards has two lines, one that is placed at once has only the first.
func (e *idleEpisode) observe(now time.Time, state IdleState) (due bool) {
	switch {
	case e.since.IsZero():
		*e = idleEpisode{since: now, stateSince: now, state: state}
	case e.state != state:
		e.state, e.stateSince = state, now
	}
	since := e.stateSince
	if e.logged == 0 {
		since = e.since
	}
	if e.logged&(1<<state) != 0 || now.Sub(since) < idleLogDelay {
		return false
	}
	e.logged |= 1 << state
	return true
}

func (k *idleTracker) add(s *stepState) {
	k.steps = append(k.steps, idleStep{s, make([]idleEpisode, len(s.tasks))})
}

// scanIdle counts the idle tasks and logs those that have been idle for idleLogDelay, at most
// once per idleScanInterval.
func (t *Table) scanIdle(now time.Time) {
	k := &t.idle
	if now.Sub(k.scannedAt) < idleScanInterval {
		return
	}
	k.scannedAt, k.counts = now, IdleCounts{}
	if now.Sub(k.windowStart) >= time.Second {
		k.windowStart, k.lines = now, 0
	}
	k.steps = slices.DeleteFunc(k.steps, func(s idleStep) bool {
		return s.step.tasksLeft == 0 || s.step.job().state.Terminal()
	})
	var unlogged IdleCounts
	for i := range k.steps {
		if k.steps[i].step.unmetDependencies == 0 {
			t.scanIdleStep(now, &k.steps[i], &unlogged)
		}
	}
	for state, n := range unlogged {
		if n > 0 {
			t.cfg.Log.Emit(event.TasksIdle, "term", t.cfg.Term, "state", IdleState(state).String(), "tasks", n)
		}
	}
}

// scanIdleStep adds tasks that are due beyond maxIdleLines to unlogged.
func (t *Table) scanIdleStep(now time.Time, s *idleStep, unlogged *IdleCounts) {
	for i := range s.episodes {
		task, episode := &s.step.tasks[i], &s.episodes[i]
		state, idle := task.idleState()
		if !idle {
			episode.since = time.Time{}
			continue
		}
		t.idle.counts[state]++
		switch {
		case !episode.observe(now, state):
		case t.idle.lines >= maxIdleLines:
			unlogged[state]++
		default:
			t.idle.lines++
			t.logIdle(now, task, state, now.Sub(episode.since))
		}
	}
}

func (task *taskState) idleState() (state IdleState, idle bool) {
	switch {
	case task.phase == taskUnknown:
		return IdleHeld, true
	case task.phase == taskWaiting:
		return IdleWaiting, true
	case task.phase == taskActive && task.run == nil && task.unresolved != nil:
		return IdleUnresolved, true
	case task.phase == taskActive && task.run == nil:
		return IdleOrphaned, true
	case task.phase == taskActive && task.run.confirmedAt.IsZero():
		return IdleUnconfirmed, true
	}
	return 0, false
}

func (t *Table) logIdle(now time.Time, task *taskState, state IdleState, wait time.Duration) {
	fields := []any{"term", t.cfg.Term, "task", task.id().String(), "state", state.String(), "wait_ms", wait.Milliseconds()}
	switch state {
	case IdleHeld:
		fields = append(fields, "agent", t.firstUnconfirmedAgent(), "agents", len(t.unconfirmedAgents))
	case IdleWaiting:
		open, excluded := t.countRoom(now, task)
		fields = append(fields, "workers", open, "excluded", excluded)
	case IdleUnconfirmed:
		a := task.run.agent
		fields = append(fields, "agent", a.id, "agents", 1, "run", task.run.number,
			"reachable", a.worker.Reachable, "age_ms", now.Sub(a.reportedAt).Milliseconds())
	case IdleUnresolved:
		fields = append(fields, "agent", task.unresolved.agent, "agents", 1, "run", task.unresolved.run)
	}
	t.cfg.Log.Emit(event.TaskIdle, fields...)
}

// firstUnconfirmedAgent returns the least id of the agents that are waited for.
func (t *Table) firstUnconfirmedAgent() (first string) {
	for id := range t.unconfirmedAgents {
		if first == "" || id < first {
			first = id
		}
	}
	return first
}

// countRoom returns how many workers have free capacity for a task and may take it, and how
// many have it but are ejected, paused after a refusal, or avoided by the task. Reservations,
// quotas and the policy service are not considered.
func (t *Table) countRoom(now time.Time, task *taskState) (open, excluded int) {
	v := view{now: now, agents: t.sortedAgents}
	avoided := v.excluded(task)
	s := task.step
	req := placement.Request{Label: s.def.Label, Charge: s.def.Charge()}
	if s.job().def.Request == nil {
		req.Service = t.profileOf(s.job()).Service
	}
	for i, a := range v.agents {
		node := a.node
		node.Open = t.available(now, a)
		withinSpread := s.def.Spread == 0 || s.onAgent[a.id] < s.def.Spread
		switch {
		case !withinSpread || !req.Fits(&node):
		case a.health.ejected || now.Before(a.pausedUntil) || avoided != nil && avoided(i):
			excluded++
		default:
			open++
		}
	}
	return open, excluded
}
