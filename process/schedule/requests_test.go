package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/request/interference"
	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/request/outcome"
	"camphorhead.example/camphorhead/request/resources"
	"camphorhead.example/camphorhead/version/profile"
)

// request returns a proof whose caller is in the region tunis-north.
func request(id, franchisee string, need resources.Resources) *job.Definition {
	return &job.Definition{
		ID: id, Profile: "batch-proof", Steps: []job.Step{{Count: 1, Need: need, Checkpoints: true}},
		Request: &job.Request{Key: id, Franchisee: franchisee, Kind: job.Proof, Region: "tunis-north", MaxEvictions: 3},
	}
}

var proofNeed = resources.Resources{MilliCPU: 4000, MemoryMB: 8000}

// joinAt attaches an agent in a region. Its worker belongs to no service.
func (b *testbench) joinAt(agent, region string, capacity resources.Resources) {
	b.t.Helper()
	b.report(agent, message.Report{
		Session: 1, Full: true, Location: message.Location{Region: region, Domain: region + "-a"},
		Worker:  &message.WorkerInfo{ID: agent, StartedMs: 1, Capacity: capacity, Reachable: true},
		Summary: &message.Summary{Agent: agent, Session: 1, Sequence: 1, Capacity: capacity, Services: []message.ServiceLoad{{Service: "lab"}}},
	})
	b.register()
}

// reportRunning reports a run as running.
func (b *testbench) reportRunning(agent string, k job.RunKey, checkpoint string) {
	b.report(agent, message.Report{Running: []message.RunState{{Key: k, Checkpoint: checkpoint, PacePct: 100}}})
}

func (b *testbench) record(id string) job.Record {
	r := b.table.Record(id)
	require.NotNil(b.t, r)
	return *r
}

// advance moves the clock, reports for the given agents, and ticks.
func (b *testbench) advance(d time.Duration, agents ...string) {
	b.clock.Advance(d)
	for _, a := range agents {
		b.report(a, message.Report{})
	}
	b.tick()
}

// Guards against a proof that fails because of one worker on which all runs fail, and
// against a proof that is retried there because the worker is in its region.
func TestProofIsRetriedOnAnotherWorker(t *testing.T) {
	b := newTestbench(t, 1)
	b.joinAt("near", "tunis-north", testCapacity)
	b.joinAt("far", "sfax-south", testCapacity)
	for i := range 6 {
		id := fmt.Sprint("p", i)
		b.accept(request(id, "f", proofNeed))
		k, at := onlyEntry(t, b.starts())
		if at == "near" {
			b.report("near", message.Report{Ends: []message.RunEnd{{Key: k, How: job.EndFailed, Early: true, Serial: uint64(i + 1)}}})
			k, at = onlyEntry(t, b.starts())
			require.Equal(t, "far", at, "proof %d", i)
			require.Equal(t, uint32(2), k.Run)
			require.Equal(t, []string{"near"}, b.record(id).FailedOn)
		}
		b.advance(100*time.Millisecond, "near", "far")
	}
}

// Guards against a broken proof that is retried without end, against a watch with side
// effects that runs twice, and against a failure whose record lacks the cause.
func TestBrokenJobsFail(t *testing.T) {
	b := newTestbench(t, 1)
	names := agentNames(6)
	for _, name := range names {
		b.joinAt(name, "tunis-north", testCapacity)
	}
	serials := map[string]uint64{}
	end := func(k job.RunKey, at string, how job.EndKind) {
		serials[at]++
		b.report(at, message.Report{Ends: []message.RunEnd{{Key: k, How: how, Early: true, Serial: serials[at], Message: "broken formula"}}})
	}
	watch := request("watch", "f", proofNeed)
	watch.Request.Kind, watch.Steps[0].LongRunning = job.Watch, true
	b.accept(watch)
	k, at := onlyEntry(t, b.starts())
	end(k, at, job.EndFailed)
	b.commit()
	require.Equal(t, job.Failed, b.state("watch"))
	require.Equal(t, outcome.TaskFailed, b.record("watch").Failure.Kind)

	b.accept(request("proof", "f", proofNeed))
	attempts := 0
	for b.state("proof") != job.Failed {
		// Other jobs show that the workers are healthy.
		b.accept(request(fmt.Sprint("sound", attempts), "f", proofNeed))
		for k, at := range b.starts() {
			if k.Task.Job != "proof" {
				end(k, at, job.EndDone)
				continue
			}
			attempts++
			end(k, at, job.EndFailed)
		}
		b.advance(10*time.Second, names...)
		for _, name := range names {
			b.report(name, message.Report{})
		}
		b.commit()
		require.LessOrEqual(t, attempts, job.MaxStartFailures)
	}
	require.Contains(t, b.record("proof").Failure.Message, "broken formula")
}

