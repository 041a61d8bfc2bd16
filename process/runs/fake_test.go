package runs

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/process/ledger"
	"camphorhead.example/camphorhead/process/metrics"
	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/process/pool"
	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/request/resources"
)

const (
	testHeartbeat   = 500 * time.Millisecond
	testWorkerLease = 3 * time.Second
	testGrant       = 4 * time.Second
)

var (
	testCapacity = resources.Resources{MilliCPU: 8000, MemoryMB: 8000}
	testNeed     = resources.Resources{MilliCPU: 1000, MemoryMB: 1000}
)

// answerTo says what becomes of one call to the fake worker.
type answerTo int

const (
	answered answerTo = iota
	notSent           // the worker cannot be reached
	late              // no answer; carried out when the test says so
	unheard           // carried out, no answer
)

// fakeWorker is a worker whose clock is the test's and whose calls fail on demand.
type fakeWorker struct {
	clock *clockwork.FakeClock

	mu      sync.Mutex
	born    time.Time
	id      string
	token   int64
	until   time.Time
	running map[job.RunKey]platform.RunningTask
	highest map[job.TaskID]uint32
	ended   []platform.EndedTask
	count   uint64
	delayed []func()
	answer  func(call string) answerTo
	paces   map[job.RunKey]int
	seen    uint64
}

func newFakeWorker(clock *clockwork.FakeClock) *fakeWorker {
	w := &fakeWorker{clock: clock, id: "i-1", answer: func(string) answerTo { return answered }}
	w.reborn()
	return w
}

// reborn starts another life, which knows nothing of the one before.
func (w *fakeWorker) reborn() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.clock.Advance(time.Millisecond)
	w.born = w.clock.Now()
	w.token, w.until, w.count = 0, time.Time{}, 0
	w.running, w.highest = map[job.RunKey]platform.RunningTask{}, map[job.TaskID]uint32{}
	w.ended, w.paces = nil, map[job.RunKey]int{}
}

func (w *fakeWorker) clockMs() int64 { return w.clock.Now().Sub(w.born).Milliseconds() + 1 }

// expire ends what runs when the lease is over. The caller holds mu.
func (w *fakeWorker) expire() {
	if w.until.IsZero() || w.clock.Now().Before(w.until) {
		return
	}
	for key := range w.running {
		w.end(key, job.EndLapsed)
	}
}

func (w *fakeWorker) end(key job.RunKey, how job.EndKind) {
	if _, ok := w.running[key]; !ok {
		return
	}
	delete(w.running, key)
	w.count++
	w.ended = append(w.ended, platform.EndedTask{RunKey: key, Number: w.count, How: how})
}

// finish ends a run by itself.
func (w *fakeWorker) finish(key job.RunKey, how job.EndKind) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.end(key, how)
}

func (w *fakeWorker) extend(untilMs int64) {
	if until := w.born.Add(time.Duration(untilMs) * time.Millisecond); untilMs > 0 && until.After(w.until) {
		w.until = until
	}
}

// call carries a call out, now, later or never. The caller holds mu.
func (w *fakeWorker) call(name string, instance string, token int64, do func() error) error {
	if instance != "" && instance != w.id {
		return &platform.RefusalError{Reason: platform.RefusedOther}
	}
	carryOut := func() error {
		w.expire()
		if token < w.token {
			return &platform.RefusalError{Reason: platform.RefusedFenced}
		}
		w.token = token
		return do()
	}
	switch w.answer(name) {
	case notSent:
		return platform.ErrUnavailable
	case late:
		w.delayed = append(w.delayed, func() { _ = carryOut() })
		return platform.ErrUncertain
	case unheard:
		_ = carryOut()
		return platform.ErrUncertain
	case answered:
	}
	return carryOut()
}

// carryOutLate carries out what was delayed.
func (w *fakeWorker) carryOutLate() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, do := range w.delayed {
		do()
	}
	w.delayed = nil
}

func (w *fakeWorker) Hold(_ context.Context, r platform.HoldRequest) (platform.Listing, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list platform.Listing
	err := w.call("hold", r.Instance, r.Token, func() error {
		w.extend(r.LeaseUntilMs)
		w.seen = max(w.seen, r.Recorded)
		w.ended = slices.DeleteFunc(w.ended, func(e platform.EndedTask) bool { return e.Number <= r.Recorded })
		list = platform.Listing{BornMs: w.born.UnixMilli(), ClockMs: w.clockMs(), Ended: slices.Clone(w.ended)}
		for _, t := range w.running {
			list.Running = append(list.Running, t)
		}
		return nil
	})
	return list, err
}

