package integration

import (
	"cmp"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorhead.example/camphorhead/connection/api"
	"camphorhead.example/camphorhead/process/settings"
	"camphorhead.example/standin/caller"
	"camphorhead.example/standin/worker"
)

const (
	// restartTarget is the stated time after its last run by which a long-running task has a run
	// again if a worker has room. plannedWorkAllowance is added while only planned work is near.
	restartTarget        = 6 * time.Second
	plannedWorkAllowance = 3 * time.Second

	// longRunningTasks fit on the workers but one, with room for the jobs beside them.
	longRunningTasks = 9
	leaderChanges    = 4
	// A leader follows the one before within minTermLength to maxTermLength, less than the lease of
	// an agent with the slack for clock rates.
	minTermLength, maxTermLength = 2500 * time.Millisecond, 4 * time.Second
	// entryRestart is the time from SIGTERM to the next start of an entry: it serves for 3 s more,
	// and a process with the race detector takes a second to exit. maxStopTime bounds a longer exit.
	entryRestart = 5 * time.Second
	maxStopTime  = 10 * time.Second
	// leaderChangeEntries are enough for one to follow while two are away.
	leaderChangeEntries = 4
	// departureNotice is the time from the announcement that a worker drains until it leaves.
	departureNotice = 500 * time.Millisecond
	// agentStopDelay is the time from the departure of a worker until its agent is stopped.
	agentStopDelay = time.Second
	// leaderChangesJobInterval leaves room for the tasks of the departed worker.
	leaderChangesJobInterval = 500 * time.Millisecond
	// settlingTime is the longest wait of a leader for leases of earlier ones with its slack, so
	// that a test which fails tells the whole time without a run.
	settlingTime = 14 * time.Second
)

// withDeployedLeases gives all processes the leases and call timeouts of deploy/entry.toml and
// deploy/agent.toml. The lease of a worker is taskLease there too.
func withDeployedLeases(d *deployment) {
	d.lease = settings.Lease{TaskMs: 4000, HeartbeatMs: 500, LeaderMs: leaderTimeout.Milliseconds(), OutageMs: 8000, WorkerMs: taskLease.Milliseconds(), CancelMs: cancelGracePeriod.Milliseconds()}
	d.callTimeout = 700 * time.Millisecond
}

// withSeveralEntries adds entries, so that some serve while others restart.
func withSeveralEntries(d *deployment) { d.entryCount = leaderChangeEntries }

// leaderChangeSchedule returns planned restarts of the leader in a row, after each of which another
// entry leads.
func leaderChangeSchedule(rng *rand.Rand) []scheduledFault {
	var list []scheduledFault
	at := time.Duration(0)
	for range leaderChanges {
		list = append(list, scheduledFault{fault{"leader restarted", func(d *deployment, _ *rand.Rand) func() { return d.restartLeader() }}, at, at + entryRestart})
		at += minTermLength + randomDuration(rng, maxTermLength-minTermLength)
	}
	return list
}

// departureSchedule returns the planned departure of a worker shortly after the first change of
// the leader, after which its agent is stopped.
func departureSchedule(h *host, rng *rand.Rand) []scheduledFault {
	at := randomDuration(rng, departureNotice)
	stopAt := at + departureNotice + agentStopDelay
	return []scheduledFault{
		{fault{"worker leaves", func(d *deployment, _ *rand.Rand) func() { return d.removeWorker(h) }}, at, at + departureNotice},
		{fault{"its agent stopped", func(d *deployment, _ *rand.Rand) func() { return d.stopAgent(h.agent) }}, stopAt, stopAt},
	}
}

// removeWorker makes a worker drain; the returned function lets it leave.
func (d *deployment) removeWorker(h *host) func() {
	var done bool
	d.control(h.config, "drain", strconv.FormatInt(departureNotice.Milliseconds(), 10), &done)
	return func() { d.control(h.config, "leave", "", &done) }
}

// stopAgent stops an agent for good.
func (d *deployment) stopAgent(c *core) func() {
	c.exitExpected.Store(true)
	c.signal(d.t, syscall.SIGTERM)
	return func() {}
}

// restartLeader stops the entry that leads; the returned function waits for its exit and starts it
// again.
func (d *deployment) restartLeader() func() {
	var leader *core
	d.eventually(recoveryTimeout, "an entry leads", func() bool {
		leader = d.leader()
		return leader != nil
	})
	leader.exitExpected.Store(true)
	leader.signal(d.t, syscall.SIGTERM)
	return func() {
		d.eventually(maxStopTime, "the stopped entry has exited", func() bool { return !leader.alive() })
		d.startCore(leader)
	}
}

