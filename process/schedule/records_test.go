package schedule

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorhead.example/camphorhead/request/job"
)

// Guards against one ended job with an end in the far future, after which no record of any
// job is removed from the store any more.
func TestEndInTheFutureKeepsNoRecords(t *testing.T) {
	b := newTestbench(t, 2)
	b.table.RestoreEnded([]EndedJob{
		{ID: "odd", Profile: proofProfile, State: job.Done, EndedMs: math.MaxInt64},
		{ID: "old", Profile: proofProfile, State: job.Done, EndedMs: b.now().UnixMilli()},
	})
	b.clock.Advance(2 * time.Minute)
	require.ElementsMatch(t, []string{"old", "odd"}, b.table.RemoveExpired(b.now(), 10))
}
