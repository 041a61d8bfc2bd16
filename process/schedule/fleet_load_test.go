package schedule

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/request/interference"
	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/request/resources"
	"camphorhead.example/camphorhead/version/profile"
)

// fleetLoad drives a table with the load of a fleet of hundreds of workers: checks of a few short
// tasks, proofs of many filling tasks, and long-running serving tasks that hold half of each
// worker. Agents in the other region answer later. It needs no network and no store.
type fleetLoad struct {
	clock   *clockwork.FakeClock
	table   *Table
	rand    *rand.Rand
	workers []*simWorker
	byAgent map[string]*simWorker
	jobs    []*simJob
	byID    map[string]*simJob
	weights map[interference.PressurePair]float64
	loads   map[string]simLoad // of serving jobs, by id
	passes  []time.Duration    // real time of each dispatch
	starts  int
	spec    loadSpec
	// windows holds, by serving job, the time of its tasks over their target beside filling tasks
	// in each window of windowLength, in seconds.
	windows map[string][]float64
	began   time.Time
	timer   *testing.B // runs during Dispatch; may be nil
}

// loadSpec is a fleet with its load, per second.
type loadSpec struct {
	workers                            int
	checks, proofs                     float64
	checkWidth, proofWidth, watchWidth int
	checkCPU, checkMs, proofMs         float64
	watches                            int // handed in at the beginning
	checkWorth, proofWorth, watchWorth float64
	maxOver                            time.Duration
}

// largeFleet has hundreds of workers, smallFleet eleven: wide jobs and narrow ones.
var (
	largeFleet = loadSpec{
		workers: 240, checks: 19.2, proofs: 4.96, checkWidth: 13, proofWidth: 40, watchWidth: 24, checkCPU: 2800, checkMs: 800, proofMs: 2200,
		watches: 49, checkWorth: 0.342, proofWorth: 6.65, watchWorth: 1.12, maxOver: 5 * time.Second,
	}
	smallFleet = loadSpec{
		workers: 11, checks: 6.97, proofs: 1.6, checkWidth: 6, proofWidth: 8, watchWidth: 6, checkCPU: 960, checkMs: 640, proofMs: 1700,
		watches: 8, checkWorth: 0.319, proofWorth: 6.95, watchWorth: 1.97, maxOver: 4 * time.Second,
	}
)

const windowLength = 2 * time.Second

const (
	simStep       = 10 * time.Millisecond
	watchProfile  = "watch"
	simTargetMs   = 50
	simIdleTailMs = 10
	servingImages = 16
	fillingImages = 30
)

type simWorker struct {
	agent    string
	capacity int64
	delay    time.Duration
	runs     []*simRun
	inbox    []simOrders
	ends     []message.RunEnd
	serial   uint64
	sequence uint64
	sampled  time.Time
	due      time.Time // of the next report
}

type simOrders struct {
	at     time.Time
	orders message.Orders
}

type simRun struct {
	order  message.StartRun
	leftMs float64
	fails  bool
	tailMs int
	cpu    int64 // in use
	pace   int
	over   time.Time
}

type simLoad struct{ level, swing, phase float64 }

type simJob struct {
	def       *job.Definition
	acceptMs  int64
	workMs    map[job.TaskID]float64
	objective time.Duration
	worth     float64
	doneAt    time.Time
}

func simProfile(name string) (profile.Profile, bool) {
	switch name {
	case checkProfile:
		return profile.Profile{Name: name, Service: testService, MaxAttempts: 4, ObjectiveMs: 600, ObjectiveStretch: 1.5}, true
	case proofProfile:
		return profile.Profile{Name: name, Service: testService, Priority: 2, MaxAttempts: 4, ObjectiveMs: 1000, ObjectiveStretch: 2}, true
	case watchProfile:
		return profile.Profile{Name: name, Service: testService, ObjectiveMs: 3000, ObjectiveStretch: 2.2}, true
	}
	return profile.Profile{}, false
}

