package runs

import (
	"testing"

	"github.com/stretchr/testify/require"

	"camphorhead.example/camphorhead/connection/message"
)

// Guards against two runs of a task, when an agent takes a pending lease for a granted one, and
// against runs that end needlessly, when it leaves the leader or reports too late for the lease.
func TestPendingLeaseKeepsTheSession(t *testing.T) {
	r := newRig(t)
	l := &r.node.leader
	const address = "127.0.0.1:9"
	r.node.mu.Lock()
	r.node.worker.ID = "" // sends no report
	granted := r.node.grantEnd
	r.node.mu.Unlock()
	require.True(t, l.followLeader(message.Leader{Term: 3, Address: address}, "store", ""))
	session := l.session
	reply := func(answer message.ReportReply) {
		answer.Term = 3
		sent := r.clock.Now()
		report := l.buildReport(sent)
		r.clock.Advance(pendingLeaseInterval)
		l.applyReply(sent, address, report, &answer)
		require.Equal(t, address, l.address)
		require.Equal(t, session, l.session)
	}
	reply(message.ReportReply{LeasePending: true})
	require.Equal(t, granted, r.node.grantEnd)
	require.True(t, l.isReportDue(r.clock.Now()))
	reply(message.ReportReply{LeaseMs: testGrant.Milliseconds()})
	require.True(t, r.node.grantEnd.After(granted))
	require.False(t, l.isReportDue(r.clock.Now()))
}
