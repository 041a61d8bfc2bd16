package metrics

import (
	"bytes"
	"os"
	"strconv"
	"syscall"
	"time"
)

// ProcessSources holds the functions that return the metrics common to all roles.
type ProcessSources struct {
	// Traffic returns the bytes of frames since the start of the process.
	Traffic func() (sent, received int64)
	// Queued returns the number of work items that wait for a pool worker.
	Queued func() int
	// LinesDropped returns the number of dropped log lines by event; nil if none can be.
	LinesDropped func() map[string]int64
}

// RegisterProcess registers the metrics common to all roles.
func (r *Registry) RegisterProcess(p ProcessSources) {
	r.RegisterFunc(FrameBytes, func() []Sample {
		sent, received := p.Traffic()
		return []Sample{{"received", float64(received)}, {"sent", float64(sent)}}
	})
	r.RegisterValueFunc(PoolQueued, func() float64 { return float64(p.Queued()) })
	r.RegisterValueFunc(ProcessorTime, processorTime)
	r.RegisterValueFunc(Memory, residentBytes)
	if p.LinesDropped != nil {
		r.RegisterFunc(LogLinesDropped, func() []Sample {
			var samples []Sample
			for name, n := range p.LinesDropped() {
				samples = append(samples, Sample{name, float64(n)})
			}
			return samples
		})
	}
}

// processorTime returns the seconds that the operating system process has used, or 0.
func processorTime() float64 {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()).Seconds()
}

// residentBytes returns the memory of the process; 0 on systems without /proc/self/statm.
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