// leader returns the entry that leads; nil if there is none.
func (d *deployment) leader() *core {
	for _, e := range d.entries {
		var status api.Status
		_, body, err := d.client.GetTimeout(nil, "http://"+e.settings.HTTP.Listen+"/v1/status", exitTimeout)
		if err == nil && json.Unmarshal(body, &status) == nil && status.Leads {
			return e
		}
	}
	return nil
}

// runsByTask returns the runs of the tasks of a job, in order of their starts.
func (d *deployment) runsByTask(id string) (runs map[string][]run, readAt time.Time) {
	runs, readAt = map[string][]run{}, time.Now()
	for _, h := range d.hosts {
		var report workerHistory
		d.control(h.config, "worker", "", &report)
		for _, r := range report.Records {
			if r.ID == id {
				runs[r.Task] = append(runs[r.Task], run{r, h.config.Name})
			}
		}
	}
	for _, list := range runs {
		slices.SortFunc(list, func(a, b run) int { return a.Start.Compare(b.Start) })
	}
	return runs, readAt
}

// countRunning returns the number of tasks of a job that have a run, in all and by host.
func (d *deployment) countRunning(id string) (total int, byHost map[string]int) {
	byHost = map[string]int{}
	runs, _ := d.runsByTask(id)
	for _, list := range runs {
		if last := list[len(list)-1]; last.Outcome == worker.OutcomeRunning {
			total++
			byHost[last.Host]++
		}
	}
	return total, byHost
}

// verifyRestarts checks that each task of a long-running job had a run again in time after each
// one that ended, and that the departed worker had runs of it.
func (d *deployment) verifyRestarts(id string, departed *host) {
	d.t.Helper()
	const bound = restartTarget + plannedWorkAllowance
	runs, readAt := d.runsByTask(id)
	require.Len(d.t, runs, longRunningTasks)
	cut := 0
	for task, list := range runs {
		for i, r := range list {
			if r.Outcome == worker.OutcomeRunning {
				continue
			}
			if r.Host == departed.config.Name && r.Outcome == worker.OutcomeKilled {
				cut++
			}
			next, by := readAt, "none yet"
			if i+1 < len(list) {
				next, by = list[i+1].Start, list[i+1].Host
			}
			gap := next.Sub(r.End)
			report := d.t.Logf
			if gap > bound {
				report = d.t.Errorf
			}
			report("task %s: no run for %s, at most %s allowed; last one at %s (%s), next one at %s", task, gap, bound, r.Host, r.Outcome, by)
		}
	}
	require.Positive(d.t, cut, "the departed worker had no run of the long-running tasks")
}

// Guards against long-running tasks that stay without a run, with room for them, when a worker
// leaves and the entries are restarted in turn: each leader waited anew for the leases of the agent
// beside the departed worker, and none of them led until the end of that wait (issue 27).
func TestLongRunningTasksSurviveLeaderChanges(t *testing.T) {
	runSeeds(t, seedRange{[]uint64{1, 2}, *firstPlatformSeed, *platformSeedCount, 6}, leaderChangeSchedule, func(t *testing.T, seed uint64, faults []scheduledFault, rng *rand.Rand) {
		d := deployPlatform(t, withDeployedLeases, withSeveralEntries)
		steps := oneStep(longRunningTasks)
		steps[0].LongRunning = true
		lasting := d.submit(0, caller.Job{Input: bodyWithDuration(time.Hour, "lasting"), Steps: steps})
		allRun := func() bool {
			n, _ := d.countRunning(lasting.id)
			return n == longRunningTasks
		}
		d.eventually(readyTimeout, "all long-running tasks run", allRun)
		_, count := d.countRunning(lasting.id)
		departs := slices.MaxFunc(d.hosts, func(a, b *host) int { return cmp.Compare(count[a.config.Name], count[b.config.Name]) })
		stop := d.startJobLoad(rand.New(rand.NewPCG(seed, 7)), leaderChangesJobInterval, randomJob)
		d.inject(append(faults, departureSchedule(departs, rng)...), rng)
		for deadline := time.Now().Add(settlingTime); !allRun() && time.Now().Before(deadline); {
			time.Sleep(pollInterval)
		}
		stop()
		d.verifyRestarts(lasting.id, departs)
		d.verify()
	})
}
