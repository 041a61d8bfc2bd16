package lead

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"camphorhead.example/camphorhead/connection/frame"
	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/connection/peer"
	"camphorhead.example/camphorhead/process/pool"
	"camphorhead.example/camphorhead/process/schedule"
	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/request/resources"
	"camphorhead.example/camphorhead/version/profile"
)

const testAgent = "agent"

// agentLink is one connection of an agent to a leader.
type agentLink struct {
	conn   *peer.Conn
	orders chan message.Orders
}

// Handle keeps the orders that arrive over the link.
func (a *agentLink) Handle(_ context.Context, r peer.Request) {
	var o message.Orders
	if r.Kind == message.KindOrders && r.Decode(&o) == nil {
		a.orders <- o
	}
}

func (a *agentLink) Queue(peer.Request) bool { return false }

func connectAgent(t *testing.T, leader *Node) *agentLink {
	t.Helper()
	a := &agentLink{orders: make(chan message.Orders, 16)}
	workers := pool.New(2, 64)
	t.Cleanup(workers.Close)
	network := peer.New(peer.Config{
		Listen: "127.0.0.1:0", Key: []byte("key"), Hello: func() message.Hello { return message.Hello{ID: testAgent, Role: message.RoleAgent} },
	}, workers, a)
	require.NoError(t, network.Start())
	t.Cleanup(func() { require.NoError(t, network.Close()) })
	var err error
	a.conn, err = network.Conn(t.Context(), leader.cfg.Self().Address)
	require.NoError(t, err)
	return a
}

// report sends a report over the link and returns the leader's reply.
func (a *agentLink) report(t *testing.T, session, sequence uint64, full bool) message.ReportReply {
	t.Helper()
	r := message.Report{Agent: testAgent, Session: session, Sequence: sequence, Full: full, Worker: &message.WorkerInfo{
		ID: "worker", Service: "s", Reachable: true, Capacity: resources.Resources{MilliCPU: 8000, MemoryMB: 8000},
	}}
	var reply message.ReportReply
	require.NoError(t, a.conn.Call(t.Context(), message.KindReport, r, &reply))
	return reply
}

// newSchedulingLeader returns the term of a leader that may order runs at testAgent.
func newSchedulingLeader(t *testing.T) *leaderTerm {
	t.Helper()
	return newSchedulingLeaderAt(t, newMemoryStore(t), clockwork.NewFakeClockAt(time.Now()))
}

func newSchedulingLeaderAt(t *testing.T, store *memoryStore, clock *clockwork.FakeClock) *leaderTerm {
	t.Helper()
	n := listen(t, newProcess(t, "entry", store, clock))
	n.cfg.Profile = func(string) (profile.Profile, bool) { return profile.Profile{Service: "s", MaxAttempts: 3}, true }
	n.cfg.Teams = func() map[string]profile.Team { return nil }
	l := claimTerm(t, n)
	l.table.SetRegistered(schedule.AgentLeases{Agents: []schedule.AgentLease{{Agent: testAgent}}})
	return l
}

func (l *leaderTerm) acceptJob(t *testing.T, id string) {
	t.Helper()
	require.True(t, l.table.Accept(l.node.cfg.Clock.Now(), testJob(id), l.number, false))
	l.dispatch()
}

// testJob returns a job of one task.
func testJob(id string) *job.Definition {
	step := job.Step{Count: 1, Need: resources.Resources{MilliCPU: 1000, MemoryMB: 1000}}
	return &job.Definition{ID: id, Profile: "p", Steps: []job.Step{step}}
}

// Guards against orders that are written to a connection which the agent has given up: a report
// of its earlier session may arrive over it after the next session has begun (review, case 1).
func TestLateReportDoesNotRedirectOrders(t *testing.T) {
	l := newSchedulingLeader(t)
	old, current := connectAgent(t, l.node), connectAgent(t, l.node)
	require.NotZero(t, old.report(t, 1, 1, true).LeaseMs)
	require.NotZero(t, current.report(t, 2, 1, true).LeaseMs)
	require.Zero(t, old.report(t, 1, 2, false).LeaseMs)
	l.table.SetRegistered(schedule.AgentLeases{Agents: []schedule.AgentLease{{Agent: testAgent}}})
	l.acceptJob(t, "j")
	select {
	case o := <-current.orders:
		require.Len(t, o.Starts, 1)
	case <-old.orders:
		require.Fail(t, "the orders went to the connection of the earlier session")
	case <-time.After(10 * time.Second):
		require.Fail(t, "no orders arrived")
	}
}

