// Package worker is a stand-in of one worker of the platform. It simulates tasks under a
// lease by its own clock, starts them also beyond its capacity, and records every run, so
// that tests can verify the runs.
package worker

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"camphorhead.example/camphorhead/process/lockrank"
	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/request/resources"
	"camphorhead.example/standin"
	"camphorhead.example/standin/internal/deadline"
	"camphorhead.example/standin/internal/gate"
	"camphorhead.example/standin/internal/serve"
)

// DefaultFailAllAfter is the run time of tasks that start while SetFailAll is in effect.
const DefaultFailAllAfter = 20 * time.Millisecond

// Config holds the settings of a worker. Capacity is required.
type Config struct {
	Name      string // calls for another instance than Name are refused
	Address   string // empty means any free port on 127.0.0.1
	Capacity  resources.Resources
	Behaviour BehaviourFunc   // nil means AsDeclared(time.Second)
	Seed      uint64          // determines the random source of Behaviour
	Clock     clockwork.Clock // nil means the real clock
	// ClockOffset and ClockRate make the worker's clock differ from Clock; rate 0 means 1.
	ClockOffset time.Duration
	ClockRate   float64
	// ClockStartMs, unless 0, is what the worker's clock shows at each start of the worker;
	// ClockOffset is unused then.
	ClockStartMs int64
	MaxLease     time.Duration // longer leases are shortened to it; 0 means no limit
	// Need is what a task uses whose start declares nothing, as in the platform's protocol.
	Need             resources.Resources
	AnnounceInterval time.Duration // 0 means DefaultAnnounceInterval
	UsageLag         time.Duration // age of the usage in listings
	FailAllAfter     time.Duration // 0 means DefaultFailAllAfter
	// ConnectionPerCall closes a connection after the response to a call, so that the next call
	// arrives on another one.
	ConnectionPerCall bool
}

// Worker implements platform.Worker and serves it over HTTP, also by the platform's protocol.
type Worker struct {
	config Config
	server *serve.Server
	loop   *deadline.Loop
	pause  *gate.Gate

	faults callFaults
	late   sync.WaitGroup // calls that are executed late
	// announceNow has an element while Announce is to call the registry at once.
	announceNow chan struct{}

	mu         lockrank.Mutex // guards the fields below
	clock      skewedClock
	life       int       // counts the restarts
	upAt       time.Time // until then, the worker restarts and receives no call
	capacity   resources.Resources
	running    map[job.TaskID]*task
	highestRun map[job.TaskID]uint32 // highest run started or stopped
	due        *deadline.Queue[job.RunKey]
	token      int64 // highest received
	startedMs  int64 // start of the worker, unix milliseconds
	// leaseEnd is the end of the lease of all tasks, by Config.Clock.
	leaseEnd      time.Time
	ended         []platform.EndedTask // after the last HoldRequest.Recorded
	lastEnd       uint64               // number of the last end
	lastListedEnd uint64               // number of the last end in a listing
	nextEnd       chan struct{}        // closed at the next end
	records       []*Record
	declared      resources.Resources // sum over running tasks
	real          resources.Resources // sum over running tasks
	overcommits   overcommits
	failAll       bool
	killed        bool
	leavesAt      time.Time // zero: the worker does not drain
	withdrawn     bool      // the worker has left
}

// overcommits counts the starts after which the running tasks exceeded the capacity.
type overcommits struct{ declared, real int }

// New starts a worker; Close or Kill ends it.
func New(config Config) (*Worker, error) {
	config = withDefaults(config)
	w := &Worker{
		config: config, clock: newSkewedClock(config, config.Clock.Now()), pause: gate.New(), capacity: config.Capacity,
		faults: callFaults{mu: lockrank.NewMutex(standin.Rank)},
		mu:     lockrank.NewMutex(standin.Rank), running: make(map[job.TaskID]*task),
		highestRun: make(map[job.TaskID]uint32), due: deadline.NewQueue[job.RunKey](),
		startedMs: config.Clock.Now().UnixMilli(), nextEnd: make(chan struct{}), announceNow: make(chan struct{}, 1),
	}
	server, err := serve.Start(config.Address, 0, w.handle)
	if err != nil {
		return nil, err
	}
	w.server = server
	w.loop = deadline.NewLoop(config.Clock, w.handleDue)
	return w, nil
}

func withDefaults(config Config) Config {
	if config.Clock == nil {
		config.Clock = clockwork.NewRealClock()
	}
	if config.Behaviour == nil {
		config.Behaviour = AsDeclared(time.Second)
	}
	if config.ClockRate == 0 {
		config.ClockRate = 1
	}
	if config.AnnounceInterval == 0 {
		config.AnnounceInterval = DefaultAnnounceInterval
	}
	if config.FailAllAfter == 0 {
		config.FailAllAfter = DefaultFailAllAfter
	}
	return config
}

// Address returns the listener's host:port.
func (w *Worker) Address() string { return w.server.Address() }

