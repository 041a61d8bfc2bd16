package placement

import (
	"cmp"
	"slices"

	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/request/resources"
)

const (
	// maxVictims bounds the victims of one preemption.
	maxVictims = 8
	// maxExaminedWorkers bounds the workers whose tasks are examined individually.
	maxExaminedWorkers = 48
	// taskWindow bounds the tasks of a worker that are tried in combination, so that a
	// set of them fits into one uint64.
	taskWindow = 64
)

// Task is a task with a checkpoint that may be preempted.
type Task struct {
	Key       job.RunKey
	Resources resources.Resources
	// CheckpointMs is the unix time of its checkpoint; work since then is lost.
	CheckpointMs int64
}

// PreemptibleWorker is a worker with its preemptible tasks.
type PreemptibleWorker struct {
	Free   resources.Resources
	Tasks  []Task
	Remote bool // outside the caller's region
}

func latestFirst(a, b Task) int { return cmp.Compare(b.CheckpointMs, a.CheckpointMs) }

type victimCandidates struct {
	tasks []Task // the latest checkpoint first
	// sums[k] is, for each resource, the sum of the k+1 largest amounts: an upper bound
	// of what k+1 victims can free.
	sums [maxVictims]resources.Resources
}

func newVictimCandidates(tasks []Task) victimCandidates {
	v := victimCandidates{tasks: slices.SortedFunc(slices.Values(tasks), latestFirst)}
	v.computeSums()
	return v
}

// Preempt returns the index of the worker on which the fewest victims free the need of
// an urgent task, and these victims; among equally many, those on a worker of the
// caller's region and then those that lose the least work. A single victim, or two
// within taskWindow, are always found if they suffice on a worker that is examined;
// larger sets are chosen greedily. A worker with enough free capacity needs no
// victims. The index is -1 if no worker with at most maxVictims victims was found.
func Preempt(need resources.Resources, workers []PreemptibleWorker, nowMs int64) (index int, chosen []Task) {
	best := plan{index: -1}
	examined, limit := 0, maxVictims
	for k, group := range groupByMinVictims(need, workers) {
		if k > limit {
			break
		}
		for _, c := range group {
			if examined == maxExaminedWorkers {
				return best.index, best.victims
			}
			examined++
			w := &workers[c.index]
			p := plan{index: c.index, remote: w.Remote}
			var ok bool
			p.victims, p.lost, ok = c.candidates.choose(need.Sub(w.Free), limit, nowMs)
			if ok && p.better(best) {
				best, limit = p, len(p.victims)
			}
		}
	}
	return best.index, best.victims
}

type candidateWorker struct {
	index      int
	candidates victimCandidates
}

// groupByMinVictims groups the workers by the least number of victims that could free
// the need. Each group has at most maxExaminedWorkers workers, as no more are examined.
func groupByMinVictims(need resources.Resources, workers []PreemptibleWorker) [maxVictims + 1][]candidateWorker {
	var groups [maxVictims + 1][]candidateWorker
	for i := range workers {
		c := candidateWorker{index: i, candidates: newVictimCandidates(workers[i].Tasks)}
		k := c.candidates.minCount(need.Sub(workers[i].Free))
		if k <= maxVictims && len(groups[k]) < maxExaminedWorkers {
			groups[k] = append(groups[k], c)
		}
	}
	return groups
}

type plan struct {
	index   int // of the worker; -1 for no plan
	victims []Task
	remote  bool
	lost    int64 // work that the victims lose, in milliseconds
}

func (p plan) better(o plan) bool {
	if o.index < 0 || len(p.victims) != len(o.victims) {
		return o.index < 0 || len(p.victims) < len(o.victims)
	}
	if p.remote != o.remote {
		return o.remote
	}
	return p.lost < o.lost
}

func (v *victimCandidates) computeSums() {
	var column [3][]int64
	for _, t := range v.tasks {
		column[0] = append(column[0], t.Resources.MilliCPU)
		column[1] = append(column[1], t.Resources.MemoryMB)
		column[2] = append(column[2], t.Resources.Accelerators)
	}
	for i := range column {
		slices.SortFunc(column[i], func(a, b int64) int { return cmp.Compare(b, a) })
	}
	var sum resources.Resources
	for k := range v.sums {
		if k < len(v.tasks) {
			sum = sum.Add(resources.Resources{MilliCPU: column[0][k], MemoryMB: column[1][k], Accelerators: column[2][k]})
		}
		v.sums[k] = sum
	}
}

