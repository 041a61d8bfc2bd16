package schedule

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/request/job"
)

// idleBench is a testbench whose log lines are kept.
type idleBench struct {
	*testbench
	out      bytes.Buffer
	returned map[string]int // number of lines that the method lines has returned, by event
}

func newIdleBench(t *testing.T, term uint64) *idleBench {
	t.Helper()
	b := &idleBench{testbench: newTestbench(t, term), returned: map[string]int{}}
	log, err := event.New(&b.out, "json", "info")
	require.NoError(t, err)
	b.table.cfg.Log = log
	return b
}

// run lets time pass. Each report interval the agents report without a change and the table
// is ticked; nothing is placed.
func (b *idleBench) run(d time.Duration, agents ...string) {
	b.t.Helper()
	for ; d > 0; d -= testReportInterval {
		b.clock.Advance(testReportInterval)
		for _, agent := range agents {
			b.report(agent, message.Report{})
		}
		b.tick()
	}
}

// lines returns the lines of an event since the previous call for it.
func (b *idleBench) lines(name string) (found []map[string]any) {
	b.t.Helper()
	for line := range bytes.Lines(b.out.Bytes()) {
		var fields map[string]any
		require.NoError(b.t, json.Unmarshal(line, &fields))
		require.NotContains(b.t, fields, "unlisted_fields")
		if fields["name"] == name {
			found = append(found, fields)
		}
	}
	returned := b.returned[name]
	b.returned[name] = len(found)
	return found[returned:]
}

// requireIdle requires exactly one task_idle line with the given fields.
func (b *idleBench) requireIdle(want map[string]any) {
	b.t.Helper()
	lines := b.lines("task_idle")
	require.Len(b.t, lines, 1)
	for name, value := range want {
		require.Equal(b.t, value, lines[0][name], name)
	}
	require.GreaterOrEqual(b.t, lines[0]["wait_ms"], float64(idleLogDelay.Milliseconds()))
}

func longRunningJob(id string, count int) *job.Definition {
	def := definition(id, checkProfile, count)
	def.Steps[0].LongRunning = true
	return def
}

func confirmed(k job.RunKey) message.Report {
	return message.Report{Running: []message.RunState{{Key: k, PacePct: fullPacePct}}}
}

// Guards against a leader that holds a long-running task without a line that names an agent
// for which it waits, and against a wait whose end is not logged.
func TestHeldTaskIsLogged(t *testing.T) {
	b := newIdleBench(t, 2)
	until := b.now().Add(10 * time.Second)
	b.table.Restore(b.now(), []Restored{{Definition: longRunningJob("j", 1), Term: 1}}, leasesEnding(map[string]time.Time{"a": until, "b": until, "c": until}))
	b.report("c", message.Report{Session: 1, Full: true, Worker: workerInfo("c")})
	b.register()
	b.run(idleLogDelay, "c")
	require.Empty(t, b.lines("task_idle"))
	require.Equal(t, IdleCounts{IdleHeld: 1}, b.table.Load().Idle)
	b.run(5*time.Second, "c")
	b.requireIdle(map[string]any{"term": 2., "task": "j.0.0.0", "state": "held", "agent": "a", "agents": 2.})

	b.run(2500*time.Millisecond, "c")
	lapsed := b.lines("earlier_agent_lapsed")
	require.Len(t, lapsed, 2)
	require.ElementsMatch(t, []any{"a", "b"}, []any{lapsed[0]["agent"], lapsed[1]["agent"]})
	require.Equal(t, 10_500., lapsed[0]["wait_ms"])
	requeued := b.lines("restored_tasks_requeued")
	require.Len(t, requeued, 1)
	require.Equal(t, []any{2., 1., 2., 10_500.}, []any{requeued[0]["term"], requeued[0]["tasks"], requeued[0]["lapsed"], requeued[0]["wait_ms"]})

	k, _ := onlyEntry(t, b.starts())
	b.report("c", confirmed(k))
	b.run(2*idleLogDelay, "c")
	require.Empty(t, b.lines("task_idle"), "the task was placed at once")
	require.Equal(t, IdleCounts{}, b.table.Load().Idle)
}

// Guards against a held task that is logged once and then waits for a worker without a line
// that shows it.
func TestHeldTaskThatThenWaitsIsLoggedTwice(t *testing.T) {
	b := newIdleBench(t, 2)
	b.table.Restore(b.now(), []Restored{{Definition: longRunningJob("j", 1), Term: 1}}, leasesEnding(map[string]time.Time{"a": b.now().Add(5 * time.Second)}))
	b.run(5 * time.Second)
	b.requireIdle(map[string]any{"state": "held"})
	b.run(10 * time.Second)
	b.requireIdle(map[string]any{"state": "waiting", "workers": 0., "excluded": 0.})
}

// Guards against a table without held tasks that logs the end of a wait.
func TestEndOfWaitWithoutTasksIsNotLogged(t *testing.T) {
	b := newIdleBench(t, 2)
	b.table.Restore(b.now(), nil, leasesEnding(map[string]time.Time{"a": b.now().Add(time.Second)}))
	b.run(2 * time.Second)
	require.Contains(t, b.out.String(), "earlier_agent_lapsed")
	require.Empty(t, b.lines("restored_tasks_requeued"))
}