// Guards against a worker on which every start fails, which therefore always looks idle,
// receiving more than 1% of the starts after 2 s, and against its permanent exclusion
// after a repair.
func TestFailingWorkerGetsFewStarts(t *testing.T) {
	for _, rate := range []int{5, 140} {
		t.Run(fmt.Sprintf("%d starts a second", rate), func(t *testing.T) {
			b := newTestbench(t, 1)
			names := agentNames(11)
			// The other ten workers have capacity for 120 of the tasks below and are full half
			// of the time.
			for _, name := range names {
				b.joinAt(name, "tunis-north", resources.Resources{MilliCPU: 60_000 + 4_000, MemoryMB: 256_000})
			}
			type started struct {
				key job.RunKey
				at  string
			}
			serials := map[string]uint64{}
			end := func(s started, how job.EndKind) {
				serials[s.at]++
				b.report(s.at, message.Report{Ends: []message.RunEnd{{Key: s.key, How: how, Early: how == job.EndFailed, Serial: serials[s.at]}}})
			}
			var running []started
			late, failed, repaired, count := 0, 0, 0, 0
			broken := true
			for count < 6_000+40*rate {
				b.advance(time.Second/time.Duration(rate), names...)
				b.accept(request(fmt.Sprint("p", count), "f", resources.Resources{MilliCPU: 5_000, MemoryMB: 1}))
				for key, at := range b.starts() {
					count++
					broken = count < 5_000
					switch {
					case at == "agent-3" && broken:
						end(started{key, at}, job.EndFailed)
						if count > 2*rate {
							failed++
						}
					case at == "agent-3":
						repaired++
						fallthrough
					default:
						running = append(running, started{key, at})
					}
					if count > 2*rate && broken {
						late++
					}
				}
				for len(running) > 60 {
					end(running[0], job.EndDone)
					running = running[1:]
				}
				b.commit()
				require.LessOrEqual(t, 100*(failed-1), late, "one start may be ahead of its share")
			}
			require.LessOrEqual(t, 100*failed, late)
			require.Positive(t, failed, "the worker was never tried again")
			require.Greater(t, repaired, 20)
		})
	}
}

// Guards against a series of broken jobs that ejects more than maxEjectedPercent of the
// workers.
func TestEjectedWorkersStayBelowLimit(t *testing.T) {
	b := newTestbench(t, 1)
	for _, name := range agentNames(11) {
		b.joinAt(name, "tunis-north", testCapacity)
	}
	for _, a := range b.table.sortedAgents {
		for range 5 {
			b.table.setHealth(a, a.health.afterFailedStart(b.now(), 0, failedStart{}))
		}
	}
	require.Equal(t, 3, b.table.startTracker.ejectedCount)
}

// Guards against a job that fails because few agents have reported to a new leader, and
// against one that waits without end for a worker that does not exist.
func TestNeverFitsWaitsForDelay(t *testing.T) {
	b := newTestbench(t, 1)
	b.joinAt("a", "tunis-north", testCapacity)
	b.accept(request("p", "f", resources.Resources{MilliCPU: 1, Accelerators: 1}))
	require.Empty(t, b.starts())
	require.Equal(t, job.Accepted, b.state("p"))
	b.advance(testNeverFitsDelay, "a")
	require.Empty(t, b.starts())
	b.commit()
	r := b.record("p")
	require.Equal(t, outcome.NeverFits, r.Failure.Kind)
	require.True(t, r.NotRun())
	// The old record changes nothing when it is accepted again; a newer one restarts the job.
	again := request("p", "f", proofNeed)
	require.False(t, b.table.Accept(b.now(), again, 1, false))
	require.True(t, b.table.Accept(b.now(), again, 1, true))
	require.Len(t, b.starts(), 1)
}

