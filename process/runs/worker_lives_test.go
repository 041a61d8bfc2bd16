package runs

import (
	"flag"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/process/lockrank"
	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/request/resources"
)

// modelCapacities are the capacities of lives: for all tasks, and for half of them.
var modelCapacities = []resources.Resources{testCapacity, smallCapacity}

func modelTask(t *rapid.T) job.TaskID {
	return job.TaskID{Job: rapid.SampledFrom([]string{"a", "b", "c", "d"}[:modelTasks]).Draw(t, "task")}
}

// actions returns the steps of the generated schedules.
func (a *agentModel) actions() map[string]func(*rapid.T) {
	w := a.worker
	orderRun := func(t *rapid.T) {
		if a.attached {
			a.order(modelTask(t))
		}
	}
	advance := func(t *rapid.T) {
		a.advance(rapid.SampledFrom([]time.Duration{
			20 * time.Millisecond, 100 * time.Millisecond, 400 * time.Millisecond, 1200 * time.Millisecond, 3300 * time.Millisecond, 7 * time.Second,
		}).Draw(t, "time"), modelTick)
	}
	restart := func(t *rapid.T) {
		rate := rapid.SampledFrom([]float64{1, modelSlowClock}).Draw(t, "clock rate")
		w.restart(rapid.SampledFrom(modelCapacities).Draw(t, "capacity"), rate, rapid.Bool().Draw(t, "silent"))
		w.life().announces = rapid.IntRange(0, 2).Draw(t, "announces") > 0
	}
	heal := func(*rapid.T) { w.setCut(false, false) }
	// one draws a call in flight that a condition holds for, and applies an action to it.
	one := func(t *rapid.T, condition func(*modelCall) bool, do func(*modelCall)) {
		list := w.inFlight(condition)
		if len(list) == 0 || w.isCut() {
			return
		}
		c := list[rapid.IntRange(0, len(list)-1).Draw(t, "call")]
		w.mu.Lock()
		do(c)
		w.mu.Unlock()
	}
	arrive := func(t *rapid.T) { one(t, (*modelCall).canArrive, w.arrive) }
	finish := func(t *rapid.T) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.expire(w.life())
		if keys := sortedRuns(w.life().running); len(keys) > 0 {
			w.end(w.life(), rapid.SampledFrom(keys).Draw(t, "run"), rapid.SampledFrom([]job.EndKind{job.EndDone, job.EndFailed}).Draw(t, "end"))
		}
	}
	fault := func(t *rapid.T) {
		name := rapid.SampledFrom([]string{"start", "start", "hold", "stop"}).Draw(t, "call")
		outcomes := []callOutcome{unreachable, executedLate, responseLost, refuses, held, responseHeld}
		w.fail(name, rapid.SampledFrom(outcomes).Draw(t, "outcome"))
	}
	return map[string]func(*rapid.T){
		"":          func(*rapid.T) { a.step() },
		"advance 1": advance, "advance 2": advance, "advance 3": advance, "advance 4": advance,
		"order 1": orderRun, "order 2": orderRun, "order 3": orderRun,
		"fault 1": fault, "fault 2": fault,
		"arrive 1": arrive, "arrive 2": arrive,
		"restart 1": restart, "restart 2": restart,
		"cut":    func(t *rapid.T) { w.setCut(true, rapid.Bool().Draw(t, "refuse")) },
		"heal 1": heal, "heal 2": heal,
		"respond": func(t *rapid.T) {
			one(t, func(c *modelCall) bool { return c.answered && !c.closed() }, func(c *modelCall) { close(c.response) })
		},
		"reset": func(t *rapid.T) {
			one(t, func(c *modelCall) bool { return !c.closed() }, w.reset)
		},
		"announce": func(t *rapid.T) {
			if !w.isCut() {
				w.announce(a.node, rapid.SampledFrom(w.lives).Draw(t, "life"))
			}
		},
		"finish": finish,
		"stop": func(t *rapid.T) {
			if last := a.latest[modelTask(t)]; last != nil && a.attached && last.resolved == 0 {
				l := &a.node.leader
				a.node.applyOrders(&message.Orders{Session: l.session, Term: l.term, Stops: []message.StopRun{{Key: last.key}}})
			}
		},
		"leader":  func(t *rapid.T) { a.attach(rapid.Bool().Draw(t, "attached")) },
		"records": func(t *rapid.T) { a.records = rapid.Bool().Draw(t, "records") },
		"late starts": func(t *rapid.T) { // the first copies of the next start
			outcomes := rapid.SliceOfN(rapid.SampledFrom([]callOutcome{executedLate, responseLost, held, responseHeld}), 1, 2)
			w.fail("start", outcomes.Draw(t, "outcomes")...)
			orderRun(t)
			a.step()
		},
		"late poll": func(t *rapid.T) { // the next life may execute a poll that was sent to this one
			w.fail("hold", held)
			a.advance(maxPollWait+minPollInterval, modelTick)
			restart(t)
			if rapid.Bool().Draw(t, "order") {
				orderRun(t)
				a.step()
				finish(t)
			}
			arrive(t)
		},
		"unnoticed restart": func(t *rapid.T) { // starts reach a life that the agent has not listed
			w.restart(testCapacity, 1, true)
			orderRun(t)
			a.step()
		},
	}
}

// checkWorkerLives runs generated schedules in bubbles with their own time.
func checkWorkerLives(t *testing.T, processesRestart bool) {
	limitLivesChecks(t)
	excepted := 0
	rapid.Check(t, func(rt *rapid.T) {
		var failure any // of rapid, which must reach its own goroutine
		synctest.Test(t, func(*testing.T) {
			defer func() { failure = recover() }()
			a := newAgentModel(rt)
			defer func() { a.stopProcess() }()
			actions := a.actions()
			if processesRestart {
				actions["restart process"] = func(*rapid.T) {
					a.stopProcess()
					time.Sleep(time.Millisecond) // tokens derive from the start time
					a.startProcess()
				}
			}
			rt.Repeat(actions)
			a.settle()
			excepted += a.excepted
		})
		switch broken, ok := failure.(brokenRule); {
		case ok:
			rule, trace, _ := strings.Cut(string(broken), "\n")
			rt.Logf("trace:\n%s", trace)
			rt.Fatal(rule)
		case failure != nil:
			panic(failure)
		}
	})
	t.Logf("%d late starts at a life after the one that resolved the run", excepted)
}

// Guards against runs that an agent reports as ended, refused or absent although a life of its
// worker has them or begins them later, that outlive the leader's grant, or that stay for ever.
func TestWorkerLives(t *testing.T) { checkWorkerLives(t, false) }

// The same with an agent process that restarts beside the worker.
func TestWorkerLivesAcrossProcesses(t *testing.T) { checkWorkerLives(t, true) }

// limitLivesChecks makes rapid perform fewer checks in builds that verify the lock order, where one
// takes up to 0.7 s, unless the command line gives their number.
func limitLivesChecks(t *testing.T) {
	t.Helper()
	const checks = "8"
	f := flag.Lookup("rapid.checks")
	if !lockrank.Checked || f.Value.String() != f.DefValue {
		return
	}
	require.NoError(t, f.Value.Set(checks))
	t.Cleanup(func() { require.NoError(t, f.Value.Set(f.DefValue)) })
}
