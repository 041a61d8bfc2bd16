// Package resources describes amounts of processors, memory and accelerators.
package resources

// Resources is an amount of each kind of a worker's capacity. MilliCPU is in
// thousandths of a processor, Accelerators in whole devices.
type Resources struct {
	MilliCPU     int64 `msgpack:"c" json:"milli_cpu" toml:"milli_cpu"`
	MemoryMB     int64 `msgpack:"m" json:"memory_mb" toml:"memory_mb"`
	Accelerators int64 `msgpack:"a,omitempty" json:"accelerators" toml:"accelerators"`
}

// MaxAmount is the largest amount of each kind in a request, a configuration or an
// announcement: a million processors or a petabyte, and sums of many of them do not overflow.
const MaxAmount = 1 << 30

// InRange reports whether every dimension is at least 0 and at most MaxAmount.
func (r Resources) InRange() bool {
	return !r.IsNegative() && r.Fits(Resources{MaxAmount, MaxAmount, MaxAmount})
}

// Add returns r plus o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns r minus o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Fits reports whether r is at most capacity in every dimension.
func (r Resources) Fits(capacity Resources) bool {
	return r.MilliCPU <= capacity.MilliCPU && r.MemoryMB <= capacity.MemoryMB && r.Accelerators <= capacity.Accelerators
}

// IsNegative reports whether any dimension is below zero.
func (r Resources) IsNegative() bool {
	return r.MilliCPU < 0 || r.MemoryMB < 0 || r.Accelerators < 0
}
