// Package logsink buffers log lines for an output that may be slow or blocked.
//
// A line is copied into a bounded buffer and written by one goroutine, so that logging
// never blocks its caller and many lines cost one write. Lines that do not fit are
// dropped and counted by event; the counts are written as lines of their own once the
// output accepts lines again. Decisions, which are lines about one request, job or task,
// may use the whole buffer, other lines only normalSharePercent of it.
package logsink

import (
	"bytes"
	"io"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"camphorhead.example/camphorhead/process/lockrank"
)

const (
	// DefaultBytes is the default size of the buffer.
	DefaultBytes = 1 << 20
	// flushInterval is the longest time that a line waits unless the output blocks.
	flushInterval = 100 * time.Millisecond
	// flushBytes is the amount of data that triggers a flush before the interval is over.
	flushBytes = 64 << 10
	// maxWriteBytes bounds one write of several lines: up to PIPE_BUF bytes (4096 on
	// Linux), a pipe does not mix a write with those of other writers.
	maxWriteBytes = 4096
	// normalSharePercent is the part of the buffer that lines other than decisions may use.
	normalSharePercent = 70
)

// Sink is a bounded buffer in front of an output. Its goroutine starts in New and ends
// in Close. Any goroutine may use it.
type Sink struct {
	out          io.Writer
	cfg          Config
	droppedTotal atomic.Int64
	wake         chan struct{}
	done         chan struct{}
	wg           sync.WaitGroup
	once         sync.Once

	mu      lockrank.Mutex // guards pending and dropped
	pending bytes.Buffer
	// dropped is the number of dropped lines by event.
	dropped map[string]int64

	// reported is the part of dropped that was written to the output. Only run uses it.
	reported map[string]int64
}

// Config holds the parameters of a Sink. All are required.
type Config struct {
	// Bytes is the size of the buffer.
	Bytes int
	// EventOf returns the event name in a line. It is called under the lock of the sink.
	EventOf func(line []byte) string
	// Report returns a line that states how many lines of an event were dropped. Only the
	// goroutine of the sink calls it, and it uses the result before the next call.
	Report func(event string, dropped int64) []byte
}

// New returns a sink that writes to out. Errors of out are ignored.
func New(out io.Writer, cfg Config) *Sink {
	s := &Sink{
		out: out, cfg: cfg, wake: make(chan struct{}, 1), done: make(chan struct{}),
		mu: lockrank.NewMutex(lockrank.RankLog), dropped: map[string]int64{}, reported: map[string]int64{},
	}
	s.wg.Go(s.run)
	return s
}

// Write implements io.Writer for lines other than decisions. It never blocks and never
// fails.
func (s *Sink) Write(line []byte) (int, error) {
	s.add(line, s.cfg.Bytes*normalSharePercent/100)
	return len(line), nil
}

// Decisions returns the writer for decisions, which may use the whole buffer.
func (s *Sink) Decisions() io.Writer { return decisions{s} }

type decisions struct{ *Sink }

// Write implements io.Writer.
func (d decisions) Write(line []byte) (int, error) {
	d.add(line, d.cfg.Bytes)
	return len(line), nil
}

func (s *Sink) add(line []byte, limit int) {
	s.mu.Lock()
	if s.pending.Len()+len(line) <= limit {
		s.pending.Write(line)
	} else {
		s.dropped[s.cfg.EventOf(line)]++
		s.droppedTotal.Add(1)
	}
	flushNow := s.pending.Len() >= flushBytes
	s.mu.Unlock()
	if flushNow {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
}

// Dropped returns the number of dropped lines.
func (s *Sink) Dropped() int64 { return s.droppedTotal.Load() }

// DroppedByEvent returns the number of dropped lines by event.
func (s *Sink) DroppedByEvent() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.dropped)
}

func (s *Sink) run() {
	ticks := time.NewTicker(flushInterval)
	defer ticks.Stop()
	var spare bytes.Buffer
	for {
		select {
		case <-s.done:
			s.flush(&spare)
			return
		case <-s.wake:
		case <-ticks.C:
		}
		s.flush(&spare)
	}
}

// flush writes the pending lines. It swaps buffers under the lock, so that an output
// that blocks holds up only the goroutine of the sink.
func (s *Sink) flush(spare *bytes.Buffer) {
	spare.Reset()
	s.mu.Lock()
	s.pending, *spare = *spare, s.pending
	s.mu.Unlock()
	for rest := spare.Bytes(); len(rest) > 0; {
		n := nextWriteLen(rest)
		_, _ = s.out.Write(rest[:n]) // there is nowhere to report it
		rest = rest[n:]
	}
	s.reportDropped()
}

// reportDropped writes one line for each event with lines dropped since its last call.
func (s *Sink) reportDropped() {
	now := s.DroppedByEvent()
	for _, name := range slices.Sorted(maps.Keys(now)) {
		if n := now[name] - s.reported[name]; n > 0 {
			_, _ = s.out.Write(s.cfg.Report(name, n)) // there is nowhere to report it
		}
	}
	s.reported = now
}

// nextWriteLen returns the length of as many whole lines as fit into maxWriteBytes, or
// of the first line if that alone is longer.
func nextWriteLen(lines []byte) int {
	if len(lines) <= maxWriteBytes {
		return len(lines)
	}
	if end := bytes.LastIndexByte(lines[:maxWriteBytes], '\n'); end >= 0 {
		return end + 1
	}
	if end := bytes.IndexByte(lines, '\n'); end >= 0 {
		return end + 1
	}
	return len(lines)
}

// Close writes the pending lines and ends the goroutine. It returns after a second if
// the output blocks; the goroutine then ends when the output accepts the lines.
func (s *Sink) Close() {
	s.once.Do(func() { close(s.done) })
	ended := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(time.Second):
	}
}
