package agent

import (
	"context"
	"time"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/process/lockrank"
	"camphorhead.example/camphorhead/process/metrics"
	"camphorhead.example/camphorhead/request/estimate"
	"camphorhead.example/camphorhead/request/interference"
	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/request/resources"
)

const (
	controlInterval = 500 * time.Millisecond
	// estimateWarmUp is how long a task runs before its use counts, because it uses
	// less while it loads its input.
	estimateWarmUp = 2 * time.Second
	// maxMoves is the worker's eviction budget: the number of tasks that may be moved
	// to other workers for interference within movesWindow.
	maxMoves    = 6
	movesWindow = time.Hour
	// maxReportedPairings bounds the pairings in one report to about 500 bytes.
	maxReportedPairings = 8
)

// control is the control loop of the worker. It estimates the real use of the tasks,
// and throttles or moves tasks that slow down checks or exhaust the memory.
//
// The slowdown is the service time of a target relative to its baseline: the
// service time while no task runs or, where tasks run all the time, a low quantile
// of recent ones (interference.Baseline).
type control struct {
	agent *Agent
	cfg   interference.Config

	mu         lockrank.Mutex // guards the fields below
	estimates  *estimate.Table
	pairings   *interference.Pairings
	unaccepted map[interference.PairingKey]struct{}
	baselines  map[string]*interference.Baseline // by service
	state      interference.State
	// actionService is the service that the latest action was for.
	actionService string
	moves         []time.Time // for interference, the oldest first
	// listedAt is the time of the latest listing that was used.
	listedAt     time.Time
	wasBatchFree bool  // no task ran at listedAt
	pressure     uint8 // percent
}

func newControl(a *Agent) *control {
	return &control{
		agent: a, cfg: interference.DefaultConfig(), mu: lockrank.NewMutex(lockrank.RankControl),
		estimates:  estimate.New(estimate.Config{Clock: a.clock, WarmUp: estimateWarmUp}),
		pairings:   interference.NewPairings(interference.PairingsConfig{Clock: a.clock}),
		unaccepted: map[interference.PairingKey]struct{}{},
		baselines:  map[string]*interference.Baseline{},
	}
}

// tick decides on one action for each new listing of the worker; the ticker calls it.
func (c *control) tick(context.Context) {
	l := listing{c.agent.node.Listing()}
	if l.At.IsZero() || !c.acceptIfNewer(l) {
		return
	}
	for _, e := range c.updateEstimates(l) {
		c.agent.ledger.SetEstimate(e.key.Task.String(), e.key.Run, e.estimate.Use, e.estimate.Margin)
	}
	windows := c.agent.checks.takeWindows()
	now := c.agent.clock.Now()
	action := c.decide(l, windows, now)
	c.execute(action)
}

// acceptIfNewer reports whether the listing is newer than the latest accepted one.
func (c *control) acceptIfNewer(l listing) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !l.At.After(c.listedAt) {
		return false
	}
	c.listedAt = l.At
	return true
}

// taskEstimate is the estimate of one running task.
type taskEstimate struct {
	key      job.RunKey
	estimate estimate.Estimate
}

// updateEstimates adds the measured use and returns the estimates of the running tasks.
func (c *control) updateEstimates(l listing) []taskEstimate {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.estimates.Observe(l.MeasuredAt, l.samples())
	var estimates []taskEstimate
	for i := range l.Tasks {
		t := &l.Tasks[i]
		if !t.Known {
			continue
		}
		if e := c.estimate(estimateKey(&t.Order), t.Order.Charge); e.Known {
			estimates = append(estimates, taskEstimate{t.Key, e})
		}
	}
	return estimates
}

// reserve reserves capacity in the ledger for a start: the estimated use or, while
// there is no estimate, the declared one. runs.Node calls it with its lock held.
func (c *control) reserve(o *message.StartRun) error {
	c.mu.Lock()
	e := c.estimate(estimateKey(o), o.Charge)
	c.mu.Unlock()
	id := o.Key.Task.String()
	if !e.Known {
		return c.agent.ledger.Reserve(id, o.Key.Run, o.Charge)
	}
	return c.agent.ledger.ReserveEstimated(id, o.Key.Run, o.Charge, e.Use, e.Margin)
}

func estimateKey(o *message.StartRun) estimate.Key {
	return estimate.Key{Profile: o.Profile, Franchisee: o.Franchisee}
}