func newFleetLoad(spec loadSpec, seed uint64) *fleetLoad {
	clock := clockwork.NewFakeClock()
	f := &fleetLoad{
		clock: clock, rand: rand.New(rand.NewPCG(seed, 0)), byAgent: map[string]*simWorker{}, byID: map[string]*simJob{},
		weights: map[interference.PressurePair]float64{}, loads: map[string]simLoad{},
		spec: spec, windows: map[string][]float64{}, began: clock.Now(),
	}
	f.table = New(Config{
		Clock: clock, Term: 1, Lease: testLease, ReportInterval: testReportInterval, Retention: time.Minute,
		NeverFitsDelay: testNeverFitsDelay, Profile: simProfile, Guard: interference.Guard{MaxOver: spec.maxOver},
	})
	for i := range spec.workers {
		w := &simWorker{agent: fmt.Sprintf("agent-%03d", i), capacity: 64_000, delay: 3 * time.Millisecond}
		if i%3 == 2 {
			w.capacity = 96_000
		}
		if i >= spec.workers/2 {
			w.delay = 32 * time.Millisecond
		}
		f.workers, f.byAgent[w.agent] = append(f.workers, w), w
		f.table.ApplyReport(clock.Now(), &message.Report{
			Agent: w.agent, Session: 1, Sequence: 1, Full: true,
			Worker: &message.WorkerInfo{
				ID: "i-" + w.agent, StartedMs: 1, Service: testService, Reachable: true, Rack: fmt.Sprint("r", i/8),
				Capacity: resources.Resources{MilliCPU: w.capacity, MemoryMB: 4 * w.capacity},
			},
		})
		w.sequence = 1
	}
	leases, _ := f.table.TakeAgentLeases(clock.Now(), true)
	f.table.SetRegistered(leases)
	for s := range servingImages {
		for b := range fillingImages {
			weight := 0.3 * f.rand.Float64()
			if f.rand.Float64() < 0.6 {
				weight = 4.5 * f.rand.Float64()
			}
			f.weights[interference.PressurePair{Serving: fmt.Sprint("s", s), Filling: fmt.Sprint("b", b)}] = weight
		}
	}
	for range spec.watches {
		f.handInWatch()
	}
	return f
}

// spread returns a value with the given mean and relative spread, at most limit.
func (f *fleetLoad) spread(mean, spread, limit float64) float64 {
	return min(math.Max(mean*math.Exp(f.rand.NormFloat64()*spread-spread*spread/2), 0.05*mean), limit)
}

func (f *fleetLoad) handIn(name string, steps, width int, cpu, work, workMax, uneven, stretch, targetMs, worth float64, step func(*job.Step)) *simJob {
	now := f.clock.Now()
	id := fmt.Sprintf("%s-%05d", name, len(f.jobs))
	j := &simJob{def: &job.Definition{ID: id, Profile: name, AcceptedMs: now.UnixMilli(), Input: make([]byte, 500)}, acceptMs: now.UnixMilli(), workMs: map[job.TaskID]float64{}}
	chain, total := 0.0, 0.0
	for s := range steps {
		count := max(1, int(f.spread(float64(width), 0.6, 4*float64(width))))
		mean := f.spread(work, 0.5, workMax)
		def := job.Step{
			Count: count, Need: resources.Resources{MilliCPU: int64(f.spread(cpu, 0.3, 2*cpu)), MemoryMB: int64(2 * cpu)},
			EstimateMs: int64(f.spread(mean, 0.3, 2*workMax)),
		}
		if s > 0 {
			def.After = []int{s - 1}
		}
		step(&def)
		longest := 0.0
		for i := range count {
			ms := f.spread(mean, uneven, workMax)
			j.workMs[job.TaskID{Job: id, Step: s, Index: i}] = ms
			longest = max(longest, ms)
			total += ms * float64(def.Need.MilliCPU) / 1e6
		}
		chain += longest
		j.def.Steps = append(j.def.Steps, def)
	}
	j.objective = time.Duration((stretch*chain + targetMs) * float64(time.Millisecond))
	j.worth = worth * min(0.3+0.7*total/(2*float64(width)*work*cpu/1e6), 4)
	f.jobs, f.byID[id] = append(f.jobs, j), j
	f.table.Accept(now, j.def, 1, false)
	return j
}

func (f *fleetLoad) handInWatch() {
	image := fmt.Sprint("s", f.rand.IntN(servingImages))
	j := f.handIn(watchProfile, 1, f.spec.watchWidth, 13_000, 500, 1200, 0, 2.2, 3000, f.spec.watchWorth, func(s *job.Step) {
		s.LongRunning, s.Image, s.TargetMs, s.Spread = true, image, simTargetMs, 2
	})
	f.loads[j.def.ID] = simLoad{level: 0.45, swing: 0.5, phase: 14 * f.rand.Float64()}
}

