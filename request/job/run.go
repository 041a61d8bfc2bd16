package job

// RunKey names one run of a task. A task's runs have rising numbers.
type RunKey struct {
	Task TaskID `json:"task"`
	Run  uint32 `json:"run"`
}

// EndKind says how a run ended.
type EndKind uint8

// The ways in which a run ends.
const (
	EndDone EndKind = iota + 1
	EndFailed
	EndStopped
	// EndLapsed means that the lease ended.
	EndLapsed
	// EndBroken means that another member of the gang ended.
	EndBroken
	// EndAlone means that the other members of the gang did not come.
	EndAlone
)

var endNames = [...]string{"unknown", "done", "failed", "stopped", "lapsed", "broken", "alone"}

// String implements fmt.Stringer.
func (k EndKind) String() string {
	if int(k) < len(endNames) {
		return endNames[k]
	}
	return endNames[0]
}
