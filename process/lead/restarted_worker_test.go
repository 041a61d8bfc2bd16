package lead

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/process/jobstore"
	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/process/schedule"
	"camphorhead.example/camphorhead/request/resources"
	"camphorhead.example/camphorhead/version/profile"
)

// longestTestLease is the longest lease of workers that grant longer ones than agents ask for.
const longestTestLease = 6 * time.Second

// newProcessWithWorkers is newProcess for such workers.
func newProcessWithWorkers(t *testing.T, id string, store *memoryStore, clock clockwork.Clock) *Node {
	t.Helper()
	n := newProcess(t, id, store, clock)
	n.cfg.Timing.MaxWorkerLease = longestTestLease
	n.cfg.Profile = func(string) (profile.Profile, bool) { return profile.Profile{Service: "s", MaxAttempts: 3}, true }
	n.cfg.Teams = func() map[string]profile.Team { return nil }
	return n
}

// reportRestart reports to a term that the worker of agent "a" has restarted.
func reportRestart(t *testing.T, l *leaderTerm) {
	t.Helper()
	report := message.Report{Agent: "a", Session: 1, Sequence: 3, Worker: &message.WorkerInfo{ID: "a", StartedMs: 2, Reachable: true}}
	require.NotZero(t, l.table.ApplyReport(l.node.cfg.Clock.Now(), &report).LeaseMs)
}

// settleAgent lets an agent report to a term for longer than the longest lease of its worker.
func settleAgent(t *testing.T, l *leaderTerm, clock *clockwork.FakeClock) {
	t.Helper()
	join(t, l, "a")
	clock.Advance(longestTestLease + longestTestLease/10)
	require.NotZero(t, l.table.ApplyReport(clock.Now(), &message.Report{Agent: "a", Session: 1, Sequence: 2}).LeaseMs)
	l.write(t.Context())
}

// Guards against two runs of a task (TWICE): the agent of a restarted worker, which holds the longest
// lease by a call to the instance before, goes silent together with the leader, and the next leader
// waits no longer than for the grant.
func TestNextLeaderWaitsForARestartedWorker(t *testing.T) {
	clock, store := clockwork.NewFakeClock(), newMemoryStore(t)
	first := claimTerm(t, newProcessWithWorkers(t, "one", store, clock))
	settleAgent(t, first, clock)
	reportRestart(t, first)
	restartedAt := clock.Now()
	first.write(t.Context())
	next := claimTerm(t, newProcessWithWorkers(t, "one", store, clock)) // the same entry: its earlier process has ended
	waitForEarlier(t, next, clock)
	require.GreaterOrEqual(t, clock.Since(restartedAt), longestTestLease)
	require.Less(t, clock.Since(restartedAt), longestTestLease+longestTestLease/10)
}

// Guards against two runs of a task (TWICE): a worker restarts while its agent reports to a leader
// that the store and the other entries do not reach, and the agent goes silent before that leader's
// right to grant leases ends.
func TestNextLeaderWaitsForWorkersOfACutOffLeader(t *testing.T) {
	clock, store := clockwork.NewFakeClock(), newMemoryStore(t)
	cutOff := claimTerm(t, newProcessWithWorkers(t, "one", store, clock))
	settleAgent(t, cutOff, clock)
	clock.Advance(testTiming.LeaderTimeout)
	next := claimTerm(t, newProcessWithWorkers(t, "two", store, clock))
	wait := waitForEarlier(t, next, clock)
	require.GreaterOrEqual(t, wait, testTiming.Outage+longestTestLease)
	require.Less(t, wait, testTiming.Outage+longestTestLease+longestTestLease/10)
}