// estimate returns the expected use of a task. The margin of processors is bounded
// by the declared value, so that tasks that use what they declare are not charged
// more than that. Memory keeps its margin, because a worker that runs out of it
// loses work. The caller holds mu.
func (c *control) estimate(key estimate.Key, declared resources.Resources) estimate.Estimate {
	e := c.estimates.Expect(key, declared)
	if unused := declared.MilliCPU - e.Use.MilliCPU; unused >= 0 {
		e.Margin.MilliCPU = min(e.Margin.MilliCPU, unused)
	}
	return e
}

// decide returns and records the next action, and learns from the effect of the last one.
func (c *control) decide(l listing, windows []window, now time.Time) interference.Action {
	capacity := c.agent.ledger.Capacity().Sub(c.agent.checkReserve())
	c.mu.Lock()
	defer c.mu.Unlock()
	service, ratio := c.updateBaselines(l, windows, now)
	c.pressure = pressurePct(ratio)
	in := l.input(c.cfg, capacity, func(profile string) float64 { return c.pairings.Score(service, profile) })
	in.Now, in.Ratio, in.EvictionsLeft = now, ratio, c.movesLeft(now)
	action, state, observation := interference.Decide(c.cfg, in, c.state)
	c.state = state
	if observation != nil && service == c.actionService && service != "" && observation.Profile != "" {
		c.pairings.Learn(service, *observation)
		c.unaccepted[interference.PairingKey{Service: service, Profile: observation.Profile}] = struct{}{}
	}
	if action.Kind == interference.None {
		return action
	}
	c.actionService = service
	for _, b := range c.baselines {
		b.ResetRecent()
	}
	if action.Kind == interference.Move && action.Cause == job.CauseInterference {
		c.moves = append(c.moves, now)
	}
	return action
}

// updateBaselines adds the windows to the baselines of the announced services and returns
// the service that is slowed down most, with its ratio. The caller holds mu.
func (c *control) updateBaselines(l listing, windows []window, now time.Time) (service string, ratio float64) {
	noTasks := len(l.Tasks) == 0
	batchFree := noTasks && c.wasBatchFree
	c.wasBatchFree = noTasks
	baselines := make(map[string]*interference.Baseline, len(windows))
	for _, w := range windows {
		b := c.baselines[w.service]
		if b == nil {
			b = &interference.Baseline{}
		}
		baselines[w.service] = b
		b.Observe(now, w.sum, w.count, batchFree)
		if slowdown := b.Ratio(); service == "" || slowdown > ratio {
			service, ratio = w.service, slowdown
		}
	}
	c.baselines = baselines
	return service, ratio
}

// movesLeft returns the rest of the worker's eviction budget. The caller holds mu.
func (c *control) movesLeft(now time.Time) int {
	for len(c.moves) > 0 && now.Sub(c.moves[0]) > movesWindow {
		c.moves = c.moves[1:]
	}
	return maxMoves - len(c.moves)
}

// execute requests an action from the worker without waiting for it. The listings
// after a failed action show no effect, so it is decided again.
func (c *control) execute(a interference.Action) {
	m := c.agent.metrics
	switch a.Kind {
	case interference.Throttle:
		m.Add(metrics.Throttles, 1)
		c.agent.node.Throttle(runOf(a), a.Percent)
	case interference.Lift:
		m.Add(metrics.Lifts, 1)
		c.agent.node.Throttle(runOf(a), a.Percent)
	case interference.Move:
		if a.OverBudget {
			m.Add(metrics.MovesOverBudget, 1)
		}
		m.AddFor(metrics.Evictions, string(a.Cause), 1)
		c.agent.node.Evict(runOf(a), a.Cause)
	case interference.None:
	}
}

func runOf(a interference.Action) job.RunKey {
	id, _ := job.ParseTaskID(a.TaskID) // TaskID.String has formatted it
	return job.RunKey{Task: id, Run: a.Run}
}

// pressurePct returns the latest slowdown of checks in percent, for summaries.
func (c *control) pressurePct() uint8 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pressure
}

// unacceptedPairings returns learned pairings that no leader has accepted. If all is set,
// it first marks all of them as not accepted, for a leader that has none yet.
func (c *control) unacceptedPairings(all bool) []interference.Pairing {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []interference.Pairing
	for _, p := range c.pairings.Export() {
		if all {
			c.unaccepted[p.PairingKey] = struct{}{}
		}
		if _, ok := c.unaccepted[p.PairingKey]; ok && len(list) < maxReportedPairings {
			list = append(list, p)
		}
	}
	return list
}

// markAccepted records that a leader has accepted pairings. An observation added since
// they were reported is reported with the next one of the same pair.
func (c *control) markAccepted(list []interference.Pairing) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range list {
		delete(c.unaccepted, p.PairingKey)
	}
}