func (f *fleetLoad) arrivals() {
	seconds := simStep.Seconds()
	if f.rand.Float64() < f.spec.checks*seconds {
		f.handIn(checkProfile, 1+f.rand.IntN(2), f.spec.checkWidth, f.spec.checkCPU, f.spec.checkMs, 2.5*f.spec.checkMs, 0.3, 1.5, 600, f.spec.checkWorth, func(*job.Step) {})
	}
	if f.rand.Float64() < f.spec.proofs*seconds {
		image := fmt.Sprint("b", f.rand.IntN(fillingImages))
		f.handIn(proofProfile, 1+f.rand.IntN(3), f.spec.proofWidth, 7000, f.spec.proofMs, 2.5*f.spec.proofMs, 0.15, 2, 1000, f.spec.proofWorth, func(s *job.Step) {
			s.Fills, s.Image, s.Checkpoints = true, image, true
		})
	}
}

// run drives the table for a simulated time.
func (f *fleetLoad) run(d time.Duration) {
	for end := f.clock.Now().Add(d); f.clock.Now().Before(end); {
		f.clock.Advance(simStep)
		now := f.clock.Now()
		f.arrivals()
		f.table.ConfirmTerm(now, ConfirmedByStore)
		for _, w := range f.workers {
			f.work(now, w)
			f.report(now, w)
		}
		f.table.Tick(now)
		if f.timer != nil {
			f.timer.StartTimer()
		}
		began := time.Now()
		orders := f.table.Dispatch(now)
		f.passes = append(f.passes, time.Since(began))
		if f.timer != nil {
			f.timer.StopTimer()
		}
		for _, o := range orders {
			w := f.byAgent[o.Agent]
			w.inbox = append(w.inbox, simOrders{now.Add(w.delay), o.Orders})
			f.starts += len(o.Orders.Starts)
		}
		f.table.MarkCommitted(f.table.TakeRecords(1000))
		jobs, _ := f.table.Updates()
		for _, u := range jobs {
			if j := f.byID[u.Job]; u.State == job.Done && j.doneAt.IsZero() {
				j.doneAt = now
			}
		}
	}
}

// work executes one simStep at a worker.
func (f *fleetLoad) work(now time.Time, w *simWorker) {
	for len(w.inbox) > 0 && !w.inbox[0].at.After(now) {
		for _, o := range w.inbox[0].orders.Starts {
			j := f.byID[o.Key.Task.Job]
			left := j.workMs[o.Key.Task]
			r := &simRun{order: o, leftMs: left, pace: fullPacePct}
			if !o.LongRunning && f.rand.Float64() < 0.03 {
				r.fails, r.leftMs = true, left*f.rand.Float64()
			}
			w.runs = append(w.runs, r)
		}
		for _, s := range w.inbox[0].orders.Stops {
			w.runs = slices.DeleteFunc(w.runs, func(r *simRun) bool { return r.order.Key == s.Key })
		}
		w.inbox = w.inbox[1:]
	}
	var used, fill float64
	for _, r := range w.runs {
		switch {
		case r.order.Fills && r.pace > 0:
			fill += 0.8 * float64(r.order.Need.MilliCPU)
		case r.order.TargetMs > 0:
			used += f.servingLoad(now, r) * float64(r.order.Need.MilliCPU)
		case !r.order.Fills:
			used += float64(r.order.Need.MilliCPU)
		}
	}
	rate := min(1, max(float64(w.capacity)-used, 0)/max(fill, 1))
	pauses := false
	for _, r := range w.runs {
		if r.order.TargetMs > 0 {
			f.serve(now, w, r, rate)
			pauses = pauses || !r.over.IsZero() && f.table.cfg.Guard.Pauses(now.Sub(r.over))
		}
	}
	w.runs = slices.DeleteFunc(w.runs, func(r *simRun) bool {
		speed := 1.0
		if r.order.Fills {
			if r.pace = fullPacePct; pauses {
				r.pace = 0
			}
			speed = rate * float64(r.pace) / fullPacePct
			r.cpu = int64(0.8 * float64(r.order.Need.MilliCPU) * speed)
		}
		if r.order.LongRunning {
			return false
		}
		r.leftMs -= speed * float64(simStep.Milliseconds())
		if r.leftMs > 0 {
			return false
		}
		w.serial++
		e := message.RunEnd{Key: r.order.Key, How: job.EndDone, Serial: w.serial}
		if r.fails {
			e.How = job.EndFailed
		}
		w.ends = append(w.ends, e)
		w.due = now.Add(w.delay + 15*time.Millisecond)
		return true
	})
}