// Guards against tasks that wait for the longest lease of a worker that has not restarted, when the
// previous leader is known to have ended.
func TestNextLeaderWaitsForTheGrantOfAKnownWorker(t *testing.T) {
	clock, store := clockwork.NewFakeClock(), newMemoryStore(t)
	settleAgent(t, claimTerm(t, newProcessWithWorkers(t, "one", store, clock)), clock)
	wait := waitForEarlier(t, claimTerm(t, newProcessWithWorkers(t, "one", store, clock)), clock)
	require.GreaterOrEqual(t, wait, testTiming.Lease)
	require.Less(t, wait, testTiming.Lease+testTiming.Lease/10)
}

// Guards against a wait that the list of agents makes too short or too long, for workers that have
// restarted.
func TestWaitFollowsTheRestartLeasesOfTheList(t *testing.T) {
	now, timing := time.Now(), testTiming
	timing.MaxWorkerLease = longestTestLease
	longest := timing.Outage + longestTestLease
	for _, c := range []struct {
		name             string
		term             uint64
		ms               int64
		earliest, latest time.Duration
	}{
		{"of the previous leader", 4, 5000, 5 * time.Second, longest},
		{"of a leader before", 3, 5000, longest, longest},
		{"odd", 4, 1 << 60, longest, longest},
		{"odd", 4, -7, 0, longest},
	} {
		list := schedule.AgentLeases{Term: c.term, Agents: []schedule.AgentLease{{Agent: "a", RestartEndsInMs: c.ms}}}
		lease := earlierLeases(now, &list, 4, &timing)["a"]
		for _, bound := range []struct{ wait, want time.Duration }{{lease.Earliest.Sub(now), c.earliest}, {lease.End.Sub(now), c.latest}} {
			require.GreaterOrEqual(t, bound.wait, bound.want, c.name)
			require.Less(t, bound.wait, bound.want+longestTestLease/10, c.name)
		}
	}
}

// Guards against two runs of a task (TWICE): an agent goes silent before it has confirmed a start, and
// the leader changes before the time is over in which the start may be executed late.
func TestUnresolvedStartIsHeldAcrossLeaders(t *testing.T) {
	for name, end := range map[string]func(l *leaderTerm, clock *clockwork.FakeClock){
		"handed over": func(l *leaderTerm, clock *clockwork.FakeClock) { handOver(t, l, clock) },
		"killed":      func(*leaderTerm, *clockwork.FakeClock) {},
	} {
		t.Run(name, func(t *testing.T) {
			clock, store := clockwork.NewFakeClock(), newMemoryStore(t)
			_, created, err := jobstore.New(store).Create(t.Context(), testJob("j"), 0)
			require.NoError(t, err)
			require.True(t, created)
			first := claimTerm(t, newProcessWithWorkers(t, "one", store, clock))
			report := message.Report{Agent: "a", Session: 1, Sequence: 1, Full: true, Worker: &message.WorkerInfo{
				ID: "a", Service: "s", Reachable: true, Capacity: resources.Resources{MilliCPU: 8000, MemoryMB: 8000},
			}}
			require.NotZero(t, first.table.ApplyReport(clock.Now(), &report).LeaseMs)
			first.write(t.Context()) // and orders the run
			require.Equal(t, 1, first.table.Load().Runs)
			silentSince := clock.Now()
			clock.Advance(4 * testTiming.ReportInterval)
			first.write(t.Context())
			end(first, clock)

			next := claimTerm(t, newProcessWithWorkers(t, "one", store, clock))
			waitForEarlier(t, next, clock)
			for next.table.Load().Ready == 0 {
				require.Less(t, clock.Since(silentSince), time.Minute)
				clock.Advance(100 * time.Millisecond)
				next.table.ConfirmTerm(clock.Now(), schedule.ConfirmedByStore)
				next.table.Tick(clock.Now())
			}
			hold := testTiming.Lease + platform.LateCallWindow + longestTestLease
			require.GreaterOrEqual(t, clock.Since(silentSince), hold)
			require.LessOrEqual(t, clock.Since(silentSince), hold+hold/10)
		})
	}
}
