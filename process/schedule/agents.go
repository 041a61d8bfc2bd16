package schedule

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/request/placement"
	"camphorhead.example/camphorhead/request/resources"
)

// agentState is an agent with its worker as the leader knows them.
type agentState struct {
	id       string
	address  string
	location message.Location
	session  uint64
	sequence uint64
	reported time.Time
	worker   message.WorkerInfo
	node     placement.Node
	runs     map[job.RunKey]*runState
	ends     []pendingEnd
	recorded uint64 // serial up to which all ends are durable
	told     uint64 // what the agent was told of recorded
	starts   []*runState
	stops    []job.RunKey
	adopted  []*runState
	// heldBack is until when nothing is placed after a refusal.
	heldBack time.Time
	health   health
	// serving are the latest readings of the serving tasks, by run.
	serving map[job.RunKey]reading
}

// pendingEnd is an end that is acknowledged once its job is durable.
type pendingEnd struct {
	serial  uint64
	job     *jobState
	version uint64
}

// Report takes in what an agent reports. The reply grants the lease.
func (t *Table) Report(now time.Time, r *message.Report) message.ReportReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	reply := message.ReportReply{Term: t.cfg.Term}
	a := t.agents[r.Agent]
	if a == nil || a.session != r.Session {
		if !r.Full || (a != nil && a.session > r.Session) {
			reply.NeedFull = true
			return reply
		}
		a = t.attach(a, r)
	} else if r.Sequence <= a.sequence {
		return reply // a copy that was overtaken
	}
	a.sequence = r.Sequence
	a.reported = now
	if r.Worker != nil {
		t.updateWorker(a, r.Worker)
	}
	for i := range r.Running {
		t.noteRunning(now, a, &r.Running[i], r.Full)
	}
	t.learn(now, a, r.Running)
	for i := range r.Ends {
		t.noteEnd(now, a, &r.Ends[i])
	}
	for i := range r.Refused {
		t.noteRefusal(now, a, &r.Refused[i])
	}
	if r.Full {
		t.reconcile(now, a, r)
		delete(t.unproven, a.id)
		t.prove(now)
	}
	a.advance()
	reply.LeaseMs = t.cfg.Lease.Milliseconds()
	reply.Recorded, a.told = a.recorded, a.recorded
	return reply
}

// Knows reports whether all jobs that a report names are in the table.
func (t *Table) Knows(r *message.Report) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range r.Running {
		if t.jobs[r.Running[i].Key.Task.Job] == nil {
			return false
		}
	}
	for i := range r.Ends {
		if t.jobs[r.Ends[i].Key.Task.Job] == nil {
			return false
		}
	}
	return true
}

// attach begins a session. Runs of the previous session of the same agent stay
// until its full report tells what has become of them.
func (t *Table) attach(old *agentState, r *message.Report) *agentState {
	a := old
	if a == nil {
		a = &agentState{id: r.Agent, runs: map[job.RunKey]*runState{}, serving: map[job.RunKey]reading{}}
		t.agents[r.Agent] = a
		t.sortAgents()
	}
	a.address, a.location, a.session = r.Address, r.Location, r.Session
	a.sequence, a.ends, a.recorded, a.told = 0, nil, 0, 0
	a.starts, a.stops, a.adopted = nil, nil, nil
	t.cfg.Log.Emit(event.AgentJoined, "agent", a.id, "session", a.session, "address", a.address)
	return a
}

func (t *Table) updateWorker(a *agentState, w *message.WorkerInfo) {
	if w.BornMs != a.worker.BornMs {
		a.health = health{}
	}
	a.worker = *w
	t.changedRoom = true
	a.node.Service, a.node.Labels, a.node.Rack = w.Service, w.Labels, w.Rack
	a.node.Region, a.node.Capacity = a.location.Region, w.Capacity
}

// open reports whether tasks may be placed at an agent.
func (t *Table) open(now time.Time, a *agentState) bool {
	return a.worker.Present && !a.worker.Draining && t.registered[a.id] &&
		now.Sub(a.reported) < quietAfter*t.cfg.Heartbeat && !now.Before(a.heldBack)
}

