package schedule

import (
	"cmp"
	"slices"
	"time"

	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/process/metrics"
	"camphorhead.example/camphorhead/request/placement"
	"camphorhead.example/camphorhead/request/placewait"
	"camphorhead.example/camphorhead/request/resources"
)

// placeWaitLogInterval is the shortest time between two events of one kind for a step.
const placeWaitLogInterval = 100 * time.Millisecond

// placeWait is the wait of a task for a worker on its rack. A gang's is that of its first task.
type placeWait struct {
	rack     string
	begunAt  time.Time
	expected time.Duration // as of the latest decision
	state    placeWaitState
}

// placeWaitState is how a wait has ended. A task whose wait was given up or has expired takes the first
// place from then on, but may have to wait for it.
type placeWaitState string

const (
	placeWaitGoesOn  placeWaitState = ""
	placeWaitWon     placeWaitState = "won"
	placeWaitGivenUp placeWaitState = "given_up"
	placeWaitExpired placeWaitState = "expired"
)

// taskPlaceWait and stepPlaceWaits are what tasks and steps keep of their waits.
type (
	taskPlaceWait struct {
		current *placeWait // nil: none
		claimed bool       // counted in Table.rackDemand since it was placed last
	}
	stepPlaceWaits struct{ begunLoggedAt, endedLoggedAt time.Time }
)

// waitsForPlace decides whether a task that names a rack waits for a worker there although another
// one could take it now. onlyRack is the rack of the step's other tasks, if it asks for one rack.
func (t *Table) waitsForPlace(v *view, req *placement.Request, task *taskState, onlyRack string) bool {
	s := task.step
	rack := cmp.Or(onlyRack, s.def.Rack)
	if t.cfg.Features.MaxPlaceWait <= 0 || rack == "" || s.job().urgent() {
		return false
	}
	t.countClaim(v, task, rack)
	// A task that found the rack full leaves it full for the others of its step.
	alike := req.Excluded == nil && len(task.avoidedAgents) == 0
	if !alike || v.fullRack != rack {
		at := t.placeNow(v, req, task)
		if at < 0 || v.nodes[at].Rack == rack {
			return false
		}
		if alike {
			v.fullRack = rack
		}
	}
	offer := t.offerOf(v, offerKey{rack, s.def.Fills})
	p := t.placeWaitTask(v, task, 1)
	p.FreeFrom = func(i int) (time.Duration, bool) { return t.freeFrom(v, req, task, offer.agents[i]) }
	d := placewait.Decide(t.placeWaitConfig(), &p, &offer.Offer)
	if t.applyDecision(v, task, rack, d, len(offer.agents)) {
		offer.Claim(&p, d)
		return true
	}
	return false
}

// placeNow returns the index of the worker that the task would be placed at now, without the rack of the
// step's other tasks if that has no place; -1: none. A task that has waited shares processors in use
// only if none are idle: its rack would seem to have places otherwise.
func (t *Table) placeNow(v *view, req *placement.Request, task *taskState) int {
	shares, rack := req.Oversubscribe, req.OnlyRack
	req.Oversubscribe = shares && task.placeWait.current == nil
	at := t.pickRanked(req, v, task)
	if at < 0 && rack != "" {
		req.OnlyRack = ""
		at = t.pickRanked(req, v, task)
		req.OnlyRack = rack
	}
	if at < 0 {
		req.Oversubscribe = shares
	}
	return at
}

// gangWaits is waitsForPlace for a gang that could be placed on the given workers: it waits as a unit
// for the rack on which all its members are expected to fit first.
func (t *Table) gangWaits(v *view, req *placement.Request, s *stepState, workers []int) bool {
	if t.cfg.Features.MaxPlaceWait <= 0 || s.job().urgent() {
		return false
	}
	var racks []string
	switch {
	case s.def.SameRack:
		racks = t.rackChoices(v)
		racks = slices.DeleteFunc(racks, func(rack string) bool { return rack == "" })
	case s.def.Rack != "" && slices.ContainsFunc(workers, func(i int) bool { return v.nodes[i].Rack != s.def.Rack }):
		racks = []string{s.def.Rack}
	}
	first := &s.tasks[0]
	p := t.placeWaitTask(v, first, s.tasksLeft)
	var best placewait.Decision
	var rack string
	var offer *rackOffer
	for _, r := range racks {
		o := t.offerOf(v, offerKey{r, s.def.Fills})
		p.FreeFrom = func(i int) (time.Duration, bool) { return t.freeFrom(v, req, first, o.agents[i]) }
		d := placewait.Decide(t.placeWaitConfig(), &p, &o.Offer)
		if offer == nil || d.Kind == placewait.Wait && (best.Kind != placewait.Wait || d.Expected < best.Expected) {
			best, rack, offer = d, r, o
		}
	}
	if offer == nil || !t.applyDecision(v, first, rack, best, len(offer.agents)) {
		return false
	}
	offer.Claim(&p, best)
	return true
}

