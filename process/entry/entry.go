// Package entry is the role of the processes that callers and operators talk to.
//
// An entry validates requests against the configuration in force, routes
// checks to agents, owns shards of job records, places batch work, and grants
// task leases to the agents whose home it is. It keeps nothing that cannot be
// read back from the store or learned from agents.
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
	"camphorhead.example/camphorhead/process/lead"
	"camphorhead.example/camphorhead/process/membership"
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
	configWatchWait = 2 * time.Second
	digestInterval  = 2 * time.Second
	// turnTime is how long the balancer takes to turn to other entries: it asks
	// every second and believes the second answer.
	turnTime          = 2500 * time.Millisecond
	shardInterval     = 200 * time.Millisecond
	commitTick        = 20 * time.Millisecond
	scheduleInterval  = 50 * time.Millisecond
	recoverInterval   = 500 * time.Millisecond
	storeBackoff      = 500 * time.Millisecond
	renewalsPerLease  = 4
	vouchesPerLease   = 10
	recordPoolWorkers = 8
	// waitPoolWorkers carries 140 starts a second on one entry: each waits for
	// two record writes of up to 0.2 s and an agent's answer.
	waitPoolWorkers = 128
	recordPoolQueue = 1024
)

// Deps are the outside parts that an entry works with.
type Deps struct {
	Clock clockwork.Clock
	Log   event.Logger
	Store platform.Store
	// Delays are the one-way delays that routing assumes.
	Delays routing.Settings
	// Records is the store that leading entries keep jobs in; with it the entry
	// schedules by terms and follows Manifest.
	Records  platform.TxnStore
	Manifest ManifestSource
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
	// pool serves frames and tickers; recordPool writes shard logs, so that
	// jobs that wait for a write never keep it from being made.
	// waitPool runs what waits for a durable record or another process, so that
	// heartbeats never queue behind it.
	pool       *pool.Pool
	waitPool   *pool.Pool
	recordPool *pool.Pool
	net        *peer.Network
	hlc        *timeline.Clock
	ring       *timeline.Ring
	config     *holder.Holder
	configLog  *configlog.Log
	members    *membership.Table
	fleet      *fleet.Fleet
	router     *router
	shards     *shards
	scheduler  *scheduler
	quotas     *quotas
	pairings   *pairings
	sessions   *sessions
	digests    *digests
	web        *web
	node       *lead.Node
	front      *front
	deps       Deps

	run       context.Context
	cancel    context.CancelFunc
	tickers   []*pool.Ticker
	watchDone chan struct{}
	// serving is true between a successful Start and Stop or Kill.
	serving atomic.Bool
	ready   atomic.Bool
	// registered is set after the first registration of this process.
	registered atomic.Bool
	// storeDownSince is the begin of the store's outage in unix milliseconds; 0: none.
	storeDownSince atomic.Int64
	// registerTurn holds one token; its holder may change the registration.
	registerTurn chan struct{}
	started      time.Time
	// drainingSince is when a planned stop of this entry began, in unix
	// milliseconds; 0: none. drainReported is set once its end was logged.
	drainingSince atomic.Int64
	drainReported atomic.Bool
	// announced is the latest configuration version that was logged and pushed.
	announced atomic.Uint64
	// handingOver is set when this entry gives up its shards for good.
	handingOver atomic.Bool
}

// New returns an entry that is not yet started.
func New(cfg settings.Settings, deps Deps) *Entry {
	e := &Entry{
		cfg: cfg, clock: deps.Clock, store: deps.Store, metrics: metrics.New(),
		pool:       pool.New(int(cfg.Limits.PoolWorkers), int(cfg.Limits.PoolQueue)),
		waitPool:   pool.New(waitPoolWorkers, int(cfg.Limits.PoolQueue)),
		recordPool: pool.New(recordPoolWorkers, recordPoolQueue),
		config:     holder.New(deps.Clock),
		hlc:        timeline.NewClock(deps.Clock),
		fleet:      fleet.New(deps.Clock, fleet.DefaultSettings(cfg.Process.ID)),
		watchDone:  make(chan struct{}),
		started:    deps.Clock.Now(),

		registerTurn: make(chan struct{}, 1), deps: deps,
	}
	e.ring = timeline.NewRing(cfg.Process.ID, e.hlc, timeline.DefaultLength)
	e.log = deps.Log.WithRecorder(e.ring)
	e.store = platform.CountingStore{Store: deps.Store, Counter: e.metrics}
	e.run, e.cancel = context.WithCancel(context.Background())
	e.configLog = configlog.New(e.store, e.config, deps.Clock)
	e.net = peer.New(peer.Config{
		Listen: cfg.Process.Listen, Hello: e.hello, Key: []byte(string(cfg.Process.Key)),
		Translate: cfg.Network.Dial, Observer: event.Connections(e.log), Clock: e.hlc,
	}, e.pool, handler{e})
	e.router = newRouter(e, deps.Delays)
	e.shards = newShards(e)
	e.scheduler = newScheduler(e)
	e.quotas = newQuotas(e)
	e.pairings = newPairings(e)
	e.sessions = newSessions(e)
	e.digests = newDigests(e)
	e.web = newWeb(e)
	e.metrics.PublishProcess(e.started, e.clock.Now, e.FrameBytes, e.pool.Queued)
	e.metrics.Gauge("jobs_waiting", func() any { return e.scheduler.waitingJobs() })
	if deps.Records != nil {
		e.node = e.newNode(deps)
	}
	return e
}

