// Package logsink carries log lines to an output that may be slow or stuck.
//
// A line is copied into a bounded buffer and written by one goroutine, so that
// logging never blocks its caller and costs one write for many lines. What
// does not fit is dropped and counted by event; the counts are written as lines of
// their own once the output takes lines again. Lines of decisions about requests
// may use all of the buffer, other lines only a part of it.
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
	// DefaultBytes bounds what waits for the output.
	DefaultBytes = 1 << 20
	// flushInterval is the longest time that a line waits.
	flushInterval = 100 * time.Millisecond
	// flushBytes is how much is written before the interval is over.
	flushBytes = 64 << 10
	// chunkBytes bounds one write: a pipe takes up to this much (PIPE_BUF of Linux)
	// without mixing it with the lines of other writers.
	chunkBytes = 4096
	// plainShare is the part of the buffer, in percent, that lines other than
	// decisions may fill.
	plainShare = 70
)

// Sink is a bounded buffer before an output. Its goroutine starts in New and
// ends in Close.
type Sink struct {
	out   io.Writer
	cfg   Config
	total atomic.Int64
	wake  chan struct{}
	done  chan struct{}
	wg    sync.WaitGroup
	once  sync.Once

	mu   lockrank.Mutex // guards full and dropped
	full bytes.Buffer
	// dropped are the lines that were dropped, by event.
	dropped map[string]int64

	// reported is what the output was told of; run alone uses it.
	reported map[string]int64
}

// Config sets up a Sink.
type Config struct {
	// Bytes bounds what waits for the output.
	Bytes int
	// EventOf names the event of a line.
	EventOf func(line []byte) string
	// Report makes the line about the dropped lines of an event. The sink's
	// goroutine alone calls it.
	Report func(event string, dropped int64) []byte
}

// New returns a sink before out.
func New(out io.Writer, cfg Config) *Sink {
	s := &Sink{
		out: out, cfg: cfg, wake: make(chan struct{}, 1), done: make(chan struct{}),
		mu: lockrank.NewMutex(lockrank.RankLog), dropped: map[string]int64{}, reported: map[string]int64{},
	}
	s.wg.Go(s.run)
	return s
}

// Write implements io.Writer for lines other than decisions. It never blocks
// and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	s.add(line, s.cfg.Bytes*plainShare/100)
	return len(line), nil
}

// Decisions returns the writer of lines that are dropped last.
func (s *Sink) Decisions() io.Writer { return decisions{s} }

type decisions struct{ *Sink }

// Write implements io.Writer.
func (d decisions) Write(line []byte) (int, error) {
	d.add(line, d.cfg.Bytes)
	return len(line), nil
}

func (s *Sink) add(line []byte, limit int) {
	s.mu.Lock()
	if s.full.Len()+len(line) <= limit {
		s.full.Write(line)
	} else {
		s.dropped[s.cfg.EventOf(line)]++
		s.total.Add(1)
	}
	much := s.full.Len() >= flushBytes
	s.mu.Unlock()
	if much {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
}

// Dropped returns the number of lines that were dropped so far.
func (s *Sink) Dropped() int64 { return s.total.Load() }

// DroppedByEvent returns the same by event.
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

// flush writes what waits. The output may block; only this goroutine does then.
func (s *Sink) flush(spare *bytes.Buffer) {
	spare.Reset()
	s.mu.Lock()
	s.full, *spare = *spare, s.full
	s.mu.Unlock()
	for rest := spare.Bytes(); len(rest) > 0; {
		n := chunk(rest)
		_, _ = s.out.Write(rest[:n]) // there is nowhere to report it
		rest = rest[n:]
	}
	s.reportDropped()
}

// reportDropped writes how many lines were dropped since the last report.
func (s *Sink) reportDropped() {
	now := s.DroppedByEvent()
	for _, name := range slices.Sorted(maps.Keys(now)) {
		if n := now[name] - s.reported[name]; n > 0 {
			_, _ = s.out.Write(s.cfg.Report(name, n)) // there is nowhere to report it
		}
	}
	s.reported = now
}

// chunk returns the length of the next write: as many whole lines as fit.
func chunk(lines []byte) int {
	if len(lines) <= chunkBytes {
		return len(lines)
	}
	if end := bytes.LastIndexByte(lines[:chunkBytes], '\n'); end >= 0 {
		return end + 1
	}
	if end := bytes.IndexByte(lines, '\n'); end >= 0 {
		return end + 1
	}
	return len(lines)
}

// Close writes what waits, for at most a second, and ends the goroutine if the
// output takes it.
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
