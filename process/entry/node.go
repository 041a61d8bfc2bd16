package entry

import (
	"context"
	"net"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/process/configpeer"
	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/process/lead"
	"camphorhead.example/camphorhead/process/metrics"
	"camphorhead.example/camphorhead/process/schedule"
	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/request/routing"
	"camphorhead.example/camphorhead/version/profile"
)

const (
	// storeLatencyFactor and fullProcessorClaimDelay set the claim delay: the leader
	// should be near the store, since each end of a task waits for it, and on a fast
	// host. fullProcessorClaimDelay applies to an entry that may use a whole processor.
	storeLatencyFactor      = 10
	fullProcessorClaimDelay = 20 * time.Millisecond
)

// neverFitsDelay is the time from the begin of a term during which no job is reported
// as never fitting, because most workers are still unknown to the leader.
const neverFitsDelay = 30 * time.Second

// newNode returns the node by which this entry leads or follows (package lead).
func (e *Entry) newNode() *lead.Node {
	l := e.cfg.Lease
	return lead.New(lead.Config{
		Self: e.info, Clock: e.clock, Log: e.log, Store: e.store, Advisor: e.deps.Advisor, Net: e.net, Pool: e.pool, Metrics: e.metrics,
		Timing: lead.Timing{
			Lease: l.Task(), MaxWorkerLease: l.WorkerMax(), ReportInterval: l.Heartbeat(), LeaderTimeout: l.Leader(), Outage: l.Outage(),
			Retention: e.cfg.Records.Retention(), NeverFitsDelay: neverFitsDelay, CheckpointInterval: e.cfg.Records.Checkpoint(),
			MaxOver: e.cfg.Interference.MaxOver(), CancelBound: l.Cancel(),
			CommitInterval: e.cfg.Records.Commit(), CallTimeout: e.cfg.Limits.CallTimeout(),
			ModelInterval: e.cfg.Scheduling.ModelInterval(),
			ClaimDelay:    time.Duration(float64(fullProcessorClaimDelay) / e.cfg.Limits.ProcessorShare()), StoreLatencyFactor: storeLatencyFactor,
		},
		Features: e.features(),
		Profile: func(name string) (profile.Profile, bool) {
			p, ok := e.config.Document().Profiles[name]
			return p, ok
		},
		Teams:     func() map[string]profile.Team { return e.config.Document().Teams },
		AdmitLink: e.admitOrders, Evacuations: e.evacuations.List, OnAgentsChanged: e.fleet.Apply,
		ConfigState: func() message.ConfigState { return configpeer.State(e.config, e.clock) }, OnConfigState: e.observeConfig,
	})
}

// features returns the leader's optional decisions by the settings.
func (e *Entry) features() schedule.Features {
	s := e.cfg.Scheduling
	return schedule.Features{
		Forecast: s.Forecast, LearnRunTimes: s.LearnRunTimes, MoveDeparting: s.MoveDeparting, RefuseHopeless: s.RefuseHopeless,
		MaxPlaceWait: s.MaxPlaceWait(), FarFactor: s.FarFactor,
	}
}

// admitOrders takes the bytes of orders for another region from the leader's share of the link.
// It returns false if they must wait.
func (e *Entry) admitOrders(region string, bytes int) bool {
	if region == e.cfg.Process.Region {
		return true
	}
	admitted := e.links.AdmitOrders(region, bytes)
	if admitted {
		e.metrics.Add(metrics.LinkBytes, int64(bytes))
	}
	return admitted
}

// updateLinkRates sets this entry's shares of the links to the other regions. It also removes agents that the leader has not listed for long.
func (e *Entry) updateLinkRates(context.Context) {
	e.fleet.Sweep()
	ownRegionEntries, otherRegions := 1, map[string]bool{}
	for _, info := range e.otherEntries() {
		if info.Location.Region == e.cfg.Process.Region {
			ownRegionEntries++
		} else {
			otherRegions[info.Location.Region] = true
		}
	}
	requests, orders := routing.LinkShares(e.cfg.Network.LinkMbit*bitsPerMbit/bitsPerByte, ownRegionEntries)
	for region := range otherRegions {
		e.links.SetRates(region, requests, orders)
	}
}

// bitsPerByte and bitsPerMbit convert the setting network.link_mbit to bytes per second.
const (
	bitsPerByte = 8
	bitsPerMbit = 1_000_000
)