// urgent reports whether the job may preempt others.
func (j *jobState) urgent() bool { return j.def.Request != nil && j.def.Request.Urgent }

func (t *Table) placeWaitConfig() placewait.Config {
	return placewait.Config{MaxWait: t.cfg.Features.MaxPlaceWait}
}

func (t *Table) placeWaitTask(v *view, task *taskState, places int) placewait.Task {
	s := task.step
	p := placewait.Task{
		RunTime: t.expectedRunTime(s), FarFactor: t.farFactor(s), Endless: s.def.LongRunning, Need: s.placeNeed(), Places: places, Spread: s.def.Spread,
		HasDue: !s.def.LongRunning,
	}
	if p.HasDue {
		path := time.Duration(s.criticalPathMs) * time.Millisecond
		p.Slack = s.job().due(t.profileOf(s.job())).Sub(v.now) - path
	}
	if w := task.placeWait.current; w != nil {
		p.Begun, p.Waited = true, v.now.Sub(w.begunAt)
	}
	return p
}

// placeNeed returns what a task of the step takes of the places that offerOf describes.
func (s *stepState) placeNeed() resources.Resources {
	if s.def.Fills {
		return s.def.Need
	}
	return s.def.Charge()
}

// applyDecision begins, continues or gives up the wait of a task, and reports whether it waits. A wait
// that has been given up does not begin again before the task is placed.
func (t *Table) applyDecision(v *view, task *taskState, rack string, d placewait.Decision, workers int) bool {
	w := task.placeWait.current
	switch {
	case w != nil && w.state != placeWaitGoesOn:
		return false
	case d.Kind == placewait.Wait && w == nil:
		w = &placeWait{begunAt: v.now}
		task.placeWait.current = w
		t.cfg.Meter.AddFor(metrics.PlaceWaits, "begun", 1)
		if s := task.step; v.now.Sub(s.placeWaits.begunLoggedAt) >= placeWaitLogInterval {
			s.placeWaits.begunLoggedAt = v.now
			t.cfg.Log.Emit(event.PlaceWaitBegun, "task", task.id().String(), "rack", rack, "expected_wait_ms", d.Expected.Milliseconds(),
				"gain_ms", d.Gain.Milliseconds(), "workers", workers)
		}
	case w == nil:
		return false
	}
	w.rack, w.expected = rack, d.Expected
	if d.Kind == placewait.Wait {
		return true
	}
	w.state = placeWaitGivenUp
	if d.Expired {
		w.state = placeWaitExpired
	}
	return false
}

// endPlaceWait records the end of a task's wait, when the task is placed.
func (t *Table) endPlaceWait(now time.Time, task *taskState, a *agentState) {
	w := task.placeWait.current
	task.placeWait = taskPlaceWait{}
	if w == nil {
		return
	}
	s := task.step
	state := w.state
	switch {
	case a.worker.Rack == w.rack || state == placeWaitGoesOn && s.def.Gang && s.def.SameRack:
		state = placeWaitWon
	case state == placeWaitGoesOn:
		state = placeWaitGivenUp
	}
	took := now.Sub(w.begunAt)
	t.cfg.Meter.AddFor(metrics.PlaceWaits, string(state), 1)
	t.cfg.Meter.Observe(metrics.PlaceWaitTime, took)
	if now.Sub(s.placeWaits.endedLoggedAt) >= placeWaitLogInterval {
		s.placeWaits.endedLoggedAt = now
		t.cfg.Log.Emit(event.PlaceWaitEnded, "task", task.id().String(), "rack", w.rack, "state", string(state),
			"elapsed_ms", took.Milliseconds(), "expected_wait_ms", w.expected.Milliseconds())
	}
}

// mainRack returns the rack with most runs of a step; empty if there are none.
func (t *Table) mainRack(s *stepState) string {
	runs := map[string]int{}
	for id, n := range s.onAgent {
		if a := t.agents[id]; a != nil {
			runs[a.worker.Rack] += n
		}
	}
	best := ""
	for rack, n := range runs {
		if n > runs[best] || n == runs[best] && rack < best {
			best = rack
		}
	}
	return best
}
