// Package job holds the durable record of one accepted request and its state
// machine.
//
// A record is changed only through its transition methods, so that a repeated
// or late event of an older incarnation never changes it.
package job

import (
	"crypto/sha256"
	"encoding/hex"

	"camphorhead.example/camphorhead/request/outcome"
	"camphorhead.example/camphorhead/request/resources"
)

// State is the state of a job.
type State string

// The closed list of states.
const (
	Accepted  State = "accepted"  // recorded, not assigned
	Assigned  State = "assigned"  // a start may have been sent to Agent
	Running   State = "running"   // Agent confirmed the start
	Evicted   State = "evicted"   // stopped with a checkpoint, waiting for another agent
	Done      State = "done"      // finished with a result
	Failed    State = "failed"    // finished without a result
	Cancelled State = "cancelled" // stopped at the caller's wish
)

// Terminal reports whether the state is final.
func (s State) Terminal() bool { return s == Done || s == Failed || s == Cancelled }

// Kind is the kind of work, as the profile states it.
type Kind string

// The kinds of work.
const (
	Check Kind = "check"
	Proof Kind = "proof"
	Watch Kind = "watch"
	// Pipeline is a job whose steps come with the request.
	Pipeline Kind = "pipeline"
)

// IDLength is the length of a job id in hexadecimal digits.
const IDLength = 32

// ID derives the job id from franchisee and request key, so that a repeated
// key finds the first request's record on any entry.
func ID(franchisee, key string) string {
	h := sha256.New()
	h.Write([]byte(franchisee))
	h.Write([]byte{0})
	h.Write([]byte(key))
	return hex.EncodeToString(h.Sum(nil))[:IDLength]
}

// Record is the durable record of one accepted request. The owner of its
// shard is the only writer.
type Record struct {
	ID              string              `msgpack:"i" json:"id"`
	Key             string              `msgpack:"k" json:"key"`
	Franchisee      string              `msgpack:"f" json:"franchisee"`
	Team            string              `msgpack:"t,omitempty" json:"team,omitempty"`
	Profile         string              `msgpack:"p" json:"profile"`
	ProfileVersion  uint64              `msgpack:"pv" json:"profile_version"`
	Kind            Kind                `msgpack:"kd" json:"kind"`
	Idempotent      bool                `msgpack:"id" json:"idempotent"`
	Urgent          bool                `msgpack:"u,omitempty" json:"urgent,omitempty"`
	Resources       resources.Resources `msgpack:"r" json:"resources"`
	MaxEvictions    uint32              `msgpack:"me,omitempty" json:"max_evictions,omitempty"`
	Region          string              `msgpack:"rg,omitempty" json:"region,omitempty"`
	InputHash       string              `msgpack:"h" json:"input_hash"`
	Input           []byte              `msgpack:"in,omitempty" json:"-"`
	State           State               `msgpack:"s" json:"state"`
	Incarnation     uint32              `msgpack:"n" json:"incarnation"`
	Agent           string              `msgpack:"a,omitempty" json:"agent,omitempty"`
	Session         uint64              `msgpack:"as,omitempty" json:"session,omitempty"`
	Checkpoint      string              `msgpack:"c,omitempty" json:"checkpoint,omitempty"`
	CancelRequested bool                `msgpack:"cr,omitempty" json:"cancel_requested,omitempty"`
	Result          []byte              `msgpack:"rs,omitempty" json:"result,omitempty"`
	Failure         *outcome.Error      `msgpack:"e,omitempty" json:"failure,omitempty"`
	Evictions       uint32              `msgpack:"ev,omitempty" json:"evictions"`
	// FailedOn are the agents on whose workers a task failed soon after its
	// start, the latest last; StartFailures counts those failures.
	FailedOn      []string `msgpack:"fo,omitempty" json:"failed_on,omitempty"`
	StartFailures uint32   `msgpack:"sf,omitempty" json:"start_failures,omitempty"`
	AcceptedMs    int64    `msgpack:"am" json:"accepted_ms"`
	FinishedMs    int64    `msgpack:"fm,omitempty" json:"finished_ms,omitempty"`
}

// Assign moves a waiting job to an agent session under the next incarnation.
func (r *Record) Assign(agent string, session uint64) bool {
	if r.State != Accepted && r.State != Evicted {
		return false
	}
	r.State = Assigned
	r.Incarnation++
	r.Agent = agent
	r.Session = session
	return true
}

