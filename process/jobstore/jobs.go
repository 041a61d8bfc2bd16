package jobstore

import (
	"bytes"
	"context"
	"errors"
	"time"

	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/request/job"
)

// Jobs creates, reads and cancels jobs in the store, for any entry and any goroutine.
type Jobs struct {
	store platform.Store
}

func New(store platform.Store) *Jobs { return &Jobs{store: store} }

// Create records a job unless its id is taken, and returns the stored record. created is
// true if that equals the record of this call, so also if an earlier call wrote it without
// a response. A job that ended without having run is recorded again if its input is the
// same. A refusal record is returned and left as it is. After platform.ErrUncertain the record may exist or appear later; the error for an
// invalid definition is an *outcome.Error, and nothing is recorded.
func (s *Jobs) Create(ctx context.Context, def *job.Definition, term uint64) (stored StoredJob, created bool, err error) {
	return s.create(ctx, def, term, 0)
}

// CreateOver is Create for a submission that arrived after the refusal record with a revision was
// written: it replaces that record.
func (s *Jobs) CreateOver(ctx context.Context, def *job.Definition, term, refusal uint64) (stored StoredJob, created bool, err error) {
	return s.create(ctx, def, term, refusal)
}

func (s *Jobs) create(ctx context.Context, def *job.Definition, term, expected uint64) (stored StoredJob, created bool, err error) {
	if err := def.Validate(); err != nil {
		return StoredJob{}, false, err // the leader could not read its record
	}
	stored, created, err = s.createAt(ctx, def, term, expected)
	if err == nil && !created && stored.NotRun() && def.Request != nil && stored.InputHash() == def.Request.InputHash {
		return s.createAt(ctx, def, term, stored.Revision)
	}
	return stored, created, err
}

// createAt records a job if its key has the expected revision; 0: the key does not exist.
// Else it returns the stored record.
func (s *Jobs) createAt(ctx context.Context, def *job.Definition, term, expected uint64) (stored StoredJob, created bool, err error) {
	stored = StoredJob{Definition: def, Term: term, ID: def.ID}
	value, err := encode(stored)
	if err != nil {
		return StoredJob{}, false, err
	}
	key := jobKey(def.ID)
	stored.Revision, err = s.store.Commit(ctx, platform.Txn{
		Expect: []platform.Expectation{{Key: key, Revision: expected}},
		Puts:   []platform.Put{{Key: key, Value: value}},
	})
	if err == nil {
		return stored, true, nil
	}
	var conflict *platform.ConflictError
	if !errors.As(err, &conflict) || len(conflict.Items) == 0 {
		return StoredJob{}, false, err
	}
	item := conflict.Items[0]
	found, err := decodeStored(item)
	return found, err == nil && bytes.Equal(item.Value, value), err
}

// Lookup returns the record of a job. A refusal record is none.
func (s *Jobs) Lookup(ctx context.Context, id string) (stored StoredJob, found bool, err error) {
	kv, err := s.store.Read(ctx, jobKey(id))
	if err != nil || kv.Revision == 0 {
		return StoredJob{}, false, err
	}
	stored, err = decodeStored(kv)
	return stored, err == nil && !stored.Refused, err
}

// Cancellation is what Cancel has found and recorded.
type Cancellation struct {
	Job   StoredJob // found; with a definition unless it has ended
	Found bool      // false: there is no such job, and a refusal record excludes those submitted before
	// Revision is that of the record of the cancellation or refusal; 0: none was written, as the job has ended.
	Revision uint64
}

// Cancel records that the cancellation of a job was requested, unless it has ended. If there is no such
// job, it may be created late by a submission that has had no response, so Cancel records its refusal; admit
// is called before that, and an error of it is returned. Each record is written on condition that the key
// of the job is as it was read: a cancellation that is executed late concerns no job that was handed in anew
// under the ID. That of a cancellation also expects the term at the revision that the entry knows, so that
// each later leader finds it as it loads the jobs; the error is ErrFenced, and nothing is written, if another
// term has begun. After platform.ErrUncertain the record may exist or appear later; after
// platform.ErrUnavailable it does not.
func (s *Jobs) Cancel(ctx context.Context, id string, newest Fence, at time.Time, admit func() error) (c Cancellation, err error) {
	for range maxRefuseAttempts {
		kv, err := s.store.Read(ctx, jobKey(id))
		if err != nil {
			return Cancellation{}, err
		}
		_, refused := parseRefusal(kv.Value)
		c = Cancellation{Found: kv.Revision != 0 && !refused}
		t := platform.Txn{
			Expect: []platform.Expectation{{Key: jobKey(id), Revision: kv.Revision}, {Key: newest.Key, Revision: newest.Revision}},
			Puts:   []platform.Put{{Key: cancelKey(id), Value: []byte{}}},
		}
		if !c.Found {
			if err := admit(); err != nil {
				return Cancellation{}, err
			}
			// An earlier refusal is written again, as in Refuse.
			t.Expect, t.Puts = t.Expect[:1], []platform.Put{{Key: jobKey(id), Value: refusalAt(at)}}
		} else if c.Job, err = decodeStored(kv); err != nil || c.Job.Ended() {
			return c, err
		}
		c.Revision, err = s.store.Commit(ctx, t)
		var conflict *platform.ConflictError
		if !errors.As(err, &conflict) {
			return c, err
		}
		if len(conflict.Items) == 2 && conflict.Items[1].Revision != newest.Revision {
			return Cancellation{}, ErrFenced
		}
	}
	return Cancellation{}, platform.ErrUnavailable
}
