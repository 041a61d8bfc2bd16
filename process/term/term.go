// Package term says which entry leads.
//
// Terms are numbered by a key in the store that only a compare-and-swap on its
// revision can change. Everything that a leader writes expects the revision of
// its own term, and agents follow the highest term that they have seen, so an
// entry may begin a term at any moment without harm: there is no lease to wait
// for. A leader shows that it is alive by updates to the other entries and by a
// second key, the beat.
package term

import (
	"context"
	"errors"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/zeebo/errs"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/process/platform"
)

// Keys of the store.
const (
	Key     = "leader/term"
	BeatKey = "leader/beat"
)

// Class is the error class of this package.
var Class = errs.Class("term")

// Record is the content of the term's key.
type Record struct {
	Term   uint64            `msgpack:"t"`
	Holder message.EntryInfo `msgpack:"h"`
}

// Beat is the content of the beat's key.
type Beat struct {
	Term   uint64 `msgpack:"t"`
	Number uint64 `msgpack:"n"`
	// Resigned says that the leader gives the term up.
	Resigned bool `msgpack:"r,omitempty"`
}

// View is what the store says.
type View struct {
	Record
	// Revision is that of the term's key; 0: there was no term yet.
	Revision uint64
	Beat     Beat
	// BeatRevision is that of the beat's key.
	BeatRevision uint64
}

// Read returns the present view of the store.
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
			err = msgpack.Unmarshal(kv.Value, &v.Record)
		case BeatKey:
			v.BeatRevision = kv.Revision
			err = msgpack.Unmarshal(kv.Value, &v.Beat)
		}
		if err != nil {
			return View{}, Class.New("key %s: %w", kv.Key, err)
		}
	}
	return v, nil
}

// Claim begins the term after the one in view. ErrConflict means that another
// entry was first; ErrUncertain that the store must be read again.
func Claim(ctx context.Context, store platform.Store, v View, self message.EntryInfo) (View, error) {
	next := View{Record: Record{Term: v.Term + 1, Holder: self}, Beat: v.Beat, BeatRevision: v.BeatRevision}
	value, err := msgpack.Marshal(next.Record)
	if err != nil {
		return View{}, Class.Wrap(err)
	}
	next.Revision, err = store.Commit(ctx, platform.Txn{
		Expect: []platform.Expectation{{Key: Key, Revision: v.Revision}},
		Puts:   []platform.Put{{Key: Key, Value: value}},
	})
	return next, err
}

// Mine reports whether a view shows a term that this very process began.
func (v View) Mine(self message.EntryInfo) bool {
	return v.Revision != 0 && v.Holder.ID == self.ID && v.Holder.StartedMs == self.StartedMs
}

// BeatPut returns the write of the next beat of a term, with its expectation.
func BeatPut(beat Beat, revision uint64) (platform.Txn, error) {
	value, err := msgpack.Marshal(beat)
	if err != nil {
		return platform.Txn{}, Class.Wrap(err)
	}
	return platform.Txn{
		Expect: []platform.Expectation{{Key: BeatKey, Revision: revision}},
		Puts:   []platform.Put{{Key: BeatKey, Value: value}},
	}, nil
}

// Conflicting reports whether an error means that another entry changed the term.
func Conflicting(err error) bool { return errors.Is(err, platform.ErrConflict) }