func (w *fakeWorker) Start(_ context.Context, r platform.RunRequest) (int64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	err := w.call("start", r.Instance, r.Token, func() error {
		w.extend(r.LeaseUntilMs)
		if _, there := w.running[r.RunKey]; there {
			return nil
		}
		if r.Run <= w.highest[r.Task] {
			return &platform.RefusalError{Reason: platform.RefusedOld}
		}
		if r.LeaseUntilMs <= w.clockMs() {
			return &platform.RefusalError{Reason: platform.RefusedLate}
		}
		w.highest[r.Task] = r.Run
		w.running[r.RunKey] = platform.RunningTask{RunKey: r.RunKey, Checkpoint: r.Checkpoint}
		return nil
	})
	return w.clockMs(), err
}

func (w *fakeWorker) Stop(_ context.Context, run job.RunKey, token int64, instance string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.call("stop", instance, token, func() error {
		w.highest[run.Task] = max(w.highest[run.Task], run.Run)
		w.end(run, job.EndStopped)
		return nil
	})
}

func (w *fakeWorker) Throttle(_ context.Context, run job.RunKey, percent int, token int64, instance string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.call("pace", instance, token, func() error {
		w.paces[run] = percent
		return nil
	})
}

func (w *fakeWorker) has(key job.RunKey) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expire()
	_, ok := w.running[key]
	return ok
}

func (w *fakeWorker) setAnswer(f func(call string) answerTo) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answer = f
}

func always(a answerTo) func(string) answerTo { return func(string) answerTo { return a } }

// rig is a node with a fake worker and no leader: a test gives orders and
// grants itself.
type rig struct {
	t      *testing.T
	clock  *clockwork.FakeClock
	worker *fakeWorker
	node   *Node
}

func newRig(t *testing.T) *rig {
	t.Helper()
	clock := clockwork.NewFakeClock()
	r := &rig{t: t, clock: clock, worker: newFakeWorker(clock)}
	r.node = r.newNode()
	return r
}

// newNode returns a node that has looked at its worker once, as a new process.
func (r *rig) newNode() *Node {
	p := pool.New(4, 64)
	r.t.Cleanup(p.Close)
	l := ledger.New(ledger.Config{Clock: r.clock})
	l.Open(testCapacity, nil)
	n := New(Config{
		ID: "agent", Address: func() string { return "127.0.0.1:1" }, Clock: r.clock, Worker: r.worker, Ledger: l, Pool: p,
		Metrics: metrics.New(), ConfigVersion: func() uint64 { return 0 },
		Timing: Timing{Heartbeat: testHeartbeat, WorkerLease: testWorkerLease, Report: time.Second, Call: time.Second, WorkerCall: time.Second},
	})
	r.t.Cleanup(n.calls.Close)
	n.Announce(message.WorkerInfo{ID: r.worker.id, BornMs: r.worker.born.UnixMilli(), Service: "s", Capacity: testCapacity}, 1)
	n.grant(r.clock.Now().Add(testGrant))
	r.look(n)
	return n
}

func (r *rig) look(n *Node) bool { return n.look(r.t.Context(), r.clock.Now()) }

func runKey(id string, number uint32) job.RunKey {
	return job.RunKey{Task: job.TaskID{Job: id}, Run: number}
}

func (r *rig) order(n *Node, keys ...job.RunKey) {
	o := message.Orders{}
	for _, k := range keys {
		o.Inputs = append(o.Inputs, message.JobInput{Job: k.Task.Job, Input: []byte("input")})
		o.Starts = append(o.Starts, message.StartRun{Key: k, Need: testNeed, Charge: testNeed})
	}
	n.orders(&o)
}

// eventually waits until a condition holds; the calls to the worker run on
// goroutines of their own, whose pauses the test's clock ends.
func (r *rig) eventually(what string, condition func() bool) {
	r.t.Helper()
	deadline := time.Now().Add(5 * time.Second)
	for !condition() {
		require.True(r.t, time.Now().Before(deadline), what)
		r.clock.Advance(startPause)
		time.Sleep(time.Millisecond)
	}
}

func full(n *Node) message.Report {
	r := message.Report{Full: true}
	n.fill(&r, 0)
	return r
}

func (n *Node) holds(key job.RunKey) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.runs[key] != nil
}

func (n *Node) confirmed(key job.RunKey) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.runs[key] != nil && !n.runs[key].confirmed.IsZero()
}

// orders carries out orders whatever their session.
func (n *Node) orders(o *message.Orders) { n.carryOut(n.admitOrders(o)) }
