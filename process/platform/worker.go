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
	Token int64 `json:"token"`
	// LeaseUntilMs is the end of the lease in the worker's clock; 0 extends nothing.
	LeaseUntilMs int64 `json:"lease_until_ms,omitempty"`
	// Recorded is the number of the last end whose report the worker may drop.
	Recorded uint64 `json:"recorded"`
	// Wait is how long the worker may wait for an end before it answers.
	Wait time.Duration `json:"-"`
	// Instance is the worker that is meant; empty: whichever answers.
	Instance string `json:"instance,omitempty"`
}

// RunningTask is a run as its worker lists it.
type RunningTask struct {
	job.RunKey
	Checkpoint string `json:"checkpoint,omitempty"`
	// ProgressPct is 100 for a lasting task that is at work.
	ProgressPct int `json:"progress_pct"`
	// TailMs is the tail latency of a task that serves users, MilliCPU the
	// processors in use of any other; both lag by about half a second.
	TailMs   int64 `json:"tail_ms,omitempty"`
	MilliCPU int64 `json:"milli_cpu,omitempty"`
	// Usage is the measured use, older than the listing by UsageAgeMs; zero
	// where the worker does not measure it.
	Usage resources.Resources `json:"usage"`
}

// EndedTask is the report of one end.
type EndedTask struct {
	job.RunKey
	// Number counts the ends of one life of the worker, from 1.
	Number     uint64      `json:"number"`
	How        job.EndKind `json:"how"`
	Checkpoint string      `json:"checkpoint,omitempty"`
	Result     []byte      `json:"result,omitempty"`
	Message    string      `json:"message,omitempty"`
}

// Listing is what a worker says of its runs.
type Listing struct {
	// Worker names the worker, and Capacity is what it has, where it does not
	// announce itself to its agent.
	Worker   string              `json:"worker,omitempty"`
	Capacity resources.Resources `json:"capacity"`
	// BornMs tells the lives of a worker apart: the unix time of its start.
	BornMs  int64         `json:"born_ms"`
	ClockMs int64         `json:"clock_ms"`
	Running []RunningTask `json:"running,omitempty"`
	// Ended are the ends that are not yet recorded, oldest first.
	Ended []EndedTask `json:"ended,omitempty"`
	// UsageAgeMs is the lag of the measured use.
	UsageAgeMs int64 `json:"usage_age_ms,omitempty"`
}

// RunRequest starts one run.
type RunRequest struct {
	job.RunKey
	Token        int64  `json:"token"`
	LeaseUntilMs int64  `json:"lease_until_ms"`
	Instance     string `json:"instance,omitempty"`
	Checkpoint   string `json:"checkpoint,omitempty"`
	// Ticket is the permission of the policy service, if the queue needs one.
	Ticket string              `json:"ticket,omitempty"`
	Input  []byte              `json:"input,omitempty"`
	Need   resources.Resources `json:"need"`
	// Lasts marks a task that runs until it is stopped.
	Lasts      bool   `json:"lasts,omitempty"`
	Profile    string `json:"profile,omitempty"`
	Franchisee string `json:"franchisee,omitempty"`
}

// Refusal says why a worker did not start a run.
type Refusal string

// The refusals of a call. Each of them means that the call had no effect and
// will have none.
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

// RefusalError is a call that the worker refused.
type RefusalError struct {
	Reason Refusal `json:"reason"`
}

// Error implements error.
func (e *RefusalError) Error() string { return "platform: worker refused: " + string(e.Reason) }

// Worker is the interface to the worker beside an agent, which is its only
// user. An error other than RefusalError and ErrUnavailable leaves open whether
// the call takes effect, now or seconds later.
type Worker interface {
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

// Advisor is the platform's policy service.
type Advisor interface {
	// Advise returns the tickets of those workers that may run the tasks of a
	// step; the index of the step's name has no meaning. The leader calls it, one
	// call at a time, with at most 100 workers.
	Advise(ctx context.Context, step job.TaskID, workers []string) (tickets map[string]string, err error)
}
