// Package placement chooses a worker for a task: the one with the least score among
// those that the task fits on, or the one on which preempting the fewest tasks makes
// an urgent task fit. The caller guards the arguments with its lock.
package placement

import (
	"slices"

	"camphorhead.example/camphorhead/request/resources"
)

// Node is the state of one worker that placement depends on.
type Node struct {
	Service  string
	Labels   []string
	Rack     string
	Region   string
	Domain   string // the failure domain
	Open     bool   // accepts new tasks now
	Capacity resources.Resources
	// Used is the capacity charged to tasks, including those that are being stopped.
	Used resources.Resources
	// FillMilliCPU is the sum of the processors that the filling tasks request.
	FillMilliCPU int64
	// Serving is the number of serving tasks, ServingMilliCPU the sum of the processors
	// that they request.
	Serving         int
	ServingMilliCPU int64
	SlowPct         int // by how many percent recent tasks ran longer here than elsewhere
	FailPct         int // percentage of recent runs here that failed
	PressurePct     int // measured slowdown of checks by the tasks here, in percent
}

// Request describes one task to place. Its functions take the index of a worker.
type Request struct {
	Service string
	Label   string // that the worker must have; empty for any worker
	Rack    string // of the task's data; empty if the rack does not matter
	// Charge is the part of the worker's capacity that the task is charged. MilliCPU is
	// the number of processors that it requests, even if they are not charged.
	Charge   resources.Resources
	MilliCPU int64
	Fills    bool   // a filling task
	Serves   bool   // a serving task
	OnlyRack string // limits the choice to one rack; empty for no limit
	// FillHeadroom returns the processors that a filling task may still use on a worker,
	// in thousandths; nil for other tasks.
	FillHeadroom func(i int) int64
	// InterferenceCost returns the number of serving tasks on a worker that a filling
	// task is expected to bring over their target; nil for other tasks. A worker on
	// which it exceeds MaxInterferenceCost is not chosen.
	InterferenceCost    func(i int) float64
	MaxInterferenceCost float64
	// Oversubscribe lets a filling task share processors with others if FillHeadroom is
	// too small.
	Oversubscribe bool
	Spread        int    // bound of the step's tasks on one worker; 0 for no bound
	Region        string // of the caller; empty if the region does not matter
	// Slowdown returns the slowdown of checks on a worker that the task is expected to
	// cause; 1 means that they take twice as long. nil means no slowdown.
	Slowdown func(i int) float64
	// Reserved reports whether a worker's free capacity is reserved; nil means none is.
	Reserved func(i int) bool
	// Ineligible reports whether policy forbids the task on a worker; nil means on none.
	Ineligible func(i int) bool
	// Excluded reports whether a worker may not be chosen now; nil means none is.
	Excluded func(i int) bool
}

// Weights of the score. One point corresponds to the load of one full worker. Weights
// of criteria that must outweigh any load are far larger.
const (
	// offRackPoints keeps a task on the rack of its data unless nothing there fits.
	offRackPoints = 10.0
	slowPoints    = 4.0
	failPoints    = 8.0
	// fillNearServingPoints keeps filling tasks without enough headroom off workers with
	// serving tasks, nearServingPoints tasks that neither fill nor serve.
	fillNearServingPoints = 0.5
	nearServingPoints     = 0.1
	// interferencePoints is added for each serving task that a filling task is expected
	// to bring over its target.
	interferencePoints = 2.0
	// serveNearFillingPoints keeps serving tasks off workers with filling tasks.
	serveNearFillingPoints = 0.5
	// regionPoints keeps a task in its caller's region unless nothing fits there;
	// avoidPoints keeps it off the workers on which it failed, in any region.
	regionPoints = 500.0
	avoidPoints  = 2000.0
	// pressurePoints is added if checks take twice as long, measured or expected;
	// maxSlowdown keeps the cost of an expected slowdown below that of another region.
	pressurePoints = 0.5
	maxSlowdown    = 5.0
	// acceleratorPoints keeps tasks without accelerators off workers with free ones.
	acceleratorPoints = 0.15
)

// servingUseShare is the share of their requested processors that serving tasks use;
// the remainder is available to filling tasks.
const servingUseShare = 0.5

