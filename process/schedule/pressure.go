package schedule

import (
	"time"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/request/interference"
)

// reading is the latest tail latency of a serving task.
type reading struct {
	interference.Serving
	at time.Time
}

const (
	// maxFillLoad is the load of a worker's idle processors up to which filling
	// tasks are placed. Tasks that share processors all become late together,
	// while those that wait their turn are done one after the other.
	maxFillLoad = 1.25
	// readingAge is how old a reading may be to tell anything.
	readingAge = 3 * time.Second
	// servingMargin is kept between the utilization of a serving task and its
	// target when a filling task is placed beside it.
	servingMargin = 0.15
	// placeAhead is how far ahead the load of serving tasks is looked at.
	placeAhead = time.Second
)

// learn takes the readings of one report into the model of pressures.
func (t *Table) learn(now time.Time, a *agentState, rows []message.RunState) {
	served := false
	for i := range rows {
		served = served || rows[i].TailMs > 0 && a.runs[rows[i].Key] != nil && a.runs[rows[i].Key].task.step.def.TargetMs > 0
	}
	if !served {
		return
	}
	capacity := float64(max(a.node.Capacity.MilliCPU, 1))
	var use []interference.Filling
	for _, run := range a.runs {
		if def := run.task.step.def; def.Fills && run.milliCPU > 0 {
			use = append(use, interference.Filling{Image: def.Image, Share: float64(run.milliCPU) / capacity})
		}
	}
	use = interference.SumByImage(use)
	for i := range rows {
		run := a.runs[rows[i].Key]
		if run == nil || run.task.step.def.TargetMs == 0 || rows[i].TailMs <= 0 || rows[i].ProgressPct < fullPace {
			continue
		}
		def := run.task.step.def
		r := reading{at: now, Serving: interference.Serving{
			Key: run.task.id().String(), Image: def.Image, TailMs: int64(rows[i].TailMs), TargetMs: def.TargetMs,
		}}
		a.serving[rows[i].Key] = r
		t.pressure.Observe(now, r.Serving, use)
	}
}

// fillLoad is what filling tasks may still do on one worker during a pass.
type fillLoad struct {
	// idle are the processors that are left for them.
	idle int64
	// left is the pressure that each serving task still bears.
	left []servingLeft
}

type servingLeft struct {
	image string
	left  float64
}

// fillRooms returns for each worker of a view the processors that filling tasks
// of an image may still use there.
func (t *Table) fillRooms(v *view, image string) []int64 {
	if rooms, ok := v.rooms[image]; ok {
		return rooms
	}
	rooms := make([]int64, len(v.agents))
	for i, a := range v.agents {
		if v.loads[i] == nil {
			v.loads[i] = t.fillLoad(v.now, a)
		}
		rooms[i] = t.fillRoom(v.loads[i], a, image)
	}
	v.rooms[image] = rooms
	return rooms
}

// refill works the rooms of one worker out again after a placement there.
func (t *Table) refill(v *view, at int) {
	v.loads[at] = t.fillLoad(v.now, v.agents[at])
	for image, rooms := range v.rooms {
		rooms[at] = t.fillRoom(v.loads[at], v.agents[at], image)
	}
}

func (t *Table) fillLoad(now time.Time, a *agentState) *fillLoad {
	l := &fillLoad{idle: int64(maxFillLoad*float64(a.node.Idle())) - a.node.FillMilliCPU}
	if len(a.serving) == 0 {
		return l
	}
	filling := a.filling()
	for _, r := range a.serving {
		if now.Sub(r.at) > readingAge {
			continue
		}
		l.left = append(l.left, servingLeft{
			image: r.Image,
			left:  t.pressure.Allowed(now.Add(placeAhead), r.Serving, servingMargin) - t.pressure.Sum(r.Image, filling),
		})
	}
	return l
}

func (t *Table) fillRoom(l *fillLoad, a *agentState, image string) int64 {
	room := l.idle
	for _, s := range l.left {
		weight := t.pressure.Weight(interference.PressurePair{Serving: s.image, Filling: image})
		if weight > 0 {
			room = min(room, int64(s.left/weight*float64(a.node.Capacity.MilliCPU)))
		}
	}
	return room
}

// filling returns what the filling tasks of a worker are expected to use at
// full pace.
func (a *agentState) filling() []interference.Filling {
	var use []interference.Filling
	for _, run := range a.runs {
		if def := run.task.step.def; def.Fills {
			use = append(use, interference.Filling{Image: def.Image, Share: a.node.FillShare(def.Need.MilliCPU)})
		}
	}
	return interference.SumByImage(use)
}