func (f *fleetLoad) servingLoad(now time.Time, r *simRun) float64 {
	l := f.loads[r.order.Key.Task.Job]
	return l.level * (1 + l.swing*math.Sin(2*math.Pi*(float64(now.UnixMilli())/1000+l.phase)/14))
}

// serve updates the tail latency of a serving task.
func (f *fleetLoad) serve(now time.Time, w *simWorker, r *simRun, rate float64) {
	load := f.servingLoad(now, r)
	pressure := 0.0
	for _, other := range w.runs {
		if other.order.Fills && other.pace > 0 {
			share := 0.8 * rate * float64(other.order.Need.MilliCPU) / float64(w.capacity)
			pressure += share * f.weights[interference.PressurePair{Serving: r.order.Image, Filling: other.order.Image}]
		}
	}
	v := min(load*(1+pressure), 0.99)
	r.tailMs = int(simIdleTailMs / (1 - v))
	if r.tailMs <= simTargetMs {
		r.over = time.Time{}
		return
	}
	if r.over.IsZero() {
		r.over = now
	}
	if pressure > 0 {
		id, window := r.order.Key.Task.Job, int(now.Sub(f.began)/windowLength)
		for len(f.windows[id]) <= window {
			f.windows[id] = append(f.windows[id], 0)
		}
		f.windows[id][window] += simStep.Seconds()
	}
}

// report sends the ends of a worker, and the measurements of its tasks every half second.
func (f *fleetLoad) report(now time.Time, w *simWorker) {
	sample := now.Sub(w.sampled) >= testReportInterval
	if !sample && (len(w.ends) == 0 || now.Before(w.due)) {
		return
	}
	w.sequence++
	r := message.Report{Agent: w.agent, Session: 1, Sequence: w.sequence, Ends: w.ends}
	w.ends = nil
	if sample {
		w.sampled = now
		for _, run := range w.runs {
			s := message.RunState{Key: run.order.Key, PacePct: run.pace, MilliCPU: int(run.cpu), TailMs: run.tailMs}
			if run.order.LongRunning {
				s.ProgressPct = fullPacePct
			}
			r.Running = append(r.Running, s)
		}
	}
	f.table.ApplyReport(now, &r)
}

// loadResult is what the load has earned, as shares of what it could have.
type loadResult struct {
	checks, proofs, watches, total, overSeconds float64
	passP99                                     time.Duration
	startsPerSecond                             float64
}

// result rates the jobs that were handed in between two times after the start: those done within
// their objective count fully, those within three times it count 0.15. A window of a serving job
// counts the share of its tasks at work, less four times the share that filling tasks have brought
// over the target.
func (f *fleetLoad) result(from, to time.Duration) loadResult {
	owed, earned, r := map[string]float64{}, map[string]float64{}, loadResult{}
	for _, j := range f.jobs {
		at := time.UnixMilli(j.acceptMs)
		if j.def.Profile == watchProfile {
			for w := int(from / windowLength); w < int(to/windowLength); w++ {
				over := 0.0
				if w < len(f.windows[j.def.ID]) {
					over = f.windows[j.def.ID][w]
				}
				r.overSeconds += over
				owed[watchProfile] += f.spec.watchWorth
				earned[watchProfile] += f.spec.watchWorth * max(0, 1-4*over/windowLength.Seconds()/float64(j.def.Steps[0].Count))
			}
			continue
		}
		if at.Before(f.began.Add(from)) || at.After(f.began.Add(to)) {
			continue
		}
		owed[j.def.Profile] += j.worth
		switch took := j.doneAt.Sub(at); {
		case j.doneAt.IsZero():
		case took <= j.objective:
			earned[j.def.Profile] += j.worth
		case took <= 3*j.objective:
			earned[j.def.Profile] += 0.15 * j.worth
		}
	}
	share := func(name string) float64 { return earned[name] / owed[name] }
	r.checks, r.proofs, r.watches = share(checkProfile), share(proofProfile), share(watchProfile)
	for name := range owed {
		r.total += earned[name]
	}
	r.total /= owed[checkProfile] + owed[proofProfile] + owed[watchProfile]
	passes := slices.Sorted(slices.Values(f.passes))
	r.passP99 = passes[len(passes)*99/100]
	r.startsPerSecond = float64(f.starts) / f.clock.Since(f.began).Seconds()
	return r
}