// Guards against an eviction that is not counted or whose checkpoint is lost, in one term
// or across a change of the leader.
func TestEvictionsAndCheckpointsAreDurable(t *testing.T) {
	b := newTestbench(t, 1)
	b.joinAt("a", "tunis-north", testCapacity)
	b.joinAt("b", "tunis-north", testCapacity)
	def := request("p", "f", proofNeed)
	b.accept(def)
	k, at := onlyEntry(t, b.starts())
	require.Equal(t, job.Assigned, b.record("p").State)
	b.reportRunning(at, k, "c1")
	require.Equal(t, job.Running, b.record("p").State)
	b.report(at, message.Report{Ends: []message.RunEnd{{
		Key: k, How: job.EndStopped, Serial: 1, Checkpoint: "c2", Cause: job.CauseInterference,
	}}})
	require.Equal(t, job.Evicted, b.record("p").State)
	records := b.table.TakeRecords(10)
	require.Len(t, records, 1)
	next, other := onlyEntry(t, b.starts())
	require.NotEqual(t, at, other, "the task must leave the worker that evicted it")
	require.Equal(t, k.Run+1, next.Run)

	b2 := newTestbench(t, 2)
	b2.table.Restore(b2.now(), []Restored{{Definition: def, Progress: &records[0].Progress, Term: 1}}, nil)
	b2.joinAt("a", "tunis-north", testCapacity)
	orders := b2.orders("a")
	require.Len(t, orders.Starts, 1)
	require.Equal(t, "c2", orders.Starts[0].Checkpoint)
	require.Equal(t, 2, orders.Starts[0].EvictionsLeft)
	require.Equal(t, uint32(1), b2.record("p").Evictions)
}

// Guards against a running task that loses its checkpoint when its worker and the leader
// fail together, and against a write to the store for each checkpoint.
func TestRunningCheckpointsAreSavedPeriodically(t *testing.T) {
	b := newTestbench(t, 1)
	b.joinAt("a", "tunis-north", testCapacity)
	b.accept(request("p", "f", proofNeed))
	k, _ := onlyEntry(t, b.starts())
	b.reportRunning("a", k, "c0")
	b.commit()
	for i := range 4 {
		b.advance(testCheckpointInterval/4, "a")
		b.reportRunning("a", k, fmt.Sprint("c", i+1))
		require.Equal(t, i == 3, b.table.DirtyCount() > 0, "after %d quarters", i+1)
	}
	require.Equal(t, "c4", b.table.TakeRecords(1)[0].Progress.Task.Checkpoint)
}

// Guards against a franchisee whose many jobs are all placed before those of others, and
// against a team that gets more than its weight.
func TestTeamsAndFranchiseesShareFairly(t *testing.T) {
	b := newTestbench(t, 1)
	b.table.cfg.Teams = func() map[string]profile.Team {
		return map[string]profile.Team{"heavy": {Name: "heavy", Weight: 3}, "light": {Name: "light", Weight: 1}}
	}
	for i := range 60 {
		d := request(fmt.Sprint("flood", i), "flood", proofNeed)
		d.Request.Team = "heavy"
		b.accept(d)
		d = request(fmt.Sprint("light", i), "other", proofNeed)
		d.Request.Team = "light"
		b.accept(d)
	}
	d := request("calm", "calm", proofNeed)
	d.Request.Team = "heavy"
	b.accept(d)
	b.joinAt("a", "tunis-north", testCapacity)
	count := map[string]int{}
	for k := range b.starts() {
		count[k.Task.Job[:4]]++
	}
	require.Equal(t, map[string]int{"floo": 10, "calm": 1, "ligh": 4}, count, "15 tasks fit outside the reserve")
}

// Guards against a team that keeps borrowed quota while its owner needs it, and against
// quota that stays idle although another team could borrow it.
func TestQuotasAreLentAndReturned(t *testing.T) {
	b := newTestbench(t, 1)
	quota := resources.Resources{MilliCPU: 24_000, MemoryMB: 128_000}
	b.table.cfg.Teams = func() map[string]profile.Team {
		return map[string]profile.Team{"a": {Name: "a", Quota: quota, Weight: 1}, "b": {Name: "b", Quota: quota, Weight: 1}}
	}
	b.joinAt("w", "tunis-north", resources.Resources{MilliCPU: 51_000, MemoryMB: 256_000})
	submit := func(team string, n int) {
		for i := range n {
			d := request(fmt.Sprint(team, len(b.table.jobs), i), team, proofNeed)
			d.Request.Team = team
			b.accept(d)
		}
	}
	submit("a", 20)
	first := b.starts()
	require.Len(t, first, 12, "the team's own quota and the idle one")
	for k := range first {
		b.reportRunning("w", k, "c")
	}
	b.advance(testReportInterval, "w")
	submit("b", 1)
	require.Empty(t, b.starts())
	var stops []message.StopRun
	for i := 0; len(stops) == 0 && i < 20; i++ {
		b.advance(testReportInterval, "w")
		stops = b.orders("w").Stops
	}
	require.Len(t, stops, 1)
	b.report("w", message.Report{Ends: []message.RunEnd{{Key: stops[0].Key, How: job.EndStopped, Serial: 1, Checkpoint: "c"}}})
	k, _ := onlyEntry(t, b.starts())
	require.Equal(t, "b", k.Task.Job[:1], "the lender's job gets the capacity")
	require.Equal(t, uint32(1), b.record(stops[0].Key.Task.Job).Evictions)
}

