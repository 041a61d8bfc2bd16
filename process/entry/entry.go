// Package entry implements the process role that serves callers and operators.
//
// An entry validates requests against the configuration in force, routes checks
// to agents, and records jobs. One of the entries leads: it schedules all jobs
// and sends the others the states of jobs and agents (package lead). An entry
// keeps no state that cannot be read back from the store or reported by agents.
package entry

import (
	"cmp"
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
	"camphorhead.example/camphorhead/process/configpeer"
	"camphorhead.example/camphorhead/process/document"
	"camphorhead.example/camphorhead/process/evacuation"
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
	// balancerDelay is how long the load balancer takes to switch to other entries:
	// it polls the readiness check every second and acts on the second response.
	balancerDelay = 2500 * time.Millisecond
	storeBackoff  = 500 * time.Millisecond
	// linkRateInterval is the interval at which this entry's shares of the links are
	// updated, and agents that the leader no longer lists are removed.
	linkRateInterval = time.Second
	// waitPoolWorkers is the size of the pool for jobs that wait for the store or
	// another process. It is a separate pool so that reports never queue behind them.
	waitPoolWorkers = 16
)

// Deps are the dependencies of an Entry.
type Deps struct {
	Clock clockwork.Clock
	Log   event.Logger
	// LinesDropped returns the number of dropped log lines by event; nil: none are dropped.
	LinesDropped func() map[string]int64
	Store        platform.Store
	// Advisor is the policy service; nil: there is none.
	Advisor platform.Advisor
	// Delays are the one-way network delays that routing assumes.
	Delays routing.Settings
	// Document is set if operators write the configuration to the store themselves.
	// Its zero value selects the log of changes (package configlog).
	Document document.Source
	// EvacuationPrefix is that of the keys of evacuations; empty: evacuation.DefaultPrefix.
	EvacuationPrefix string
	// JobsHandler returns the handler of the jobs listener; nil: there is no such listener.
	JobsHandler func(*Entry) fasthttp.RequestHandler
}

// Entry is one entry process. After Start, its methods may be called from any goroutine.
type Entry struct {
	cfg         settings.Settings
	clock       clockwork.Clock
	log         event.Logger
	store       platform.Store
	metrics     *metrics.Registry
	evacuations *evacuation.Records
	// pool runs the handlers of frames and the tickers, waitPool jobs that wait for
	// the store or another process.
	pool        *pool.Pool
	waitPool    *pool.Pool
	net         *peer.Network
	hlc         *timeline.Clock
	ring        *timeline.Ring
	config      *holder.Holder
	configPeers *configpeer.Server
	puller      *configpeer.Puller
	configLog   *configlog.Log
	document    *document.Follower // nil unless operators write the configuration themselves
	fleet       *fleet.Fleet
	links       *fleet.Links
	router      *router
	checks      *jobstore.Checks
	web         *web
	node        *lead.Node
	jobsServers *jobsServers
	deps        Deps

	// runCtx ends with the entry; watchDone is closed when watching the configuration ends.
	runCtx    context.Context
	cancel    context.CancelFunc
	tickers   []*pool.Ticker
	watchDone chan struct{}
	// running is set from the time that Start serves frames and HTTP until Stop or Kill.
	running atomic.Bool
	ready   atomic.Bool
	// storeDownSince is the start of the store's outage in Unix milliseconds; 0: none.
	storeDownSince atomic.Int64
	started        time.Time
	// drainingSince is when the handover for a planned stop ended, in Unix
	// milliseconds; 0: there was none. drainReported is set once the result was logged.
	drainingSince atomic.Int64
	drainReported atomic.Bool
	// announcedVersion is the latest configuration version that was logged and pushed.
	announcedVersion atomic.Uint64
}

// New returns an entry that is not started; the workers of its pools are.
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
	e.evacuations = evacuation.NewRecords(e.store, cmp.Or(deps.EvacuationPrefix, evacuation.DefaultPrefix))
	e.runCtx, e.cancel = context.WithCancel(context.Background())
	e.configLog = configlog.New(e.store, e.config, deps.Clock)
	e.net = peer.New(peer.Config{
		Listen: cfg.Process.Listen, Hello: e.hello, Key: []byte(string(cfg.Process.Key)),
		Translate: cfg.Network.DialAddress, Observer: event.NewConnectionLog(e.log), Clock: e.hlc,
	}, e.pool, handler{e})
	e.router = newRouter(e, deps.Delays)
	e.web = newWeb(e)
	e.configPeers = configpeer.NewServer(e.config, e.clock)
	e.puller = &configpeer.Puller{Call: e.callConfigPull, Holder: e.config, Replace: e.config.Replace}
	if deps.Document.Key != "" {
		e.document = e.newDocumentFollower()
	}
	e.node = e.newNode()
	e.registerMetrics()
	return e
}

