package scenario

import (
	"context"
	"io"
	"math/rand/v2"
	"time"

	"github.com/zeebo/errs"

	"camphorhead.example/bench/caller"
	"camphorhead.example/bench/cluster"
	"camphorhead.example/bench/naive"
	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/process/metrics"
	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/process/settings"
	"camphorhead.example/camphorhead/version/profile"
	"camphorhead.example/standin/interference"
	"camphorhead.example/standin/target"
)

const (
	readyTimeout = 30 * time.Second
	// callTimeoutMs is half of the registration, the longest that settings allow.
	callTimeoutMs = 1500
	// connections bounds the open connections of the callers to one entry.
	connections = 4096
	// naiveAttempts and naiveConnections are the settings of the baseline.
	naiveAttempts = 2
)

// scaledLease scales the leases and heartbeats of an entry and an agent down
// by 20 for heartbeats and 6 for task leases, so that a slice of seconds sees
// several heartbeats.
var scaledLease = settings.Lease{TaskMs: 5000, HeartbeatMs: 500, LeaderMs: 3000}

// layout sets up the deployment of one slice.
type layout struct {
	policy      Policy
	seed        uint64
	serviceTime time.Duration // mean; zero means no checks
	// deadline is the checks' deadline, from which the baseline's time-outs follow.
	deadline     time.Duration
	usageLag     time.Duration
	interference *interference.Model
	meterLink    bool
	profiles     []profile.Profile
	// serviceNodes is the number of workers that the partitioned policy gives to services.
	serviceNodes int
}

// site is one region with its callers.
type site struct {
	region  string
	workers int
	clients []*caller.Client
	checks  *naive.Checks
}

// deployment is a running system under test with its stand-ins.
type deployment struct {
	layout   layout
	topology cluster.Topology
	cluster  *cluster.Cluster
	sites    []*site
	batch    *naive.Batch // of the naive policy
}

// deploy starts a deployment; close ends it.
func deploy(ctx context.Context, l layout) (*deployment, error) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	log, err := event.New(io.Discard, settings.FormatHuman, settings.LevelError)
	if err != nil {
		return nil, err
	}
	d := &deployment{layout: l, topology: cluster.Laque()}
	d.cluster, err = cluster.Start(ctx, d.config(log))
	if err != nil {
		return nil, err
	}
	open := d.openCore
	if l.policy == Naive {
		open = d.openNaive
	}
	if err := open(ctx); err != nil {
		return nil, errs.Combine(err, d.close())
	}
	return d, nil
}

func (d *deployment) config(log event.Logger) cluster.Config {
	l := d.layout
	limits := settings.Default(settings.RoleEntry).Limits
	limits.CallTimeoutMs = callTimeoutMs
	config := cluster.Config{
		Topology: d.topology, Seed: l.seed, EntriesPerRegion: 1, Delays: true, Lease: scaledLease, Limits: limits,
		ServiceTime: serviceTime(l.serviceTime), Behaviour: behaviour, UsageLag: l.usageLag,
		Interference: l.interference, MeterLink: l.meterLink, Bare: l.policy == Naive, Log: log,
	}
	if l.policy == Partitioned {
		config.NodeLimits = d.partitionLimits
		config.WithoutTarget = func(node int) bool { return node >= l.serviceNodes }
	}
	return config
}

// partitionLimits leaves no room for batch tasks on the workers of services.
func (d *deployment) partitionLimits(node int, limits settings.Limits) settings.Limits {
	if node < d.layout.serviceNodes {
		limits.ReserveMilliCPU = d.topology.Capacity.MilliCPU
		limits.ReserveMemoryMB = d.topology.Capacity.MemoryMB
	}
	return limits
}

// serviceTime returns service times between half and one and a half of the mean.
func serviceTime(mean time.Duration) func(target.Request, *rand.Rand) time.Duration {
	if mean == 0 {
		return nil
	}
	return func(_ target.Request, rng *rand.Rand) time.Duration {
		return mean/2 + time.Duration(rng.Int64N(int64(mean)))
	}
}

func (d *deployment) openCore(ctx context.Context) error {
	if err := d.cluster.AwaitReady(ctx); err != nil {
		return err
	}
	if err := d.cluster.Apply(ctx, d.layout.profiles...); err != nil {
		return err
	}
	d.openSites()
	for _, e := range d.cluster.Entries {
		client, err := caller.New([]string{e.ClientURL}, "", connections)
		if err != nil {
			return err
		}
		s := d.site(e.Domain.Region)
		s.clients = append(s.clients, client)
	}
	return nil
}

// openSites lists the regions with their workers.
func (d *deployment) openSites() {
	for _, n := range d.cluster.Nodes {
		s := d.site(n.Domain.Region)
		if s == nil {
			s = &site{region: n.Domain.Region}
			d.sites = append(d.sites, s)
		}
		s.workers++
	}
}

func (d *deployment) site(region string) *site {
	for _, s := range d.sites {
		if s.region == region {
			return s
		}
	}
	return nil
}

// openNaive sets up one balancer for checks in each region, and one batch
// scheduler in the region of the store.
func (d *deployment) openNaive(context.Context) error {
	d.openSites()
	for _, s := range d.sites {
		config := naive.ChecksConfig{
			Attempts: naiveAttempts, AttemptTimeout: d.layout.deadline / naiveAttempts,
			// A target takes a limited number of connections from all regions together.
			Connections: d.topology.Connections / len(d.sites),
		}
		for _, n := range d.cluster.Nodes {
			address, err := d.cluster.Route(d.home(s.region), n.Domain, n.Target.Address())
			if err != nil {
				return err
			}
			config.Targets = append(config.Targets, address)
		}
		s.checks = naive.NewChecks(config)
	}
	var machines []naive.Machine
	for _, n := range d.cluster.Nodes {
		address, err := d.cluster.Route(d.topology.Domains[0], n.Domain, n.Worker.Address())
		if err != nil {
			return err
		}
		machines = append(machines, naive.Machine{
			Worker: platform.NewHTTPWorker("http://" + address), Capacity: d.topology.Capacity,
		})
	}
	d.batch = naive.NewBatch(machines)
	return nil
}

// home is the failure domain of the processes that callers of a region talk to.
func (d *deployment) home(region string) cluster.Domain {
	for _, domain := range d.topology.Domains {
		if domain.Region == region {
			return domain
		}
	}
	return d.topology.Domains[0]
}

// pick chooses a region by its share of the workers.
func (d *deployment) pick(rng *rand.Rand) *site {
	n := rng.IntN(d.topology.Workers)
	for _, s := range d.sites {
		if n < s.workers {
			return s
		}
		n -= s.workers
	}
	return d.sites[0]
}

// capacity returns how many checks a second all targets can answer.
func (d *deployment) capacity() float64 {
	return float64(d.topology.Workers*d.topology.Slots) / d.layout.serviceTime.Seconds()
}

// agentCount sums a counter over all agents.
func (d *deployment) agentCount(id metrics.ID) int64 {
	var sum int64
	for _, n := range d.cluster.Nodes {
		if n.Agent != nil {
			sum += n.Agent.Metrics().Value(id)
		}
	}
	return sum
}

func (d *deployment) close() error {
	if d.batch != nil {
		d.batch.Close()
	}
	for _, s := range d.sites {
		for _, c := range s.clients {
			c.Close()
		}
		if s.checks != nil {
			s.checks.Close()
		}
	}
	return d.cluster.Close()
}
