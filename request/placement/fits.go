package placement

import (
	"fmt"

	"camphorhead.example/camphorhead/request/resources"
)

// Capacities is the set of capacities of all workers seen so far, without those that
// fit into another one. A capacity stays after its worker is removed, because a job
// must not fail for good while a failure domain is down. It is not safe for
// concurrent use: the lock of its owner guards it.
type Capacities map[resources.Resources]struct{}

// Add adds the capacity of a worker.
func (c Capacities) Add(capacity resources.Resources) {
	for known := range c {
		if capacity.Fits(known) {
			return
		}
		if known.Fits(capacity) {
			delete(c, known)
		}
	}
	c[capacity] = struct{}{}
}

// NeverFits reports whether need fits on no worker seen so far, and why. It reports
// false while no worker has been seen.
func (c Capacities) NeverFits(need resources.Resources) (reason string, never bool) {
	if len(c) == 0 {
		return "", false
	}
	var most resources.Resources
	for capacity := range c {
		if need.Fits(capacity) {
			return "", false
		}
		most = largest(most, capacity)
	}
	return excess(need, most), true
}

func largest(a, b resources.Resources) resources.Resources {
	return resources.Resources{
		MilliCPU:     max(a.MilliCPU, b.MilliCPU),
		MemoryMB:     max(a.MemoryMB, b.MemoryMB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

func excess(need, most resources.Resources) string {
	switch {
	case need.MilliCPU > most.MilliCPU:
		return fmt.Sprintf("milli_cpu %d exceeds the largest worker's %d", need.MilliCPU, most.MilliCPU)
	case need.MemoryMB > most.MemoryMB:
		return fmt.Sprintf("memory_mb %d exceeds the largest worker's %d", need.MemoryMB, most.MemoryMB)
	case need.Accelerators > most.Accelerators:
		return fmt.Sprintf("accelerators %d exceeds the largest worker's %d", need.Accelerators, most.Accelerators)
	}
	return "no worker has this combination of milli_cpu, memory_mb and accelerators"
}
