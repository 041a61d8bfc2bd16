package schedule

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/request/job"
)

const (
	modelJobs          = 4
	modelTasks         = 4 // per job
	modelRecordsPerTxn = 1 // so that the ends of one report become durable one after the other
	modelOutage        = 8 * time.Second
)

// endsModel is a chain of leaders, one at a time, with their agents and the store: which ends are
// acknowledged, and which tasks are started after them.
type endsModel struct {
	t       *rapid.T
	clock   *clockwork.FakeClock
	term    uint64
	table   *Table
	defs    []*job.Definition
	stored  map[string]Record // by job
	list    AgentLeases
	agents  []*endsAgent
	started map[job.TaskID]time.Time // of the latest start
	doneAt  map[job.TaskID]time.Time // end of a done run that was acknowledged before its lease expired
}

// endsAgent is an agent with its worker. Its lease ends with the leader's grant.
type endsAgent struct {
	id                string
	session, sequence uint64
	lastSerial        uint64
	full              bool // the next report
	draining          bool
	leaseEnd          time.Time
	runs              map[job.RunKey]bool
	ends              []endsEnd
	reported          int // ends in the reports of the session
}

type endsEnd struct {
	message.RunEnd
	at time.Time
}

func newEndsModel(t *rapid.T) *endsModel {
	m := &endsModel{
		t: t, clock: clockwork.NewFakeClock(), stored: map[string]Record{}, started: map[job.TaskID]time.Time{}, doneAt: map[job.TaskID]time.Time{},
	}
	for i := range modelJobs {
		m.defs = append(m.defs, definition(fmt.Sprintf("j%d", i), checkProfile, modelTasks))
	}
	for _, id := range []string{"a", "b", "c"} {
		m.agents = append(m.agents, &endsAgent{id: id, session: 1, full: true, runs: map[job.RunKey]bool{}})
	}
	m.lead()
	return m
}

// lead begins the next term from what the store contains.
func (m *endsModel) lead() {
	m.term++
	now := m.clock.Now()
	m.table = newTable(m.clock, m.term)
	var jobs []Restored
	for _, def := range m.defs {
		r, ok := m.stored[def.ID]
		if ok && r.State.Terminal() {
			continue
		}
		restored := Restored{Definition: def, Term: 1}
		if ok {
			p := r.Progress.Clone()
			restored.Progress = &p
		}
		jobs = append(jobs, restored)
	}
	leases := map[string]EarlierLease{}
	for _, a := range m.list.Agents {
		lease := EarlierLease{End: SafeLeaseEnd(now.Add(modelOutage+testLease), testLease), Withheld: a.Withheld}
		if a.Withheld || m.list.Closed && m.list.Term+1 == m.term {
			lease.End = now.Add(time.Duration(a.EndsInMs) * time.Millisecond)
		}
		leases[a.Agent] = lease
	}
	m.table.Restore(now, jobs, leases)
	for _, a := range m.agents {
		a.newSession()
	}
}

func (a *endsAgent) newSession() {
	a.session++
	a.sequence, a.lastSerial, a.full, a.reported = 0, 0, true, 0
}

// keys returns the runs in the order of their tasks.
func (a *endsAgent) keys() []job.RunKey {
	return slices.SortedFunc(maps.Keys(a.runs), func(x, y job.RunKey) int {
		return cmp.Or(cmp.Compare(x.Task.Job, y.Task.Job), cmp.Compare(x.Task.Index, y.Task.Index), cmp.Compare(x.Run, y.Run))
	})
}

func (a *endsAgent) end(now time.Time, k job.RunKey, how job.EndKind) {
	delete(a.runs, k)
	a.ends = append(a.ends, endsEnd{message.RunEnd{Key: k, How: how}, now})
}

// advance lets time pass and ends the runs of the agents whose lease is over.
func (m *endsModel) advance(d time.Duration) {
	m.clock.Advance(d)
	now := m.clock.Now()
	for _, a := range m.agents {
		if !now.After(a.leaseEnd) {
			continue
		}
		for i := range a.ends {
			a.ends[i].Void = true
		}
		for _, k := range a.keys() {
			a.end(now, k, job.EndLeaseExpired)
		}
	}
	m.table.ConfirmTerm(now, ConfirmedByStore)
	m.table.Tick(now)
}

func (m *endsModel) agent() *endsAgent { return rapid.SampledFrom(m.agents).Draw(m.t, "agent") }

// report delivers a report; the reply may be lost, with which the session ends.
func (m *endsModel) report(a *endsAgent, replyLost bool) {
	a.sequence++
	now := m.clock.Now()
	w := workerInfo(a.id)
	w.Draining = a.draining
	r := message.Report{Agent: a.id, Session: a.session, Sequence: a.sequence, Full: a.full, Worker: w}
	if a.full {
		a.reported = 0
	}
	for _, k := range a.keys() {
		r.Running = append(r.Running, message.RunState{Key: k, PacePct: fullPacePct})
	}
	for i := a.reported; i < len(a.ends); i++ {
		a.lastSerial++
		a.ends[i].Serial = a.lastSerial
		r.Ends = append(r.Ends, a.ends[i].RunEnd)
	}
	a.reported, a.full = len(a.ends), false
	reply := m.table.ApplyReport(now, &r)
	if replyLost || reply.NeedFull || reply.LeaseMs == 0 && !reply.LeasePending {
		a.newSession()
		return
	}
	if end := now.Add(time.Duration(reply.LeaseMs) * time.Millisecond); reply.LeaseMs > 0 && end.After(a.leaseEnd) {
		a.leaseEnd = end
	}
	m.acknowledge(a, reply.Recorded)
}

