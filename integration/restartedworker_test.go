package integration

import (
	"bytes"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorhead.example/camphorhead/request/resources"
	"camphorhead.example/standin/caller"
	"camphorhead.example/standin/worker"
)

// Seeds that always run; on the code before the fix of issue 38, each of them shows two concurrent
// runs of a task.
var (
	restartedWorkerSeeds     = []uint64{1, 2}
	restartedWorkerKillSeeds = []uint64{1}
	restartedWorkerLateSeeds = []uint64{1}
)

var (
	firstRestartSeed = flag.Uint64("restart-first", 1000, "first of the further seeds of the tests of restarted workers")
	restartSeedCount = flag.Uint64("restart-seeds", 0, "number of the further seeds of each test of restarted workers")
)

const (
	// workerRestarts are the restarts of a test, of the hosts in turn.
	workerRestarts = hostCount
	// restartInterval is the time between two restarts, enough for the tasks of one worker to
	// start elsewhere and for the worker to be in use again.
	restartInterval = 13 * time.Second
	// A worker is cut off minCutDelay to maxCutDelay after it is up again. The poll that waits for
	// the previous instance ends 0.7 to 1.2 s after the restart (call timeout and maximum wait), which
	// takes restartTime.
	minCutDelay, maxCutDelay = 200 * time.Millisecond, 800 * time.Millisecond
	// The cut lasts minCutTime to maxCutTime, more than the lease that an agent asks for.
	minCutTime, maxCutTime = 4 * time.Second, 9 * time.Second
	// minLongTask and maxLongTask are the duration of a task, which is more than the lease that an
	// agent asks for, and less or more than the longest lease of a worker.
	minLongTask, maxLongTask = 5 * time.Second, 9 * time.Second
	// A job of one task begins every longTaskInterval. While a worker has been restarted and is not
	// cut off yet, each job has manyTasks, so that some start there in that time. Two workers have
	// room for all of them.
	longTaskInterval = 100 * time.Millisecond
	manyTasks        = 9
	longTaskStream   = 11 // of the random numbers of the jobs
	// firstRestart is when the load has become steady.
	firstRestart = 6 * time.Second
	// tasksBefore is about how long a task takes from its submission to its start. Starts in
	// progress at the restart would hold the agent's call workers until they time out.
	tasksBefore = 100 * time.Millisecond
	// maxPollWait is the longest wait of an agent's poll.
	maxPollWait = 500 * time.Millisecond
	// A killed leader is away for leaderDowntime, so that the other entry leads.
	leaderDowntime = 3 * time.Second
	// lateShare of the calls, in percent, are late, beginning lateBefore the restart.
	lateShare  = 20
	lateBefore = 400 * time.Millisecond
)

// withLongestLease lets workers grant twice the lease that their agents ask for, as those of the
// users' platform do.
func withLongestLease(d *deployment) { d.lease.WorkerMaxMs = 2 * d.lease.WorkerMs }

// withLargeWorkers gives the workers room for eight times as many tasks, so that starts of long
// tasks are under way all the time.
func withLargeWorkers(d *deployment) {
	d.capacity = resources.Resources{MilliCPU: 8 * hostCapacity.MilliCPU, MemoryMB: 8 * hostCapacity.MemoryMB}
}

// withConnectionPerCall lets each call to a worker have its own connection. Those that are silent
// are then the ones of the calls in progress, and every later start reaches the new instance.
func withConnectionPerCall(d *deployment) { d.connectionPerCall = true }

// longTasks returns a job of count long tasks.
func longTasks(rng *rand.Rand, count int) *submittedJob {
	length := minLongTask + randomDuration(rng, maxLongTask-minLongTask)
	return &submittedJob{id: fmt.Sprintf("%016x", rng.Uint64()), job: caller.Job{Input: bodyWithDuration(length, "long"), Steps: oneStep(count)}}
}

// silentRestart restarts the worker of a host under its id. Its open connections go silent without
// being closed, new ones reach the new instance, and its announcements are lost until the end.
func silentRestart(host int) fault {
	return fault{fmt.Sprintf("worker %d restarted silently", host), func(d *deployment, _ *rand.Rand) func() {
		h := d.hosts[host]
		h.registry.blackhole(d.t, sent, received)
		h.worker.silence(d.t, restartTime/2, sent, received)
		d.restartWorker(h, fullCapacity)
		return h.registry.heal
	}}
}

// cutOff drops everything between the agent of a host and its worker.
func cutOff(host int) fault {
	return fault{fmt.Sprintf("worker %d cut off", host), func(d *deployment, _ *rand.Rand) func() {
		h := d.hosts[host]
		h.worker.blackhole(d.t, sent, received)
		return h.worker.heal
	}}
}

// leaderKilled kills the entry that leads and starts it again at its end.
var leaderKilled = fault{"leader killed", func(d *deployment, _ *rand.Rand) func() {
	leader := d.leader()
	if leader == nil {
		return func() {} // none has followed the one that was killed before
	}
	return d.killCores(leader)
}}

