// Package logsink carries log lines to an output that may be slow or stuck.
//
// A line is copied into a bounded buffer and written by one goroutine, so that
// logging never blocks its caller and costs one write for many lines. What
// does not fit is dropped and counted; the count is written as a line of its own
// once there is room again. Lines of decisions about accepted work may use all
// of the buffer, other lines only a part of it.
package logsink

import (
	"bytes"
	"io"
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
	limit int
	// report makes the line about dropped ones.
	report  func(dropped int64) []byte
	dropped atomic.Int64
	total   atomic.Int64
	wake    chan struct{}
	done    chan struct{}
	wg      sync.WaitGroup
	once    sync.Once

	mu   lockrank.Mutex // guards full
	full bytes.Buffer
}

// New returns a sink of the given size before out; report makes the line about
// dropped ones and may be nil.
func New(out io.Writer, limit int, report func(dropped int64) []byte) *Sink {
	s := &Sink{
		out: out, limit: limit, report: report, wake: make(chan struct{}, 1), done: make(chan struct{}),
		mu: lockrank.NewMutex(lockrank.RankLog),
	}
	s.wg.Go(s.run)
	return s
}

// Write implements io.Writer for lines other than decisions. It never blocks
// and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	s.add(line, s.limit*plainShare/100)
	return len(line), nil
}

// Decisions returns the writer of lines that are dropped last.
func (s *Sink) Decisions() io.Writer { return decisions{s} }

type decisions struct{ *Sink }

// Write implements io.Writer.
func (d decisions) Write(line []byte) (int, error) {
	d.add(line, d.limit)
	return len(line), nil
}

func (s *Sink) add(line []byte, limit int) {
	s.mu.Lock()
	fits := s.full.Len()+len(line) <= limit
	if fits {
		s.full.Write(line)
	}
	much := s.full.Len() >= flushBytes
	s.mu.Unlock()
	if !fits {
		s.dropped.Add(1)
		s.total.Add(1)
	}
	if much {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
}

// Dropped returns the number of lines that were dropped so far.
func (s *Sink) Dropped() int64 { return s.total.Load() }

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
	if n := s.dropped.Swap(0); n > 0 && s.report != nil {
		_, _ = s.out.Write(s.report(n))
	}
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