// acknowledge checks what the worker forgets from now on.
func (m *endsModel) acknowledge(a *endsAgent, serial uint64) {
	n := 0
	for n < a.reported && a.ends[n].Serial <= serial {
		n++
	}
	for _, e := range a.ends[:n] {
		if e.How != job.EndDone || e.Void {
			continue
		}
		if m.started[e.Key.Task].After(e.at) {
			m.t.Fatalf("run %v ended as done at %s, which is acknowledged after a start at %s", e.Key, e.at, m.started[e.Key.Task])
		}
		m.doneAt[e.Key.Task] = e.at
	}
	a.ends, a.reported = a.ends[n:], a.reported-n
}

// dispatch delivers the orders of the table, or loses them with their session.
func (m *endsModel) dispatch() {
	for _, o := range m.table.Dispatch(m.clock.Now()) {
		i := slices.IndexFunc(m.agents, func(a *endsAgent) bool { return a.id == o.Agent })
		a := m.agents[i]
		if o.Orders.Session != a.session || a.full || rapid.IntRange(0, 5).Draw(m.t, "orders lost") == 0 {
			a.newSession()
			continue
		}
		for _, s := range o.Orders.Starts {
			if !m.clock.Now().Before(a.leaseEnd) {
				a.newSession()
				break
			}
			if at, ok := m.doneAt[s.Key.Task]; ok {
				m.t.Fatalf("run %v starts after a run ended as done at %s, which is acknowledged", s.Key, at)
			}
			m.clock.Advance(time.Microsecond)
			m.started[s.Key.Task] = m.clock.Now()
			a.runs[s.Key] = true
		}
		for _, s := range o.Orders.Stops {
			if a.runs[s.Key] {
				a.end(m.clock.Now(), s.Key, job.EndStopped)
			}
		}
		m.acknowledge(a, o.Orders.Recorded)
	}
}

// commit writes a transaction: 0 confirmed, 1 written without a response before the leader ends, 2
// refused.
func (m *endsModel) commit(outcome int) {
	list, changed := m.table.TakeAgentLeases(m.clock.Now(), true)
	records := m.table.TakeRecords(modelRecordsPerTxn)
	if outcome == 2 {
		m.table.ReturnRecords(records)
		return
	}
	if changed {
		m.list = list
	}
	for _, r := range records {
		m.stored[r.ID] = r
	}
	if outcome == 1 {
		m.lead()
		return
	}
	m.table.MarkCommitted(records)
	if changed {
		m.table.SetRegistered(list)
	}
}

// Guards against a task that runs again after a run of it has ended as done, when that end is or
// has been acknowledged, across leaders that end at any time.
func TestAcknowledgedEndsAreFinalAcrossLeaders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newEndsModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"report": func(t *rapid.T) {
				m.t = t
				m.report(m.agent(), rapid.IntRange(0, 4).Draw(t, "reply lost") == 0)
			},
			"finish": func(t *rapid.T) {
				m.t = t
				a := m.agent()
				if len(a.runs) == 0 || !m.clock.Now().Before(a.leaseEnd) {
					t.Skip("nothing runs")
				}
				k := rapid.SampledFrom(a.keys()).Draw(t, "run")
				a.end(m.clock.Now(), k, rapid.SampledFrom([]job.EndKind{job.EndDone, job.EndDone, job.EndDone, job.EndStopped}).Draw(t, "how"))
			},
			"dispatch":  func(t *rapid.T) { m.t = t; m.dispatch() },
			"commit":    func(t *rapid.T) { m.t = t; m.commit(0) },
			"commit or": func(t *rapid.T) { m.t = t; m.commit(rapid.SampledFrom([]int{0, 2, 2, 2, 1}).Draw(t, "outcome")) },
			"round": func(t *rapid.T) {
				m.t = t
				for _, a := range m.agents {
					if rapid.IntRange(0, 5).Draw(t, "silent") > 0 {
						m.report(a, false)
					}
				}
				m.commit(0)
				m.dispatch()
			},
			"new leader": func(t *rapid.T) {
				m.t = t
				if rapid.IntRange(0, 7).Draw(t, "ends") > 0 {
					t.Skip("the leader goes on")
				}
				m.lead()
			},
			"session": func(t *rapid.T) {
				m.t = t
				if rapid.IntRange(0, 3).Draw(t, "lost") > 0 {
					t.Skip("the session goes on")
				}
				m.agent().newSession()
			},
			"drain": func(t *rapid.T) {
				m.t = t
				a := m.agent()
				if a.draining = !a.draining; !a.draining || !m.clock.Now().Before(a.leaseEnd) {
					return
				}
				for _, k := range a.keys() {
					a.end(m.clock.Now(), k, job.EndDone)
				}
				m.report(a, false)
			},
			"advance": func(t *rapid.T) {
				m.t = t
				m.advance(rapid.SampledFrom([]time.Duration{50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second, 5 * time.Second}).Draw(t, "time"))
			},
		})
	})
}