// Guards against urgent work that waits for batch work, against batch work that takes the
// urgent reserve or the capacity freed by preemption, and against reserved capacity that
// is never freed.
func TestUrgentWorkPreemptsBatchWork(t *testing.T) {
	b := newTestbench(t, 1)
	b.joinAt("w", "tunis-north", testCapacity)
	for i := range 40 {
		b.accept(request(fmt.Sprint("p", i), "f", proofNeed))
	}
	started := b.starts()
	require.Len(t, started, 15, "a twentieth of the processors is kept for urgent work")
	for k := range started {
		b.reportRunning("w", k, "c")
	}
	urgent := func(id string, need resources.Resources) {
		d := request(id, "u", need)
		d.Request.Urgent = true
		b.accept(d)
	}
	urgent("u1", resources.Resources{MilliCPU: 4000, MemoryMB: 1000})
	k, _ := onlyEntry(t, b.starts())
	require.Equal(t, "u1", k.Task.Job)

	urgent("u2", resources.Resources{MilliCPU: 8000, MemoryMB: 1000})
	orders := b.orders("w")
	require.Empty(t, orders.Starts)
	require.Len(t, orders.Stops, 2)
	b.report("w", message.Report{Ends: []message.RunEnd{{Key: orders.Stops[0].Key, How: job.EndStopped, Serial: 1}}})
	require.Empty(t, b.starts(), "half of the capacity is not enough, and no other task gets it")
	b.report("w", message.Report{Ends: []message.RunEnd{{Key: orders.Stops[1].Key, How: job.EndStopped, Serial: 2}}})
	k, _ = onlyEntry(t, b.starts())
	require.Equal(t, "u2", k.Task.Job)

	urgent("u3", resources.Resources{MilliCPU: 4000, MemoryMB: 1000})
	stops := b.orders("w").Stops
	require.Len(t, stops, 1)
	require.True(t, b.table.Cancel(b.now(), "u3"))
	b.report("w", message.Report{Ends: []message.RunEnd{{Key: stops[0].Key, How: job.EndStopped, Serial: 3}}})
	used := b.table.agents["w"].node.Used
	require.Equal(t, int64(12*4000+4000+8000), used.MilliCPU, "the capacity of a cancelled job is free again")
}

// Guards against work that is placed where it is known to slow checks down although there
// is another worker. Pairings come with reports, so a new leader has them too.
func TestPairingsSteerPlacement(t *testing.T) {
	b := newTestbench(t, 1)
	b.joinAt("a", "tunis-north", testCapacity)
	b.report("b", message.Report{
		Session: 1, Full: true, Location: message.Location{Region: "tunis-north", Domain: "tunis-north-a"},
		Worker:  &message.WorkerInfo{ID: "b", StartedMs: 1, Capacity: testCapacity, Reachable: true},
		Summary: &message.Summary{Agent: "b", Session: 1, Sequence: 1, Capacity: testCapacity},
	})
	b.register()
	b.report("a", message.Report{Pairings: []interference.Pairing{{
		PairingKey: interference.PairingKey{Service: "lab", Profile: "batch-proof"}, Score: 2, Weight: 3, At: b.now(),
	}}})
	for i := range 8 {
		b.accept(request(fmt.Sprint("p", i), "f", proofNeed))
	}
	for _, at := range b.starts() {
		require.Equal(t, "b", at)
	}
}

// Guards against followers that are not notified of agents that changed or were removed.
func TestAgentUpdatesReportChangesAndRemovals(t *testing.T) {
	b := newTestbench(t, 1)
	b.joinAt("a", "tunis-north", testCapacity)
	b.joinAt("b", "tunis-north", testCapacity)
	changed, removed := b.table.AgentUpdates()
	require.Len(t, changed, 2)
	require.Empty(t, removed)
	b.report("a", message.Report{Summary: &message.Summary{Agent: "a", Session: 1, Sequence: 2, Draining: true}})
	changed, _ = b.table.AgentUpdates()
	require.Len(t, changed, 1)
	require.True(t, changed[0].Draining)
	for range testMaxWorkerLease / testReportInterval { // the worker of b has not restarted
		b.advance(testReportInterval, "a", "b")
	}
	for range 12 {
		b.advance(testReportInterval, "a")
	}
	_, removed = b.table.AgentUpdates()
	require.Equal(t, []string{"b"}, removed)
	require.Len(t, b.table.AgentSummaries(), 1)
}
