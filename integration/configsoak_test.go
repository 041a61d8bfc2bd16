package integration

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	adapter "camphorhead.example/camphorhead/platform"
	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/standin/caller"
)

// configurationSeeds always run; a seed that has failed is added, with its cause.
var configurationSeeds = []uint64{1, 2}

var (
	firstConfigurationSeed = flag.Uint64("configuration-first", 1000, "first of the further seeds of the soak of configurations")
	configurationSeedCount = flag.Uint64("configuration-seeds", 0, "number of the further seeds of the soak of configurations")
)

const (
	// The operator writes a version every minWriteInterval to maxWriteInterval. The document has up to
	// soakRouteCount routes, which take half a second on a slow link.
	minWriteInterval, maxWriteInterval = 300 * time.Millisecond, 1500 * time.Millisecond
	soakRouteCount                     = 2500
	// invalidWrites of ten values cannot be decoded. lostHistories of ten writes are followed by the
	// loss of the store's history.
	invalidWrites, lostHistories = 1, 2
	versionRetryPause            = 50 * time.Millisecond
)

// operator writes versions of the configuration until it is stopped.
type operator struct {
	d       *platformDeployment
	rng     *rand.Rand
	store   *adapter.Store
	routes  map[int]bool // in the latest version, besides testRoute
	version uint64
}

// write changes a random range of routes and writes the result as the next version.
func (o *operator) write() {
	first, count := o.rng.IntN(soakRouteCount), o.rng.IntN(soakRouteCount/2)
	add := o.rng.IntN(3) > 0
	for i := first; i < min(first+count, soakRouteCount); i++ {
		if add {
			o.routes[i] = true
		} else {
			delete(o.routes, i)
		}
	}
	o.version += 1 + o.rng.Uint64N(3)
	value, err := caller.Configuration(o.version, o.list()...)
	assert.NoError(o.d.t, err)
	invalid := o.rng.IntN(10) < invalidWrites
	if invalid {
		value = value[:len(value)/2]
	}
	for o.d.t.Context().Err() == nil && !o.commit(value) {
		time.Sleep(versionRetryPause) // a fault of the store
	}
	if invalid {
		o.write() // the last version is a valid one
	}
	if o.rng.IntN(10) < lostHistories {
		var done bool
		assert.True(o.d.t, o.d.tryControl(o.d.storeConfig, "compact", "", &done))
	}
}

func (o *operator) commit(value []byte) bool {
	ctx, cancel := context.WithTimeout(o.d.t.Context(), recoveryTimeout)
	defer cancel()
	_, err := o.store.Commit(ctx, platform.Txn{Puts: []platform.Put{{Key: caller.ConfigurationKey, Value: value}}})
	return err == nil
}

// list returns the routes of the latest version. One of them tells the version.
func (o *operator) list() []caller.Route {
	list := []caller.Route{testRoute, soakRoute("version", int(o.version))}
	for i := range soakRouteCount {
		if o.routes[i] {
			list = append(list, soakRoute("route", i))
		}
	}
	return list
}

func soakRoute(kind string, i int) caller.Route {
	r := testRoute
	r.Name, r.Host, r.Prefix = fmt.Sprintf("%s-%d", kind, i), fmt.Sprintf("%s-%d.platform.example", kind, i), fmt.Sprintf("/%d/", i)
	return r
}

// verifyVersionsRise checks in the log of an entry that each of its processes has put newer versions
// in force only.
func (d *platformDeployment) verifyVersionsRise(entry *core) {
	text, err := os.ReadFile(entry.log)
	require.NoError(d.t, err)
	last, changes := uint64(0), 0
	for line := range strings.Lines(string(text)) {
		switch {
		case strings.Contains(line, "name=process_starting"):
			last = 0
		case strings.Contains(line, "name=configuration_in_force"):
			found := versionInLog.FindStringSubmatch(line)
			require.Len(d.t, found, 2, "%s", line)
			version, err := strconv.ParseUint(found[1], 10, 64)
			require.NoError(d.t, err)
			assert.Greater(d.t, version, last, "%s: %s", entry.name, line)
			last, changes = version, changes+1
		}
	}
	require.Positive(d.t, changes, "%s has put no version in force", entry.name)
}

var versionInLog = regexp.MustCompile(` version=(\d+)`)

// repeat runs f every interval until the returned function is called, which waits for its end.
func repeat(interval func() time.Duration, f func()) (stop func()) {
	end := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() {
		for {
			select {
			case <-end:
				return
			case <-time.After(interval()):
				f()
			}
		}
	})
	return func() {
		close(end)
		running.Wait()
	}
}

// Guards against a configuration that goes back, differs between entries, or is not in force at all of
// them in the end: versions are written in quick succession, some of them invalid, and the store loses
// its history, while entries on slow links are killed, paused, stopped and cut off.
func TestConfigurationSoak(t *testing.T) {
	runSeeds(t, seedRange{configurationSeeds, *firstConfigurationSeed, *configurationSeedCount, 7}, soakSchedule, func(t *testing.T, seed uint64, faults []scheduledFault, rng *rand.Rand) {
		d := deployPlatform(t, withDeployedLeases, withSeveralEntries)
		o := &operator{
			d: d, rng: rand.New(rand.NewPCG(seed, 8)), store: adapter.NewStore(d.storeConfig.Store, d.callTimeout),
			routes: map[int]bool{}, version: 1,
		}
		stopOperator := repeat(func() time.Duration {
			return minWriteInterval + randomDuration(o.rng, maxWriteInterval-minWriteInterval)
		}, o.write)
		d.limitStoreLinks()
		d.inject(faults, rng)
		stopOperator()
		d.limitStoreLinks() // the end of a fault removes all limits of a link
		for entry := range d.entries {
			d.eventually(recoveryTimeout, fmt.Sprintf("entry-%d has version %d after the faults", entry, o.version), func() bool {
				return d.configVersion(entry) == strconv.FormatUint(o.version, 10)
			})
		}
		o.write()
		d.requireRoutes(o, time.Now())
		for _, e := range d.entries {
			d.verifyVersionsRise(e)
		}
	})
}

func (d *platformDeployment) limitStoreLinks() {
	for _, e := range d.entries {
		d.links[linkKey{e.settings.Process.ID, storeID}].limitBandwidth(d.t, slowLinkKBps)
	}
}

// requireRoutes requires that all entries serve the latest version in time, and just its routes.
func (d *platformDeployment) requireRoutes(o *operator, confirmed time.Time) {
	d.t.Helper()
	for entry := range d.entries {
		for !d.servesRoute(entry, soakRoute("version", int(o.version))) {
			require.Less(d.t, time.Since(confirmed), configurationBound, "entry-%d has version %s, version %d was confirmed", entry, d.configVersion(entry), o.version)
			time.Sleep(pollInterval)
		}
		for i := o.rng.IntN(100); i < soakRouteCount; i += 100 {
			assert.Equal(d.t, o.routes[i], d.servesRoute(entry, soakRoute("route", i)), "entry-%d, route %d of version %d", entry, i, o.version)
		}
	}
}
