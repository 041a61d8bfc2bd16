package schedule

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/request/interference"
	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/request/resources"
	"camphorhead.example/camphorhead/version/profile"
)

// Settings of the table and names of the service and the profiles in tests.
const (
	testLease              = 4 * time.Second
	testMaxWorkerLease     = 6 * time.Second
	testLateCallWindow     = 13 * time.Second
	testReportInterval     = 500 * time.Millisecond
	testNeverFitsDelay     = 30 * time.Second
	testCheckpointInterval = 20 * time.Second
	testService            = "shade-lab"
	checkProfile           = "check"
	proofProfile           = "proof"
)

var testCapacity = resources.Resources{MilliCPU: 64_000, MemoryMB: 256_000}

func testProfile(name string) (profile.Profile, bool) {
	switch name {
	case checkProfile:
		return profile.Profile{Name: name, Service: testService, MaxAttempts: 3, ObjectiveMs: 600, ObjectiveStretch: 1.5}, true
	case proofProfile:
		return profile.Profile{Name: name, Service: testService, Priority: 2, MaxAttempts: 2, ObjectiveMs: 1000, ObjectiveStretch: 2}, true
	}
	return profile.Profile{}, false
}

// testbench is a table with a fake clock. Tests send the reports of the agents.
type testbench struct {
	t         *testing.T
	clock     *clockwork.FakeClock
	table     *Table
	sequences map[string]uint64 // latest report sequence by agent
}

func newTestbench(t *testing.T, term uint64) *testbench {
	t.Helper()
	clock := clockwork.NewFakeClock()
	return &testbench{t: t, clock: clock, table: newTable(clock, term), sequences: map[string]uint64{}}
}

func newTable(clock clockwork.Clock, term uint64) *Table {
	return New(Config{
		Clock: clock, Term: term, Lease: testLease, MaxWorkerLease: testMaxWorkerLease, LateCallWindow: testLateCallWindow, ReportInterval: testReportInterval, Retention: time.Minute,
		NeverFitsDelay: testNeverFitsDelay, CheckpointInterval: testCheckpointInterval, Profile: testProfile,
		Guard: interference.Guard{MaxOver: 4 * time.Second},
	})
}

func (b *testbench) now() time.Time { return b.clock.Now() }

// tick confirms the term as the newest one and ticks the table.
func (b *testbench) tick() {
	b.table.ConfirmTerm(b.now(), ConfirmedByStore)
	b.table.Tick(b.now())
}

// join attaches an agent whose worker has no runs.
func (b *testbench) join(agent string) {
	b.t.Helper()
	b.report(agent, message.Report{Session: 1, Full: true, Worker: workerInfo(agent)})
	b.register()
}

func workerInfo(agent string) *message.WorkerInfo {
	return &message.WorkerInfo{
		ID: "i-" + agent, StartedMs: 1, Service: testService, Capacity: testCapacity, Rack: "r1", Reachable: true,
	}
}

func (b *testbench) register() {
	agents, _ := b.table.TakeAgentLeases(b.now(), true)
	b.table.SetRegistered(agents)
}

func (b *testbench) report(agent string, r message.Report) message.ReportReply {
	b.sequences[agent]++
	r.Agent, r.Sequence = agent, b.sequences[agent]
	if r.Session == 0 {
		r.Session = 1
	}
	return b.table.ApplyReport(b.now(), &r)
}

// definition returns a job of one step with count tasks.
func definition(id, name string, count int) *job.Definition {
	return &job.Definition{ID: id, Profile: name, Steps: []job.Step{{
		Count: count, Need: resources.Resources{MilliCPU: 1000, MemoryMB: 1000}, EstimateMs: 800,
	}}}
}

func (b *testbench) accept(def *job.Definition) {
	b.t.Helper()
	require.True(b.t, b.table.Accept(b.now(), def, b.table.cfg.Term, false))
}

// starts dispatches and returns the agents of the ordered starts.
func (b *testbench) starts() map[job.RunKey]string {
	found := map[job.RunKey]string{}
	for _, o := range b.table.Dispatch(b.now()) {
		for _, s := range o.Orders.Starts {
			found[s.Key] = o.Agent
		}
	}
	return found
}

