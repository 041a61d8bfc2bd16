package schedule

import (
	"slices"
	"time"

	"camphorhead.example/camphorhead/request/placement"
)

// placeGang places all tasks of a gang or none of them, on one rack if the step asks for
// that and they fit. All members have the same run number and resume from the same
// checkpoint.
func (t *Table) placeGang(now time.Time, v *view, c candidate) {
	s := c.step
	if s.pending < s.tasksLeft {
		return // members of an earlier run have not ended yet
	}
	var number uint32
	for i := range s.tasks {
		number = max(number, s.tasks[i].lastRun)
	}
	number = max(number, s.job().baseRun) + 1
	racks := []string{""}
	if s.def.SameRack {
		racks = t.rackChoices(v)
	}
	req := t.placementRequest(v, c)
	for _, rack := range racks {
		req.OnlyRack = rack
		if workers := planGang(&req, v.nodes, s.tasksLeft); workers != nil {
			if rack == "" && t.gangWaits(v, &req, s, workers) {
				return
			}
			t.startGang(now, v, s, workers, number)
			return
		}
	}
	if workers := t.planGangOnEjected(v, &req, s); workers != nil {
		t.startGang(now, v, s, workers, number)
	}
}

// rackChoices returns all racks, followed by an empty name that allows several racks.
func (t *Table) rackChoices(v *view) []string {
	var racks []string
	for _, n := range v.nodes {
		if !slices.Contains(racks, n.Rack) {
			racks = append(racks, n.Rack)
		}
	}
	return append(racks, "")
}

// planGang returns for each of count members the index of its worker; nil if they do not all fit.
func planGang(req *placement.Request, nodes []*placement.Node, count int) []int {
	planned := make([]*placement.Node, len(nodes))
	for i, n := range nodes {
		node := *n
		planned[i] = &node
	}
	members := map[int]int{}
	var workers []int
	for range count {
		i := placement.Pick(req, planned, func(i int) int { return members[i] }, func(int) bool { return false })
		if i < 0 {
			return nil
		}
		members[i]++
		planned[i].Used = planned[i].Used.Add(req.Charge)
		workers = append(workers, i)
	}
	return workers
}

// planGangOnEjected is planGang for a gang that does not fit on the other workers at any load, with
// the ejected workers that are due.
func (t *Table) planGangOnEjected(v *view, req *placement.Request, s *stepState) []int {
	empty := withoutLoad(req)
	if t.startTracker.ejectedCount == 0 || planGang(&empty, t.emptyNodes(v), s.tasksLeft) != nil {
		return nil
	}
	nodes := t.ejectedNodes(v, true)
	for i, n := range v.nodes {
		nodes[i].Open = nodes[i].Open || n.Open
	}
	req.OnlyRack = ""
	workers := planGang(req, nodes, s.tasksLeft)
	for _, i := range workers {
		if a := v.agents[i]; a.health.ejected {
			t.setHealth(a, a.health.afterTrialOrdered(v.now, t.startTracker.resolved))
		}
	}
	return workers
}

// startGang gives all members the checkpoint of the last member that has one.
func (t *Table) startGang(now time.Time, v *view, s *stepState, workers []int, number uint32) {
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
		t.assignRun(now, task, v.agents[workers[n]], number, 0)
		t.updateOffers(v, workers[n], task)
		n++
	}
}
