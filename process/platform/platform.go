// Package platform describes what camphorhead uses of the operators' platform:
// the key-value store and the workers. Folder platform at the root of the
// repository speaks to the users' platform, HTTPWorker in this package to
// workers with camphorhead's own interface.
package platform

import (
	"time"

	"github.com/zeebo/errs"
)

var (
	// ErrConflict reports a transaction whose expectations did not hold. Nothing was written.
	ErrConflict = errs.New("platform: revision does not match")
	// ErrUnavailable reports a call that the platform did not take. Nothing was done.
	ErrUnavailable = errs.New("platform: unavailable")
	// ErrUncertain reports a call without an answer. It may have taken effect.
	ErrUncertain = errs.New("platform: no answer, the call may have taken effect")
	// ErrCompacted reports that the store no longer has the changes that were
	// asked for. The caller lists the keys and goes on from the list's revision.
	ErrCompacted = errs.New("platform: history is no longer available")
)

const (
	// MaxValueBytes is the store's bound on one value.
	MaxValueBytes = 1 << 20
	// MaxTxnEntries is the store's bound on the entries of one transaction.
	MaxTxnEntries = 32
	// DefaultTimeout bounds a call whose context has no earlier deadline.
	DefaultTimeout = 2 * time.Second
)
