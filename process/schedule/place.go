package schedule

import (
	"slices"
	"time"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/request/placement"
	"camphorhead.example/camphorhead/request/quota"
	"camphorhead.example/camphorhead/request/resources"
)

const (
	// sharingDelay is how long a step of filling tasks waits for idle processors
	// before one of its tasks may share the processors of other filling tasks.
	sharingDelay = 1500 * time.Millisecond
	// longPass is the duration beyond which a pass delays the next one, so that long
	// passes take at most 1/passTimeDivisor of the time.
	longPass        = 5 * time.Millisecond
	passTimeDivisor = 5
)

// AgentOrders are orders for one agent that fit into one frame.
type AgentOrders struct {
	Agent  string
	Orders message.Orders
}

// view is the state of the agents and teams during one scheduling pass, for which Table.mu
// stays locked. Indexes of workers are indexes into agents.
type view struct {
	now                        time.Time
	agents                     []*agentState
	nodes                      []*placement.Node           // of agents, in the same order
	exhausted                  map[placementClass]struct{} // classes for which this pass has found no worker
	urgentReserve              *placement.Reserve          // capacity kept free for urgent work; nil before its first use
	reservedWorkers            map[int]struct{}            // see Table.reserveWorker
	ranking                    *placement.Ranking          // for the step that is being placed; nil: none
	fullRack                   string                      // without a place for the step that is being placed; empty: none known
	offers                     map[offerKey]*rackOffer     // as far as this pass has needed them
	teams                      map[string]quota.Team
	unmetDemand, unmetTaskNeed map[string]resources.Resources // as in quotas, for this pass
}

// placementClass holds the properties that tasks which fit on the same workers share.
type placementClass struct {
	service, label, rack, region, image, profile     string
	need                                             resources.Resources
	fills, sharesProcessors, serves, nothingWithheld bool // nothingWithheld: Request.Reserved is nil
	unlimitedAttempts                                bool
}

// Dispatch runs a scheduling pass if a change since the previous one allows new
// placements, and returns the unsent orders of all agents; one with many has several entries.
// While cancellations may be missing, it places nothing and holds back unsent starts.
func (t *Table) Dispatch(now time.Time) []AgentOrders {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return nil
	}
	mayStart := t.mayOrderStarts(now)
	if mayStart && t.needsPass && (len(t.ready) > 0 || t.departing.any()) && !now.Before(t.passNotBefore) {
		t.pass(now)
	}
	return t.takeOrders(mayStart)
}

func (t *Table) pass(now time.Time) {
	if t.departing.any() {
		t.placeMoved(now) // before the view, which contains the use of the teams
	}
	v := t.view(now)
	list := t.candidates(now)
	lasting := len(list) // up to the last long-running step
	for lasting > 0 && !list[lasting-1].step.def.LongRunning {
		lasting--
	}
	for _, c := range list[:lasting] {
		t.placeStep(now, &v, c)
	}
	if t.departing.any() {
		t.moveDeparting(&v)
	}
	for _, c := range list[lasting:] {
		t.placeStep(now, &v, c)
	}
	t.reclaimBorrowed(&v)
	t.needsPass, t.departing.unfinished = t.departing.unfinished, false
	end := t.cfg.Clock.Now()
	if took := end.Sub(now); took > longPass {
		t.passNotBefore = end.Add((passTimeDivisor - 1) * took)
	}
}

// view returns the state at the start of a pass. It updates the node of each agent.
func (t *Table) view(now time.Time) view {
	v := view{
		now: now, agents: t.sortedAgents, reservedWorkers: map[int]struct{}{}, exhausted: map[placementClass]struct{}{},
		teams: t.teams(), unmetDemand: map[string]resources.Resources{}, unmetTaskNeed: map[string]resources.Resources{},
	}
	v.nodes = make([]*placement.Node, len(v.agents))
	for i, a := range v.agents {
		a.node.Open = t.schedulable(now, a) && !a.health.ejected
		a.node.FailPct = a.health.failPct(now)
		v.nodes[i] = &a.node
	}
	return v
}

// placeStep places the tasks of a step that fit, and requests advice for the others.
func (t *Table) placeStep(now time.Time, v *view, c candidate) {
	s := c.step
	defer t.requestAdvice(v, c)
	if s.def.Gang {
		t.placeGang(now, v, c)
		return
	}
	if t.failIfNeverFits(now, s) {
		return
	}
	req := t.placementRequest(v, c)
	v.ranking, v.fullRack = nil, ""
	class := placementClassOf(&req, s)
	if _, exhausted := v.exhausted[class]; exhausted {
		t.recordSkippedDemand(v, s)
		return
	}
	onlyRack := ""
	if s.def.SameRack {
		onlyRack = t.rackOf(s)
	}
	for i := range s.tasks {
		task := &s.tasks[i]
		if task.phase != taskWaiting {
			continue
		}
		if t.useReservation(now, task) {
			v.ranking = nil
			continue
		}
		at, overQuota, waits := t.placeTask(v, &req, task, onlyRack)
		if overQuota {
			return
		}
		switch {
		case waits:
			continue
		case at < 0 && s.def.LongRunning:
			t.reserveWorker(v, &req, task)
			continue
		case at < 0 && req.Excluded != nil:
			continue // other tasks of the step may exclude fewer workers
		case at < 0:
			if s.def.Spread == 0 && onlyRack == "" && req.Ineligible == nil {
				v.exhausted[class] = struct{}{}
			}
			return // the other tasks of the step have the same requirements
		}
		if s.def.Fills {
			req.Oversubscribe = false
		}
		if s.def.SameRack && onlyRack == "" {
			onlyRack = v.nodes[at].Rack
		}
	}
}

