// Package routing decides to which target a check is sent, whether it is retried or
// hedged, and when data may pass the link between regions.
//
// All decisions are functions of typed values. Budgets are values too; their owner
// stores them in a table and guards them with its lock.
package routing

import (
	"math/rand/v2"
	"slices"
	"time"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/request/outcome"
)

// Tier is the distance between an entry and a target.
type Tier uint8

// The tiers, nearest first.
const (
	SameDomain Tier = iota
	SameRegion
	CrossRegion
	tierCount
)

// TierOf returns the tier of the distance between two locations.
func TierOf(a, b message.Location) Tier {
	switch {
	case a.Region != b.Region:
		return CrossRegion
	case a.Domain != b.Domain:
		return SameRegion
	}
	return SameDomain
}

// Probe states which requests may probe an ejected target.
type Probe uint8

// The kinds of probes. Idempotent requests are preferred, because a request that is not
// idempotent could not be retried after a failed probe. ProbeAny is for targets for which
// no idempotent request has arrived within the time that their owner allows.
const (
	NoProbe         Probe = iota // the target is not ejected
	ProbeIdempotent              // only idempotent requests
	ProbeAny                     // all requests
)

// Candidate is a target that a check may be sent to.
type Candidate struct {
	Agent    string
	Address  string
	Session  uint64
	Location message.Location
	// Load is the latest load that the target reported, in a reply or in a summary.
	Load message.ServiceLoad
	// Pending counts the checks of this entry that Load does not include.
	Pending int
	// Probe is NoProbe unless the target is ejected and due for one probe request.
	Probe Probe
	// RetryOK is set if the target's retry budget admits a retry.
	RetryOK bool
}

// Wait returns the expected time in the target's queue.
func (c Candidate) Wait() time.Duration {
	slots := max(1, c.Load.Slots)
	ahead := c.Load.Busy + c.Load.Queued + c.Pending
	if ahead < slots {
		return 0
	}
	serviceTime := time.Duration(c.Load.ServiceTimeUs) * time.Microsecond
	return time.Duration(ahead-slots+1) * serviceTime / time.Duration(slots)
}

// Settings are the network delays and the number of targets to compare.
type Settings struct {
	// OneWay is the delay of each tier in one direction.
	OneWay [tierCount]time.Duration
	// SampleSize is the number of targets compared per tier; below 1 counts as 1.
	SampleSize int
}

// DefaultSettings returns settings with the given one-way delays that compare 3 targets
// of each tier.
func DefaultSettings(sameDomain, sameRegion, crossRegion time.Duration) Settings {
	return Settings{OneWay: [tierCount]time.Duration{sameDomain, sameRegion, crossRegion}, SampleSize: 3}
}

// Request is the check to be routed.
type Request struct {
	From       message.Location
	Idempotent bool
	// Tried lists the agents to which this request was sent before; they are excluded.
	Tried []string
	// Retry excludes targets whose retry budget is spent.
	Retry     bool
	Remaining time.Duration // rest of the deadline budget
	// LinkWait is the expected wait for the link between regions, see LinkBucket.Wait.
	LinkWait time.Duration
}

// Decision is the chosen target, or the reason why there is none.
type Decision struct {
	Candidate Candidate
	Tier      Tier
	// Cost is the expected time until the reply: queue, service and both directions.
	Cost time.Duration
	// Kind is empty if a target was chosen, else NoTarget, RetryBudgetSpent or
	// DeadlineRefused. In these cases nothing is sent.
	Kind outcome.Kind
}

// OK reports whether a target was chosen.
func (d Decision) OK() bool { return d.Kind == "" }

