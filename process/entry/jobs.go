package entry

import (
	"context"
	"time"

	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/request/outcome"
)

// acceptJob records a proof or a watch. created is false if the key was used before; record is
// then that of the first request. Another profile or body is an outcome.KeyReused error.
func (e *Entry) acceptJob(ctx context.Context, s submission) (record job.Record, created bool, err error) {
	p := s.Profile
	def := &job.Definition{
		ID: job.ID(s.Franchisee, s.Key), Profile: p.Name, Input: s.Body, AcceptedMs: e.nowMs(),
		Service: p.Service, Priority: p.Priority,
		Steps: []job.Step{{Count: 1, Need: p.Resources, Checkpoints: true, LongRunning: p.Kind == job.Watch}},
		Request: &job.Request{
			Key: s.Key, Franchisee: s.Franchisee, Team: p.Team, ProfileVersion: p.Version, Kind: p.Kind,
			Idempotent: s.Idempotent, Urgent: p.Urgent, MaxEvictions: p.MaxEvictions, Region: e.cfg.Process.Region,
			InputHash: s.inputHash(),
		},
	}
	stored, created, err := e.node.Create(ctx, def)
	if err != nil {
		return job.Record{}, false, err
	}
	if stored.InputHash() != def.Request.InputHash {
		return job.Record{}, false, keyReused()
	}
	if stored.Record != nil {
		return *stored.Record, created, nil
	}
	return stored.Definition.Record(), created, nil
}

func keyReused() error {
	return outcome.Field(outcome.KeyReused, "Camphorhead-Request-Key", "the key was used with another body or profile")
}

// inputHash identifies the profile and body of a request, to detect a key that
// is reused for another request.
func (s *submission) inputHash() string {
	return hashInput(append([]byte(s.Profile.Name+"\x00"), s.Body...))
}

// lookup returns the record of a job or a check, else an outcome.NotFound error. It waits up to
// wait for a job to end.
func (e *Entry) lookup(ctx context.Context, id string, wait time.Duration) (job.Record, error) {
	if len(id) != job.IDLength {
		return job.Record{}, noSuchJob()
	}
	found, err := e.node.Lookup(ctx, id, wait)
	if err != nil {
		return job.Record{}, err
	}
	if found != nil {
		return *found, nil
	}
	return e.lookupCheck(ctx, id)
}

func noSuchJob() error { return outcome.Field(outcome.NotFound, "id", "no such job") }

// excludeJob makes sure that a job which is not recorded is not created by a submission from before, and
// returns an outcome.NotFound error; or its record if it has been recorded meanwhile.
func (e *Entry) excludeJob(ctx context.Context, id string) (job.Record, error) {
	if len(id) != job.IDLength {
		return job.Record{}, noSuchJob()
	}
	excluded, err := e.node.Exclude(ctx, id)
	switch {
	case err != nil:
		return job.Record{}, err
	case excluded:
		return job.Record{}, noSuchJob()
	}
	return e.lookup(ctx, id, 0)
}

// cancelJob records the cancellation of a job and returns the job's record.
func (e *Entry) cancelJob(ctx context.Context, id string) (job.Record, error) {
	known, err := e.node.Cancel(ctx, id)
	if err != nil {
		return job.Record{}, err
	}
	if !known {
		return job.Record{}, noSuchJob()
	}
	record, err := e.lookup(ctx, id, 0)
	if err == nil && !record.State.Terminal() {
		record.CancelRequested = true
	}
	return record, err
}
