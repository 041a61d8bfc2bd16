package job

const (
	// MaxHealthyFailures is the number of healthy workers on which a task may
	// fail soon after its start before the job is failed for good.
	MaxHealthyFailures = 3
	// MaxStartFailures bounds the failed starts of a job while the workers'
	// health is not known, as in a fleet without other work.
	MaxStartFailures = 8
)

// RetriesStart decides whether another worker may try a task that failed soon
// after its start. failures counts such failures, this one included; healthy is
// the number of workers among those it failed on before that have passed a
// start of another job since, which tells a broken job from broken workers. A
// proof only computes, so it may be computed again; a watch that is not
// idempotent has side effects and must not run twice.
func (r *Request) RetriesStart(failures, healthy int) bool {
	if r.Kind != Proof && (r.Kind != Watch || !r.Idempotent) {
		return false
	}
	return healthy < MaxHealthyFailures && failures < MaxStartFailures
}
