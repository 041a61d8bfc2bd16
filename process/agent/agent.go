// Package agent is the process beside one worker and its targets.
//
// The agent is the only authority over its worker: nothing runs there that its ledger
// has not admitted. Package runs executes the leader's orders at the worker; this
// package serves the checks of the targets and keeps tasks from slowing them down.
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
	"camphorhead.example/camphorhead/process/configpeer"
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

// Deps holds the dependencies of an Agent.
type Deps struct {
	Clock clockwork.Clock
	Log   event.Logger
	// LinesDropped returns the numbers of dropped log lines, by event; nil: none are dropped.
	LinesDropped func() map[string]int64
	Worker       platform.Worker
	// ReadLeader reads the leader from the store; nil: only entries are queried.
	// Registry returns the handler of the worker's announcements; nil: the worker
	// describes itself in its listings.
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
	puller  *configpeer.Puller
	ledger  *ledger.Ledger
	checks  *checks
	control *control
	web     *web
	node    *runs.Node
	// registry is nil without Deps.Registry.
	registry *registry
	refusals refusals
	deps     Deps
	tickers  []*pool.Ticker

	// serving is set while the frame and HTTP listeners are open.
	serving  atomic.Bool
	draining drainState
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
			Clock: deps.Clock, Reserve: checkReserveOf(cfg), CPUFloorPercent: cfg.Limits.CPUFloorPercent,
		}),
		started: deps.Clock.Now(), deps: deps,
	}
	a.ring = timeline.NewRing(cfg.Process.ID, a.hlc, timeline.DefaultLength)
	a.log = deps.Log.WithRecorder(a.ring)
	a.net = peer.New(peer.Config{
		Listen: cfg.Process.Listen, Hello: a.hello, Key: []byte(string(cfg.Process.Key)),
		Translate: cfg.Network.DialAddress, Observer: event.NewConnectionLog(a.log), Clock: a.hlc,
	}, a.pool, handler{a})
	a.puller = &configpeer.Puller{Call: a.callConfigPull, Holder: a.config, Replace: a.config.Replace}
	a.checks = newChecks(a)
	a.control = newControl(a)
	a.web = newWeb(a)
	a.node = a.newNode()
	a.registerMetrics()
	return a
}

// Start opens the listeners and starts to poll the worker and to search for a leader. If
// only the registry's listener fails, the agent serves and the caller has to stop it.
func (a *Agent) Start(context.Context) error {
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
	a.node.Start()
	a.tickers = append(a.tickers,
		a.pool.Every(checkSweepInterval, a.checks.sweep),
		a.pool.Every(drainInterval, a.drain),
		a.pool.Every(controlInterval, a.control.tick),
	)
	a.log.Emit(event.ProcessServing, "frames_address", a.Address(), "http_address", a.HTTPAddress(),
		"elapsed_ms", a.clock.Since(a.started).Milliseconds())
	if a.deps.Registry == nil {
		return nil
	}
	return a.startRegistry(a.deps.Registry(a))
}

// Stop stops the agent. Tasks keep running at the worker until their lease expires or the
// next agent takes them over; queued checks fail as "not run". A Stop of an agent that
// does not serve does nothing.
func (a *Agent) Stop(ctx context.Context) error {
	if !a.serving.CompareAndSwap(true, false) {
		return nil
	}
	a.log.Emit(event.ProcessStopping, "reason", "stop requested")
	a.draining.refuseAll()
	a.checks.close(ctx)
	for _, t := range a.tickers {
		t.Stop()
	}
	a.node.Stop()
	var err error
	if a.registry != nil {
		err = a.registry.close()
	}
	err = errs.Combine(err, a.web.close(), a.net.Close())
	a.pool.Close()
	a.log.Emit(event.ProcessStopped)
	return err
}

// Address returns the bound address of the frame listener; it is valid after Start.
func (a *Agent) Address() string { return a.net.Address() }

// HTTPAddress returns the bound address of the HTTP listener; it is valid after Start.
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

// checkReserve returns the part of the worker's capacity that is reserved for checks.
func (a *Agent) checkReserve() resources.Resources { return checkReserveOf(a.cfg) }

func checkReserveOf(cfg settings.Settings) resources.Resources {
	return resources.Resources{MilliCPU: cfg.Limits.ReserveMilliCPU, MemoryMB: cfg.Limits.ReserveMemoryMB}
}

func (a *Agent) location() message.Location {
	p := a.cfg.Process
	return message.Location{Region: p.Region, Domain: p.FailureDomain, Rack: p.Rack}
}

func (a *Agent) hello() message.Hello {
	return message.Hello{
		ID: a.cfg.Process.ID, Role: message.RoleAgent, Address: a.advertised(),
		Location: a.location(), ConfigVersion: a.ConfigVersion(),
	}
}

// handler implements peer.Handler for an Agent.
type handler struct{ *Agent }

// Queue implements peer.Handler: it adds a check to the fair queue of its service,
// whose slot workers run it and reply. Other messages go to the pool.
func (h handler) Queue(r peer.Request) bool {
	if r.Kind != message.KindCheck {
		return false
	}
	h.checks.handle(r)
	return true
}

// Handle implements peer.Handler.
func (h handler) Handle(ctx context.Context, r peer.Request) {
	if h.node.Handle(ctx, r) {
		return
	}
	switch r.Kind {
	case message.KindQuery:
		h.checks.handleQuery(r)
	case message.KindConfig:
		h.handleConfig(r)
	case message.KindTimeline:
		h.handleTimeline(r)
	default:
		r.Fail(outcome.Field(outcome.MalformedFrame, "kind", "an agent does not serve messages of this kind"))
	}
}

func (a *Agent) handleTimeline(r peer.Request) {
	var f timeline.Filter
	if err := r.Decode(&f); err != nil {
		r.Fail(err)
		return
	}
	r.Reply(message.TimelineReply{Records: a.ring.Select(f)})
}

func (a *Agent) handleConfig(r peer.Request) {
	var update message.Config
	if err := r.Decode(&update); err != nil {
		r.Fail(err)
		return
	}
	before := a.ConfigVersion()
	a.reportConfig(before, a.config.Apply(update.Deltas))
	r.Reply(message.ConfigAck{Version: a.ConfigVersion()})
}

// reportConfig logs and reports a version that was put in force: entries show the lowest version
// in force at any agent.
func (a *Agent) reportConfig(before uint64, advanced bool) {
	if advanced {
		a.node.TriggerReport()
		a.log.Emit(event.ConfigurationInForce, "version", a.ConfigVersion(), "previous_version", before, "source", "entry")
	}
}