// callsLate makes calls to the worker of a host late.
func callsLate(host int) fault {
	return fault{fmt.Sprintf("calls to worker %d late", host), func(d *deployment, rng *rand.Rand) func() {
		return d.applyCallFaults(d.hosts[host], worker.CallFaults{Late: lateShare, MaxDelay: pick(rng, lateCalls)})
	}}
}

// manyTasksPerJob makes the jobs have many tasks.
var manyTasksPerJob = fault{"many tasks per job", func(d *deployment, _ *rand.Rand) func() {
	d.tasksPerJob.Store(manyTasks)
	return func() { d.tasksPerJob.Store(1) }
}}

// restartedWorker is a restart of the worker of a host and the cut that follows it, as times since
// the start of the faults.
type restartedWorker struct {
	host                     int
	restart, up, cut, healed time.Duration
}

// restartSchedule returns restarts of the workers in turn, each with the faults that more returns
// for it.
func restartSchedule(rng *rand.Rand, more func(*rand.Rand, restartedWorker) []scheduledFault) []scheduledFault {
	var list []scheduledFault
	for i := range workerRestarts {
		r := restartedWorker{host: i % hostCount, restart: firstRestart + time.Duration(i)*restartInterval + randomDuration(rng, maxPollWait)}
		r.up = r.restart + restartTime
		r.cut = r.up + minCutDelay + randomDuration(rng, maxCutDelay-minCutDelay)
		r.healed = r.cut + minCutTime + randomDuration(rng, maxCutTime-minCutTime)
		list = append(list, scheduledFault{silentRestart(r.host), r.restart, r.healed},
			scheduledFault{manyTasksPerJob, r.up - tasksBefore, r.cut}, scheduledFault{cutOff(r.host), r.cut, r.healed})
		list = append(list, more(rng, r)...)
	}
	return list
}

// runRestartedWorkers submits jobs of long tasks during the faults and checks the runs.
func runRestartedWorkers(t *testing.T, seed uint64, faults []scheduledFault, rng *rand.Rand) {
	t.Helper()
	d := deployPlatform(t, withWorkerLinks, withDeployedLeases, withLongestLease, withLargeWorkers, withConnectionPerCall)
	d.tasksPerJob.Store(1)
	stop := d.startJobLoad(rand.New(rand.NewPCG(seed, longTaskStream)), longTaskInterval, func(rng *rand.Rand) *submittedJob {
		return longTasks(rng, int(d.tasksPerJob.Load()))
	})
	d.inject(faults, rng)
	stop()
	for _, s := range d.jobs {
		if s.accepted && !s.cancelRequested {
			d.awaitJob("an accepted job is done", s)
		}
	}
	d.verify()
	// Few or none: the machine was too busy for starts between a restart and the cut.
	t.Logf("%d starts were answered by an instance that had not been listed", d.countLogged("start_answered_by_another_instance"))
}

// countLogged returns the number of lines in the logs of the agents that contain a text.
func (d *platformDeployment) countLogged(text string) (count int) {
	for _, h := range d.hosts {
		log, err := os.ReadFile(h.agent.log)
		require.NoError(d.t, err)
		count += bytes.Count(log, []byte(text))
	}
	return count
}

// The tests below are not parallel with others: on a busy machine few starts fall between a restart
// and the cut.

// Guards against tasks that are started elsewhere while a restarted worker runs them under a longer
// lease than their agent asked for: it accepts the deadlines of its previous instance, and the agent took
// the runs as ended with the lease that it had asked for (issue 38).
func TestRunsAtARestartedWorkerAreNotRepeated(t *testing.T) {
	none := func(*rand.Rand, restartedWorker) []scheduledFault { return nil }
	runRestartSeeds(t, restartedWorkerSeeds, 8, none)
}

// Guards against the same when the leader that ordered the starts is killed before the worker is
// cut off, so that another one concludes which runs have ended.
func TestRunsAtARestartedWorkerAreNotRepeatedByTheNextLeader(t *testing.T) {
	runRestartSeeds(t, restartedWorkerKillSeeds, 9, func(rng *rand.Rand, r restartedWorker) []scheduledFault {
		at := r.cut - randomDuration(rng, r.cut-r.up)
		return []scheduledFault{{leaderKilled, at, at + leaderDowntime}}
	})
}

// Guards against the same when the restarted worker also executes calls late and without a
// response.
func TestRunsAtARestartedWorkerAreNotRepeatedAfterLateCalls(t *testing.T) {
	runRestartSeeds(t, restartedWorkerLateSeeds, 10, func(_ *rand.Rand, r restartedWorker) []scheduledFault {
		return []scheduledFault{{callsLate(r.host), r.restart - lateBefore, r.healed}}
	})
}

// runRestartSeeds runs runRestartedWorkers with the seeds and with the further ones of the flags.
func runRestartSeeds(t *testing.T, seeds []uint64, stream uint64, more func(*rand.Rand, restartedWorker) []scheduledFault) {
	schedule := func(rng *rand.Rand) []scheduledFault { return restartSchedule(rng, more) }
	runSeeds(t, seedRange{seeds, *firstRestartSeed, *restartSeedCount, stream}, schedule, runRestartedWorkers)
}
