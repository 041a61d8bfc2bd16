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
	testReportInterval = 500 * time.Millisecond
	testWorkerLease    = 3 * time.Second
	testGrant          = 4 * time.Second
)

var (
	testCapacity = resources.Resources{MilliCPU: 8000, MemoryMB: 8000}
	testNeed     = resources.Resources{MilliCPU: 1000, MemoryMB: 1000}
)

// callOutcome is the outcome of a call to the fake worker, unless the worker refuses it.
type callOutcome int

const (
	succeeds     callOutcome = iota
	unreachable              // the call does not reach the worker
	executedLate             // no response; executed by runDelayedCalls
	responseLost             // executed, but without a response
	refuses                  // refused with refusal; the worker does nothing
	held                     // in flight until releaseCalls, then executed
	responseHeld             // executed at once; the response is in flight until releaseCalls
)

// fakeWorker is a worker with the test's clock, whose calls fail as outcome specifies.
type fakeWorker struct {
	clock *clockwork.FakeClock

	mu         sync.Mutex // guards the fields below
	startedAt  time.Time
	startedMs  int64 // the wall clock at startedAt
	id         string
	token      int64 // the highest seen
	leaseEnd   time.Time
	maxLease   time.Duration // longer leases are shortened to it; 0: none
	running    map[job.RunKey]platform.RunningTask
	highestRun map[job.TaskID]uint32
	started    int // number of runs
	ended      []platform.EndedTask
	endCount   uint64
	// maxListedEnds is the largest number of ends in a listing; 0: any.
	maxListedEnds int
	delayedCalls  []func()                      // calls with the outcome executedLate
	outcome       func(call string) callOutcome // runs with mu held
	paces         map[job.RunKey]int
	recorded      uint64 // number of the latest end that the agent reported as recorded

	refusal   platform.Refusal
	heldCalls chan struct{} // receives a value when a call is held
	release   chan struct{} // closed by releaseCalls
	releasing sync.Once
}

func newFakeWorker(clock *clockwork.FakeClock) *fakeWorker {
	w := &fakeWorker{clock: clock, id: "i-1", heldCalls: make(chan struct{}, 100), release: make(chan struct{}), outcome: func(string) callOutcome { return succeeds }}
	w.restart()
	return w
}

// restart starts another worker instance, which has no record of the previous one.
func (w *fakeWorker) restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.clock.Advance(time.Millisecond)
	w.startedAt = w.clock.Now()
	w.startedMs = w.startedAt.UnixMilli()
	w.token, w.leaseEnd, w.endCount = 0, time.Time{}, 0
	w.running, w.highestRun = map[job.RunKey]platform.RunningTask{}, map[job.TaskID]uint32{}
	w.ended, w.paces = nil, map[job.RunKey]int{}
}

// clockMs returns the worker's clock, which starts at 1 ms, since 0 is no sample.
func (w *fakeWorker) clockMs() int64 { return w.clock.Now().Sub(w.startedAt).Milliseconds() + 1 }

// expire ends all runs if the lease has expired. The caller holds mu.
func (w *fakeWorker) expire() {
	if w.leaseEnd.IsZero() || w.clock.Now().Before(w.leaseEnd) {
		return
	}
	for key := range w.running {
		w.end(key, job.EndLeaseExpired)
	}
}

// end records the end of a run, if it is running. The caller holds mu.
func (w *fakeWorker) end(key job.RunKey, how job.EndKind) {
	if _, ok := w.running[key]; !ok {
		return
	}
	delete(w.running, key)
	w.endCount++
	w.ended = append(w.ended, platform.EndedTask{RunKey: key, Number: w.endCount, How: how})
}

func (w *fakeWorker) finish(key job.RunKey, how job.EndKind) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.end(key, how)
}

// extend extends the lease to a time of the worker's clock. The caller holds mu.
func (w *fakeWorker) extend(untilMs int64) {
	until := w.startedAt.Add(time.Duration(untilMs) * time.Millisecond)
	if longest := w.clock.Now().Add(w.maxLease); w.maxLease > 0 && until.After(longest) {
		until = longest
	}
	if untilMs > 0 && until.After(w.leaseEnd) {
		w.leaseEnd = until
	}
}

// call executes a call now, later or never, as outcome specifies. The caller holds mu.
func (w *fakeWorker) call(name string, instance string, token int64, do func() error) error {
	if instance != "" && instance != w.id {
		return &platform.RefusalError{Reason: platform.RefusedInstance}
	}
	execute := func() error {
		w.expire()
		if token < w.token {
			return &platform.RefusalError{Reason: platform.RefusedFenced}
		}
		w.token = token
		return do()
	}
	switch w.outcome(name) {
	case unreachable:
		return platform.ErrUnavailable
	case executedLate:
		w.delayedCalls = append(w.delayedCalls, func() { _ = execute() })
		return platform.ErrUncertain
	case responseLost:
		_ = execute()
		return platform.ErrUncertain
	case refuses:
		return &platform.RefusalError{Reason: w.refusal}
	case held:
		w.wait()
	case responseHeld:
		defer w.wait()
	case succeeds:
	}
	return execute()
}

// releaseCalls continues the calls that are held, now and later.
func (w *fakeWorker) releaseCalls() { w.releasing.Do(func() { close(w.release) }) }

// wait waits for releaseCalls, without holding mu meanwhile.
func (w *fakeWorker) wait() {
	w.mu.Unlock()
	defer w.mu.Lock()
	w.heldCalls <- struct{}{}
	<-w.release
}

