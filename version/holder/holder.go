// Package holder keeps the configuration document in force in one process.
//
// The version only increases: no process can put an older or equal one in force.
package holder

import (
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"camphorhead.example/camphorhead/process/lockrank"
	"camphorhead.example/camphorhead/version/profile"
)

const (
	maxRecentDeltas = 64 // peers further behind need pages
	// maxHeldVersions and maxRemovals bound what is kept of earlier versions of an operators'
	// document. A peer with an older version gets all of the newest one.
	maxHeldVersions = 64
	maxRemovals     = 4096
)

// Holder holds the document in force. It is safe for concurrent use.
type Holder struct {
	clock   clockwork.Clock
	source  uint64 // random; tells the positions of this holder's pages from those of others
	current atomic.Pointer[profile.Document]

	mu        lockrank.Mutex  // guards the fields below and the replacement of current
	recent    []profile.Delta // consecutive deltas up to the current version
	confirmed Confirmation
	// heldVersions are the latest versions of an operators' document that were in force, oldest
	// first, and removed the profiles that were removed since the first of them. The changes of
	// profiles are known since these versions only: between two others, a profile may have changed
	// and changed back. Both are empty for a document that has its own versions of profiles.
	heldVersions []uint64
	removed      []profile.Removal
}

// Confirmation says that a version was the newest one at a revision of the store and a time.
type Confirmation struct {
	Version  uint64
	Revision uint64    // 0: not known
	At       time.Time // zero: never confirmed
}

// New returns a holder of the empty document, which has version 0.
func New(clock clockwork.Clock) *Holder {
	h := &Holder{clock: clock, source: rand.Uint64(), mu: lockrank.NewMutex(lockrank.RankConfig)}
	h.current.Store(profile.Empty())
	return h
}

// Document returns the document in force. It takes no lock.
func (h *Holder) Document() *profile.Document { return h.current.Load() }

// Apply puts the deltas in force that follow the current version, and reports whether
// the version has increased. It skips older deltas and stops at the first gap.
func (h *Holder) Apply(deltas []profile.Delta) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	doc := h.current.Load()
	advanced := false
	for _, delta := range deltas {
		if delta.Version <= doc.Version {
			continue
		}
		next, err := doc.Apply(delta)
		if err != nil {
			break
		}
		doc, advanced = next, true
		h.appendRecent(delta)
	}
	h.current.Store(doc)
	return advanced
}

// Replace puts a document in force if it is newer, and reports whether it did. It
// discards the recent deltas, since they do not lead to that version.
func (h *Holder) Replace(doc *profile.Document) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if doc.Version <= h.current.Load().Version {
		return false
	}
	if doc.Profiles == nil || doc.Teams == nil || doc.Stops == nil {
		doc = fillMaps(doc)
	}
	h.recent = nil
	h.current.Store(doc)
	return true
}

// Since returns the deltas from version to the current one; none if version is not
// lower. If ok is false they are not kept, and the whole document is needed.
func (h *Holder) Since(version uint64) (deltas []profile.Delta, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if version >= h.current.Load().Version {
		return nil, true
	}
	for i, delta := range h.recent {
		if delta.Version == version+1 {
			return append([]profile.Delta(nil), h.recent[i:]...), true
		}
	}
	return nil, false
}

// Recent returns the latest deltas that this process has put in force, oldest first.
func (h *Holder) Recent() []profile.Delta {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]profile.Delta(nil), h.recent...)
}

// ReplaceByOperators is Replace for a document that operators write as a whole, whose profiles have
// no versions of their own. It gives them versions; the caller must not use doc before.
func (h *Holder) ReplaceByOperators(doc *profile.Document) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	current := h.current.Load()
	if doc.Version <= current.Version {
		return false
	}
	h.removed = append(h.removed, doc.InheritVersions(current)...)
	h.heldVersions = append(h.heldVersions, doc.Version)
	for len(h.heldVersions) > maxHeldVersions || len(h.removed) > maxRemovals && len(h.heldVersions) > 1 {
		h.heldVersions = h.heldVersions[1:]
		h.dropRemovals(h.heldVersions[0])
	}
	h.recent = nil
	h.current.Store(doc)
	return true
}

// dropRemovals drops the removals by a version and all before. The caller holds mu.
func (h *Holder) dropRemovals(version uint64) {
	for len(h.removed) > 0 && h.removed[0].Version <= version {
		h.removed = h.removed[1:]
	}
}

// Page returns the part after a position of the changes since a version, or the first part if the
// position is not one of this holder. If the changes are not known, it is the first part of the
// whole document.
func (h *Holder) Page(since uint64, after profile.Cursor) profile.Page {
	if after.Source != h.source {
		after = profile.Cursor{Source: h.source}
	}
	h.mu.Lock()
	doc, known := h.current.Load(), since == 0 || len(h.heldVersions) == 0 || slices.Contains(h.heldVersions, since)
	var removed []profile.Removal
	for _, r := range h.removed {
		if r.Version > since {
			removed = append(removed, r)
		}
	}
	h.mu.Unlock()
	if !known {
		return doc.Page(0, profile.Cursor{Source: h.source}, nil)
	}
	return doc.Page(since, after, removed)
}

// Confirm records that the store has just reported the current version as the newest.
func (h *Holder) Confirm() {
	h.ConfirmAt(Confirmation{Version: h.Document().Version, At: h.clock.Now()})
}

// ConfirmAt records a confirmation of the version in force, unless a later one is known. Revisions of
// the store tell which one is later: the times of confirmations by other processes are estimates.
func (h *Holder) ConfirmAt(c Confirmation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	known := h.confirmed
	if c.Version != h.current.Load().Version || c.Revision < known.Revision ||
		c.Version == known.Version && c.Revision == known.Revision && c.At.Before(known.At) {
		return
	}
	h.confirmed = c
}

// Confirmed returns the latest confirmation. Its version may be older than the one in force.
func (h *Holder) Confirmed() Confirmation {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.confirmed
}

// Age returns the time since the latest confirmation; ok is false if there was none.
func (h *Holder) Age() (age time.Duration, ok bool) {
	c := h.Confirmed()
	if c.At.IsZero() {
		return 0, false
	}
	return h.clock.Since(c.At), true
}

// The caller holds mu.
func (h *Holder) appendRecent(delta profile.Delta) {
	h.recent = append(h.recent, delta)
	if len(h.recent) > maxRecentDeltas {
		h.recent = append([]profile.Delta(nil), h.recent[len(h.recent)-maxRecentDeltas:]...)
	}
}

// fillMaps returns a copy with empty maps in place of nil ones, and without Services
// and MaxBodyBytes.
func fillMaps(doc *profile.Document) *profile.Document {
	full := profile.Empty()
	full.Version = doc.Version
	if doc.Profiles != nil {
		full.Profiles = doc.Profiles
	}
	if doc.Teams != nil {
		full.Teams = doc.Teams
	}
	if doc.Stops != nil {
		full.Stops = doc.Stops
	}
	return full
}