// placeTask places one task and returns the index of its worker, or -1. For an urgent task
// that fits nowhere it preempts others. overQuota is set if the task must wait for its
// team's quota, waits if it waits for a worker on its rack.
func (t *Table) placeTask(v *view, req *placement.Request, task *taskState, onlyRack string) (at int, overQuota, waits bool) {
	j := task.step.job()
	grant := v.quotaGrant(j, req.Charge)
	if grant == quota.Refused {
		return -1, true, false
	}
	req.OnlyRack, req.Excluded = onlyRack, v.excluded(task)
	if t.waitsForPlace(v, req, task, onlyRack) {
		return -1, false, true
	}
	at = t.pick(req, v, task)
	if at < 0 && onlyRack != "" {
		req.OnlyRack = "" // a step on several racks is slower, but it runs
		at = t.pick(req, v, task)
	}
	switch r := j.def.Request; {
	case at >= 0:
		v.recordPlacement(j, at, req.Charge)
		cost := 0.0
		if req.InterferenceCost != nil {
			cost = req.InterferenceCost(at)
		}
		t.assign(v.now, task, v.agents[at], cost)
		t.updateOffers(v, at, task)
		if v.ranking != nil {
			v.ranking.Update(at)
		}
	case r != nil && r.Urgent:
		t.preemptFor(v, task)
		v.ranking = nil
	case grant == quota.WithinQuota:
		v.recordUnmetDemand(j, req.Charge)
	}
	return at, false, false
}

const (
	// minAvoidTime is how long the workers on which a task has failed are excluded for
	// it; it doubles with each failure up to maxAvoidTime.
	minAvoidTime = 250 * time.Millisecond
	maxAvoidTime = 2 * time.Second
)

// excluded returns a predicate that is true for workers on which the task has failed; nil
// when the time for avoiding them is over. A worker on which all runs fail has free
// capacity again at once, and would use up all attempts of the task.
func (v *view) excluded(task *taskState) func(i int) bool {
	if len(task.avoidedAgents) == 0 {
		return nil
	}
	failures := task.step.job().progress.FailuresOf(task.id())
	wait := min(minAvoidTime<<min(max(failures-1, 0), 8), maxAvoidTime)
	if v.now.Sub(task.endedAt) >= wait {
		return nil
	}
	return func(i int) bool { return slices.Contains(task.avoidedAgents, v.agents[i].id) }
}

// recordSkippedDemand records the demand of a step that is skipped because its class of
// tasks found no worker in this pass.
func (t *Table) recordSkippedDemand(v *view, s *stepState) {
	if j := s.job(); v.quotaGrant(j, s.def.Charge()) == quota.WithinQuota {
		v.recordUnmetDemand(j, s.def.Charge())
	}
}

// recordPlacement takes the need of a task from the urgent reserve and its team's quota,
// as far as this pass considers them.
func (v *view) recordPlacement(j *jobState, at int, need resources.Resources) {
	if v.urgentReserve != nil {
		v.urgentReserve.Deduct(at, need)
	}
	if r := j.def.Request; r != nil && r.Team != "" {
		team := v.teams[r.Team]
		team.Used = team.Used.Add(need)
		v.teams[r.Team] = team
	}
}

// placementRequest returns the placement requirements that the tasks of a step have in common.
func (t *Table) placementRequest(v *view, c candidate) placement.Request {
	s := c.step
	req := placement.Request{
		Service: c.profile.Service, Label: s.def.Label, Rack: s.def.Rack, Charge: s.def.Charge(),
		MilliCPU: s.def.Need.MilliCPU, Fills: s.def.Fills, Serves: s.def.TargetMs > 0, Spread: s.def.Spread,
		Oversubscribe: v.now.Sub(s.readyAt) > sharingDelay && len(s.onAgent) == 0,
	}
	if s.def.Fills {
		class := t.fillClassOf(s)
		cache := t.fillCostsOf(class)
		req.FillHeadroom = func(i int) int64 { return t.loadOf(v.now, v.agents[i]).idleMilliCPU }
		req.InterferenceCost = func(i int) float64 { return t.fillCost(v, cache, i, class) }
		req.MaxInterferenceCost = t.costLimit(v.now, c)
	}
	req.Ineligible = t.withoutTicket(v, c)
	if len(v.reservedWorkers) > 0 && !s.def.LongRunning {
		req.Reserved = v.isReserved
	}
	r := s.job().def.Request
	if r == nil {
		return req
	}
	req.Service, req.Region = "", r.Region
	name := s.job().def.Profile
	if t.pairings.Len() > 0 {
		req.Slowdown = func(i int) float64 { return t.expectedSlowdown(v.agents[i], name) }
	}
	if !r.Urgent {
		if v.urgentReserve == nil {
			v.urgentReserve = placement.NewReserve(v.nodes)
		}
		req.Reserved = func(i int) bool { return v.urgentReserve.Blocks(i, req.Charge) || v.isReserved(i) }
	}
	return req
}

