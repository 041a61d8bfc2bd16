package integration

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorhead.example/standin/caller"
)

const (
	// configurationBound is the stated time from the store's response to a change until the
	// change is in force at every entry that is undisturbed.
	configurationBound = 4 * time.Second
	// slowLinkKBps is the bandwidth of the slowest links of entries, 10 Mbit/s, in KB/s.
	slowLinkKBps = 1250
	// largeRouteCount is the stated largest number of routes.
	largeRouteCount = 6000
	// historyReadsAllowed is how often an entry may read the whole configuration because the store
	// has lost its history once: the response to the first read may be lost.
	historyReadsAllowed = 2
	// historyObservation is several times the interval in which an entry that has lost its position
	// in the store's history reads the configuration again.
	historyObservation = 5 * time.Second
	// watchPhases changes are written watchPhase later each in the 1.5 s in which a call waits.
	watchPhases = 5
	watchPhase  = 300 * time.Millisecond
)

// manyRoutes returns testRoute and n further routes, each of about 220 bytes.
func manyRoutes(n int) []caller.Route {
	routes := []caller.Route{testRoute}
	for i := range n {
		r := testRoute
		r.Name, r.Host, r.Prefix = fmt.Sprintf("route-%d", i), fmt.Sprintf("host-%d.platform.example", i), fmt.Sprintf("/prefix-%d/", i)
		routes = append(routes, r)
	}
	return routes
}

// deployOnSlowLinks starts a deployment whose entries reach the store over slow links.
func deployOnSlowLinks(t *testing.T) *platformDeployment {
	d := deployPlatform(t, withDeployedLeases)
	for _, e := range d.entries {
		d.links[linkKey{e.settings.Process.ID, storeID}].limitBandwidth(t, slowLinkKBps)
	}
	return d
}

// requireInForce writes a version and requires that all entries serve its last route in time.
func (d *platformDeployment) requireInForce(version uint64, routes []caller.Route) {
	d.t.Helper()
	d.writeConfiguration(version, routes...)
	confirmed := time.Now()
	for entry := range d.entries {
		for !d.servesRoute(entry, routes[len(routes)-1]) {
			require.Less(d.t, time.Since(confirmed), configurationBound,
				"entry-%d has version %s in force, version %d with %d routes was confirmed", entry, d.configVersion(entry), version, len(routes))
			time.Sleep(pollInterval)
		}
	}
	d.t.Logf("version %d with %d routes is in force after %s", version, len(routes), time.Since(confirmed))
}

// servesRoute reports whether an entry knows a route: a lookup of an unknown job is then 410
// instead of 404.
func (d *platformDeployment) servesRoute(entry int, route caller.Route) bool {
	c := *d.caller
	c.Route = route
	_, absent, err := c.State(d.entries[entry].settings.Jobs.Listen, "0123456789abcdef")
	return err == nil && absent
}

func (d *platformDeployment) configVersion(entry int) string {
	return d.metric(entry, "camphorhead_config_version")
}

// metric returns the value of one series of an entry; empty if there is none.
func (d *platformDeployment) metric(entry int, series string) string {
	for line := range strings.Lines(d.metrics(d.entries[entry])) {
		if value, ok := strings.CutPrefix(line, series+" "); ok {
			return strings.TrimSpace(value)
		}
	}
	return ""
}

// Guards against a configuration that grows beyond what a slow link delivers within the time
// of one call, and is then never in force.
func TestLargeConfigurationInForceOnSlowLinks(t *testing.T) {
	t.Parallel()
	d := deployOnSlowLinks(t)
	version := uint64(1)
	for _, n := range []int{1400, 2800, 4200, largeRouteCount - watchPhases} {
		version++
		d.requireInForce(version, manyRoutes(n))
	}
	for phase := range watchPhases {
		// A change may come at any time of a call that waits for it.
		d.pause(time.Duration(phase) * watchPhase)
		version++
		d.requireInForce(version, manyRoutes(largeRouteCount-watchPhases+phase+1))
	}
}

// Guards against an entry that reads the whole configuration in a loop, and has changes in force
// late, after it has started or the store has lost its history since the last change.
func TestConfigurationAfterRestartAndLostHistory(t *testing.T) {
	t.Parallel()
	for _, n := range []int{1400, largeRouteCount - 2} {
		t.Run(fmt.Sprintf("%d-routes", n), func(t *testing.T) {
			t.Parallel()
			d := deployOnSlowLinks(t)
			d.requireInForce(2, manyRoutes(n))
			var done bool
			d.control(d.storeConfig, "compact", "", &done)
			restarted := d.entries[1]
			restarted.kill(t)
			d.startCore(restarted)
			d.eventually(recoveryTimeout, "the restarted entry has the configuration", func() bool { return d.configVersion(1) == "2" })
			d.requireReadOnce()
			d.requireInForce(3, manyRoutes(n+1))
			d.control(d.storeConfig, "compact", "", &done)
			d.requireReadOnce()
			d.requireInForce(4, manyRoutes(n+2))
		})
	}
}

// requireReadOnce requires that no entry reads the whole configuration again and again because
// the store has no history.
func (d *platformDeployment) requireReadOnce() {
	d.t.Helper()
	const series = `camphorhead_document_reads_total{reason="history"}`
	before := make([]int, len(d.entries))
	for entry := range d.entries {
		before[entry], _ = strconv.Atoi(d.metric(entry, series))
	}
	d.pause(historyObservation)
	for entry := range d.entries {
		reads, _ := strconv.Atoi(d.metric(entry, series))
		require.LessOrEqual(d.t, reads-before[entry], historyReadsAllowed, "entry-%d reads the whole configuration again and again", entry)
	}
}

func (d *platformDeployment) pause(length time.Duration) {
	ctx, cancel := context.WithTimeout(d.t.Context(), length)
	defer cancel()
	<-ctx.Done()
}