// Start opens the listeners, registers in the store and serves. It returns
// when callers can connect; an unavailable store does not stop it.
func (e *Entry) Start(context.Context) error {
	if err := e.net.Start(); err != nil {
		e.closePools()
		return err
	}
	membersConfig := membership.Defaults(e.info())
	membersConfig.RegistrationTTL = e.cfg.Lease.Registration()
	membersConfig.TaskLease = e.cfg.Lease.Task()
	membersConfig.Promise = min(membersConfig.Promise, e.cfg.Lease.Registration()/2)
	e.members = membership.New(membersConfig, e.clock)
	if err := e.web.start(); err != nil {
		err = errs.Combine(err, e.net.Close())
		e.closePools()
		return err
	}
	e.serving.Store(true)
	if e.node != nil {
		return e.startNode()
	}
	e.register(e.run)
	go e.watchConfig()
	e.tickers = append(e.tickers,
		e.pool.Every(e.cfg.Lease.Registration()/renewalsPerLease, e.register),
		e.pool.Every(e.cfg.Lease.Registration()/vouchesPerLease, e.collectVouches),
		e.recordPool.Every(commitTick, e.shards.tick),
		e.pool.Every(shardInterval, e.shards.follow),
		e.pool.Every(scheduleInterval, e.scheduler.tick),
		e.pool.Every(drainInterval, e.drain),
		e.pool.Every(quotaInterval, e.quotas.tick),
		e.pool.Every(recoverInterval, e.sessions.recover),
		e.pool.Every(digestInterval/heartbeatShare(e.cfg), e.digests.send),
	)
	e.ready.Store(true)
	e.log.Emit(event.ProcessServing, "frames_address", e.Address(), "http_address", e.HTTPAddress(),
		"elapsed_ms", e.clock.Since(e.started).Milliseconds())
	return nil
}

// startNode serves the callers of jobs.
func (e *Entry) startNode() error {
	go e.followManifest(e.deps.Records, e.deps.Manifest)
	e.node.Start()
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

// heartbeatShare shortens the interval of digests along with that of
// heartbeats where settings ask for faster detection.
func heartbeatShare(cfg settings.Settings) time.Duration {
	return max(10*time.Second/cfg.Lease.Heartbeat(), 1)
}

// Stop ends the entry: the health check turns first, shards are flushed and
// handed over, requests in progress finish.
// A second call, or one after a failed Start, does nothing.
func (e *Entry) Stop(ctx context.Context) error {
	if !e.serving.CompareAndSwap(true, false) {
		return nil
	}
	e.ready.Store(false)
	e.log.Emit(event.ProcessStopping, "reason", "stop requested")
	if e.node != nil {
		return e.stopNode(ctx)
	}
	if err := e.handOverAll(ctx); err != nil {
		// Another entry takes the shards over when the registration lapses.
		e.log.Emit(event.StoreUnavailable, "operation", "hand over shards", "error", err)
	}
	err := e.web.close(ctx)
	for _, t := range e.tickers {
		t.Stop()
	}
	e.cancel()
	<-e.watchDone
	err = errs.Combine(err, e.net.Close())
	e.closePools()
	e.log.Emit(event.ProcessStopped)
	return err
}

// stopNode gives the term up while the balancer turns to other entries, lets
// requests in progress finish and ends.
func (e *Entry) stopNode(ctx context.Context) error {
	turned := e.clock.After(turnTime)
	handing, cancel := context.WithTimeout(ctx, turnTime)
	e.node.HandOver(handing)
	cancel()
	select {
	case <-turned:
	case <-ctx.Done():
	}
	err := errs.Combine(e.closeFront(ctx), e.web.close(ctx))
	e.node.Stop()
	e.cancel()
	<-e.watchDone
	err = errs.Combine(err, e.net.Close())
	e.closePools()
	e.log.Emit(event.ProcessStopped)
	return err
}

func (e *Entry) closePools() {
	e.pool.Close()
	e.waitPool.Close()
	e.recordPool.Close()
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
	e.cancel()
	<-e.watchDone
	_ = e.web.abort()
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

// Queue implements peer.Handler: requests that wait for a record go to the
// pool for such work.
func (h handler) Queue(r peer.Request) bool {
	switch r.Kind {
	case message.KindTaskEvent:
		h.later(r, h.sessions.taskEvents)
	case message.KindForward:
		h.later(r, h.shards.handleForward)
	default:
		return false
	}
	return true
}

// Handle implements peer.Handler.
func (h handler) Handle(ctx context.Context, r peer.Request) {
	if h.node != nil && h.node.Handle(ctx, r) {
		return
	}
	switch r.Kind {
	case message.KindHeartbeat:
		h.sessions.heartbeat(ctx, r)
	case message.KindDigest:
		h.digests.handle(r)
	case message.KindConfig:
		h.applyConfig(r)
	case message.KindConfigPull:
		h.serveConfig(r)
	case message.KindTimeline:
		h.serveTimeline(r)
	case message.KindVouch:
		h.sessions.vouch(r)
	case message.KindLapse:
		h.sessions.lapse(r)
	default:
		r.Fail(outcome.Field(outcome.MalformedFrame, "kind", "an entry does not serve this message"))
	}
}

// later serves a request that waits for a record on the pool for such work.
func (e *Entry) later(r peer.Request, serve func(context.Context, peer.Request)) {
	if e.waitPool.Submit(func(ctx context.Context) { serve(ctx, r) }) != nil {
		r.Fail(outcome.New(outcome.QueueFull, "too many requests wait for records"))
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