// reserveWorker keeps other tasks off one worker for the rest of the pass, for a
// long-running task that fits nowhere now: short tasks would take free capacity as soon as
// it appears. It chooses the worker with the fewest processors in use among those where
// the task fits beside the long-running ones. Filling tasks are kept off for their memory.
func (t *Table) reserveWorker(v *view, req *placement.Request, task *taskState) {
	best := -1
	for i, a := range v.agents {
		node := a.node
		node.Open = t.schedulable(v.now, a) && !a.health.ejected
		node.Used = a.longRunningUsage()
		withinSpread := req.Spread == 0 || task.step.onAgent[a.id] < req.Spread
		if v.isReserved(i) || !withinSpread || !req.Fits(&node) || (req.Ineligible != nil && req.Ineligible(i)) {
			continue
		}
		if best < 0 || a.node.Used.MilliCPU < v.agents[best].node.Used.MilliCPU {
			best = i
		}
	}
	if best >= 0 {
		v.reservedWorkers[best] = struct{}{}
	}
}

func (v *view) isReserved(i int) bool {
	_, reserved := v.reservedWorkers[i]
	return reserved
}

func (a *agentState) longRunningUsage() resources.Resources {
	var use resources.Resources
	for _, run := range a.runs {
		if run.task.step.def.LongRunning {
			use = use.Add(run.task.step.def.Charge())
		}
	}
	return use
}

// placementClassOf sets the profile only if workers are rated by the slowdown it causes.
func placementClassOf(a *placement.Request, s *stepState) placementClass {
	class := placementClass{
		service: a.Service, label: a.Label, rack: a.Rack, region: a.Region, image: s.def.Image,
		need: s.def.Need, fills: a.Fills, sharesProcessors: a.Oversubscribe, serves: a.Serves, nothingWithheld: a.Reserved == nil,
		unlimitedAttempts: s.unlimitedAttempts(),
	}
	if a.Slowdown != nil {
		class.profile = s.job().def.Profile
	}
	return class
}

// pick returns the index of the worker for a task, or -1. Unless the request is urgent, a
// worker that is due for a trial start comes first; an ejected one comes last.
func (t *Table) pick(req *placement.Request, v *view, task *taskState) int {
	if req.Reserved != nil || req.Region == "" {
		if at := t.trialWorker(v, req, task); at >= 0 {
			return at
		}
	}
	if at := t.pickRanked(req, v, task); at >= 0 {
		return at
	}
	return t.resortWorker(v, req, task)
}

// pickRanked is placement.Pick, with the ranking of the step if the task has no workers of its own to
// avoid.
func (t *Table) pickRanked(req *placement.Request, v *view, task *taskState) int {
	if req.Reserved != nil || req.Excluded != nil || len(task.avoidedAgents) > 0 {
		return placement.Pick(req, v.nodes, v.runsOf(task.step), task.avoids(v))
	}
	if v.ranking == nil || !v.ranking.Matches(req) {
		v.ranking = placement.NewRanking(req, v.nodes, v.runsOf(task.step))
	}
	return v.ranking.Best()
}

// rackOf returns the rack of the step's active tasks; empty if there are none.
func (t *Table) rackOf(s *stepState) string {
	if t.cfg.Features.MaxPlaceWait > 0 {
		return t.mainRack(s)
	}
	for id := range s.onAgent {
		if a := t.agents[id]; a != nil {
			return a.worker.Rack
		}
	}
	return ""
}

// assign orders the next run of a task at an agent. cost is the number of serving tasks
// that the run is expected to bring over their target.
func (t *Table) assign(now time.Time, task *taskState, a *agentState, cost float64) {
	t.assignRun(now, task, a, max(task.lastRun, task.step.job().baseRun)+1, cost)
}

// assignRun is assign with a given run number.
func (t *Table) assignRun(now time.Time, task *taskState, a *agentState, number uint32, cost float64) {
	task.step.pending--
	run := t.activate(now, task, a, number)
	run.ticket, _ = task.step.validTicket(now, a)
	a.pendingStarts = append(a.pendingStarts, run)
	if task.step.pending == 0 {
		delete(t.ready, task.step)
	}
	t.shares.Charge(task.step.fairnessItem())
	t.measurePlaced(now, task)
	t.endPlaceWait(now, task, a)
	t.recordStart(now, task.step)
	t.cfg.Log.Emit(event.RunPlaced, "task", task.id().String(), "run", number, "agent", a.id,
		"milli_cpu", task.step.def.Need.MilliCPU, "image", task.step.def.Image, "wait_ms", now.Sub(task.step.readyAt).Milliseconds(), "age_ms", now.Sub(a.reportedAt).Milliseconds(),
		"workers", len(t.agents), "harm_percent", int(100*cost))
}
