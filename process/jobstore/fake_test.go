package jobstore

import (
	"context"
	"sort"
	"strings"
	"time"

	"camphorhead.example/camphorhead/process/platform"
)

// fault is the fault that the fake store applies to one transaction.
type fault int

const (
	noFault      fault = iota
	unavailable        // not applied; ErrUnavailable
	requestLost        // not applied; ErrUncertain
	responseLost       // applied; ErrUncertain
	delayed            // applied by applyDelayed if its expectations still hold; ErrUncertain
)

// fakeStore is a store in memory that injects faults into transactions. It is for one
// goroutine.
type fakeStore struct {
	revision    uint64
	items       map[string]platform.KV
	log         []platform.Change
	nextFault   func() fault
	delayedTxns []platform.Txn
}

func newFakeStore() *fakeStore {
	return &fakeStore{items: map[string]platform.KV{}, nextFault: func() fault { return noFault }, revision: 1}
}

func (f *fakeStore) Read(_ context.Context, key string) (platform.KV, error) {
	if kv, ok := f.items[key]; ok {
		return kv, nil
	}
	return platform.KV{Key: key}, nil
}

func (f *fakeStore) ReadAt(ctx context.Context, key string) (platform.KV, uint64, error) {
	kv, err := f.Read(ctx, key)
	return kv, f.revision, err
}

func (f *fakeStore) List(_ context.Context, prefix string) ([]platform.KV, uint64, error) {
	var list []platform.KV
	for key, kv := range f.items {
		if strings.HasPrefix(key, prefix) {
			list = append(list, kv)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	return list, f.revision, nil
}

func (f *fakeStore) Commit(_ context.Context, t platform.Txn) (uint64, error) {
	switch f.nextFault() {
	case unavailable:
		return 0, platform.ErrUnavailable
	case requestLost:
		return 0, platform.ErrUncertain
	case responseLost:
		_, _ = f.apply(t)
		return 0, platform.ErrUncertain
	case delayed:
		f.delayedTxns = append(f.delayedTxns, t)
		return 0, platform.ErrUncertain
	case noFault:
	}
	return f.apply(t)
}

func (f *fakeStore) apply(t platform.Txn) (uint64, error) {
	if t.Size() > platform.MaxTxnEntries {
		panic("transaction exceeds MaxTxnEntries")
	}
	holds := true
	conflict := &platform.ConflictError{}
	for _, e := range t.Expect {
		kv := f.items[e.Key]
		kv.Key = e.Key
		conflict.Items = append(conflict.Items, kv)
		holds = holds && kv.Revision == e.Revision
	}
	if !holds {
		return 0, conflict
	}
	f.revision++
	for _, p := range t.Puts {
		kv := platform.KV{Key: p.Key, Value: p.Value, Revision: f.revision}
		f.items[p.Key] = kv
		f.log = append(f.log, platform.Change{KV: kv})
	}
	for _, key := range t.Deletes {
		if _, ok := f.items[key]; ok {
			delete(f.items, key)
			f.log = append(f.log, platform.Change{KV: platform.KV{Key: key, Revision: f.revision}, Deleted: true})
		}
	}
	return f.revision, nil
}

// applyDelayed applies the delayed transactions whose expectations still hold.
func (f *fakeStore) applyDelayed() {
	for _, t := range f.delayedTxns {
		_, _ = f.apply(t)
	}
	f.delayedTxns = nil
}

func (f *fakeStore) Changes(_ context.Context, prefix string, after uint64, _ time.Duration) ([]platform.Change, uint64, error) {
	var list []platform.Change
	for _, c := range f.log {
		if c.Revision > after && strings.HasPrefix(c.Key, prefix) {
			list = append(list, c)
		}
	}
	return list, f.revision, nil
}
