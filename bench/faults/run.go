package faults

import (
	"bytes"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"camphorhead.example/bench/cluster"
	"camphorhead.example/bench/verify"
	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/process/lockrank"
	"camphorhead.example/camphorhead/process/settings"
	"camphorhead.example/camphorhead/request/resources"
)

const (
	// readyTimeout bounds the start of a deployment, settleTimeout the time after
	// which accepted work counts as lost once all faults have ended.
	readyTimeout  = 30 * time.Second
	settleTimeout = 30 * time.Second
	// tailLoad is how long the load goes on after the last fault.
	tailLoad = time.Second
	// poll is the interval of readings and of waiting for a condition.
	poll = 50 * time.Millisecond
)

// lease and callTimeoutMs let a deployment fail over within seconds.
var lease = settings.Lease{TaskMs: 5000, HeartbeatMs: 500, LeaderMs: 3000}

const callTimeoutMs = 1500

// capacity of a worker; a few proofs fill it.
var capacity = resources.Resources{MilliCPU: 16_000, MemoryMB: 40_000}

// run is one schedule while it runs.
type run struct {
	schedule schedule
	trace    *trace
	cluster  *cluster.Cluster
	traffic  *traffic
	control  *control
	readings *readings
	settled  time.Duration
	left     string // the jobs that did not settle

	mu      lockrank.Mutex // guards the fields below
	applied []Applied
	stops   []Stop
	failed  errs.Group
}

func newRun(s schedule, traced bool) *run {
	r := &run{schedule: s, mu: lockrank.NewMutex(lockrank.RankMetrics)}
	if traced {
		r.trace = &trace{mu: lockrank.NewMutex(lockrank.RankMetrics + 1)}
	}
	return r
}

// run returns the history of the schedule.
func (r *run) run(ctx context.Context) (*History, error) {
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	h, err := r.play(ctx)
	r.traffic.close()
	return h, errs.Combine(err, r.cluster.Close())
}

func (r *run) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	s := r.schedule
	r.traffic = newTraffic(s.seed)
	limits := settings.Default(settings.RoleEntry).Limits
	limits.CallTimeoutMs = callTimeoutMs
	topology := cluster.Laque()
	topology.Workers, topology.Capacity, topology.Slots = s.workers, capacity, slots
	c, err := cluster.Start(ctx, cluster.Config{
		Topology: topology, Seed: s.seed, EntriesPerRegion: 1, ExtraEntries: s.entries - len(regions(topology)),
		Delays: true, Faults: true, Lease: lease, Limits: limits, ServiceTime: r.traffic.serviceTime,
		Behaviour: behaviour, UsageLag: time.Second, Log: r.log(),
	})
	if err != nil {
		return err
	}
	r.cluster = c
	err = c.AwaitReady(ctx)
	if err == nil {
		err = c.Apply(ctx, profiles(topology.Service)...)
	}
	if err == nil {
		err = r.traffic.connect(c)
	}
	if err != nil {
		return errs.Combine(err, c.Close())
	}
	return nil
}

func regions(t cluster.Topology) map[string]bool {
	m := map[string]bool{}
	for _, d := range t.Domains {
		m[d.Region] = true
	}
	return m
}

func (r *run) log() event.Logger {
	if r.trace == nil {
		return event.Logger{}
	}
	log, _ := event.New(r.trace, "human", "debug") // the format and the level exist
	return log
}

// play loads the deployment, applies the faults and lets it settle.
func (r *run) play(ctx context.Context) (*History, error) {
	r.control = newControl(r.cluster, r.traffic, r.schedule.seed)
	r.readings = newReadings(r.cluster)
	background, end := context.WithCancel(ctx)
	var wg, load sync.WaitGroup
	wg.Go(func() { r.readings.run(background) })
	wg.Go(func() { r.traffic.balance(background) })
	loading, stopLoad := context.WithCancel(ctx)
	load.Go(func() { r.traffic.run(loading) })
	load.Go(func() { r.control.run(loading) })
	r.inject(ctx)
	pause(ctx, tailLoad)
	stopLoad()
	load.Wait()
	r.settle(ctx)
	end()
	wg.Wait()
	if err := errs.Combine(ctx.Err(), r.failed.Err()); err != nil {
		return nil, err
	}
	return r.history(), nil
}

// settle waits for the accepted jobs and for the configuration. What it does
// not reach within its bounds, the checks find.
func (r *run) settle(ctx context.Context) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	r.control.removeStops(ctx)
	rng := rand.New(rand.NewPCG(r.schedule.seed, 1))
	for !r.traffic.jobs.settle(ctx, r.traffic, rng, r.runs()) && pause(ctx, poll) {
		continue
	}
	r.settled = time.Since(began)
	if ctx.Err() != nil {
		r.left = r.traffic.jobs.unsettled(r.runs())
	}
	version := r.control.highest()
	for !r.readings.inForce(version) && pause(ctx, poll) {
		continue
	}
}

func (r *run) runs() []verify.Run {
	var list []verify.Run
	for _, n := range r.cluster.Nodes {
		for _, w := range n.Workers() {
			for _, record := range w.Records() {
				list = append(list, verify.Run{Worker: w.Address(), Record: record})
			}
		}
	}
	return list
}

// history reads all records. The schedule has ended.
func (r *run) history() *History {
	h := &History{
		Attempts: r.traffic.attempts.list(), Jobs: r.traffic.jobs.list(), Runs: r.runs(), Capacity: capacity,
		Readings: r.readings.end(), Changes: r.control.changes(), Stops: r.stops, Applied: r.applied, End: time.Now(),
	}
	for _, n := range r.cluster.Nodes {
		for _, w := range n.Workers() {
			h.Overcommits += w.Overcommits()
		}
		for _, t := range n.Targets() {
			for id, list := range t.Executions() {
				for _, e := range list {
					h.Executions = append(h.Executions, r.traffic.execution(t.Address(), id, e))
				}
			}
		}
	}
	return h
}

// note records a fault that has ended.
func (r *run) note(a Applied) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applied = append(r.applied, a)
}

func (r *run) noteStop(s Stop) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stops = append(r.stops, s)
}

func (r *run) fail(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed.Add(err)
}

// trace collects the log of one schedule.
type trace struct {
	mu     lockrank.Mutex // guards buffer
	buffer bytes.Buffer
}

// Write implements io.Writer; processes log under any lock but that of a stand-in.
func (t *trace) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.buffer.Write(p)
}

func (t *trace) bytes() []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	return bytes.Clone(t.buffer.Bytes())
}

// pause returns false when ctx ends first.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
