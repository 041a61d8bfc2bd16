package cluster

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/zeebo/errs"

	adapter "camphorhead.example/camphorhead/platform"
	"camphorhead.example/camphorhead/process/agent"
	"camphorhead.example/camphorhead/process/entry"
	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/process/settings"
	"camphorhead.example/camphorhead/request/routing"
	"camphorhead.example/standin/interference"
	"camphorhead.example/standin/store"
	"camphorhead.example/standin/target"
	"camphorhead.example/standin/worker"
)

// Config configures Start.
type Config struct {
	Topology Topology
	Seed     uint64
	// EntriesPerRegion is the number of entries in each region.
	EntriesPerRegion int
	// ExtraEntries is the number of further entries in the first region.
	ExtraEntries int
	// Delays adds the network delays of the topology; without it they are 0.
	Delays bool
	// Lease, if not zero, replaces the default TaskMs, HeartbeatMs and LeaderMs.
	Lease settings.Lease
	// Limits replaces the default limits of all processes if it is not zero.
	Limits settings.Limits
	// ServiceTime returns the time that a target takes for a check.
	ServiceTime func(req target.Request, rng *rand.Rand) time.Duration
	// Behaviour returns the real duration and resource use of a task.
	Behaviour worker.BehaviourFunc
	UsageLag  time.Duration
	// Interference slows targets down by the tasks on the same host; nil disables it.
	Interference *interference.Model
	// MeterLink counts the bytes between regions. It requires Delays.
	MeterLink bool
	// Faults gives each pair of processes its own link that can be cut and silenced.
	Faults bool
	// NodeLimits, if not nil, returns the limits of the agent of a node.
	NodeLimits func(node int, limits settings.Limits) settings.Limits
	// WithoutTarget, if not nil, reports whether a node has no target.
	WithoutTarget func(node int) bool
	// Bare omits entries and agents, for a baseline that calls workers and targets.
	Bare bool
	Log  event.Logger
}

// Node is one worker host with its worker and, depending on Config, target and agent.
type Node struct {
	Domain Domain
	Rack   string
	Worker *worker.Worker
	Target *target.Target
	Agent  *agent.Agent

	settings       settings.Settings
	retiredWorkers []*worker.Worker
	retiredTargets []*target.Target
}

// EntryNode is one entry host.
type EntryNode struct {
	Domain Domain
	Entry  *entry.Entry
	// ClientURL is the URL for callers, which includes the client delay.
	ClientURL string

	settings settings.Settings
	storeURL string
}

// Cluster is a running deployment.
type Cluster struct {
	Config  Config
	Store   *store.Store
	Nodes   []*Node
	Entries []*EntryNode

	network *Network
	// addressMaps hold the address to dial for each listen address, by source
	// domain; linkAddressMaps by source process, with Config.Faults.
	addressMaps     map[Domain]map[string]string
	linkAddressMaps map[string]map[string]string
}

// Start starts a deployment, which the caller has to close; see also AwaitReady.
func Start(ctx context.Context, cfg Config) (*Cluster, error) {
	if cfg.EntriesPerRegion == 0 {
		cfg.EntriesPerRegion = 1
	}
	c := &Cluster{Config: cfg, network: newNetwork(), addressMaps: map[Domain]map[string]string{}, linkAddressMaps: map[string]map[string]string{}}
	st, err := store.New(store.Config{})
	if err != nil {
		return nil, err
	}
	c.Store = st
	for _, step := range []func(context.Context) error{c.plan, c.startEntries, c.startNodes} {
		if err := step(ctx); err != nil {
			return nil, errs.Combine(err, c.Close())
		}
	}
	return c, nil
}

func (c *Cluster) clientRoute(n *EntryNode, delay time.Duration) (string, error) {
	if !c.Config.Faults {
		return c.network.delayedRoute(n.settings.HTTP.Listen, delay)
	}
	return c.network.openLink(n.settings.HTTP.Listen, delay, Link{From: CallersID, To: n.ID(), ToRegion: n.Domain.Region})
}

func (c *Cluster) startEntries(ctx context.Context) error {
	for _, n := range c.Entries {
		if err := c.StartEntry(ctx, n); err != nil {
			return err
		}
	}
	return nil
}

