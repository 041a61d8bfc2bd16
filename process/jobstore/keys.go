// Package jobstore keeps jobs in the platform's store.
//
// A job is accepted by creating its key, which any entry may do. What becomes
// of it is written by the leader alone: each of its transactions expects the
// term to be its own and each key to have the revision that the leader knows,
// so that neither a previous leader nor a write that takes effect late can undo
// a later one.
package jobstore

import (
	"strings"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/zeebo/errs"

	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/request/job"
)

// Prefixes of keys. A job and the wish to cancel it share one prefix, so that
// one question finds all that entries wrote.
const (
	inPrefix       = "in/"
	jobPrefix      = inPrefix + "job/"
	cancelPrefix   = inPrefix + "cancel/"
	progressPrefix = "run/"
)

func jobKey(id string) string      { return jobPrefix + id }
func cancelKey(id string) string   { return cancelPrefix + id }
func progressKey(id string) string { return progressPrefix + id }

// Stored is the record of a job: its definition while it goes on, its final
// state for some time afterwards.
type Stored struct {
	Definition *job.Definition `msgpack:"d,omitempty"`
	// Term is the term in which the job was accepted, as far as the entry knew.
	Term    uint64    `msgpack:"t,omitempty"`
	State   job.State `msgpack:"s,omitempty"`
	Profile string    `msgpack:"p,omitempty"`
	EndedMs int64     `msgpack:"e,omitempty"`
	// Record is what the caller of an ended job with a request is shown.
	Record *job.Record `msgpack:"r,omitempty"`
	// ID is the id of the job, Revision the revision of its record.
	ID       string `msgpack:"-"`
	Revision uint64 `msgpack:"-"`
}

// Ended reports whether the job has ended.
func (s *Stored) Ended() bool { return s.State.Terminal() }

// NotRun reports whether the job ended without having run.
func (s *Stored) NotRun() bool { return s.Record != nil && s.Record.NotRun() }

// InputHash returns the hash of the input of a job with a request.
func (s *Stored) InputHash() string {
	switch {
	case s.Record != nil:
		return s.Record.InputHash
	case s.Definition != nil && s.Definition.Request != nil:
		return s.Definition.Request.InputHash
	}
	return ""
}

// Class is the error class of this package.
var Class = errs.Class("jobstore")

func encode(v any) ([]byte, error) {
	encoded, err := msgpack.Marshal(v)
	return encoded, Class.Wrap(err)
}

func decodeStored(kv platform.KV) (Stored, error) {
	s := Stored{ID: strings.TrimPrefix(kv.Key, jobPrefix), Revision: kv.Revision}
	if err := msgpack.Unmarshal(kv.Value, &s); err != nil {
		return Stored{}, Class.Wrap(err)
	}
	if s.Definition == nil && !s.Ended() {
		return Stored{}, Class.New("record holds neither a definition nor a final state")
	}
	return s, nil
}
