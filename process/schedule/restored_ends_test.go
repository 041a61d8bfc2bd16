package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/request/job"
)

// Guards against a task that gets more attempts than its profile allows, and against a
// failure that is counted twice because it is reported again to a new leader, in any
// order.
func TestFailuresAreCountedOnceAcrossLeaders(t *testing.T) {
	for _, order := range [][]uint32{{1, 2}, {2, 1}} {
		b := newTestbench(t, 1)
		b.join("a")
		def := definition("j", checkProfile, 1)
		b.accept(def)
		b.starts()
		b.report("a", message.Report{Ends: []message.RunEnd{runEnd(key("j", 0, 0, 1), job.EndFailed, 1)}})
		b.clock.Advance(maxAvoidTime)
		b.report("a", message.Report{})
		b.tick()
		k, _ := onlyEntry(t, b.starts())
		require.Equal(t, uint32(2), k.Run)
		records := b.table.TakeRecords(10) // one failure is durable, its end is not acknowledged
		require.Len(t, records, 1)

		next := newTestbench(t, 2)
		next.clock = b.clock
		next.table = newTable(b.clock, 2)
		next.table.Restore(b.now(), []Restored{{Definition: def, Progress: &records[0].Progress, Term: 1}}, leasesEnding(map[string]time.Time{"a": b.now().Add(time.Minute)}))
		var ends []message.RunEnd
		for i, run := range order {
			ends = append(ends, runEnd(key("j", 0, 0, run), job.EndFailed, uint64(i+1)))
		}
		next.report("a", message.Report{Session: 2, Full: true, Worker: workerInfo("a"), Ends: ends})
		require.Equal(t, job.Accepted, next.state("j"), "two of three attempts have failed")
		next.register()
		next.clock.Advance(maxAvoidTime) // the only worker is one on which the task has failed
		next.report("a", message.Report{Session: 2})
		next.tick()
		k, _ = onlyEntry(t, next.starts())
		next.report("a", message.Report{Session: 2, Ends: []message.RunEnd{runEnd(k, job.EndFailed, 3)}})
		next.commit()
		require.Equal(t, job.Failed, next.state("j"))
	}
}

// Guards against a start beyond the allowed attempts when the failures of earlier runs
// are reported to a new leader one after the other.
func TestAttemptsWaitForAllReports(t *testing.T) {
	b := newTestbench(t, 2)
	agents := map[string]time.Time{}
	for _, agent := range []string{"a", "b", "c"} {
		agents[agent] = b.now().Add(time.Minute)
	}
	def := definition("j", checkProfile, 1)
	b.table.Restore(b.now(), []Restored{{Definition: def, Term: 1}}, leasesEnding(agents))
	full := func(agent string, r message.Report) {
		r.Session, r.Full, r.Worker = 1, true, workerInfo(agent)
		b.report(agent, r)
		b.register()
	}
	full("d", message.Report{}) // has free capacity all the time
	full("a", message.Report{Running: []message.RunState{{Key: key("j", 0, 0, 3), PacePct: fullPacePct}}})
	b.report("a", message.Report{Ends: []message.RunEnd{runEnd(key("j", 0, 0, 3), job.EndFailed, 1)}})
	full("b", message.Report{Ends: []message.RunEnd{runEnd(key("j", 0, 0, 2), job.EndFailed, 1)}})
	require.Empty(t, b.starts(), "the third failure has not been reported yet")
	full("c", message.Report{Ends: []message.RunEnd{runEnd(key("j", 0, 0, 1), job.EndFailed, 1)}})
	b.tick()
	require.Empty(t, b.starts())
	b.commit()
	require.Equal(t, job.Failed, b.state("j"))
}

// Guards against a task that counts as done by a run whose lease has expired, while a
// second run is active. The agent of the first run was unreachable before the end was
// recorded, so this leader or an earlier one ordered another run.
func TestEndAfterLeaseExpiryIsIgnored(t *testing.T) {
	done := func(b *testbench, sequence uint64) {
		b.report("a", message.Report{
			Session: 2, Full: true, Worker: workerInfo("a"),
			Ends: []message.RunEnd{runEnd(key("j", 0, 0, 1), job.EndDone, sequence)},
		})
	}
	lateAgent := newTestbench(t, 2)
	until := lateAgent.now().Add(testLease)
	lateAgent.table.Restore(lateAgent.now(), []Restored{{Definition: definition("j", checkProfile, 1), Term: 1}}, leasesEnding(map[string]time.Time{"a": until}))
	lateAgent.report("b", message.Report{Session: 1, Full: true, Worker: workerInfo("b")})
	lateAgent.register()
	lateAgent.clock.Advance(testLease + time.Second)
	lateAgent.report("b", message.Report{Session: 1})
	lateAgent.tick()
	second, _ := onlyEntry(t, lateAgent.starts())
	done(lateAgent, 1)
	require.Empty(t, lateAgent.orders("b").Stops)
	lateAgent.report("b", message.Report{Ends: []message.RunEnd{runEnd(second, job.EndDone, 1)}})
	lateAgent.commit()
	require.Equal(t, job.Done, lateAgent.state("j"))

	adopted := newTestbench(t, 3)
	until = adopted.now().Add(testLease)
	adopted.table.Restore(adopted.now(), []Restored{{Definition: definition("j", checkProfile, 1), Term: 1}}, leasesEnding(map[string]time.Time{"a": until, "b": until}))
	adopted.report("b", message.Report{Session: 1, Full: true, Worker: workerInfo("b"), Running: []message.RunState{{Key: key("j", 0, 0, 2), PacePct: fullPacePct}}})
	done(adopted, 1)
	adopted.commit()
	require.NotEqual(t, job.Done, adopted.state("j"))
	require.Empty(t, adopted.orders("b").Stops)
}

