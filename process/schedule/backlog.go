package schedule

import (
	"cmp"
	"slices"
	"time"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/request/admission"
	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/request/quota"
	"camphorhead.example/camphorhead/request/resources"
	"camphorhead.example/camphorhead/version/profile"
)

const (
	backlogInterval = 200 * time.Millisecond // least time between two computations
	// minWaitLimit and waitLimitFactor give how long a step may wait without any run until it is not
	// counted as waiting work: it then waits for something other than room, such as a label that no
	// worker has. The limit is the larger of minWaitLimit and a multiple of the delay that was expected
	// when the step became ready.
	minWaitLimit    = time.Minute
	waitLimitFactor = 2
	// maxQueueAge is how long a profile without waiting or started work keeps its queue.
	maxQueueAge = time.Minute
)

// poolKey names the processors that tasks share: those of one service's workers, empty for any, or
// what other tasks leave idle there.
type poolKey struct {
	service string
	fills   bool
}

type queueKey struct {
	profile  string
	priority int // as in candidate
	pool     poolKey
}

type poolState struct {
	index       int     // during a computation
	startedWork float64 // since the latest computation, in processor seconds
	waitingWork float64 // at the latest computation
	rate        admission.StartRate
}

type queueState struct {
	key       queueKey
	index     int           // during a computation
	objective time.Duration // of the latest job
	seenAt    time.Time
}

// backlog computes the expected delays of the profiles. Its owner is the table.
type backlog struct {
	pools      map[poolKey]*poolState
	queues     map[queueKey]*queueState
	computedAt time.Time
	published  *message.Backlog
	// steps is the waiting work of the latest computation and queueOfStep the queue of each; both
	// are kept for their memory.
	steps       []admission.WaitingStep
	queueOfStep []*queueState
	newSteps    []*stepState // ready steps without a wait limit; kept for its memory
}

func newBacklog() backlog {
	return backlog{pools: map[poolKey]*poolState{}, queues: map[queueKey]*queueState{}}
}

