// Package placewait decides whether a task waits for a place on the rack on which it runs faster, or
// takes one elsewhere: it waits while that is expected to cost less time than it saves. The decision is
// made anew in each scheduling pass; begun waits have wider bounds, so that small changes of the
// expectations don't end them. The caller guards the arguments with its lock.
package placewait

import (
	"time"

	"camphorhead.example/camphorhead/request/resources"
)

const (
	// minFarFactor and minGain are the least values for which a wait may pay: a lower factor is not
	// distinguishable from the spread of run times, a lower gain not from that of reports and passes.
	minFarFactor = 1.1
	minGain      = 50 * time.Millisecond
	// keepRatio is the share of the gain up to which the expected wait may grow after its begin.
	keepRatio = 1.25
	// maxRegretRatio bounds the time waited and still expected, as a multiple of the gain. A task that
	// goes elsewhere at the bound has lost at most as much by its wait as the run elsewhere costs.
	maxRegretRatio = 2
	// slackMargin is the factor by which a wait may become longer than expected without making a job
	// late that would be in time elsewhere.
	slackMargin = 2
	// EndlessHorizon is the time for which the gain of a task without an end counts. It is a third of
	// the time in which service must be back after an outage.
	EndlessHorizon = 5 * time.Second
)

// Config bounds all waits.
type Config struct {
	MaxWait time.Duration // 0: no task waits
}

// Task is a task, or a gang, that has a place elsewhere now.
type Task struct {
	RunTime   time.Duration // expected on the rack; 0: unknown
	FarFactor float64       // run time elsewhere as a multiple of RunTime; 0: unknown
	Endless   bool          // it runs until its job is cancelled
	Need      resources.Resources
	Places    int // that it needs at once, on one rack: 1, or the members of a gang
	Spread    int // most of these places on one worker; 0: no bound
	// Begun is set if the task waits already, Waited is for how long.
	Begun  bool
	Waited time.Duration
	// Slack is the time by which the job would be early if the task began on the rack now; it is
	// negative for a job that is late. HasDue is false for a job without a due time.
	HasDue bool
	Slack  time.Duration
	// FreeFrom returns the time from now before which a worker of the offer can't take the task for
	// other reasons than its capacity; ok is false if that time is unknown. nil: there are none.
	FreeFrom func(worker int) (from time.Duration, ok bool)
}

// Kind is what a task does.
type Kind uint8

// The kinds of decisions.
const (
	Near Kind = iota + 1 // takes the place on the rack
	Wait                 // waits for a place on the rack
	Far                  // takes the place elsewhere
)

// Decision is the decision on one task. Expected and Gain are set for Wait, and for Far as far as they
// are known.
type Decision struct {
	Kind     Kind
	Expected time.Duration // from now
	Gain     time.Duration
	Expired  bool  // Far: the wait has reached Config.MaxWait
	workers  []int // where the places are expected
}

// Decide decides on one task. The caller passes a decision to wait to Offer.Claim.
func Decide(cfg Config, task *Task, offer *Offer) Decision {
	if offer.Free {
		return Decision{Kind: Near}
	}
	gain := task.gain()
	far := Decision{Kind: Far, Gain: gain}
	if gain < minGain {
		return far
	}
	if task.Begun && task.Waited >= cfg.MaxWait {
		far.Expired = true
		return far
	}
	expected, workers := offer.expect(task)
	far.Expected = expected
	// A wait of 0 means that something unknown keeps the task off the places that are free.
	if workers == nil || expected <= 0 || expected >= task.limit(cfg, gain, offer.Demand) {
		return far
	}
	return Decision{Kind: Wait, Expected: expected, Gain: gain, workers: workers}
}

// gain returns the time that the task saves on the rack; 0 if it is unknown.
func (t *Task) gain() time.Duration {
	if !(t.FarFactor >= minFarFactor) {
		return 0
	}
	if t.Endless {
		return time.Duration((1 - 1/t.FarFactor) * float64(EndlessHorizon))
	}
	return time.Duration((t.FarFactor - 1) * float64(t.RunTime))
}

// limit returns the bound of the expected wait from now on.
//
// Before the wait begins, demand is taken into account: a task that waits for w takes up a place that
// delays all later claims until none waits any more. At a utilization ρ of the rack by such claims
// that is w·ρ/(1-ρ) in total, so waiting saves time in total only while w < gain·(1-ρ). Without
// that, tasks at a rack in steady overload would wait until waiting gains nothing for any of them.
func (t *Task) limit(cfg Config, gain time.Duration, demand float64) time.Duration {
	slack := t.slackLimit(gain)
	if !t.Begun {
		return min(time.Duration((1-min(demand, 1))*float64(gain)), cfg.MaxWait, slack)
	}
	return min(time.Duration(keepRatio*float64(gain)), maxRegretRatio*gain-t.Waited, slack)
}

// noLimit is longer than any wait.
const noLimit = time.Duration(1 << 62)

// slackLimit returns the bound of the expected wait for the sake of the job's due time. While the job
// can still be in time elsewhere, the wait must leave a margin; without it, the task gives up the wait
// before that chance is over. Afterwards the wait ends with the slack. A job that was late in any case
// has no such bound.
func (t *Task) slackLimit(gain time.Duration) time.Duration {
	switch {
	case !t.HasDue || t.Slack+t.Waited <= 0:
		return noLimit
	case t.Slack >= gain:
		return t.Slack / slackMargin
	case t.Slack <= 0:
		return 0
	case !t.Begun:
		return t.Slack
	}
	return noLimit
}
