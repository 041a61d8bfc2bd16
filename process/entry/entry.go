// Package entry is the role of the processes that callers and operators talk to.
//
// An entry validates requests against the configuration in force, routes checks
// to agents, and records jobs. One of the entries leads: it schedules all jobs
// and tells the others of jobs and agents (package lead). An entry keeps nothing
// that cannot be read back from the store or learned from agents.
package entry

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/connection/peer"
	"camphorhead.example/camphorhead/process/configlog"
	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/process/fleet"
	"camphorhead.example/camphorhead/process/jobstore"
	"camphorhead.example/camphorhead/process/lead"
	"camphorhead.example/camphorhead/process/metrics"
	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/process/pool"
	"camphorhead.example/camphorhead/process/settings"
	"camphorhead.example/camphorhead/process/timeline"
	"camphorhead.example/camphorhead/request/outcome"
	"camphorhead.example/camphorhead/request/routing"
	"camphorhead.example/camphorhead/version/holder"
	"camphorhead.example/camphorhead/version/profile"
)

const (
	// turnTime is how long the balancer takes to turn to other entries: it asks
	// every second and believes the second answer.
	turnTime     = 2500 * time.Millisecond
	storeBackoff = 500 * time.Millisecond
	// shareInterval is the pause between two looks at what this entry may use of
	// the links, and at agents that nobody names any more.
	shareInterval = time.Second
	// waitPoolWorkers run what waits for the store or another process, so that
	// reports never queue behind it.
	waitPoolWorkers = 16
)

// Deps are the outside parts that an entry works with.
type Deps struct {
	Clock clockwork.Clock
	Log   event.Logger
	// LinesDropped returns the log lines that were dropped, by event; nil: none can be.
	LinesDropped func() map[string]int64
	Store        platform.Store
	// Advisor is the policy service; nil: there is none.
	Advisor platform.Advisor
	// Delays are the one-way delays that routing assumes.
	Delays routing.Settings
	// Document is the configuration, where operators write it to the store
	// themselves; its zero value means the log of changes.
	Document DocumentSource
	// Front serves the callers of the settings' jobs table; nil: there are none.
	Front func(*Entry) fasthttp.RequestHandler
}

// Entry is one entry process.
type Entry struct {
	cfg     settings.Settings
	clock   clockwork.Clock
	log     event.Logger
	store   platform.Store
	metrics *metrics.Registry
	// pool serves frames and tickers, waitPool what waits for the store or
	// another process.
	pool      *pool.Pool
	waitPool  *pool.Pool
	net       *peer.Network
	hlc       *timeline.Clock
	ring      *timeline.Ring
	config    *holder.Holder
	configLog *configlog.Log
	fleet     *fleet.Fleet
	links     *fleet.Links
	router    *router
	checks    *jobstore.Checks
	web       *web
	node      *lead.Node
	front     *front
	deps      Deps

	run       context.Context
	cancel    context.CancelFunc
	tickers   []*pool.Ticker
	watchDone chan struct{}
	// serving is true between a successful Start and Stop or Kill.
	serving atomic.Bool
	ready   atomic.Bool
	// storeDownSince is the begin of the store's outage in unix milliseconds; 0: none.
	storeDownSince atomic.Int64
	started        time.Time
	// drainingSince is when a planned stop of this entry began, in unix
	// milliseconds; 0: none. drainReported is set once its end was logged.
	drainingSince atomic.Int64
	drainReported atomic.Bool
	// announced is the latest configuration version that was logged and pushed.
	announced atomic.Uint64
}

// New returns an entry that is not yet started.
func New(cfg settings.Settings, deps Deps) *Entry {
	e := &Entry{
		cfg: cfg, clock: deps.Clock, metrics: metrics.New(),
		pool:      pool.New(int(cfg.Limits.PoolWorkers), int(cfg.Limits.PoolQueue)),
		waitPool:  pool.New(waitPoolWorkers, int(cfg.Limits.PoolQueue)),
		config:    holder.New(deps.Clock),
		hlc:       timeline.NewClock(deps.Clock),
		fleet:     fleet.New(deps.Clock, fleet.DefaultSettings()),
		links:     fleet.NewLinks(deps.Clock),
		watchDone: make(chan struct{}), started: deps.Clock.Now(), deps: deps,
	}
	e.ring = timeline.NewRing(cfg.Process.ID, e.hlc, timeline.DefaultLength)
	e.log = deps.Log.WithRecorder(e.ring)
	e.store = platform.CountingStore{Store: deps.Store, Counter: e.metrics}
	e.checks = jobstore.NewChecks(e.store)
	e.run, e.cancel = context.WithCancel(context.Background())
	e.configLog = configlog.New(e.store, e.config, deps.Clock)
	e.net = peer.New(peer.Config{
		Listen: cfg.Process.Listen, Hello: e.hello, Key: []byte(string(cfg.Process.Key)),
		Translate: cfg.Network.Dial, Observer: event.Connections(e.log), Clock: e.hlc,
	}, e.pool, handler{e})
	e.router = newRouter(e, deps.Delays)
	e.web = newWeb(e)
	e.node = e.newNode()
	e.readMetrics()
	return e
}