func (b *testbench) orders(agent string) message.Orders {
	for _, o := range b.table.Dispatch(b.now()) {
		if o.Agent == agent {
			return o.Orders
		}
	}
	return message.Orders{}
}

// commit makes all changes durable.
func (b *testbench) commit() {
	b.table.MarkCommitted(b.table.TakeRecords(1000))
}

func (b *testbench) state(id string) job.State {
	state, known := b.table.State(id)
	require.True(b.t, known)
	return state
}

func key(id string, step, index int, run uint32) job.RunKey {
	return job.RunKey{Task: job.TaskID{Job: id, Step: step, Index: index}, Run: run}
}

func runEnd(k job.RunKey, how job.EndKind, serial uint64) message.RunEnd {
	return message.RunEnd{Key: k, How: how, Serial: serial}
}

func onlyEntry[K comparable, V any](t *testing.T, m map[K]V) (K, V) {
	t.Helper()
	require.Len(t, m, 1)
	for k, v := range m {
		return k, v
	}
	panic("not reached")
}

func agentNames(n int) []string {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("agent-%d", i))
	}
	return names
}

// Guards against a job that is reported as done, or an end that is acknowledged, before
// the end is durable.
func TestEndsCountOnceDurable(t *testing.T) {
	b := newTestbench(t, 1)
	b.join("a")
	b.accept(definition("j", checkProfile, 1))
	k, _ := onlyEntry(t, b.starts())
	require.Equal(t, uint32(1), k.Run)
	require.Equal(t, job.Running, b.state("j"))
	reply := b.report("a", message.Report{Ends: []message.RunEnd{runEnd(k, job.EndDone, 1)}})
	require.Zero(t, reply.Recorded)
	require.Equal(t, job.Running, b.state("j"))
	b.commit()
	require.Equal(t, job.Done, b.state("j"))
	require.Equal(t, uint64(1), b.report("a", message.Report{}).Recorded)
}

// Guards against a step that starts before the steps on which it depends are done.
func TestStepsWaitForEarlierOnes(t *testing.T) {
	b := newTestbench(t, 1)
	b.join("a")
	def := definition("j", checkProfile, 2)
	def.Steps = append(def.Steps, def.Steps[0])
	def.Steps[1].After = []int{0}
	b.accept(def)
	first := b.starts()
	require.Len(t, first, 2)
	b.report("a", message.Report{Ends: []message.RunEnd{runEnd(key("j", 0, 0, 1), job.EndDone, 1)}})
	require.Empty(t, b.starts())
	b.report("a", message.Report{Ends: []message.RunEnd{runEnd(key("j", 0, 1, 1), job.EndDone, 2)}})
	for k := range b.starts() {
		require.Equal(t, 1, k.Task.Step)
	}
}

// Guards against a task that the leader of an old term starts again although its agent,
// which has stopped reporting here, follows the leader of a newer term, where the task
// has ended.
func TestSessionExpiryWaitsForConfirmedTerm(t *testing.T) {
	b := newTestbench(t, 1)
	_, _, other := b.startOne()
	confirmed := b.now()
	b.clock.Advance(3 * testLease)
	b.report(other, message.Report{})
	b.table.ConfirmTerm(confirmed, ConfirmedByFollowers)
	b.table.Tick(b.now())
	require.Empty(t, b.starts())
	require.True(t, b.table.NeedsTermConfirmation())
	b.tick()
	require.False(t, b.table.NeedsTermConfirmation())
	_, at := onlyEntry(t, b.starts())
	require.Equal(t, other, at)
}

