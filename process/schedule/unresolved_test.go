package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/request/job"
)

// unresolvedHold is the time from the last report of an agent after which a start that it has not
// confirmed is known to have come to nothing, or to have ended.
const unresolvedHold = testLease + testLateCallWindow + testMaxWorkerLease

// advanceSilently lets time pass, in which only the named agents report.
func (b *testbench) advanceSilently(d time.Duration, reporting ...string) {
	for end := b.now().Add(d); b.now().Before(end); {
		b.advance(min(testReportInterval, end.Sub(b.now())), reporting...)
	}
}

// requireHeld fails unless the only task of job "j" has no run and is held.
func (b *testbench) requireHeld() {
	b.t.Helper()
	require.Empty(b.t, b.starts())
	require.Len(b.t, b.table.unresolvedTasks, 1)
}

// Guards against two runs of a task (TWICE): a start that the agent has not confirmed before it goes
// silent is executed late, in an instance of the worker of which nobody has heard, and the task has
// been started elsewhere since.
func TestUnconfirmedStartIsNotRepeatedWhileItMayRun(t *testing.T) {
	b := newTestbench(t, 1)
	k, _, other := b.orderOne(definition("j", checkProfile, 1))
	wait := b.startedElsewhereAfter(other)
	require.GreaterOrEqual(t, wait, unresolvedHold, "time from the last report of the agent")
	require.LessOrEqual(t, wait, unresolvedHold+unresolvedHold/10)
	require.Equal(t, k.Run+1, b.table.task(k.Task).lastRun)
	// What the silent agent reports afterwards does not count.
	first := map[string]string{"a": "b", "b": "a"}[other]
	b.report(first, message.Report{Session: 2, Full: true, Worker: workerInfo(first), Ends: []message.RunEnd{runEnd(k, job.EndDone, 1)}})
	b.commit()
	require.Equal(t, job.Running, b.state("j"))
}

// Guards against a task that is started elsewhere, because the leader takes a start as resolved
// although a leader of a newer term may have heard of it.
func TestUnresolvedStartsWaitForConfirmedTerm(t *testing.T) {
	b := newTestbench(t, 1)
	_, _, other := b.orderOne(definition("j", checkProfile, 1))
	b.advanceSilently(unresolvedHold, other)
	b.clock.Advance(testLease)
	b.report(other, message.Report{})
	b.table.Tick(b.now())
	b.requireHeld()
	require.True(t, b.table.NeedsTermConfirmation())
	b.tick()
	onlyEntry(t, b.starts())
}

// Guards against a task that waits for the late execution of its start although its agent is back: a
// full report names every run that exists or may still begin.
func TestFullReportResolvesUnconfirmedStarts(t *testing.T) {
	for name, c := range map[string]struct {
		report message.Report
		again  bool // the task is placed again
		state  job.State
	}{
		"not listed":  {again: true, state: job.Running},
		"running":     {report: message.Report{Running: []message.RunState{{Key: key("j", 0, 0, 1)}}}, state: job.Running},
		"unconfirmed": {report: message.Report{Running: []message.RunState{{Key: key("j", 0, 0, 1), Unconfirmed: true}}}, state: job.Running},
		"done":        {report: message.Report{Ends: []message.RunEnd{runEnd(key("j", 0, 0, 1), job.EndDone, 1)}}, state: job.Done},
		"failed":      {report: message.Report{Ends: []message.RunEnd{runEnd(key("j", 0, 0, 1), job.EndFailed, 1)}}, again: true, state: job.Running},
		"stopped":     {report: message.Report{Ends: []message.RunEnd{runEnd(key("j", 0, 0, 1), job.EndStopped, 1)}}, again: true, state: job.Running},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestbench(t, 1)
			_, agent, other := b.orderOne(definition("j", checkProfile, 1))
			b.advanceSilently(2*testLease, other)
			b.requireHeld()
			b.report(other, message.Report{Session: 2, Full: true, Worker: workerInfo(other)})
			b.requireHeld() // that agent knows nothing of the run
			c.report.Session, c.report.Full, c.report.Worker = 2, true, workerInfo(agent)
			b.report(agent, c.report)
			require.Empty(t, b.table.unresolvedTasks)
			require.Equal(t, c.again, len(b.starts()) == 1)
			b.commit()
			require.Equal(t, c.state, b.state("j"))
			b.advanceSilently(2*unresolvedHold, agent, other)
			require.Equal(t, c.state, b.state("j"))
			require.Empty(t, b.starts())
		})
	}
}