// Guards against a line for a waiting task that doesn't tell a full fleet from workers that
// have room, and these from workers that the task may not use.
func TestWaitingTaskIsLoggedWithTheRoomForIt(t *testing.T) {
	for name, c := range map[string]struct {
		prepare           func(b *idleBench, a *agentState)
		workers, excluded float64
	}{
		"room":        {func(*idleBench, *agentState) {}, 2, 0},
		"full":        {func(_ *idleBench, a *agentState) { a.node.Used = testCapacity }, 1, 0},
		"unreachable": {func(_ *idleBench, a *agentState) { a.worker.Reachable = false }, 1, 0},
		"ejected":     {func(_ *idleBench, a *agentState) { a.health.ejected = true }, 1, 1},
		"paused":      {func(b *idleBench, a *agentState) { a.pausedUntil = b.now().Add(time.Hour) }, 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			b := newIdleBench(t, 1)
			b.join("a")
			b.join("b")
			c.prepare(b, b.table.agents["a"])
			b.accept(longRunningJob("j", 1))
			b.run(10*time.Second, "a", "b")
			require.Equal(t, IdleCounts{IdleWaiting: 1}, b.table.Load().Idle)
			b.requireIdle(map[string]any{"state": "waiting", "workers": c.workers, "excluded": c.excluded})
		})
	}
}

// Guards against a task that the leader takes as running at an agent whose worker is gone,
// without a line that names the agent.
func TestUnconfirmedRunIsLogged(t *testing.T) {
	b := newIdleBench(t, 1)
	b.join("a")
	b.accept(longRunningJob("j", 1))
	k, _ := onlyEntry(t, b.starts())
	gone := workerInfo("a")
	gone.Reachable = false
	b.report("a", message.Report{Worker: gone, Running: []message.RunState{{Key: k, Unconfirmed: true}}})
	b.run(10*time.Second, "a")
	require.Equal(t, IdleCounts{IdleUnconfirmed: 1}, b.table.Load().Idle)
	b.requireIdle(map[string]any{"state": "unconfirmed", "agent": "a", "agents": 1., "run": 1., "reachable": false, "age_ms": 0.})
}

// Guards against a task that waits for the end of an earlier run without a line.
func TestTaskWithOrphanedRunIsLogged(t *testing.T) {
	b := newIdleBench(t, 1)
	b.join("a")
	b.accept(longRunningJob("j", 1))
	k, _ := onlyEntry(t, b.starts())
	b.report("b", message.Report{Session: 1, Full: true, Worker: workerInfo("b"), Running: []message.RunState{{Key: key("j", 0, 0, k.Run+1)}}})
	b.report("a", message.Report{Ends: []message.RunEnd{runEnd(k, job.EndFailed, 1)}})
	b.run(10*time.Second, "a", "b")
	require.Equal(t, IdleCounts{IdleOrphaned: 1}, b.table.Load().Idle)
	b.requireIdle(map[string]any{"state": "orphaned"})
}

// Guards against lines for tasks that run, that have ended, that are not long-running, or
// whose step waits for earlier ones.
func TestOtherTasksAreNotLoggedAsIdle(t *testing.T) {
	b := newIdleBench(t, 1)
	b.join("a")
	b.accept(longRunningJob("runs", 1))
	k, _ := onlyEntry(t, b.starts())
	b.report("a", confirmed(k))
	b.accept(definition("short", checkProfile, 1))
	later := definition("later", checkProfile, 1)
	later.Steps = append(later.Steps, longRunningJob("", 1).Steps[0])
	later.Steps[1].After = []int{0}
	b.accept(later)
	b.accept(longRunningJob("cancelled", 1))
	require.True(t, b.table.Cancel(b.now(), "cancelled"))
	b.run(3*idleLogDelay, "a")
	require.Empty(t, b.lines("task_idle"))
	require.Equal(t, IdleCounts{}, b.table.Load().Idle)
}

// Guards against a second loss of a run that is not logged because the first one was.
func TestEachIdleEpisodeIsLogged(t *testing.T) {
	b := newIdleBench(t, 1)
	b.join("a")
	b.accept(longRunningJob("j", 1))
	for serial := range uint64(3) {
		b.run(4*time.Second, "a")
		b.requireIdle(map[string]any{"state": "waiting"})
		k, _ := onlyEntry(t, b.starts())
		b.report("a", confirmed(k))
		b.run(time.Second, "a")
		b.report("a", message.Report{Ends: []message.RunEnd{runEnd(k, job.EndStopped, serial+1)}})
	}
}

// Guards against a line for each task of a leader that holds all of them.
func TestIdleLinesAreBounded(t *testing.T) {
	b := newIdleBench(t, 1)
	b.accept(longRunningJob("j", maxIdleLines+30))
	b.run(10 * time.Second)
	require.Len(t, b.lines("task_idle"), maxIdleLines)
	rest := b.lines("tasks_idle")
	require.Len(t, rest, 1)
	require.Equal(t, []any{"waiting", 30.}, []any{rest[0]["state"], rest[0]["tasks"]})
}

// Guards against a scan that allocates memory for each task.
func TestIdleScanDoesNotAllocate(t *testing.T) {
	b := newIdleBench(t, 1)
	b.accept(longRunningJob("j", 1000))
	b.run(idleLogDelay + time.Second)
	now := b.now()
	require.Zero(t, testing.AllocsPerRun(10, func() {
		now = now.Add(idleScanInterval)
		b.table.scanIdle(now)
	}))
}

// BenchmarkIdleScan scans 18,000 long-running tasks, the number of running tasks of the design
// size; all are idle and have been logged.
func BenchmarkIdleScan(b *testing.B) {
	bench := newTestbench(&testing.T{}, 1)
	def := longRunningJob("j", 18_000)
	bench.table.Accept(bench.now(), def, 1, false)
	now := bench.now()
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(idleScanInterval)
		bench.table.scanIdle(now)
	}
}
