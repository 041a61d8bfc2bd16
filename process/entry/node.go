package entry

import (
	"context"
	"net"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/process/lead"
	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/version/profile"
)

const (
	// storeTrips and processorShare weigh how long an entry lets others go first
	// in the choice of a leader: the leader should be near the store, since each
	// end of a task waits for it, and on a fast host.
	storeTrips     = 10
	processorShare = 20 * time.Millisecond
)

// newNode returns this entry's part in leading and following.
func (e *Entry) newNode(deps Deps) *lead.Node {
	l := e.cfg.Lease
	return lead.New(lead.Config{
		Self: e.info, Clock: e.clock, Log: e.log, Store: deps.Records, Net: e.net, Pool: e.pool, Metrics: e.metrics,
		Timing: lead.Timing{
			Lease: l.Task(), Heartbeat: l.Heartbeat(), Silence: l.Registration(), Outage: l.Outage(),
			Retention: e.cfg.Records.Retention(), Call: e.cfg.Limits.CallTimeout(),
			Preference: time.Duration(float64(processorShare) / e.cfg.Limits.ProcessorShare()), StoreTrips: storeTrips,
		},
		Profile: func(name string) (profile.Profile, bool) {
			p, ok := e.config.Document().Profiles[name]
			return p, ok
		},
		ConfigVersion: e.ConfigVersion,
	})
}

// front is the listener of callers whose jobs are selected by address, with
// the readiness that the balancer asks for.
type front struct {
	jobs, ready *fasthttp.Server
	done        chan error
}

// startFront opens the listeners of the settings' jobs table.
func (e *Entry) startFront(handler fasthttp.RequestHandler) error {
	e.front = &front{
		jobs: &fasthttp.Server{
			Handler: e.guard(handler), MaxRequestBodySize: int(e.cfg.HTTP.MaxBodyBytes), NoDefaultServerHeader: true,
			CloseOnShutdown: true, DisableHeaderNamesNormalizing: true,
		},
		ready: &fasthttp.Server{Handler: e.serveReady, NoDefaultServerHeader: true, CloseOnShutdown: true},
		done:  make(chan error, 2),
	}
	for _, l := range []struct {
		address string
		server  *fasthttp.Server
	}{{e.cfg.Jobs.Listen, e.front.jobs}, {e.cfg.Jobs.Ready, e.front.ready}} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return errs.New("listen on %s: %w", l.address, err)
		}
		go func() { e.front.done <- l.server.Serve(listener) }()
	}
	return nil
}

// guard keeps a fault in one request from ending the process.
func (e *Entry) guard(handler fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		defer func() {
			if fault := recover(); fault != nil {
				e.log.Emit(event.InternalError, "component", "jobs", "error", fault)
				ctx.Error("internal error", fasthttp.StatusInternalServerError)
			}
		}()
		handler(ctx)
	}
}

// closeFront lets requests in progress finish.
func (e *Entry) closeFront(ctx context.Context) error {
	if e.front == nil {
		return nil
	}
	return errs.Combine(e.front.jobs.ShutdownWithContext(ctx), e.front.ready.ShutdownWithContext(ctx))
}

// serveReady answers the balancer: an entry takes jobs once it has a
// configuration and knows who leads.
func (e *Entry) serveReady(ctx *fasthttp.RequestCtx) {
	if !e.ready.Load() || e.ConfigVersion() == 0 {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// Route implements the jobs' interface: the longest prefix of the host's
// profiles that the path begins with.
func (e *Entry) Route(host, path string) (p profile.Profile, rest string, configured, ok bool) {
	doc := e.config.Document()
	p, rest, ok = doc.Route(host, path)
	return p, rest, doc.Version != 0, ok
}

// Submit implements the jobs' interface.
func (e *Entry) Submit(ctx context.Context, def *job.Definition) error {
	return e.node.Submit(ctx, def)
}

// State implements the jobs' interface.
func (e *Entry) State(ctx context.Context, id string) (job.State, bool, error) {
	return e.node.State(ctx, id)
}

// Cancel implements the jobs' interface.
func (e *Entry) Cancel(ctx context.Context, id string) (bool, error) { return e.node.Cancel(ctx, id) }

// QueueLength implements the jobs' interface.
func (e *Entry) QueueLength(name string) int { return e.node.QueueLength(name) }

// Now implements the jobs' interface.
func (e *Entry) Now() time.Time { return e.clock.Now() }

// MaxBody implements the jobs' interface.
func (e *Entry) MaxBody() int64 { return e.config.Document().MaxBodyBytes }

// Leader returns where the leader is, as far as this entry knows.
func (e *Entry) Leader() message.Leader { return e.node.Leader() }