// Backlog returns the expected delays by profile, and whether they have changed since the previous
// call; nil without Features.RefuseHopeless. It computes them at most every backlogInterval. The
// leader calls it with each update and does not change the result.
func (t *Table) Backlog(now time.Time) (delays *message.Backlog, changed bool) {
	if !t.cfg.Features.RefuseHopeless {
		return nil, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	b := &t.backlog
	if b.published != nil && now.Sub(b.computedAt) < backlogInterval {
		return b.published, false
	}
	next := &message.Backlog{}
	for _, d := range t.expectedDelays(now) {
		next.Delays = append(next.Delays, message.ProfileDelay{Profile: d.Profile, DelayMs: d.Delay.Milliseconds()})
	}
	changed = b.published == nil || !slices.Equal(next.Delays, b.published.Delays)
	b.published = next
	return next, changed
}

// PublishedBacklog returns the delays that Backlog returned last, for an entry that begins to follow
// the leader; nil: none.
func (t *Table) PublishedBacklog() *message.Backlog {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.backlog.published
}

// recordStart counts the work of a task whose run has been ordered.
func (t *Table) recordStart(now time.Time, s *stepState) {
	if !t.cfg.Features.RefuseHopeless || s.def.LongRunning {
		return
	}
	q := t.queueOf(now, s, t.profileOf(s.job()))
	t.backlog.pools[q.key.pool].startedWork += t.expectedWork(s)
}

// queueOf returns the queue of a step of a job with a profile, and keeps it and its pool.
func (t *Table) queueOf(now time.Time, s *stepState, p profile.Profile) *queueState {
	j := s.job()
	key := queueKey{profile: j.def.Profile, priority: p.Priority, pool: poolKey{service: j.def.Service, fills: s.def.Fills}}
	if r := j.def.Request; r != nil {
		key.pool.service = ""
		if !r.Urgent {
			key.priority += nonUrgentOffset
		}
	}
	q := t.backlog.queues[key]
	if q == nil {
		q = &queueState{key: key}
		t.backlog.queues[key] = q
	}
	if t.backlog.pools[key.pool] == nil {
		t.backlog.pools[key.pool] = &poolState{}
	}
	q.objective, q.seenAt = objective(p, j.criticalPathMs), now
	return q
}

// expectedWork returns the work of one task in processor seconds.
func (t *Table) expectedWork(s *stepState) float64 {
	return t.expectedRunTime(s).Seconds() * float64(s.def.Need.MilliCPU) / 1000
}

// expectedDelays collects the waiting work in one walk over the ready steps, observes the rates of
// the pools and returns the delays.
func (t *Table) expectedDelays(now time.Time) []admission.Delay {
	b := &t.backlog
	if len(t.unconfirmedAgents) > 0 {
		return nil // the workers of these are not known yet, so the capacity of the pools is not
	}
	t.removeUnusedQueues(now)
	t.collectWaiting(now)
	elapsed := now.Sub(b.computedAt)
	if b.computedAt.IsZero() {
		elapsed = now.Sub(t.createdAt)
	}
	b.computedAt = now
	rates := make([]float64, 0, len(b.pools))
	for key, p := range b.pools {
		capacity := t.poolCapacity(now, key)
		p.rate.Observe(elapsed, p.startedWork, p.waitingWork > 0, capacity)
		p.startedWork, p.waitingWork = 0, 0
		p.index = len(rates)
		rates = append(rates, p.rate.Expected(capacity))
	}
	queues := make([]admission.ProfileQueue, 0, len(b.queues))
	for key, q := range b.queues {
		q.index = len(queues)
		queues = append(queues, admission.ProfileQueue{
			Profile: key.profile, Priority: key.priority, Pool: b.pools[key.pool].index, Objective: q.objective,
		})
	}
	for i, q := range b.queueOfStep {
		b.steps[i].Queue = q.index
	}
	delays := admission.Delays(queues, b.steps, rates)
	b.setWaitLimits(delays)
	return delays
}

// setWaitLimits sets the limits of the steps that have become ready since the previous computation.
func (b *backlog) setWaitLimits(delays []admission.Delay) {
	for _, s := range b.newSteps {
		s.waitLimit = minWaitLimit
		i, found := slices.BinarySearchFunc(delays, s.job().def.Profile, func(d admission.Delay, name string) int {
			return cmp.Compare(d.Profile, name)
		})
		if found {
			s.waitLimit = max(s.waitLimit, waitLimitFactor*delays[i].Delay)
		}
	}
}

// removeUnusedQueues removes the queues that no job has used for a while, and their pools.
func (t *Table) removeUnusedQueues(now time.Time) {
	used := map[poolKey]bool{}
	for key, q := range t.backlog.queues {
		if now.Sub(q.seenAt) >= maxQueueAge {
			delete(t.backlog.queues, key)
		} else {
			used[key.pool] = true
		}
	}
	for key := range t.backlog.pools {
		if !used[key] {
			delete(t.backlog.pools, key)
		}
	}
}

// collectWaiting collects the work of the ready steps and of those after them in backlog.steps. The
// steps after one whose tasks all run are not found by this walk and are left out.
func (t *Table) collectWaiting(now time.Time) {
	b := &t.backlog
	clear(b.queueOfStep) // a pointer that stays would keep an ended job
	clear(b.newSteps)
	b.steps, b.queueOfStep, b.newSteps = b.steps[:0], b.queueOfStep[:0], b.newSteps[:0]
	profiles := map[string]profile.Profile{}
	v := quotaView{teams: t.teams(), refused: map[quotaNeed]bool{}}
	for s := range t.ready {
		if s.def.LongRunning {
			continue
		}
		if s.waitLimit == 0 {
			b.newSteps = append(b.newSteps, s)
		} else if s.pending == len(s.tasks) && now.Sub(s.readyAt) >= s.waitLimit {
			continue
		}
		j := s.job()
		p, known := profiles[j.def.Profile]
		if !known {
			p = t.profileOf(j)
			profiles[j.def.Profile] = p
		}
		due := j.due(p)
		late := now.Add(time.Duration(s.criticalPathMs) * time.Millisecond).After(due)
		t.addWaiting(now, s, p, admission.WaitingStep{Due: due.Sub(now), Late: late, ForQuota: v.waits(j, s.def.Need)})
		if s != s.occurrence.firstReady() {
			continue // the later steps are added once
		}
		for _, later := range s.occurrence.steps {
			if later.unmetDependencies > 0 && later.pending > 0 && !later.def.LongRunning {
				t.addWaiting(now, later, p, admission.WaitingStep{Due: due.Sub(now), Late: late, ForQuota: v.waits(j, later.def.Need)})
			}
		}
	}
}

// addWaiting adds the pending tasks of a step to the waiting work.
func (t *Table) addWaiting(now time.Time, s *stepState, p profile.Profile, w admission.WaitingStep) {
	b := &t.backlog
	q := t.queueOf(now, s, p)
	w.Work = float64(s.pending) * t.expectedWork(s)
	if !w.ForQuota {
		b.pools[q.key.pool].waitingWork += w.Work
	}
	b.steps = append(b.steps, w)
	b.queueOfStep = append(b.queueOfStep, q)
}

type quotaNeed struct {
	team string
	need resources.Resources
}

// quotaView decides for one computation which work waits for the quota of its team. Each decision looks
// at all teams, so it is made once for equal needs.
type quotaView struct {
	teams   map[string]quota.Team
	refused map[quotaNeed]bool
}

func (v *quotaView) waits(j *jobState, need resources.Resources) bool {
	r := j.def.Request
	if v.teams == nil || r == nil || r.Team == "" || r.Urgent {
		return false
	}
	key := quotaNeed{r.Team, need}
	refused, known := v.refused[key]
	if !known {
		refused = quota.Decide(v.teams, r.Team, need) == quota.Refused
		v.refused[key] = refused
	}
	return refused
}

// firstReady returns the first step of an occurrence that waits for workers only.
func (o *occurrence) firstReady() *stepState {
	for _, s := range o.steps {
		if s.unmetDependencies == 0 && s.pending > 0 {
			return s
		}
	}
	return nil
}

// poolCapacity returns the processors that a pool offers at the workers that may get runs. Processors
// beside which the memory is used up are not free.
func (t *Table) poolCapacity(now time.Time, key poolKey) (c admission.Capacity) {
	for _, a := range t.sortedAgents {
		n := &a.node
		if key.service != "" && n.Service != key.service || a.health.ejected || !t.available(now, a) {
			continue
		}
		room := n.Capacity.MilliCPU - n.ServingMilliCPU
		free := n.Capacity.MilliCPU - n.Used.MilliCPU
		if key.fills {
			room = n.IdleMilliCPU()
			free = room - n.FillMilliCPU
		}
		if n.Used.MemoryMB >= n.Capacity.MemoryMB-n.Capacity.MemoryMB/fullMemoryDivisor {
			free = 0
		}
		c.Room += processors(room)
		c.Free += processors(free)
	}
	return c
}

// fullMemoryDivisor gives the part of a worker's memory that may be unused when the worker is full.
const fullMemoryDivisor = 20

func processors(milliCPU int64) float64 { return float64(max(milliCPU, 0)) / 1000 }

// Objective returns the time in which a job should be done, by its profile and its declared run times.
func Objective(p profile.Profile, def *job.Definition) time.Duration {
	runTimesMs := make([]int64, len(def.Steps))
	for i := range def.Steps {
		runTimesMs[i] = def.Steps[i].EstimateMs
	}
	var longestMs int64
	for _, ms := range criticalPaths(def.Steps, runTimesMs) {
		longestMs = max(longestMs, ms)
	}
	return objective(p, longestMs)
}
