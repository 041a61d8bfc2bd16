package lead

import (
	"flag"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/request/job"
)

// modelDelays are the delays of late messages.
var modelDelays = []time.Duration{200 * time.Millisecond, time.Second, 3 * time.Second, 9 * time.Second}

// pick draws an entry that a condition holds for, or skips the action.
func (m *leaderModel) pick(t *rapid.T, condition func(*modelEntry) bool) *modelEntry {
	var list []int
	for i, e := range m.entries {
		if condition(e) {
			list = append(list, i)
		}
	}
	if len(list) == 0 {
		t.Skip("no entry to choose")
	}
	return m.entries[rapid.SampledFrom(list).Draw(t, "entry")]
}

// actions returns the steps of the generated schedules.
func (m *leaderModel) actions() map[string]func(*rapid.T) {
	agent := func(t *rapid.T) *modelAgent { return m.agents[rapid.IntRange(0, len(m.agents)-1).Draw(t, "agent")] }
	advance := func(t *rapid.T) {
		m.advance(rapid.SampledFrom([]time.Duration{
			30 * time.Millisecond, 170 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 4500 * time.Millisecond,
		}).Draw(t, "time"))
	}
	claim := func(t *rapid.T) {
		e := m.pick(t, func(e *modelEntry) bool { return e.running() && !e.store.cut && e.node.ownTerm.Load() == nil })
		m.claim(e)
		if e.term() != nil && rapid.IntRange(0, 3).Draw(t, "first transaction") == 0 {
			e.store.cut = true
		}
	}
	handOver := func(t *rapid.T) {
		e := m.pick(t, func(e *modelEntry) bool { return e.running() && e.term() != nil })
		m.handOver(e)
		if rapid.Bool().Draw(t, "ends") {
			m.end(e)
		}
	}
	link := func(t *rapid.T) {
		a := agent(t)
		a.mode = rapid.SampledFrom([]linkMode{linkNewest, linkNewest, linkNewest, linkOldest, linkCut, linkPaused}).Draw(t, "mode")
		if a.mode != linkPaused {
			a.drop()
		}
	}
	split := func(t *rapid.T) {
		e := m.pick(t, func(e *modelEntry) bool { return e.running() && e.term() != nil && e.term().number == m.newest })
		e.store.cut, e.isolated = true, true
		stays := agent(t)
		for _, a := range m.agents {
			if a == stays {
				a.mode = linkOldest
			} else if a.mode != linkCut {
				a.mode = linkNewest
				a.drop()
			}
		}
	}
	overtake := func(t *rapid.T) {
		split(t)
		claim(t)
	}
	restartWorker := func(t *rapid.T) {
		a := agent(t)
		if !m.restartWorker(a) {
			t.Skip("not in contact with the newest leader")
		}
		e := a.leader
		if rapid.Bool().Draw(t, "the agent goes silent") {
			a.mode = linkCut
			a.drop()
		}
		if rapid.Bool().Draw(t, "the leader ends") {
			m.end(e)
			m.start(e)
			m.claim(e)
		}
	}
	loseStart := func(t *rapid.T) {
		if !m.loseStart(agent(t), rapid.SampledFrom(append(modelDelays, platform.LateCallWindow)).Draw(t, "delay")) {
			t.Skip("no start")
		}
	}
	return map[string]func(*rapid.T){
		"advance 1": advance, "advance 2": advance, "advance 3": advance, "advance 4": advance,
		"claim 1": claim, "claim 2": claim, "claim 3": claim, "claim 4": claim,
		"hand over 1": handOver, "hand over 2": handOver,
		"link": link, "split": split,
		"restart worker 1": restartWorker, "restart worker 2": restartWorker,
		"lose start 1": loseStart, "lose start 2": loseStart,
		"overtake 1": overtake, "overtake 2": overtake,
		"link fault": func(t *rapid.T) {
			a := agent(t)
			a.fault = linkFault(rapid.IntRange(int(reportLost), int(oldTermNamed)).Draw(t, "fault"))
			a.faultDelay = rapid.SampledFrom(modelDelays).Draw(t, "delay")
		},
		"end": func(t *rapid.T) { m.end(m.pick(t, func(e *modelEntry) bool { return e.node != nil })) },
		"restart": func(t *rapid.T) {
			e := m.pick(t, func(*modelEntry) bool { return true })
			m.end(e)
			m.start(e)
		},
		"pause": func(t *rapid.T) {
			e := m.pick(t, func(e *modelEntry) bool { return e.node != nil })
			e.paused = !e.paused
		},
		"store": func(t *rapid.T) {
			e := m.pick(t, func(e *modelEntry) bool { return e.node != nil })
			e.store.cut = !e.store.cut
		},
		"store fault": func(t *rapid.T) {
			e := m.pick(t, func(e *modelEntry) bool { return e.node != nil })
			e.store.fault = commitFault(rapid.IntRange(int(commitRefused), int(commitLate)).Draw(t, "fault"))
		},
		"late transaction": func(t *rapid.T) {
			e := m.pick(t, func(e *modelEntry) bool { return len(e.store.late) > 0 })
			_, err := m.store.Commit(t.Context(), e.store.late[0])
			if err != nil {
				require.ErrorIs(t, err, platform.ErrConflict)
			}
			e.store.late = e.store.late[1:]
		},
		"isolate": func(t *rapid.T) {
			e := m.pick(t, func(e *modelEntry) bool { return e.node != nil })
			e.isolated, e.follows = !e.isolated, nil
		},
		"hold follow": func(t *rapid.T) {
			e := m.pick(t, func(e *modelEntry) bool { return e.node != nil })
			e.holdNext, e.follows = true, nil
		},
	}
}

