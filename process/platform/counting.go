package platform

import (
	"context"
	"time"
)

// Counter takes the names of counters; a metrics registry is one.
type Counter interface {
	Add(name string, delta int64)
}

// CountingStore counts the calls of a Store as the platform does: reads with
// lists and questions for changes that do not wait, writes, and watches.
type CountingStore struct {
	Store
	Counter Counter
}

// Names of the counters.
const (
	storeReads   = "store_reads"
	storeWrites  = "store_writes"
	storeWatches = "store_watches"
)

// Read implements Store.
func (c CountingStore) Read(ctx context.Context, key string) (KV, error) {
	c.Counter.Add(storeReads, 1)
	return c.Store.Read(ctx, key)
}

// List implements Store.
func (c CountingStore) List(ctx context.Context, prefix string) (items []KV, revision uint64, err error) {
	c.Counter.Add(storeReads, 1)
	return c.Store.List(ctx, prefix)
}

// Commit implements Store.
func (c CountingStore) Commit(ctx context.Context, t Txn) (revision uint64, err error) {
	c.Counter.Add(storeWrites, 1)
	return c.Store.Commit(ctx, t)
}

// Changes implements Store.
func (c CountingStore) Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) (changes []Change, revision uint64, err error) {
	if wait > 0 {
		c.Counter.Add(storeWatches, 1)
	} else {
		c.Counter.Add(storeReads, 1)
	}
	return c.Store.Changes(ctx, prefix, after, wait)
}