// Event is what an agent reports about one incarnation of a job.
type Event struct {
	ID          string         `msgpack:"i"`
	Incarnation uint32         `msgpack:"n"`
	State       State          `msgpack:"s"`
	Checkpoint  string         `msgpack:"c,omitempty"`
	Result      []byte         `msgpack:"r,omitempty"`
	Failure     *outcome.Error `msgpack:"e,omitempty"`
	Cause       EvictionCause  `msgpack:"ca,omitempty"`
	// FailedFast marks a failure so soon after the start that the worker may be its cause.
	FailedFast bool `msgpack:"ff,omitempty"`
}

// EvictionCause says why a task was stopped before its end.
type EvictionCause string

// The causes of an eviction.
const (
	CauseInterference EvictionCause = "interference"
	CauseMemory       EvictionCause = "memory"
	CausePreempted    EvictionCause = "preempted"
	CausePlannedStop  EvictionCause = "planned_stop"
	CauseLease        EvictionCause = "lease"
	CauseWorkerFailed EvictionCause = "worker_failed" // failed soon after its start; no eviction is counted
	CauseNotStarted   EvictionCause = "not_started"   // refused before it ran; no eviction is counted
)

// Apply applies an agent's event. It reports whether the record changed; an
// event of another incarnation, or one that came before, changes nothing.
func (r *Record) Apply(ev Event, nowMs int64) bool {
	if ev.Incarnation != r.Incarnation || r.State.Terminal() {
		return false
	}
	if r.State != Assigned && r.State != Running {
		return false
	}
	switch ev.State {
	case Running:
		changed := r.State != Running || (ev.Checkpoint != "" && ev.Checkpoint != r.Checkpoint)
		r.State = Running
		if ev.Checkpoint != "" {
			r.Checkpoint = ev.Checkpoint
		}
		return changed
	case Evicted:
		r.release(ev.Checkpoint)
		if ev.Cause != CauseNotStarted {
			r.Evictions++
		}
		if r.CancelRequested {
			r.finish(Cancelled, nowMs)
		}
		return true
	case Done, Failed, Cancelled:
		r.Result, r.Failure = ev.Result, ev.Failure
		r.finish(ev.State, nowMs)
		return true
	case Accepted, Assigned:
	}
	return false
}

// Finish records the outcome of a check, which has no agent on record. It
// reports whether the record changed.
func (r *Record) Finish(ev Event, nowMs int64) bool {
	if r.Kind != Check || r.State.Terminal() || ev.Incarnation != r.Incarnation {
		return false
	}
	r.Result, r.Failure = ev.Result, ev.Failure
	r.finish(ev.State, nowMs)
	return true
}

// Refuse ends a job that never ran. It reports whether the record changed.
func (r *Record) Refuse(failure *outcome.Error, nowMs int64) bool {
	if r.State != Accepted && r.State != Evicted {
		return false
	}
	r.Failure = failure
	r.finish(Failed, nowMs)
	return true
}

// NotRun reports whether the job ended without having run.
func (r *Record) NotRun() bool {
	return r.State == Failed && r.Failure != nil && r.Failure.Ran() == outcome.RanNo
}

// Reopen lets a job that provably did not run be tried again under its key.
func (r *Record) Reopen(nowMs int64) bool {
	if !r.NotRun() {
		return false
	}
	r.State = Accepted
	r.Failure = nil
	r.FinishedMs = 0
	r.AcceptedMs = nowMs
	r.Incarnation++
	return true
}

// Cancel asks for the end of the job. It reports whether the record changed;
// a job that no agent holds ends at once.
func (r *Record) Cancel(nowMs int64) bool {
	if r.State.Terminal() || r.CancelRequested {
		return false
	}
	r.CancelRequested = true
	if r.State == Accepted || r.State == Evicted {
		r.finish(Cancelled, nowMs)
	}
	return true
}

func (r *Record) release(checkpoint string) {
	r.State = Evicted
	r.Agent = ""
	r.Session = 0
	if checkpoint != "" {
		r.Checkpoint = checkpoint
	}
}

func (r *Record) finish(s State, nowMs int64) {
	r.State = s
	r.FinishedMs = nowMs
	r.Input = nil
}
