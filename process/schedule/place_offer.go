package schedule

import (
	"slices"
	"time"

	"camphorhead.example/camphorhead/request/placement"
	"camphorhead.example/camphorhead/request/placewait"
	"camphorhead.example/camphorhead/request/resources"
)

const (
	// stopTime is the longest time that a worker takes to stop a run.
	stopTime = 900 * time.Millisecond
	// overdueShare is the share of its age for which a run is expected to go on at least. Run times
	// are off their estimates by a factor of 2.5 (log-normal, σ = 0.9), for which the expected rest
	// of a run is above half of its age up to five times the median; learned ones are closer.
	overdueShare = 0.5
)

// offerKey identifies the places on one rack: filling tasks are limited by idle processors, all others
// by free capacity.
type offerKey struct {
	rack  string
	fills bool
}

// rackOffer is the expected availability of one rack during one pass. agents are the indexes of its
// workers in view.agents.
type rackOffer struct {
	placewait.Offer
	agents []int
	room   resources.Resources // of all workers, without what tasks without an end hold
}

// countClaim counts a task that is to be placed in the demand for its rack, once. Tasks without an end
// and those of unknown run time don't count: they take places, but do not come again.
func (t *Table) countClaim(v *view, task *taskState, rack string) {
	s := task.step
	if task.placeWait.claimed || s.def.LongRunning {
		return
	}
	task.placeWait.claimed = true
	o := t.offerOf(v, offerKey{rack, s.def.Fills})
	if len(o.agents) == 0 {
		return // the rack may not exist; rackDemand would grow with each name
	}
	key := offerKey{rack, s.def.Fills}
	d := t.rackDemand[key]
	if d == nil {
		d = &placewait.Demand{}
		t.rackDemand[key] = d
	}
	d.Add(v.now, shareOf(s.placeNeed(), o.room), t.expectedRunTime(s))
}

// shareOf returns the largest share of room that need takes up in one dimension, at most 1.
func shareOf(need, room resources.Resources) float64 {
	share := 0.0
	for _, d := range [...][2]int64{{need.MilliCPU, room.MilliCPU}, {need.MemoryMB, room.MemoryMB}, {need.Accelerators, room.Accelerators}} {
		share = max(share, float64(d[0])/float64(max(d[1], 1)))
	}
	return min(share, 1)
}

// offerOf returns what a rack is expected to offer in this pass. Workers that get no new runs offer no
// places.
func (t *Table) offerOf(v *view, key offerKey) *rackOffer {
	if o := v.offers[key]; o != nil {
		return o
	}
	if v.offers == nil {
		v.offers = map[offerKey]*rackOffer{}
	}
	o := &rackOffer{}
	v.offers[key] = o
	for i, a := range v.agents {
		if v.nodes[i].Rack != key.rack || a.health.ejected || !t.available(v.now, a) {
			continue
		}
		w := placewait.Worker{Free: a.node.Capacity.Sub(a.node.Used)}
		if key.fills {
			w.Free.MilliCPU = t.loadOf(v.now, a).idleMilliCPU
		}
		room := w.Free
		for _, run := range a.runs {
			in, ends := t.expectedEnd(v.now, run)
			if !ends {
				continue
			}
			frees := run.task.step.freedPlaces(key.fills)
			w.Changes = append(w.Changes, placewait.Change{In: in, Freed: frees})
			room = room.Add(frees)
		}
		o.Workers, o.agents, o.room = append(o.Workers, w), append(o.agents, i), o.room.Add(room)
	}
	o.Sort()
	if d := t.rackDemand[key]; d != nil {
		o.Demand = d.Load(v.now)
	}
	return o
}

// updateOffers records a run that was just ordered at a worker in the offers of this pass.
func (t *Table) updateOffers(v *view, at int, task *taskState) {
	for _, fills := range [...]bool{false, true} {
		o := v.offers[offerKey{v.nodes[at].Rack, fills}]
		if o == nil || task.run == nil {
			continue
		}
		if n := slices.Index(o.agents, at); n >= 0 {
			lasts, _ := t.expectedEnd(v.now, task.run)
			o.Start(n, task.step.freedPlaces(fills), lasts)
		}
	}
}

// freedPlaces returns what the end of a run of the step frees for filling tasks, or for others.
func (s *stepState) freedPlaces(fills bool) resources.Resources {
	switch charge := s.def.Charge(); {
	case !fills:
		return charge
	case s.def.Fills:
		return s.def.Need
	default:
		charge.MilliCPU = int64(maxFillLoad * float64(charge.MilliCPU))
		return charge
	}
}

// expectedEnd returns the time from now to the expected end of a run; ends is false if none is.
func (t *Table) expectedEnd(now time.Time, run *runState) (in time.Duration, ends bool) {
	s := run.task.step
	if run.stopping {
		return stopTime, true
	}
	took := t.expectedRunTime(s)
	if s.def.LongRunning || took <= 0 {
		return 0, false
	}
	if factor := t.farFactor(s); factor > 1 && run.far() {
		took = time.Duration(factor * float64(took))
	}
	began := run.orderedAt
	if !run.confirmedAt.IsZero() {
		began = run.confirmedAt
	}
	age := now.Sub(began)
	return max(took-age, time.Duration(overdueShare*float64(age))), true
}

// freeFrom returns the time from now before which a worker can't take a task for other reasons than
// its capacity; ok is false if that time is unknown.
func (t *Table) freeFrom(v *view, req *placement.Request, task *taskState, i int) (from time.Duration, ok bool) {
	a, s := v.agents[i], task.step
	fits := *req
	fits.OnlyRack, fits.Charge = "", resources.Resources{}
	node := a.node
	node.Open, node.Used = true, resources.Resources{}
	if !fits.Fits(&node) || v.isReserved(i) || slices.Contains(task.avoidedAgents, a.id) ||
		req.Ineligible != nil && req.Ineligible(i) || req.Spread > 0 && s.onAgent[a.id] >= req.Spread {
		return 0, false
	}
	if req.InterferenceCost != nil && req.InterferenceCost(i) > req.MaxInterferenceCost {
		// Each end of a filling run reduces the interference; other runs don't cause it.
		return t.firstFillingEnd(v.now, a)
	}
	free := a.node.Capacity.Sub(a.node.Used)
	if req.FillHeadroom != nil {
		free.MilliCPU = req.FillHeadroom(i)
	}
	// A single task whose capacity is free is kept off for a reason that is not known here.
	return 0, s.def.Gang || !s.placeNeed().Fits(free)
}

func (t *Table) firstFillingEnd(now time.Time, a *agentState) (in time.Duration, ok bool) {
	for _, run := range a.runs {
		if !run.task.step.def.Fills {
			continue
		}
		if end, ends := t.expectedEnd(now, run); ends && (!ok || end < in) {
			in, ok = end, true
		}
	}
	return in, ok
}

// far reports whether a run is on another rack than its task's data.
func (r *runState) far() bool {
	rack := r.task.step.def.Rack
	return rack != "" && rack != r.agent.worker.Rack
}

// farFactor returns the run time of a step's tasks away from their rack as a multiple of that on it:
// the learned one, else that of the settings; 0: unknown.
func (t *Table) farFactor(s *stepState) float64 {
	if t.cfg.Features.LearnRunTimes {
		if factor, ok := t.runTimes.FarFactor(s.kind()); ok {
			return factor
		}
	}
	return t.cfg.Features.FarFactor
}
