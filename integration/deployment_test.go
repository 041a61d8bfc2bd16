package integration

import (
	"encoding/json"
	"fmt"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/pelletier/go-toml/v2"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"camphorhead.example/camphorhead/connection/api"
	"camphorhead.example/camphorhead/process/settings"
	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/request/resources"
)

// Durations of the deployments. Leases are short, so that they expire within a test;
// the timeouts of the tests follow from them.
const (
	leaderTimeout     = 1500 * time.Millisecond
	taskLease         = 3000 * time.Millisecond
	heartbeatInterval = 300 * time.Millisecond
	callTimeout       = 500 * time.Millisecond
	// maxStoreOutage is how long a leader keeps its term without the store; the outages
	// of the tests are shorter.
	maxStoreOutage = 30 * time.Second
	// failoverTimeout bounds the time until the task of an unreachable agent runs
	// elsewhere: a full lease until it is known to have expired, a second one for a
	// concurrent change of the leader, both with 5% for clock rates, and as much again
	// for a loaded machine.
	failoverTimeout = 15 * time.Second
	// recoveryTimeout bounds the time until service is normal after a fault has ended.
	recoveryTimeout = 15 * time.Second
	readyTimeout    = 40 * time.Second

	processKey = "key of the processes in one deployment"
	service    = "shade-lab"
	slots      = 8

	checkDeadline = 2000 * time.Millisecond
	batchDeadline = 3000 * time.Millisecond
)

const (
	entryCount = 2
	hostCount  = 3
	// maxDeployments bounds the concurrent deployments, of 9 processes each.
	maxDeployments = 6
)

// deploymentTokens holds one token per running deployment.
var deploymentTokens = make(chan struct{}, maxDeployments)

var (
	taskNeed     = resources.Resources{MilliCPU: 1000, MemoryMB: 500}
	hostCapacity = resources.Resources{MilliCPU: 8000, MemoryMB: 8000}
)

// core is one camphorhead process with its settings.
type core struct {
	*process
	settings settings.Settings
}

// host is a worker host: the agent, and the process of its worker and target.
type host struct {
	agent   *core
	standin *process
	config  standinConfig
	worker  *link // from the agent to its worker; nil without withWorkerLinks
	// registry is the link from the worker to its agent's registry; nil without withWorkerLinks
	// or without the platform's protocol.
	registry *link
}

// linkKey names a link by the ids of the process that dials and the one that it dials.
type linkKey struct{ from, to string }

// deployment is one running set of processes.
type deployment struct {
	t           *testing.T
	dir         string
	store       *process
	storeConfig standinConfig
	entries     []*core
	hosts       []*host
	links       map[linkKey]*link
	proxyServer *toxiproxy.ApiServer
	client      *fasthttp.Client
	calls       *callLog
	workerLinks bool
	entryCount  int
	lease       settings.Lease      // of all processes
	scheduling  settings.Scheduling // of all entries
	callTimeout time.Duration
	capacity    resources.Resources // of each worker
	// connectionPerCall: the workers take one call on each connection.
	connectionPerCall bool
	tasksPerJob       atomic.Int64 // of the jobs of long tasks
}

// storeID is the name of the store in link keys.
const storeID = "store"

// deploy starts a deployment and waits until it serves all profiles.
func deploy(t *testing.T, options ...option) *deployment {
	t.Helper()
	d := newDeployment(t, options...)
	d.startAll()
	d.createProfiles()
	d.awaitReady()
	return d
}

// option changes a deployment before its processes are planned.
type option func(*deployment)

// withWorkerLinks puts a link between each agent and its worker.
func withWorkerLinks(d *deployment) { d.workerLinks = true }

// newDeployment waits for a token, starts the store and plans the other processes.
func newDeployment(t *testing.T, options ...option) *deployment {
	t.Helper()
	deploymentTokens <- struct{}{}
	t.Cleanup(func() { <-deploymentTokens })
	d := &deployment{
		t: t, dir: logFolder(t), links: map[linkKey]*link{}, proxyServer: newProxyServer(),
		client: &fasthttp.Client{MaxConnsPerHost: 1024}, calls: &callLog{}, callTimeout: callTimeout, entryCount: entryCount, capacity: hostCapacity,
		lease: settings.Lease{
			TaskMs: taskLease.Milliseconds(), HeartbeatMs: heartbeatInterval.Milliseconds(),
			LeaderMs: leaderTimeout.Milliseconds(), OutageMs: maxStoreOutage.Milliseconds(), WorkerMs: taskLease.Milliseconds(),
			CancelMs: cancelGracePeriod.Milliseconds(),
		},
	}
	for _, apply := range options {
		apply(d)
	}
	d.startStore()
	d.plan()
	return d
}

// startAll starts all processes except the store.
func (d *deployment) startAll() {
	for _, c := range d.entries {
		d.startCore(c)
	}
	for _, h := range d.hosts {
		d.startHost(h)
		d.startCore(h.agent)
	}
	d.t.Cleanup(d.inspect)
}

// logFolder returns the folder for the logs and settings files of a test.
func logFolder(t *testing.T) string {
	if *logsDir == "" {
		return t.TempDir()
	}
	dir := filepath.Join(*logsDir, t.Name())
	require.NoError(t, os.RemoveAll(dir))
	require.NoError(t, os.MkdirAll(dir, 0o700))
	return dir
}

// inspect checks the core processes before they are killed; a failed test prints all logs.
func (d *deployment) inspect() {
	for _, c := range d.cores() {
		c.inspect(d.t)
	}
	if !d.t.Failed() {
		return
	}
	for _, c := range d.cores() {
		c.printLog(d.t)
	}
	d.store.printLog(d.t)
	for _, h := range d.hosts {
		h.standin.printLog(d.t)
	}
}

