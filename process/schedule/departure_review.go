package schedule

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"camphorhead.example/camphorhead/process/metrics"
	"camphorhead.example/camphorhead/request/departure"
	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/request/placement"
	"camphorhead.example/camphorhead/request/resources"
)

const (
	// The following bound the processor time for departing workers. With 80 of 240 leaving at once,
	// a review without a bound of the moves took 56 ms, and one without a bound of the searches 17 ms
	// in a full fleet.
	reviewInterval       = 20 * time.Millisecond
	maxMovesPerReview    = 64
	maxSearchesPerReview = 96 // each looks at all workers
	// maxHeldDivisor gives the share of the workers that are kept free of short tasks because no
	// worker has room for the long-running tasks of departing ones.
	maxHeldDivisor = 8
	// maxHoldNotice is the remaining time from which on workers are kept free: with a longer one, room
	// is likely to appear without that.
	maxHoldNotice = 30 * time.Second
)

// departureReview is the decision on all runs on departing workers in one pass.
type departureReview struct {
	t      *Table
	v      *view
	config departure.Config
	moving map[*stepState]int // tasks that are off work because they are being moved
	left   map[*stepState]int // long-running tasks that are still to be moved
	gangs  map[*stepState]departure.Decision
	// fillPromised holds the processors that moved filling tasks will request at their new workers;
	// promises count as used during the review.
	fillPromised map[*agentState]int64
	promises     []promise
	// longRunning is the capacity that long-running tasks use at each worker; nil before its first use.
	longRunning []resources.Resources
	ordered     int // moves
	searches    int // for a place

	// The fields below are for the step whose runs are decided on.
	step     *stepState
	request  placement.Request
	ranking  *placement.Ranking  // nil: none
	onTheWay map[*agentState]int // tasks for which a place is kept
}

// moveDeparting decides on the runs on departing workers and orders the stops. It is called in a pass
// after the waiting long-running tasks have been placed, which have no run at all.
func (t *Table) moveDeparting(v *view) {
	if v.now.Before(t.departing.reviewAt) {
		t.holdWorkers(v)
		return
	}
	t.departing.reviewAt = v.now.Add(reviewInterval)
	if len(t.departing.noRoom) == 0 {
		t.departing.held = nil
	}
	t.pruneMoves(v.now)
	r := &departureReview{
		t: t, v: v, config: t.departureConfig(), moving: map[*stepState]int{}, left: map[*stepState]int{},
		gangs: map[*stepState]departure.Decision{}, fillPromised: map[*agentState]int64{},
	}
	if t.departing.noRoom == nil {
		t.departing.noRoom = map[*stepState]struct{}{}
	}
	for _, m := range t.departing.moves {
		r.moving[m.task.step]++
		if def := m.task.step.def; m.to != nil && (def.Fills || def.Gang) {
			r.promise(m.task.step, m.to)
		}
	}
	for _, run := range r.collect() {
		n := t.departing.agents[run.agent]
		d := r.decide(run, n.leavesAt.Sub(v.now))
		switch d {
		case departure.Finish:
			n.finishing++
		case departure.Move:
			n.moved++
		default:
			n.left++
		}
		if d != run.departure && d != departure.Leave {
			t.cfg.Meter.AddFor(metrics.DepartingTasks, d.String(), 1)
		}
		run.departure = d
	}
	for _, a := range slices.SortedFunc(maps.Keys(t.departing.agents), compareAgents) {
		t.logDeparture(v.now, a, r.config)
	}
	for _, p := range r.promises {
		p.to.node.Used = p.to.node.Used.Sub(p.charge)
	}
	t.holdWorkers(v)
	v.ranking = nil // the reserved places have changed the scores
	if r.ordered >= maxMovesPerReview {
		t.departing.reviewAt, t.departing.unfinished = v.now, true
	}
	if r.searches < maxSearchesPerReview && r.ordered < maxMovesPerReview {
		clear(t.departing.noRoom) // all runs were considered, so the next review begins anew
	}
}

// promise is the capacity that a moved filling task or member of a gang will use at a worker. No place
// is kept for it beyond a review: it is placed by the load at the end of its run, and gangs as a whole.
type promise struct {
	to     *agentState
	charge resources.Resources
}

func (r *departureReview) promise(s *stepState, to *agentState) {
	if s.def.Fills {
		r.fillPromised[to] += s.def.Need.MilliCPU
	}
	to.node.Used = to.node.Used.Add(s.def.Charge())
	r.promises = append(r.promises, promise{to, s.def.Charge()})
}

// holdWorkers keeps short tasks off the workers that the latest review has chosen for long-running
// tasks of departing ones.
func (t *Table) holdWorkers(v *view) {
	for i, a := range v.agents {
		if slices.Contains(t.departing.held, a) {
			v.reservedWorkers[i] = struct{}{}
		}
	}
}

