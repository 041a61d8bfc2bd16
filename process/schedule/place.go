package schedule

import (
	"cmp"
	"slices"
	"time"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/request/placement"
	"camphorhead.example/camphorhead/version/profile"
)

// AgentOrders are the orders of one pass for one agent.
type AgentOrders struct {
	Agent  string
	Orders message.Orders
}

// view is the state of the agents during one pass.
type view struct {
	now    time.Time
	agents []*agentState
	nodes  []*placement.Node
	// rooms are the processors that filling tasks may still use, by image and
	// agent; they are worked out when the pass first needs them.
	rooms map[string][]int64
	loads []*fillLoad
}

// Dispatch places what waits, if anything has changed since the previous pass,
// and returns the orders of all agents.
func (t *Table) Dispatch(now time.Time) []AgentOrders {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.changedRoom && len(t.ready) > 0 {
		v := t.view(now)
		for _, c := range t.order(now) {
			t.placeStep(now, &v, c)
		}
	}
	t.changedRoom = false
	return t.takeOrders()
}

func (t *Table) view(now time.Time) view {
	v := view{now: now, agents: t.sorted, rooms: map[string][]int64{}}
	v.nodes = make([]*placement.Node, len(v.agents))
	v.loads = make([]*fillLoad, len(v.agents))
	for i, a := range v.agents {
		a.node.Open = t.open(now, a)
		a.node.FailPct, a.node.SlowPct = a.health.failPct(now), a.health.slowPct(now)
		v.nodes[i] = &a.node
	}
	return v
}

// candidate is a ready step with what orders it.
type candidate struct {
	step    *stepState
	profile profile.Profile
	due     time.Time
	// late is 1 for a job that cannot be done in time any more; it goes behind
	// those that can.
	late int
}

// order returns the ready steps: by priority, then those that can still be done
// in time, by the time at which their jobs are due.
func (t *Table) order(now time.Time) []candidate {
	list := make([]candidate, 0, len(t.ready))
	for s := range t.ready {
		p := t.policy(s.job())
		c := candidate{step: s, profile: p, due: s.job().due(p)}
		if left := time.Duration(s.chain) * time.Millisecond; now.Add(left).After(c.due) {
			c.late = 1
		}
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b candidate) int {
		if c := cmp.Compare(a.profile.Priority, b.profile.Priority); c != 0 {
			return c
		}
		if a.late != b.late {
			return cmp.Compare(a.late, b.late)
		}
		if c := a.due.Compare(b.due); c != 0 {
			return c
		}
		if c := cmp.Compare(a.step.job().def.ID, b.step.job().def.ID); c != 0 {
			return c
		}
		return cmp.Compare(a.step.index, b.step.index)
	})
	return list
}

// policy returns the profile of a job. One that was removed stays in force for
// the jobs that it accepted.
func (t *Table) policy(j *jobState) profile.Profile {
	if p, ok := t.cfg.Profile(j.def.Profile); ok {
		return p
	}
	return profile.Profile{
		Name: j.def.Profile, Service: j.def.Service, Priority: j.def.Priority, MaxAttempts: j.def.MaxAttempts,
	}
}

// due is when a job should have ended.
func (j *jobState) due(p profile.Profile) time.Time {
	objective := p.ObjectiveStretch*float64(j.chain) + float64(p.ObjectiveMs)
	return j.known.Add(time.Duration(objective) * time.Millisecond)
}

// chains returns for each step the longest chain of estimated work from it on,
// in milliseconds.
func chains(steps []job.Step) []int64 {
	longest := make([]int64, len(steps))
	for i := len(steps) - 1; i >= 0; i-- {
		longest[i] += steps[i].EstimateMs
		for _, before := range steps[i].After {
			longest[before] = max(longest[before], longest[i])
		}
	}
	return longest
}

// crowdAfter is how long a step of filling tasks waits for idle processors
// before one of its tasks is placed beside others.
const crowdAfter = 1500 * time.Millisecond

// chainMs is the longest chain of estimated work from a step on.
func (s *stepState) chainMs() int64 {
	steps := s.job().def.Steps
	longest := make([]int64, len(steps))
	for i := len(steps) - 1; i >= s.index; i-- {
		longest[i] += steps[i].EstimateMs
		for _, before := range steps[i].After {
			longest[before] = max(longest[before], longest[i])
		}
	}
	return longest[s.index]
}

// placeStep places as many tasks of a step as there is room for.
func (t *Table) placeStep(now time.Time, v *view, c candidate) {
	s := c.step
	if s.def.Gang {
		t.placeGang(now, v, c)
		return
	}
	ask := askFor(s, c.profile.Service)
	if s.def.Fills {
		rooms := t.fillRooms(v, s.def.Image)
		ask.FillRoom = func(i int) int64 { return rooms[i] }
	}
	ask.Crowd = now.Sub(s.readyAt) > crowdAfter && len(s.onAgent) == 0
	onlyRack := ""
	if s.def.SameRack {
		onlyRack = t.rackOf(s)
	}
	for i := range s.tasks {
		task := &s.tasks[i]
		if task.phase != taskWaiting {
			continue
		}
		ask.OnlyRack = onlyRack
		at := t.pick(&ask, v, task)
		if at < 0 && onlyRack != "" {
			ask.OnlyRack = "" // slower on several racks is better than not at all
			at = t.pick(&ask, v, task)
		}
		if at < 0 {
			return // the other tasks of the step need the same
		}
		if s.def.Fills {
			t.refill(v, at)
			ask.Crowd = false
		}
		t.assign(now, task, v.agents[at])
		if s.def.SameRack && onlyRack == "" {
			onlyRack = v.nodes[at].Rack
		}
	}
}