// Guards against a task that gets more attempts than its profile allows because its latest
// run is reported to the next leader before the failure of an earlier run (found on scratch
// sites, seen once each on two days).
func TestFailureBeforeAnAdoptedRunCounts(t *testing.T) {
	b := newTestbench(t, 2)
	def := definition("j", checkProfile, 1) // three attempts
	until := b.now().Add(time.Minute)
	b.table.Restore(b.now(), []Restored{{Definition: def, Term: 1}}, leasesEnding(map[string]time.Time{"a": until, "b": until}))
	latest := key("j", 0, 0, 2)
	b.report("b", message.Report{
		Session: 1, Full: true, Worker: workerInfo("b"), Running: []message.RunState{{Key: latest, PacePct: fullPacePct}},
	})
	b.report("a", message.Report{
		Session: 1, Full: true, Worker: workerInfo("a"), Ends: []message.RunEnd{runEnd(key("j", 0, 0, 1), job.EndFailed, 1)},
	})
	b.register()
	b.report("b", message.Report{Ends: []message.RunEnd{runEnd(latest, job.EndFailed, 1)}})
	b.clock.Advance(maxAvoidTime)
	b.report("a", message.Report{})
	b.report("b", message.Report{})
	b.tick()
	k, agent := onlyEntry(t, b.starts())
	b.report(agent, message.Report{Ends: []message.RunEnd{runEnd(k, job.EndFailed, 2)}})
	b.commit()
	require.Equal(t, job.Failed, b.state("j"), "three attempts have failed")
}

// Guards against an end that counts although a leader knew that the run had ended without
// it, and against the checkpoint of such a run replacing a later one.
func TestDoneBeforeAnAdoptedRunDoesNotCount(t *testing.T) {
	b := newTestbench(t, 2)
	until := b.now().Add(time.Minute)
	b.table.Restore(b.now(), []Restored{{Definition: definition("j", checkProfile, 1), Term: 1}}, leasesEnding(map[string]time.Time{"a": until, "b": until}))
	latest := key("j", 0, 0, 2)
	b.report("b", message.Report{
		Session: 1, Full: true, Worker: workerInfo("b"), Running: []message.RunState{{Key: latest, PacePct: fullPacePct, Checkpoint: "late"}},
	})
	early := runEnd(key("j", 0, 0, 1), job.EndDone, 1)
	failed := runEnd(key("j", 0, 0, 1), job.EndFailed, 2)
	failed.Checkpoint = "early"
	b.report("a", message.Report{Session: 1, Full: true, Worker: workerInfo("a"), Ends: []message.RunEnd{early, failed}})
	b.commit()
	require.Equal(t, job.Running, b.state("j"))
	require.Equal(t, "late", b.table.task(latest.Task).checkpoint)
}

// Guards against the end of a superseded run that counts because the later run has ended
// in a way that does not count (soak seed 3016: the agent of the first run was restarted,
// and the lease of the second run expired).
func TestDoneOfAnEarlierRunStaysSuperseded(t *testing.T) {
	b := newTestbench(t, 2)
	until := b.now().Add(time.Minute)
	b.table.Restore(b.now(), []Restored{{Definition: definition("j", checkProfile, 1), Term: 1}}, leasesEnding(map[string]time.Time{"a": until, "b": until}))
	void := runEnd(key("j", 0, 0, 2), job.EndDone, 1)
	void.Void = true
	b.report("b", message.Report{Session: 1, Full: true, Worker: workerInfo("b"), Ends: []message.RunEnd{void}})
	b.report("a", message.Report{
		Session: 1, Full: true, Worker: workerInfo("a"), Ends: []message.RunEnd{runEnd(key("j", 0, 0, 1), job.EndDone, 1)},
	})
	b.commit()
	require.Equal(t, job.Accepted, b.state("j"))
	b.register()
	b.tick()
	k, _ := onlyEntry(t, b.starts())
	require.Greater(t, k.Run, uint32(runsPerTerm))
}

