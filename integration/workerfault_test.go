package integration

import (
	"encoding/json"
	"flag"
	"math/rand/v2"
	"syscall"
	"testing"
	"time"

	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/standin/worker"
)

// Seeds that always run; one that has failed is added, with its cause:
//
//   - 6001: an agent that had been restarted reported an end as valid that was from before
//     its worker's lease had expired;
//   - 7017: an agent that had been paused did the same;
//   - 1010, 6007, 6011: the refusal of a repeated start was taken as the answer to its
//     first copy, which was executed later.
var (
	workerSoakSeeds         = []uint64{6001, 7017}
	platformWorkerSoakSeeds = []uint64{1010, 6007, 6011}
)

var (
	firstWorkerSeed = flag.Uint64("worker-first", 1000, "first of the further seeds of both soaks with faults of workers")
	workerSeedCount = flag.Uint64("worker-seeds", 0, "number of the further seeds of each soak with faults of workers")
)

const (
	// maxLateCall is longer than the worker's lease and shorter than the agent's bound on
	// late calls.
	maxLateCall = 5 * time.Second
	// An agent that is paused for minLeasePause to maxLeasePause resumes shortly before or
	// after the end of the worker's lease, while the calls from before the pause may still
	// be in progress. The leases of the last calls before the pause end up to a second before
	// a full lease has passed: they follow the leader's grant, and a poll takes half a second.
	minLeasePause = taskLease - time.Second
	maxLeasePause = taskLease + 500*time.Millisecond
	// busyPlatformJobInterval between jobs makes tasks use most of the workers' capacity, so
	// that a worker with a run that its agent has forgotten exceeds it.
	busyPlatformJobInterval = 90 * time.Millisecond
)

// lateCalls are the longest delays of late calls: one that is below the wait of a poll, so that
// a late start often arrives before the next poll, and one beyond the lease.
var lateCalls = []time.Duration{400 * time.Millisecond, maxLateCall}

// workerCatalogue lists the faults between agents and their workers.
var workerCatalogue = []fault{
	{"worker's calls late", func(d *deployment, rng *rand.Rand) func() {
		return d.applyCallFaults(pick(rng, d.hosts), worker.CallFaults{Late: 5 + rng.IntN(30), MaxDelay: pick(rng, lateCalls)})
	}},
	{"worker's responses lost", func(d *deployment, rng *rand.Rand) func() {
		return d.applyCallFaults(pick(rng, d.hosts), worker.CallFaults{Lost: 5 + rng.IntN(60)})
	}},
	{"worker unhealthy", func(d *deployment, rng *rand.Rand) func() {
		return d.applyCallFaults(pick(rng, d.hosts), worker.CallFaults{
			Unhealthy: 20 + rng.IntN(80), Late: rng.IntN(40), MaxDelay: pick(rng, lateCalls),
		})
	}},
	{"worker restarted", func(d *deployment, rng *rand.Rand) func() {
		h, capacity := pick(rng, d.hosts), pick(rng, []string{fullCapacity, smallerCapacity})
		d.restartWorker(h, capacity)
		return func() {
			if capacity != fullCapacity {
				d.restartWorker(h, fullCapacity)
			}
		}
	}},
	{"worker's link slow", func(d *deployment, rng *rand.Rand) func() {
		delay := randomDuration(rng, maxLinkDelay)
		return d.applyToLinks([]*link{pick(rng, d.hosts).worker}, func(l *link) { l.delay(d.t, delay) })
	}},
	{"worker's link reset", func(d *deployment, rng *rand.Rand) func() {
		return d.applyToLinks([]*link{pick(rng, d.hosts).worker}, func(l *link) { l.reset(d.t) })
	}},
	{"worker's link blocked", func(d *deployment, rng *rand.Rand) func() {
		direction := pick(rng, []string{sent, received})
		return d.applyToLinks([]*link{pick(rng, d.hosts).worker}, func(l *link) { l.blackhole(d.t, direction) })
	}},
	{"worker's calls delivered late", func(d *deployment, rng *rand.Rand) func() {
		delay := randomDuration(rng, maxLateCall)
		return d.applyToLinks([]*link{pick(rng, d.hosts).worker}, func(l *link) { l.stall(d.t, sent, delay) })
	}},
	pausedForLease, pausedForLease, pausedForLease, // the window in which a pause matters is small
}