func askFor(s *stepState, service string) placement.Ask {
	return placement.Ask{
		Service: service, Label: s.def.Label, Rack: s.def.Rack, Charge: s.def.Charge(),
		MilliCPU: s.def.Need.MilliCPU, Fills: s.def.Fills, Serves: s.def.TargetMs > 0, Spread: s.def.Spread,
	}
}

func (t *Table) pick(ask *placement.Ask, v *view, task *taskState) int {
	return placement.Pick(ask, v.nodes,
		func(i int) int { return task.step.onAgent[v.agents[i].id] },
		func(i int) bool { return slices.Contains(task.avoid, v.agents[i].id) })
}

// rackOf returns the rack of the active tasks of a step, if there are any.
func (t *Table) rackOf(s *stepState) string {
	for id := range s.onAgent {
		if a := t.agents[id]; a != nil {
			return a.worker.Rack
		}
	}
	return ""
}

// assign orders the next run of a task at an agent.
func (t *Table) assign(now time.Time, task *taskState, a *agentState) {
	t.assignRun(now, task, a, max(task.lastRun, task.step.job().baseRun)+1)
}

func (t *Table) assignRun(now time.Time, task *taskState, a *agentState, number uint32) {
	task.step.pending--
	run := t.activate(now, task, a, number)
	a.starts = append(a.starts, run)
	if task.step.pending == 0 {
		delete(t.ready, task.step)
	}
	t.cfg.Log.Emit(event.RunPlaced, "task", task.id().String(), "run", number, "agent", a.id,
		"wait_ms", now.Sub(task.step.readyAt).Milliseconds(), "age_ms", now.Sub(a.reported).Milliseconds(),
		"workers", len(t.agents))
}

// placeGang places all tasks of a gang or none of them. All members have the
// same run number and resume from the same checkpoint.
func (t *Table) placeGang(now time.Time, v *view, c candidate) {
	s := c.step
	if s.pending < s.left {
		return // members of an earlier run have not ended yet
	}
	var number uint32
	for i := range s.tasks {
		number = max(number, s.tasks[i].lastRun)
	}
	number = max(number, s.job().baseRun) + 1
	racks := []string{""}
	if s.def.SameRack {
		racks = t.racks(v)
	}
	for _, rack := range racks {
		if at := t.planGang(v, c, rack); at != nil {
			t.startGang(now, v, s, at, number)
			return
		}
	}
}

// racks returns all racks, and last the choice of several racks.
func (t *Table) racks(v *view) []string {
	var racks []string
	for _, n := range v.nodes {
		if !slices.Contains(racks, n.Rack) {
			racks = append(racks, n.Rack)
		}
	}
	return append(racks, "")
}

// planGang returns a worker for each member, or nil when they do not all fit.
func (t *Table) planGang(v *view, c candidate, rack string) []int {
	s := c.step
	ask := askFor(s, c.profile.Service)
	ask.OnlyRack = rack
	nodes := make([]*placement.Node, len(v.nodes))
	for i, n := range v.nodes {
		trial := *n
		nodes[i] = &trial
	}
	count := map[int]int{}
	var at []int
	for range s.left {
		i := placement.Pick(&ask, nodes, func(i int) int { return count[i] }, func(int) bool { return false })
		if i < 0 {
			return nil
		}
		count[i]++
		nodes[i].Used = nodes[i].Used.Add(ask.Charge)
		at = append(at, i)
	}
	return at
}

func (t *Table) startGang(now time.Time, v *view, s *stepState, at []int, number uint32) {
	checkpoint := ""
	for i := range s.tasks {
		if s.tasks[i].checkpoint != "" {
			checkpoint = s.tasks[i].checkpoint
		}
	}
	n := 0
	for i := range s.tasks {
		task := &s.tasks[i]
		if task.phase != taskWaiting {
			continue
		}
		task.checkpoint = checkpoint
		t.assignRun(now, task, v.agents[at[n]], number)
		n++
	}
}

// takeOrders collects what has to be sent.
func (t *Table) takeOrders() []AgentOrders {
	var list []AgentOrders
	for _, a := range t.agents {
		if len(a.starts) == 0 && len(a.stops) == 0 && len(a.adopted) == 0 {
			continue
		}
		o := message.Orders{Term: t.cfg.Term, Session: a.session, Recorded: a.recorded}
		a.told = a.recorded
		for _, run := range a.adopted {
			o.Adopted = append(o.Adopted, startOrder(run))
		}
		for _, run := range a.starts {
			o.Starts = append(o.Starts, startOrder(run))
			j := run.task.step.job()
			if j.inputAt[a.id] != a.session {
				j.inputAt[a.id] = a.session
				o.Inputs = append(o.Inputs, message.JobInput{Job: j.def.ID, Input: j.def.Input})
			}
		}
		for _, key := range a.stops {
			o.Stops = append(o.Stops, message.StopRun{Key: key})
		}
		a.starts, a.stops, a.adopted = nil, nil, nil
		list = append(list, AgentOrders{Agent: a.id, Orders: o})
	}
	return list
}

func startOrder(run *runState) message.StartRun {
	def := run.task.step.def
	return message.StartRun{
		Key: run.key(), Need: def.Need, Charge: def.Charge(), Checkpoint: run.task.checkpoint,
		Image: def.Image, TargetMs: def.TargetMs, Fills: def.Fills, Lasts: def.Lasts,
		Profile: run.task.step.job().def.Profile,
	}
}
