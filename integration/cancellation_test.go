package integration

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"camphorhead.example/standin/caller"
)

const (
	// leaderCut is how long a leader is cut off. Another entry leads after about leaderTimeout, and the
	// isolated one keeps its term for longer, see withDeployedLeases.
	leaderCut = 5500 * time.Millisecond
	// The first steps of the cancelled jobs end firstStepTime after the submission, which is
	// cancelDelay before the cut: more than cancelGracePeriod after the cancellation, and within the cut.
	firstStepTime = 4400 * time.Millisecond
	cancelDelay   = 500 * time.Millisecond
	// cancelledJobs are so many that each worker gets first steps of some.
	cancelledJobs = 9
)

// startsOf returns the runs of all tasks of a job.
func (d *platformDeployment) startsOf(s *submittedJob) (list []run) {
	runs, _ := d.runsByJob()
	return runs[s.id]
}

// runsByJob returns all runs by job.
func (d *platformDeployment) runsByJob() (runs map[string][]run, readAt time.Time) {
	runs, readAt = map[string][]run{}, time.Now()
	for _, h := range d.hosts {
		var report workerHistory
		d.control(h.config, "worker", "", &report)
		for _, r := range report.Records {
			runs[r.ID] = append(runs[r.ID], run{r, h.config.Name})
		}
	}
	return runs, readAt
}

// cancelAt sends a cancel request to one entry until it has a response of the statuses of PROTOCOL, and
// returns that.
func (d *platformDeployment) cancelAt(entry int, s *submittedJob) (status int) {
	d.t.Helper()
	d.eventually(recoveryTimeout, "the cancellation has a response", func() bool {
		var err error
		status, err = d.caller.Delete(d.entries[entry].settings.Jobs.Listen, s.id)
		return err == nil && (status == fasthttp.StatusGone || status == fasthttp.StatusOK)
	})
	s.cancelRequested, s.cancelledAt = true, time.Now()
	return status
}

// requireNoLateStart checks that no task of a cancelled job began more than cancelGracePeriod after the
// response to the cancellation.
func (d *platformDeployment) requireNoLateStart(s *submittedJob) {
	d.t.Helper()
	require.False(d.t, s.cancelledAt.IsZero())
	for _, r := range d.startsOf(s) {
		require.False(d.t, r.Start.After(s.cancelledAt.Add(cancelGracePeriod)), "job %s began %s after it was cancelled: %+v",
			s.id, r.Start.Sub(s.cancelledAt), r)
	}
}

// Guards against a leader that is cut off from the store and from the hosts of other failure domains, and
// goes on to start tasks of cancelled jobs at the agents beside it (review, case 7). These agents reach
// the store and the next leader.
func TestIsolatedLeaderStartsNoCancelledJobs(t *testing.T) {
	t.Parallel()
	d := deployPlatform(t, withDeployedLeases)
	leader := d.leader()
	require.NotNil(t, leader)
	other, beside := 0, d.hosts[0].agent.settings.Process.ID
	for i, e := range d.entries {
		if e != leader {
			other = i
		}
	}
	steps := append(oneStep(1), oneStep(1)...)
	steps[1].After = []int{0}
	var jobs []*submittedJob
	for range cancelledJobs {
		jobs = append(jobs, d.submit(other, caller.Job{Input: bodyWithDuration(firstStepTime, "cancelled"), Steps: steps}))
	}
	time.Sleep(cancelDelay)
	for key, l := range d.links {
		isLeader := key.from == leader.settings.Process.ID || key.to == leader.settings.Process.ID
		if isLeader && key.from != beside && key.to != beside {
			l.hold(t, leaderCut)
		}
	}
	healed := time.Now().Add(leaderCut)
	for _, s := range jobs {
		require.Equal(t, fasthttp.StatusOK, d.cancelAt(other, s))
	}
	time.Sleep(time.Until(healed.Add(cancelGracePeriod)))
	besideLeader := 0
	for _, s := range jobs {
		d.requireNoLateStart(s)
		for _, r := range d.startsOf(s) {
			if r.Host == d.hosts[0].config.Name && strings.HasSuffix(r.Task, ".0.0") {
				besideLeader++
			}
		}
	}
	require.Positive(t, besideLeader, "no first step ran beside the leader")
	d.awaitJob("a job after the cut is done", d.submit(other, caller.Job{Input: bodyWithDuration(10*time.Millisecond, "last"), Steps: oneStep(1)}))
}

// outageStepTime is the duration of the tasks of a job whose second step begins in an outage of the store,
// later than a leader starts tasks on what it knew of cancellations before the outage.
const outageStepTime = 3500 * time.Millisecond

// Guards against a leader that starts nothing while the store is down for everybody, since it takes that for
// its own isolation.
func TestStartsGoOnWhileTheStoreIsDown(t *testing.T) {
	t.Parallel()
	d := deployPlatform(t, withDeployedLeases)
	steps := append(oneStep(1), oneStep(1)...)
	steps[1].After = []int{0}
	s := d.submit(0, caller.Job{Input: bodyWithDuration(outageStepTime, "outage"), Steps: steps})
	d.eventually(recoveryTimeout, "the first step runs", func() bool { return len(d.startsOf(s)) == 1 })
	d.setStoreFault("down", "true")
	d.eventually(outageStepTime+cancelGracePeriod, "the second step starts in the outage", func() bool { return len(d.startsOf(s)) == 2 })
	d.setStoreFault("down", "false")
	d.awaitJob("the job is done", s)
}
