package term

import (
	"bytes"
	"context"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/process/platform"
)

// leaderKeys is a store with the keys of the leader only.
type leaderKeys struct {
	platform.Store
	items []platform.KV
}

func (s *leaderKeys) List(context.Context, string) ([]platform.KV, uint64, error) {
	return s.items, 99, nil
}

func (s *leaderKeys) Commit(_ context.Context, t platform.Txn) (uint64, error) {
	if s.items[0].Revision != t.Expect[0].Revision {
		return 0, platform.ErrConflict
	}
	s.items[0].Value, s.items[0].Revision = t.Puts[0].Value, 100
	return 100, nil
}

func encoded(t *testing.T, v any) []byte {
	t.Helper()
	value, err := msgpack.Marshal(v)
	require.NoError(t, err)
	return value
}

// Guards against one odd value under a key of the leader after which no entry can begin a
// term any more, or begins one that agents take for an old one.
func TestOddValuesDoNotEndLeadership(t *testing.T) {
	self := message.EntryInfo{ID: "b", Address: "127.0.0.1:1", StartedMs: 7}
	record := encoded(t, Record{Term: 5, Holder: message.EntryInfo{ID: "a"}})
	heartbeat := encoded(t, Heartbeat{Term: 5, Number: 40})
	for name, c := range map[string]struct{ record, heartbeat []byte }{
		"record of text":      {[]byte("odd entry"), heartbeat},
		"record nested":       {bytes.Repeat([]byte{0x91}, 1<<18), heartbeat},
		"record empty":        {nil, heartbeat},
		"record of term 0":    {encoded(t, Record{}), heartbeat},
		"record of term max":  {encoded(t, Record{Term: math.MaxUint64}), heartbeat},
		"record of term 2^32": {encoded(t, Record{Term: 1 << 32}), heartbeat},
		"heartbeat of text":   {record, []byte("odd entry")},
		"heartbeat too large": {record, encoded(t, Heartbeat{Term: 5, Number: math.MaxUint64})},
		"both":                {[]byte("odd entry"), []byte("odd entry")},
		"port out of range":   {encoded(t, Record{Term: 6, Holder: message.EntryInfo{ID: "x", Address: "127.0.0.1:99999"}}), heartbeat},
	} {
		t.Run(name, func(t *testing.T) {
			store := &leaderKeys{items: []platform.KV{{Key: Key, Value: c.record, Revision: 50}, {Key: HeartbeatKey, Value: c.heartbeat, Revision: 49}}}
			e := NewElector(timing)
			start := time.Unix(1000, 0)
			e.RecordView(start, viewOf(5, 40))
			_, claimed := run(&e, start, 10*time.Second, func(now time.Time, step Step) {
				if step != ReadStore {
					return
				}
				view, err := Read(t.Context(), store)
				if err != nil {
					e.RecordReadFailure(now)
					return
				}
				e.RecordView(now, view)
			})
			require.True(t, claimed, "no entry claims the next term")
			next, err := Claim(t.Context(), store, e.View(), self, e.Followed())
			require.NoError(t, err)
			require.Greater(t, next.Term, uint64(5))
			require.Less(t, next.Term, uint64(1<<18), "run numbers rise with the terms, by 2^18 terms at most")
			read, err := Read(t.Context(), store)
			require.NoError(t, err)
			require.True(t, read.HeldBy(self))
			require.Equal(t, next.Term, read.Term)
			require.Less(t, next.Heartbeat.Number, uint64(1<<60))
		})
	}
}
