// Package agent is the role of the process beside one worker and its targets.
//
// The agent is the one authority over its worker: nothing runs there that its
// ledger has not admitted. It renews task leases at the worker only as far as
// an entry has granted them, so a worker whose agent is cut off stops its
// tasks before anyone else may start them.
package agent

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/connection/peer"
	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/process/ledger"
	"camphorhead.example/camphorhead/process/metrics"
	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/process/pool"
	"camphorhead.example/camphorhead/process/runs"
	"camphorhead.example/camphorhead/process/settings"
	"camphorhead.example/camphorhead/process/timeline"
	"camphorhead.example/camphorhead/request/outcome"
	"camphorhead.example/camphorhead/request/resources"
	"camphorhead.example/camphorhead/version/holder"
)

// Deps are the outside parts that an agent works with.
type Deps struct {
	Clock  clockwork.Clock
	Log    event.Logger
	Worker platform.Worker
	// Runner is the worker of agents that follow a leader's orders, ReadLeader
	// asks the store who that is, and Registry serves the worker's announcements.
	Runner     platform.Runner
	ReadLeader func(ctx context.Context) (message.Leader, error)
	Registry   func(*Agent) fasthttp.RequestHandler
}

// Agent is one agent process.
type Agent struct {
	cfg     settings.Settings
	clock   clockwork.Clock
	log     event.Logger
	metrics *metrics.Registry
	pool    *pool.Pool
	net     *peer.Network
	hlc     *timeline.Clock
	ring    *timeline.Ring
	config  *holder.Holder
	ledger  *ledger.Ledger
	session *session
	checks  *checks
	tasks   *tasks
	control *control
	web     *web
	node    *runs.Node
	// registry is the listener of a worker that announces itself; nil: none.
	registry *registry
	deps     Deps
	stop     context.CancelFunc
	tickers  []*pool.Ticker

	// serving is true between a successful Start and Stop.
	serving  atomic.Bool
	draining draining
	started  time.Time
}

// New returns an agent that is not yet started.
func New(cfg settings.Settings, deps Deps) *Agent {
	a := &Agent{
		cfg: cfg, clock: deps.Clock, metrics: metrics.New(),
		pool:   pool.New(int(cfg.Limits.PoolWorkers), int(cfg.Limits.PoolQueue)),
		config: holder.New(deps.Clock),
		hlc:    timeline.NewClock(deps.Clock),
		ledger: ledger.New(ledger.Config{
			Clock: deps.Clock, Reserve: reserveOf(cfg), CPUFloorPercent: cfg.Limits.CPUFloorPercent,
		}),
		started: deps.Clock.Now(), deps: deps,
	}
	a.ring = timeline.NewRing(cfg.Process.ID, a.hlc, timeline.DefaultLength)
	a.log = deps.Log.WithRecorder(a.ring)
	a.net = peer.New(peer.Config{
		Listen: cfg.Process.Listen, Hello: a.hello, Key: []byte(string(cfg.Process.Key)),
		Translate: cfg.Network.Dial, Observer: event.Connections(a.log), Clock: a.hlc,
	}, a.pool, handler{a})
	a.session = newSession(a)
	a.checks = newChecks(a)
	a.tasks = newTasks(a, deps.Worker)
	a.control = newControl(a)
	a.web = newWeb(a)
	a.metrics.PublishProcess(a.started, a.clock.Now, a.FrameBytes, a.pool.Queued)
	a.metrics.Gauge("services", func() any { return a.checks.loads() })
	if deps.Runner != nil {
		a.node = a.newNode(deps)
	}
	return a
}

// Start opens the listeners, reads the worker's tasks and joins an entry.
func (a *Agent) Start(ctx context.Context) error {
	if err := a.net.Start(); err != nil {
		a.pool.Close()
		return err
	}
	if err := a.web.start(); err != nil {
		err = errs.Combine(err, a.net.Close())
		a.pool.Close()
		return err
	}
	a.serving.Store(true)
	run, cancel := context.WithCancel(context.WithoutCancel(ctx))
	a.stop = cancel
	if a.node != nil {
		a.node.Start()
		a.log.Emit(event.ProcessServing, "frames_address", a.Address(), "http_address", a.HTTPAddress(),
			"elapsed_ms", a.clock.Since(a.started).Milliseconds())
		return a.startRegistry(a.deps.Registry(a))
	}
	a.tasks.start(run)
	a.tickers = append(a.tickers,
		a.pool.Every(a.cfg.Lease.Heartbeat()/heartbeatTicks, a.session.tick),
		a.pool.Every(outboxInterval, a.tasks.deliver),
		a.pool.Every(checkSweepInterval, a.checks.sweep),
		a.pool.Every(drainInterval, a.drain),
		a.pool.Every(controlInterval, a.control.tick),
	)
	return nil
}