// Guards against a second run of a task whose run was adopted with its start still unconfirmed, when
// the agent goes silent again.
func TestUnresolvedStartIsHeldAgain(t *testing.T) {
	b := newTestbench(t, 1)
	k, agent, other := b.orderOne(definition("j", checkProfile, 1))
	b.advanceSilently(2*testLease, other)
	b.requireHeld()
	b.report(agent, message.Report{Session: 2, Full: true, Worker: workerInfo(agent), Running: []message.RunState{{Key: k, Unconfirmed: true}}})
	require.GreaterOrEqual(t, b.startedElsewhereAfter(other), unresolvedHold)
}

// Guards against tasks that wait for the late execution of starts that could not be sent, because the
// agent's process has ended and with it the connection.
func TestStartThatCouldNotBeSentIsPlacedAgain(t *testing.T) {
	b := newTestbench(t, 1)
	b.join("a")
	b.accept(definition("j", checkProfile, 1))
	orders := b.table.Dispatch(b.now())
	require.Len(t, orders, 1)
	b.table.MarkUnsent(&orders[0])
	b.join("b")
	require.LessOrEqual(t, b.startedElsewhereAfter("b"), testMaxWorkerLease+testMaxWorkerLease/10)
}

// Guards against a start that waits for the late execution of one that was never sent.
func TestStartThatWasNeverSentIsPlacedAgain(t *testing.T) {
	b := newTestbench(t, 1)
	b.table.cfg.AdmitLink = func(string, int) bool { return false }
	b.join("a")
	b.accept(definition("j", checkProfile, 1))
	require.Empty(t, b.starts(), "the link does not admit the order")
	require.Len(t, b.table.agents["a"].pendingStarts, 1)
	b.table.cfg.AdmitLink = nil
	b.clock.Advance(testMaxWorkerLease + testMaxWorkerLease/10)
	b.report("b", message.Report{Full: true, Worker: workerInfo("b")})
	b.register()
	b.tick()
	_, at := onlyEntry(t, b.starts())
	require.Equal(t, "b", at)
}

// Guards against a task that is lost, or placed after all, when its job ends while the task is held.
func TestJobEndsWhileATaskIsHeld(t *testing.T) {
	b := newTestbench(t, 1)
	k, agent, other := b.orderOne(definition("j", checkProfile, 1))
	b.advanceSilently(2*testLease, other)
	b.requireHeld()
	require.True(t, b.table.Cancel(b.now(), "j"))
	b.commit()
	require.Equal(t, job.Cancelled, b.state("j"))
	b.tick()
	require.Empty(t, b.table.unresolvedTasks)
	b.report(agent, message.Report{Session: 2, Full: true, Worker: workerInfo(agent), Running: []message.RunState{{Key: k}}})
	require.Equal(t, []message.StopRun{{Key: k}}, b.orders(agent).Stops, "the run that began late must end")
	b.advanceSilently(2*unresolvedHold, agent, other)
	require.Empty(t, b.starts())
}

// Guards against a gang that begins anew with only some of its members, or never again, because the
// start of one member was not confirmed.
func TestGangWaitsForUnresolvedMember(t *testing.T) {
	b := newTestbench(t, 1)
	b.join("a")
	b.join("b")
	def := definition("j", proofProfile, 2)
	def.Steps[0].Gang, def.Steps[0].Need.MilliCPU = true, 40_000
	b.accept(def)
	started := b.starts()
	require.Len(t, started, 2)
	atA := firstAt(started, "a")
	b.confirm("a", atA)
	b.advanceSilently(2*testLease, "a")
	b.requireHeld()
	b.report("a", message.Report{Ends: []message.RunEnd{runEnd(atA, job.EndStopped, 1)}}) // alone
	b.join("c")
	b.requireHeld()
	b.advanceSilently(unresolvedHold-testLease, "a", "c")
	again := b.starts()
	require.Len(t, again, 2)
	for k := range again {
		require.Equal(t, uint32(2), k.Run)
	}
}