// Guards against orders that are lost with a connection: the agent must begin its next session,
// whose full report resolves them, also if it goes on in the same one (review, case 3).
func TestSessionEndsWithItsConnection(t *testing.T) {
	l := newSchedulingLeader(t)
	lost, current := connectAgent(t, l.node), connectAgent(t, l.node)
	require.NotZero(t, lost.report(t, 1, 1, true).LeaseMs)
	reply := current.report(t, 1, 2, false)
	require.True(t, reply.NeedFull, "the session goes on although orders may have been lost")
	require.Zero(t, reply.LeaseMs)
	require.NotZero(t, current.report(t, 2, 1, true).LeaseMs)
	require.NotZero(t, current.report(t, 2, 2, false).LeaseMs)
}

// Guards against orders that never arrive because they exceed a frame: many jobs with large inputs
// that are placed at one agent in one pass.
func TestOrdersBeyondAFrameArrive(t *testing.T) {
	const jobs = 6
	l := newSchedulingLeader(t)
	agent := connectAgent(t, l.node)
	require.NotZero(t, agent.report(t, 1, 1, true).LeaseMs)
	for i := range jobs {
		def := testJob(fmt.Sprintf("j%d", i))
		def.Input = make([]byte, 256<<10)
		require.True(t, l.table.Accept(l.node.cfg.Clock.Now(), def, l.number, false))
	}
	l.dispatch()
	starts, inputs := 0, 0
	for starts < jobs {
		select {
		case o := <-agent.orders:
			starts += len(o.Starts)
			inputs += len(o.Inputs)
		case <-time.After(10 * time.Second):
			require.Fail(t, "orders were lost", "%d of %d starts arrived", starts, jobs)
		}
	}
	require.Equal(t, jobs, inputs)
}

// Guards against a session that goes on after an order could not be sent over its connection.
func TestOrdersNotSentEndTheSession(t *testing.T) {
	l := newSchedulingLeader(t)
	agent := connectAgent(t, l.node)
	require.NotZero(t, agent.report(t, 1, 1, true).LeaseMs)
	l.sendOrders([]schedule.AgentOrders{{Agent: testAgent, Orders: message.Orders{
		Session: 1, Inputs: []message.JobInput{{Job: "j", Input: make([]byte, frame.MaxBytes)}},
	}}})
	require.Eventually(t, agent.conn.Closed, 10*time.Second, time.Millisecond)
}

// Guards against tasks that wait for the late execution of starts that were never sent, because the
// agent's process has ended and with it the connection.
func TestStartsNotSentAreNotWaitedFor(t *testing.T) {
	l := newSchedulingLeader(t)
	agent := connectAgent(t, l.node)
	require.NotZero(t, agent.report(t, 1, 1, true).LeaseMs)
	l.mu.Lock()
	l.mu.sessions[testAgent].conn.Close()
	l.mu.Unlock()
	require.True(t, l.table.Accept(l.node.cfg.Clock.Now(), testJob("j"), l.number, false))
	l.dispatch()
	// The report may have begun a pass, which then does the work of this one.
	require.Eventually(t, func() bool { return l.table.Load().Runs == 1 && !l.dispatching.Load() }, 10*time.Second, time.Millisecond)
	later := l.node.cfg.Clock.Now().Add(testTiming.Lease + testTiming.Lease/10)
	l.table.ConfirmTerm(later, schedule.ConfirmedByStore)
	l.table.Tick(later)
	require.Equal(t, 1, l.table.Load().Ready)
}

// Guards against a leader that ends because of one notice: the definition in it comes from another
// process and has not passed the checks of an accepted job.
func TestMalformedNoticeOfAJobIsIgnored(t *testing.T) {
	l := newSchedulingLeader(t)
	a := connectAgent(t, l.node)
	for _, bad := range []job.Step{{Count: -1}, {Count: 1 << 40}, {Count: 1, After: []int{7}}, {Count: 1, After: []int{-1}}} {
		def := testJob("bad")
		def.Steps = []job.Step{bad}
		require.NoError(t, a.conn.Notify(message.KindSubmitted, message.Submitted{Definition: def, Term: l.number, Revision: 1}))
	}
	require.NoError(t, a.conn.Notify(message.KindSubmitted, message.Submitted{Definition: testJob("good"), Term: l.number, Revision: 2}))
	require.Eventually(t, func() bool { _, known := l.table.State("good"); return known }, 10*time.Second, time.Millisecond)
	_, known := l.table.State("bad")
	require.False(t, known)
	require.False(t, a.conn.Closed())
}
