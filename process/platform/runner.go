package platform

import (
	"context"
	"time"

	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/request/resources"
)

// HoldRequest extends the lease of all runs of a worker and asks what runs.
type HoldRequest struct {
	// Token fences off calls that were sent before with a lower one.
	Token int64
	// LeaseUntilMs is the end of the lease in the worker's clock; 0 extends nothing.
	LeaseUntilMs int64
	// Recorded is the number of the last end whose report the worker may drop.
	Recorded uint64
	// Wait is how long the worker may wait for an end before it answers.
	Wait time.Duration
	// Instance is the worker that is meant; empty: whichever answers.
	Instance string
}

// RunningTask is a run as its worker lists it.
type RunningTask struct {
	job.RunKey
	Checkpoint string
	// ProgressPct is 100 for a lasting task that is at work.
	ProgressPct int
	// TailMs is the tail latency of a task that serves users, MilliCPU the
	// processors in use of any other; both lag by about half a second.
	TailMs   int64
	MilliCPU int64
	// Usage is measured by workers that report it; zero elsewhere.
	Usage resources.Resources
}

// EndedTask is the report of one end.
type EndedTask struct {
	job.RunKey
	// Number counts the ends of one life of the worker, from 1.
	Number     uint64
	How        job.EndKind
	Checkpoint string
	Result     []byte
	Message    string
}

// Listing is what a worker says of its runs.
type Listing struct {
	// BornMs tells the lives of a worker apart: the unix time of its start.
	BornMs  int64
	ClockMs int64
	Running []RunningTask
	// Ended are the ends that are not yet recorded, oldest first.
	Ended []EndedTask
}

// RunRequest starts one run.
type RunRequest struct {
	job.RunKey
	Token        int64
	LeaseUntilMs int64
	Instance     string
	Checkpoint   string
	// Ticket is the permission of the policy service, if the queue needs one.
	Ticket string
	Input  []byte
	Need   resources.Resources
}

// Refusal says why a worker did not start a run.
type Refusal string

// The refusals of a start. Each of them means that the run has not started and
// that this call will not start it.
const (
	RefusedFenced Refusal = "fenced"    // a call with a higher token came before
	RefusedOld    Refusal = "old_run"   // this or a higher run was here before
	RefusedLate   Refusal = "late"      // the lease of the call has ended
	RefusedRoom   Refusal = "room"      // the worker guards its room and has none
	RefusedTicket Refusal = "ticket"    // the ticket is missing or not valid
	RefusedSick   Refusal = "unhealthy" // the worker takes nothing now
	RefusedOther  Refusal = "instance"  // another life of the worker answered
	RefusedForm   Refusal = "malformed" // the worker could not read the call
)

// RefusalError is a start that the worker refused.
type RefusalError struct{ Reason Refusal }

// Error implements error.
func (e *RefusalError) Error() string { return "platform: worker refused: " + string(e.Reason) }

// Runner is the interface to the worker beside an agent, which is its only
// user. An error other than RefusalError and ErrUnavailable leaves open whether
// the call takes effect, now or seconds later.
type Runner interface {
	// Hold extends the lease and lists runs and ends.
	Hold(ctx context.Context, r HoldRequest) (Listing, error)
	// Start starts a run; it succeeds also if that run is there already.
	Start(ctx context.Context, r RunRequest) (clockMs int64, err error)
	// Stop ends a run, or refuses it if it comes later. The run is gone when
	// its end is listed.
	Stop(ctx context.Context, run job.RunKey, token int64, instance string) error
	// Throttle lets a run work at a share of its speed, in percent.
	Throttle(ctx context.Context, run job.RunKey, percent int, token int64, instance string) error
}
