// Package job defines the state of one accepted request: its definition, the durable
// progress of its tasks, and the record that callers receive.
package job

import (
	"crypto/sha256"
	"encoding/hex"
)

// State is the state of a job.
type State string

// The closed list of states.
const (
	Accepted  State = "accepted"  // recorded, not started
	Assigned  State = "assigned"  // a start was ordered and is not confirmed yet
	Running   State = "running"   // started
	Evicted   State = "evicted"   // stopped, waits for another worker
	Done      State = "done"      // finished with a result
	Failed    State = "failed"    // finished without a result
	Cancelled State = "cancelled" // ended at the caller's request
)

// Terminal reports whether the state is final.
func (s State) Terminal() bool { return s == Done || s == Failed || s == Cancelled }

// Kind is the kind of work, as the profile specifies it.
type Kind string

// The kinds of work.
const (
	Check Kind = "check" // latency-critical request
	Proof Kind = "proof" // batch job
	Watch Kind = "watch" // long-running job
	// Pipeline is a job whose steps come with the request.
	Pipeline Kind = "pipeline"
)

// IDLength is the length of a job id in hexadecimal digits.
const IDLength = 32

// ID derives the job id from franchisee and request key, so that a repeated key
// leads to the record of the first request on any entry.
func ID(franchisee, key string) string {
	h := sha256.New()
	h.Write([]byte(franchisee))
	h.Write([]byte{0})
	h.Write([]byte(key))
	return hex.EncodeToString(h.Sum(nil))[:IDLength]
}

// EvictionCause is the reason why a task was stopped before its end.
type EvictionCause string

// The causes of an eviction.
const (
	CauseInterference EvictionCause = "interference" // it slowed checks down
	CauseMemory       EvictionCause = "memory"       // the worker was running out of memory
	CausePreempted    EvictionCause = "preempted"    // for urgent work, or to reclaim a team's quota
	CausePlannedStop  EvictionCause = "planned_stop" // its worker is being drained
	CauseLease        EvictionCause = "lease"        // the lease of its agent's session expired
)
