package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/process/metrics"
	"camphorhead.example/camphorhead/request/budget"
	"camphorhead.example/camphorhead/request/outcome"
	"camphorhead.example/camphorhead/request/routing"
)

const (
	// candidatesPerDomain is the number of targets of each failure domain that routing compares.
	candidatesPerDomain = 2
	// responseMargin is the part of the deadline reserved for the response to the caller.
	responseMargin = 2 * time.Millisecond
	// minAttemptTime is the least remaining time with which an attempt is sent.
	minAttemptTime = time.Millisecond
	// hedgePercentile is the percentile of response times after which a hedge may be sent.
	hedgePercentile = 95
)

// router sends checks to targets, with retries and hedges. It is safe for concurrent use.
type router struct {
	entry    *Entry
	settings routing.Settings
	policy   routing.RetryPolicy
	attempts routing.Attempts
}

func newRouter(e *Entry, s routing.Settings) *router {
	r := &router{entry: e, settings: s, policy: routing.DefaultRetryPolicy()}
	e.metrics.RegisterFunc(metrics.Attempts, func() []metrics.Sample {
		n := r.attempts.Counts()
		return []metrics.Sample{
			{Label: "first", Value: float64(n.First)},
			{Label: "retry", Value: float64(n.Retries)},
			{Label: "hedge", Value: float64(n.Hedges)},
			{Label: "wasted", Value: float64(n.Wasted)},
		}
	})
	return r
}

// DefaultDelays returns the one-way delays that routing assumes within a failure
// domain, between the domains of a region, and between regions.
func DefaultDelays() routing.Settings {
	return routing.DefaultSettings(50*time.Microsecond, time.Millisecond, 30*time.Millisecond)
}

// check runs a check within its deadline. A non-idempotent one is first claimed in the store.
func (e *Entry) check(s submission) ([]byte, error) {
	b := budget.New(e.clock, s.Deadline-responseMargin)
	ctx, cancel := context.WithTimeout(e.runCtx, s.Deadline)
	defer cancel()
	if s.Idempotent {
		return e.router.run(ctx, s, b)
	}
	return e.checkOnce(ctx, s, b)
}

// run makes attempts until one succeeds, the deadline budget is used up or the
// policy refuses a retry. All attempts share the budget.
func (r *router) run(ctx context.Context, s submission, b budget.Budget) ([]byte, error) {
	var failures []*outcome.Error
	var tried []string
	kind := routing.First
	for number := 1; ; number++ {
		a, err := r.choose(s, b, tried, kind, number)
		if err != nil {
			return nil, routing.Worst(append(failures, err)...)
		}
		tried = append(tried, a.target.Agent)
		body, failure := r.try(ctx, a)
		if failure == nil {
			return body, nil
		}
		if kind == routing.Retry {
			r.attempts.CountWasted()
		}
		failures = append(failures, failure)
		decision := r.policy.Decide(routing.RetryInput{
			Attempts: number, Idempotent: s.Idempotent, Failure: failure, Budget: b,
			Need: responseMargin, Process: r.entry.fleet.RetryBudget(),
		})
		if !decision.Retry {
			return nil, routing.Worst(failures...)
		}
		kind = routing.Retry
		r.entry.log.Emit(event.CheckRetried, "request", s.ID, "attempt", number+1, "agent", a.target.Agent, "reason", failure.Kind)
	}
}

// try makes one attempt, with a hedge if the profile and its hedge budget allow it.
func (r *router) try(ctx context.Context, a *attempt) ([]byte, *outcome.Error) {
	s := a.submission
	if a.kind != routing.First || s.Profile.HedgePercent == 0 {
		return a.run(ctx)
	}
	decision := routing.DecideHedge(routing.HedgeInput{
		Idempotent: s.Idempotent, HedgePercent: s.Profile.HedgePercent, Budget: a.budget,
		P95:    r.entry.metrics.Quantile(metrics.CheckTime, s.Profile.Name, hedgePercentile),
		Hedges: r.entry.fleet.EarnHedge(s.Profile.Name, s.Profile.HedgePercent),
	})
	if !decision.Hedge {
		return a.run(ctx)
	}
	return r.hedge(ctx, a, decision.After)
}

// choose picks a target and registers the attempt in the fleet table, which may refuse it;
// then it picks again, up to MaxAttempts times.
func (r *router) choose(s submission, b budget.Budget, tried []string, kind routing.AttemptKind, number int) (*attempt, *outcome.Error) {
	rng := newRand()
	var candidates []routing.Candidate
	for range r.policy.MaxAttempts {
		if b.Remaining() < minAttemptTime {
			return nil, outcome.New(outcome.DeadlineRefused, "deadline reached before the check was sent")
		}
		candidates = r.entry.fleet.Candidates(s.Profile.Service, candidatesPerDomain, rng, candidates[:0])
		d := routing.Choose(candidates, routing.Request{
			From: r.entry.location(), Idempotent: s.Idempotent, Tried: tried, Retry: kind == routing.Retry,
			Remaining: b.Remaining(), LinkWait: r.entry.links.Wait(),
		}, r.settings, rng)
		if !d.OK() {
			return nil, outcome.New(d.Kind, "no target is available that can reply before the deadline and has retry budget left").AsNotRun()
		}
		if r.entry.fleet.Begin(d.Candidate.Agent, s.Profile.Service, kind) {
			r.attempts.Count(kind)
			return &attempt{router: r, submission: s, budget: b, target: d.Candidate, kind: kind, number: number}, nil
		}
	}
	return nil, outcome.New(outcome.NoTarget, "the selected targets became unavailable before the check was sent")
}

// hashInput returns the first 8 bytes of the SHA-256 hash in hexadecimal.
func hashInput(input []byte) string {
	sum := sha256.Sum256(input)
	return hex.EncodeToString(sum[:8])
}