// Guards against a task that is started elsewhere while an unreachable agent may still run it.
func TestSessionExpiryWaitsForLease(t *testing.T) {
	b := newTestbench(t, 1)
	k, agent, other := b.startOne()
	b.clock.Advance(testMaxWorkerLease) // their workers have not restarted
	b.confirm(agent, k)
	until := b.now().Add(testLease)
	for b.now().Before(until) {
		b.clock.Advance(testReportInterval)
		b.report(other, message.Report{})
		b.tick()
		if b.now().Before(until) {
			require.Empty(t, b.starts(), "the agent's lease has %s left", until.Sub(b.now()))
		}
	}
	b.clock.Advance(testReportInterval)
	b.report(other, message.Report{})
	b.tick()
	again, at := onlyEntry(t, b.starts())
	require.Equal(t, other, at)
	require.Equal(t, k.Run+1, again.Run)
	// What the unreachable agent reports afterwards does not count.
	b.report(agent, message.Report{Session: 2, Full: true, Worker: workerInfo(agent), Ends: []message.RunEnd{runEnd(k, job.EndDone, 1)}})
	b.commit()
	require.Equal(t, job.Running, b.state("j"))
}

// Guards against orders beyond a worker's capacity because runs that are being stopped
// are not counted.
func TestOrphanedRunsKeepTheirCapacity(t *testing.T) {
	b := newTestbench(t, 2)
	big := definition("old", checkProfile, 1)
	big.Steps[0].Need.MilliCPU = 60_000
	b.table.Restore(b.now(), []Restored{{Definition: big, Term: 1}}, leasesEnding(map[string]time.Time{"a": b.now().Add(testLease)}))
	require.True(t, b.table.Cancel(b.now(), "old"))
	k := key("old", 0, 0, 1)
	b.report("a", message.Report{Session: 1, Full: true, Worker: workerInfo("a"), Running: []message.RunState{{Key: k}}})
	b.register()
	next := definition("new", checkProfile, 1)
	next.Steps[0].Need.MilliCPU = 10_000
	b.accept(next)
	orders := b.orders("a")
	require.Equal(t, []message.StopRun{{Key: k}}, orders.Stops)
	require.Len(t, orders.Adopted, 1, "the agent needs the size of the run")
	require.Empty(t, orders.Starts)
	b.report("a", message.Report{Ends: []message.RunEnd{runEnd(k, job.EndStopped, 1)}})
	require.Len(t, b.starts(), 1)
}

// Guards against tasks that wait without end because their start orders were lost with a
// connection: a run that the full report does not list never started.
func TestLostOrdersArePlacedAgain(t *testing.T) {
	b := newTestbench(t, 1)
	b.join("a")
	b.accept(definition("j", checkProfile, 1))
	k, _ := onlyEntry(t, b.starts())
	b.report("a", message.Report{Session: 2, Full: true, Worker: workerInfo("a")})
	again, _ := onlyEntry(t, b.starts())
	require.Equal(t, k.Run+1, again.Run)
}

// Guards against orders beyond a worker's capacity, and against tasks that wait although
// a worker has free capacity.
func TestCapacityIsFilledAndNotExceeded(t *testing.T) {
	b := newTestbench(t, 1)
	names := agentNames(3)
	for _, name := range names {
		b.join(name)
	}
	b.accept(definition("j", checkProfile, 200))
	started := b.starts()
	require.Len(t, started, 3*64)
	used := map[string]int{}
	for _, agent := range started {
		used[agent]++
	}
	for _, name := range names {
		require.Equal(t, 64, used[name])
	}
}

// Guards against a cancelled job whose runs go on, and against a cancellation that is
// reported before it is durable.
func TestCancelStopsAllRuns(t *testing.T) {
	b := newTestbench(t, 1)
	b.join("a")
	b.accept(definition("j", checkProfile, 3))
	require.Len(t, b.starts(), 3)
	require.True(t, b.table.Cancel(b.now(), "j"))
	require.Len(t, b.orders("a").Stops, 3)
	require.Equal(t, job.Running, b.state("j"))
	b.commit()
	require.Equal(t, job.Cancelled, b.state("j"))
	require.Empty(t, b.starts())
}