// Guards against a fleet of hundreds of workers that serves its load worse than a small one does:
// wide batch jobs arrive together while serving tasks hold most of each worker, and half of the
// workers are in the other region.
func TestWideJobsBesideServingTasks(t *testing.T) {
	for _, c := range []struct {
		name  string
		spec  loadSpec
		seeds uint64 // few jobs arrive at a small fleet
	}{{"large", largeFleet, 1}, {"small", smallFleet, 8}} {
		var sum loadResult
		for seed := range c.seeds {
			f := newFleetLoad(c.spec, seed)
			f.run(18 * time.Second)
			r := f.result(time.Second, 5*time.Second)
			share := 1 / float64(c.seeds)
			sum.checks, sum.proofs, sum.watches = sum.checks+share*r.checks, sum.proofs+share*r.proofs, sum.watches+share*r.watches
		}
		t.Logf("%s: checks %.3f, proofs %.3f, watches %.3f", c.name, sum.checks, sum.proofs, sum.watches)
		require.Greater(t, sum.checks, 0.9, c.name)
		require.Greater(t, sum.proofs, 0.75, c.name)
		require.Greater(t, sum.watches, 0.8, c.name)
	}
}

// BenchmarkPassOfALargeFleet measures Dispatch with 240 agents and about 800 starts a second, one
// call for each 10 ms.
func BenchmarkPassOfALargeFleet(b *testing.B) {
	f := newFleetLoad(largeFleet, 1)
	f.run(5 * time.Second)
	f.passes, f.starts = nil, 0
	b.ReportAllocs()
	b.ResetTimer()
	b.StopTimer()
	f.timer = b
	f.run(time.Duration(b.N) * simStep)
	passes := slices.Sorted(slices.Values(f.passes))
	b.ReportMetric(float64(passes[len(passes)*99/100].Microseconds()), "p99-us")
	b.ReportMetric(float64(f.starts)/float64(b.N), "starts/op")
}

// Guards against a cached load of a worker that is outdated after a change of its runs, its
// measurements or its capacity.
func TestCachedFillLoadsFollowChanges(t *testing.T) {
	f := newFleetLoad(smallFleet, 2)
	for range 200 {
		f.run(5 * simStep)
		now := f.clock.Now()
		for _, a := range f.table.sortedAgents {
			cached := f.table.loadOf(now, a)
			fresh := f.table.newFillLoad(cached.at, a)
			require.Equal(t, fresh.idleMilliCPU, cached.idleMilliCPU)
			require.Equal(t, fresh.closed, cached.closed)
			require.Len(t, cached.serving, len(fresh.serving))
			require.Less(t, now.Sub(cached.at), maxFillLoadAge)
		}
	}
}

// BenchmarkWideStep measures one Dispatch that places 160 equal filling tasks on 240 workers.
func BenchmarkWideStep(b *testing.B) {
	f := newFleetLoad(largeFleet, 1)
	f.run(2 * time.Second)
	least := time.Hour
	b.ReportAllocs()
	b.StopTimer()
	for range b.N {
		f.run(20 * simStep)
		f.handIn(proofProfile, 1, 160, 1000, 100, 200, 0, 2, 1000, 1, func(s *job.Step) {
			s.Count, s.Fills, s.Image = 160, true, "b1"
		})
		b.StartTimer()
		began := time.Now()
		orders := f.table.Dispatch(f.clock.Now())
		least = min(least, time.Since(began))
		b.StopTimer()
		for _, o := range orders {
			w := f.byAgent[o.Agent]
			w.inbox = append(w.inbox, simOrders{f.clock.Now().Add(w.delay), o.Orders})
		}
	}
	b.ReportMetric(float64(least.Microseconds()), "least-us")
}
