package schedule

import (
	"slices"

	"camphorhead.example/camphorhead/request/placement"
)

// resortWorker returns the index of an ejected worker for a task that fits no other worker now, and
// records the start as a trial; -1 if there is none. The worker may have been repaired. Tasks with a
// limit of attempts wait if another worker could take them at a lower load, since further failures
// would use up their attempts.
func (t *Table) resortWorker(v *view, req *placement.Request, task *taskState) int {
	limited := !task.step.unlimitedAttempts()
	if t.startTracker.ejectedCount == 0 || limited && t.hasOtherWorker(v, req, task) {
		return -1
	}
	at := placement.Pick(req, t.ejectedNodes(v, limited), v.runsOf(task.step), task.avoids(v))
	if at >= 0 {
		a := v.agents[at]
		t.setHealth(a, a.health.afterTrialOrdered(v.now, t.startTracker.resolved))
	}
	return at
}

// unlimitedAttempts reports whether failed runs of the step's tasks are repeated without end.
func (s *stepState) unlimitedAttempts() bool { return s.def.LongRunning && s.job().def.Request == nil }

// ejectedNodes returns copies of all nodes, of which only ejected workers that are due are open.
func (t *Table) ejectedNodes(v *view, limited bool) []*placement.Node {
	nodes := make([]*placement.Node, len(v.nodes))
	for i, a := range v.agents {
		node := *v.nodes[i]
		node.Open = a.health.ejected && t.schedulable(v.now, a) && a.health.resortDue(v.now, limited)
		nodes[i] = &node
	}
	return nodes
}

// hasOtherWorker reports whether a worker that is not ejected could take a task if it were empty.
func (t *Table) hasOtherWorker(v *view, req *placement.Request, task *taskState) bool {
	empty := withoutLoad(req)
	return placement.Pick(&empty, t.emptyNodes(v), v.runsOf(task.step), task.avoids(v)) >= 0
}

// withoutLoad returns the requirements of a request that do not depend on what runs on a worker.
func withoutLoad(req *placement.Request) placement.Request {
	empty := *req
	empty.OnlyRack, empty.FillHeadroom, empty.InterferenceCost, empty.Reserved, empty.Excluded = "", nil, nil, nil, nil
	return empty
}

// emptyNodes returns copies of all nodes without their load, of which only workers that are
// available and not ejected are open.
func (t *Table) emptyNodes(v *view) []*placement.Node {
	nodes := make([]*placement.Node, len(v.nodes))
	for i, a := range v.agents {
		n := v.nodes[i]
		nodes[i] = &placement.Node{
			Service: n.Service, Labels: n.Labels, Rack: n.Rack, Region: n.Region, Domain: n.Domain, Capacity: n.Capacity,
			Open: t.available(v.now, a) && !a.health.ejected,
		}
	}
	return nodes
}

// runsOf returns a function that returns the number of a step's runs on a worker.
func (v *view) runsOf(s *stepState) func(i int) int {
	return func(i int) int { return s.onAgent[v.agents[i].id] }
}

// avoids returns a predicate that is true for workers on which the task has failed.
func (task *taskState) avoids(v *view) func(i int) bool {
	return func(i int) bool { return slices.Contains(task.avoidedAgents, v.agents[i].id) }
}
