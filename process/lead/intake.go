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
	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/request/outcome"
)

const (
	// minStorePause and maxStorePause bound the pause before a call that the
	// store did not take, or did not answer, is repeated.
	minStorePause = 50 * time.Millisecond
	maxStorePause = 400 * time.Millisecond
)

// Submit records a job and tells the leader. It returns when the job is
// durable. A job that is known here is not recorded again. The error says
// whether it may still come into being: kind StoreUnavailable only if it never will.
func (n *Node) Submit(ctx context.Context, def *job.Definition) error {
	if _, known := n.states.get(def.ID); known {
		return nil // a repetition
	}
	_, _, err := n.Create(ctx, def)
	return err
}

// Create records a job unless its id is taken, and tells the leader. It returns
// what is recorded, and whether that is this job. Errors are those of Submit.
func (n *Node) Create(ctx context.Context, def *job.Definition) (stored jobstore.Stored, created bool, err error) {
	_, number := n.Leads()
	began := n.cfg.Clock.Now()
	maybe := false
	err = n.persist(ctx, func(ctx context.Context) error {
		var err error
		stored, created, err = n.jobs.Create(ctx, def, number)
		maybe = maybe || errors.Is(err, platform.ErrUncertain)
		return err
	})
	if err != nil {
		failure := storeFailure(err, maybe)
		n.cfg.Log.Emit(event.JobNotRecorded, "job", def.ID, "profile", def.Profile, "reason", failure.Kind,
			"ran", failure.Ran(), "elapsed_ms", n.cfg.Clock.Since(began).Milliseconds(), "error", err)
		return stored, false, failure
	}
	if created {
		n.cfg.Metrics.Add(metrics.JobsAccepted, 1)
		n.cfg.Metrics.Observe(metrics.JobRecord, n.cfg.Clock.Since(began))
		n.cfg.Log.Emit(event.JobAccepted, "job", def.ID, "kind", kindOf(def), "profile", def.Profile,
			"franchisee", franchiseeOf(def), "elapsed_ms", n.cfg.Clock.Since(began).Milliseconds(), "term", number)
	}
	n.accepted(&stored)
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

// accepted hands a recorded job to the leader.
func (n *Node) accepted(stored *jobstore.Stored) {
	if stored.Ended() {
		n.states.set(stored.ID, stored.Profile, stored.State)
		return
	}
	n.states.reopen(stored.ID)
	n.states.set(stored.ID, stored.Definition.Profile, job.Accepted)
	if l := n.leadingLoaded(); l != nil {
		l.accept(stored, "caller")
		l.dispatch()
		return
	}
	n.tell(submittedKey(stored.ID), message.KindSubmitted, &message.Submitted{
		Definition: stored.Definition, Term: stored.Term, Revision: stored.Revision,
	})
}

// patienceHalves is how many halves of a call's time a caller waits for the store. Its
// deadline leaves time to ask another entry after that, which the store may serve.
const patienceHalves = 3

// persist repeats a call of the store until it is answered, the patience is at its
// end or ctx ends. What the call writes must bear a repetition. While the store is
// known to be out of reach of this entry most calls are refused without an attempt.
// In an outage for all entries the caller waits: no other entry could serve it.
func (n *Node) persist(ctx context.Context, call func(context.Context) error) error {
	if n.cutOff() && !n.reach.admit() {
		n.cfg.Metrics.Add(metrics.StoreCallsRefused, 1)
		return platform.ErrUnavailable
	}
	began := n.cfg.Clock.Now()
	pause := minStorePause
	var lostAt time.Time
	for {
		bounded, cancel := context.WithTimeout(ctx, n.cfg.Timing.Call)
		err := call(bounded)
		cancel()
		n.reach.note(err)
		if err == nil && !lostAt.IsZero() {
			n.cfg.Log.Emit(event.StoreAnswerLost, "elapsed_ms", n.cfg.Clock.Since(lostAt).Milliseconds())
		}
		if err == nil || !retriable(err) {
			return err
		}
		if lostAt.IsZero() && errors.Is(err, platform.ErrUncertain) {
			lostAt = n.cfg.Clock.Now()
		}
		if n.cfg.Clock.Since(began) >= patienceHalves*n.cfg.Timing.Call/2 && n.cutOff() {
			return err
		}
		n.cfg.Metrics.Add(metrics.StoreRetries, 1)
		select {
		case <-ctx.Done():
			return err
		case <-n.cfg.Clock.After(pause):
		}
		pause = min(2*pause, maxStorePause)
	}
}

func retriable(err error) bool {
	return errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrUncertain)
}

// storeFailure names the failure of a call of the store. maybe says that an
// attempt may have taken effect, or still will.
func storeFailure(err error, maybe bool) *outcome.Error {
	switch {
	case maybe || errors.Is(err, platform.ErrUncertain):
		return outcome.New(outcome.StoreUncertain, "the store gave no answer")
	case errors.Is(err, platform.ErrUnavailable):
		return outcome.New(outcome.StoreUnavailable, "the store does not take the record")
	}
	return outcome.New(outcome.Internal, err.Error())
}

// State returns the state of a job; known is false if there is none.
func (n *Node) State(ctx context.Context, id string) (state job.State, known bool, err error) {
	if state, known = n.states.get(id); known {
		return state, true, nil
	}
	if l := n.leadingLoaded(); l != nil {
		if state, known = l.table.State(id); known {
			return state, true, nil
		}
	}
	var stored jobstore.Stored
	err = n.persist(ctx, func(ctx context.Context) error {
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
	// This entry did not know of the job, so the leader may not either.
	n.accepted(&stored)
	state, _ = n.states.get(id)
	return state, true, nil
}

// Cancel records the wish to cancel a job and tells the leader. It returns when
// that is durable; known is false if there is no such job.
func (n *Node) Cancel(ctx context.Context, id string) (known bool, err error) {
	state, known, err := n.State(ctx, id)
	if err != nil || !known || state.Terminal() {
		return known, err
	}
	maybe := false
	err = n.persist(ctx, func(ctx context.Context) error {
		err := n.jobs.Cancel(ctx, id)
		maybe = maybe || errors.Is(err, platform.ErrUncertain)
		return err
	})
	if err != nil {
		return true, storeFailure(err, maybe)
	}
	n.cfg.Log.Emit(event.JobCancelWanted, "job", id, "source", "caller")
	if l := n.leadingLoaded(); l != nil {
		l.cancel(id, "caller")
		l.dispatch()
		return true, nil
	}
	n.tell(cancelledKey(id), message.KindCancelled, &message.JobRef{Job: id})
	return true, nil
}

// QueueLength returns the number of accepted jobs of a profile that have not begun.
func (n *Node) QueueLength(profile string) int {
	return n.states.queueLength(profile)
}