// jobsServers are the servers of the settings' jobs table: jobs is for callers that
// select a profile by host and path, ready for the readiness check of the balancer.
type jobsServers struct {
	jobs, ready *fasthttp.Server
	done        chan error
}

// startJobsServers opens the listeners of the settings' jobs table and serves them.
func (e *Entry) startJobsServers(handler fasthttp.RequestHandler) error {
	e.jobsServers = &jobsServers{
		jobs: &fasthttp.Server{
			Handler: e.wrapJobsHandler(handler), MaxRequestBodySize: int(e.cfg.HTTP.MaxBodyBytes), NoDefaultServerHeader: true,
			CloseOnShutdown: true, DisableHeaderNamesNormalizing: true,
		},
		ready: &fasthttp.Server{Handler: e.serveReady, NoDefaultServerHeader: true, CloseOnShutdown: true},
		done:  make(chan error, 2),
	}
	for _, l := range []struct {
		address string
		server  *fasthttp.Server
	}{{e.cfg.Jobs.Listen, e.jobsServers.jobs}, {e.cfg.Jobs.Ready, e.jobsServers.ready}} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return errs.New("listen on %s: %w", l.address, err)
		}
		go func() { e.jobsServers.done <- l.server.Serve(listener) }()
	}
	return nil
}

// wrapJobsHandler turns a panic into response 500, so that the process goes on, and closes the
// connection after a request while this entry is not ready for jobs.
func (e *Entry) wrapJobsHandler(handler fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		defer func() {
			if cause := recover(); cause != nil {
				e.log.Emit(event.InternalError, "component", "jobs", "error", cause)
				ctx.Error("internal error", fasthttp.StatusInternalServerError)
			}
		}()
		handler(ctx)
		if !e.readyForJobs() {
			// The balancer selects an entry only when a connection is opened.
			ctx.SetConnectionClose()
		}
	}
}

// closeJobsServers closes the listeners and waits for requests in progress until ctx ends.
func (e *Entry) closeJobsServers(ctx context.Context) error {
	if e.jobsServers == nil {
		return nil
	}
	return errs.Combine(e.jobsServers.jobs.ShutdownWithContext(ctx), e.jobsServers.ready.ShutdownWithContext(ctx))
}

// readyForJobs reports whether the balancer should select this entry: it is not
// stopping or draining, has a configuration that is not outdated, and its node is in service.
func (e *Entry) readyForJobs() bool {
	return e.ready.Load() && e.ConfigVersion() != 0 && !e.outdated() && e.node.InService()
}

// outdated reports whether this entry has known too long of a newer configuration.
func (e *Entry) outdated() bool { return e.document != nil && e.document.Outdated() }

// serveReady serves the readiness check: 200 if ready for jobs, else 503.
func (e *Entry) serveReady(ctx *fasthttp.RequestCtx) {
	if !e.readyForJobs() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// Route implements Jobs of the top-level package platform. It selects the profile of the
// host that has the longest matching path prefix. An entry that knows that its configuration is not
// the newest one denies no route, and after some time serves none: the caller can try another entry.
func (e *Entry) Route(host, path string) (p profile.Profile, rest string, configured, ok bool) {
	doc := e.config.Document()
	p, rest, ok = doc.Route(host, path)
	configured = doc.Version != 0 && !e.outdated() && (ok || e.document == nil || e.document.Current())
	return p, rest, configured, ok
}

// Submit implements Jobs of the top-level package platform.
func (e *Entry) Submit(ctx context.Context, def *job.Definition) error {
	return e.node.Submit(ctx, def)
}

// State implements Jobs of the top-level package platform.
func (e *Entry) State(ctx context.Context, id string) (job.State, bool, error) {
	return e.node.State(ctx, id)
}

// Cancel implements Jobs of the top-level package platform.
func (e *Entry) Cancel(ctx context.Context, id string) (bool, error) { return e.node.Cancel(ctx, id) }

// QueueLength implements Jobs of the top-level package platform.
func (e *Entry) QueueLength(name string) int { return e.node.QueueLength(name) }

// Now implements Jobs of the top-level package platform.
func (e *Entry) Now() time.Time { return e.clock.Now() }

// MaxBody implements Jobs of the top-level package platform.
func (e *Entry) MaxBody() int64 { return e.config.Document().MaxBodyBytes }

// Leader returns the newest known term and the address of its leader, empty if there is none.
func (e *Entry) Leader() message.Leader { return e.node.Leader() }
