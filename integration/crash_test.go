package integration

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/standin/worker"
)

const (
	// batchJobs fills half of the workers, so that one host can be lost.
	batchJobs = 12
	// jobTime is longer than the time from the loss of an agent to the end of
	// its leases, so that a lost task is unfinished.
	jobTime = 9 * time.Second
	// jobBound is the time by which a job that was moved once has ended.
	jobBound = lapseBound + jobTime + settleBound
)

// startJobs submits proofs and watches through both entries and waits until
// all of them run. It returns the agent of each.
func (d *deployment) startJobs() (jobs []call, agents map[string]string) {
	for i := range batchJobs {
		profile := "batch-proof"
		if i%6 == 5 {
			profile = "long-watch"
		}
		jobs = append(jobs, d.accepted(i%entryCount, profile, jobTime))
	}
	agents = map[string]string{}
	for _, c := range jobs {
		agents[c.Answer.ID] = d.awaitState(0, c, job.Running, settleBound).Agent
	}
	return jobs, agents
}

// awaitAge waits until the jobs have run for a task lease, by when an agent has
// reported a checkpoint of each.
func (d *deployment) awaitAge(jobs []call) {
	d.t.Helper()
	d.eventually(settleBound, "all jobs have run for a task lease", func() bool {
		h := d.readHistory()
		for _, c := range jobs {
			if runs := h.runs[c.Answer.ID]; len(runs) == 0 || h.read.Sub(runs[0].Start) < taskLease {
				return false
			}
		}
		return true
	})
}

// finishJobs waits for the proofs and cancels the watches.
func (d *deployment) finishJobs(entry int, jobs []call) {
	d.t.Helper()
	for _, c := range jobs {
		if c.Profile == "batch-proof" {
			d.awaitState(entry, c, job.Done, jobBound)
			continue
		}
		d.awaitState(entry, c, job.Running, jobBound)
		_, status := d.cancel(entry, c.Answer.ID, c.Franchisee)
		require.Equal(d.t, fasthttp.StatusOK, status)
		d.awaitState(entry, c, job.Cancelled, settleBound)
	}
}

// victim returns a host that runs some of the jobs.
func (d *deployment) victim(agents map[string]string) *host {
	for _, h := range d.hosts {
		for _, agent := range agents {
			if agent == h.agent.settings.Process.ID {
				return h
			}
		}
	}
	require.Fail(d.t, "no agent runs a job")
	return nil
}

// Guards against work that is lost, repeated or stopped when an entry dies,
// and against jobs that no entry answers for.
func TestEntryKilled(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	jobs, _ := d.startJobs()
	l := d.startLoad(0, 1)
	d.entries[0].kill(t)
	d.eventually(settleBound, "the other entry answers for all jobs", func() bool { return d.answersFor(1, jobs) })
	d.awaitChecks(1, 20, settleBound)
	proof := d.accepted(1, "batch-proof", 100*time.Millisecond)
	d.awaitState(1, proof, job.Done, settleBound)
	d.finishJobs(1, jobs)
	d.startCore(d.entries[0])
	d.awaitChecks(0, 20, settleBound)
	l.end()
	runs := d.verify().runs
	for _, c := range jobs {
		assert.Len(t, runs[c.Answer.ID], 1, "a running task was moved because an entry died")
	}
}

// Guards against an entry that was paused beyond the leases of its agents and
// then takes them for gone: it must use all of them again, and reach their tasks.
func TestEntryPaused(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	jobs, _ := d.startJobs()
	d.entries[0].pause(t)
	began := time.Now()
	for time.Since(began) < 2*taskLease {
		d.awaitIdempotent(1, 10)
	}
	d.entries[0].resume(t)
	for _, h := range d.hosts {
		d.awaitUse(h)
	}
	d.finishJobs(0, jobs)
	runs := d.verify().runs
	for _, c := range jobs {
		assert.Len(t, runs[c.Answer.ID], 1, "a running task was moved because an entry was paused")
	}
}

// Guards against the end of a task that is refused, and so lost, by a previous
// owner of the record that has come back and does not yet know of the next one.
func TestEntryIsolated(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	links := d.linksOf("entry-1")
	for _, l := range links {
		l.silence(t, sent, received)
	}
	var jobs []call
	submit := func(span time.Duration) {
		for began := time.Now(); time.Since(began) < span; {
			jobs = d.submitInto(jobs, 0)
		}
	}
	submit(3 * leaderSilence)
	for _, l := range links {
		l.heal()
	}
	submit(2 * leaderSilence)
	d.finishJobs(0, jobs)
	require.NotEmpty(t, jobs)
	d.verify()
}

