package integration

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"camphorhead.example/camphorhead/request/job"
)

// pairSeeds are run always. Apart from the first, each has found a fault of the
// core: agents barred after a silence, or an event refused by a previous owner.
var pairSeeds = []uint64{1, 11, 21, 32, 37, 40}

var (
	firstSeed = flag.Uint64("seed", 1000, "first of the further seeds of the pairs of faults")
	seedCount = flag.Uint64("seeds", 0, "number of the further seeds of the pairs of faults")
)

// fault is one kind of failure. begin starts it, and the result ends it.
type fault struct {
	name  string
	begin func(d *deployment, rng *rand.Rand) (end func())
}

// catalogue lists the faults of the pairs; each leaves all hosts usable.
var catalogue = []fault{
	{"entry killed", func(d *deployment, rng *rand.Rand) func() { return d.crash(pick(rng, d.entries)) }},
	{"agent killed", func(d *deployment, rng *rand.Rand) func() { return d.crash(pick(rng, d.hosts).agent) }},
	{"entry paused", func(d *deployment, rng *rand.Rand) func() { return d.freezeCore(pick(rng, d.entries)) }},
	{"agent paused", func(d *deployment, rng *rand.Rand) func() { return d.freezeCore(pick(rng, d.hosts).agent) }},
	{"store down", func(d *deployment, _ *rand.Rand) func() { return d.storeSwitch("down", "true", "false") }},
	{"store hangs", func(d *deployment, _ *rand.Rand) func() { return d.storeSwitch("hang", "true", "false") }},
	{"store slow", func(d *deployment, _ *rand.Rand) func() { return d.storeSwitch("delay", "200", "0") }},
	{"store loses answers", func(d *deployment, _ *rand.Rand) func() { return d.storeSwitch("lost", "20", "0") }},
	{"entry cut off from store", func(d *deployment, rng *rand.Rand) func() {
		return d.cut([]*link{d.links[linkKey{pick(rng, d.entries).settings.Process.ID, storeID}]})
	}},
	{"entries partitioned", func(d *deployment, _ *rand.Rand) func() { return d.cut(d.between("entry-0", "entry-1")) }},
	{"agent partitioned", func(d *deployment, rng *rand.Rand) func() {
		return d.cut(d.linksOf(pick(rng, d.hosts).agent.settings.Process.ID))
	}},
	{"connections silent", func(d *deployment, rng *rand.Rand) func() {
		direction := pick(rng, []string{sent, received})
		return d.onLinks(d.linksFrom(pick(rng, d.cores()).settings.Process.ID), func(l *link) { l.freeze(d.t, direction) })
	}},
	{"connections reset", func(d *deployment, rng *rand.Rand) func() {
		return d.onLinks(d.linksOf(pick(rng, d.cores()).settings.Process.ID), func(l *link) { l.reset(d.t) })
	}},
}

func pick[T any](rng *rand.Rand, list []T) T { return list[rng.IntN(len(list))] }

func within(rng *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(limit)))
}

func (d *deployment) crash(cores ...*core) func() {
	for _, c := range cores {
		c.kill(d.t)
	}
	return func() {
		for _, c := range cores {
			d.revive(c)
		}
	}
}

func (d *deployment) freezeCore(c *core) func() {
	p := c.process
	if !p.alive() {
		return func() {} // the other fault of the pair has killed it
	}
	p.pause(d.t)
	return func() {
		if p.alive() {
			p.resume(d.t)
		}
	}
}

func (d *deployment) storeSwitch(command, on, off string) func() {
	d.storeFault(command, on)
	return func() { d.storeFault(command, off) }
}

func (d *deployment) cut(links []*link) func() {
	return d.onLinks(links, func(l *link) { l.silence(d.t, sent, received) })
}

func (d *deployment) onLinks(links []*link, begin func(*link)) func() {
	for _, l := range links {
		begin(l)
	}
	return func() {
		for _, l := range links {
			l.heal()
		}
	}
}

const (
	// maxFaultStart and maxFaultTime bound the schedule of a pair: a fault may
	// end before or after the leases that it affects.
	maxFaultStart = 2 * time.Second
	maxFaultTime  = 7 * time.Second
	minFaultTime  = 500 * time.Millisecond
	// pairJobInterval is the time between two submitted jobs.
	pairJobInterval = 150 * time.Millisecond
	maxPairJobTime  = 3 * time.Second
)