// minCount returns a lower bound of the number of victims that free missing, or a
// number above maxVictims if they cannot.
func (v *victimCandidates) minCount(missing resources.Resources) int {
	if missing.Fits(resources.Resources{}) {
		return 0
	}
	low, high := 0, maxVictims
	for low < high {
		middle := (low + high) / 2
		if missing.Fits(v.sums[middle]) {
			high = middle
		} else {
			low = middle + 1
		}
	}
	return low + 1
}

// choose returns at most limit tasks that free missing, and the work lost in ms.
func (v *victimCandidates) choose(missing resources.Resources, limit int, nowMs int64) (chosen []Task, lost int64, ok bool) {
	switch v.minCount(missing) {
	case 0:
		return nil, 0, true
	case 1:
		if chosen, lost = v.single(missing, nowMs); chosen != nil {
			return chosen, lost, true
		}
		fallthrough
	case 2:
		if limit < 2 {
			return nil, 0, false
		}
		if chosen, lost = v.pair(missing, nowMs); chosen != nil {
			return chosen, lost, true
		}
	}
	chosen, lost = v.greedy(missing, limit, nowMs)
	return chosen, lost, chosen != nil
}

// single returns the task with the latest checkpoint that frees missing, or nil.
func (v *victimCandidates) single(missing resources.Resources, nowMs int64) (chosen []Task, lost int64) {
	for _, t := range v.tasks {
		if missing.Fits(t.Resources) {
			return []Task{t}, nowMs - t.CheckpointMs
		}
	}
	return nil, 0
}

// pair returns the two tasks that free missing and lose the least work, or nil.
func (v *victimCandidates) pair(missing resources.Resources, nowMs int64) (chosen []Task, lost int64) {
	tasks := v.tasks[:min(len(v.tasks), taskWindow)]
	for i, a := range tasks {
		for _, b := range tasks[i+1:] {
			cost := 2*nowMs - a.CheckpointMs - b.CheckpointMs
			if chosen != nil && cost >= lost {
				break
			}
			if missing.Fits(a.Resources.Add(b.Resources)) {
				chosen, lost = []Task{a, b}, cost
			}
		}
	}
	return chosen, lost
}

// greedy repeatedly takes the task that covers most of what is still missing, then
// drops those not needed, the oldest checkpoint first. It returns nil on failure.
func (v *victimCandidates) greedy(missing resources.Resources, limit int, nowMs int64) (chosen []Task, lost int64) {
	tasks := v.tasks[:min(len(v.tasks), taskWindow)]
	var taken uint64
	for range limit {
		i := mostCovering(tasks, taken, missing)
		if i < 0 {
			return nil, 0
		}
		taken |= 1 << i
		missing = missing.Sub(tasks[i].Resources)
		if missing.Fits(resources.Resources{}) {
			break
		}
	}
	if !missing.Fits(resources.Resources{}) {
		return nil, 0
	}
	for i := len(tasks) - 1; i >= 0; i-- {
		if taken&(1<<i) == 0 {
			continue
		}
		if without := missing.Add(tasks[i].Resources); without.Fits(resources.Resources{}) {
			missing = without
			continue
		}
		chosen = append(chosen, tasks[i])
		lost += nowMs - tasks[i].CheckpointMs
	}
	return chosen, lost
}

// mostCovering returns the index of the task not yet taken that covers most, or -1.
func mostCovering(tasks []Task, taken uint64, missing resources.Resources) int {
	best, most := -1, int64(0)
	for i, t := range tasks {
		if taken&(1<<i) != 0 {
			continue
		}
		covered := coveredPermille(t.Resources.MilliCPU, missing.MilliCPU) +
			coveredPermille(t.Resources.MemoryMB, missing.MemoryMB) +
			coveredPermille(t.Resources.Accelerators, missing.Accelerators)
		if covered > most {
			best, most = i, covered
		}
	}
	return best
}

// coveredPermille returns the share of missing that amount covers, in permille.
func coveredPermille(amount, missing int64) int64 {
	if missing <= 0 {
		return 0
	}
	return min(amount, missing) * 1000 / missing
}
