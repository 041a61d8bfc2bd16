package lead

import (
	"context"
	"errors"
	"time"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/process/jobstore"
	"camphorhead.example/camphorhead/process/metrics"
	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/request/admission"
	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/request/outcome"
)

const (
	// Bounds of the pause before a store call is repeated; it doubles with each attempt.
	minStoreBackoff = 50 * time.Millisecond
	maxStoreBackoff = 400 * time.Millisecond
)

// Submit records a job and notifies the leader. It returns when the job is durable. A job
// whose state is known here is not recorded again. The error is of kind StoreUnavailable
// only if the job will never exist; after StoreUncertain it may exist, now or later. A job
// that would wait for too long is refused as Overloaded unless its id may be taken; no submission
// that arrived before the refusal makes it run.
func (n *Node) Submit(ctx context.Context, def *job.Definition) error {
	if _, known := n.states.get(def.ID); known {
		return nil // a repeated submission
	}
	_, _, err := n.Create(ctx, def)
	return err
}

// Create records a job unless its id is taken, and notifies the leader. It returns the
// record under the id and whether that is this job. The errors are those of Submit.
func (n *Node) Create(ctx context.Context, def *job.Definition) (stored jobstore.StoredJob, created bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, jobstore.MaxCreateTime)
	defer cancel()
	arrived := n.admissions.knownRevision()
	if err := n.admit(ctx, def); err != nil {
		return jobstore.StoredJob{}, false, err
	}
	uncertain := false
	_, number := n.Leads()
	began := n.cfg.Clock.Now()
	err = n.callStore(ctx, func(ctx context.Context) error {
		var err error
		stored, created, err = n.jobs.Create(ctx, def, number)
		if err == nil && stored.Refused && stored.Revision <= arrived {
			// The refusal was executed before this submission arrived.
			stored, created, err = n.jobs.CreateOver(ctx, def, number, stored.Revision)
		}
		uncertain = uncertain || errors.Is(err, platform.ErrUncertain)
		return err
	})
	if err == nil && stored.Refused && uncertain {
		err = platform.ErrUncertain // an earlier attempt may be executed when the refusal record has been deleted
	}
	if err != nil {
		failure := storeFailure(err, uncertain)
		n.cfg.Log.Emit(event.JobNotRecorded, "job", def.ID, "profile", def.Profile, "reason", failure.Kind,
			"ran", failure.Ran(), "elapsed_ms", n.cfg.Clock.Since(began).Milliseconds(), "error", err)
		return stored, false, failure
	}
	if stored.Refused {
		n.admissions.observeRevision(stored.Revision)
		return jobstore.StoredJob{}, false, n.refused(def, admission.RefusalRecorded(def.ID))
	}
	if created {
		n.cfg.Metrics.Add(metrics.JobsAccepted, 1)
		n.cfg.Metrics.Observe(metrics.JobRecord, n.cfg.Clock.Since(began))
		n.cfg.Log.Emit(event.JobAccepted, "job", def.ID, "kind", kindOf(def), "profile", def.Profile,
			"franchisee", franchiseeOf(def), "elapsed_ms", n.cfg.Clock.Since(began).Milliseconds(), "term", number)
	}
	n.forward(&stored)
	return stored, created, nil
}

func kindOf(def *job.Definition) job.Kind {
	if def.Request == nil {
		return job.Pipeline
	}
	return def.Request.Kind
}

func franchiseeOf(def *job.Definition) string {
	if def.Request == nil {
		return ""
	}
	return def.Request.Franchisee
}

// forward caches the state of a recorded job and passes the job on to the leader, unless it
// has ended.
func (n *Node) forward(stored *jobstore.StoredJob) {
	if stored.Ended() {
		n.states.set(stored.ID, stored.Profile, stored.State)
		return
	}
	n.states.reopen(stored.ID)
	n.states.set(stored.ID, stored.Definition.Profile, job.Accepted)
	if l := n.loadedTerm(); l != nil {
		l.accept(stored, "caller")
		l.dispatch()
		return
	}
	n.notifyLeader(submittedKey(stored.ID), message.KindSubmitted, &message.Submitted{
		Definition: stored.Definition, Term: stored.Term, Revision: stored.Revision,
	})
}