// IdleMilliCPU returns the processors available to filling tasks; it may be negative.
func (n *Node) IdleMilliCPU() int64 {
	return n.Capacity.MilliCPU - n.Used.MilliCPU + int64((1-servingUseShare)*float64(n.ServingMilliCPU))
}

// fillUseShare is the share of their requested processors that filling tasks use.
const fillUseShare = 0.8

// FillShare returns the share of the worker's processors that a filling task is expected
// to use at full pace.
func (n *Node) FillShare(milliCPU int64) float64 {
	demand := fillUseShare * float64(max(n.FillMilliCPU, milliCPU))
	fit := min(1, float64(max(n.IdleMilliCPU(), 0))/max(demand, 1))
	return fillUseShare * float64(milliCPU) * fit / float64(max(n.Capacity.MilliCPU, 1))
}

// Fits reports whether the task fits on a worker, apart from the conditions that Pick
// checks.
func (r *Request) Fits(n *Node) bool {
	return n.Open && n.Service == r.Service &&
		(r.OnlyRack == "" || n.Rack == r.OnlyRack) &&
		r.Charge.Fits(n.Capacity.Sub(n.Used)) &&
		(r.Label == "" || slices.Contains(n.Labels, r.Label))
}

// Score rates a worker on which the task fits; the least score is the best. headroom is
// its FillHeadroom.
func (r *Request) Score(n *Node, headroom int64) float64 {
	score := slowPoints*float64(n.SlowPct)/100 + failPoints*float64(n.FailPct)/100 + pressurePoints*float64(n.PressurePct)/100
	if r.Rack != "" && r.Rack != n.Rack {
		score += offRackPoints
	}
	if r.Region != "" && r.Region != n.Region {
		score += regionPoints
	}
	if r.Charge.Accelerators == 0 && n.Capacity.Accelerators > n.Used.Accelerators {
		score += acceleratorPoints
	}
	capacity := float64(max(n.Capacity.MilliCPU, 1))
	switch {
	case r.Fills && headroom >= r.MilliCPU:
		return score + float64(r.MilliCPU)/float64(headroom)
	case r.Fills:
		return score + 1 + float64(n.FillMilliCPU+r.MilliCPU)/float64(max(n.IdleMilliCPU(), 1)) + fillNearServingPoints*float64(n.Serving)
	case r.Serves:
		// Serving tasks are packed together, so that other workers are left for the
		// tasks that would slow them down.
		return score + serveNearFillingPoints*float64(n.FillMilliCPU)/float64(max(n.IdleMilliCPU(), 1)) - float64(n.Used.MilliCPU)/capacity
	}
	return score + float64(n.Used.MilliCPU+r.Charge.MilliCPU)/capacity + nearServingPoints*float64(n.Serving)
}

// rate returns the score of a worker, with the costs that Pick adds to it; ok is false if the task
// may not run there. onNode returns the number of the step's tasks on a worker.
func (r *Request) rate(n *Node, i int, onNode func(i int) int) (score float64, ok bool) {
	if !r.Fits(n) || (r.Spread > 0 && onNode(i) >= r.Spread) || (r.Reserved != nil && r.Reserved(i)) ||
		(r.Ineligible != nil && r.Ineligible(i)) || (r.Excluded != nil && r.Excluded(i)) {
		return 0, false
	}
	var headroom int64
	if r.FillHeadroom != nil {
		if headroom = r.FillHeadroom(i); headroom < r.MilliCPU && !r.Oversubscribe {
			return 0, false
		}
	}
	var cost float64
	if r.InterferenceCost != nil {
		if cost = r.InterferenceCost(i); cost > r.MaxInterferenceCost {
			return 0, false
		}
	}
	score = r.Score(n, headroom) + interferencePoints*cost
	if r.Slowdown != nil {
		score += pressurePoints * min(r.Slowdown(i), maxSlowdown)
	}
	return score, true
}

// Pick returns the index of the worker with the least score on which the task may
// run, or -1 if there is none. onNode returns the number of the step's tasks on a
// worker. avoid reports the workers that are chosen only if there is no other.
func Pick(r *Request, nodes []*Node, onNode func(i int) int, avoid func(i int) bool) int {
	best, least := -1, 0.0
	for i, n := range nodes {
		score, ok := r.rate(n, i, onNode)
		if !ok {
			continue
		}
		if avoid(i) {
			score += avoidPoints
		}
		if best < 0 || score < least {
			best, least = i, score
		}
	}
	return best
}