func (w *fakeWorker) runDelayedCalls() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, do := range w.delayedCalls {
		do()
	}
	w.delayedCalls = nil
}

func (w *fakeWorker) Hold(_ context.Context, r platform.HoldRequest) (platform.Listing, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list platform.Listing
	err := w.call("hold", r.Instance, r.Token, func() error {
		w.extend(r.LeaseUntilMs)
		w.recorded = max(w.recorded, r.Recorded)
		w.ended = slices.DeleteFunc(w.ended, func(e platform.EndedTask) bool { return e.Number <= r.Recorded })
		list = platform.Listing{StartedMs: w.startedMs, ClockMs: w.clockMs(), Ended: slices.Clone(w.ended)}
		if w.maxListedEnds > 0 && len(list.Ended) >= w.maxListedEnds {
			list.Ended, list.MoreEnded = list.Ended[:w.maxListedEnds], true
		}
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
	clockMs := int64(0) // a call that is executed late writes it after the return
	err := w.call("start", r.Instance, r.Token, func() error {
		clockMs = w.clockMs()
		w.extend(r.LeaseUntilMs)
		if _, there := w.running[r.RunKey]; there {
			return nil
		}
		if r.Run <= w.highestRun[r.Task] {
			return &platform.RefusalError{Reason: platform.RefusedOldRun}
		}
		if !w.leaseEnd.After(w.clock.Now()) { // the lease of the worker, which a newer call may have renewed
			return &platform.RefusalError{Reason: platform.RefusedLeaseExpired}
		}
		w.highestRun[r.Task] = r.Run
		w.started++
		w.running[r.RunKey] = platform.RunningTask{RunKey: r.RunKey, Checkpoint: r.Checkpoint}
		return nil
	})
	return clockMs, err
}

func (w *fakeWorker) Stop(_ context.Context, run job.RunKey, token int64, instance string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.call("stop", instance, token, func() error {
		w.highestRun[run.Task] = max(w.highestRun[run.Task], run.Run)
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

// count returns the number of runs that have been started.
func (w *fakeWorker) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.started
}

// setOutcome sets the outcome of calls by name: hold, start, stop or pace.
func (w *fakeWorker) setOutcome(f func(call string) callOutcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.outcome = f
}

func always(o callOutcome) func(string) callOutcome { return func(string) callOutcome { return o } }

// rig is a node with a fake worker and no leader: the test gives orders and extends the grant.
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
	t.Cleanup(r.worker.releaseCalls)
	return r
}

// newNode returns the node of a new agent process, not started, that has received an
// announcement of the worker and polled it once.
func (r *rig) newNode() *Node {
	n := r.newUnannouncedNode()
	r.announce(n, testCapacity, 1)
	n.extendGrant(r.clock.Now().Add(testGrant))
	r.poll(n)
	return n
}

// announce delivers an announcement of the current worker instance.
func (r *rig) announce(n *Node, capacity resources.Resources, sequence uint64) {
	n.Announce(message.WorkerInfo{ID: r.worker.id, StartedMs: r.worker.startedMs, Service: "s", Capacity: capacity}, sequence)
}

// newUnannouncedNode returns a node to which the worker has neither announced itself nor
// responded.
func (r *rig) newUnannouncedNode() *Node {
	p := pool.New(4, 64)
	r.t.Cleanup(p.Close)
	l := ledger.New(ledger.Config{Clock: r.clock})
	n := New(Config{
		ID: "agent", Address: func() string { return "127.0.0.1:1" }, Clock: r.clock, Worker: r.worker, Ledger: l, Pool: p,
		Metrics: metrics.New(), ConfigVersion: func() uint64 { return 0 },
		Timing: Timing{ReportInterval: testReportInterval, WorkerLease: testWorkerLease, ReportTimeout: time.Second, CallTimeout: time.Second, WorkerCallTimeout: time.Second},
	})
	r.t.Cleanup(n.calls.Close)
	return n
}

func (r *rig) poll(n *Node) bool { return n.poll(r.t.Context(), r.clock.Now()) }

func runKey(id string, number uint32) job.RunKey {
	return job.RunKey{Task: job.TaskID{Job: id}, Run: number}
}

func (r *rig) orderStarts(n *Node, keys ...job.RunKey) { n.applyOrdersUnchecked(ordersFor(keys...)) }

func ordersFor(keys ...job.RunKey) *message.Orders {
	o := message.Orders{}
	for _, k := range keys {
		o.Inputs = append(o.Inputs, message.JobInput{Job: k.Task.Job, Input: []byte("input")})
		o.Starts = append(o.Starts, message.StartRun{Key: k, Need: testNeed, Charge: testNeed})
	}
	return &o
}

// eventually waits up to 5 s for a condition. It advances the clock to end the retry delays of
// worker calls, which run on other goroutines.
func (r *rig) eventually(what string, condition func() bool) {
	r.t.Helper()
	deadline := time.Now().Add(5 * time.Second)
	for !condition() {
		require.True(r.t, time.Now().Before(deadline), what)
		r.clock.Advance(startRetryDelay)
		time.Sleep(time.Millisecond)
	}
}

func fullReport(n *Node) message.Report {
	r := message.Report{Full: true}
	n.fillReport(&r, 0)
	return r
}

func (n *Node) hasRun(key job.RunKey) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.runs[key] != nil
}

func (n *Node) isConfirmed(key job.RunKey) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.runs[key] != nil && !n.runs[key].confirmedAt.IsZero()
}

// applyOrdersUnchecked executes orders of any session.
func (n *Node) applyOrdersUnchecked(o *message.Orders) { n.sendCalls(n.admitOrders(o, time.Time{})) }
