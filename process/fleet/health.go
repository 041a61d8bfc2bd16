package fleet

import (
	"time"

	"camphorhead.example/camphorhead/request/routing"
)

// HealthSettings bound the ejection of targets that fail checks.
type HealthSettings struct {
	// EjectAfter consecutive failures eject a target.
	EjectAfter int
	// FirstEjection doubles with each further one up to MaxEjection.
	FirstEjection time.Duration
	MaxEjection   time.Duration
	// MaxEjectedPercent of a service's targets are ejected at the same time.
	MaxEjectedPercent int
	// ProbeTimeout is how long a probe may stay unanswered before the next one.
	ProbeTimeout time.Duration
	// Forgive is the time without failure after which earlier ejections no
	// longer lengthen the next one.
	Forgive time.Duration
}

// DefaultHealthSettings returns the settings used in service. A target that has
// recovered is tried again within MaxEjection and ProbeTimeout together, however
// long it was away.
func DefaultHealthSettings() HealthSettings {
	return HealthSettings{
		EjectAfter:        3,
		FirstEjection:     5 * time.Second,
		MaxEjection:       10 * time.Second,
		MaxEjectedPercent: 30,
		ProbeTimeout:      5 * time.Second,
		Forgive:           5 * time.Minute,
	}
}

// checkHealth is the record of one target's answers to checks.
type checkHealth struct {
	fails     int // consecutive
	ejections int // successive
	ejected   bool
	// until is when an ejected target may be probed.
	until time.Time
	// probing is set while a probe has not been answered.
	probing bool
	failed  time.Time
}

// noted returns the record after an answer. mayEject is false at the floor.
func (h checkHealth) noted(ok bool, s HealthSettings, mayEject bool, now time.Time) checkHealth {
	if ok {
		return h.succeeded()
	}
	if !h.failed.IsZero() && now.Sub(h.failed) > s.Forgive {
		h.ejections = 0
	}
	h.failed = now
	h.fails++
	if h.ejected && !h.probing {
		return h
	}
	h.probing = false
	if h.ejected || (h.fails >= s.EjectAfter && mayEject) {
		h.ejected = true
		h.until = now.Add(min(s.FirstEjection<<min(h.ejections, 16), s.MaxEjection))
		h.ejections++
	}
	return h
}

// succeeded readmits a target only through a probe: a late answer to an
// earlier request says little about its present state.
func (h checkHealth) succeeded() checkHealth {
	if h.ejected && !h.probing {
		return h
	}
	h.fails = 0
	h.ejected = false
	h.probing = false
	return h
}

// due reports whether an ejected target may be probed.
func (h checkHealth) due(now time.Time) bool { return h.ejected && !now.Before(h.until) }

// probe returns which request may try the target; overdue is the time after
// which that is any.
func (h checkHealth) probe(now time.Time, overdue time.Duration) routing.Probe {
	switch {
	case !h.ejected:
		return routing.NoProbe
	case now.Sub(h.until) < overdue:
		return routing.ProbeIdempotent
	}
	return routing.ProbeAny
}

// probed returns the record when a probe is sent.
func (h checkHealth) probed(s HealthSettings, now time.Time) checkHealth {
	h.probing = true
	h.until = now.Add(s.ProbeTimeout)
	return h
}
