package store_test

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	adapter "camphorhead.example/camphorhead/platform"
	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/standin/store"
)

const testTimeout = 10 * time.Second

func open(t *testing.T) (*store.Store, *adapter.Store, context.Context) {
	t.Helper()
	s, err := store.New(store.Config{})
	require.NoError(t, err)
	t.Cleanup(s.Close)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return s, adapter.NewStore(s.Address(), time.Second), ctx
}

// put returns a transaction that writes one key if the key has the given revision.
func put(key, value string, revision uint64) platform.Txn {
	return platform.Txn{
		Expect: []platform.Expectation{{Key: key, Revision: revision}},
		Puts:   []platform.Put{{Key: key, Value: []byte(value)}},
	}
}

// Guards against a put or delete that takes effect although it expects an old revision,
// also of a key that was deleted and written again, and against a transaction that is
// applied in part.
func TestConflictWritesNothing(t *testing.T) {
	_, client, ctx := open(t)
	first, err := client.Commit(ctx, put("a/1", "one", 0))
	require.NoError(t, err)
	_, err = client.Commit(ctx, put("a/1", "two", 0))
	var conflict *platform.ConflictError
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, []platform.KV{{Key: "a/1", Value: []byte("one"), Revision: first}}, conflict.Items)
	remove := platform.Txn{Expect: []platform.Expectation{{Key: "a/1", Revision: first}}, Deletes: []string{"a/1"}}
	_, err = client.Commit(ctx, remove)
	require.NoError(t, err)
	_, err = client.Commit(ctx, put("a/1", "three", 0))
	require.NoError(t, err)
	_, err = client.Commit(ctx, remove)
	require.ErrorIs(t, err, platform.ErrConflict)
	both := put("a/0", "x", 0)
	both.Expect = append(both.Expect, platform.Expectation{Key: "a/1", Revision: first})
	_, err = client.Commit(ctx, both)
	require.ErrorIs(t, err, platform.ErrConflict)

	kvs, _, err := client.List(ctx, "a/")
	require.NoError(t, err)
	require.Len(t, kvs, 1)
	require.Equal(t, []byte("three"), kvs[0].Value)
	absent, err := client.Read(ctx, "b")
	require.NoError(t, err)
	require.Zero(t, absent.Revision)
}

// Guards against lists that end after their first page.
func TestListReadsAllPages(t *testing.T) {
	_, client, ctx := open(t)
	for i := range 40 {
		var batch platform.Txn
		for k := range 30 {
			batch.Puts = append(batch.Puts, platform.Put{Key: fmt.Sprintf("k/%04d", 30*i+k)})
		}
		_, err := client.Commit(ctx, batch)
		require.NoError(t, err)
	}
	kvs, revision, err := client.List(ctx, "k/")
	require.NoError(t, err)
	require.Len(t, kvs, 1200)
	require.Equal(t, uint64(40), revision)
	require.Equal(t, "k/1199", kvs[1199].Key)
}

// Guards against a watch that misses a change, returns one of another prefix, or continues
// from a revision that was compacted.
func TestChangesAreComplete(t *testing.T) {
	s, client, ctx := open(t)
	_, err := client.Commit(ctx, put("in/1", "a", 0))
	require.NoError(t, err)
	_, err = client.Commit(ctx, put("out/1", "b", 0))
	require.NoError(t, err)
	changes, next, err := client.Changes(ctx, "in/", 0, time.Second)
	require.NoError(t, err)
	require.Len(t, changes, 1)
	woken := make(chan []platform.Change, 1)
	go func() {
		c, _, _ := client.Changes(ctx, "in/", next, testTimeout)
		woken <- c
	}()
	require.Eventually(t, func() bool { return s.Calls().Watches == 2 }, testTimeout, time.Millisecond)
	_, err = client.Commit(ctx, platform.Txn{Deletes: []string{"in/1"}})
	require.NoError(t, err)
	changes = <-woken
	require.Len(t, changes, 1)
	require.True(t, changes[0].Deleted)
	changes, afterDelete, err := client.Changes(ctx, "in/", changes[0].Revision, 0)
	require.NoError(t, err)
	require.Empty(t, changes)
	s.Compact()
	_, _, err = client.Changes(ctx, "in/", 1, 0)
	require.ErrorIs(t, err, platform.ErrCompacted)
	_, _, err = client.Changes(ctx, "in/", afterDelete, 0)
	require.NoError(t, err)
}

// Guards against a commit with a lost response that is not applied, or applied twice.
func TestLostResponseIsAppliedOnce(t *testing.T) {
	s, client, ctx := open(t)
	s.SetLostResponses(1)
	_, err := client.Commit(ctx, put("k", "v", 0))
	require.ErrorIs(t, err, platform.ErrUncertain)
	_, err = client.Commit(ctx, put("k", "v", 0))
	require.ErrorIs(t, err, platform.ErrConflict)
	kv, err := client.Read(ctx, "k")
	require.NoError(t, err)
	require.Equal(t, []byte("v"), kv.Value)
	require.Len(t, s.History(), 1)
	require.Equal(t, store.Counts{Reads: 1, Writes: 2}, s.Calls())
}

// Guards against an injected outage that leaves watches waiting or admits writes.
func TestDownRefusesCallsAndWatches(t *testing.T) {
	s, client, ctx := open(t)
	failed := make(chan error, 1)
	go func() {
		_, _, err := client.Changes(ctx, "", 0, testTimeout)
		failed <- err
	}()
	require.Eventually(t, func() bool { return s.Calls().Watches == 1 }, testTimeout, time.Millisecond)
	s.SetDown(true)
	require.ErrorIs(t, <-failed, platform.ErrUnavailable)
	_, err := client.Commit(ctx, put("k", "", 0))
	require.ErrorIs(t, err, platform.ErrUnavailable)
	require.Empty(t, s.History())
}

// Guards against a hang that drops calls: a blocked write has to take effect after the
// hang, although its client has timed out.
func TestBlockedWriteTakesEffectAfterHang(t *testing.T) {
	s, client, ctx := open(t)
	s.SetHang(true)
	short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	_, err := client.Commit(short, put("k", "late", 0))
	require.ErrorIs(t, err, platform.ErrUncertain)
	require.Empty(t, s.History())
	s.SetHang(false)
	require.Eventually(t, func() bool { return len(s.History()) == 1 }, testTimeout, time.Millisecond)
}

// Guards against values that exceed the limit, and against a watch that reports a change
// when there is none.
func TestOversizedValueAndIdleWatch(t *testing.T) {
	s, client, ctx := open(t)
	_, err := client.Commit(ctx, put("k", string(bytes.Repeat([]byte{1}, platform.MaxValueBytes+1)), 0))
	require.Error(t, err)
	require.Empty(t, s.History())
	changes, next, err := client.Changes(ctx, "other/", 7, 50*time.Millisecond)
	require.NoError(t, err)
	require.Empty(t, changes)
	require.Equal(t, uint64(7), next)
}
