// Package platform defines the interfaces to the platform on which camphorhead runs:
// the key-value store, the workers and the policy service. The package platform at the
// root of the repository implements them for the users' platform; HTTPWorker in this
// package is a client of workers with camphorhead's own interface.
package platform

import (
	"time"

	"github.com/zeebo/errs"
)

var (
	// ErrConflict reports an expectation that does not hold. Nothing was written.
	ErrConflict = errs.New("platform: revision does not match; nothing was written")
	// ErrUnavailable reports a call that the platform did not accept. It had no effect.
	ErrUnavailable = errs.New("platform: unavailable; the call had no effect")
	// ErrUncertain reports a call without a response. It may have taken effect.
	ErrUncertain = errs.New("platform: no response; the call may have taken effect")
	// ErrCompacted reports that the store no longer has the requested changes. The caller
	// lists the keys and continues from the revision of the list.
	ErrCompacted = errs.New("platform: the store no longer has the requested changes")
	// ErrTooLarge reports a response that is larger than Transfer.MaxBytes. The call had no effect.
	ErrTooLarge = errs.New("platform: response is larger than the caller takes")
)

const (
	// MaxValueBytes is the store's limit on the size of a value.
	MaxValueBytes = 1 << 20
	// MaxTxnEntries is the store's limit on Txn.Size.
	MaxTxnEntries = 32
	// DefaultTimeout bounds a call whose context has no deadline.
	DefaultTimeout = 2 * time.Second
)
