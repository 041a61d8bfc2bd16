package scenario

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"camphorhead.example/bench/caller"
	"camphorhead.example/bench/load"
	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/connection/peer"
	adapter "camphorhead.example/camphorhead/platform"
	"camphorhead.example/camphorhead/process/entry"
	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/process/pool"
	"camphorhead.example/camphorhead/process/settings"
	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/request/outcome"
	"camphorhead.example/camphorhead/request/resources"
	"camphorhead.example/camphorhead/version/profile"
	"camphorhead.example/standin/store"
)

const (
	fleetWorkers      = 700
	fleetTasks        = 18_000
	fleetRate         = 140 // starts per second
	fleetTaskDuration = 2 * time.Second
	fleetSpan         = 10 * time.Second
	fleetKey          = "key of the processes in one cluster"
	// fleetHeartbeat is the default interval of agents' reports.
	fleetHeartbeat = 10 * time.Second
)

// fleet emulates 700 agents on one connection: it sends their reports, accepts
// every start, and reports each task as done after fleetTaskDuration.
type fleet struct {
	net   *peer.Network
	pool  *pool.Pool
	entry string

	mu          sync.Mutex // guards the fields below
	agents      []*emulatedAgent
	starts      map[string]time.Time // by job id
	pendingEnds []scheduledEnd
	started     int
}

// emulatedAgent is the state of one agent.
type emulatedAgent struct {
	mu       sync.Mutex // held while a report is sent, which keeps reports in order
	report   message.Report
	serial   uint64
	attached bool
	ends     []message.RunEnd
}

// scheduledEnd is a run that ends at the given time.
type scheduledEnd struct {
	agent int
	at    time.Time
	key   job.RunKey
}

func newFleet(b *testing.B) *fleet {
	f := &fleet{pool: pool.New(64, 1<<16), starts: map[string]time.Time{}}
	f.net = peer.New(peer.Config{
		Listen: "127.0.0.1:0", Key: []byte(fleetKey),
		Hello: func() message.Hello { return message.Hello{ID: "agents", Role: message.RoleAgent} },
	}, f.pool, f)
	require.NoError(b, f.net.Start())
	// The free capacity of a worker beside its part of the 18,000 running tasks.
	running := int64(fleetTasks / fleetWorkers)
	free := resources.Resources{MilliCPU: 64_000 - 2000*running, MemoryMB: 250_000 - 8000*running}
	for i := range fleetWorkers {
		domain := i / 3 % 10
		location := message.Location{
			Region: fmt.Sprintf("region-%d", domain%3), Domain: fmt.Sprintf("domain-%d", domain), Rack: fmt.Sprintf("rack-%d", i/3),
		}
		id := fmt.Sprintf("worker-%03d", i)
		f.agents = append(f.agents, &emulatedAgent{report: message.Report{
			Agent: id, Address: f.net.Address(), Location: location, Session: uint64(i + 1),
			Worker: &message.WorkerInfo{ID: id, StartedMs: 1, Capacity: free, Reachable: true},
			Summary: &message.Summary{
				Agent: id, Address: f.net.Address(), Session: uint64(i + 1), Location: location, Capacity: free, Free: free,
			},
		}})
	}
	return f
}

// Queue implements peer.Handler.
func (f *fleet) Queue(peer.Request) bool { return false }

// Handle implements peer.Handler.
func (f *fleet) Handle(_ context.Context, r peer.Request) {
	if r.Kind != message.KindOrders {
		r.Fail(outcome.New(outcome.MalformedFrame, "only orders are served"))
		return
	}
	var orders message.Orders
	if err := r.Decode(&orders); err != nil {
		r.Fail(err)
		return
	}
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range orders.Starts {
		f.started++
		f.starts[s.Key.Task.Job] = now
		f.pendingEnds = append(f.pendingEnds, scheduledEnd{agent: int(orders.Session) - 1, at: now.Add(fleetTaskDuration), key: s.Key})
	}
}

// report sends a report of one agent with the ends of its runs. Reports are full
// until the entry has admitted the agent.
func (f *fleet) report(agent int) {
	f.mu.Lock()
	p := f.agents[agent]
	f.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.report.Sequence++
	r := p.report
	r.Full = !p.attached
	if p.attached {
		r.Worker, r.Summary = nil, nil
	}
	for _, e := range p.ends {
		p.serial++
		e.Serial = p.serial
		r.Ends = append(r.Ends, e)
	}
	p.ends = nil
	var reply message.ReportReply
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if f.net.Call(ctx, f.entry, message.KindReport, &r, &reply) == nil {
		p.attached = p.attached || reply.LeaseMs > 0
	}
}

// attach repeats the reports of all agents until the entry has admitted them.
func (f *fleet) attach(b *testing.B) {
	require.Eventually(b, func() bool {
		all := true
		for i, p := range f.agents {
			if !p.attached {
				f.report(i)
				all = all && p.attached
			}
		}
		return all
	}, 30*time.Second, 20*time.Millisecond)
}

// reportEnds reports the runs whose end is due; it is called by a ticker.
func (f *fleet) reportEnds(context.Context) {
	now := time.Now()
	due := map[int]bool{}
	f.mu.Lock()
	for len(f.pendingEnds) > 0 && !f.pendingEnds[0].at.After(now) {
		e := f.pendingEnds[0]
		f.pendingEnds = f.pendingEnds[1:]
		p := f.agents[e.agent]
		p.mu.Lock()
		p.ends = append(p.ends, message.RunEnd{Key: e.key, How: job.EndDone})
		p.mu.Unlock()
		due[e.agent] = true
	}
	f.mu.Unlock()
	for agent := range due {
		_ = f.pool.Submit(func(context.Context) { f.report(agent) })
	}
}

