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

// Guards against a second run of a task whose run from the previous term is reported by
// its agent.
func TestNewLeaderAdoptsRuns(t *testing.T) {
	b := newTestbench(t, 2)
	def := definition("j", checkProfile, 1)
	b.table.Restore(b.now(), []Restored{{Definition: def, Term: 1}}, leasesEnding(map[string]time.Time{"a": b.now().Add(testLease)}))
	k := key("j", 0, 0, 1)
	b.report("a", message.Report{Session: 1, Full: true, Worker: workerInfo("a"), Running: []message.RunState{{Key: k, PacePct: 100}}})
	b.register()
	orders := b.orders("a")
	require.Empty(t, orders.Starts)
	require.Len(t, orders.Adopted, 1)
	require.Equal(t, k, orders.Adopted[0].Key)
	b.report("a", message.Report{Session: 1, Ends: []message.RunEnd{runEnd(k, job.EndDone, 1)}})
	b.commit()
	require.Equal(t, job.Done, b.state("j"))
}

// Guards against a restored task that is never retried after its adopted run failed,
// although attempts are left.
func TestFailedAdoptedRunIsRetried(t *testing.T) {
	b := newTestbench(t, 2)
	def := definition("j", checkProfile, 1)
	b.table.Restore(b.now(), []Restored{{Definition: def, Term: 1}}, leasesEnding(map[string]time.Time{"a": b.now().Add(time.Minute), "b": b.now().Add(time.Minute)}))
	b.report("a", message.Report{Session: 1, Full: true, Worker: workerInfo("a"), Running: []message.RunState{{Key: key("j", 0, 0, 1), PacePct: fullPacePct}}})
	b.report("a", message.Report{Ends: []message.RunEnd{runEnd(key("j", 0, 0, 1), job.EndFailed, 1)}})
	b.register()
	require.Empty(t, b.starts())
	b.report("b", message.Report{Session: 1, Full: true, Worker: workerInfo("b")})
	b.register()
	onlyEntry(t, b.starts())
}

// Guards against a second run beside an adopted one when another agent then reports the
// failure of an earlier run.
func TestEarlierFailureDoesNotAffectAdoptedRun(t *testing.T) {
	b := newTestbench(t, 2)
	agents := map[string]time.Time{"a": b.now().Add(time.Minute), "b": b.now().Add(time.Minute), "c": b.now().Add(time.Minute)}
	b.table.Restore(b.now(), []Restored{{Definition: definition("j", checkProfile, 1), Term: 1}}, leasesEnding(agents))
	b.report("a", message.Report{Session: 1, Full: true, Worker: workerInfo("a"), Running: []message.RunState{{Key: key("j", 0, 0, 2), PacePct: fullPacePct}}})
	b.report("b", message.Report{Session: 1, Full: true, Worker: workerInfo("b"), Ends: []message.RunEnd{runEnd(key("j", 0, 0, 1), job.EndFailed, 1)}})
	b.report("c", message.Report{Session: 1, Full: true, Worker: workerInfo("c")})
	b.register()
	b.tick()
	require.Empty(t, b.starts())
}

// Guards against an overlap of two runs that no log shows: an agent lists a run while the
// task has another one.
func TestConflictingRunsAreLogged(t *testing.T) {
	b := newTestbench(t, 2)
	var out bytes.Buffer
	log, err := event.New(&out, "json", "info")
	require.NoError(t, err)
	b.table.cfg.Log = log
	until := b.now().Add(time.Minute)
	b.table.Restore(b.now(), []Restored{{Definition: definition("j", checkProfile, 1), Term: 1}}, leasesEnding(map[string]time.Time{"a": until, "b": until}))
	list := func(agent string, run uint32) {
		b.report(agent, message.Report{
			Session: 1, Full: true, Worker: workerInfo(agent), Running: []message.RunState{{Key: key("j", 0, 0, run), PacePct: fullPacePct}},
		})
	}
	list("a", 2)
	require.NotContains(t, out.String(), "run_conflicting")
	list("b", 1)
	require.Contains(t, out.String(), `"name":"run_conflicting","task":"j.0.0.0","run":1,"agent":"b","other_run":2,"other_agent":"a"`)
}

// Guards against a run that starts while an earlier one of its task may be alive: an agent
// listed that one beside the current run, and has not reported its end since.
func TestTaskWaitsForItsOrphanedRuns(t *testing.T) {
	b := newTestbench(t, 2)
	until := b.now().Add(time.Minute)
	b.table.Restore(b.now(), []Restored{{Definition: definition("j", checkProfile, 1), Term: 1}}, leasesEnding(map[string]time.Time{"a": until, "b": until}))
	first, second := key("j", 0, 0, 1), key("j", 0, 0, 2)
	list := func(agent string, k job.RunKey) {
		b.report(agent, message.Report{
			Session: 1, Full: true, Worker: workerInfo(agent), Running: []message.RunState{{Key: k, PacePct: fullPacePct}},
		})
	}
	list("b", second)
	list("a", first)
	b.report("c", message.Report{Session: 1, Full: true, Worker: workerInfo("c")})
	b.register()
	require.Equal(t, []message.StopRun{{Key: first}}, b.orders("a").Stops)
	b.report("b", message.Report{Ends: []message.RunEnd{runEnd(second, job.EndFailed, 1)}})
	require.Empty(t, b.starts())
	b.report("a", message.Report{Ends: []message.RunEnd{runEnd(first, job.EndStopped, 1)}})
	onlyEntry(t, b.starts())
}
