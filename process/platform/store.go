package platform

import (
	"context"
	"time"
)

// KV is one stored value. Revision is that of the store at its last change; 0
// means that the key does not exist.
type KV struct {
	Key      string
	Value    []byte
	Revision uint64
}

// Expectation is a condition of a transaction: the key has this revision; 0
// means that it does not exist.
type Expectation struct {
	Key      string
	Revision uint64
}

// Put is one write of a transaction.
type Put struct {
	Key   string
	Value []byte
}

// Txn is a conditional change of several keys that happens as a whole or not at all.
type Txn struct {
	Expect  []Expectation
	Puts    []Put
	Deletes []string
}

// Size returns the number of entries, which the store bounds.
func (t *Txn) Size() int { return len(t.Expect) + len(t.Puts) + len(t.Deletes) }

// ConflictError is the answer to a transaction whose expectations did not
// hold. Nothing was written. It matches ErrConflict.
type ConflictError struct {
	// Items are the present items of the expectations; an absent key has revision 0.
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

// Store is the platform's key-value store. Every call counts against its
// rates. All methods may be called at any time from any goroutine; no lock may
// be held. The errors are those of this package.
type Store interface {
	// Read returns one key; an absent key has revision 0 and no error.
	Read(ctx context.Context, key string) (KV, error)
	// List returns all keys with the prefix and the store's revision from
	// before the first of them was read, from which Changes misses nothing.
	List(ctx context.Context, prefix string) (items []KV, revision uint64, err error)
	// Commit carries out a transaction and returns its revision.
	Commit(ctx context.Context, t Txn) (revision uint64, err error)
	// Changes returns the changes of keys with the prefix after a revision, and
	// the revision to go on from. It waits up to wait for the first of them.
	Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) (changes []Change, revision uint64, err error)
}