// retryHalfTimeouts limits the retries of an entry that may be isolated, in halves of
// Timing.CallTimeout. The deadlines of callers leave time after that for a request to another
// entry, which the store may serve.
const retryHalfTimeouts = 3

// callStore makes an idempotent call of the store and repeats it while the store is
// unavailable or does not respond, until ctx ends. An entry that may be isolated stops at the
// retry limit, and refuses most calls at once while its store circuit breaker is open. In a
// global outage the caller waits, since no other entry could serve it.
func (n *Node) callStore(ctx context.Context, call func(context.Context) error) error {
	if n.mayBeIsolated() && !n.breaker.admit() {
		n.cfg.Metrics.Add(metrics.StoreCallsRefused, 1)
		return platform.ErrUnavailable
	}
	began := n.cfg.Clock.Now()
	pause := minStoreBackoff
	var lostAt time.Time
	for {
		bounded, cancel := context.WithTimeout(ctx, n.cfg.Timing.CallTimeout)
		err := call(bounded)
		cancel()
		n.breaker.record(err)
		if err == nil && !lostAt.IsZero() {
			n.cfg.Log.Emit(event.StoreResponseLost, "elapsed_ms", n.cfg.Clock.Since(lostAt).Milliseconds())
		}
		if err == nil || !retriable(err) {
			return err
		}
		if lostAt.IsZero() && errors.Is(err, platform.ErrUncertain) {
			lostAt = n.cfg.Clock.Now()
		}
		if n.cfg.Clock.Since(began) >= retryHalfTimeouts*n.cfg.Timing.CallTimeout/2 && n.mayBeIsolated() {
			return err
		}
		n.cfg.Metrics.Add(metrics.StoreRetries, 1)
		select {
		case <-ctx.Done():
			return err
		case <-n.cfg.Clock.After(pause):
		}
		pause = min(2*pause, maxStoreBackoff)
	}
}

func retriable(err error) bool {
	return errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrUncertain)
}

// storeFailure converts the error of a store call to one for callers. uncertain is set if
// an attempt may have taken effect, or may still do so.
func storeFailure(err error, uncertain bool) *outcome.Error {
	switch {
	case uncertain || errors.Is(err, platform.ErrUncertain):
		return outcome.New(outcome.StoreUncertain, "the store did not respond; the call may have taken effect")
	case errors.Is(err, platform.ErrUnavailable):
		return outcome.New(outcome.StoreUnavailable, "the store is unavailable; nothing was recorded")
	}
	return outcome.New(outcome.Internal, err.Error())
}

// State returns the state of a job; known is false if there is no such job. It reads the
// store only for a job that this entry does not know. The error is an *outcome.Error.
func (n *Node) State(ctx context.Context, id string) (state job.State, known bool, err error) {
	if state, known = n.states.get(id); known {
		return state, true, nil
	}
	if l := n.loadedTerm(); l != nil {
		if state, known = l.table.State(id); known {
			return state, true, nil
		}
	}
	var stored jobstore.StoredJob
	err = n.callStore(ctx, func(ctx context.Context) error {
		var err error
		stored, known, err = n.jobs.Lookup(ctx, id)
		return err
	})
	switch {
	case err != nil:
		return "", false, storeFailure(err, false)
	case !known:
		return "", false, nil
	}
	// This entry had no record of the job, so the leader may have none either.
	n.forward(&stored)
	state, _ = n.states.get(id)
	return state, true, nil
}

// QueueLength returns the number of accepted jobs of a profile that have not begun.
func (n *Node) QueueLength(profile string) int {
	return n.states.queueLength(profile)
}
