package schedule

import (
	"slices"
	"time"

	"camphorhead.example/camphorhead/request/placement"
)

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
	ask := t.askFor(v, c)
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
		t.assignRun(now, task, v.agents[at[n]], number, 0)
		n++
	}
}