// scheduledFault is one fault of a pair with its time of begin and end.
type scheduledFault struct {
	fault
	at, until time.Duration
}

func schedule(rng *rand.Rand) []scheduledFault {
	var pair []scheduledFault
	order := rng.Perm(len(catalogue))
	for _, i := range order[:2] {
		at := within(rng, maxFaultStart)
		pair = append(pair, scheduledFault{catalogue[i], at, at + minFaultTime + within(rng, maxFaultTime-minFaultTime)})
	}
	return pair
}

// Guards the invariants under two faults at once: whatever overlaps, accepted
// work is neither lost nor run twice, and service returns to normal.
func TestPairs(t *testing.T) {
	runSeeds(t, seedRange{pairSeeds, *firstSeed, *seedCount, 0}, schedule, func(t *testing.T, _ uint64, faults []scheduledFault, rng *rand.Rand) {
		deploy(t).runFaults(faults, rng)
	})
}

// seedRange are the seeds that run always and count further ones. stream sets the
// random numbers of one test apart from those of another with the same seeds.
type seedRange struct {
	fixed        []uint64
	first, count uint64
	stream       uint64
}

// runSeeds runs a test for each seed with the schedule of faults that follows from it.
func runSeeds(t *testing.T, seeds seedRange, schedule func(*rand.Rand) []scheduledFault,
	run func(t *testing.T, seed uint64, faults []scheduledFault, rng *rand.Rand),
) {
	list := slices.Clone(seeds.fixed)
	for i := range seeds.count {
		list = append(list, seeds.first+i)
	}
	for _, seed := range list {
		rng := rand.New(rand.NewPCG(seed, seeds.stream))
		faults := schedule(rng)
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			t.Parallel()
			for _, f := range faults {
				t.Logf("seed %d: %s from %s to %s", seed, f.name, f.at, f.until)
			}
			run(t, seed, faults, rng)
		})
	}
}

func (d *deployment) runFaults(faults []scheduledFault, rng *rand.Rand) {
	l := d.startLoad(0, 1)
	jobs := d.startSubmitter(rand.New(rand.NewPCG(rng.Uint64(), 0)))
	d.inject(faults, rng)
	submitted := jobs()
	for entry := range d.entries {
		d.awaitChecks(entry, 20, settleBound)
		d.finishJobs(entry, []call{d.accepted(entry, "batch-proof", 100*time.Millisecond)})
	}
	d.finishJobs(0, submitted)
	for _, h := range d.hosts {
		d.awaitUse(h)
	}
	l.end()
	d.verify()
}

// inject follows the schedule: each begin and end waits for its time.
func (d *deployment) inject(faults []scheduledFault, rng *rand.Rand) {
	type step struct {
		at  time.Duration
		run func()
	}
	began := time.Now()
	pending := make([]step, 0, 2*len(faults))
	for i := range faults {
		f := faults[i]
		var end func()
		pending = append(pending, step{f.at, func() { end = f.begin(d, rng) }}, step{f.until, func() { end() }})
	}
	for len(pending) > 0 {
		next := 0
		for i := range pending {
			if pending[i].at < pending[next].at {
				next = i
			}
		}
		<-time.After(time.Until(began.Add(pending[next].at)))
		pending[next].run()
		pending = append(pending[:next], pending[next+1:]...)
	}
}

// startSubmitter submits proofs and watches through both entries in turn. The
// result stops it and returns the accepted ones.
func (d *deployment) startSubmitter(rng *rand.Rand) (stop func() []call) {
	end, accepted := make(chan struct{}), make(chan []call, 1)
	go func() {
		var list []call
		ticker := time.NewTicker(pairJobInterval)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-end:
				accepted <- list
				return
			case <-ticker.C:
				list = d.submitRandom(list, i, rng)
			}
		}
	}()
	return func() []call {
		close(end)
		return <-accepted
	}
}

func (d *deployment) submitRandom(list []call, i int, rng *rand.Rand) []call {
	profile := "batch-proof"
	if i%8 == 7 {
		profile = "long-watch"
	}
	c := d.submit(i%entryCount, profile, within(rng, maxPairJobTime))
	if c.Status == fasthttp.StatusAccepted && c.Answer.State != job.Failed {
		return append(list, c)
	}
	return list
}
