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
	// storeRetryPause is the pause before a failed write of a check's record is repeated,
	// outcomePollInterval that between polls for the outcome of another attempt's check.
	storeRetryPause     = 50 * time.Millisecond
	outcomePollInterval = 100 * time.Millisecond
)

// checkOnce runs a non-idempotent check at most once for its request key: only
// the attempt whose claim of the key is durable sends it.
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
	// The response does not wait for this write. If the outcome is not recorded, a
	// request that repeats the key finds the claim and gets ran "maybe".
	_ = e.waitPool.Submit(func(ctx context.Context) { e.finishCheck(ctx, stored, body, err) })
	return body, err
}

// claim records that this attempt sends the check; mine is false if another
// attempt has claimed it. A write that fails or has no response is repeated until ctx ends.
func (e *Entry) claim(ctx context.Context, s submission) (stored jobstore.StoredCheck, mine bool, err error) {
	p := s.Profile
	record := job.Record{
		ID: job.ID(s.Franchisee, s.Key), Key: s.Key, Franchisee: s.Franchisee, Team: p.Team,
		Profile: p.Name, ProfileVersion: p.Version, Kind: p.Kind, Region: e.cfg.Process.Region,
		InputHash: s.inputHash(), State: job.Accepted, AcceptedMs: e.nowMs(),
	}
	uncertain := false
	for {
		callCtx, cancel := e.callContext(ctx)
		stored, mine, err = e.checks.Claim(callCtx, record, s.ID)
		cancel()
		uncertain = uncertain || errors.Is(err, platform.ErrUncertain)
		if err == nil {
			return stored, mine, nil
		}
		if !errors.Is(err, platform.ErrUncertain) && !errors.Is(err, platform.ErrUnavailable) {
			return stored, false, outcome.New(outcome.Internal, err.Error())
		}
		select {
		case <-ctx.Done():
			if uncertain {
				return stored, false, outcome.New(outcome.StoreUncertain, "the store did not respond; the call may have taken effect")
			}
			return stored, false, outcome.New(outcome.StoreUnavailable, "the store is unavailable; nothing was recorded")
		case <-e.clock.After(storeRetryPause):
		}
	}
}

// finishCheck records the outcome of a check for later requests with its key.
func (e *Entry) finishCheck(ctx context.Context, stored jobstore.StoredCheck, body []byte, checkErr error) {
	var failure *outcome.Error
	if checkErr != nil {
		failure = outcome.From(checkErr)
	}
	ctx, cancel := context.WithTimeout(ctx, finishTimeoutFactor*e.cfg.Limits.CallTimeout())
	defer cancel()
	for {
		callCtx, cancel := e.callContext(ctx)
		_, err := e.checks.Finish(callCtx, stored, body, failure, e.nowMs())
		cancel()
		if err == nil {
			return
		}
		select {
		case <-ctx.Done():
			e.metrics.Add(metrics.OutcomesNotRecorded, 1)
			return
		case <-e.clock.After(storeRetryPause):
		}
	}
}

// finishTimeoutFactor is the time limit for recording the outcome of a check, in call timeouts.
const finishTimeoutFactor = 5

// firstOutcome waits for the outcome of the first request with the key and returns it.
func (e *Entry) firstOutcome(ctx context.Context, record job.Record) ([]byte, error) {
	for !record.State.Terminal() {
		select {
		case <-ctx.Done():
			return nil, outcome.New(outcome.DeadlineExceeded, "the first request with this key has no outcome yet")
		case <-e.clock.After(outcomePollInterval):
		}
		callCtx, cancel := e.callContext(ctx)
		found, err := e.lookupCheck(callCtx, record.ID)
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

// lookupCheck returns the record of a check. If there is no outcome by its expiry, the entry
// that sent it has ended or could not record it: the check is recorded as failed, ran "maybe".
func (e *Entry) lookupCheck(ctx context.Context, id string) (job.Record, error) {
	stored, found, err := e.checks.Lookup(ctx, id)
	switch {
	case err != nil:
		return job.Record{}, outcome.New(outcome.StoreUnavailable, err.Error())
	case !found:
		return job.Record{}, noSuchJob()
	}
	if stored.Record.State.Terminal() || e.nowMs() < e.checkExpiryMs(&stored.Record) {
		return stored.Record, nil
	}
	ended := outcome.New(outcome.ConnectionLost, "the entry that sent the check ended before it recorded the outcome")
	stored, err = e.checks.Finish(ctx, stored, nil, ended, e.nowMs())
	if err != nil {
		return job.Record{}, outcome.New(outcome.StoreUnavailable, err.Error())
	}
	return stored.Record, nil
}

// checkExpiryMs returns the Unix time in milliseconds after which the entry that
// sent a check no longer tries to record its outcome.
func (e *Entry) checkExpiryMs(r *job.Record) int64 {
	deadline := e.config.Document().Profiles[r.Profile].DeadlineMs
	return r.AcceptedMs + deadline + (finishTimeoutFactor+1)*e.cfg.Limits.CallTimeoutMs + e.cfg.Lease.TaskMs
}