// quietAfter is the number of heartbeats without a report after which an agent
// gets no new work.
const quietAfter = 3

// noteRunning takes in a run that an agent holds.
func (t *Table) noteRunning(now time.Time, a *agentState, s *message.RunState, full bool) {
	run := a.runs[s.Key]
	if run == nil {
		if !full {
			return // its end or its stop is under way
		}
		if run = t.adopt(now, a, s.Key); run == nil {
			if run = t.adoptStray(a, s.Key); run == nil {
				return
			}
		}
	}
	if full && run.stopping {
		a.stops = append(a.stops, s.Key) // the order of the previous session may be lost
	}
	if full {
		a.adopted = append(a.adopted, run) // the agent may know nothing but its key
	}
	run.pace = s.PacePct
	if s.Checkpoint != "" {
		run.task.checkpoint = s.Checkpoint
	}
	run.milliCPU = s.MilliCPU
	if s.ProgressPct != run.progress {
		run.progress, run.progressAt = s.ProgressPct, now
	}
}

// adopt takes a run of an earlier term or session into the table; it is nil
// for a run that must end.
func (t *Table) adopt(now time.Time, a *agentState, key job.RunKey) *runState {
	task := t.task(key.Task)
	if task == nil || task.step.job().state.Terminal() || task.phase == taskDone {
		return nil
	}
	if task.run != nil && task.run.agent != a && !task.step.def.Speculative {
		return nil // it was ordered elsewhere after this one had certainly ended
	}
	if task.run != nil {
		if task.run.number >= key.Run {
			return nil
		}
		t.release(task.run)
	}
	if task.phase == taskWaiting {
		task.step.pending--
		t.consider(now, task.step)
	}
	return t.activate(now, task, a, key.Run)
}

// adoptStray orders the end of a run that must not go on. It holds its part of
// the worker until its end is listed. It is nil for a run of an unknown task.
func (t *Table) adoptStray(a *agentState, key job.RunKey) *runState {
	task := t.task(key.Task)
	if task == nil {
		a.stops = append(a.stops, key)
		return nil // the agent starts nothing beside a run of unknown size
	}
	run := &runState{task: task, number: key.Run, agent: a, stopping: true, stray: true, pace: fullPace}
	a.runs[key] = run
	t.occupy(run, 1)
	return run
}

// occupy adds a run to what its worker holds, or takes it off with -1.
func (t *Table) occupy(run *runState, sign int64) {
	node, def := &run.agent.node, run.task.step.def
	charge := def.Charge()
	node.Used = node.Used.Add(resources.Resources{
		MilliCPU: sign * charge.MilliCPU, MemoryMB: sign * charge.MemoryMB, Accelerators: sign * charge.Accelerators,
	})
	if def.Fills {
		node.FillMilliCPU += sign * def.Need.MilliCPU
	}
	if def.TargetMs > 0 {
		node.Serving += int(sign)
		node.ServingMilliCPU += sign * def.Need.MilliCPU
	}
}

// activate notes a run of a task at an agent.
func (t *Table) activate(now time.Time, task *taskState, a *agentState, number uint32) *runState {
	run := &runState{task: task, number: number, agent: a, ordered: now, progressAt: now, pace: fullPace}
	task.phase, task.run, task.lastRun = taskActive, run, max(task.lastRun, number)
	a.runs[run.key()] = run
	t.occupy(run, 1)
	task.step.onAgent[a.id]++
	j := task.step.job()
	if !j.began {
		j.began = true
		t.waiting[j.def.Profile]--
	}
	if j.state == job.Accepted {
		j.state = job.Running
		t.publish(j)
	}
	return run
}

// fullPace is the pace of a run that is not throttled, in percent.
const fullPace = 100

