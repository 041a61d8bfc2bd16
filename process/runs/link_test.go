package runs

import (
	"testing"

	"github.com/stretchr/testify/require"

	"camphorhead.example/camphorhead/connection/message"
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
