package metrics

import (
	"bytes"
	"os"
	"strconv"
	"syscall"
	"time"
)

// Process describes what every role has besides its own metrics.
type Process struct {
	// Traffic returns the bytes of frames; Queued the work that waits for the pool.
	Traffic func() (sent, received int64)
	Queued  func() int
	// LinesDropped returns the log lines that were dropped, by event; nil: none can be.
	LinesDropped func() map[string]int64
}

// ReadProcess publishes the metrics of the operating system process.
func (r *Registry) ReadProcess(p Process) {
	r.Read(FrameBytes, func() []Sample {
		sent, received := p.Traffic()
		return []Sample{{"received", float64(received)}, {"sent", float64(sent)}}
	})
	r.ReadOne(PoolQueued, func() float64 { return float64(p.Queued()) })
	r.ReadOne(ProcessorTime, processorTime)
	r.ReadOne(Memory, residentBytes)
	if p.LinesDropped != nil {
		r.Read(LogLinesDropped, func() []Sample {
			var samples []Sample
			for name, n := range p.LinesDropped() {
				samples = append(samples, Sample{name, float64(n)})
			}
			return samples
		})
	}
}

// processorTime returns the processor time of the operating system process in seconds.
func processorTime() float64 {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()).Seconds()
}

// residentBytes returns the memory of the process; 0 where the system does not tell.
func residentBytes() float64 {
	statm, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := bytes.Fields(statm)
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseFloat(string(fields[1]), 64)
	if err != nil {
		return 0
	}
	return pages * float64(os.Getpagesize())
}
