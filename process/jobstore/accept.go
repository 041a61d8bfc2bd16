package jobstore

import (
	"bytes"
	"context"
	"errors"

	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/request/job"
)

// Jobs is the part of the store that every entry uses.
type Jobs struct {
	store platform.Store
}

// New returns the jobs of a store.
func New(store platform.Store) *Jobs { return &Jobs{store: store} }

// Create records a job unless its id is taken, and returns what is recorded. A
// job that ended without having run is recorded anew. After
// platform.ErrUncertain the record may exist, now or later.
func (s *Jobs) Create(ctx context.Context, def *job.Definition, term uint64) (stored Stored, created bool, err error) {
	stored, created, err = s.createAt(ctx, def, term, 0)
	if err == nil && !created && stored.NotRun() && def.Request != nil && stored.InputHash() == def.Request.InputHash {
		return s.createAt(ctx, def, term, stored.Revision)
	}
	return stored, created, err
}

// createAt records a job if its key has the expected revision.
func (s *Jobs) createAt(ctx context.Context, def *job.Definition, term, expected uint64) (stored Stored, created bool, err error) {
	stored = Stored{Definition: def, Term: term, ID: def.ID}
	value, err := encode(stored)
	if err != nil {
		return Stored{}, false, err
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
		return Stored{}, false, err
	}
	item := conflict.Items[0]
	found, err := decodeStored(item)
	return found, err == nil && bytes.Equal(item.Value, value), err
}

// Lookup returns the record of a job.
func (s *Jobs) Lookup(ctx context.Context, id string) (stored Stored, found bool, err error) {
	kv, err := s.store.Read(ctx, jobKey(id))
	if err != nil || kv.Revision == 0 {
		return Stored{}, false, err
	}
	stored, err = decodeStored(kv)
	return stored, err == nil, err
}

// Cancel records the wish to cancel a job.
func (s *Jobs) Cancel(ctx context.Context, id string) error {
	_, err := s.store.Commit(ctx, platform.Txn{Puts: []platform.Put{{Key: cancelKey(id), Value: []byte{}}}})
	return err
}
