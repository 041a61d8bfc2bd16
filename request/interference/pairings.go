package interference

import (
	"math"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	defaultMaxPairings = 1024
	defaultHalfLife    = 6 * time.Hour
	// maxWeight bounds the weight of a pairing, so that its score follows a change.
	maxWeight = 10
	// minWeight is the least weight, in observations, for which a score is used.
	minWeight = 0.25
)

// PairingKey identifies a service and a batch profile that share workers.
type PairingKey struct {
	Service string `msgpack:"s"`
	Profile string `msgpack:"p"`
}

// Pairing is the learned interference of a batch profile with a service.
type Pairing struct {
	PairingKey
	// Score is as in Observation.
	Score float64 `msgpack:"c"`
	// Weight is the number of observations as of At; it halves with each half-life.
	Weight float64   `msgpack:"w"`
	At     time.Time `msgpack:"t"`
}

// PairingsConfig configures a table of pairings. A zero MaxPairings or HalfLife
// selects the default: 1024 pairings and 6 hours.
type PairingsConfig struct {
	Clock clockwork.Clock
	// MaxPairings bounds the table; the least remaining weight is removed first.
	MaxPairings int
	// HalfLife is the time in which an observation loses half of its weight.
	HalfLife time.Duration
}

// Pairings is a bounded table of learned slowdowns. Local observations and merged
// pairings are stored separately, so that Merge is idempotent and no table gets its own
// observations back. It is not safe for concurrent use: the lock of its owner guards it.
type Pairings struct {
	cfg    PairingsConfig
	own    map[PairingKey]Pairing
	merged map[PairingKey]Pairing
}

// NewPairings returns an empty table.
func NewPairings(cfg PairingsConfig) *Pairings {
	if cfg.MaxPairings <= 0 {
		cfg.MaxPairings = defaultMaxPairings
	}
	if cfg.HalfLife <= 0 {
		cfg.HalfLife = defaultHalfLife
	}
	return &Pairings{cfg: cfg, own: map[PairingKey]Pairing{}, merged: map[PairingKey]Pairing{}}
}

// Learn adds a local observation of the slowdown of a service.
func (p *Pairings) Learn(service string, o Observation) {
	key := PairingKey{service, o.Profile}
	now := p.cfg.Clock.Now()
	old := p.own[key]
	weight := min(p.weight(old, now), maxWeight-1)
	score := (old.Score*weight + o.Score) / (weight + 1)
	p.own[key] = Pairing{key, score, weight + 1, now}
	p.bound(p.own, now)
}

// Score returns the slowdown of a service by one task of a profile at full speed: the
// weighted mean of local and merged scores, or 0 if it is unknown or too old.
func (p *Pairings) Score(service, profile string) float64 {
	key := PairingKey{service, profile}
	now := p.cfg.Clock.Now()
	own, merged := p.own[key], p.merged[key]
	ownWeight, mergedWeight := p.weight(own, now), p.weight(merged, now)
	weight := ownWeight + mergedWeight
	if weight < minWeight {
		return 0
	}
	return (own.Score*ownWeight + merged.Score*mergedWeight) / weight
}

// Export returns the pairings of local observations, for Merge into another table.
func (p *Pairings) Export() []Pairing {
	all := make([]Pairing, 0, len(p.own))
	for _, pair := range p.own {
		all = append(all, pair)
	}
	return all
}

// Merge adds pairings exported by other tables and ignores invalid ones. Of several with
// one key the one with the most remaining weight is kept, so that neither the order nor
// the repetition of merges matters.
func (p *Pairings) Merge(pairs []Pairing) {
	now := p.cfg.Clock.Now()
	for _, pair := range pairs {
		if pair.Weight <= 0 || pair.Weight > maxWeight || pair.Score < 0 || math.IsNaN(pair.Score) {
			continue
		}
		old := p.merged[pair.PairingKey]
		weight, oldWeight := p.weight(pair, now), p.weight(old, now)
		if weight > oldWeight || (weight == oldWeight && pair.Score > old.Score) {
			p.merged[pair.PairingKey] = pair
		}
	}
	p.bound(p.merged, now)
}

// Len returns the number of pairings, local and merged.
func (p *Pairings) Len() int { return len(p.own) + len(p.merged) }

// weight returns the remaining weight; an At in the future counts as now.
func (p *Pairings) weight(pair Pairing, now time.Time) float64 {
	if pair.Weight == 0 {
		return 0
	}
	age := max(now.Sub(pair.At), 0)
	return pair.Weight * math.Exp2(-float64(age)/float64(p.cfg.HalfLife))
}

// bound removes the pairings with the least remaining weight until the map, one of two,
// holds at most half of MaxPairings.
func (p *Pairings) bound(pairs map[PairingKey]Pairing, now time.Time) {
	for len(pairs) > max(p.cfg.MaxPairings/2, 1) {
		var least PairingKey
		lowest := math.Inf(1)
		for key, pair := range pairs {
			if w := p.weight(pair, now); w < lowest {
				least, lowest = key, w
			}
		}
		delete(pairs, least)
	}
}
