package schedule

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/request/job"
)

// Guards against one ended job with an end in the far future, after which no record of any
// job is removed from the store any more.
func TestEndInTheFutureKeepsNoRecords(t *testing.T) {
	b := newTestbench(t, 2)
	b.table.RestoreEnded([]EndedJob{
		{ID: "odd", Profile: proofProfile, State: job.Done, EndedMs: math.MaxInt64},
		{ID: "old", Profile: proofProfile, State: job.Done, EndedMs: b.now().UnixMilli()},
	})
	b.clock.Advance(2 * time.Minute)
	require.ElementsMatch(t, []string{"old", "odd"}, b.table.RemoveExpired(b.now(), 10))
}

// Guards against a queue length that leaves out jobs of which nothing has begun: the start of
// their first run was ordered, but the worker has not accepted it.
func TestJobWaitsUntilARunIsConfirmed(t *testing.T) {
	b := newTestbench(t, 1)
	b.join("a")
	queueLength := func() int {
		_, waiting := b.table.Snapshot()
		require.Len(t, waiting, 1)
		return waiting[0].Waiting
	}
	b.accept(definition("j", checkProfile, 1))
	b.accept(definition("k", checkProfile, 1))
	require.Len(t, b.starts(), 2)
	require.Equal(t, 2, queueLength())
	b.report("a", message.Report{Running: []message.RunState{{Key: key("j", 0, 0, 1), PacePct: fullPacePct, Unconfirmed: true}}})
	require.Equal(t, 2, queueLength())
	b.report("a", message.Report{Running: []message.RunState{{Key: key("j", 0, 0, 1), PacePct: fullPacePct}}})
	require.Equal(t, 1, queueLength())
	b.report("a", message.Report{Ends: []message.RunEnd{runEnd(key("k", 0, 0, 1), job.EndDone, 1)}})
	require.Zero(t, queueLength(), "a run that ended before it was reported as running")
}

// Guards against a task that is done by a run which counts as ended because its lease expired: the
// next leader has no other record of that, and the agent's next process reports the run as done.
func TestExpiredRunsAreKnownToTheNextLeader(t *testing.T) {
	for _, sessionExpires := range []bool{true, false} {
		b := newTestbench(t, 1)
		b.join("a")
		def := definition("j", checkProfile, 1)
		b.accept(def)
		k, _ := onlyEntry(t, b.starts())
		b.report("a", message.Report{Running: []message.RunState{{Key: k, PacePct: fullPacePct}}})
		if sessionExpires {
			b.clock.Advance(2 * testLease)
			b.tick()
		} else {
			b.report("a", message.Report{Ends: []message.RunEnd{runEnd(k, job.EndLeaseExpired, 1)}})
		}
		records := b.table.TakeRecords(10)
		require.Len(t, records, 1)

		next := newTestbench(t, 2)
		next.table.Restore(next.now(), []Restored{{Definition: def, Progress: &records[0].Progress, Term: 1}}, leasesEnding(map[string]time.Time{"a": next.now().Add(time.Minute)}))
		next.report("a", message.Report{
			Session: 2, Full: true, Worker: workerInfo("a"), Ends: []message.RunEnd{runEnd(k, job.EndDone, 1)},
		})
		next.register()
		again, _ := onlyEntry(t, next.starts())
		require.Greater(t, again.Run, k.Run)
	}
}

// Guards against a job that is shown as running for good: it ended in an earlier term whose leader
// wrote the record but did not publish the state, and the entries keep the earlier state.
func TestRestoredEndsArePublished(t *testing.T) {
	b := newTestbench(t, 2)
	b.table.RestoreEnded([]EndedJob{{ID: "j", Profile: checkProfile, State: job.Done, EndedMs: b.now().UnixMilli()}})
	jobs, _ := b.table.Updates()
	require.Equal(t, []message.JobUpdate{{Job: "j", Profile: checkProfile, State: job.Done}}, jobs)
	jobs, _ = b.table.Updates()
	require.Empty(t, jobs)
}
