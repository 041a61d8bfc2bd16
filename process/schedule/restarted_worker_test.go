package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/request/job"
)

// restartLease is how long a worker instance that has just been reported may hold a lease by a call to
// an earlier one.
const restartLease = testMaxWorkerLease + testMaxWorkerLease*4/100

// confirm reports the runs of an agent as confirmed.
func (b *testbench) confirm(agent string, keys ...job.RunKey) {
	b.t.Helper()
	r := message.Report{}
	for _, k := range keys {
		r.Running = append(r.Running, message.RunState{Key: k, PacePct: fullPacePct})
	}
	b.report(agent, r)
}

// startOne joins the agents "a" and "b" and starts a confirmed run, and returns the run, its agent
// and the other one.
func (b *testbench) startOne() (k job.RunKey, agent, other string) {
	b.t.Helper()
	k, agent, other = b.orderOne(definition("j", checkProfile, 1))
	b.confirm(agent, k)
	return k, agent, other
}

// orderOne is startOne for a given job of one task, whose run is not confirmed.
func (b *testbench) orderOne(def *job.Definition) (k job.RunKey, agent, other string) {
	b.t.Helper()
	b.join("a")
	b.join("b")
	b.accept(def)
	k, agent = onlyEntry(b.t, b.starts())
	return k, agent, map[string]string{"a": "b", "b": "a"}[agent]
}

// startedElsewhereAfter lets time pass, in which only one agent reports, until a task is started
// there, and returns how long that took.
func (b *testbench) startedElsewhereAfter(reporting string) time.Duration {
	b.t.Helper()
	began := b.now()
	for {
		b.clock.Advance(20 * time.Millisecond)
		b.report(reporting, message.Report{})
		b.tick()
		if started := b.starts(); len(started) > 0 {
			return b.now().Sub(began)
		}
		require.Less(b.t, b.now().Sub(began), time.Minute)
	}
}

// Guards against two runs of a task (TWICE): its worker restarts under its ID and holds the longest
// lease, by a call that was made for the instance before; the agent reports the new instance and
// goes silent, and the task is started elsewhere after the grant.
func TestRunsOfARestartedWorkerOutliveTheGrant(t *testing.T) {
	b := newTestbench(t, 1)
	k, agent, other := b.startOne()
	b.clock.Advance(time.Minute)
	restarted := workerInfo(agent)
	restarted.StartedMs = 2
	b.report(agent, message.Report{Worker: restarted, Running: []message.RunState{{Key: k}}})
	wait := b.startedElsewhereAfter(other)
	require.GreaterOrEqual(t, wait, testMaxWorkerLease, "time from the report of the new instance")
	require.LessOrEqual(t, wait, testMaxWorkerLease+testMaxWorkerLease/10)
}

// Guards against two runs of a task (TWICE): a new leader does not know whether the worker of an
// agent has restarted just before the agent's first report, after which the agent goes silent.
func TestRunsOfANewAgentOutliveTheGrant(t *testing.T) {
	b := newTestbench(t, 2)
	b.table.Restore(b.now(), []Restored{{Definition: definition("j", checkProfile, 1), Term: 1}},
		leasesEnding(map[string]time.Time{"a": b.now().Add(testLease)}))
	b.join("b")
	b.report("a", message.Report{Full: true, Worker: workerInfo("a"), Running: []message.RunState{{Key: key("j", 0, 0, 1)}}})
	require.GreaterOrEqual(t, b.startedElsewhereAfter("b"), testMaxWorkerLease, "time from the first report of the agent")
}

// Guards against tasks that wait for the longest lease of a worker although it has not restarted.
func TestRunsOfAKnownWorkerEndWithTheGrant(t *testing.T) {
	b := newTestbench(t, 1)
	k, agent, other := b.startOne()
	b.clock.Advance(testMaxWorkerLease)
	b.confirm(agent, k)
	wait := b.startedElsewhereAfter(other)
	require.GreaterOrEqual(t, wait, testLease)
	require.LessOrEqual(t, wait, testLease+testLease/10)
}

// Guards against two runs of a task (TWICE): the list of a closed table tells the next leader that
// the runs at a restarted worker end with the grant.
func TestClosedListHasTheLeasesOfRestartedWorkers(t *testing.T) {
	b := newTestbench(t, 1)
	b.join("a")
	b.table.Close()
	list := b.take()
	require.GreaterOrEqual(t, list.Agents[0].EndsInMs, testMaxWorkerLease.Milliseconds())
}

// Guards against two runs of a task (TWICE): the list does not tell the next leader that a worker has
// restarted, or only with a later change. Guards against a write of the list for each worker whose
// lease has ended since, and against a time that stays in the store for good.
func TestListNamesTheLeasesOfRestartedWorkers(t *testing.T) {
	b := newTestbench(t, 1)
	b.join("a")
	b.clock.Advance(testMaxWorkerLease)
	b.report("a", message.Report{})
	b.register()
	require.Equal(t, []AgentLease{{Agent: "a"}}, b.table.storedLeases.Agents)

	restarted := workerInfo("a")
	restarted.StartedMs = 2
	b.report("a", message.Report{Worker: restarted})
	require.True(t, b.table.AgentLeasesChanged(b.now(), true))
	list := b.take()
	require.Equal(t, []AgentLease{{Agent: "a", RestartEndsInMs: restartLease.Milliseconds(), WorkerStartedMs: 2}}, list.Agents)
	b.table.SetRegistered(list)

	b.clock.Advance(testReportInterval)
	again := workerInfo("a")
	again.StartedMs = 3
	b.report("a", message.Report{Worker: again})
	require.True(t, b.table.AgentLeasesChanged(b.now(), true), "its lease ends later than that of the instance in the list")
	b.table.SetRegistered(b.take())

	b.clock.Advance(testLease)
	b.report("a", message.Report{})
	require.False(t, b.table.AgentLeasesChanged(b.now(), true))
	require.Equal(t, []AgentLease{{Agent: "a"}}, b.take().Agents)
}