func compareAgents(a, b *agentState) int { return cmp.Compare(a.id, b.id) }

// collect returns the runs to decide on: long-running ones first, then by the departure of their
// worker. Runs that are not confirmed may be refused yet, and those at silent workers cannot be
// stopped.
func (r *departureReview) collect() []*runState {
	var runs []*runState
	for a, n := range r.t.departing.agents {
		n.finishing, n.left = 0, 0
		if r.silent(a) {
			continue
		}
		for _, run := range a.runs {
			if run.stopping || run.orphaned || run.confirmedAt.IsZero() || run.task.run != run {
				continue
			}
			runs = append(runs, run)
			if run.task.step.def.LongRunning {
				r.left[run.task.step]++
			}
		}
	}
	slices.SortFunc(runs, func(a, b *runState) int {
		as, bs := a.task.step, b.task.step
		if as.def.LongRunning != bs.def.LongRunning {
			if as.def.LongRunning {
				return -1
			}
			return 1
		}
		return cmp.Or(
			r.t.departing.agents[a.agent].leavesAt.Compare(r.t.departing.agents[b.agent].leavesAt),
			cmp.Compare(as.job().def.ID, bs.job().def.ID), cmp.Compare(as.occurrence.index, bs.occurrence.index),
			cmp.Compare(as.index, bs.index), cmp.Compare(a.task.index, b.task.index),
		)
	})
	return runs
}

// silent reports whether a stop that is ordered at an agent may have no effect in time.
func (r *departureReview) silent(a *agentState) bool {
	return !a.worker.Reachable || r.v.now.Sub(a.reportedAt) >= maxMissedReports*r.t.cfg.ReportInterval
}

// decide decides on one run and orders its stop if it is moved. A gang is decided on as a whole, with
// the first of its members.
func (r *departureReview) decide(run *runState, left time.Duration) departure.Decision {
	s := run.task.step
	if s.def.Gang {
		d, decided := r.gangs[s]
		if !decided {
			d = departure.Decide(r.config, r.describe(run), left, func() bool { return r.moveGang(s) })
			r.gangs[s] = d
		}
		return d
	}
	return departure.Decide(r.config, r.describe(run), left, func() bool { return r.move(run, left) })
}

func (r *departureReview) describe(run *runState) departure.Run {
	def, now := run.task.step.def, r.v.now
	d := departure.Run{
		LongRunning: def.LongRunning, Checkpoints: def.Checkpoints, Age: now.Sub(run.orderedAt),
		Expected: r.t.expectedRunTime(run.task.step),
	}
	if !def.LongRunning {
		d.ProgressPct, d.ProgressAge = run.progressPct, now.Sub(run.progressAt)
	}
	return d
}

// move orders the stop of a run if there is room for its task elsewhere, and keeps that place free
// for it, except for a filling task, which is placed by the load at the end of the run. It reports
// whether it did.
func (r *departureReview) move(run *runState, left time.Duration) bool {
	s := run.task.step
	if _, none := r.t.departing.noRoom[s]; none || !r.mayMove() {
		return false
	}
	if s.def.LongRunning && r.moving[s] >= r.config.Concurrent(r.moving[s]+r.left[s], s.def.MaxUnavailable, left) {
		return false // later in the notice
	}
	at := r.findPlace(run.task)
	if at < 0 {
		if s.def.LongRunning && left <= maxHoldNotice {
			r.hold(s)
		}
		if r.request.Excluded == nil { // else other tasks of the step may exclude fewer workers
			r.t.departing.noRoom[s] = struct{}{}
		}
		return false
	}
	to := r.v.agents[at]
	if s.def.Fills {
		r.promise(s, to)
	} else {
		to.node.Used, to.fillLoad = to.node.Used.Add(s.def.Charge()), nil
		run.task.reservation = reservation{agent: to, until: r.v.now.Add(moveTimeout)}
		r.onTheWay[to]++
	}
	if r.v.urgentReserve != nil {
		r.v.urgentReserve.Deduct(at, s.def.Charge())
	}
	if r.ranking != nil {
		r.ranking.Update(at)
	}
	if s.def.LongRunning {
		r.left[s]--
	}
	r.stop(run, to)
	return true
}

// mayMove reports whether the review may order further stops. The next one goes on where it ends.
func (r *departureReview) mayMove() bool {
	return r.ordered < maxMovesPerReview && r.searches < maxSearchesPerReview
}

func (r *departureReview) stop(run *runState, to *agentState) {
	r.moving[run.task.step]++
	r.ordered++
	r.t.departing.moves = append(r.t.departing.moves, &move{task: run.task, run: run.number, to: to, orderedAt: r.v.now})
	run.cause = job.CausePlannedStop
	r.t.stop(run)
}

