package job

const (
	// MaxHealthyFailures is the number of healthy workers on which a task may fail soon
	// after its start; after that no other worker is tried.
	MaxHealthyFailures = 3
	// MaxStartFailures bounds the failed starts of a job while the health of the workers
	// is unknown, as in a fleet without other work.
	MaxStartFailures = 8
)

// RetriesStart reports whether a task that failed soon after its start may be started
// on another worker. failures counts such failures, including the latest. healthy is
// the number of workers among those of the earlier failures on which a start of
// another job has succeeded since; this distinguishes a broken job from broken
// workers. A proof only computes, so it may run again; a watch that is not idempotent
// has side effects and must not run twice.
func (r *Request) RetriesStart(failures, healthy int) bool {
	if r.Kind != Proof && (r.Kind != Watch || !r.Idempotent) {
		return false
	}
	return healthy < MaxHealthyFailures && failures < MaxStartFailures
}
