package entry

import (
	"context"
	"errors"
	"time"

	"camphorhead.example/camphorhead/process/jobstore"
	"camphorhead.example/camphorhead/process/metrics"
	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/request/budget"
	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/request/outcome"
)

const (
	// claimPause is the pause before a record of a check that the store did not
	// take is written again, outcomePoll that between two looks for the outcome of
	// a check that another attempt has sent.
	claimPause  = 50 * time.Millisecond
	outcomePoll = 100 * time.Millisecond
)

// checkOnce runs a non-idempotent check at most once for its request key: only
// the attempt whose claim is durable sends it.
func (e *Entry) checkOnce(ctx context.Context, s submission, b budget.Budget) ([]byte, error) {
	stored, mine, err := e.claim(ctx, s)
	if err != nil {
		return nil, err
	}
	if stored.Record.InputHash != s.inputHash() {
		return nil, keyReused()
	}
	if !mine {
		return e.firstOutcome(ctx, stored.Record)
	}
	body, err := e.router.run(ctx, s, b)
	// The answer does not wait for this write: a repeated key finds the claim and
	// is told "maybe" if the outcome was not kept.
	_ = e.waitPool.Submit(func(ctx context.Context) { e.finishCheck(ctx, stored, body, err) })
	return body, err
}

// claim records that this attempt sends the check. It repeats a write without
// an answer until the outcome is known or ctx ends.
func (e *Entry) claim(ctx context.Context, s submission) (stored jobstore.StoredCheck, mine bool, err error) {
	p := s.Profile
	record := job.Record{
		ID: job.ID(s.Franchisee, s.Key), Key: s.Key, Franchisee: s.Franchisee, Team: p.Team,
		Profile: p.Name, ProfileVersion: p.Version, Kind: p.Kind, Region: e.cfg.Process.Region,
		InputHash: s.inputHash(), State: job.Accepted, AcceptedMs: e.nowMs(),
	}
	maybe := false
	for {
		bounded, cancel := e.callContext(ctx)
		stored, mine, err = e.checks.Claim(bounded, record, s.ID)
		cancel()
		maybe = maybe || errors.Is(err, platform.ErrUncertain)
		if err == nil {
			return stored, mine, nil
		}
		if !errors.Is(err, platform.ErrUncertain) && !errors.Is(err, platform.ErrUnavailable) {
			return stored, false, outcome.New(outcome.Internal, err.Error())
		}
		select {
		case <-ctx.Done():
			if maybe {
				return stored, false, outcome.New(outcome.StoreUncertain, "the store gave no answer")
			}
			return stored, false, outcome.New(outcome.StoreUnavailable, "the store does not take the record")
		case <-e.clock.After(claimPause):
		}
	}
}

// finishCheck records the outcome of a check for repetitions of its key.
func (e *Entry) finishCheck(ctx context.Context, stored jobstore.StoredCheck, body []byte, failed error) {
	var failure *outcome.Error
	if failed != nil {
		failure = outcome.From(failed)
	}
	ctx, cancel := context.WithTimeout(ctx, finishCalls*e.cfg.Limits.CallTimeout())
	defer cancel()
	for {
		bounded, cancel := e.callContext(ctx)
		_, err := e.checks.Finish(bounded, stored, body, failure, e.nowMs())
		cancel()
		if err == nil {
			return
		}
		select {
		case <-ctx.Done():
			e.metrics.Add(metrics.OutcomesNotRecorded, 1)
			return
		case <-e.clock.After(claimPause):
		}
	}
}

// finishCalls is for how many calls' time the outcome of a check is tried to be recorded.
const finishCalls = 5

// firstOutcome answers a repeated request key with the first attempt's outcome.
func (e *Entry) firstOutcome(ctx context.Context, record job.Record) ([]byte, error) {
	for !record.State.Terminal() {
		select {
		case <-ctx.Done():
			return nil, outcome.New(outcome.DeadlineExceeded, "the first request with this key has no outcome yet")
		case <-e.clock.After(outcomePoll):
		}
		bounded, cancel := e.callContext(ctx)
		found, err := e.lookupCheck(bounded, record.ID)
		cancel()
		if err == nil {
			record = found
		}
	}
	if record.Failure != nil {
		return nil, record.Failure
	}
	return record.Result, nil
}

// lookupCheck returns the record of a check. One without an outcome long after
// its deadline was sent by a process that has ended; its outcome is not known.
func (e *Entry) lookupCheck(ctx context.Context, id string) (job.Record, error) {
	stored, found, err := e.checks.Lookup(ctx, id)
	switch {
	case err != nil:
		return job.Record{}, outcome.New(outcome.StoreUnavailable, err.Error())
	case !found:
		return job.Record{}, noSuchJob()
	}
	if stored.Record.State.Terminal() || e.nowMs() < e.checkExpiry(&stored.Record) {
		return stored.Record, nil
	}
	ended := outcome.New(outcome.ConnectionLost, "the entry that sent the check ended before it knew the outcome")
	stored, err = e.checks.Finish(ctx, stored, nil, ended, e.nowMs())
	if err != nil {
		return job.Record{}, outcome.New(outcome.StoreUnavailable, err.Error())
	}
	return stored.Record, nil
}

// checkExpiry is when the outcome of a check is certainly recorded, if its
// process still runs.
func (e *Entry) checkExpiry(r *job.Record) int64 {
	deadline := e.config.Document().Profiles[r.Profile].DeadlineMs
	return r.AcceptedMs + deadline + (finishCalls+1)*e.cfg.Limits.CallTimeoutMs + e.cfg.Lease.TaskMs
}
