package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	workerCPU   = 64_000
	workerMemMB = 250_000

	routeHost   = "lab.example"
	routePrefix = "/queue/"
	service     = "shade-lab"
)

// bounds are those of sites/lcf-sched.toml that the settings templates use.
var bounds = map[string]string{"bounds.harm_ms": "4000", "bounds.hold_max_ms": "6000"}

// record collects what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	start time.Time
	out   *os.File
}

func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// machine is one process of the system.
type machine struct {
	name, ip, zone, role string
	cmd                  *exec.Cmd
}

func (m *machine) signal(s syscall.Signal) {
	if m.cmd != nil && m.cmd.Process != nil {
		_ = m.cmd.Process.Signal(s)
	}
}

// deployment is a small deployment: three entries, and agents with a worker each.
type deployment struct {
	rec     *record
	dir     string // temporary folder of settings and logs
	root    string // of the repository
	port    int    // first of the ports that each machine uses
	store   *kvStore
	fronts  []*machine
	sides   []*machine
	workers []*worker
	proxies map[string]*proxy // by entry
	stop    chan struct{}
}

// Ports of a machine, from deployment.port.
const (
	portFrames = iota
	portHTTP
	portFront
	portReady
	portControl
	portApp
	portProxy
	portsPerMachine
)

func (d *deployment) addr(m *machine, port int) string {
	return fmt.Sprintf("%s:%d", m.ip, d.port+port)
}

func newDeployment(rec *record, root string, workerCount int, workMs func(task string) int) (*deployment, error) {
	dir, err := os.MkdirTemp("", "camphorhead-review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, dir: dir, root: root, store: newStore(), proxies: map[string]*proxy{}, stop: make(chan struct{})}
	if d.port, err = freePorts(); err != nil {
		return nil, err
	}
	zones := []string{"ariana", "ben-arous", "manouba"}
	for i, zone := range zones {
		d.fronts = append(d.fronts, &machine{name: fmt.Sprintf("front-%s-%d", zone, i+1), ip: fmt.Sprintf("127.77.1.%d", i+1), zone: zone, role: "entry"})
	}
	for i := range workerCount {
		zone := zones[i%len(zones)]
		d.sides = append(d.sides, &machine{name: fmt.Sprintf("side-%s-%d", zone, i+1), ip: fmt.Sprintf("127.77.2.%d", i+1), zone: zone, role: "agent"})
	}
	manifest, _ := json.Marshal(map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "r-checks", "host": routeHost, "prefix": routePrefix, "service": service, "timeout_ms": 3000,
			"target_latency_ms": 600, "priority": 0, "max_attempts": 4, "stretch": 1.5,
		}},
		"services": []any{map[string]any{"name": service, "rejects_overload": false}},
		"limits":   map[string]any{"body_bytes": 262144},
	})
	d.store.put("op/config", manifest)
	if err := serveHTTP(fmt.Sprintf("127.77.0.1:%d", d.port), d.store); err != nil {
		return nil, err
	}
	names := []string{}
	for _, m := range append(append([]*machine{}, d.fronts...), d.sides...) {
		names = append(names, m.name)
	}
	for _, m := range d.fronts {
		if d.proxies[m.name], err = newProxy(d.addr(m, portProxy), d.addr(m, portFrames), names); err != nil {
			return nil, err
		}
	}
	for i, m := range d.sides {
		w := newWorker(fmt.Sprintf("i-%08d", i+1), service, d.addr(m, portApp), m.zone, d.addr(m, portControl), rec, workMs)
		d.workers = append(d.workers, w)
		if err := serveHTTP(w.addr, w); err != nil {
			return nil, err
		}
	}
	for _, m := range append(append([]*machine{}, d.fronts...), d.sides...) {
		if err := d.startProcess(m); err != nil {
			return nil, err
		}
	}
	for _, w := range d.workers {
		go w.announce(d.stop)
	}
	return d, nil
}

// freePorts returns the first of a few ports that are free on all addresses.
func freePorts() (int, error) {
	for try := 0; try < 50; try++ {
		first := 21000 + (os.Getpid()*7+try*331)%9000
		free := true
		for i := range portsPerMachine {
			l, err := net.Listen("tcp", fmt.Sprintf(":%d", first+i))
			if err != nil {
				free = false
				break
			}
			l.Close()
		}
		if free {
			return first, nil
		}
	}
	return 0, errors.New("no free ports")
}

func serveHTTP(addr string, h http.Handler) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(l, h) }()
	return nil
}

var section = regexp.MustCompile(`(?s)\{\{#([a-z_.]+)\}\}\n?(.*?)\{\{/[a-z_.]+\}\}\n?`)