// Guards against a gang that is started only in part.
func TestGangIsPlacedCompletelyOrNotAtAll(t *testing.T) {
	b := newTestbench(t, 1)
	b.join("a")
	def := definition("j", proofProfile, 3)
	def.Steps[0].Gang, def.Steps[0].Need.MilliCPU = true, 30_000
	b.accept(def)
	require.Empty(t, b.starts(), "one worker has capacity for two members")
	b.join("b")
	started := b.starts()
	require.Len(t, started, 3)
	var runs []uint32
	for k := range started {
		runs = append(runs, k.Run)
	}
	require.Equal(t, []uint32{1, 1, 1}, runs)
	b.report("a", message.Report{Ends: []message.RunEnd{runEnd(firstAt(started, "a"), job.EndDone, 1)}})
	b.commit()
	require.Equal(t, job.Done, b.state("j"), "a gang is done when one member is done")
}

func firstAt(started map[job.RunKey]string, agent string) job.RunKey {
	var keys []job.RunKey
	for k, at := range started {
		if at == agent {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(x, y job.RunKey) int { return x.Task.Index - y.Task.Index })
	return keys[0]
}

// Guards against a start on a worker of another service or without the required label,
// and against more tasks of a step on one worker than its spread allows.
func TestRequirementsOfAStep(t *testing.T) {
	b := newTestbench(t, 1)
	b.join("plain")
	labelled := workerInfo("labelled")
	labelled.Labels = []string{"a", "gpu-kind"}
	b.report("labelled", message.Report{Session: 1, Full: true, Worker: labelled})
	foreign := workerInfo("foreign")
	foreign.Service = "another"
	b.report("foreign", message.Report{Session: 1, Full: true, Worker: foreign})
	b.register()
	def := definition("j", checkProfile, 4)
	def.Steps[0].Label = "gpu-kind"
	b.accept(def)
	for _, agent := range b.starts() {
		require.Equal(t, "labelled", agent)
	}
	spread := definition("s", checkProfile, 4)
	spread.Steps[0].Spread = 1
	b.accept(spread)
	started := b.starts()
	require.Len(t, started, 2)
	agents := map[string]bool{}
	for _, agent := range started {
		agents[agent] = true
	}
	require.Equal(t, map[string]bool{"plain": true, "labelled": true}, agents)
}

// Guards against an occurrence that starts before it is due, and against due occurrences
// that are skipped.
func TestOccurrencesStartWhenDue(t *testing.T) {
	b := newTestbench(t, 1)
	b.join("a")
	def := definition("j", checkProfile, 1)
	def.Occurrences, def.FirstMs, def.IntervalMs = 3, b.now().Add(time.Second).UnixMilli(), 1000
	b.accept(def)
	require.Empty(t, b.starts())
	for k := range 3 {
		b.clock.Advance(time.Second)
		b.report("a", message.Report{})
		b.tick()
		found, _ := onlyEntry(t, b.starts())
		require.Equal(t, k, found.Task.Occurrence)
	}
}

// Guards against more tasks of a step on one worker than its spread allows, when the
// worker's latest start failed and it is due for a trial.
func TestTrialsKeepTheSpread(t *testing.T) {
	b := newTestbench(t, 1)
	b.join("a")
	b.join("b")
	def := definition("j", checkProfile, 2)
	def.Steps[0].Spread = 1
	b.accept(def)
	started := b.starts()
	require.Len(t, started, 2)
	var stopped, other job.RunKey
	for k, agent := range started {
		b.report(agent, message.Report{Running: []message.RunState{{Key: k, PacePct: fullPacePct}}})
		if agent == "a" {
			other = k
		} else {
			stopped = k
		}
	}
	a := b.table.agents["a"]
	b.table.setHealth(a, health{}.afterFailedStart(b.now(), 0, failedStart{}))
	b.clock.Advance(firstPenalty)
	b.report("a", message.Report{Running: []message.RunState{{Key: other, PacePct: fullPacePct}}})
	b.report("b", message.Report{Ends: []message.RunEnd{runEnd(stopped, job.EndStopped, 1)}})
	require.True(t, a.health.trialDue(b.now(), 0))
	_, agent := onlyEntry(t, b.starts())
	require.Equal(t, "b", agent)
}
