package runs

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/request/job"
)

// Guards against an agent that queries only unreachable entries for the leader: a leader whose
// term has just begun names only itself, so the seeds must still be queried after its failure.
func TestSeedsAreStillQueriedForLeader(t *testing.T) {
	r := newRig(t)
	l := &r.node.leader
	l.node.cfg.Seeds = []string{"seed-1", "seed-2"}
	session := l.session
	l.applyReply(r.clock.Now(), "seed-1", &message.Report{Session: session, Full: true},
		&message.ReportReply{Term: 1, LeaseMs: 1000, Entries: []string{"seed-1", "other"}})
	require.ElementsMatch(t, []string{"seed-1", "other", "seed-2"}, l.nextEntries())
}

// Guards against concurrent runs of one task when orders arrive while a new session
// begins: if its full report leaves out a run that starts nevertheless, the leader
// starts the task elsewhere (soak seed 2, seen once in CI).
func TestOrdersConcurrentWithNewSession(t *testing.T) {
	const rounds = 500
	for i := range rounds {
		r := newRig(t)
		l := &r.node.leader
		l.buildReport(r.clock.Now())
		o := message.Orders{
			Session: l.session, Inputs: []message.JobInput{{Job: "j", Input: []byte("input")}},
			Starts: []message.StartRun{{Key: runKey("j", 1), Need: testNeed, Charge: testNeed}},
		}
		var report *message.Report
		var wg sync.WaitGroup
		wg.Go(func() { r.node.applyOrders(&o) })
		wg.Go(func() {
			l.mu.Lock()
			l.beginSession()
			l.mu.Unlock()
			report = l.buildReport(r.clock.Now())
		})
		wg.Wait()
		if r.node.hasRun(runKey("j", 1)) {
			require.Len(t, report.Running, 1, "round %d: the full report leaves out a run that starts", i)
		}
	}
}

// Guards against another session when a second source names the same leader: it costs a full
// report and invalidates the orders of the first session.
func TestLeaderReportedTwiceKeepsSession(t *testing.T) {
	r := newRig(t)
	l := &r.node.leader
	leader := message.Leader{Term: 3, Address: "127.0.0.1:9"}
	r.node.mu.Lock()
	r.node.worker.ID = "" // sends no report
	r.node.mu.Unlock()
	require.True(t, l.followLeader(leader, "store", ""))
	session := l.session
	l.followLeader(leader, "entry", "127.0.0.1:8")
	require.Equal(t, session, l.session)
	require.Equal(t, leader.Term, l.buildReport(r.clock.Now()).Term, "the leader must know what the agent has seen")
	require.False(t, l.followLeader(message.Leader{Term: 2, Address: "127.0.0.1:7"}, "entry", "127.0.0.1:7"))
}

// Guards against an end that is removed before it is durable: the leader acknowledges ends by
// serial, and a session that begins meanwhile assigns the serial to another end.
func TestRecordedConcurrentWithNewSession(t *testing.T) {
	const rounds = 500
	for i := range rounds {
		r := newRig(t)
		l := &r.node.leader
		first, second := runKey("first", 1), runKey("second", 1)
		r.node.mu.Lock()
		r.node.ends = []*pendingEnd{{RunEnd: message.RunEnd{Key: first, How: job.EndDone}}}
		r.node.mu.Unlock()
		l.buildReport(r.clock.Now())
		session := l.session
		r.node.markRecorded(1, session)
		r.node.mu.Lock()
		r.node.ends = append(r.node.ends, &pendingEnd{RunEnd: message.RunEnd{Key: second, How: job.EndDone}})
		r.node.mu.Unlock()
		var wg sync.WaitGroup
		wg.Go(func() { r.node.markRecorded(1, session) })
		wg.Go(func() {
			l.mu.Lock()
			l.beginSession()
			l.mu.Unlock()
			l.buildReport(r.clock.Now())
		})
		wg.Wait()
		r.node.mu.Lock()
		left := len(r.node.ends)
		r.node.mu.Unlock()
		require.Equal(t, 1, left, "round %d: an end that no leader has recorded is removed", i)
	}
}
