package schedule

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/request/job"
)

// Guards against tasks of the previous term that are started although an agent that may
// run them has not reported and its lease has not expired.
func TestNewLeaderWaitsForAgentsOrTheirLeases(t *testing.T) {
	b := newTestbench(t, 2)
	def := definition("j", checkProfile, 1)
	dead := b.now().Add(testLease)
	b.table.Restore(b.now(), []Restored{{Definition: def, Term: 1}}, leasesEnding(map[string]time.Time{"a": dead, "b": dead}))
	b.report("b", message.Report{Session: 1, Full: true, Worker: workerInfo("b")})
	b.register()
	require.Empty(t, b.starts())
	b.accept(definition("new", checkProfile, 1))
	k, _ := onlyEntry(t, b.starts())
	require.Equal(t, "new", k.Task.Job, "a job of this term does not wait for agents")

	b.clock.Advance(testLease + time.Millisecond)
	b.report("b", message.Report{})
	b.tick()
	k, _ = onlyEntry(t, b.starts())
	require.Equal(t, "j", k.Task.Job)
	require.Greater(t, k.Run, uint32(runsPerTerm), "run numbers of the previous term must not be used again")
}

// Guards against two runs with one number. A leader that has been replaced and has not
// detected it may read a job from the store that was accepted in the newer term; the
// newer leader starts that job as well.
func TestJobOfANewerTermIsNotStarted(t *testing.T) {
	b := newTestbench(t, 1)
	b.join("a")
	require.False(t, b.table.Accept(b.now(), definition("j", checkProfile, 1), 2, false))
	require.Empty(t, b.starts())
}

// Guards against a job whose acceptance or end is in no log: a leader that was killed may
// not have written its last log lines.
func TestRecentJobsAreLoggedByTheNextLeader(t *testing.T) {
	b := newTestbench(t, 2)
	var out bytes.Buffer
	log, err := event.New(&out, "json", "info")
	require.NoError(t, err)
	b.table.cfg.Log = log
	recently, earlier := b.now().Add(-time.Second).UnixMilli(), b.now().Add(-2*relogWindow).UnixMilli()
	var jobs []Restored
	for id, at := range map[string]int64{"new": recently, "old": earlier} {
		def := definition(id, checkProfile, 1)
		def.AcceptedMs = at
		jobs = append(jobs, Restored{Definition: def, Term: 1})
	}
	b.table.Restore(b.now(), jobs, nil)
	b.table.RestoreEnded([]EndedJob{
		{ID: "ended", State: job.Done, EndedMs: recently}, {ID: "ended-before", State: job.Done, EndedMs: earlier},
	})
	require.Contains(t, out.String(), `"name":"job_queued","job":"new"`)
	require.Contains(t, out.String(), `"name":"job_finished","job":"ended","state":"done"`)
	require.NotContains(t, out.String(), `"job":"old"`)
	require.NotContains(t, out.String(), `"job":"ended-before"`)
}

// Guards against a task of an earlier term that is started a second time because an agent
// which has not reported here counts as expired, although it follows the leader of a newer
// term, which extends its leases: this leader is cut off from the store.
func TestRestoredTasksWaitForConfirmedTerm(t *testing.T) {
	b := newTestbench(t, 2)
	until := b.now().Add(testLease)
	b.table.Restore(b.now(), []Restored{{Definition: definition("j", checkProfile, 1), Term: 1}}, leasesEnding(map[string]time.Time{"a": until, "b": until}))
	b.report("b", message.Report{Session: 1, Full: true, Worker: workerInfo("b")})
	b.register()
	b.table.ConfirmTerm(b.now(), ConfirmedByStore)
	b.clock.Advance(testLease + time.Millisecond)
	b.table.Tick(b.now())
	b.report("b", message.Report{Session: 2, Full: true, Worker: workerInfo("b")})
	require.Empty(t, b.starts())
	require.True(t, b.table.NeedsTermConfirmation())
	b.tick()
	require.False(t, b.table.NeedsTermConfirmation())
	_, agent := onlyEntry(t, b.starts())
	require.Equal(t, "b", agent)
}

// Guards against an agent that counts as one which follows this term, but has not seen it: the
// reply to its full report may be lost, and it may then accept grants of an earlier term that it
// has not seen either.
func TestFullReportMustKnowTheTerm(t *testing.T) {
	b := newTestbench(t, 3)
	until := b.now().Add(time.Minute)
	b.table.Restore(b.now(), []Restored{{Definition: definition("j", checkProfile, 1), Term: 1}}, leasesEnding(map[string]time.Time{"a": until}))
	full := message.Report{Term: 1, Session: 1, Full: true, Worker: workerInfo("a")}
	reply := b.report("a", full)
	require.True(t, reply.NeedFull)
	require.Zero(t, reply.LeaseMs)
	require.Equal(t, uint64(3), reply.Term)
	require.NotZero(t, b.take().Agents[0].EndsInMs, "leases of earlier terms may last on")
	full.Term, full.Session = reply.Term, 2
	require.NotZero(t, b.report("a", full).LeaseMs)
	require.Equal(t, []AgentLease{{Agent: "a", RestartEndsInMs: restartLease.Milliseconds(), WorkerStartedMs: 1}}, b.take().Agents)
}