// pausedForLease pauses an agent for about as long as its worker's lease.
var pausedForLease = fault{
	"agent paused for a lease", func(d *deployment, rng *rand.Rand) func() {
		p := pick(rng, d.hosts).agent.process
		if !p.alive() {
			return func() {} // another fault has killed it
		}
		p.pause(d.t)
		// The pause has its own length; its end does not hold up the other faults.
		time.AfterFunc(minLeasePause+randomDuration(rng, maxLeasePause-minLeasePause), func() {
			if p.alive() {
				_ = syscall.Kill(p.cmd.Process.Pid, syscall.SIGCONT)
			}
		})
		return func() {}
	},
}

func (d *deployment) restartWorker(h *host, capacity string) {
	var done bool
	d.control(h.config, "restart", capacity, &done)
}

// applyCallFaults sets faults of the calls to a worker; the returned function removes all.
func (d *deployment) applyCallFaults(h *host, f worker.CallFaults) func() {
	set := func(f worker.CallFaults) {
		encoded, err := json.Marshal(f)
		var done bool
		if err != nil || !d.tryControl(h.config, "faults", string(encoded), &done) || !done {
			d.t.Errorf("%s: faults of calls were not set", h.config.Name)
		}
	}
	set(f)
	return func() { set(worker.CallFaults{}) }
}

// workerSoakSchedule returns as many faults as soakSchedule, about two thirds of them between
// agents and workers.
func workerSoakSchedule(rng *rand.Rand) []scheduledFault {
	others := soakCatalogue()
	var list []scheduledFault
	for range soakFaultCount {
		faults := workerCatalogue
		if rng.IntN(3) == 0 {
			faults = others
		}
		at := randomDuration(rng, soakWindow)
		list = append(list, scheduledFault{pick(rng, faults), at, at + minFaultTime + randomDuration(rng, maxSoakFaultTime-minFaultTime)})
	}
	return list
}

// Guards against two runs of a job at a time and starts beyond a worker's capacity while
// workers execute calls late, lose responses, refuse starts and restart.
func TestWorkerSoak(t *testing.T) {
	runSeeds(t, seedRange{workerSoakSeeds, *firstWorkerSeed, *workerSeedCount, 4}, workerSoakSchedule, func(t *testing.T, _ uint64, faults []scheduledFault, rng *rand.Rand) {
		deploy(t, withWorkerLinks).runFaults(faults, rng)
	})
}

// Guards against the same in the platform's protocol, in which the starts of a restarted worker
// name no capacity and its calls name an instance that has not changed.
func TestPlatformWorkerSoak(t *testing.T) {
	runSeeds(t, seedRange{platformWorkerSoakSeeds, *firstWorkerSeed, *workerSeedCount, 5}, workerSoakSchedule, func(t *testing.T, seed uint64, faults []scheduledFault, rng *rand.Rand) {
		runPlatformSoak(t, seed, faults, rng, busyPlatformJobInterval, withWorkerLinks)
	})
}

// Guards against runs that an agent gives up after a pause although a call from before the pause
// has extended their lease at the worker, so that the leader starts them elsewhere beside it.
func TestPausesAroundLease(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	var watches []call
	for i := range watchesAroundPauses {
		watches = append(watches, d.submitUntilAccepted(i%entryCount, "long-watch", 0))
	}
	for _, w := range watches {
		d.awaitState(0, w, job.Running, recoveryTimeout)
	}
	for i := range pausesAroundLease {
		first, second := d.pauseCore(d.hosts[i%hostCount].agent), d.pauseCore(d.hosts[(i+1)%hostCount].agent)
		<-time.After(minLeasePause + time.Duration(i)*(taskLease-minLeasePause)/pausesAroundLease)
		first()
		second()
		<-time.After(taskLease / 2) // the agents report, and their runs have a lease again
	}
	d.verify()
}

const (
	// pausesAroundLease pauses of two agents last from minLeasePause to the worker's lease.
	pausesAroundLease = 7
	// watchesAroundPauses fit on the worker of the third agent but for one.
	watchesAroundPauses = 9
)

// Guards against starts by the capacity of a worker instance that is gone: a restarted worker may
// have less, and it announces that only with its next announcement.
func TestSmallerWorkerAfterRestart(t *testing.T) {
	t.Parallel()
	const restarts, interval, length = 5, 2 * time.Second, 3 * time.Second
	var faults []scheduledFault
	for i := range restarts {
		at := time.Duration(i)*interval + interval/2
		faults = append(faults, scheduledFault{fault{"worker restarted smaller", func(d *deployment, _ *rand.Rand) func() {
			h := d.hosts[i%hostCount]
			d.restartWorker(h, smallerCapacity)
			return func() { d.restartWorker(h, fullCapacity) }
		}}, at, at + length})
	}
	runPlatformSoak(t, 1, faults, rand.New(rand.NewPCG(1, 0)), busyPlatformJobInterval)
}