// release takes a run that is dead off its agent and its task.
func (t *Table) release(run *runState) {
	a := run.agent
	if a.runs[run.key()] != run {
		return
	}
	delete(a.runs, run.key())
	t.occupy(run, -1)
	t.changedRoom = true
	if run.task.step.def.TargetMs > 0 {
		delete(a.serving, run.key())
		t.pressure.Forget(run.task.id().String())
	}
	if run.stray {
		return
	}
	if run.task.step.onAgent[a.id]--; run.task.step.onAgent[a.id] == 0 {
		delete(run.task.step.onAgent, a.id)
	}
	a.starts = slices.DeleteFunc(a.starts, func(r *runState) bool { return r == run })
	if run.task.run == run {
		run.task.run = nil
	}
}

// reconcile settles the runs that the leader believes at an agent and that its
// full report does not name: they never started there and never will.
func (t *Table) reconcile(now time.Time, a *agentState, r *message.Report) {
	named := make(map[job.RunKey]bool, len(r.Running))
	for i := range r.Running {
		named[r.Running[i].Key] = true
	}
	for key, run := range a.runs {
		if named[key] {
			continue
		}
		t.release(run)
		if !run.stray {
			t.again(now, run.task)
		}
	}
}

// again lets a task wait for a worker, unless it or its job has ended.
func (t *Table) again(now time.Time, task *taskState) {
	if task.phase != taskActive || task.run != nil {
		return
	}
	task.phase, task.endedAt = taskWaiting, now
	task.step.pending++
	t.consider(now, task.step)
}

// stop orders the end of a run.
func (t *Table) stop(run *runState) {
	if run.stopping {
		return
	}
	run.stopping = true
	a := run.agent
	if i := slices.Index(a.starts, run); i >= 0 {
		// The start has not left this process.
		t.release(run)
		return
	}
	a.stops = append(a.stops, run.key())
}

// lapse notes that everything at an agent is dead.
func (t *Table) lapse(now time.Time, a *agentState) {
	t.cfg.Log.Emit(event.AgentSessionLapsed, "agent", a.id, "session", a.session, "tasks", len(a.runs))
	for _, run := range a.runs {
		run.task.lapsedRun = max(run.task.lapsedRun, run.number)
		t.release(run)
		if !run.stray {
			t.again(now, run.task)
		}
	}
	delete(t.agents, a.id)
	t.sortAgents()
}

func (t *Table) sortAgents() {
	t.sorted = slices.SortedFunc(maps.Values(t.agents), func(a, b *agentState) int { return cmp.Compare(a.id, b.id) })
	t.changedRoom = true
}

// prove lets the unfinished tasks of the previous term wait for workers once
// no agent can have a run of them that is not known.
func (t *Table) prove(now time.Time) {
	for agent, until := range t.unproven {
		if now.After(until) {
			delete(t.unproven, agent)
		}
	}
	if len(t.unproven) > 0 {
		return
	}
	for _, s := range t.restored {
		for i := range s.tasks {
			if task := &s.tasks[i]; task.phase == taskUnknown {
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

// task returns a task of a known occurrence, or nil.
func (t *Table) task(id job.TaskID) *taskState {
	j := t.jobs[id.Job]
	if j == nil || id.Occurrence < 0 || id.Occurrence >= len(j.occurrences) {
		return nil
	}
	o := j.occurrences[id.Occurrence]
	if id.Step < 0 || id.Step >= len(o.steps) || id.Index < 0 || id.Index >= len(o.steps[id.Step].tasks) {
		return nil
	}
	return &o.steps[id.Step].tasks[id.Index]
}

// advance moves the serial up to which all ends are durable.
func (a *agentState) advance() {
	n := 0
	for _, e := range a.ends {
		if e.job != nil && e.job.durable < e.version {
			break
		}
		a.recorded = e.serial
		n++
	}
	a.ends = a.ends[n:]
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
}

// Unregistered returns the agents that must be durably known, if that list has
// changed since the last NoteRegistered.
func (t *Table) Unregistered() (agents []string, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
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
	return agents, changed || len(agents) != len(t.registered)
}
