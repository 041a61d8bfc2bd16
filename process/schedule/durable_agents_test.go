package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/request/job"
)

// Guards against a run that the next leader does not wait for: the agent returns while a
// list of agents that lacks it is being written to the store (found in a hunt of a scratch
// site, day file deploy/days/cuts.toml, seed 178953326992).
func TestReturningAgentIsRegisteredAgain(t *testing.T) {
	b := newTestbench(t, 1)
	b.join("a")
	b.join("b")
	b.clock.Advance(2 * testLease)
	b.report("b", message.Report{})
	b.tick() // the session of a has expired
	list, changed := b.table.TakeAgentLeases(b.now(), true)
	require.True(t, changed)
	require.Equal(t, []string{"b"}, list.ids())

	b.report("a", message.Report{Session: 2, Full: true, Worker: workerInfo("a")})
	def := definition("j", checkProfile, 2)
	def.Steps[0].Spread = 1
	b.accept(def)
	for _, agent := range b.starts() {
		require.Equal(t, "b", agent, "the store may no longer contain a")
	}

	// The write failed: the store still has the previous list, which the table does not know.
	list, changed = b.table.TakeAgentLeases(b.now(), true)
	require.True(t, changed)
	require.Equal(t, []string{"a", "b"}, list.ids())
	b.table.SetRegistered(list)
	b.tick()
	_, agent := onlyEntry(t, b.starts())
	require.Equal(t, "a", agent)
	_, changed = b.table.TakeAgentLeases(b.now(), true)
	require.False(t, changed)
}

// Guards against tasks that wait, after each change of the leader, for an agent that has left: the
// next leader waits for each agent in the store's list that may have runs (review, case 4).
func TestAgentOfADrainedWorkerIsNotWaitedFor(t *testing.T) {
	b := newTestbench(t, 1)
	b.join("a")
	b.accept(definition("j", checkProfile, 1))
	k, _ := onlyEntry(t, b.starts())
	b.join("b")
	durable := func() []string {
		agents, changed := b.table.TakeAgentLeases(b.now(), true)
		if changed {
			b.table.SetRegistered(agents)
		}
		return agents.ids()
	}
	draining := workerInfo("a")
	draining.Draining = true
	b.report("a", message.Report{Worker: draining})
	require.Equal(t, []string{"a", "b"}, durable(), "a run of the worker may be alive")
	b.report("a", message.Report{Ends: []message.RunEnd{runEnd(k, job.EndLeaseExpired, 1)}})
	require.Equal(t, []string{"a", "b"}, durable(), "the end is not durable")
	b.commit()
	require.Equal(t, []string{"b"}, durable())
	_, at := onlyEntry(t, b.starts())
	require.Equal(t, "b", at)

	next := workerInfo("a")
	next.StartedMs++
	b.report("a", message.Report{Worker: next})
	b.accept(definition("k", checkProfile, 40))
	for _, at := range b.starts() {
		require.Equal(t, "b", at, "the agent gets no runs before it is in the list")
	}
	require.Equal(t, []string{"a", "b"}, durable())
}

// Guards against a task that runs again although it is done: the store has lost the agent of a
// draining worker from its list before it contains the end of the worker's last run, so the next
// leader does not wait for the agent, which reports the end to it after the second start.
func TestAgentWithAnEndThatIsNotDurableIsWaitedFor(t *testing.T) {
	b := newTestbench(t, 1)
	b.join("a")
	def := definition("j", checkProfile, 1)
	b.accept(def)
	k, _ := onlyEntry(t, b.starts())
	draining := workerInfo("a")
	draining.Draining = true
	b.report("a", message.Report{Worker: draining, Ends: []message.RunEnd{runEnd(k, job.EndDone, 1)}})
	list, _ := b.table.TakeAgentLeases(b.now(), true)

	next := newTestbench(t, 2) // the previous leader has written the list, but not the end
	leases := map[string]time.Time{}
	for _, agent := range list.ids() {
		leases[agent] = next.now().Add(testLease)
	}
	next.table.Restore(next.now(), []Restored{{Definition: def, Term: 1}}, leasesEnding(leases))
	next.join("b")
	require.Empty(t, next.starts(), "the run may be alive or done")
	next.report("a", message.Report{Session: 2, Full: true, Worker: draining, Ends: []message.RunEnd{runEnd(k, job.EndDone, 1)}})
	require.Empty(t, next.starts())
	next.commit()
	require.Equal(t, job.Done, next.state("j"))
}
