// Package departure decides what happens to the runs on a worker that has announced when it leaves:
// which ones finish before, which ones are stopped so that their tasks go on elsewhere, and which
// ones are left alone.
package departure

import (
	"math"
	"time"
)

// Decision is what happens to a run on a departing worker.
type Decision uint8

// The decisions.
const (
	Undecided Decision = iota
	Finish             // it is expected to end before the worker leaves
	Move               // it is stopped, and its task goes on elsewhere
	Leave              // stopping it gains nothing: no room elsewhere, no time, or too much work lost
)

func (d Decision) String() string {
	return [...]string{"undecided", "finishing", "moved", "left"}[d]
}

// Config holds the durations on which the decisions depend.
type Config struct {
	StopTime   time.Duration // longest time from the order of a stop until the run has ended
	ReportTime time.Duration // until the leader knows of the end
	LossWait   time.Duration // from the departure until the tasks that it has ended may start elsewhere
	// Margin is the factor by which the remaining run time may be underestimated.
	Margin float64
	// Deviation is the standard deviation of the logarithm of the run time around its estimate.
	Deviation float64
}

// Run describes a run on a departing worker.
type Run struct {
	LongRunning bool // runs until it is stopped
	Checkpoints bool // its task resumes from the latest checkpoint
	Age         time.Duration
	Expected    time.Duration // expected run time from the beginning; 0: unknown
	ProgressPct int           // as last reported; 0: unknown
	ProgressAge time.Duration // since that progress was reported
}

// overdueShare is the remaining time of a run that has exceeded its expected run time, as a share of
// its age. The run times of a fleet have long tails, so a run that is late stays so for a while.
const overdueShare = 0.25

// Remaining returns the expected time until the run ends. A run of unknown length is expected to
// last as long again.
func (r Run) Remaining() time.Duration {
	if r.Expected <= 0 {
		return r.Age
	}
	left := r.Expected - r.Age
	if r.ProgressPct > 0 {
		left = r.Expected*time.Duration(100-min(r.ProgressPct, 100))/100 - r.ProgressAge
	}
	if left <= 0 {
		return time.Duration(overdueShare * float64(r.Age))
	}
	return left
}

// Decide decides on a run of a worker that leaves after notice. hasRoom reports whether there is a
// place for its task elsewhere; it is called only if the decision depends on that.
func Decide(c Config, r Run, notice time.Duration, hasRoom func() bool) Decision {
	if !r.LongRunning && time.Duration(c.Margin*float64(r.Remaining())) <= notice {
		return Finish
	}
	if notice < c.Latest() {
		return Leave
	}
	if !r.LongRunning && !r.Checkpoints && !c.restartPays(r, notice) {
		return Leave
	}
	if !hasRoom() {
		return Leave
	}
	return Move
}

// Latest returns the notice below which a stop is not ordered any more: its end could get lost with
// the worker.
func (c Config) Latest() time.Duration { return c.StopTime + c.ReportTime }

// restartPays reports whether a task without checkpoints is expected to be done earlier if it starts
// again elsewhere now than if its run goes on: that one may finish within the notice, or is lost.
func (c Config) restartPays(r Run, notice time.Duration) bool {
	expected := r.Expected
	if expected <= 0 {
		expected = 2 * r.Age
	}
	finishes := c.chanceToEnd(r.Age, expected, notice)
	moved := float64(c.Latest() + expected)
	left := finishes*float64(min(r.Remaining(), notice)) + (1-finishes)*float64(notice+c.LossWait+expected)
	return moved < left
}

// chanceToEnd returns the probability that a run of this age ends within a time, for run times with
// a log-normal distribution.
func (c Config) chanceToEnd(age, expected, within time.Duration) float64 {
	lasts := func(d time.Duration) float64 { // probability that a run lasts longer
		if d <= 0 || expected <= 0 {
			return 1
		}
		return math.Erfc(math.Log(float64(d)/float64(expected))/(c.Deviation*math.Sqrt2)) / 2
	}
	lastsSoFar := lasts(age)
	if lastsSoFar == 0 {
		return 0 // far beyond its estimate, which says nothing about its end any more
	}
	return 1 - lasts(age+within)/lastsSoFar
}

// Concurrent returns how many of the long-running tasks of one step may be off work at once while
// they are moved: as few as the notice allows, at least allowed. tasks counts those that are being
// moved or still to be.
func (c Config) Concurrent(tasks, allowed int, notice time.Duration) int {
	window := notice - c.Latest()
	if window <= 0 {
		return tasks
	}
	rounds := max(int(window/c.Latest()), 1)
	return max((tasks+rounds-1)/rounds, allowed, 1)
}