func (d *deployment) answersFor(entry int, jobs []call) bool {
	for _, c := range jobs {
		if _, status := d.lookup(entry, c.Answer.ID, c.Franchisee, 0); status != fasthttp.StatusOK {
			return false
		}
	}
	return true
}

// moved checks that exactly the tasks of one agent were moved, once each, and
// went on from a checkpoint.
func (d *deployment) moved(jobs []call, agents map[string]string, lost *host) {
	d.t.Helper()
	runs := d.verify().runs
	for _, c := range jobs {
		of := runs[c.Answer.ID]
		if agents[c.Answer.ID] != lost.agent.settings.Process.ID {
			assert.Len(d.t, of, 1, "the task of another agent was moved")
			continue
		}
		if assert.Len(d.t, of, 2, "the task resumes exactly once") {
			assert.NotEqual(d.t, lost.config.Name, of[1].Host)
			assert.Equal(d.t, of[0].Incarnation+1, of[1].Incarnation)
			assert.Positive(d.t, of[1].ResumedAt, "the task began again in spite of its checkpoint %s", of[0].Checkpoint)
		}
	}
}

// awaitMoved waits until the tasks of a lost agent run elsewhere.
func (d *deployment) awaitMoved(jobs []call, agents map[string]string, lost *host) {
	d.t.Helper()
	id := lost.agent.settings.Process.ID
	for _, c := range jobs {
		if agents[c.Answer.ID] != id {
			continue
		}
		d.eventually(lapseBound, fmt.Sprintf("job %s of %s runs elsewhere", c.Answer.ID, id), func() bool {
			a, _ := d.lookup(0, c.Answer.ID, c.Franchisee, 0)
			return a.Incarnation > 1 && (a.State == job.Running || a.State == job.Done)
		})
	}
}

// awaitUse waits until checks reach the target of a host.
func (d *deployment) awaitUse(h *host) {
	d.t.Helper()
	before := len(d.executions(h))
	d.eventually(settleBound, h.config.Name+" is used again", func() bool {
		d.burst(0)
		return len(d.executions(h)) > before
	})
}

// Guards against tasks that are lost, run twice or start afresh when their
// agent dies, and against a new agent process that cannot join.
func TestAgentKilled(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	jobs, agents := d.startJobs()
	l := d.startLoad(0, 1)
	lost := d.victim(agents)
	d.awaitAge(jobs)
	lost.agent.kill(t)
	d.awaitChecks(0, 20, settleBound)
	d.awaitChecks(1, 20, settleBound)
	d.awaitMoved(jobs, agents, lost)
	d.startCore(lost.agent)
	d.awaitUse(lost)
	d.finishJobs(1, jobs)
	l.end()
	d.moved(jobs, agents, lost)
}

// Guards against two runners of one task when an agent is paused beyond its
// lease and goes on later.
func TestAgentPaused(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	jobs, agents := d.startJobs()
	l := d.startLoad(0, 1)
	lost := d.victim(agents)
	d.awaitAge(jobs)
	lost.agent.pause(t)
	d.awaitMoved(jobs, agents, lost)
	lost.agent.resume(t)
	d.awaitUse(lost)
	d.finishJobs(1, jobs)
	l.end()
	d.moved(jobs, agents, lost)
}

// Guards against tasks that are lost or run twice when a whole worker host dies.
func TestHostKilled(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	jobs, agents := d.startJobs()
	l := d.startLoad(0, 1)
	lost := d.victim(agents)
	d.awaitAge(jobs)
	d.killHost(lost)
	d.awaitChecks(0, 20, settleBound)
	d.awaitMoved(jobs, agents, lost)
	d.finishJobs(1, jobs)
	l.end()
	d.moved(jobs, agents, lost)
	for _, r := range d.readHistory().runs {
		if r[0].Host == lost.config.Name && len(r) > 1 {
			assert.Equal(t, worker.OutcomeKilled, r[0].Outcome)
		}
	}
}

// killHost ends the agent, the worker with its tasks, and the target. The
// records of the host stay readable.
func (d *deployment) killHost(h *host) {
	h.agent.kill(d.t)
	var done bool
	d.control(h.config, "kill", "", &done)
}