// Guards against a speculative task that waits although its runs may overlap.
func TestSpeculativeTaskIsNotHeld(t *testing.T) {
	b := newTestbench(t, 1)
	def := definition("j", checkProfile, 1)
	def.Steps[0].Speculative = true
	_, _, other := b.orderOne(def)
	require.LessOrEqual(t, b.startedElsewhereAfter(other), testMaxWorkerLease+testMaxWorkerLease/10)
}

// Guards against a long-running task that is held without a line that says why, or is not placed
// again.
func TestHeldLongRunningTaskIsLoggedAndPlacedAgain(t *testing.T) {
	b := newIdleBench(t, 1)
	_, agent, other := b.orderOne(longRunningJob("j", 1))
	b.advanceSilently(testLease, other)
	b.requireIdle(map[string]any{"state": "unconfirmed"})
	b.advanceSilently(2*testLease, other)
	require.Equal(t, IdleCounts{IdleUnresolved: 1}, b.table.Load().Idle)
	b.requireIdle(map[string]any{"state": "unresolved", "agent": agent, "agents": 1., "run": 1.})
	b.advanceSilently(unresolvedHold-2*testLease, other)
	onlyEntry(t, b.starts())
}

// Guards against an occurrence that is never completed, because one of its tasks was held.
func TestHeldTaskOfAnOccurrenceIsPlacedAgain(t *testing.T) {
	b := newTestbench(t, 1)
	def := definition("j", checkProfile, 1)
	def.Occurrences, def.FirstMs, def.IntervalMs = 2, b.now().UnixMilli(), time.Minute.Milliseconds()
	k, _, other := b.orderOne(def)
	b.advanceSilently(unresolvedHold+testLease, other)
	again, _ := onlyEntry(t, b.starts())
	require.Equal(t, k.Task, again.Task)
	b.report(other, message.Report{Ends: []message.RunEnd{runEnd(again, job.EndDone, 1)}})
	b.advanceSilently(time.Minute, other)
	next, _ := onlyEntry(t, b.starts())
	require.Equal(t, 1, next.Task.Occurrence)
}

// Guards against a run that a task gets beside that of another agent of an earlier term, which lists
// it while the task is held, and against a hold that ends with neither.
func TestHeldTaskIsAdoptedFromAnotherAgent(t *testing.T) {
	b := newTestbench(t, 1)
	k, _, other := b.orderOne(definition("j", checkProfile, 1))
	b.advanceSilently(2*testLease, other)
	b.requireHeld()
	b.report(other, message.Report{Session: 2, Full: true, Worker: workerInfo(other), Running: []message.RunState{{Key: k, Unconfirmed: true}}})
	require.Equal(t, other, b.table.task(k.Task).run.agent.id)
	b.join("c")
	b.advanceSilently(3*testLease, "c") // now both may begin it late
	b.requireHeld()
	b.report(other, message.Report{Session: 3, Full: true, Worker: workerInfo(other)})
	b.requireHeld()
	b.advanceSilently(unresolvedHold, "c")
	onlyEntry(t, b.starts())
}

// nextTerm returns a table that has restored a job and the starts that a list names as unresolved. It
// waits for the given agents of earlier terms until their leases end.
func nextTerm(t *testing.T, list AgentLeases, def *job.Definition, leases map[string]EarlierLease) *testbench {
	t.Helper()
	b := newTestbench(t, list.Term+1)
	b.table.Restore(b.now(), []Restored{{Definition: def, Term: list.Term}}, leases)
	b.table.RestoreUnresolved(b.now(), list.Unresolved)
	return b
}

