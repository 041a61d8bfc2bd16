package integration

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"camphorhead.example/standin/caller"
)

// Guards against a job that runs after its DELETE was answered with 410, because the store executes its
// create late (review, case 9).
func TestCancelledJobIsNotCreatedLate(t *testing.T) {
	t.Parallel()
	d := deployPlatform(t, withSeveralEntries)
	cutOff, other := -1, -1 // neither leads
	for i, e := range d.entries {
		if e != d.leader() {
			cutOff, other = other, i
		}
	}
	steps := oneStep(2)
	steps[0].LongRunning = true
	s := d.newJob(caller.Job{Input: bodyWithDuration(time.Hour, "lasting"), Steps: steps})
	before := deliveredLate.Load()
	d.links[linkKey{d.entries[cutOff].settings.Process.ID, storeID}].hold(t, leaderCut)
	healed := time.Now().Add(leaderCut)
	require.False(t, d.trySubmit(cutOff, s), "accepted without the store")
	require.False(t, s.refused, "the create may be executed")
	require.Equal(t, fasthttp.StatusGone, d.cancelAt(other, s))
	time.Sleep(time.Until(healed.Add(cancelGracePeriod)))
	require.Greater(t, deliveredLate.Load(), before, "no create was executed late")
	d.requireNoLateStart(s)
	for _, r := range d.startsOf(s) {
		require.False(t, r.End.IsZero(), "a cancelled job runs on: %+v", r)
	}
	_, absent, err := d.caller.State(d.entries[other].settings.Jobs.Listen, s.id)
	require.NoError(t, err)
	require.True(t, absent)

	d.submitAgain(other, s)
	d.awaitJob("the job that was handed in anew runs", s)
}

// submitAgain submits a job with the ID of one that was cancelled before it was recorded, until it is
// accepted.
func (d *platformDeployment) submitAgain(entry int, s *submittedJob) {
	d.t.Helper()
	s.cancelledAt = time.Time{}
	d.eventually(recoveryTimeout, "a job with the ID of a cancelled one is accepted", func() bool { return d.trySubmit(entry, s) })
}
