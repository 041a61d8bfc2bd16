package integration

import (
	"strings"
	"sync"
	"testing"
	"time"

	"camphorhead.example/standin/caller"
)

const (
	// manyJobs records of largeInput bytes take about twice as long on a slow link as a new leader
	// once had to load all jobs.
	manyJobs   = 1200
	largeInput = 4000
	submitters = 16
	// manyJobsLoadTimeout bounds the time until a new leader has loaded them: three times what the
	// slow link takes, for a loaded machine, and the failover.
	manyJobsLoadTimeout = 20*time.Second + failoverTimeout
	// farFuture is when the jobs are due, after the end of the test.
	farFuture = time.Hour
)

// Guards against a leader that never loads the jobs because their records take longer on its link
// than a fixed time: no entry can lead then, and all jobs wait for good.
func TestManyJobsAreLoadedOnSlowLinks(t *testing.T) {
	t.Parallel()
	d := deployPlatform(t, withDeployedLeases)
	d.submitMany()
	for _, e := range d.entries {
		d.links[linkKey{e.settings.Process.ID, storeID}].limitBandwidth(t, slowLinkKBps)
	}
	for _, e := range d.entries {
		e.kill(t)
	}
	for _, e := range d.entries {
		d.startCore(e)
	}
	s := d.newJob(caller.Job{Input: bodyWithDuration(10*time.Millisecond, "last"), Steps: oneStep(1)})
	d.eventually(manyJobsLoadTimeout, "a job is accepted after the restart", func() bool { return d.trySubmit(0, s) })
	d.eventually(manyJobsLoadTimeout, "and done", func() bool {
		state, _, err := d.caller.State(d.entries[0].settings.Jobs.Listen, s.id)
		return err == nil && state == "completed"
	})
}

// submitMany submits manyJobs jobs with large inputs that are due in the far future.
func (d *platformDeployment) submitMany() {
	j := caller.Job{
		Input: strings.Repeat("x", largeInput), Steps: oneStep(1), RepeatCount: 1,
		StartAtMs: time.Now().Add(farFuture).UnixMilli(), IntervalMs: 1000,
	}
	var sending sync.WaitGroup
	for n := range submitters {
		sending.Go(func() {
			for range manyJobs / submitters {
				s := d.newJob(j)
				for !d.trySubmit(n%len(d.entries), s) {
					time.Sleep(pollInterval)
				}
			}
		})
	}
	sending.Wait()
}
