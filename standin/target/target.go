// Package target is a stand-in of one service instance. It executes requests in a fixed
// number of slots, records every execution and announces itself to the agent beside it.
package target

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/zeebo/errs"

	"camphorhead.example/camphorhead/process/lockrank"
	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/standin"
	"camphorhead.example/standin/internal/seeded"
	"camphorhead.example/standin/internal/serve"
)

const (
	DefaultAnnounceInterval = time.Second
	// DefaultServiceTime is the service time of all requests without a Config.ServiceTime.
	DefaultServiceTime = 5 * time.Millisecond
)

// Request is one call to the service.
type Request struct {
	ID, Franchisee, Profile string
	Body                    []byte
}

// Response is the response to one completed request.
type Response struct {
	RequestID  string `json:"request_id"`
	Franchisee string `json:"franchisee"`
	Digest     string `json:"digest"` // SHA-256 of the body, in hex
	Service    string `json:"service"`
}

// Execution is one execution of a request. End is zero until it is complete; it stays zero
// if the execution was aborted.
type Execution struct {
	Franchisee, Profile string
	Start, End          time.Time
}

// Config holds the settings of a target. Service, Slots and MaxConnections are required.
type Config struct {
	Service          string
	Address          string // empty means any free port on 127.0.0.1
	AgentAddress     string // host:port of the agent; empty means no announcements
	Slots            int
	MaxConnections   int
	AnnounceInterval time.Duration // 0 means DefaultAnnounceInterval
	// ServiceTime is called from any goroutine under no lock; nil means DefaultServiceTime.
	// The random source depends only on Seed and the request ID, so targets need different
	// seeds to differ.
	ServiceTime func(req Request, rng *rand.Rand) time.Duration
	// Interference returns the factor on the service time of a request that starts now. It
	// is called from any goroutine under no lock; nil means 1.
	Interference func() float64
	Seed         uint64
	Clock        clockwork.Clock // nil means the real clock
}

// Target is a running service instance. All methods may be called from any goroutine.
type Target struct {
	config    Config
	server    *serve.Server
	slots     chan struct{}
	announcer *announcer

	mu         lockrank.Mutex         // guards the fields below
	executions map[string][]Execution // by request ID
	calls      int                    // in progress, queued ones included
}

// New starts a target and its announcements; Close ends both.
func New(config Config) (*Target, error) {
	if config.Slots < 1 || config.MaxConnections < 1 {
		return nil, errs.New("target: Slots and MaxConnections must be at least 1")
	}
	config = withDefaults(config)
	t := &Target{
		config: config, slots: make(chan struct{}, config.Slots),
		mu: lockrank.NewMutex(standin.Rank), executions: make(map[string][]Execution),
	}
	server, err := serve.Start(config.Address, config.MaxConnections, t.handle)
	if err != nil {
		return nil, err
	}
	t.server = server
	t.announcer = newAnnouncer(config, server.Address())
	return t, nil
}

func withDefaults(config Config) Config {
	if config.Clock == nil {
		config.Clock = clockwork.NewRealClock()
	}
	if config.AnnounceInterval <= 0 {
		config.AnnounceInterval = DefaultAnnounceInterval
	}
	if config.ServiceTime == nil {
		config.ServiceTime = func(Request, *rand.Rand) time.Duration { return DefaultServiceTime }
	}
	if config.Interference == nil {
		config.Interference = func() float64 { return 1 }
	}
	return config
}

// Address returns the listener's host:port.
func (t *Target) Address() string { return t.server.Address() }

// Close ends the target without a withdrawal, like a crash.
func (t *Target) Close() {
	t.announcer.close()
	t.server.Close()
}

// Leave stops the announcements and withdraws the target from its agent. Requests are
// served until Close.
func (t *Target) Leave(ctx context.Context) error {
	t.announcer.close()
	return t.announcer.withdraw(ctx)
}

// Run executes one request after waiting for a slot. It fails with platform.ErrUnavailable
// if MaxConnections calls are in progress, and with platform.ErrUncertain if ctx ends.
func (t *Target) Run(ctx context.Context, req Request) (Response, error) {
	if req.ID == "" {
		return Response{}, errs.New("target: request without an ID")
	}
	if err := t.admit(); err != nil {
		return Response{}, err
	}
	defer t.release()
	select {
	case t.slots <- struct{}{}:
		defer func() { <-t.slots }()
	case <-ctx.Done():
		return Response{}, errs.Combine(platform.ErrUncertain, ctx.Err())
	}
	return t.execute(ctx, req)
}

func (t *Target) execute(ctx context.Context, req Request) (Response, error) {
	duration := t.serviceTime(req)
	attempt := t.begin(req)
	timer := t.config.Clock.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.Chan():
	case <-ctx.Done():
		return Response{}, errs.Combine(platform.ErrUncertain, ctx.Err())
	}
	t.finish(req.ID, attempt)
	sum := sha256.Sum256(req.Body)
	return Response{req.ID, req.Franchisee, hex.EncodeToString(sum[:]), t.config.Service}, nil
}

func (t *Target) serviceTime(req Request) time.Duration {
	rng := seeded.Rand(t.config.Seed, req.ID)
	return time.Duration(float64(t.config.ServiceTime(req, rng)) * t.config.Interference())
}

func (t *Target) admit() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.calls >= t.config.MaxConnections {
		return platform.ErrUnavailable
	}
	t.calls++
	return nil
}

func (t *Target) release() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls--
}

// begin records the start of an execution and returns its index in executions.
func (t *Target) begin(req Request) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	attempt := len(t.executions[req.ID])
	t.executions[req.ID] = append(t.executions[req.ID], Execution{
		Franchisee: req.Franchisee, Profile: req.Profile, Start: t.config.Clock.Now(),
	})
	return attempt
}

func (t *Target) finish(id string, attempt int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.executions[id][attempt].End = t.config.Clock.Now()
}

// InProgress returns the number of calls in progress, queued ones included.
func (t *Target) InProgress() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.calls
}

// Executions returns a copy of all executions by request ID.
func (t *Target) Executions() map[string][]Execution {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := maps.Clone(t.executions)
	for id, executions := range all {
		all[id] = slices.Clone(executions)
	}
	return all
}