func (d *deployment) cores() []*core {
	all := append([]*core(nil), d.entries...)
	for _, h := range d.hosts {
		all = append(all, h.agent)
	}
	return all
}

func (d *deployment) startStore() {
	d.storeConfig = standinConfig{Name: storeID, Control: freeAddress(d.t), Store: freeAddress(d.t)}
	d.store = d.startStandin(roleStore, d.storeConfig)
}

func (d *deployment) startHost(h *host) {
	h.standin = d.startStandin(roleHost, h.config)
}

func (d *deployment) startStandin(role string, cfg standinConfig) *process {
	encoded, err := json.Marshal(cfg)
	require.NoError(d.t, err)
	self, err := os.Executable()
	require.NoError(d.t, err)
	cmd := exec.Command(self)
	cmd.Env = append(os.Environ(), standinRoleEnv+"="+role, standinConfigEnv+"="+string(encoded))
	p := startProcess(d.t, d.dir, cfg.Name, cmd)
	d.eventually(readyTimeout, cfg.Name+" responds", func() bool {
		var pong bool
		return d.tryControl(cfg, "ping", "", &pong) && pong
	})
	return p
}

// startCore starts a camphorhead process, or restarts one that has exited.
func (d *deployment) startCore(c *core) {
	id := c.settings.Process.ID
	text, err := toml.Marshal(c.settings)
	require.NoError(d.t, err)
	file := filepath.Join(d.dir, id+".toml")
	require.NoError(d.t, os.WriteFile(file, text, 0o600))
	cmd := exec.Command(binary, "--settings", file)
	// A data race ends the process, so that inspect reports it.
	cmd.Env = append(os.Environ(), "GORACE=halt_on_error=1")
	c.process = startProcess(d.t, d.dir, id, cmd)
}

// awaitReady waits until both entries serve every profile and all jobs, and each target
// has executed a check.
func (d *deployment) awaitReady() {
	for i := range d.entries {
		d.eventually(readyTimeout, fmt.Sprintf("entry-%d serves", i), func() bool { return d.serves(i) })
	}
	d.eventually(readyTimeout, "all targets answer", func() bool {
		for i := range d.entries {
			d.burst(i)
		}
		for _, h := range d.hosts {
			if len(d.executions(h)) == 0 {
				return false
			}
		}
		return true
	})
}

// burstCheckTime is how long a target takes for each check of a burst.
const burstCheckTime = 50 * time.Millisecond

// burst sends more concurrent checks than two targets have slots, so that routing uses
// all of them, and waits for the responses.
func (d *deployment) burst(entry int) {
	var wg sync.WaitGroup
	for range 2*slots + 1 {
		wg.Go(func() { d.check(entry, call{Idempotent: true, Body: bodyWithDuration(burstCheckTime, "burst")}) })
	}
	wg.Wait()
}

// serves reports whether an entry has the last profile in force, responds to lookups, and
// has a leader that has loaded all jobs.
func (d *deployment) serves(entry int) bool {
	probe := d.send(entry, call{Profile: "long-watch"})
	if probe.Response.Kind != "invalid_field" {
		return false
	}
	for i := range unknownJobCount {
		_, status := d.lookup(entry, job.ID("nobody", fmt.Sprint(i)), "f", 0)
		if status != fasthttp.StatusNotFound {
			return false
		}
	}
	var status api.Status
	_, body, err := d.client.GetTimeout(nil, "http://"+d.entries[entry].settings.HTTP.Listen+"/v1/status", exitTimeout)
	return err == nil && json.Unmarshal(body, &status) == nil && status.Serving
}

// unknownJobCount is the number of unknown job ids that serves looks up.
const unknownJobCount = 16

// eventually polls the condition until it holds, and fails the test after bound.
func (d *deployment) eventually(bound time.Duration, what string, condition func() bool) {
	d.t.Helper()
	deadline := time.Now().Add(bound)
	for !condition() {
		if time.Now().After(deadline) {
			require.FailNow(d.t, "condition not met in time", "%s within %s", what, bound)
		}
		time.Sleep(pollInterval)
	}
}

// pollInterval is the pause between two evaluations of a condition.
const pollInterval = 20 * time.Millisecond

// control sends a command to a stand-in and decodes the response into out.
func (d *deployment) control(cfg standinConfig, command, argument string, out any) {
	d.t.Helper()
	require.True(d.t, d.tryControl(cfg, command, argument, out), "%s: %s %s", cfg.Name, command, argument)
}

func (d *deployment) tryControl(cfg standinConfig, command, argument string, out any) bool {
	_, body, err := d.client.GetTimeout(nil, "http://"+cfg.Control+"/"+command+"?argument="+url.QueryEscape(argument), exitTimeout)
	return err == nil && json.Unmarshal(body, out) == nil
}

// setStoreFault sends one of the fault commands of startStore to the store.
func (d *deployment) setStoreFault(command, argument string) {
	d.t.Helper()
	var done bool
	d.control(d.storeConfig, command, argument, &done)
}

func (d *deployment) loseResponses(n int) { d.setStoreFault("lost", strconv.Itoa(n)) }

// linksBetween returns the links of both directions between two processes.
func (d *deployment) linksBetween(a, b string) []*link {
	var links []*link
	for _, key := range []linkKey{{a, b}, {b, a}} {
		if l, ok := d.links[key]; ok {
			links = append(links, l)
		}
	}
	return links
}
