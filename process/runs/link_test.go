package runs

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/request/job"
)

// Guards against an agent that asks only entries that are gone for the leader:
// a leader that has just begun names itself alone.
func TestSeedsAreStillAskedForTheLeader(t *testing.T) {
	r := newRig(t)
	l := &r.node.link
	l.node.cfg.Seeds = []string{"seed-1", "seed-2"}
	session := l.session
	l.answered(r.clock.Now(), "seed-1", &message.Report{Session: session, Full: true},
		&message.ReportReply{Term: 1, LeaseMs: 1000, Entries: []string{"seed-1", "other"}})
	require.ElementsMatch(t, []string{"seed-1", "other", "seed-2"}, l.nextEntries())
}

// Guards against two runs of a task at once: orders that are taken in while a new
// session begins are settled by its full report, which either names their runs or
// says that they never start (soak seed 2, seen once in CI).
func TestOrdersBesideANewSession(t *testing.T) {
	const rounds = 500
	for i := range rounds {
		r := newRig(t)
		l := &r.node.link
		l.build(r.clock.Now())
		o := message.Orders{
			Session: l.session, Inputs: []message.JobInput{{Job: "j", Input: []byte("input")}},
			Starts: []message.StartRun{{Key: runKey("j", 1), Need: testNeed, Charge: testNeed}},
		}
		var report *message.Report
		var wg sync.WaitGroup
		wg.Go(func() { r.node.take(&o) })
		wg.Go(func() {
			l.mu.Lock()
			l.begin()
			l.mu.Unlock()
			report = l.build(r.clock.Now())
		})
		wg.Wait()
		if r.node.holds(runKey("j", 1)) {
			require.Len(t, report.Running, 1, "round %d: the full report leaves out a run that starts", i)
		}
	}
}

// Guards against a session for each source that names the leader: every further one
// costs a full report, and settles anew what the one before has ordered.
func TestLeaderToldTwice(t *testing.T) {
	r := newRig(t)
	l := &r.node.link
	leader := message.Leader{Term: 3, Address: "127.0.0.1:9"}
	r.node.mu.Lock()
	r.node.worker.ID = "" // no report leaves
	r.node.mu.Unlock()
	require.True(t, l.found(leader, "store", ""))
	session := l.session
	l.found(leader, "entry", "127.0.0.1:8")
	require.Equal(t, session, l.session)
	require.False(t, l.found(message.Leader{Term: 2, Address: "127.0.0.1:7"}, "entry", "127.0.0.1:7"))
}

// Guards against an end that is dropped before it is durable: what the leader has
// recorded is told by serials of a session, which the next one gives to other ends.
func TestRecordedBesideANewSession(t *testing.T) {
	const rounds = 500
	for i := range rounds {
		r := newRig(t)
		l := &r.node.link
		first, second := runKey("first", 1), runKey("second", 1)
		r.node.mu.Lock()
		r.node.ends = []*end{{RunEnd: message.RunEnd{Key: first, How: job.EndDone}}}
		r.node.mu.Unlock()
		l.build(r.clock.Now())
		session := l.session
		r.node.recorded(1, session)
		r.node.mu.Lock()
		r.node.ends = append(r.node.ends, &end{RunEnd: message.RunEnd{Key: second, How: job.EndDone}})
		r.node.mu.Unlock()
		var wg sync.WaitGroup
		wg.Go(func() { r.node.recorded(1, session) })
		wg.Go(func() {
			l.mu.Lock()
			l.begin()
			l.mu.Unlock()
			l.build(r.clock.Now())
		})
		wg.Wait()
		r.node.mu.Lock()
		left := len(r.node.ends)
		r.node.mu.Unlock()
		require.Equal(t, 1, left, "round %d: an end that no leader has recorded is dropped", i)
	}
}
