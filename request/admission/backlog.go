package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// MaxDelay bounds a published delay; a longer one says no more.
	MaxDelay = 10 * time.Minute
	// MaxDelays bounds the number of profiles whose delays are published.
	MaxDelays = 64
	// minDelay is the delay below which none is published: no objective is as short.
	minDelay = 500 * time.Millisecond
	// delayUnit is the unit to which delays are rounded, so that small changes are not published.
	delayUnit = 100 * time.Millisecond
)

// ProfileQueue is the waiting work of one profile in one pool of workers' processors.
type ProfileQueue struct {
	Profile  string
	Priority int // lower values are placed first
	Pool     int // index of the pool
	// Objective is that of a typical job of the profile: a job submitted now is due after it.
	Objective time.Duration
}

// WaitingStep is the work of a step whose tasks wait for a worker.
type WaitingStep struct {
	Queue int     // index of the queue
	Work  float64 // expected run time times processors, in processor seconds
	// Due is the time until the job is due. Late is set if it can no longer be done by then.
	Due  time.Duration
	Late bool
	// ForQuota is set if the tasks wait for the quota of their team, so that those of other profiles
	// are placed before them.
	ForQuota bool
}

// Delay is the expected time from the submission of a job of a profile to its start.
type Delay struct {
	Profile string
	Delay   time.Duration
}

// Delays returns the expected delay of a job of each profile that is submitted now, by profile,
// without short ones. It is the work ahead of the job divided by the rate at which the pool starts
// work, in processors; 0 means that the rate is not known, and that the pool delays no job.
//
// Ahead of the job are all waiting jobs of its own profile, since an accepted job is to be completed
// although late ones are placed after those in time; those of profiles that are placed first; and,
// of other profiles with the same priority, the jobs that are due earlier. Work that waits for the
// quota of its team counts only for its own profile. A profile with work in
// several pools has the longest of its delays.
func Delays(queues []ProfileQueue, steps []WaitingStep, rates []float64) []Delay {
	ahead := make([]float64, len(queues))
	own := make([]float64, len(queues)) // without work that waits for a quota
	for _, s := range steps {
		ahead[s.Queue] += s.Work
		if !s.ForQuota {
			own[s.Queue] += s.Work
		}
	}
	rivals := make([][]int, len(queues)) // other queues of the pool with the same priority
	for i, q := range queues {
		for k, other := range queues {
			switch {
			case k == i || other.Pool != q.Pool:
			case other.Priority < q.Priority:
				ahead[i] += own[k]
			case other.Priority == q.Priority:
				rivals[i] = append(rivals[i], k)
			}
		}
	}
	for _, s := range steps {
		if s.Late || s.ForQuota {
			continue
		}
		for _, i := range rivals[s.Queue] {
			if s.Due < queues[i].Objective {
				ahead[i] += s.Work
			}
		}
	}
	longest := map[string]time.Duration{}
	for i, q := range queues {
		if rate := rates[q.Pool]; rate > 0 {
			delay := seconds(ahead[i] / rate).Round(delayUnit)
			longest[q.Profile] = max(longest[q.Profile], min(delay, MaxDelay))
		}
	}
	delays := make([]Delay, 0, len(longest))
	for name, delay := range longest {
		if delay >= minDelay {
			delays = append(delays, Delay{Profile: name, Delay: delay})
		}
	}
	slices.SortFunc(delays, func(a, b Delay) int {
		return cmp.Or(-cmp.Compare(a.Delay, b.Delay), cmp.Compare(a.Profile, b.Profile))
	})
	delays = delays[:min(len(delays), MaxDelays)]
	slices.SortFunc(delays, func(a, b Delay) int { return cmp.Compare(a.Profile, b.Profile) })
	return delays
}

// seconds returns a number of seconds as a duration of at most a day.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, 24*time.Hour.Seconds()) * float64(time.Second))
}

const (
	rateWindow = 3 * time.Second // time constant of StartRate
	// saturatedAfter is how long work must have waited for the observed rate to be that of a pool in
	// full use: the weight of earlier observations is then below a fifth.
	saturatedAfter = 5 * time.Second
	// minFreeShare is the share of a pool from which on it counts as free. Less is what the tasks
	// do not fill because of their sizes.
	minFreeShare = 0.1
)

// StartRate is the rate at which tasks of a pool start, as expected work per time: in processors.
// Since the waiting work is expected by the same run times, their errors cancel out. The zero value
// is ready for use.
type StartRate struct {
	mean      float64
	saturated time.Duration // how long work has waited and no processors were free
}

// Capacity is what a pool offers to tasks, in processors: Room in total, Free of it unused.
type Capacity struct{ Room, Free float64 }

// Observe adds the work that was started in a time. waits is set if other work still waits.
func (r *StartRate) Observe(elapsed time.Duration, work float64, waits bool, c Capacity) {
	if elapsed <= 0 {
		return
	}
	weight := 1 - math.Exp(-elapsed.Seconds()/rateWindow.Seconds())
	r.mean += weight * (work/elapsed.Seconds() - r.mean)
	r.saturated += elapsed
	if !waits || c.Free >= minFreeShare*c.Room {
		r.saturated = 0
	}
}

// Expected returns the rate at which waiting work is expected to start; 0: it is not known. Only
// the observed rate of a saturated pool shows what the pool can do. Before that, the room counts,
// and it counts if nothing starts, as after an outage.
func (r *StartRate) Expected(c Capacity) float64 {
	if r.saturated >= saturatedAfter && r.mean > minFreeShare*c.Room {
		return r.mean
	}
	return max(r.mean, c.Room)
}
