// Package interference models how batch tasks slow down the service on their worker. The
// effect of each pair of service and batch profile follows from the seed and is unknown
// to the system under test.
package interference

import "camphorhead.example/standin/internal/seeded"

const (
	// severeShare is the fraction of pairs that slow the service down severely.
	severeShare = 0.25
	// maxMildWeight is the upper bound of the weight of other pairs.
	maxMildWeight = 0.1
	// minSevereWeight and maxSevereWeight bound the weight of severe pairs.
	minSevereWeight, maxSevereWeight = 1.0, 4.0
)

// Neighbour is one batch task that runs on the service's worker.
type Neighbour struct {
	Profile     string
	ThrottlePct int
	// CPUShare is the task's real processor use at full speed, as a fraction of the
	// worker's processors.
	CPUShare float64
}

// Model is immutable and may be used from any goroutine.
type Model struct{ seed uint64 }

// New returns the model of a seed.
func New(seed uint64) *Model { return &Model{seed} }

// Weight returns how strongly tasks of a profile slow the service down; fixed for a pair.
func (m *Model) Weight(service, profile string) float64 {
	rng := seeded.Rand(m.seed, service, profile)
	if rng.Float64() >= severeShare {
		return rng.Float64() * maxMildWeight
	}
	return minSevereWeight + rng.Float64()*(maxSevereWeight-minSevereWeight)
}

// Slowdown returns the factor, at least 1, by which the neighbours extend the service
// time. It grows faster than linearly with the load of the worker.
func (m *Model) Slowdown(service string, neighbours []Neighbour) float64 {
	var pressure, load float64
	for _, n := range neighbours {
		share := n.CPUShare * float64(n.ThrottlePct) / 100
		load += share
		pressure += share * m.Weight(service, n.Profile)
	}
	return 1 + pressure*(1+load)
}