// Stop ends the agent. Tasks keep running at the worker until their lease ends
// or the next agent adopts them; queued checks are answered as "not run".
// A second call, or one after a failed Start, does nothing.
func (a *Agent) Stop(ctx context.Context) error {
	if !a.serving.CompareAndSwap(true, false) {
		return nil
	}
	if a.node != nil {
		return a.stopNode()
	}
	a.draining.all()
	a.checks.close(ctx)
	for _, t := range a.tickers {
		t.Stop()
	}
	a.stop()
	a.tasks.wait()
	err := errs.Combine(a.web.close(), a.net.Close())
	a.pool.Close()
	return err
}

// stopNode ends an agent that follows a leader's orders. What runs goes on
// until its lease ends or the next agent takes it over.
func (a *Agent) stopNode() error {
	a.log.Emit(event.ProcessStopping, "reason", "stop requested")
	a.node.Stop()
	var err error
	if a.registry != nil {
		err = a.registry.close()
	}
	a.stop()
	err = errs.Combine(err, a.web.close(), a.net.Close())
	a.pool.Close()
	a.log.Emit(event.ProcessStopped)
	return err
}

// Address returns the bound address of the frame listener.
func (a *Agent) Address() string { return a.net.Address() }

// HTTPAddress returns the bound address of the HTTP listener.
func (a *Agent) HTTPAddress() string { return a.web.address() }

// Metrics returns the metrics of this process.
func (a *Agent) Metrics() *metrics.Registry { return a.metrics }

// FrameBytes returns the bytes sent and received as frames by this process.
func (a *Agent) FrameBytes() (sent, received int64) { return a.net.Traffic().Total() }

// ConfigVersion returns the configuration version in force.
func (a *Agent) ConfigVersion() uint64 { return a.config.Document().Version }

func (a *Agent) advertised() string {
	if a.cfg.Process.Advertise != "" {
		return a.cfg.Process.Advertise
	}
	return a.net.Address()
}

// reserve is the part of the worker that is kept for checks.
func (a *Agent) reserve() resources.Resources { return reserveOf(a.cfg) }

func reserveOf(cfg settings.Settings) resources.Resources {
	return resources.Resources{MilliCPU: cfg.Limits.ReserveMilliCPU, MemoryMB: cfg.Limits.ReserveMemoryMB}
}

func (a *Agent) location() message.Location {
	p := a.cfg.Process
	return message.Location{Region: p.Region, Domain: p.FailureDomain, Rack: p.Rack}
}

func (a *Agent) hello() message.Hello {
	return message.Hello{
		ID: a.cfg.Process.ID, Role: message.RoleAgent, Address: a.advertised(),
		Location: a.location(), Session: a.session.number.Load(), ConfigVersion: a.ConfigVersion(),
	}
}

// handler dispatches frames to the parts of the agent.
type handler struct{ *Agent }

// Queue implements peer.Handler: a check goes straight into the fair queue of
// its service, whose slot workers answer it.
func (h handler) Queue(r peer.Request) bool {
	if r.Kind != message.KindCheck {
		return false
	}
	h.checks.handle(r)
	return true
}

// Handle implements peer.Handler.
func (h handler) Handle(ctx context.Context, r peer.Request) {
	if h.node != nil && h.node.Handle(ctx, r) {
		return
	}
	switch r.Kind {
	case message.KindQuery:
		h.checks.query(r)
	case message.KindStartTask:
		h.tasks.handleStart(ctx, r)
	case message.KindStopTask:
		h.tasks.handleStop(ctx, r)
	case message.KindTaskStatus:
		h.tasks.handleStatus(r)
	case message.KindConfig:
		h.applyConfig(r)
	case message.KindTimeline:
		h.serveTimeline(r)
	default:
		r.Fail(outcome.Field(outcome.MalformedFrame, "kind", "an agent does not serve this message"))
	}
}

func (a *Agent) serveTimeline(r peer.Request) {
	var f timeline.Filter
	if err := r.Decode(&f); err != nil {
		r.Fail(err)
		return
	}
	r.Reply(message.TimelineReply{Records: a.ring.Select(f)})
}

func (a *Agent) applyConfig(r peer.Request) {
	var pushed message.Config
	if err := r.Decode(&pushed); err != nil {
		r.Fail(err)
		return
	}
	a.putInForce(pushed)
	r.Reply(message.ConfigAck{Version: a.ConfigVersion()})
}

func (a *Agent) putInForce(pushed message.Config) {
	before := a.ConfigVersion()
	moved := false
	if pushed.Document != nil {
		moved = a.config.Replace(pushed.Document)
	}
	moved = a.config.Apply(pushed.Deltas) || moved
	if moved {
		a.session.kick() // entries report the version that is in force everywhere
		a.log.Emit(event.ConfigurationInForce, "version", a.ConfigVersion(), "previous_version", before, "source", "entry")
	}
}
