package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorhead.example/camphorhead/connection/message"
)

// ids returns the agents of a list.
func (l *AgentLeases) ids() []string {
	ids := []string{}
	for _, a := range l.Agents {
		ids = append(ids, a.Agent)
	}
	return ids
}

// leasesEnding returns leases of earlier terms that end at the given times.
func leasesEnding(at map[string]time.Time) map[string]EarlierLease {
	leases := map[string]EarlierLease{}
	for agent, end := range at {
		leases[agent] = EarlierLease{End: end}
	}
	return leases
}

// restoreMissing restores a task whose agent "a" has not reported; its leases end after wait. The
// store contains the first list, which gives agents time to find the new leader.
func restoreMissing(t *testing.T, wait time.Duration) *testbench {
	t.Helper()
	b := newTestbench(t, 2)
	b.table.Restore(b.now(), []Restored{{Definition: definition("j", checkProfile, 1), Term: 1}}, leasesEnding(map[string]time.Time{"a": b.now().Add(wait)}))
	list := b.take()
	require.False(t, list.Agents[0].Withheld)
	b.table.SetRegistered(list)
	return b
}

// take takes the list of agents, which must have changed.
func (b *testbench) take() AgentLeases {
	b.t.Helper()
	list, changed := b.table.TakeAgentLeases(b.now(), true)
	require.True(b.t, changed)
	return list
}

// Guards against two runs of a task: the next leader waits no longer for a missing agent than the
// list says, so the agent must get neither a lease nor runs before the store contains it again.
func TestMissingAgentGetsNoLeaseBeforeItIsListedAgain(t *testing.T) {
	b := restoreMissing(t, 3*testLease)
	b.clock.Advance(testLease / withholdDivisor)
	list := b.take() // the write fails or takes effect late
	require.Equal(t, []AgentLease{{Agent: "a", EndsInMs: (3*testLease - testLease/withholdDivisor).Milliseconds(), Withheld: true}}, list.Agents)

	full := message.Report{Session: 2, Full: true, Worker: workerInfo("a")}
	pending := func(r message.Report) {
		t.Helper()
		reply := b.report("a", r)
		require.True(t, reply.LeasePending)
		require.Zero(t, reply.LeaseMs)
		require.Empty(t, b.starts())
	}
	pending(full)
	b.table.SetRegistered(list) // the write of the earlier list is confirmed now
	pending(message.Report{Session: 2})
	list = b.take()
	require.Equal(t, []AgentLease{{Agent: "a", RestartEndsInMs: restartLease.Milliseconds(), WorkerStartedMs: 1}}, list.Agents)
	pending(message.Report{Session: 2})
	b.table.SetRegistered(list)
	reply := b.report("a", message.Report{Session: 2})
	require.False(t, reply.LeasePending)
	require.Equal(t, testLease.Milliseconds(), reply.LeaseMs)
	onlyEntry(t, b.starts())
}

// Guards against two runs of a task: an agent that an earlier leader reported as missing gets a
// lease from the first report on, although the store still tells the next leader not to wait.
func TestLeasesStayWithheldInTheNextTerm(t *testing.T) {
	b := newTestbench(t, 3)
	b.table.Restore(b.now(), nil, map[string]EarlierLease{"a": {End: b.now().Add(testLease), Withheld: true}})
	require.True(t, b.take().Agents[0].Withheld)
	require.True(t, b.report("a", message.Report{Session: 2, Full: true, Worker: workerInfo("a")}).LeasePending)
}

// Guards against two runs of a task: a lease that is granted, or a run that is ordered, after the
// list that tells the next leader when the leases end.
func TestClosedTableGrantsAndOrdersNothing(t *testing.T) {
	b := newTestbench(t, 1)
	b.join("a")
	b.clock.Advance(testMaxWorkerLease)
	b.report("a", message.Report{})
	b.clock.Advance(time.Second)
	b.accept(definition("j", checkProfile, 1))
	b.table.Close()
	require.False(t, b.table.ClosedDurably())
	list := b.take()
	require.True(t, list.Closed)
	require.Equal(t, []AgentLease{{Agent: "a", EndsInMs: SafeLeaseEnd(b.now().Add(testLease-time.Second), testLease).Sub(b.now()).Milliseconds()}}, list.Agents)
	reply := b.report("a", message.Report{})
	require.Zero(t, reply.LeaseMs)
	require.False(t, reply.LeasePending)
	require.Empty(t, b.starts())
	b.table.SetRegistered(list)
	require.True(t, b.table.ClosedDurably())
}

// Guards against a next leader that waits for leases as if they had just been granted: the list in
// the store has to follow the time.
func TestListOfMissingAgentsIsRefreshed(t *testing.T) {
	b := restoreMissing(t, 3*testLease)
	b.clock.Advance(testLease)
	b.table.SetRegistered(b.take())
	require.False(t, b.table.AgentLeasesChanged(b.now(), true))
	_, changed := b.table.TakeAgentLeases(b.now(), true)
	require.False(t, changed)
	b.clock.Advance(leasesRefresh)
	require.False(t, b.table.AgentLeasesChanged(b.now(), true), "the times alone need no transaction")
	require.Equal(t, (2*testLease - leasesRefresh).Milliseconds(), b.take().Agents[0].EndsInMs)
}

// Guards against a leader that calls the store every few milliseconds while it is down: a list that
// differs in its times only can wait for the next heartbeat.
func TestFailedRefreshOfTheListWaits(t *testing.T) {
	b := restoreMissing(t, 3*testLease)
	b.clock.Advance(testLease)
	b.table.SetRegistered(b.take())
	b.clock.Advance(leasesRefresh)
	b.take() // and the write fails
	require.False(t, b.table.AgentLeasesChanged(b.now(), true))
}

// Guards against an agent that reports every 100 ms for good, because its worker drains and its
// lease stays pending.
func TestPendingLeaseOfADrainingWorkerIsGranted(t *testing.T) {
	b := restoreMissing(t, 3*testLease)
	b.clock.Advance(testLease)
	b.table.SetRegistered(b.take())
	draining := workerInfo("a")
	draining.Draining = true
	require.True(t, b.report("a", message.Report{Session: 2, Full: true, Worker: draining}).LeasePending)
	b.table.SetRegistered(b.take())
	require.NotZero(t, b.report("a", message.Report{Session: 2}).LeaseMs)
	require.Empty(t, b.take().Agents, "the next leader need not wait for it")
}

// Guards against two runs of a task: an agent that the store does not contain lists a run, as after
// one that it had given up has reappeared, and the next leader would not wait for its lease.
func TestUnlistedAgentWithRunsGetsNoLease(t *testing.T) {
	b := newTestbench(t, 2)
	b.table.Restore(b.now(), []Restored{{Definition: definition("j", checkProfile, 1), Term: 1}}, nil)
	b.table.SetRegistered(b.take())
	running := []message.RunState{{Key: key("j", 0, 0, 1), PacePct: fullPacePct}}
	reply := b.report("a", message.Report{Full: true, Worker: workerInfo("a"), Running: running})
	require.True(t, reply.LeasePending)
	require.Zero(t, reply.LeaseMs)
	b.table.SetRegistered(b.take())
	require.NotZero(t, b.report("a", message.Report{}).LeaseMs)
}
