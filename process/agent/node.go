package agent

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/process/metrics"
	"camphorhead.example/camphorhead/process/runs"
	"camphorhead.example/camphorhead/request/interference"
)

// reportsPerLease is the number of consecutive reports that can time out before a task
// lease expires: a slow leader must not lose its agents, and an unresponsive
// connection must be dropped before it costs them their runs.
const reportsPerLease = 3

// newNode returns the node that manages the runs at the worker.
func (a *Agent) newNode() *runs.Node {
	return runs.New(runs.Config{
		ID: a.cfg.Process.ID, Address: a.advertised, Location: a.location(), Clock: a.clock, Log: a.log,
		Worker: a.deps.Worker, Ledger: a.ledger, Net: a.net, Pool: a.pool, Metrics: a.metrics,
		Timing: runs.Timing{
			ReportInterval: a.cfg.Lease.Heartbeat(), WorkerLease: a.cfg.Lease.Worker(), MaxWorkerLease: a.cfg.Lease.WorkerMax(),
			ReportTimeout: a.cfg.Lease.Task() / reportsPerLease,
			CallTimeout:   a.cfg.Limits.CallTimeout(), WorkerCallTimeout: a.cfg.Limits.CallTimeout() / 2,
		},
		Guard: interference.Guard{MaxOver: a.cfg.Interference.MaxOver()},
		Seeds: a.cfg.Entries.Seeds, ReadLeader: a.deps.ReadLeader, ConfigVersion: a.ConfigVersion, OnNewerConfig: a.onNewerConfig(),
		Reserve: a.control.reserve, Summary: a.summary, Pairings: a.control.unacceptedPairings, OnPairingsAccepted: a.control.markAccepted,
	})
}

// onNewerConfig returns runs.Config.OnNewerConfig. It is nil if the worker announces
// itself, as the agent then needs no configuration.
func (a *Agent) onNewerConfig() func(ctx context.Context, leader string) {
	if a.deps.Registry != nil {
		return nil
	}
	return a.pullConfig
}

func (a *Agent) pullConfig(ctx context.Context, leader string) {
	before := a.ConfigVersion()
	_, advanced, err := a.puller.Pull(ctx, leader)
	if err != nil {
		a.metrics.Add(metrics.ConfigPullsFailed, 1) // the reply to the next report triggers it again
		return
	}
	a.reportConfig(before, advanced)
}

func (a *Agent) callConfigPull(ctx context.Context, leader string, pull message.ConfigPull) (message.Config, error) {
	ctx, cancel := context.WithTimeout(ctx, a.cfg.Limits.CallTimeout())
	defer cancel()
	var reply message.Config
	err := a.net.Call(ctx, leader, message.KindConfigPull, pull, &reply)
	return reply, err
}

// summary returns the current state of the worker and its targets, see runs.Config.Summary.
func (a *Agent) summary() (s message.Summary, exact bool) {
	return message.Summary{
		Agent: a.cfg.Process.ID, Address: a.advertised(), Location: a.location(),
		Capacity: a.ledger.Capacity(), Free: a.ledger.Free(), Services: a.checks.loads(), Tasks: a.node.Count(),
		Draining: a.draining.tasks.Load() || a.node.Draining(), ConfigVersion: a.ConfigVersion(),
		PressurePct: a.control.pressurePct(),
	}, a.draining.checks.Load()
}

// registry is the HTTP server that receives the worker's announcements.
type registry struct {
	server *fasthttp.Server
	done   chan error
}

func (a *Agent) startRegistry(handler fasthttp.RequestHandler) error {
	listener, err := net.Listen("tcp", a.cfg.Worker.Registry)
	if err != nil {
		return errs.New("listen for worker announcements on %s: %w", a.cfg.Worker.Registry, err)
	}
	a.registry = &registry{
		server: &fasthttp.Server{
			Handler: handler, MaxRequestBodySize: int(a.cfg.HTTP.MaxBodyBytes), NoDefaultServerHeader: true,
			CloseOnShutdown: true,
		},
		done: make(chan error, 1),
	}
	go func() { a.registry.done <- a.registry.server.Serve(listener) }()
	return nil
}

func (r *registry) close() error {
	return errs.Combine(r.server.Shutdown(), <-r.done)
}

// Announce applies the worker's announcement of itself, see runs.Node.Announce.
func (a *Agent) Announce(w message.WorkerInfo, sequence uint64) {
	a.node.Announce(w, sequence)
}

// Withdraw records that the worker with this ID has departed.
func (a *Agent) Withdraw(id string) { a.node.Withdraw(id) }

// Now returns the time of the agent's clock.
func (a *Agent) Now() time.Time { return a.clock.Now() }

// refusalLogInterval is the minimum time between two log lines about refused announcements:
// another writer may send any number of them.
const refusalLogInterval = 10 * time.Second

// refusals counts the refused announcements that are not logged yet.
type refusals struct {
	count    atomic.Int64
	loggedAt atomic.Int64 // in milliseconds of Unix time; 0: never
}

// Malformed logs an invalid announcement and its reason, at most once per refusalLogInterval,
// with the number of those since the previous line. source is the ID of the worker.
func (a *Agent) Malformed(source string, err error) {
	a.refusals.count.Add(1)
	now, last := a.clock.Now().UnixMilli(), a.refusals.loggedAt.Load()
	if last != 0 && now-last < refusalLogInterval.Milliseconds() || !a.refusals.loggedAt.CompareAndSwap(last, now) {
		return
	}
	a.log.Emit(event.AnnouncementRefused, "source", source, "error", err, "refused", a.refusals.count.Swap(0))
}
