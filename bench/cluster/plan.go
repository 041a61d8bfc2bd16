package cluster

import (
	"context"
	"fmt"
	"time"

	"camphorhead.example/camphorhead/process/settings"
	"camphorhead.example/standin/ports"
)

// plan chooses the addresses of all processes and starts the proxies between them.
func (c *Cluster) plan(context.Context) error {
	t := c.Config.Topology
	entries := c.Config.EntriesPerRegion
	if c.Config.Bare {
		entries = 0
	}
	for n, region := range t.regions() {
		count := entries
		if n == 0 && !c.Config.Bare {
			count += c.Config.ExtraEntries
		}
		for i := range count {
			domains := t.domainsOf(region)
			if err := c.planEntry(domains[i%len(domains)], i); err != nil {
				return err
			}
		}
	}
	for i := range t.Workers {
		if err := c.planNode(i); err != nil {
			return err
		}
	}
	return c.planAddressMaps()
}

func (c *Cluster) planEntry(d Domain, i int) error {
	cfg := c.baseSettings(settings.RoleEntry, d)
	cfg.Process.ID = fmt.Sprintf("entry-%s-%d", d.Region, i)
	if err := assignAddresses(&cfg); err != nil {
		return err
	}
	n := &EntryNode{Domain: d, settings: cfg}
	var err error
	if n.storeURL, err = c.linkAddress(n.ID(), StoreID, d, c.Config.Topology.Domains[0], c.Store.Address()); err != nil {
		return err
	}
	clientDelay := time.Duration(0)
	if c.Config.Delays {
		clientDelay = c.Config.Topology.ClientDelay
	}
	client, err := c.clientRoute(n, clientDelay)
	n.ClientURL = "http://" + client
	c.Entries = append(c.Entries, n)
	return err
}

func (c *Cluster) planNode(i int) error {
	t := c.Config.Topology
	d := t.Domains[i%len(t.Domains)]
	cfg := c.baseSettings(settings.RoleAgent, d)
	cfg.Process.ID = fmt.Sprintf("worker-%02d", i)
	cfg.Process.Rack = fmt.Sprintf("%s-rack-%d", d.Name, i/len(t.Domains)/t.PerRack)
	for _, e := range c.Entries {
		cfg.Entries.Seeds = append(cfg.Entries.Seeds, e.settings.Process.Listen)
	}
	if c.Config.NodeLimits != nil {
		cfg.Limits = c.Config.NodeLimits(i, cfg.Limits)
	}
	if err := assignAddresses(&cfg); err != nil {
		return err
	}
	c.Nodes = append(c.Nodes, &Node{Domain: d, Rack: cfg.Process.Rack, settings: cfg})
	return nil
}

// planAddressMaps starts a proxy from each failure domain to each frame listener.
func (c *Cluster) planAddressMaps() error {
	if c.Config.Faults {
		return c.planLinkAddressMaps()
	}
	for _, from := range c.Config.Topology.Domains {
		c.addressMaps[from] = map[string]string{}
		for _, e := range c.Entries {
			if err := c.planRoute(from, e.Domain, e.settings.Process.Listen); err != nil {
				return err
			}
		}
		for _, n := range c.Nodes {
			if err := c.planRoute(from, n.Domain, n.settings.Process.Listen); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *Cluster) planRoute(from, to Domain, address string) error {
	proxied, err := c.Route(from, to, address)
	c.addressMaps[from][address] = proxied
	return err
}

// Route returns the address at which a process in one failure domain reaches an
// address in another, with the network delay between them.
func (c *Cluster) Route(from, to Domain, address string) (string, error) {
	if c.Config.MeterLink && from.Region != to.Region {
		return c.network.meteredRoute(address, c.delay(from, to), from.Region, to.Region)
	}
	return c.network.delayedRoute(address, c.delay(from, to))
}

func (c *Cluster) delay(a, b Domain) time.Duration {
	if !c.Config.Delays {
		return 0
	}
	return c.Config.Topology.delay(a, b)
}

// baseSettings returns the settings that are common to a role and failure domain.
func (c *Cluster) baseSettings(role settings.Role, d Domain) settings.Settings {
	cfg := settings.Default(role)
	cfg.Process.Region, cfg.Process.FailureDomain = d.Region, d.Name
	cfg.Process.Key = "key of the processes in one cluster"
	if l := c.Config.Lease; l != (settings.Lease{}) {
		l.OutageMs, l.WorkerMs, l.CancelMs = cfg.Lease.OutageMs, l.TaskMs, cfg.Lease.CancelMs
		cfg.Lease = l
	}
	if c.Config.Limits != (settings.Limits{}) {
		cfg.Limits = c.Config.Limits
	}
	return cfg
}

func assignAddresses(cfg *settings.Settings) error {
	var err error
	if cfg.Process.Listen, err = ports.FreeAddress(); err != nil {
		return err
	}
	cfg.HTTP.Listen, err = ports.FreeAddress()
	return err
}

func (t Topology) regions() []string {
	var list []string
	seen := map[string]bool{}
	for _, d := range t.Domains {
		if !seen[d.Region] {
			seen[d.Region] = true
			list = append(list, d.Region)
		}
	}
	return list
}

func (t Topology) domainsOf(region string) []Domain {
	var list []Domain
	for _, d := range t.Domains {
		if d.Region == region {
			list = append(list, d)
		}
	}
	return list
}
