package placement

import (
	"cmp"
	"slices"

	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/request/resources"
)

const (
	// countedVictims bounds the victims of one preemption.
	countedVictims = 8
	// examinedWorkers bounds the workers whose tasks are looked at one by one.
	examinedWorkers = 48
	// taskWindow bounds the tasks of a worker that are tried together, so that a
	// set of them is one machine word.
	taskWindow = 64
)

// Task is a task with a checkpoint that urgent work may displace.
type Task struct {
	Key       job.RunKey
	Resources resources.Resources
	// CheckpointMs is when its checkpoint was taken; work since then is lost.
	CheckpointMs int64
}

// Displaceable is a worker with the tasks that urgent work may displace there.
type Displaceable struct {
	Free  resources.Resources
	Tasks []Task
	// Remote workers are outside the caller's region.
	Remote bool
}

func latestFirst(a, b Task) int { return cmp.Compare(b.CheckpointMs, a.CheckpointMs) }

// victims are the tasks of one worker, the latest checkpoint first, and per resource the sums of the k
// largest amounts, which bound what k evictions can free.
type victims struct {
	tasks []Task
	sums  [countedVictims]resources.Resources
}

func newVictims(tasks []Task) victims {
	v := victims{tasks: slices.SortedFunc(slices.Values(tasks), latestFirst)}
	v.count()
	return v
}

// Preempt chooses the fewest victims on one worker that make room for an
// urgent task; among equally many, those on a worker of the caller's region and
// then those that lose least work. One or two victims are found whenever they
// suffice on a worker that is examined; more are chosen greedily. A worker with
// enough room needs no victims. It returns -1 if there is no such worker.
func Preempt(need resources.Resources, workers []Displaceable, nowMs int64) (at int, chosen []Task) {
	best := plan{at: -1}
	examined, most := 0, countedVictims
	for k, group := range byVictims(need, workers) {
		if k > most {
			break
		}
		for _, c := range group {
			if examined == examinedWorkers {
				return best.at, best.victims
			}
			examined++
			w := &workers[c.at]
			p := plan{at: c.at, remote: w.Remote}
			var ok bool
			p.victims, p.lost, ok = c.victims.choose(need.Sub(w.Free), most, nowMs)
			if ok && p.better(best) {
				best, most = p, len(p.victims)
			}
		}
	}
	return best.at, best.victims
}

// counted is a worker with its victims counted.
type counted struct {
	at      int
	victims victims
}

// byVictims groups the workers by the least number of victims that could make
// room. A group holds as many as are examined.
func byVictims(need resources.Resources, workers []Displaceable) [countedVictims + 1][]counted {
	var groups [countedVictims + 1][]counted
	for i := range workers {
		c := counted{at: i, victims: newVictims(workers[i].Tasks)}
		k := c.victims.atLeast(need.Sub(workers[i].Free))
		if k <= countedVictims && len(groups[k]) < examinedWorkers {
			groups[k] = append(groups[k], c)
		}
	}
	return groups
}

type plan struct {
	at      int
	victims []Task
	remote  bool
	lost    int64
}

func (p plan) better(o plan) bool {
	if o.at < 0 || len(p.victims) != len(o.victims) {
		return o.at < 0 || len(p.victims) < len(o.victims)
	}
	if p.remote != o.remote {
		return o.remote
	}
	return p.lost < o.lost
}

func (v *victims) count() {
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

// atLeast returns a lower bound of the victims that free missing, or more than
// countedVictims when they cannot.
func (v *victims) atLeast(missing resources.Resources) int {
	if missing.Fits(resources.Resources{}) {
		return 0
	}
	low, high := 0, countedVictims
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

// choose returns at most the given number of tasks that free missing, and the
// work they lose.
func (v *victims) choose(missing resources.Resources, most int, nowMs int64) (chosen []Task, lost int64, ok bool) {
	switch v.atLeast(missing) {
	case 0:
		return nil, 0, true
	case 1:
		if chosen, lost = v.single(missing, nowMs); chosen != nil {
			return chosen, lost, true
		}
		fallthrough
	case 2:
		if most < 2 {
			return nil, 0, false
		}
		if chosen, lost = v.pair(missing, nowMs); chosen != nil {
			return chosen, lost, true
		}
	}
	chosen, lost = v.greedy(missing, most, nowMs)
	return chosen, lost, chosen != nil
}

func (v *victims) single(missing resources.Resources, nowMs int64) (chosen []Task, lost int64) {
	for _, t := range v.tasks {
		if missing.Fits(t.Resources) {
			return []Task{t}, nowMs - t.CheckpointMs
		}
	}
	return nil, 0
}

func (v *victims) pair(missing resources.Resources, nowMs int64) (chosen []Task, lost int64) {
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

// greedy takes the task that covers most of what is still missing, then gives
// back those that turned out not to be needed, the oldest checkpoint first.
func (v *victims) greedy(missing resources.Resources, most int, nowMs int64) (chosen []Task, lost int64) {
	tasks := v.tasks[:min(len(v.tasks), taskWindow)]
	var taken uint64
	for range most {
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

// mostCovering returns the task not yet taken that covers most, or -1.
func mostCovering(tasks []Task, taken uint64, open resources.Resources) int {
	best, most := -1, int64(0)
	for i, t := range tasks {
		if taken&(1<<i) != 0 {
			continue
		}
		covered := covers(t.Resources.MilliCPU, open.MilliCPU) +
			covers(t.Resources.MemoryMB, open.MemoryMB) +
			covers(t.Resources.Accelerators, open.Accelerators)
		if covered > most {
			best, most = i, covered
		}
	}
	return best
}

// covers returns the share of open that amount covers, in permille.
func covers(amount, open int64) int64 {
	if open <= 0 {
		return 0
	}
	return min(amount, open) * 1000 / open
}