// Start opens the listeners and serves. It returns when callers can connect; an
// unavailable store does not stop it.
func (e *Entry) Start(context.Context) error {
	if err := e.net.Start(); err != nil {
		e.closePools()
		return err
	}
	if err := e.web.start(); err != nil {
		err = errs.Combine(err, e.net.Close())
		e.closePools()
		return err
	}
	e.serving.Store(true)
	if e.deps.Document.Key != "" {
		go e.followDocument(e.deps.Document)
	} else {
		go e.watchConfig()
	}
	e.node.Start()
	e.tickers = append(e.tickers, e.pool.Every(drainInterval, e.drain), e.pool.Every(shareInterval, e.share))
	e.ready.Store(true)
	if e.deps.Front != nil {
		if err := e.startFront(e.deps.Front(e)); err != nil {
			return err
		}
	}
	e.log.Emit(event.ProcessServing, "frames_address", e.Address(), "http_address", e.HTTPAddress(),
		"elapsed_ms", e.clock.Since(e.started).Milliseconds())
	return nil
}

// Stop ends the entry: the health check turns first, the term is handed over
// while the balancer turns to other entries, requests in progress finish. A
// second call, or one after a failed Start, does nothing.
func (e *Entry) Stop(ctx context.Context) error {
	if !e.serving.CompareAndSwap(true, false) {
		return nil
	}
	e.ready.Store(false)
	e.log.Emit(event.ProcessStopping, "reason", "stop requested")
	turned := e.clock.After(e.turnTime())
	handing, cancel := context.WithTimeout(ctx, turnTime)
	e.node.HandOver(handing)
	cancel()
	select {
	case <-turned:
	case <-ctx.Done():
	}
	err := errs.Combine(e.closeFront(ctx), e.web.close(ctx))
	for _, t := range e.tickers {
		t.Stop()
	}
	e.node.Stop()
	e.cancel()
	<-e.watchDone
	err = errs.Combine(err, e.net.Close())
	e.closePools()
	e.log.Emit(event.ProcessStopped)
	return err
}

// turnTime is how long the listeners stay open after the readiness has turned.
// Only the balancer in front of the jobs' listener asks for it regularly.
func (e *Entry) turnTime() time.Duration {
	if e.front == nil {
		return 0
	}
	return turnTime
}

func (e *Entry) closePools() {
	e.pool.Close()
	e.waitPool.Close()
}

// Kill ends the entry at once, without handing anything over. Tests and fault
// schedules use it for a process that dies.
func (e *Entry) Kill() {
	if !e.serving.CompareAndSwap(true, false) {
		return
	}
	e.ready.Store(false)
	for _, t := range e.tickers {
		t.Stop()
	}
	e.node.Stop()
	e.cancel()
	<-e.watchDone
	_ = e.web.abort() // a killed process reports nothing
	_ = e.net.Close()
	e.closePools()
}

// Address returns the bound address of the frame listener.
func (e *Entry) Address() string { return e.net.Address() }

// HTTPAddress returns the bound address of the HTTP listener.
func (e *Entry) HTTPAddress() string { return e.web.address() }

// Metrics returns the metrics of this process.
func (e *Entry) Metrics() *metrics.Registry { return e.metrics }

// ConfigVersion returns the configuration version in force.
func (e *Entry) ConfigVersion() uint64 { return e.config.Document().Version }

func (e *Entry) info() message.EntryInfo {
	return message.EntryInfo{
		ID: e.cfg.Process.ID, Address: e.advertised(), Location: e.location(),
		StartedMs: e.started.UnixMilli(),
	}
}

func (e *Entry) advertised() string {
	if e.cfg.Process.Advertise != "" {
		return e.cfg.Process.Advertise
	}
	return e.net.Address()
}

func (e *Entry) location() message.Location {
	p := e.cfg.Process
	return message.Location{Region: p.Region, Domain: p.FailureDomain, Rack: p.Rack}
}

func (e *Entry) hello() message.Hello {
	return message.Hello{
		ID: e.cfg.Process.ID, Role: message.RoleEntry, Address: e.advertised(),
		Location: e.location(), ConfigVersion: e.ConfigVersion(),
	}
}

// callContext bounds a call to another process.
func (e *Entry) callContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, e.cfg.Limits.CallTimeout())
}

func (e *Entry) nowMs() int64 { return e.clock.Now().UnixMilli() }

// random returns a random source for one decision.
func random() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// handler dispatches frames to the parts of the entry.
type handler struct{ *Entry }

// Queue implements peer.Handler.
func (handler) Queue(peer.Request) bool { return false }

// Handle implements peer.Handler.
func (h handler) Handle(ctx context.Context, r peer.Request) {
	if h.node.Handle(ctx, r) {
		return
	}
	switch r.Kind {
	case message.KindConfig:
		h.applyConfig(r)
	case message.KindConfigPull:
		h.serveConfig(r)
	case message.KindTimeline:
		h.serveTimeline(r)
	default:
		r.Fail(outcome.Field(outcome.MalformedFrame, "kind", "an entry does not serve this message"))
	}
}

// noteStore logs the beginning and the end of an outage of the store.
func (e *Entry) noteStore(operation string, err error) {
	if err == nil {
		if since := e.storeDownSince.Swap(0); since != 0 {
			e.log.Emit(event.StoreAvailable, "outage_ms", e.nowMs()-since)
		}
		return
	}
	if e.storeDownSince.CompareAndSwap(0, e.nowMs()) {
		e.log.Emit(event.StoreUnavailable, "operation", operation, "error", err)
	}
}

// ChangeProfile creates or changes a profile that was based on the given
// version of it; 0 means that it must not exist.
func (e *Entry) ChangeProfile(ctx context.Context, by string, p profile.Profile, basedOn uint64) (profile.Delta, error) {
	if err := p.Validate(); err != nil {
		return profile.Delta{}, err
	}
	return e.changeConfig(ctx, by, func(doc *profile.Document) (profile.Delta, error) {
		return doc.ChangeProfile(p, basedOn)
	})
}
