// Package term decides which entry leads.
//
// Terms are numbered by a key in the store that changes only by a compare-and-swap on its
// revision. Every write of a leader expects the revision of its own term, and agents follow
// the highest term that they have seen. Therefore an entry may safely begin a term at
// any time, and there is no lease to wait for. A leader sends its heartbeats to the other
// entries in its updates, and writes them to a second key of the store.
package term

import (
	"context"
	"errors"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/zeebo/errs"

	"camphorhead.example/camphorhead/connection/body"
	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/process/platform"
)

// Keys of the store: Key holds a Record, HeartbeatKey a Heartbeat.
const (
	Key          = "leader/term"
	HeartbeatKey = "leader/beat"
)

// Class is the error class of this package.
var Class = errs.Class("term")

// Record is the value of Key: the number of the newest term and the entry that began it.
type Record struct {
	Term   uint64            `msgpack:"t"`
	Holder message.EntryInfo `msgpack:"h"`
}

// Heartbeat is the value of HeartbeatKey. Number rises with each transaction of the
// leader and continues across terms.
type Heartbeat struct {
	Term     uint64 `msgpack:"t"`
	Number   uint64 `msgpack:"n"`
	Resigned bool   `msgpack:"r,omitempty"` // the leader gives the term up
}

// View is the content of both keys as read from the store, or as much of it as an
// announcement of a new leader carries: that has no heartbeat.
type View struct {
	Record
	Revision          uint64 // of Key; 0: no term has begun yet
	Heartbeat         Heartbeat
	HeartbeatRevision uint64 // of HeartbeatKey; 0: the key does not exist
	// Unreadable is set if another writer has replaced the record by a value that names no
	// term; Term is then above all terms that can have begun, and nobody holds it.
	Unreadable bool
}

const (
	// maxNumber bounds the numbers of terms and heartbeats. A term lasts a second or more,
	// so higher ones come from another writer, and the numbers after them would overflow.
	maxNumber = 1 << 48
	// unreadableGap is added to the term of the heartbeat if the record cannot be decoded;
	// fewer terms begin without a heartbeat. It is small because the numbers of the runs of
	// a job rise with the terms since its acceptance, up to 2^18 of them.
	unreadableGap = 1 << 10
	// unknownTerm is used if neither can be decoded.
	unknownTerm = 1 << 17
)

// Read returns the current view of the store, or the error of the store. A heartbeat that
// cannot be decoded counts as none; for the record see View.Unreadable.
func Read(ctx context.Context, store platform.Store) (View, error) {
	items, _, err := store.List(ctx, "leader/")
	if err != nil {
		return View{}, err
	}
	var v View
	for _, kv := range items {
		switch kv.Key {
		case Key:
			v.Revision = kv.Revision
			err := body.Unmarshal(kv.Value, &v.Record)
			v.Unreadable = err != nil || v.Term == 0
		case HeartbeatKey:
			v.HeartbeatRevision = kv.Revision
			err := body.Unmarshal(kv.Value, &v.Heartbeat)
			if err != nil || v.Heartbeat.Term > maxNumber || v.Heartbeat.Number > maxNumber {
				v.Heartbeat = Heartbeat{}
			}
		}
	}
	if v.Term > v.Heartbeat.Term+unknownTerm+unreadableGap {
		v.Unreadable = true // the heartbeat of the term before is never so old
	}
	switch {
	case v.Unreadable && v.Heartbeat.Term == 0:
		v.Record = Record{Term: unknownTerm}
	case v.Unreadable:
		v.Record = Record{Term: v.Heartbeat.Term + unreadableGap}
	}
	return v, nil
}

// Claim begins the term that follows v, with self as its holder, and returns the view after that.
// followed is set if self has followed the leader of v. Otherwise that leader may rely on its
// followers alone for Timing.UnknownTimeout after each heartbeat, and the claim fails if there is
// one after v. It returns platform.ErrConflict if another entry has begun a term since v was read.
// After platform.ErrUncertain the term may have begun: the caller reads the store again.
func Claim(ctx context.Context, store platform.Store, v View, self message.EntryInfo, followed bool) (View, error) {
	next := View{Record: Record{Term: v.Term + 1, Holder: self}, Heartbeat: v.Heartbeat, HeartbeatRevision: v.HeartbeatRevision}
	value, err := msgpack.Marshal(next.Record)
	if err != nil {
		return View{}, Class.Wrap(err)
	}
	txn := platform.Txn{
		Expect: []platform.Expectation{{Key: Key, Revision: v.Revision}},
		Puts:   []platform.Put{{Key: Key, Value: value}},
	}
	if !followed {
		txn.Expect = append(txn.Expect, platform.Expectation{Key: HeartbeatKey, Revision: v.HeartbeatRevision})
	}
	next.Revision, err = store.Commit(ctx, txn)
	return next, err
}

// HeldBy reports whether self began the term: the same entry, in the same start of its process.
func (v View) HeldBy(self message.EntryInfo) bool {
	return v.Revision != 0 && v.Holder.ID == self.ID && v.Holder.StartedMs == self.StartedMs
}

// HeartbeatTxn returns the write of a heartbeat, on condition that HeartbeatKey still has the
// given revision.
func HeartbeatTxn(heartbeat Heartbeat, revision uint64) (platform.Txn, error) {
	value, err := msgpack.Marshal(heartbeat)
	if err != nil {
		return platform.Txn{}, Class.Wrap(err)
	}
	return platform.Txn{
		Expect: []platform.Expectation{{Key: HeartbeatKey, Revision: revision}},
		Puts:   []platform.Put{{Key: HeartbeatKey, Value: value}},
	}, nil
}

// Conflicting reports whether an error means that another entry has begun a term.
func Conflicting(err error) bool { return errors.Is(err, platform.ErrConflict) }
