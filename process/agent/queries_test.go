package agent

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/request/outcome"
)

// Guards against a check that is reported as not run, or sent again, although the target has executed
// it: the agent has restarted since the check was sent, and has no record of it.
func TestRestartedAgentDoesNotReportChecksAsNotRun(t *testing.T) {
	clock := clockwork.NewFakeClock()
	c := newChecks(&Agent{clock: clock, started: clock.Now()})
	clock.Advance(3 * time.Second)
	before := message.Query{Request: "sent before the restart", SentAgoMs: 4000}
	for range 2 {
		require.Equal(t, message.QueryUnknown, c.lookup(before).State)
	}
	_, failure := c.register(&pendingCheck{check: message.Check{Request: before.Request}})
	require.Equal(t, outcome.Tombstoned, failure.Kind, "the check runs after its outcome was reported")
	require.Equal(t, message.QueryNotRun, c.lookup(message.Query{Request: "sent since", SentAgoMs: 1000}).State)
}