// findPlace returns the index of a worker for a task by the same rules as for a waiting one, without
// those for trials of failing workers; -1: there is none.
func (r *departureReview) findPlace(task *taskState) int {
	s, t, v := task.step, r.t, r.v
	if r.step != s {
		r.prepare(s)
	}
	if _, exhausted := v.exhausted[placementClassOf(&r.request, s)]; exhausted {
		return -1
	}
	r.request.Excluded, r.request.OnlyRack = v.excluded(task), ""
	if s.def.SameRack {
		r.request.OnlyRack = t.rackOf(s)
	}
	at := r.pick(task)
	if at < 0 && r.request.OnlyRack != "" {
		r.request.OnlyRack = ""
		at = r.pick(task)
	}
	return at
}

// pick is Table.pickRanked, with the tasks that are on their way counted as running.
func (r *departureReview) pick(task *taskState) int {
	if r.request.Reserved != nil || r.request.Excluded != nil || len(task.avoidedAgents) > 0 {
		r.searches++
		return placement.Pick(&r.request, r.v.nodes, r.runsOnNode, task.avoids(r.v))
	}
	if r.ranking == nil || !r.ranking.Matches(&r.request) {
		r.searches++
		r.ranking = placement.NewRanking(&r.request, r.v.nodes, r.runsOnNode)
	}
	return r.ranking.Best()
}

// prepare makes the request for the tasks of a step, and asks the policy service if that is needed.
func (r *departureReview) prepare(s *stepState) {
	p := r.t.profileOf(s.job())
	c := candidate{step: s, profile: p, due: s.job().due(p)}
	r.step, r.request, r.ranking, r.onTheWay = s, r.t.placementRequest(r.v, c), nil, map[*agentState]int{}
	if headroom := r.request.FillHeadroom; headroom != nil {
		r.request.FillHeadroom = func(i int) int64 { return headroom(i) - r.fillPromised[r.v.agents[i]] }
	}
	for _, m := range r.t.departing.moves {
		if to := m.task.reservation.agent; m.task.step == s && to != nil {
			r.onTheWay[to]++
		}
	}
	r.t.queueAdvice(r.v, c)
}

// runsOnNode returns the number of the step's tasks that run on a worker or are on their way there.
func (r *departureReview) runsOnNode(i int) int {
	a := r.v.agents[i]
	return r.step.onAgent[a.id] + r.onTheWay[a]
}

// hold keeps short tasks off one worker, chosen as by Table.reserveWorker, up to a share of all
// workers: the tasks still run, so the short ones do not wait for them everywhere.
func (r *departureReview) hold(s *stepState) {
	if len(r.t.departing.held) >= max(len(r.v.agents)/maxHeldDivisor, 1) {
		return
	}
	if r.longRunning == nil {
		r.longRunning = make([]resources.Resources, len(r.v.agents))
		for i, a := range r.v.agents {
			r.longRunning[i] = a.longRunningUsage()
		}
	}
	var best *agentState
	for i, a := range r.v.agents {
		node := a.node
		node.Used = r.longRunning[i]
		withinSpread := s.def.Spread == 0 || r.runsOnNode(i) < s.def.Spread
		if !withinSpread || !r.request.Fits(&node) || r.request.Ineligible != nil && r.request.Ineligible(i) || r.v.isReserved(i) ||
			slices.Contains(r.t.departing.held, a) {
			continue
		}
		if best == nil || a.node.Used.MilliCPU < best.node.Used.MilliCPU {
			best = a
		}
	}
	if best != nil {
		r.t.departing.held = append(r.t.departing.held, best)
	}
}

// moveGang stops all members of a gang if there is room for all of them, including the places that
// members leave on workers that stay. It reports whether it did.
func (r *departureReview) moveGang(s *stepState) bool {
	if _, none := r.t.departing.noRoom[s]; none || !r.mayMove() {
		return false
	}
	var members []*runState
	for i := range s.tasks {
		run := s.tasks[i].run
		if s.tasks[i].phase == taskDone {
			continue
		}
		if run == nil || run.stopping || run.confirmedAt.IsZero() || r.silent(run.agent) {
			return false // it starts or ends at present, or cannot be stopped
		}
		members = append(members, run)
	}
	nodes := make([]*placement.Node, len(r.v.nodes))
	for i, n := range r.v.nodes {
		node := *n
		nodes[i] = &node
	}
	for _, run := range members {
		if at := slices.Index(r.v.agents, run.agent); at >= 0 {
			nodes[at].Used = nodes[at].Used.Sub(s.def.Charge())
		}
	}
	r.prepare(s)
	r.searches += s.tasksLeft
	planned := planGang(&r.request, nodes, len(members))
	if planned == nil {
		r.t.departing.noRoom[s] = struct{}{}
		return false
	}
	for i, run := range members {
		to := r.v.agents[planned[i]]
		r.promise(s, to)
		r.stop(run, to)
	}
	return true
}
