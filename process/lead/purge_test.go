package lead

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"camphorhead.example/camphorhead/process/jobstore"
	"camphorhead.example/camphorhead/process/schedule"
	"camphorhead.example/camphorhead/request/job"
)

// Guards against records of ended jobs that come faster than they are deleted, so that the store
// and the memory of a leader grow without bound.
func TestPurgeKeepsUpWithEndedJobs(t *testing.T) {
	const endedPerSecond = 24 // three times the jobs that users hand in
	clock := clockwork.NewFakeClockAt(time.Now())
	l := claimTerm(t, newProcess(t, "entry", newMemoryStore(t), clock))
	ended := 0
	for range 6 {
		var jobs []schedule.EndedJob
		for range endedPerSecond * int(purgeInterval/time.Second) {
			jobs = append(jobs, schedule.EndedJob{ID: fmt.Sprint("j", ended), State: job.Done, EndedMs: clock.Now().UnixMilli()})
			ended++
		}
		require.Greater(t, len(jobs), jobstore.MaxPurge)
		l.table.RestoreEnded(jobs)
		clock.Advance(testTiming.Retention)
		l.purge(t.Context())
		require.Zero(t, l.table.Load().Jobs)
	}
}