// Guards against a run that counts as ended although its agent lists it as running: the agent
// had concluded the end, and the worker listed the run again (seen in TestSoak/seed-2, in which
// an agent was paused for most of its worker's lease).
func TestEndOfAListedRunDoesNotCount(t *testing.T) {
	b := newTestbench(t, 1)
	b.join("a")
	b.join("b")
	b.accept(definition("j", checkProfile, 1))
	k, agent := onlyEntry(t, b.starts())
	reply := b.report(agent, message.Report{
		Session: 2, Full: true, Worker: workerInfo(agent), Running: []message.RunState{{Key: k, PacePct: fullPacePct}},
		Ends: []message.RunEnd{runEnd(k, job.EndLeaseExpired, 1)},
	})
	require.Empty(t, b.starts())
	require.Equal(t, uint64(1), reply.Recorded, "the agent need not keep the end")
	b.report(agent, message.Report{Session: 2, Ends: []message.RunEnd{runEnd(k, job.EndDone, 2)}})
	b.commit()
	require.Equal(t, job.Done, b.state("j"))
}

// Guards against a task that begins anew, although a run that the previous leader stopped has saved
// its progress: the agent reports the end to the next leader only (seed 14 of TestSchedules).
func TestCheckpointOfAStopSurvivesTheLeader(t *testing.T) {
	for run, want := range map[uint32]string{1: "saved", 0: ""} {
		b := newTestbench(t, 2)
		def := definition("j", checkProfile, 1)
		progress := job.NewProgress(def)
		if run == 0 {
			progress.SetExpired(key("j", 0, 0, 1).Task, 1) // the run counts as ended by its lease
		}
		b.table.Restore(b.now(), []Restored{{Definition: def, Progress: progress, Term: 1}}, leasesEnding(map[string]time.Time{"a": b.now().Add(time.Minute)}))
		end := runEnd(key("j", 0, 0, 1), job.EndStopped, 1)
		end.Checkpoint = "saved"
		b.report("a", message.Report{Session: 1, Full: true, Worker: workerInfo("a"), Ends: []message.RunEnd{end}})
		b.register()
		b.report("a", message.Report{})
		b.tick()
		o := b.orders("a")
		require.Len(t, o.Starts, 1)
		require.Equal(t, want, o.Starts[0].Checkpoint)
	}
}

// Guards against a task that runs again although it is done: the worker lists 500 ends at once, so
// the first full report of a restarted agent may lack the end of a run.
func TestFullReportWithoutAllEndsEndsNoRun(t *testing.T) {
	b := newTestbench(t, 2)
	b.table.Restore(b.now(), []Restored{{Definition: definition("j", checkProfile, 2), Term: 1}}, leasesEnding(map[string]time.Time{"a": b.now().Add(testLease)}))
	first, second := key("j", 0, 0, 1), key("j", 0, 1, 1)
	draining := workerInfo("a")
	draining.Draining = true
	b.report("a", message.Report{Session: 1, Full: true, MoreEnds: true, Worker: draining, Ends: []message.RunEnd{runEnd(first, job.EndDone, 1)}})
	b.commit()
	b.join("b")
	for range 3 * testLease / testReportInterval {
		b.clock.Advance(testReportInterval)
		require.Equal(t, uint64(1), b.report("a", message.Report{}).Recorded, "the worker lists more ends only then")
		b.report("b", message.Report{})
		b.tick()
		require.Empty(t, b.starts(), "the other run may have ended too")
		list, _ := b.table.TakeAgentLeases(b.now(), true)
		require.Len(t, list.Agents, 2, "the next leader has to wait as well")
		for i, id := range []string{"a", "b"} {
			listed := list.Agents[i]
			listed.RestartEndsInMs, listed.WorkerStartedMs = 0, 0 // their workers are new to this leader
			require.Equal(t, AgentLease{Agent: id}, listed, "the next leader has to wait as well")
		}
	}
	b.report("a", message.Report{Session: 2, Full: true, Worker: draining, Ends: []message.RunEnd{runEnd(second, job.EndDone, 1)}})
	require.Empty(t, b.starts())
	b.commit()
	require.Equal(t, job.Done, b.state("j"))
}

// Guards against a task that waits without end for the ends of an agent that has failed before it
// reported all of them, and against one that is started again in the same term before they are
// known.
func TestAgentFailsBeforeItHasReportedAllEnds(t *testing.T) {
	restored := newTestbench(t, 2)
	restored.table.Restore(restored.now(), []Restored{{Definition: definition("j", checkProfile, 1), Term: 1}}, leasesEnding(map[string]time.Time{"a": restored.now().Add(testLease)}))
	restored.report("a", message.Report{Session: 1, Full: true, MoreEnds: true, Worker: workerInfo("a")})
	restored.join("b")

	same := newTestbench(t, 1)
	same.join("a")
	same.accept(definition("j", checkProfile, 1))
	k, _ := onlyEntry(t, same.starts())
	same.confirm("a", k)
	same.join("b")
	same.report("a", message.Report{Session: 2, Full: true, MoreEnds: true, Worker: workerInfo("a")})

	for _, b := range []*testbench{restored, same} {
		require.Empty(t, b.starts())
		b.clock.Advance(testMaxWorkerLease + testMaxWorkerLease/10) // its worker may have restarted
		b.report("b", message.Report{})
		b.tick() // the session expires
		b.tick()
		_, at := onlyEntry(t, b.starts())
		require.Equal(t, "b", at)
	}
}
