package runs

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorhead.example/camphorhead/connection/message"
)

// Guards against a permission that has run out: a leader that was paused sends its orders late, or
// this process was paused before it carries them out. Whatever the order says, a start needs a
// grant that is not over, by the agent's own clock.
func TestOrdersAfterTheGrantAreNotStarted(t *testing.T) {
	r := newRig(t)
	r.node.extendGrant(r.clock.Now().Add(testGrant))
	r.poll(r.node)
	r.clock.Advance(testGrant + time.Millisecond)
	r.orderStarts(r.node, runKey("late", 1))
	r.eventually("the start is refused", func() bool { return r.node.findRun(runKey("late", 1)) == nil })
	r.worker.mu.Lock()
	require.Empty(t, r.worker.running, "started without a grant")
	r.worker.mu.Unlock()
	r.node.mu.Lock()
	require.Equal(t, message.RefusedLease, r.node.refused[0].Reason)
	r.node.mu.Unlock()

	r.node.extendGrant(r.clock.Now().Add(testGrant))
	r.poll(r.node)
	r.orderStarts(r.node, runKey("in time", 1))
	r.eventually("the start is executed", func() bool { return r.node.isConfirmed(runKey("in time", 1)) })
}
