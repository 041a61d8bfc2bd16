// Package jobstore keeps jobs in the platform's store.
//
// Any entry accepts a job by creating its key. Only the leader writes the progress and
// the final state: each of its transactions expects that the term is still its own and
// that each key has the revision that the leader last recorded. So neither a previous
// leader nor a delayed write can undo a later one.
package jobstore

import (
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/zeebo/errs"

	"camphorhead.example/camphorhead/connection/body"
	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/request/job"
)

// Key prefixes. Jobs and cancellations share inboxPrefix, so that one read returns all
// that entries have written.
const (
	inboxPrefix    = "in/"
	jobPrefix      = inboxPrefix + "job/"
	cancelPrefix   = inboxPrefix + "cancel/"
	progressPrefix = "run/"
)

func jobKey(id string) string      { return jobPrefix + id }
func cancelKey(id string) string   { return cancelPrefix + id }
func progressKey(id string) string { return progressPrefix + id }

// StoredJob is the record of a job in the store: its definition until it ends, then its
// final state until it is purged.
type StoredJob struct {
	Definition *job.Definition `msgpack:"d,omitempty"`
	// Term is the latest term that the entry knew when it accepted the job.
	Term    uint64    `msgpack:"t,omitempty"`
	State   job.State `msgpack:"s,omitempty"`
	Profile string    `msgpack:"p,omitempty"`
	EndedMs int64     `msgpack:"e,omitempty"` // Unix time in milliseconds
	// Record is the record for the caller of a job with a request that has ended; else nil.
	Record *job.Record `msgpack:"r,omitempty"`
	// Refused is set if the key contains a refusal record and so no job.
	Refused bool `msgpack:"-"`
	// RefusedAt is the time in a refusal record; zero: it has none.
	RefusedAt time.Time `msgpack:"-"`
	// ID and Revision come from the key, not from its value.
	ID       string `msgpack:"-"`
	Revision uint64 `msgpack:"-"`
}

func (s *StoredJob) Ended() bool { return s.State.Terminal() }

// NotRun reports whether the job ended without having run.
func (s *StoredJob) NotRun() bool { return s.Record != nil && s.Record.NotRun() }

// InputHash returns the hash of the input of a job with a request; else "".
func (s *StoredJob) InputHash() string {
	switch {
	case s.Record != nil:
		return s.Record.InputHash
	case s.Definition != nil && s.Definition.Request != nil:
		return s.Definition.Request.InputHash
	}
	return ""
}

var Class = errs.Class("jobstore")

func encode(v any) ([]byte, error) {
	encoded, err := msgpack.Marshal(v)
	return encoded, Class.Wrap(err)
}

// decodeStored decodes the record of a job. Other writers may have changed it, so it returns an
// error for any definition with which the leader could not work.
func decodeStored(kv platform.KV) (StoredJob, error) {
	s := StoredJob{ID: strings.TrimPrefix(kv.Key, jobPrefix), Revision: kv.Revision}
	if at, ok := parseRefusal(kv.Value); ok {
		s.Refused, s.RefusedAt = true, at
		return s, nil
	}
	if err := body.Unmarshal(kv.Value, &s); err != nil {
		return StoredJob{}, Class.Wrap(err)
	}
	if s.Definition == nil && !s.Ended() {
		return StoredJob{}, Class.New("decoding a job: the record has neither a definition nor a final state")
	}
	if s.Definition == nil {
		return s, nil
	}
	if s.Definition.ID != s.ID {
		return StoredJob{}, Class.New("decoding a job: the definition is that of another job")
	}
	return s, Class.Wrap(s.Definition.Validate())
}
