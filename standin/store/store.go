// Package store is a stand-in of the platform's key-value store, with transactions,
// ordered lists and watches. It counts calls and injects faults.
//
// A key's revision is the store-wide number of the transaction that wrote it, so a key
// that was deleted and written again never repeats a revision.
package store

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"

	"camphorhead.example/camphorhead/process/lockrank"
	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/standin"
	"camphorhead.example/standin/internal/gate"
	"camphorhead.example/standin/internal/serve"
)

// Config holds the settings of a store; the zero value is usable.
type Config struct {
	Address string          // empty means any free port on 127.0.0.1
	Clock   clockwork.Clock // nil means the real clock
}

// Store implements platform.Store and serves it over HTTP. Any goroutine may call it.
type Store struct {
	clock  clockwork.Clock
	server *serve.Server
	hang   *gate.Gate

	mu       lockrank.Mutex // guards the fields below
	keys     map[string]platform.KV
	revision uint64
	// log lists the changes after the revision compacted, oldest first.
	log           []platform.Change
	compacted     uint64
	watchers      map[*watcher]struct{}
	history       []Write
	calls         Counts
	down          bool
	delay         time.Duration
	lostResponses int // successful commits whose responses are still to be lost
}

// New starts an empty store; Close ends it.
func New(config Config) (*Store, error) {
	if config.Clock == nil {
		config.Clock = clockwork.NewRealClock()
	}
	s := &Store{
		clock: config.Clock, hang: gate.New(), mu: lockrank.NewMutex(standin.Rank),
		keys: make(map[string]platform.KV), watchers: make(map[*watcher]struct{}),
	}
	server, err := serve.Start(config.Address, 0, s.handle)
	if err != nil {
		return nil, err
	}
	s.server = server
	return s, nil
}

// Address returns the listener's host:port.
func (s *Store) Address() string { return s.server.Address() }

// Close closes the listener and waits for all handlers.
func (s *Store) Close() { s.server.Close() }

// Read implements platform.Store.
func (s *Store) Read(ctx context.Context, key string) (platform.KV, error) {
	kv, _, err := s.ReadAt(ctx, key)
	return kv, err
}

// ReadAt is Read with the store's revision at that time.
func (s *Store) ReadAt(ctx context.Context, key string) (kv platform.KV, revision uint64, err error) {
	if err := s.beginCall(ctx, read); err != nil {
		return platform.KV{}, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	kv, ok := s.keys[key]
	if !ok {
		return platform.KV{Key: key}, s.revision, nil
	}
	return kv, s.revision, nil
}

// List implements platform.Store.
func (s *Store) List(ctx context.Context, prefix string) (items []platform.KV, revision uint64, err error) {
	if err := s.beginCall(ctx, read); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, kv := range s.keys {
		if strings.HasPrefix(key, prefix) {
			items = append(items, kv)
		}
	}
	slices.SortFunc(items, func(a, b platform.KV) int { return strings.Compare(a.Key, b.Key) })
	return items, s.revision, nil
}

// Commit implements platform.Store. SetLostResponses makes it fail after it has applied a
// transaction.
func (s *Store) Commit(ctx context.Context, t platform.Txn) (uint64, error) {
	if err := s.beginCall(ctx, write); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if conflict := s.conflict(t); conflict != nil {
		return 0, conflict
	}
	s.apply(t)
	if s.lostResponses > 0 {
		s.lostResponses--
		return 0, platform.ErrUncertain
	}
	return s.revision, nil
}

// conflict returns a platform.ConflictError with the current state of the expected keys
// if one of them has another revision. The caller holds the lock.
func (s *Store) conflict(t platform.Txn) error {
	matches, conflict := true, &platform.ConflictError{}
	for _, e := range t.Expect {
		kv := s.keys[e.Key]
		kv.Key = e.Key
		conflict.Items = append(conflict.Items, kv)
		matches = matches && kv.Revision == e.Revision
	}
	if matches {
		return nil
	}
	return conflict
}

// apply executes a transaction under a new revision. The caller holds the lock.
func (s *Store) apply(t platform.Txn) {
	s.revision++
	for _, p := range t.Puts {
		kv := platform.KV{Key: p.Key, Value: slices.Clone(p.Value), Revision: s.revision}
		s.keys[p.Key] = kv
		s.recordChange(platform.Change{KV: kv})
	}
	for _, key := range t.Deletes {
		if _, ok := s.keys[key]; !ok {
			continue
		}
		delete(s.keys, key)
		s.recordChange(platform.Change{KV: platform.KV{Key: key, Revision: s.revision}, Deleted: true})
	}
}