// Start opens the listeners and returns when callers can connect. It does not
// need the store. After an error, Stop closes what is still open.
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
	e.running.Store(true)
	if e.document != nil {
		go func() {
			defer close(e.watchDone)
			e.document.Run(e.runCtx)
		}()
	} else {
		go e.watchConfig()
	}
	e.node.Start()
	e.tickers = append(e.tickers, e.pool.Every(drainInterval, e.drain), e.pool.Every(linkRateInterval, e.updateLinkRates))
	e.ready.Store(true)
	if e.deps.JobsHandler != nil {
		if err := e.startJobsServers(e.deps.JobsHandler(e)); err != nil {
			return err
		}
	}
	e.log.Emit(event.ProcessServing, "frames_address", e.Address(), "http_address", e.HTTPAddress(),
		"elapsed_ms", e.clock.Since(e.started).Milliseconds())
	return nil
}

// Stop ends the entry. First the readiness check fails, then the term is handed
// over while the balancer switches to other entries, then requests in progress
// finish, until ctx ends. It does nothing on an entry that is not running.
func (e *Entry) Stop(ctx context.Context) error {
	if !e.running.CompareAndSwap(true, false) {
		return nil
	}
	e.ready.Store(false)
	e.log.Emit(event.ProcessStopping, "reason", "stop requested")
	balancerSwitched := e.clock.After(e.listenerCloseDelay())
	handOverCtx, cancel := context.WithTimeout(ctx, balancerDelay)
	e.node.HandOver(handOverCtx)
	cancel()
	select {
	case <-balancerSwitched:
	case <-ctx.Done():
	}
	err := errs.Combine(e.closeJobsServers(ctx), e.web.close(ctx))
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

// listenerCloseDelay is how long the listeners stay open after the readiness check
// has begun to fail. Only the balancer of the jobs listener polls it regularly.
func (e *Entry) listenerCloseDelay() time.Duration {
	if e.jobsServers == nil {
		return 0
	}
	return balancerDelay
}

func (e *Entry) closePools() {
	e.pool.Close()
	e.waitPool.Close()
}

// Kill ends the entry at once, without a handover. Tests and fault schedules use
// it in place of a crash of the process.
func (e *Entry) Kill() {
	if !e.running.CompareAndSwap(true, false) {
		return
	}
	e.ready.Store(false)
	for _, t := range e.tickers {
		t.Stop()
	}
	e.node.Stop()
	e.cancel()
	<-e.watchDone
	_ = e.web.abort() // a crashed process reports no errors
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
		ID: e.cfg.Process.ID, Address: e.advertisedAddress(), Location: e.location(),
		StartedMs: e.started.UnixMilli(),
	}
}

func (e *Entry) advertisedAddress() string {
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
		ID: e.cfg.Process.ID, Role: message.RoleEntry, Address: e.advertisedAddress(),
		Location: e.location(), ConfigVersion: e.ConfigVersion(),
	}
}

// callContext bounds a call to the store or another process by the call timeout.
func (e *Entry) callContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, e.cfg.Limits.CallTimeout())
}

func (e *Entry) nowMs() int64 { return e.clock.Now().UnixMilli() }

// newRand returns a newly seeded random source for one decision.
func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// handler dispatches received frames to the parts of the entry.
type handler struct{ *Entry }

// Queue implements peer.Handler; the pool handles all requests.
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

// recordStoreResult logs the start and the end of a store outage; err is that of the operation.
func (e *Entry) recordStoreResult(operation string, err error) {
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

// ChangeProfile creates or changes a profile for the operator by. basedOn is the
// version of the profile that the operator has edited; 0: it must not exist yet.
func (e *Entry) ChangeProfile(ctx context.Context, by string, p profile.Profile, basedOn uint64) (profile.Delta, error) {
	if err := p.Validate(); err != nil {
		return profile.Delta{}, err
	}
	return e.changeConfig(ctx, by, func(doc *profile.Document) (profile.Delta, error) {
		return doc.ChangeProfile(p, basedOn)
	})
}