// startProcess renders the settings of a machine as the platform does and starts its process
// with the command of the deploy file.
func (d *deployment) startProcess(m *machine) error {
	path := filepath.Join(d.dir, m.name+".toml")
	if _, err := os.Stat(path); err != nil {
		template, err := os.ReadFile(filepath.Join(d.root, "deploy", m.role+".toml"))
		if err != nil {
			return err
		}
		values := map[string]string{
			"node_name": m.name, "region": "tunis-north", "zone": m.zone, "ip": m.ip,
			"internal_ports.0": fmt.Sprint(d.port + portFrames), "internal_ports.1": fmt.Sprint(d.port + portHTTP),
			"listen.front": d.addr(m, portFront), "listen.ready": d.addr(m, portReady), "listen.control": d.addr(m, portControl),
			"platform.addr": fmt.Sprintf("127.77.0.1:%d", d.port), "advice": "", "limits.memory_mb": "284",
			"app": d.addr(m, portApp), "service": service,
		}
		for k, v := range bounds {
			values[k] = v
		}
		text := section.ReplaceAllString(string(template), "$2")
		for k, v := range values {
			text = strings.ReplaceAll(text, "{{"+k+"}}", v)
		}
		if m.role == "entry" {
			// Other machines reach the entry through the proxy that cuts it off.
			text = strings.Replace(text, "[process]\n", "[process]\nadvertise = \""+d.addr(m, portProxy)+"\"\n", 1)
		}
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			return err
		}
	}
	out, err := os.OpenFile(filepath.Join(d.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	m.cmd = exec.Command(filepath.Join(d.root, "target", "camphorhead"), "--grace", "5s")
	m.cmd.Dir, m.cmd.Stdout, m.cmd.Stderr = d.root, out, out
	m.cmd.Env = append(os.Environ(), "CAMPHORHEAD_NODE_FILE="+path)
	return m.cmd.Start()
}

// close ends all processes that the deployment started.
func (d *deployment) close() {
	close(d.stop)
	for _, m := range append(append([]*machine{}, d.fronts...), d.sides...) {
		if m.cmd != nil && m.cmd.Process != nil {
			_ = m.cmd.Process.Kill()
			_ = m.cmd.Wait()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("kept:", d.dir)
	}
}

// leader returns the entry that has begun the newest term, and the other entries.
func (d *deployment) leader() (leader *machine, others []*machine) {
	value := string(d.store.get("leader/term"))
	for _, m := range d.fronts {
		if strings.Contains(value, m.name) {
			leader = m
		} else {
			others = append(others, m)
		}
	}
	return leader, others
}

// client is one caller with one open channel to an entry.
type client struct {
	rec  *record
	name string
	base string
	http *http.Client
}

func (d *deployment) client(name string, m *machine) *client {
	return &client{rec: d.rec, name: name, base: "http://" + d.addr(m, portFront), http: &http.Client{
		Timeout: 4 * time.Second, Transport: &http.Transport{MaxConnsPerHost: 1, IdleConnTimeout: time.Minute},
	}}
}

// call sends a request and returns the status, 0 without an answer, and the body.
func (c *client) call(method, path, body string) (status int, answer string) {
	req, _ := http.NewRequest(method, c.base+routePrefix+path, strings.NewReader(body))
	req.Host = routeHost
	req.Header.Set("Camphorhead-Request-Deadline", "3000")
	if body != "" {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		c.rec.log("client %s: %s %s: no answer: %v", c.name, method, path, err)
		return 0, ""
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	c.rec.log("client %s: %s %s%s: %d %s", c.name, method, routePrefix, path, resp.StatusCode, strings.TrimSpace(string(text)))
	return resp.StatusCode, string(text)
}

func (c *client) waiting() int {
	status, body := c.call("GET", "", "")
	var answer struct {
		Waiting *int `json:"waiting"`
	}
	if status != 200 || json.Unmarshal([]byte(body), &answer) != nil || answer.Waiting == nil {
		return -1
	}
	return *answer.Waiting
}

func (c *client) state(id string) string {
	status, body := c.call("GET", id, "")
	var answer struct {
		State string `json:"state"`
	}
	if status != 200 || json.Unmarshal([]byte(body), &answer) != nil {
		return fmt.Sprint(status)
	}
	return answer.State
}

// until waits for a condition and reports whether it came true in time.
func until(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

// lead waits until an entry leads, jobs are accepted and all agents have joined.
func (d *deployment) lead() (leader *machine, err error) {
	if !until(20*time.Second, func() bool { leader, _ = d.leader(); return leader != nil }) {
		return nil, errors.New("no entry leads")
	}
	c := d.client("probe", leader)
	if !until(20*time.Second, func() bool {
		status, _ := c.call("POST", probeJob, `{"task_spec":"probe","steps":[{"count":1,"cpu":10,"mem_mb":10,"estimate_ms":100,"long_running":true}]}`)
		return status == 200
	}) {
		return nil, errors.New("no job is accepted")
	}
	if !until(20*time.Second, func() bool { return d.running(probeJob) == 1 }) {
		return nil, errors.New("the first job does not run")
	}
	time.Sleep(3 * time.Second) // for the other agents
	c.call("DELETE", probeJob, "")
	if !until(10*time.Second, func() bool { return d.running(probeJob) == 0 }) {
		return nil, errors.New("the first job is not stopped")
	}
	if now, _ := d.leader(); now != leader {
		return nil, errors.New("another entry leads now")
	}
	return leader, nil
}

// probeJob is the job that shows that the deployment works.
const probeJob = "00f0000000000000"
