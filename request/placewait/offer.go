package placewait

import (
	"cmp"
	"slices"
	"time"

	"camphorhead.example/camphorhead/request/resources"
)

// Offer is what one rack is expected to offer: the workers that get new runs, with the expected ends of
// the runs there and the claims of the tasks that wait for it ahead.
type Offer struct {
	Free    bool // there is a place now
	Workers []Worker
	// Demand is the share of the rack's places that new claims take up.
	Demand float64
	claims int
}

// maxClaims bounds the tasks that wait for one rack, and with them the time of a pass. Tasks beyond it
// expect no place.
const maxClaims = 256

// Worker is the expected availability of one worker.
type Worker struct {
	Free    resources.Resources // now; may be negative
	Changes []Change            // by time
}

// Change is a change of a worker's free capacity at a time from now.
type Change struct {
	In    time.Duration
	Freed resources.Resources // negative for a claim
}

// Sort orders the changes of all workers by time, as Decide requires.
func (o *Offer) Sort() {
	for i := range o.Workers {
		slices.SortStableFunc(o.Workers[i].Changes, func(a, b Change) int { return cmp.Compare(a.In, b.In) })
	}
}

// Claim reserves the expected places of a task that waits, so that tasks after it expect later ones.
func (o *Offer) Claim(task *Task, d Decision) {
	o.claims++
	for _, i := range d.workers {
		w := &o.Workers[i]
		w.insert(Change{In: d.Expected, Freed: resources.Resources{}.Sub(task.Need)})
		if !task.Endless {
			w.insert(Change{In: d.Expected + task.RunTime, Freed: task.Need})
		}
	}
}

// Start records a run that begins on a worker now. lasts is its expected run time; 0: without an end.
func (o *Offer) Start(worker int, need resources.Resources, lasts time.Duration) {
	w := &o.Workers[worker]
	w.Free = w.Free.Sub(need)
	if lasts > 0 {
		w.insert(Change{In: lasts, Freed: need})
	}
}

// expect returns when all places that a task needs are expected to be free, and at which workers; no
// workers if that is not to be expected.
func (o *Offer) expect(task *Task) (wait time.Duration, workers []int) {
	if o.claims >= maxClaims {
		return 0, nil
	}
	list, used := o.Workers, []int(nil)
	if task.Places > 1 {
		used = make([]int, len(list))
		list = slices.Clone(list)
	}
	for range task.Places {
		best, at := -1, time.Duration(0)
		for i := range list {
			if task.Places > 1 && task.Spread > 0 && used[i] >= task.Spread {
				continue
			}
			from := time.Duration(0)
			if task.FreeFrom != nil {
				var ok bool
				if from, ok = task.FreeFrom(i); !ok {
					continue
				}
			}
			if in, ok := list[i].fitsFrom(task.Need); ok && (best < 0 || max(in, from) < at) {
				best, at = i, max(in, from)
			}
		}
		if best < 0 {
			return 0, nil
		}
		wait, workers = max(wait, at), append(workers, best)
		if task.Places > 1 {
			used[best]++
			w := &list[best]
			w.Changes = slices.Clone(w.Changes)
			w.insert(Change{In: at, Freed: resources.Resources{}.Sub(task.Need)})
		}
	}
	return wait, workers
}

// fitsFrom returns the time from which a need fits for good. Gaps between claims are not used: the tasks
// that have claimed them may need longer than expected.
func (w *Worker) fitsFrom(need resources.Resources) (in time.Duration, ok bool) {
	free := w.Free
	ok = need.Fits(free)
	for _, c := range w.Changes {
		free = free.Add(c.Freed)
		switch fits := need.Fits(free); {
		case !fits:
			ok = false
		case !ok:
			in, ok = c.In, true
		}
	}
	return in, ok
}

func (w *Worker) insert(c Change) {
	// Among equal times, what is freed comes first: the end of a run before the claim for its place.
	at, _ := slices.BinarySearchFunc(w.Changes, c, func(a, b Change) int { return cmp.Compare(a.In, b.In) })
	for c.Freed.IsNegative() && at < len(w.Changes) && w.Changes[at].In == c.In {
		at++
	}
	w.Changes = slices.Insert(w.Changes, at, c)
}
