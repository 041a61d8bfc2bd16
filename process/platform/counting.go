package platform

import (
	"context"
	"time"

	"camphorhead.example/camphorhead/process/metrics"
)

// Counter counts events by label. metrics.Registry implements it.
type Counter interface {
	AddFor(id metrics.ID, label string, delta int64)
}

// CountingStore counts the calls to a Store in the platform's categories. Lists, and
// calls for changes that do not wait, count as reads; those that wait count as watches.
type CountingStore struct {
	Store
	Counter Counter
}

// The labels of metrics.StoreCalls.
const (
	storeReads   = "read"
	storeWrites  = "write"
	storeWatches = "watch"
)

// Read implements Store.
func (c CountingStore) Read(ctx context.Context, key string) (KV, error) {
	c.Counter.AddFor(metrics.StoreCalls, storeReads, 1)
	return c.Store.Read(ctx, key)
}

// ReadAt implements Store.
func (c CountingStore) ReadAt(ctx context.Context, key string) (kv KV, revision uint64, err error) {
	c.Counter.AddFor(metrics.StoreCalls, storeReads, 1)
	return c.Store.ReadAt(ctx, key)
}

// List implements Store.
func (c CountingStore) List(ctx context.Context, prefix string) (items []KV, revision uint64, err error) {
	c.Counter.AddFor(metrics.StoreCalls, storeReads, 1)
	return c.Store.List(ctx, prefix)
}

// Commit implements Store.
func (c CountingStore) Commit(ctx context.Context, t Txn) (revision uint64, err error) {
	c.Counter.AddFor(metrics.StoreCalls, storeWrites, 1)
	return c.Store.Commit(ctx, t)
}

// Changes implements Store.
func (c CountingStore) Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) (changes []Change, revision uint64, err error) {
	if wait > 0 {
		c.Counter.AddFor(metrics.StoreCalls, storeWatches, 1)
	} else {
		c.Counter.AddFor(metrics.StoreCalls, storeReads, 1)
	}
	return c.Store.Changes(ctx, prefix, after, wait)
}
