package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/request/job"
)

// Guards against two runs of one task in a repeating job: an occurrence becomes due while
// agents may still follow the previous leader, which starts it too (found in a hunt of a
// scratch site with timed jobs, day file deploy/days/cuts.toml, seed 944913362184).
func TestDueOccurrenceOfEarlierTermWaitsForAgents(t *testing.T) {
	b := newTestbench(t, 2)
	def := definition("j", checkProfile, 1)
	def.Occurrences, def.FirstMs, def.IntervalMs = 2, b.now().Add(time.Second).UnixMilli(), 60_000
	dead := b.now().Add(3 * time.Second)
	b.table.Restore(b.now(), []Restored{{Definition: def, Term: 1}}, leasesEnding(map[string]time.Time{"a": dead, "b": dead}))
	b.report("b", message.Report{Session: 1, Full: true, Worker: workerInfo("b")})
	b.register()
	b.clock.Advance(1100 * time.Millisecond)
	b.report("b", message.Report{})
	b.tick()
	require.Empty(t, b.starts(), "agent a may have a run of the occurrence")

	b.clock.Advance(2 * time.Second)
	b.report("b", message.Report{})
	b.tick()
	k, _ := onlyEntry(t, b.starts())
	require.Equal(t, key("j", 0, 0, k.Run).Task, k.Task)
	require.Greater(t, k.Run, uint32(runsPerTerm))

	b.report("b", message.Report{Ends: []message.RunEnd{runEnd(k, job.EndDone, 1)}})
	b.clock.Advance(time.Minute)
	b.report("b", message.Report{})
	b.tick()
	k, _ = onlyEntry(t, b.starts())
	require.Equal(t, 1, k.Task.Occurrence, "a later occurrence does not wait for agents")
}

// Guards against two runs of one task in a repeating job when the clock of a new leader is
// behind that of an earlier one, which has started an occurrence that is not due here yet: its
// run was stopped as one of an unknown task, was not in the table, and the occurrence was
// started when it became due.
func TestRunOfAnOccurrenceThatIsNotDueIsAdopted(t *testing.T) {
	b := newTestbench(t, 2)
	def := definition("j", checkProfile, 1)
	def.Occurrences, def.FirstMs, def.IntervalMs = 3, b.now().Add(time.Second).UnixMilli(), 60_000
	until := b.now().Add(time.Minute)
	b.table.Restore(b.now(), []Restored{{Definition: def, Term: 1}}, leasesEnding(map[string]time.Time{"a": until}))
	k := key("j", 0, 0, 1)
	b.report("a", message.Report{Session: 1, Full: true, Worker: workerInfo("a"), Running: []message.RunState{{Key: k, PacePct: fullPacePct}}})
	b.register()
	require.Empty(t, b.orders("a").Stops)
	b.clock.Advance(time.Second)
	b.report("a", message.Report{Running: []message.RunState{{Key: k, PacePct: fullPacePct}}})
	b.tick()
	require.Empty(t, b.starts(), "the run of the earlier leader goes on")
	b.report("a", message.Report{Ends: []message.RunEnd{runEnd(k, job.EndDone, 1)}})
	b.clock.Advance(time.Minute)
	b.report("a", message.Report{})
	b.tick()
	k, _ = onlyEntry(t, b.starts())
	require.Equal(t, 1, k.Task.Occurrence)
}

// Guards against an end that is acknowledged although the next leader will not know of it: the job
// has failed here, which is not durable, and the occurrence of the reported run was started by an
// earlier leader whose clock was ahead, so this one has not created it.
func TestEndOfAnUnknownOccurrenceWaitsForTheEndOfItsJob(t *testing.T) {
	b := newTestbench(t, 2)
	def := definition("j", proofProfile, 1) // two attempts
	def.Occurrences, def.FirstMs, def.IntervalMs = 2, b.now().UnixMilli(), time.Minute.Milliseconds()
	until := b.now().Add(testLease)
	b.table.Restore(b.now(), []Restored{{Definition: def, Term: 1}}, leasesEnding(map[string]time.Time{"a": until, "b": until}))
	b.report("a", message.Report{Full: true, Worker: workerInfo("a"), Ends: []message.RunEnd{
		runEnd(key("j", 0, 0, 1), job.EndFailed, 1), runEnd(key("j", 0, 0, 2), job.EndFailed, 2),
	}})
	done := runEnd(key("j", 0, 0, 1), job.EndDone, 1)
	done.Key.Task.Occurrence = 1
	reply := b.report("b", message.Report{Full: true, Worker: workerInfo("b"), Ends: []message.RunEnd{done}})
	require.Zero(t, reply.Recorded, "the store contains an unfinished job")
	b.commit()
	require.Equal(t, job.Failed, b.state("j"))
	require.Equal(t, uint64(1), b.report("b", message.Report{}).Recorded)
}