// Choose returns the target with the least expected cost among a random sample of each
// tier. So a farther tier wins only if waiting in the nearer one costs more than the
// additional round-trip delay. All healthy targets are compared before a request is
// refused for its deadline. An ejected target that is due for a probe may take
// precedence.
func Choose(candidates []Candidate, r Request, s Settings, rng *rand.Rand) Decision {
	usable, refused := filter(candidates, r)
	if d := chooseProbe(usable, r, s); d.OK() {
		return d
	}
	assumeShortestServiceTime(usable)
	healthy := slices.DeleteFunc(usable, func(c Candidate) bool { return c.Probe != NoProbe })
	if len(healthy) == 0 {
		return Decision{Kind: refused}
	}
	rng.Shuffle(len(healthy), func(i, j int) { healthy[i], healthy[j] = healthy[j], healthy[i] })
	if d := least(healthy, r, s, max(1, s.SampleSize)); d.Cost < r.Remaining {
		return d
	}
	d := least(healthy, r, s, len(healthy))
	if d.Cost < r.Remaining {
		return d
	}
	return Decision{Kind: outcome.DeadlineRefused, Cost: d.Cost}
}

// assumeShortestServiceTime gives targets without a known service time the shortest
// known one. A lower assumption made targets across the link appear cheap; a higher one
// left new targets without checks.
func assumeShortestServiceTime(candidates []Candidate) {
	var shortest int64
	for _, c := range candidates {
		known := c.Load.ServiceTimeUs
		if known > 0 && (shortest == 0 || known < shortest) {
			shortest = known
		}
	}
	for i := range candidates {
		if candidates[i].Load.ServiceTimeUs == 0 {
			candidates[i].Load.ServiceTimeUs = max(shortest-1, 0) // preferred to the fastest target at equal load
		}
	}
}

// chooseProbe chooses an ejected target that is due for a probe and can meet the
// deadline. While there are healthy targets, only a first attempt of a request that
// Probe allows is used, and only in its own region. Without a healthy target any
// ejected target that is due is tried.
func chooseProbe(usable []Candidate, r Request, s Settings) Decision {
	healthy := slices.ContainsFunc(usable, func(c Candidate) bool { return c.Probe == NoProbe })
	for _, c := range usable {
		if c.Probe == NoProbe {
			continue
		}
		due := r.Idempotent || c.Probe == ProbeAny
		first := !r.Retry && len(r.Tried) == 0 && c.Location.Region == r.From.Region
		if healthy && !(due && first) {
			continue
		}
		if d := decide(r, s, c); d.Cost < r.Remaining {
			return d
		}
	}
	return Decision{Kind: outcome.NoTarget}
}

// least returns the cheapest decision among the first limit candidates of each tier.
func least(candidates []Candidate, r Request, s Settings, limit int) Decision {
	var best Decision
	var sampled [tierCount]int
	for i, c := range candidates {
		tier := TierOf(r.From, c.Location)
		if sampled[tier] == limit {
			continue
		}
		sampled[tier]++
		if d := decide(r, s, c); i == 0 || less(d, best) {
			best = d
		}
	}
	return best
}

// filter returns the usable candidates, and the reason for a refusal if there are none.
func filter(candidates []Candidate, r Request) (usable []Candidate, refused outcome.Kind) {
	refused = outcome.NoTarget
	for _, c := range candidates {
		if slices.Contains(r.Tried, c.Agent) {
			continue
		}
		if r.Retry && !c.RetryOK {
			refused = outcome.RetryBudgetSpent
			continue
		}
		usable = append(usable, c)
	}
	return usable, refused
}

func decide(r Request, s Settings, c Candidate) Decision {
	tier := TierOf(r.From, c.Location)
	cost := c.Wait() + 2*s.OneWay[tier] + time.Duration(c.Load.ServiceTimeUs)*time.Microsecond
	if tier == CrossRegion {
		cost += r.LinkWait
	}
	return Decision{Candidate: c, Tier: tier, Cost: cost}
}

func less(a, b Decision) bool {
	if a.Cost != b.Cost {
		return a.Cost < b.Cost
	}
	return a.Tier < b.Tier
}
