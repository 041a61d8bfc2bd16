package job

// RunKey identifies one run of a task. The runs of a task have increasing numbers.
type RunKey struct {
	Task TaskID `json:"task"`
	Run  uint32 `json:"run"`
}

// EndKind is the way in which a run ended.
type EndKind uint8

// The kinds of ends.
const (
	EndDone EndKind = iota + 1
	EndFailed
	EndStopped
	// EndLeaseExpired means that the lease under which the task ran expired.
	EndLeaseExpired
	// EndGangBroken means that another task of the gang ended.
	EndGangBroken
	// EndGangIncomplete means that the other tasks of the gang did not start.
	EndGangIncomplete
)

var endNames = [...]string{"unknown", "done", "failed", "stopped", "lapsed", "broken", "alone"}

// String returns the name of the kind, or "unknown" for any other value.
func (k EndKind) String() string {
	if int(k) < len(endNames) {
		return endNames[k]
	}
	return endNames[0]
}