// StartEntry starts the process of an entry host, also after it was stopped.
func (c *Cluster) StartEntry(ctx context.Context, n *EntryNode) error {
	n.settings.Network.AddressMap = c.addressMap(n.ID(), n.Domain)
	n.Entry = entry.New(n.settings, entry.Deps{
		Clock: clockwork.NewRealClock(), Log: c.logFor(n.settings),
		Store:  adapter.NewStore(n.storeURL, n.settings.Limits.CallTimeout()),
		Delays: c.routingDelays(),
	})
	return n.Entry.Start(ctx)
}

func (c *Cluster) routingDelays() routing.Settings {
	if !c.Config.Delays {
		return routing.DefaultSettings(0, 0, 0)
	}
	t := c.Config.Topology
	return routing.DefaultSettings(0, t.DomainDelay, t.RegionDelay)
}

func (c *Cluster) startNodes(ctx context.Context) error {
	for i, n := range c.Nodes {
		w, err := c.newWorker(n)
		if err != nil {
			return err
		}
		n.Worker = w
		if !c.Config.Bare {
			if err := c.StartAgent(ctx, n); err != nil {
				return err
			}
		}
		if !c.hasTarget(i) {
			continue
		}
		if err := c.startTarget(n, uint64(i)); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) newWorker(n *Node) (*worker.Worker, error) {
	return worker.New(worker.Config{
		Name: n.settings.Process.ID, Capacity: c.Config.Topology.Capacity, Behaviour: c.Config.Behaviour,
		Seed: c.Config.Seed, UsageLag: c.Config.UsageLag,
	})
}

// StartAgent starts the agent of a worker host, also after it was stopped.
func (c *Cluster) StartAgent(ctx context.Context, n *Node) error {
	n.settings.Network.AddressMap = c.addressMap(n.ID(), n.Domain)
	n.settings.Worker.URL = "http://" + n.Worker.Address()
	n.Agent = agent.New(n.settings, agent.Deps{
		Clock: clockwork.NewRealClock(), Log: c.logFor(n.settings),
		Worker: platform.NewHTTPWorker(n.settings.Worker.URL),
	})
	return n.Agent.Start(ctx)
}

func (c *Cluster) hasTarget(i int) bool {
	return c.Config.WithoutTarget == nil || !c.Config.WithoutTarget(i)
}

// targets returns the number of nodes with a target.
func (c *Cluster) targets() int {
	count := 0
	for i := range c.Nodes {
		if c.hasTarget(i) {
			count++
		}
	}
	return count
}

func (c *Cluster) startTarget(n *Node, i uint64) error {
	t := c.Config.Topology
	cfg := target.Config{
		Service: t.Service, AgentAddress: n.settings.HTTP.Listen, Slots: t.Slots, MaxConnections: t.Connections,
		ServiceTime: c.Config.ServiceTime, Seed: c.Config.Seed + i + 1,
	}
	if c.Config.Bare {
		cfg.AgentAddress = ""
	}
	if model := c.Config.Interference; model != nil {
		cfg.Interference = func() float64 { return model.Slowdown(t.Service, n.Worker.Neighbours()) }
	}
	var err error
	n.Target, err = target.New(cfg)
	return err
}

func (c *Cluster) logFor(cfg settings.Settings) event.Logger {
	p := cfg.Process
	return c.Config.Log.ForProcess(p.ID, string(cfg.Role), p.Region, p.FailureDomain)
}

// stopTimeout bounds the stop of the whole deployment.
const stopTimeout = 10 * time.Second

// Close stops all parts of the deployment and returns their errors.
func (c *Cluster) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	var mu sync.Mutex
	var group errs.Group
	var wg sync.WaitGroup
	stop := func(f func() error) {
		wg.Go(func() {
			err := f()
			mu.Lock()
			defer mu.Unlock()
			group.Add(err)
		})
	}
	for _, n := range c.Nodes {
		stop(func() error { return n.close(ctx) })
	}
	for _, n := range c.Entries {
		if n.Entry != nil {
			stop(func() error { return n.Entry.Stop(ctx) })
		}
	}
	wg.Wait()
	c.Store.Close()
	c.network.close()
	return group.Err()
}

func (n *Node) close(ctx context.Context) error {
	if n.Target != nil {
		n.Target.Close()
	}
	var err error
	if n.Agent != nil {
		err = n.Agent.Stop(ctx)
	}
	if n.Worker != nil {
		n.Worker.Close()
	}
	return err
}
