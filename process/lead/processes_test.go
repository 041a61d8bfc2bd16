package lead

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/connection/peer"
	"camphorhead.example/camphorhead/process/metrics"
	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/process/pool"
	"camphorhead.example/camphorhead/process/term"
)

// testContext is what *testing.T and *rapid.T have in common.
type testContext interface {
	require.TestingT
	Helper()
	Cleanup(cleanup func())
	Context() context.Context
}

// memoryStore is a store in memory that several nodes share.
type memoryStore struct {
	mu           sync.Mutex // guards the fields below
	revision     uint64
	items        map[string]platform.KV
	loseResponse bool // of the next transaction, which takes effect
}

func newMemoryStore(t testContext, agents ...string) *memoryStore {
	t.Helper()
	value, err := msgpack.Marshal(agents)
	require.NoError(t, err)
	return &memoryStore{revision: 1, items: map[string]platform.KV{agentsKey: {Key: agentsKey, Value: value, Revision: 1}}}
}

func (s *memoryStore) Read(_ context.Context, key string) (platform.KV, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kv := s.items[key]
	kv.Key = key
	return kv, nil
}

func (s *memoryStore) ReadAt(ctx context.Context, key string) (platform.KV, uint64, error) {
	kv, err := s.Read(ctx, key)
	return kv, kv.Revision, err
}

func (s *memoryStore) List(_ context.Context, prefix string) ([]platform.KV, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []platform.KV
	for key, kv := range s.items {
		if strings.HasPrefix(key, prefix) {
			list = append(list, kv)
		}
	}
	slices.SortFunc(list, func(a, b platform.KV) int { return cmp.Compare(a.Key, b.Key) })
	return list, s.revision, nil
}

func (s *memoryStore) Commit(_ context.Context, txn platform.Txn) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict := &platform.ConflictError{}
	holds := true
	for _, e := range txn.Expect {
		kv := s.items[e.Key]
		kv.Key = e.Key
		conflict.Items = append(conflict.Items, kv)
		holds = holds && kv.Revision == e.Revision
	}
	if !holds {
		return 0, conflict
	}
	s.revision++
	for _, p := range txn.Puts {
		s.items[p.Key] = platform.KV{Key: p.Key, Value: p.Value, Revision: s.revision}
	}
	for _, key := range txn.Deletes {
		delete(s.items, key)
	}
	if s.loseResponse {
		s.loseResponse = false
		return 0, platform.ErrUncertain
	}
	return s.revision, nil
}

func (s *memoryStore) Changes(context.Context, string, uint64, time.Duration) ([]platform.Change, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return nil, s.revision, nil
}

// cutStore is the store as one process reaches it.
type cutStore struct {
	*memoryStore
	cut       bool
	committed func() // called after a transaction, before its response; may be nil
}

func (s *cutStore) Commit(ctx context.Context, txn platform.Txn) (uint64, error) {
	if s.cut {
		return 0, platform.ErrUnavailable
	}
	revision, err := s.memoryStore.Commit(ctx, txn)
	if s.committed != nil {
		s.committed()
	}
	return revision, err
}

// Settings of the nodes in tests of several terms.
var testTiming = Timing{
	Lease: 4 * time.Second, ReportInterval: 500 * time.Millisecond, LeaderTimeout: 1500 * time.Millisecond,
	Outage: 8 * time.Second, Retention: time.Minute, CallTimeout: testCallTimeout, CommitInterval: 20 * time.Millisecond,
}

// startOfProcess numbers the processes of tests, so that two of one entry differ.
var startOfProcess int64

// newProcess returns the node of a process of an entry. It has no ticker: tests call its steps.
func newProcess(t testContext, id string, store platform.Store, clock clockwork.Clock) *Node {
	t.Helper()
	startOfProcess++
	self := message.EntryInfo{ID: id, StartedMs: startOfProcess}
	workers := pool.New(2, 64)
	n := New(Config{
		Self: func() message.EntryInfo { return self }, Clock: clock, Store: store, Pool: workers, Metrics: metrics.New(),
		ConfigState: func() message.ConfigState { return message.ConfigState{Version: 1} }, Timing: testTiming,
	})
	t.Cleanup(func() {
		n.storePool.Close()
		n.advice.Close()
		workers.Close()
	})
	return n
}

// listen connects a node to others. It is called before the first step of the node.
func listen(t *testing.T, n *Node) *Node {
	t.Helper()
	self := n.cfg.Self()
	n.cfg.Net = peer.New(peer.Config{
		Listen: "127.0.0.1:0", Key: []byte("key"), Hello: func() message.Hello { return message.Hello{ID: self.ID, Role: message.RoleEntry} },
	}, n.cfg.Pool, nodeHandler{n})
	require.NoError(t, n.cfg.Net.Start())
	t.Cleanup(func() { require.NoError(t, n.cfg.Net.Close()) })
	self.Address = n.cfg.Net.Address()
	n.cfg.Self = func() message.EntryInfo { return self }
	return n
}

// nodeHandler passes the messages of other processes to a node.
type nodeHandler struct{ node *Node }

func (h nodeHandler) Handle(ctx context.Context, r peer.Request) { h.node.Handle(ctx, r) }
func (h nodeHandler) Queue(peer.Request) bool                    { return false }

// claimTerm reads the store and claims the next term.
func claimTerm(t *testing.T, n *Node) *leaderTerm {
	t.Helper()
	n.executeStep(t.Context(), term.ReadStore)
	n.executeStep(t.Context(), term.ClaimTerm)
	l := n.loadedTerm()
	require.NotNil(t, l)
	return l
}

// join makes an agent without runs report to a leader.
func join(t *testing.T, l *leaderTerm, agent string) {
	t.Helper()
	report := message.Report{Agent: agent, Session: 1, Sequence: 1, Full: true, Worker: &message.WorkerInfo{ID: agent, Reachable: true}}
	require.NotZero(t, l.table.ApplyReport(l.node.cfg.Clock.Now(), &report).LeaseMs)
}