// Guards against two runs of a task (TWICE): a leader that begins while a task is held places it,
// although the unconfirmed start may still be executed.
func TestNextLeaderHoldsUnresolvedStarts(t *testing.T) {
	const silence = 2 * testLease
	before := newTestbench(t, 1)
	def := definition("j", checkProfile, 1)
	k, agent, other := before.orderOne(def)
	before.advanceSilently(silence, other)
	before.requireHeld()
	require.True(t, before.table.AgentLeasesChanged(before.now(), true))
	list := before.take()
	before.table.SetRegistered(list)
	before.advanceSilently(testReportInterval, other)
	require.False(t, before.table.AgentLeasesChanged(before.now(), true), "the times alone need no transaction")
	require.Len(t, list.Unresolved, 1)

	for _, leases := range []map[string]EarlierLease{nil, {other: {End: before.now().Add(2 * unresolvedHold)}}} {
		b := nextTerm(t, list, def, leases)
		b.join(other)
		wait := b.startedElsewhereAfter(other)
		require.GreaterOrEqual(t, wait, unresolvedHold-silence)
		require.LessOrEqual(t, wait, unresolvedHold-silence+unresolvedHold/10)

		b = nextTerm(t, list, def, leases)
		b.join(other)
		b.requireHeld()
		b.report(agent, message.Report{Full: true, Worker: workerInfo(agent), Running: []message.RunState{{Key: k}}})
		require.Equal(t, k.Run, b.table.task(k.Task).run.number, "the run that began late goes on")

		b = nextTerm(t, list, def, leases)
		b.join(other)
		b.report(agent, message.Report{Full: true, Worker: workerInfo(agent)})
		onlyEntry(t, b.starts())
	}
}

// Guards against two runs of a task (TWICE): the hold of a restored task ends while agents of earlier
// terms, which may have a run of it, have not reported.
func TestRestoredHoldEndsWithTheLastOfTheAgents(t *testing.T) {
	def := definition("j", checkProfile, 1)
	list := AgentLeases{Term: 1, Unresolved: []UnresolvedStart{{Task: key("j", 0, 0, 1).Task, Run: 1, Agent: "a", EndsInMs: 1000}}}
	b := nextTerm(t, list, def, leasesEnding(map[string]time.Time{"c": time.Now().Add(time.Hour)}))
	b.table.unconfirmedAgents["c"] = EarlierLease{End: b.now().Add(10 * time.Second)}
	b.join("b")
	require.GreaterOrEqual(t, b.startedElsewhereAfter("b"), 10*time.Second)
}

// Guards against two runs of a task (TWICE): an agent has not confirmed a start when the leader ends or
// hands over, and is not heard again.
func TestListNamesUnconfirmedStarts(t *testing.T) {
	b := newTestbench(t, 1)
	k, agent, other := b.orderOne(definition("j", checkProfile, 1))
	b.register()
	require.Empty(t, b.table.storedLeases.Unresolved, "the agent reports")
	b.advanceSilently((maxMissedReports+1)*testReportInterval, other)
	require.True(t, b.table.AgentLeasesChanged(b.now(), true))
	list := b.take()
	require.Len(t, list.Unresolved, 1)
	require.Equal(t, agent, list.Unresolved[0].Agent)
	b.table.SetRegistered(list)
	b.confirm(agent, k)
	require.Empty(t, b.table.agentLeases(b.now(), true).Unresolved)

	b = newTestbench(t, 1)
	_, agent, _ = b.orderOne(definition("j", checkProfile, 1))
	b.register()
	b.table.Close()
	list = b.take()
	require.Len(t, list.Unresolved, 1)
	require.Equal(t, agent, list.Unresolved[0].Agent)
	require.GreaterOrEqual(t, list.Unresolved[0].EndsInMs, unresolvedHold.Milliseconds())
}

// Guards against a task that is held for good, or whose ends no longer count, because of an odd entry
// in the list.
func TestOddUnresolvedStartsAreBounded(t *testing.T) {
	id := key("j", 0, 0, 1).Task
	for _, u := range []UnresolvedStart{
		{Task: id, Run: 1 << 31, EndsInMs: 1 << 60},
		{Task: id, EndsInMs: -1 << 60},
		{Task: job.TaskID{Job: "j", Step: 7}, EndsInMs: 1},
		{Task: job.TaskID{Job: "j", Occurrence: -1}, EndsInMs: 1},
		{Task: job.TaskID{Job: "unknown"}, EndsInMs: 1},
	} {
		b := nextTerm(t, AgentLeases{Term: 1, Unresolved: []UnresolvedStart{u}}, definition("j", checkProfile, 1), nil)
		b.join("a")
		b.advanceSilently(unresolvedHold+unresolvedHold/10, "a")
		k, _ := onlyEntry(t, b.starts())
		b.report("a", message.Report{Ends: []message.RunEnd{runEnd(k, job.EndDone, 1)}})
		b.commit()
		require.Equal(t, job.Done, b.state("j"))
	}
}
