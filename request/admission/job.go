package admission

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"math"
	"time"

	"camphorhead.example/camphorhead/request/outcome"
)

const (
	// maxDelayAge is the age from which on a published delay refuses no job.
	maxDelayAge = 2 * time.Second
	// uselessFactor is the multiple of its objective after which a job is of no use to its caller.
	uselessFactor = 3
	// resumeFactor is the multiple of the objective below which the delay must have fallen before
	// jobs that were refused are accepted again; between the two factors nothing changes.
	resumeFactor = 2
	// admitInterval is the time in which all entries together accept a job of a profile whatever its
	// delay, so that no profile starves and the delay of each is observed. Each entry accepts one per
	// interval and entry, but at least one per maxAdmitInterval: callers may use only one of many.
	admitInterval    = time.Second
	maxAdmitInterval = 10 * time.Second
	// minRetryAfter and maxRetryWait bound the time in Retry-After before its jitter of up to half.
	minRetryAfter = time.Second
	maxRetryWait  = 20 * time.Second
)

// JobInput is what an entry knows when a job is submitted to it.
type JobInput struct {
	ID        string
	Objective time.Duration // 0: none
	Delay     time.Duration // expected delay of a job of the profile; 0: none
	DelayAge  time.Duration // since the delay was received
	// RefusedObjective is the largest objective of the jobs of the profile that are refused, as the
	// previous decision returned it.
	RefusedObjective time.Duration
	SinceAdmitted    time.Duration // since this entry last accepted a job of the profile
	Entries          int           // in use, with this one
}

// Job decides whether an entry accepts a job that is known nowhere: it refuses one, as
// outcome.Overloaded, if the delay alone exceeds three times its objective. The caller keeps refused
// for the next decision on the profile.
func Job(in JobInput) (d Decision, refused time.Duration) {
	if in.DelayAge >= maxDelayAge || in.Delay <= 0 {
		return Decision{Action: Admit}, 0
	}
	refused = min(in.RefusedObjective, in.Delay/resumeFactor)
	if in.Objective <= 0 {
		return Decision{Action: Admit}, refused
	}
	useless := in.Delay/uselessFactor > in.Objective
	if !useless && in.Objective > refused {
		return Decision{Action: Admit}, refused
	}
	refused = max(refused, in.Objective)
	if in.SinceAdmitted >= min(time.Duration(max(in.Entries, 1))*admitInterval, maxAdmitInterval) {
		return Decision{Action: Admit}, refused
	}
	d = refuse(outcome.Overloaded, fmt.Sprintf("the job would wait about %s for a worker; its objective is %s",
		in.Delay.Round(delayUnit), in.Objective.Round(time.Millisecond)))
	d.Err.RetryAfterSeconds = retryAfter(in.ID, in.Delay-in.Objective)
	return d, refused
}

// RefusalRecorded returns the error for a submission that meets the refusal record of its job. It may be
// that of another submission.
func RefusalRecorded(id string) *outcome.Error {
	err := outcome.New(outcome.Overloaded, "the job was refused or cancelled meanwhile; submit it again")
	err.RetryAfterSeconds = retryAfter(id, minRetryAfter)
	return err
}

// retryAfter returns in how many seconds, from 1 to 30, a caller should submit a job again that has
// room after wait. The job's id spreads the callers over half of the wait.
func retryAfter(id string, wait time.Duration) int {
	wait = min(max(wait, minRetryAfter), maxRetryWait)
	sum := sha256.Sum256([]byte(id))
	jitter := float64(binary.BigEndian.Uint64(sum[:])) / math.MaxUint64 / 2
	return int(math.Ceil(wait.Seconds() * (1 + jitter)))
}
