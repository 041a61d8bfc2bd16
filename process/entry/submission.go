package entry

import (
	"strconv"
	"time"

	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/request/outcome"
	"camphorhead.example/camphorhead/version/profile"
)

const (
	maxNameBytes = 128
	minDeadline  = time.Millisecond
)

// fields are the unvalidated values of a request, whichever front end has read them.
type fields struct {
	Profile    string
	Franchisee string
	Key        string
	DeadlineMs string
	Idempotent string
	Body       []byte
}

// submission is a request that is valid under the configuration in force.
type submission struct {
	ID         string
	Profile    profile.Profile
	Franchisee string
	Key        string
	Deadline   time.Duration
	Idempotent bool
	Body       []byte
}

// parse validates a request. The error is an *outcome.Error that names the first invalid field.
func parse(f fields, doc *profile.Document, id string) (submission, error) {
	s := submission{ID: id, Franchisee: f.Franchisee, Key: f.Key, Body: f.Body}
	p, ok := doc.Profiles[f.Profile]
	switch {
	case f.Profile == "":
		return s, outcome.Field(outcome.InvalidField, "Camphorhead-Profile", "the header is missing or empty")
	case !ok:
		return s, outcome.Field(outcome.UnknownProfile, "Camphorhead-Profile", "no profile "+strconv.Quote(f.Profile))
	case p.Retired:
		return s, outcome.Field(outcome.RetiredProfile, "Camphorhead-Profile", "profile "+strconv.Quote(f.Profile)+" is retired")
	case f.Franchisee == "" || len(f.Franchisee) > maxNameBytes:
		return s, outcome.Field(outcome.InvalidField, "Camphorhead-Franchisee", "must have 1 to 128 bytes")
	case len(f.Key) > maxNameBytes:
		return s, outcome.Field(outcome.InvalidField, "Camphorhead-Request-Key", "must have at most 128 bytes")
	}
	s.Profile = p
	if err := s.parseIdempotent(f.Idempotent); err != nil {
		return s, err
	}
	if err := s.parseDeadline(f.DeadlineMs); err != nil {
		return s, err
	}
	if f.Key == "" && (!s.Idempotent || p.Kind != job.Check) {
		return s, outcome.Field(outcome.MissingKey, "Camphorhead-Request-Key", "required for a proof, a watch and a non-idempotent check")
	}
	return s, nil
}

func (s *submission) parseIdempotent(value string) error {
	switch value {
	case "true":
		s.Idempotent = true
	case "false", "":
		s.Idempotent = false
	default:
		return outcome.Field(outcome.InvalidField, "Camphorhead-Idempotent", `must be "true" or "false"`)
	}
	return nil
}

func (s *submission) parseDeadline(value string) error {
	limit := time.Duration(s.Profile.DeadlineMs) * time.Millisecond
	s.Deadline = limit
	if value == "" {
		return nil
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms < minDeadline.Milliseconds() {
		return outcome.Field(outcome.InvalidField, "Camphorhead-Deadline-Ms", "must be a whole number of milliseconds, at least 1")
	}
	if ms > s.Profile.DeadlineMs {
		return outcome.Field(outcome.InvalidField, "Camphorhead-Deadline-Ms",
			"must be at most "+strconv.FormatInt(s.Profile.DeadlineMs, 10)+" ms, the deadline of the profile")
	}
	s.Deadline = time.Duration(ms) * time.Millisecond
	return nil
}
