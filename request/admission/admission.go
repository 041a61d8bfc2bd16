// Package admission decides whether an agent runs a check or a task now, queues
// it or refuses it, and whether an entry refuses a job that would wait too long.
//
// A refusal is always "not run": it is decided before the work is handed to
// anything that could execute it. The functions are pure and reserve nothing:
// the ledger and the queue are consulted afterwards and may still refuse.
package admission

import (
	"time"

	"camphorhead.example/camphorhead/request/outcome"
	"camphorhead.example/camphorhead/request/resources"
)

// Action is what the agent does with a request.
type Action uint8

// The actions.
const (
	Refuse  Action = iota // reply with Decision.Err
	Admit                 // run now
	Queue                 // add to the fair queue
	Preempt               // checkpoint and stop batch tasks to free capacity, then run
)

// Decision is the admission decision on one request.
type Decision struct {
	Action Action
	Wait   time.Duration  // expected time in the queue; set for Queue only
	Err    *outcome.Error // set for Refuse only
}

func refuse(kind outcome.Kind, message string) Decision {
	return Decision{Action: Refuse, Err: outcome.New(kind, message)}
}

// CheckInput is the state of the agent when a check arrives.
type CheckInput struct {
	Draining bool
	// Slots and Busy count the slots of the check's service and those in use.
	Slots int
	Busy  int
	// Queued and MaxQueued count checks in the fair queue.
	Queued    int
	MaxQueued int
	// Ahead is the total service time of the checks that are served before this
	// one, as the fair queue estimates it for the franchisee.
	Ahead time.Duration
	// ServiceTime is the smoothed time that a check occupies a slot; 0 if unknown.
	ServiceTime time.Duration
	Remaining   time.Duration // rest of the deadline budget
}

// Check decides on one check. It refuses with outcome.Draining, NoTarget,
// DeadlineRefused or QueueFull.
func Check(in CheckInput) Decision {
	switch {
	case in.Draining:
		return refuse(outcome.Draining, "target is draining")
	case in.Slots <= 0:
		return refuse(outcome.NoTarget, "no target of the service on this worker")
	case in.Remaining <= 0 || in.Remaining < in.ServiceTime:
		return refuse(outcome.DeadlineRefused, "remaining time is below the expected service time")
	case in.Busy < in.Slots && in.Queued == 0:
		return Decision{Action: Admit}
	case in.Queued >= in.MaxQueued:
		return refuse(outcome.QueueFull, "check queue is full")
	}
	wait := expectedWait(in)
	if wait+in.ServiceTime > in.Remaining {
		return refuse(outcome.DeadlineRefused, "remaining time is below the expected queue wait plus service time")
	}
	return Decision{Action: Queue, Wait: wait}
}

// expectedWait returns the work ahead of the check divided among all slots and,
// while all slots are busy, the mean time until one becomes free.
func expectedWait(in CheckInput) time.Duration {
	slots := time.Duration(in.Slots)
	wait := in.Ahead / slots
	if in.Busy >= in.Slots {
		wait += in.ServiceTime / slots
	}
	return wait
}

// TaskInput is the state of the agent when the start of a task is ordered.
type TaskInput struct {
	// Ready is false until the worker's status has been read for the first time.
	Ready    bool
	Draining bool
	// Lease is the remaining time of the task lease of the agent's session,
	// MinLease the least that a start requires, to allow for the lease's renewal.
	Lease    time.Duration
	MinLease time.Duration
	Urgent   bool
	Declared resources.Resources
	Expected resources.Resources // the amount that the ledger would charge
	// Allocatable is the worker's capacity less the reserve for checks, Free the
	// part of it that is not charged.
	Allocatable resources.Resources
	Free        resources.Resources
	// Preemptible is the amount charged to batch tasks that may be checkpointed
	// and stopped for urgent work.
	Preemptible resources.Resources
	// PressurePct is the measured slowdown of checks by batch tasks, in percent.
	// From MaxPressurePct on, only urgent tasks are started.
	PressurePct    int
	MaxPressurePct int
}

// Task decides on the start of one task. It refuses with outcome.Draining,
// NeverFits or NoCapacity. It never queues: the owner of the job's record tries
// another worker instead.
func Task(in TaskInput) Decision {
	switch {
	case in.Draining:
		return refuse(outcome.Draining, "worker is draining")
	case !in.Ready:
		return refuse(outcome.NoCapacity, "worker status has not been read yet")
	case in.Declared.IsNegative() || !in.Declared.Fits(in.Allocatable):
		return refuse(outcome.NeverFits, "declared resources are negative or exceed the worker's capacity less the reserve for checks")
	case in.Lease < in.MinLease:
		return refuse(outcome.NoCapacity, "task lease is about to expire")
	case in.PressurePct >= in.MaxPressurePct && !in.Urgent:
		return refuse(outcome.NoCapacity, "batch tasks on this worker slow its checks down")
	case in.Expected.Fits(in.Free):
		return Decision{Action: Admit}
	case in.Urgent && in.Expected.Fits(in.Free.Add(in.Preemptible)):
		return Decision{Action: Preempt}
	}
	return refuse(outcome.NoCapacity, "worker has no free capacity for the task")
}
