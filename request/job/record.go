package job

import (
	"camphorhead.example/camphorhead/request/outcome"
	"camphorhead.example/camphorhead/request/resources"
)

// Record is the state of a job as callers receive it. That of a check is also stored in
// this form; others are derived from Definition and Progress.
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
	State           State               `msgpack:"s" json:"state"`
	Incarnation     uint32              `msgpack:"n" json:"incarnation"`
	Agent           string              `msgpack:"a,omitempty" json:"agent,omitempty"`
	Checkpoint      string              `msgpack:"c,omitempty" json:"checkpoint,omitempty"`
	CancelRequested bool                `msgpack:"cr,omitempty" json:"cancel_requested,omitempty"`
	Result          []byte              `msgpack:"rs,omitempty" json:"result,omitempty"`
	Failure         *outcome.Error      `msgpack:"e,omitempty" json:"failure,omitempty"`
	Evictions       uint32              `msgpack:"ev,omitempty" json:"evictions"`
	// FailedOn are the agents on whose workers a task failed soon after its start, the
	// latest last; StartFailures counts these failures.
	FailedOn      []string `msgpack:"fo,omitempty" json:"failed_on,omitempty"`
	StartFailures uint32   `msgpack:"sf,omitempty" json:"start_failures,omitempty"`
	AcceptedMs    int64    `msgpack:"am" json:"accepted_ms"`
	FinishedMs    int64    `msgpack:"fm,omitempty" json:"finished_ms,omitempty"`
}

// NotRun reports whether the job ended without having run.
func (r *Record) NotRun() bool {
	return r.State == Failed && r.Failure != nil && r.Failure.Ran() == outcome.RanNo
}

// Finish records the outcome of a check; a nil failure means success. It reports false,
// and changes nothing, if the record is final already.
func (r *Record) Finish(result []byte, failure *outcome.Error, nowMs int64) bool {
	if r.State.Terminal() {
		return false
	}
	r.State, r.Result, r.Failure, r.FinishedMs = Done, result, failure, nowMs
	if failure != nil {
		r.State = Failed
	}
	return true
}

// Reopen resets the record of a check that is known not to have run, so that it can be
// tried again under its key. It reports false, and changes nothing, for other records.
func (r *Record) Reopen(nowMs int64) bool {
	if !r.NotRun() {
		return false
	}
	r.State, r.Failure, r.FinishedMs, r.AcceptedMs = Accepted, nil, 0, nowMs
	r.Incarnation++
	return true
}
