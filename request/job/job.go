// Package job holds what is known of one accepted request: its definition, the
// durable progress of its tasks, and the record that callers are shown.
package job

import (
	"crypto/sha256"
	"encoding/hex"
)

// State is the state of a job.
type State string

// The closed list of states.
const (
	Accepted  State = "accepted"  // recorded, has not begun
	Assigned  State = "assigned"  // a start was ordered and is not confirmed
	Running   State = "running"   // has begun
	Evicted   State = "evicted"   // was stopped and waits for another worker
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

// EvictionCause says why a task was stopped before its end.
type EvictionCause string

// The causes of an eviction.
const (
	CauseInterference EvictionCause = "interference"
	CauseMemory       EvictionCause = "memory"
	CausePreempted    EvictionCause = "preempted"
	CausePlannedStop  EvictionCause = "planned_stop"
	CauseLease        EvictionCause = "lease"
)