// settle makes one process the last leader, and one agent report to it. It returns the leader.
func (m *leaderModel) settle() *modelEntry {
	m.agents[0].mode = linkNewest
	for _, a := range m.agents {
		a.fault = linkWorks
		if a.mode != linkPaused {
			a.drop() // late orders of the session count no more
		}
	}
	heal := func(e *modelEntry) { e.paused, e.store.cut, e.store.fault = false, false, commitWorks }
	for range 100 {
		for _, e := range m.entries {
			if l := e.term(); l != nil && l.number == m.newest {
				heal(e)
				m.advance(testTiming.LeaderTimeout)
				if e.term() == l { // its heartbeat was not refused
					return e
				}
			}
		}
		for _, e := range m.entries {
			if e.node == nil {
				m.start(e)
			}
			if e.node.ownTerm.Load() == nil {
				heal(e)
				m.claim(e)
				break
			}
		}
		m.advance(modelTick)
	}
	m.t.Fatal("no process can begin a term")
	return nil
}

// requirePlaced lets time pass until each task has a run at an agent that reports to the last
// leader. It fails if that takes longer than Timing.Outage and the longest lease, and a tenth of them,
// from the last grant to another agent. A leader that begins without a hand-over may begin the
// wait anew; with one, it may add the time for which there was no leader. A start that a silent agent
// has not confirmed may hold its task for as long as the start may be executed late, and its run last.
func (m *leaderModel) requirePlaced(last *modelEntry) {
	const tolerance = 10 // divisor
	limit := testTiming.Outage + max(testTiming.Lease, m.maxWorkerLease)
	limit += limit / tolerance
	held := testTiming.Lease + platform.LateCallWindow + m.maxWorkerLease
	settled, holds := m.clock.Now(), false
	for {
		deadline := settled.Add(modelPlacing)
		if holds = holds || last.term().table.Load().UnresolvedTasks > 0; holds {
			deadline = settled.Add(held + held/tolerance)
		}
		placed := map[job.TaskID]bool{}
		for _, a := range m.agents {
			if a.reportsTo(last) {
				for k := range a.runs {
					placed[k.Task] = placed[k.Task] || a.alive(m.clock.Now(), k)
				}
			} else if at := a.waitCountsFrom().Add(limit); at.After(deadline) {
				deadline = at
			}
		}
		if len(placed) == modelTasks {
			return
		}
		if m.clock.Now().After(deadline) {
			m.t.Fatalf("%s: %d of %d tasks have a run; term %d waits for %d agents", m.now(), len(placed), modelTasks,
				last.term().number, last.term().table.Load().UnconfirmedAgents)
		}
		m.advance(modelTick)
	}
}

// Guards against two runs of one task across a chain of leaders: a leader that waits too short
// for the leases of one before it, which may be cut off from the store, paused, or not the
// previous one.
func TestChainOfLeadersNeverRunsATaskTwice(t *testing.T) {
	limitChecks(t)
	rapid.Check(t, func(t *rapid.T) {
		m := newLeaderModel(t)
		t.Repeat(m.actions())
		m.settle()
		m.advance(testTiming.Outage + max(testTiming.Lease, m.maxWorkerLease))
	})
}

// Guards against tasks that get no run for longer than the longest grant of earlier leaders, because
// each change of the leader begins the wait for an agent anew that has left or reaches nobody
// (LOST on lcf-sched-grown).
func TestChainOfLeadersPlacesEachTask(t *testing.T) {
	limitChecks(t)
	rapid.Check(t, func(t *rapid.T) {
		m := newLeaderModel(t)
		t.Repeat(m.actions())
		m.requirePlaced(m.settle())
	})
}

// limitChecks makes rapid perform fewer checks unless the command line gives their number: a
// check takes up to 0.2 s with -race.
func limitChecks(t *testing.T) {
	t.Helper()
	const checks = "15"
	f := flag.Lookup("rapid.checks")
	if f.Value.String() != f.DefValue {
		return
	}
	require.NoError(t, f.Value.Set(checks))
	t.Cleanup(func() { require.NoError(t, f.Value.Set(f.DefValue)) })
}
