package fleet

import (
	"time"

	"camphorhead.example/camphorhead/request/routing"
)

// HealthSettings configures the ejection of targets that fail checks.
type HealthSettings struct {
	// EjectAfter is the number of consecutive failures that eject a target.
	EjectAfter int
	// FirstEjection doubles with each further ejection, up to MaxEjection.
	FirstEjection time.Duration
	MaxEjection   time.Duration
	// MaxEjectedPercent bounds the share of a service's targets that are ejected concurrently.
	MaxEjectedPercent int
	// ProbeTimeout is how long a probe may be without a reply before the next one is sent,
	// and how long a due probe is left to idempotent requests.
	ProbeTimeout time.Duration
	// BackoffReset is the time without failure after which FirstEjection applies again.
	BackoffReset time.Duration
}

// DefaultHealthSettings returns the settings of production. A target that has recovered
// is probed within MaxEjection plus ProbeTimeout, however long it was failing.
func DefaultHealthSettings() HealthSettings {
	return HealthSettings{
		EjectAfter:        3,
		FirstEjection:     5 * time.Second,
		MaxEjection:       10 * time.Second,
		MaxEjectedPercent: 30,
		ProbeTimeout:      5 * time.Second,
		BackoffReset:      5 * time.Minute,
	}
}

// checkHealth is the record of one target's checks. It is an immutable value.
type checkHealth struct {
	consecutiveFailures int
	ejections           int // since the latest reset of the backoff
	ejected             bool
	// probeAt is when an ejected target may be probed, or probed again.
	probeAt time.Time
	// probing is set while a probe has no reply.
	probing  bool
	failedAt time.Time
}

// afterCheck returns the record after a check. mayEject is false at MaxEjectedPercent.
func (h checkHealth) afterCheck(ok bool, s HealthSettings, mayEject bool, now time.Time) checkHealth {
	if ok {
		return h.afterSuccess()
	}
	if !h.failedAt.IsZero() && now.Sub(h.failedAt) > s.BackoffReset {
		h.ejections = 0
	}
	h.failedAt = now
	h.consecutiveFailures++
	if h.ejected && !h.probing {
		return h
	}
	h.probing = false
	if h.ejected || (h.consecutiveFailures >= s.EjectAfter && mayEject) {
		h.ejected = true
		h.probeAt = now.Add(min(s.FirstEjection<<min(h.ejections, 16), s.MaxEjection))
		h.ejections++
	}
	return h
}

// afterSuccess readmits an ejected target only after a probe: a late reply to an
// earlier request does not show its current state.
func (h checkHealth) afterSuccess() checkHealth {
	if h.ejected && !h.probing {
		return h
	}
	h.consecutiveFailures = 0
	h.ejected = false
	h.probing = false
	return h
}

// probeDue reports whether an ejected target may be probed.
func (h checkHealth) probeDue(now time.Time) bool { return h.ejected && !now.Before(h.probeAt) }

// probeKind returns which requests may probe the target: only idempotent ones until
// idempotentOnly has passed since the probe became due, then any.
func (h checkHealth) probeKind(now time.Time, idempotentOnly time.Duration) routing.Probe {
	switch {
	case !h.ejected:
		return routing.NoProbe
	case now.Sub(h.probeAt) < idempotentOnly:
		return routing.ProbeIdempotent
	}
	return routing.ProbeAny
}

func (h checkHealth) afterProbeSent(s HealthSettings, now time.Time) checkHealth {
	h.probing = true
	h.probeAt = now.Add(s.ProbeTimeout)
	return h
}