// startEntry runs a real entry over a stand-in store.
func startEntry(b *testing.B) (*entry.Entry, *store.Store) {
	st, err := store.New(store.Config{})
	require.NoError(b, err)
	b.Cleanup(st.Close)
	log, err := event.New(io.Discard, settings.FormatHuman, settings.LevelError)
	require.NoError(b, err)
	cfg := settings.Default(settings.RoleEntry)
	cfg.Process = settings.Process{ID: "entry-0", Region: "region-0", FailureDomain: "domain-0", Listen: "127.0.0.1:0", Key: fleetKey}
	cfg.HTTP.Listen = "127.0.0.1:0"
	e := entry.New(cfg, entry.Deps{
		Clock: clockwork.NewRealClock(), Log: log, Store: adapter.NewStore(st.Address(), cfg.Limits.CallTimeout()),
		Delays: entry.DefaultDelays(),
	})
	require.NoError(b, e.Start(b.Context()))
	b.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		if err := e.Stop(ctx); err != nil {
			b.Log("entry was not stopped cleanly:", err)
		}
	})
	return e, st
}

// BenchmarkStarts submits 140 jobs per second for ten seconds to one real entry with 700
// agents that run 18,000 tasks. The agents are emulated over one connection; their
// processor time is part of the measurement. Run it with -benchtime 1x.
func BenchmarkStarts(b *testing.B) {
	e, st := startEntry(b)
	f := newFleet(b)
	f.entry = e.Address()
	defer func() {
		f.pool.Close()
		require.NoError(b, f.net.Close())
	}()
	require.Eventually(b, e.LeaderReady, 30*time.Second, 20*time.Millisecond)
	f.attach(b)
	ticker := f.pool.Every(20*time.Millisecond, f.reportEnds)
	defer ticker.Stop()
	p := profile.Profile{
		Name: "batch-proof", Kind: job.Proof, DeadlineMs: 5000, Resources: resources.Resources{MilliCPU: 1000, MemoryMB: 2000},
	}
	_, err := e.ChangeProfile(b.Context(), "bench", p, 0)
	require.NoError(b, err)
	client, err := caller.New([]string{"http://" + e.HTTPAddress()}, "", caller.DefaultConnections)
	require.NoError(b, err)
	defer client.Close()
	for b.Loop() {
		before, began := st.Calls(), time.Now()
		f.measure(b, client)
		calls := st.Calls().Sub(before)
		b.ReportMetric(float64(calls.Writes)/time.Since(began).Seconds(), "store-writes/s")
		b.ReportMetric(float64(calls.Reads+calls.Watches)/time.Since(began).Seconds(), "store-reads/s")
	}
}

func (f *fleet) measure(b *testing.B, client *caller.Client) {
	var mu sync.Mutex // guards intended
	intended := map[string]time.Time{}
	g, err := load.New(load.Config{
		Rate: fleetRate, Duration: fleetSpan, Callers: 512, Seed: 1,
		Send: func(ctx context.Context, c load.Call) load.Class {
			response, err := client.Submit(ctx, caller.Request{
				Profile: "batch-proof", Franchisee: fmt.Sprintf("f%d", c.Sequence%53),
				Key: fmt.Sprintf("%d-%d", time.Now().UnixNano(), c.Sequence), Deadline: 5 * time.Second, Body: []byte("{}"),
			})
			if err != nil {
				return load.Failed
			}
			mu.Lock()
			defer mu.Unlock()
			intended[response.Job.ID] = c.Intended
			return load.OK
		},
	})
	require.NoError(b, err)
	f.sendReportsDuring(func() { g.Run(b.Context()) })
	allStarted := func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.starts) >= len(intended)
	}
	await(b.Context(), fleetSpan, allStarted)
	r := g.Report()
	b.ReportMetric(float64(r.Sent), "jobs")
	b.ReportMetric(float64(r.Sent-r.OK), "not-accepted")
	f.summarize(b, intended)
}

// summarize reports the rate of starts from the first submission to the last
// start, and the wait of each job from its intended submission to its start.
func (f *fleet) summarize(b *testing.B, intended map[string]time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var waits []float64
	var first, last time.Time
	for id, at := range f.starts {
		sent, ok := intended[id]
		if !ok {
			continue
		}
		waits = append(waits, milliseconds(at.Sub(sent)))
		if at.After(last) {
			last = at
		}
		if first.IsZero() || sent.Before(first) {
			first = sent
		}
	}
	b.ReportMetric(float64(len(intended)-len(waits)), "not-started")
	b.ReportMetric(float64(len(waits))/last.Sub(first).Seconds(), "starts/s")
	b.ReportMetric(quantileOf(waits, 0.5), "wait-p50-ms")
	b.ReportMetric(quantileOf(waits, 0.99), "wait-p99-ms")
	b.ReportMetric(quantileOf(waits, 1), "wait-max-ms")
}

// sendReportsDuring sends one report of each agent per fleetHeartbeat until run returns.
func (f *fleet) sendReportsDuring(run func()) {
	next := 0
	ticker := f.pool.Every(fleetHeartbeat/fleetWorkers, func(context.Context) {
		f.report(next % fleetWorkers)
		next++
	})
	defer ticker.Stop()
	run()
}
