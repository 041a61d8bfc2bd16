package routing

import (
	"sync/atomic"
	"time"

	"camphorhead.example/camphorhead/request/budget"
	"camphorhead.example/camphorhead/request/outcome"
)

// AttemptKind is the reason for an attempt.
type AttemptKind uint8

// The kinds of attempts.
const (
	First AttemptKind = iota
	Retry
	Hedge
)

const (
	// firstAttemptsPerRetry is the number of first attempts that earn one retry.
	firstAttemptsPerRetry = 10
	// retryBurst bounds the number of unused retries that accumulate.
	retryBurst = 100
)

// RetryBudget is a token bucket that earns a tenth of a retry with each first attempt.
// The zero value is empty, so retries never exceed a tenth of the first attempts.
type RetryBudget struct {
	tenths int32 // of a retry
}

// AfterFirst returns the budget after a first attempt.
func (b RetryBudget) AfterFirst() RetryBudget {
	return RetryBudget{min(b.tenths+1, firstAttemptsPerRetry*retryBurst)}
}

// Admits reports whether the budget covers a retry.
func (b RetryBudget) Admits() bool { return b.tenths >= firstAttemptsPerRetry }

// AfterRetry returns the budget after a retry that it admitted.
func (b RetryBudget) AfterRetry() RetryBudget { return RetryBudget{b.tenths - firstAttemptsPerRetry} }

// RetryPolicy bounds the attempts of one request.
type RetryPolicy struct {
	// MaxAttempts includes the first attempt.
	MaxAttempts int
}

// DefaultRetryPolicy returns the policy used in production: at most 3 attempts.
func DefaultRetryPolicy() RetryPolicy { return RetryPolicy{MaxAttempts: 3} }

// RetryInput describes a request whose latest attempt failed.
type RetryInput struct {
	Attempts   int // including the failed one
	Idempotent bool
	Failure    *outcome.Error // of the latest attempt
	Budget     budget.Budget
	// Need is the least time that another attempt is expected to take.
	Need time.Duration
	// Process is the retry budget of this process. The budgets of targets are checked by
	// Choose, which skips targets without one.
	Process RetryBudget
}

// RetryDecision states whether to make another attempt.
type RetryDecision struct {
	Retry bool
	// Kind is empty for a retry, or if there was no failure. Otherwise it is the reason
	// not to retry: the kind of the failure itself, RetryBudgetSpent or DeadlineRefused.
	// The caller of the request gets Worst of all failures, not this kind.
	Kind outcome.Kind
}

// Decide returns whether a failed request is sent again. A request that is not
// idempotent is retried only if its attempt is known not to have run.
func (p RetryPolicy) Decide(f RetryInput) RetryDecision {
	failure := f.Failure
	switch {
	case failure == nil:
		return RetryDecision{}
	case !failure.Kind.Response().Retry:
		return RetryDecision{Kind: failure.Kind}
	case !f.Idempotent && failure.Ran() != outcome.RanNo:
		return RetryDecision{Kind: failure.Kind}
	case f.Attempts >= p.MaxAttempts || !f.Process.Admits():
		return RetryDecision{Kind: outcome.RetryBudgetSpent}
	case !f.Budget.Allows(f.Need):
		return RetryDecision{Kind: outcome.DeadlineRefused}
	}
	return RetryDecision{Retry: true}
}

// Worst returns the failure that a caller gets after several attempts: the latest of
// those that ran or, failing that, may have run. A "not run" is returned only if no
// attempt may have run. Nil failures are ignored.
func Worst(failures ...*outcome.Error) *outcome.Error {
	var worst *outcome.Error
	for _, f := range failures {
		if f != nil && (worst == nil || executionRank(f.Ran()) >= executionRank(worst.Ran())) {
			worst = f
		}
	}
	return worst
}

func executionRank(r outcome.Ran) int {
	switch r {
	case outcome.RanNo:
		return 0
	case outcome.RanMaybe:
		return 1
	case outcome.RanYes:
	}
	return 2
}

// HedgeBudget is a token bucket for the hedges of one profile. The zero value is empty,
// so hedges never exceed the profile's percentage of first attempts.
type HedgeBudget struct {
	hundredths int32 // of a hedge
}

// hedgeBurst bounds the number of unused hedges that accumulate.
const hedgeBurst = 10

// AfterFirst returns the budget after a first attempt under a profile.
func (b HedgeBudget) AfterFirst(hedgePercent uint8) HedgeBudget {
	return HedgeBudget{min(b.hundredths+int32(hedgePercent), 100*hedgeBurst)}
}

// Admits reports whether the budget covers a hedge.
func (b HedgeBudget) Admits() bool { return b.hundredths >= 100 }

// AfterHedge returns the budget after a hedge that it admitted.
func (b HedgeBudget) AfterHedge() HedgeBudget { return HedgeBudget{b.hundredths - 100} }

// HedgeInput describes a first attempt that may be hedged.
type HedgeInput struct {
	Idempotent   bool
	HedgePercent uint8 // of the profile; 0 disables hedging
	// P95 is the profile's observed 95th percentile of response times; 0 if unknown.
	P95    time.Duration
	Budget budget.Budget
	Hedges HedgeBudget
}

// HedgeDecision is the decision whether a second attempt is sent, at the time After the
// first one if there is no reply by then. The hedge budget is charged at that time.
type HedgeDecision struct {
	Hedge bool
	After time.Duration
}

// DecideHedge returns whether a request that is sent now may be hedged.
func DecideHedge(h HedgeInput) HedgeDecision {
	switch {
	case !h.Idempotent || h.HedgePercent == 0 || h.P95 <= 0:
		return HedgeDecision{}
	case !h.Hedges.Admits():
		return HedgeDecision{}
	case !h.Budget.Allows(2 * h.P95):
		// The second attempt takes about as long, so its reply would miss the deadline.
		return HedgeDecision{}
	}
	return HedgeDecision{Hedge: true, After: h.P95}
}

// Attempts counts the attempts of this process. It is safe for concurrent use.
type Attempts struct {
	first, retries, hedges, wasted atomic.Uint64
}

// AttemptCounts is a snapshot of Attempts.
type AttemptCounts struct {
	First, Retries, Hedges uint64
	// Wasted counts attempts whose reply was not used: the slower one of a hedged pair, a
	// failed retry, and a reply after the deadline.
	Wasted uint64
}

// Count counts an attempt that is sent.
func (a *Attempts) Count(kind AttemptKind) {
	switch kind {
	case First:
		a.first.Add(1)
	case Retry:
		a.retries.Add(1)
	case Hedge:
		a.hedges.Add(1)
	}
}

// CountWasted counts an attempt whose reply was not used.
func (a *Attempts) CountWasted() { a.wasted.Add(1) }

// Counts returns the current counts.
func (a *Attempts) Counts() AttemptCounts {
	return AttemptCounts{
		First:   a.first.Load(),
		Retries: a.retries.Load(),
		Hedges:  a.hedges.Load(),
		Wasted:  a.wasted.Load(),
	}
}