// ClockMs returns the time of the worker's own clock in unix milliseconds.
func (w *Worker) ClockMs() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.clock.nowMs()
}

// Token returns the highest fencing token that the worker has received.
func (w *Worker) Token() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.token
}

// Close closes the listener and ends all goroutines. It does not end the running tasks.
func (w *Worker) Close() {
	w.server.Close()
	w.late.Wait()
	w.loop.Close()
}

// Kill ends all tasks without a checkpoint and closes; later calls get ErrUnavailable.
func (w *Worker) Kill() {
	w.kill()
	w.Close()
}

func (w *Worker) kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.applyDue()
	w.killed = true
	w.endAll(now)
}

// Drain announces that the worker drains and leaves after notice. It goes on until Leave.
func (w *Worker) Drain(notice time.Duration) {
	w.mu.Lock()
	w.leavesAt = w.config.Clock.Now().Add(notice)
	w.mu.Unlock()
	w.triggerAnnouncement()
}

// Leave is Kill of a worker that also withdraws its announcements, as one that is taken away.
func (w *Worker) Leave() {
	w.Kill()
	w.mu.Lock()
	w.withdrawn = true
	w.mu.Unlock()
	w.triggerAnnouncement()
}

// triggerAnnouncement makes Announce call the registry at once.
func (w *Worker) triggerAnnouncement() {
	select {
	case w.announceNow <- struct{}{}:
	default: // an earlier call is due
	}
}

// endAll ends all tasks without a checkpoint and forgets all ends. The caller holds the lock.
func (w *Worker) endAll(now time.Time) {
	for _, t := range w.running {
		w.end(t, now, job.EndLeaseExpired, OutcomeKilled, "worker was killed")
	}
	w.ended = nil
}

// Restart ends all tasks without a checkpoint, as a crash does, and starts the worker again
// under its name after downtime: it has received no fencing token, its clock and the numbers of
// its ends begin anew, and it has the given capacity. Calls in progress and those that arrive
// meanwhile have no response. The records remain.
func (w *Worker) Restart(capacity resources.Resources, downtime time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endAll(w.applyDue())
	w.life++
	w.upAt = w.config.Clock.Now().Add(downtime)
	w.clock, w.startedMs = newSkewedClock(w.config, w.upAt), w.upAt.UnixMilli()
	w.capacity, w.token, w.leaseEnd = capacity, 0, time.Time{}
	w.highestRun = make(map[job.TaskID]uint32)
	w.lastEnd, w.lastListedEnd = 0, 0
}

// Pause blocks calls until Resume. Tasks keep running and the lease can expire.
func (w *Worker) Pause() { w.pause.SetClosed(true) }

// Resume unblocks calls; those that waited take effect now.
func (w *Worker) Resume() { w.pause.SetClosed(false) }

// SetFailAll makes every task fail that starts while fail is set, after Config.FailAllAfter.
func (w *Worker) SetFailAll(fail bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failAll = fail
}

func (w *Worker) waitWhilePaused(ctx context.Context) error { return w.pause.Wait(ctx) }

// handleDue implements deadline.Handler.
func (w *Worker) handleDue() (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.applyDue()
	return w.due.Next()
}

// applyDue applies all events of tasks up to now, in the order of their times, and returns
// now. The caller holds the lock.
func (w *Worker) applyDue() time.Time {
	now := w.config.Clock.Now()
	for {
		key, at, ok := w.due.PopDue(now)
		if !ok {
			return now
		}
		w.applyEvent(w.running[key.Task], at)
	}
}

// applyEvent applies what is due for a running task at a time. The caller holds the lock.
func (w *Worker) applyEvent(t *task, at time.Time) {
	t.advance(at)
	switch {
	case !t.leaseEnd.After(at):
		t.saveCheckpoint(at)
		w.end(t, at, job.EndLeaseExpired, OutcomeLeaseExpired, "lease expired")
	case t.isFailing(at):
		w.end(t, at, job.EndFailed, OutcomeFailed, "task failed")
	case t.isComplete():
		t.result = result(t.req)
		w.end(t, at, job.EndDone, OutcomeDone, "")
	default:
		if t.isCheckpointDue(at) {
			t.saveCheckpoint(at)
		}
		w.due.Set(t.key(), t.nextEvent())
	}
}

// end ends a running task and adds its end to the next listings. The caller holds the lock.
func (w *Worker) end(t *task, at time.Time, how job.EndKind, outcome Outcome, message string) {
	t.finish(at, outcome)
	w.declared = w.declared.Sub(t.req.Need)
	w.real = w.real.Sub(t.behaviour.Real)
	w.due.Remove(t.key())
	delete(w.running, t.req.Task)
	w.lastEnd++
	w.ended = append(w.ended, platform.EndedTask{
		RunKey: t.key(), Number: w.lastEnd, How: how, Checkpoint: t.checkpoint, Result: t.result, Message: message,
	})
	close(w.nextEnd)
	w.nextEnd = make(chan struct{})
}
