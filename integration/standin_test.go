package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"

	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/request/resources"
	"camphorhead.example/standin/store"
	"camphorhead.example/standin/target"
	"camphorhead.example/standin/worker"
)

// The environment of a stand-in process.
const (
	standinRoleEnv   = "CAMPHORHEAD_STANDIN"
	standinConfigEnv = "CAMPHORHEAD_STANDIN_CONFIG"

	roleStore = "store"
	roleHost  = "host"
)

// announceInterval is that of the users' workers: for about as long, an agent may not know the
// capacity of a restarted worker.
const announceInterval = 1500 * time.Millisecond

// restartTime is how long a restarted worker is away.
const restartTime = 300 * time.Millisecond

// The arguments that restart a worker with its capacity, or half of it.
const (
	fullCapacity    = "full"
	smallerCapacity = "smaller"
)

// checkpointInterval is the time between two checkpoints of a task at a stand-in worker.
const checkpointInterval = 100 * time.Millisecond

// standinConfig is the JSON in standinConfigEnv. Addresses of listeners of other roles are empty.
type standinConfig struct {
	Name    string
	Control string
	Store   string
	Worker  string
	Target  string
	Agent   string
	// Registry is the address to which the worker announces itself in the platform's
	// protocol; empty: it describes itself in its listings.
	Registry string
	Service  string
	Slots    int
	Seed     uint64
	Capacity resources.Resources
	// Need is what a task uses whose start declares nothing; ClockStartMs and ClockRate belong
	// to the worker's clock.
	Need         resources.Resources
	ClockStartMs int64
	ClockRate    float64
	MaxLease     time.Duration
	// ConnectionPerCall belongs to the calls to the worker.
	ConnectionPerCall bool
}

// workerHistory is the response of a host's control listener to the command worker.
type workerHistory struct {
	Records     []worker.Record
	Overcommits int
}

// commandFunc runs a command of a stand-in and returns the value of the response.
type commandFunc func(argument string) any

// runStandin is the main function of a stand-in. It returns only after an error.
func runStandin(role string) int {
	var cfg standinConfig
	err := json.Unmarshal([]byte(os.Getenv(standinConfigEnv)), &cfg)
	var commands map[string]commandFunc
	if err == nil {
		commands, err = startStandin(role, cfg)
	}
	if err == nil {
		err = fasthttp.ListenAndServe(cfg.Control, func(rc *fasthttp.RequestCtx) { serveControl(rc, commands) })
	}
	fmt.Fprintln(os.Stderr, "stand-in:", err)
	return 1
}

func startStandin(role string, cfg standinConfig) (map[string]commandFunc, error) {
	switch role {
	case roleStore:
		return startStore(cfg)
	case roleHost:
		return startHost(cfg)
	}
	return nil, errs.New("unknown role %q", role)
}

func serveControl(rc *fasthttp.RequestCtx, commands map[string]commandFunc) {
	command, ok := commands[strings.TrimPrefix(string(rc.Path()), "/")]
	if !ok {
		rc.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	body, err := json.Marshal(command(string(rc.QueryArgs().Peek("argument"))))
	if err != nil {
		rc.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	rc.SetBody(body)
}

func startStore(cfg standinConfig) (map[string]commandFunc, error) {
	s, err := store.New(store.Config{Address: cfg.Store})
	if err != nil {
		return nil, err
	}
	return map[string]commandFunc{
		"ping":    func(string) any { return true },
		"down":    func(a string) any { s.SetDown(a == "true"); return true },
		"hang":    func(a string) any { s.SetHang(a == "true"); return true },
		"delay":   func(a string) any { s.SetDelay(time.Duration(parseInt(a)) * time.Millisecond); return true },
		"lost":    func(a string) any { s.SetLostResponses(parseInt(a)); return true },
		"calls":   func(string) any { return s.Calls() },
		"compact": func(string) any { s.Compact(); return true },
	}, nil
}

// startHost runs the worker and the target of one host.
func startHost(cfg standinConfig) (map[string]commandFunc, error) {
	w, err := worker.New(worker.Config{
		Name: cfg.Name, Address: cfg.Worker, Capacity: cfg.Capacity, Seed: cfg.Seed, Behaviour: behaviourFromInput,
		Need: cfg.Need, ClockStartMs: cfg.ClockStartMs, ClockRate: cfg.ClockRate, MaxLease: cfg.MaxLease,
		ConnectionPerCall: cfg.ConnectionPerCall,
		AnnounceInterval:  announceInterval,
	})
	if err != nil {
		return nil, err
	}
	if cfg.Registry != "" {
		go w.Announce(context.Background(), cfg.Registry, cfg.Service)
	}
	t, err := target.New(target.Config{
		Service: cfg.Service, Address: cfg.Target, AgentAddress: cfg.Agent, Slots: cfg.Slots, MaxConnections: 8 * cfg.Slots,
		AnnounceInterval: 100 * time.Millisecond, Seed: cfg.Seed,
		ServiceTime: func(req target.Request, _ *rand.Rand) time.Duration { return durationFromBody(req.Body) },
	})
	if err != nil {
		return nil, err
	}
	return map[string]commandFunc{
		"ping":       func(string) any { return true },
		"worker":     func(string) any { return workerHistory{w.Records(), w.Overcommits()} },
		"executions": func(string) any { return t.Executions() },
		"faults": func(a string) any {
			var f worker.CallFaults
			if json.Unmarshal([]byte(a), &f) != nil {
				return false
			}
			w.SetCallFaults(f)
			return true
		},
		"restart": func(a string) any {
			capacity := cfg.Capacity
			if a == smallerCapacity {
				capacity.MilliCPU, capacity.MemoryMB = capacity.MilliCPU/2, capacity.MemoryMB/2
			}
			w.Restart(capacity, restartTime)
			return true
		},
		"drain": func(a string) any { w.Drain(time.Duration(parseInt(a)) * time.Millisecond); return true },
		"leave": func(string) any {
			t.Close()
			w.Leave()
			return true
		},
		"kill": func(string) any {
			t.Close()
			w.Kill()
			return true
		},
	}, nil
}

func parseInt(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0
	}
	return n
}

// behaviourFromInput gives a task the duration that its input specifies.
func behaviourFromInput(req platform.RunRequest, _ *rand.Rand) worker.TaskBehaviour {
	return worker.TaskBehaviour{Duration: durationFromBody(req.Input), Real: req.Need, CheckpointInterval: checkpointInterval}
}

// bodyWithDuration returns a request body that takes d at its worker or target.
func bodyWithDuration(d time.Duration, suffix string) string {
	return fmt.Sprintf("%d %s", d.Milliseconds(), suffix)
}

// durationFromBody returns the duration in a body of bodyWithDuration.
func durationFromBody(body []byte) time.Duration {
	ms, _, _ := strings.Cut(string(body), " ")
	return time.Duration(parseInt(ms)) * time.Millisecond
}
