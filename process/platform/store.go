package platform

import (
	"context"
	"time"
)

// KV is a key with its value. Revision is the revision of the store at the key's last
// change; 0 means that the key does not exist.
type KV struct {
	Key      string
	Value    []byte
	Revision uint64
}

// Expectation is a condition of a transaction: the key has the given revision; 0 means
// that it does not exist.
type Expectation struct {
	Key      string
	Revision uint64
}

// Put is one write of a transaction.
type Put struct {
	Key   string
	Value []byte
}

// Txn is an atomic change of several keys, made only if all expectations hold.
type Txn struct {
	Expect  []Expectation
	Puts    []Put
	Deletes []string
}

// Size returns the number of entries, which the store limits to MaxTxnEntries.
func (t *Txn) Size() int { return len(t.Expect) + len(t.Puts) + len(t.Deletes) }

// ConflictError reports a transaction with an expectation that does not hold. Nothing was
// written. It matches ErrConflict.
type ConflictError struct {
	// Items are the current values of the keys in Expect; an absent key has revision 0.
	Items []KV
}

// Error implements error.
func (*ConflictError) Error() string { return ErrConflict.Error() }

// Is makes errors.Is match ErrConflict.
func (*ConflictError) Is(target error) bool { return target == ErrConflict }

// Change is one change of a key. A deleted key has no value.
type Change struct {
	KV
	Deleted bool
}

// Store is the platform's key-value store. Every call counts against its rate limits.
// Any goroutine may call any method at any time, but must hold no lock. The errors are
// those of this package.
//
// The deadline of a context bounds the whole call. Without one, a read lasts as long as its
// response makes progress and fails after the store's call timeout without any. Callers whose
// response grows with what is stored pass no deadline: any fixed time is too short for some size
// on some link.
type Store interface {
	// Read returns one key; an absent key has revision 0 and no error.
	Read(ctx context.Context, key string) (KV, error)
	// ReadAt is Read with the store's revision at that time, from which Changes misses no later
	// change. It is 0 if the store does not tell it, as for an absent key.
	ReadAt(ctx context.Context, key string) (kv KV, revision uint64, err error)
	// List returns all keys with the prefix, and the store's revision from before the
	// first of them was read; Changes after that revision misses no change.
	List(ctx context.Context, prefix string) (items []KV, revision uint64, err error)
	// Commit executes a transaction and returns its revision.
	Commit(ctx context.Context, t Txn) (revision uint64, err error)
	// Changes returns the changes of keys with the prefix after a revision, and the
	// revision to continue from. It waits up to wait for the first change.
	Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) (changes []Change, revision uint64, err error)
}
