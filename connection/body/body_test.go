package body_test

import (
	"bytes"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"camphorhead.example/camphorhead/connection/body"
	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/process/jobstore"
	"camphorhead.example/camphorhead/process/term"
	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/version/profile"
)

// Guards against a small body of another writer that ends the process: by a declared
// length, for which the library allocates at once, or by nesting, which it skips by
// recursion.
func TestOddBodiesAreRejected(t *testing.T) {
	nested := func(levels int) []byte {
		return append(append([]byte("\x81\xa1z"), bytes.Repeat([]byte{0x91}, levels)...), 0xc0)
	}
	for name, data := range map[string][]byte{
		"empty":                  {},
		"text":                   []byte("odd entry"),
		"nested":                 nested(1 << 20),
		"nested maps":            append(bytes.Repeat([]byte("\x81\xa1z"), 1<<18), 0xc0),
		"4 million elements":     []byte("\x81\xa1d\x81\xa1s\xdd\x00\x40\x00\x00"),
		"more elements than 64K": append([]byte("\x81\xa1d\x81\xa1s\xdd\x00\x01\x00\x01"), bytes.Repeat([]byte{0xc0}, 1<<16+1)...),
		"4 GB of bytes":          []byte("\x81\xa1d\x81\xa2in\xc6\xff\xff\xff\xff"),
		"4 GB of text":           []byte("\x81\xa1d\x81\xa1i\xdb\xff\xff\xff\xff"),
		"map without entries":    []byte("\x81\xa1z\xdf\xff\xff\xff\xff"),
		"extension of 4 GB":      []byte("\x81\xa1z\xc9\xff\xff\xff\xff"),
		"unknown code":           []byte("\x81\xa1z\xc1"),
		"cut off":                []byte("\x81\xa1z"),
	} {
		t.Run(name, func(t *testing.T) {
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			var s jobstore.StoredJob
			err := body.Unmarshal(data, &s)
			runtime.ReadMemStats(&after)
			require.Error(t, err)
			require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(1<<20), "bytes allocated")
			require.Less(t, after.StackInuse, uint64(16<<20), "bytes of stacks")
		})
	}
}

// Guards against the progress of the largest accepted job, which is rejected.
func TestLargestRecordIsDecoded(t *testing.T) {
	d := &job.Definition{ID: "a", Steps: make([]job.Step, body.MaxElements)}
	for i := range d.Steps {
		d.Steps[i].Count = 1
	}
	require.NoError(t, d.Validate())
	data, err := msgpack.Marshal(job.NewProgress(d))
	require.NoError(t, err)
	var p job.Progress
	require.NoError(t, body.Unmarshal(data, &p))
	require.True(t, p.Matches(d))
}

// Guards against a body that makes the decoder panic or allocate without bound.
func FuzzUnmarshal(f *testing.F) {
	for _, seed := range []any{
		term.Record{Term: 3, Holder: message.EntryInfo{ID: "e", Address: "127.0.0.1:99999"}},
		jobstore.StoredJob{Definition: &job.Definition{ID: "a", Steps: []job.Step{{Count: 1, After: []int{0}}}}},
		message.Report{Worker: &message.WorkerInfo{Labels: []string{"a"}}, Running: []message.RunState{{Checkpoint: "c"}}},
		profile.Empty(),
		[]string{"agent"},
		map[string]any{"x": []any{1.5, nil, "y"}},
	} {
		data, err := msgpack.Marshal(seed)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		for _, v := range []any{
			&term.Record{}, &term.Heartbeat{}, &jobstore.StoredJob{}, &jobstore.StoredCheck{}, &job.Progress{}, &[]string{},
			&profile.Document{}, &message.Report{}, &message.Hello{}, &message.Orders{}, &message.Update{}, &message.Config{},
		} {
			_ = body.Unmarshal(data, v)
		}
	})
}
