package main

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/process/logsink"
	"camphorhead.example/camphorhead/process/settings"
)

// gatedOutput takes nothing until it is opened.
type gatedOutput struct {
	open chan struct{}

	mu  sync.Mutex // guards got
	got bytes.Buffer
}

func (g *gatedOutput) Write(p []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.got.Write(p)
}

func testSettings() settings.Settings {
	var cfg settings.Settings
	cfg.Role = settings.RoleEntry
	cfg.Process.ID, cfg.Log.Format, cfg.Log.Level = "entry-1", "json", "info"
	return cfg
}

// Guards against lines that vanish without a count, and against decisions on
// requests that are dropped while other lines are kept.
func TestDroppedLinesAreReportedByEvent(t *testing.T) {
	out := &gatedOutput{open: make(chan struct{})}
	sink, log, err := openLog(out, testSettings())
	require.NoError(t, err)
	plain := 0
	for sink.Dropped() == 0 {
		log.Emit(event.LeaderLost, "address", "127.0.0.1:1", "reason", strings.Repeat("x", 1000))
		plain++
		require.Less(t, plain, 2*logsink.DefaultBytes/1000, "the buffer has no bound")
	}
	for range 20 {
		log.Emit(event.RunEnded, "task", "j.0.0.0", "run", 1)
	}
	require.Equal(t, map[string]int64{"leader_lost": 1}, sink.DroppedByEvent())
	close(out.open)
	sink.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	text := out.got.String()
	require.Equal(t, 20, strings.Count(text, `"name":"run_ended"`))
	require.Equal(t, plain-1, strings.Count(text, `"name":"leader_lost"`))
	require.Contains(t, text, `"name":"log_lines_dropped","kind":"leader_lost","lines":1`)
}

// discard is an output that costs nothing.
type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }

// BenchmarkDecisionLine is the cost of one line of a decision, formatting included.
func BenchmarkDecisionLine(b *testing.B) {
	sink, log, err := openLog(discard{}, testSettings())
	require.NoError(b, err)
	defer sink.Close()
	b.ReportAllocs()
	for b.Loop() {
		log.Emit(event.RunPlaced, "task", "750d429fc11efd7f.0.0.0", "run", 1, "agent", "side-ariana-1",
			"milli_cpu", 10750, "image", "0f270c", "wait_ms", time.Millisecond.Milliseconds(), "age_ms", 164, "workers", 11, "harm_percent", 0)
	}
}
