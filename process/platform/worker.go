package platform

import (
	"context"
	"time"

	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/request/resources"
)

// HoldRequest is a poll: it extends the lease of all runs of a worker and requests a
// listing of them.
type HoldRequest struct {
	// Token is the fencing token: from now on, the worker refuses calls with a lower one.
	Token int64 `json:"token"`
	// LeaseUntilMs is the end of the lease in the worker's clock; 0 extends nothing.
	LeaseUntilMs int64 `json:"lease_until_ms,omitempty"`
	// Recorded is the EndedTask.Number up to which the worker may drop the reports.
	Recorded uint64 `json:"recorded"`
	// Wait is how long the worker may wait for an end before it responds.
	Wait time.Duration `json:"-"`
	// Instance identifies the worker instance that the call is meant for; empty for any.
	Instance string `json:"instance,omitempty"`
}

// RunningTask is a run as its worker lists it.
type RunningTask struct {
	job.RunKey
	Checkpoint string `json:"checkpoint,omitempty"`
	// ProgressPct is 100 for a long-running task that is at work.
	ProgressPct int `json:"progress_pct"`
	// TailMs is the tail latency of a serving task, MilliCPU the processors in use by any
	// other task. Both lag by about 500 ms.
	TailMs   int64 `json:"tail_ms,omitempty"`
	MilliCPU int64 `json:"milli_cpu,omitempty"`
	// Usage was measured UsageAgeMs before the listing; zero if it is not measured.
	Usage resources.Resources `json:"usage"`
}

// EndedTask is the report of the end of a run.
type EndedTask struct {
	job.RunKey
	// Number numbers the ends of one instance of the worker, from 1.
	Number     uint64      `json:"number"`
	How        job.EndKind `json:"how"`
	Checkpoint string      `json:"checkpoint,omitempty"`
	Result     []byte      `json:"result,omitempty"`
	Message    string      `json:"message,omitempty"`
}

// Listing is the response of a worker to a poll: its runs and their ends.
type Listing struct {
	// Worker is the id of the worker. It and Capacity are set only by workers that do not
	// announce themselves to their agent.
	Worker   string              `json:"worker,omitempty"`
	Capacity resources.Resources `json:"capacity"`
	// StartedMs is the unix time at which the worker instance started; it identifies it.
	StartedMs int64         `json:"born_ms"`
	ClockMs   int64         `json:"clock_ms"`
	Running   []RunningTask `json:"running,omitempty"`
	// Ended lists the ends after HoldRequest.Recorded, oldest first.
	Ended []EndedTask `json:"ended,omitempty"`
	// MoreEnded is set if there may be more ends after those in Ended.
	MoreEnded bool `json:"more_ended,omitempty"`
	// UsageAgeMs is the age of RunningTask.Usage.
	UsageAgeMs int64 `json:"usage_age_ms,omitempty"`
}

// RunRequest is the request to start a run.
type RunRequest struct {
	job.RunKey
	Token        int64  `json:"token"`
	LeaseUntilMs int64  `json:"lease_until_ms"`
	Instance     string `json:"instance,omitempty"`
	Checkpoint   string `json:"checkpoint,omitempty"`
	// Ticket is the permission of the policy service; empty if the profile needs none.
	Ticket string              `json:"ticket,omitempty"`
	Input  []byte              `json:"input,omitempty"`
	Need   resources.Resources `json:"need"`
	// LongRunning is set if the task runs until it is stopped.
	LongRunning bool   `json:"lasts,omitempty"`
	Profile     string `json:"profile,omitempty"`
	Franchisee  string `json:"franchisee,omitempty"`
}

// Refusal is the reason why a worker refused a call.
type Refusal string

// The refusals of a call. A refused call had no effect and will have none.
const (
	RefusedFenced       Refusal = "fenced"    // a call with a higher token was received before
	RefusedOldRun       Refusal = "old_run"   // the worker has seen this or a higher run of the task
	RefusedLeaseExpired Refusal = "late"      // the lease in the call has expired
	RefusedCapacity     Refusal = "room"      // the worker checks its capacity and has too little free
	RefusedTicket       Refusal = "ticket"    // the ticket is missing or invalid
	RefusedUnhealthy    Refusal = "unhealthy" // the worker currently accepts no calls
	RefusedInstance     Refusal = "instance"  // another worker instance responded
	RefusedMalformed    Refusal = "malformed" // the worker could not decode the call
)

// RefusalError reports a call that the worker refused.
type RefusalError struct {
	Reason Refusal `json:"reason"`
}

// Error implements error.
func (e *RefusalError) Error() string {
	return "platform: worker refused the call: " + string(e.Reason)
}

// LateCallWindow is how long after a call was sent a worker may execute it, if there was no response.
// Workers of the users' platform execute such calls up to 12 s late; the rest is a margin.
const LateCallWindow = 13 * time.Second

// Worker is the interface to the worker beside an agent; only that agent uses it. After
// an error other than RefusalError and ErrUnavailable, the call may have taken effect,
// or may take effect seconds later.
type Worker interface {
	// Hold extends the lease and returns a listing. Cancelling ctx may end the call at once.
	Hold(ctx context.Context, r HoldRequest) (Listing, error)
	// Start starts a run; it also succeeds if the run exists already. clockMs is the clock of the
	// instance that has responded, 0 if unknown; it may come with a RefusalError.
	Start(ctx context.Context, r RunRequest) (clockMs int64, err error)
	// Stop ends a run; if it does not exist, the worker refuses a later start of it. The
	// run has ended once a listing contains its end.
	Stop(ctx context.Context, run job.RunKey, token int64, instance string) error
	// Throttle sets the pace of a run in percent of its speed.
	Throttle(ctx context.Context, run job.RunKey, percent int, token int64, instance string) error
}

// Advisor is the platform's policy service.
type Advisor interface {
	// Advise returns tickets by worker for those workers that may run the tasks of a step;
	// step.Index is unused. The leader makes one call at a time, with at most 100 workers.
	Advise(ctx context.Context, step job.TaskID, workers []string) (tickets map[string]string, err error)
}
