package integration

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const (
	// linkFaultRounds rounds of linkFaultRound each disturb the links from agents to entries.
	linkFaultRounds = 5
	linkFaultRound  = 2500 * time.Millisecond
	// linkStall is longer than an agent waits for the reply to a report, so that the report may
	// arrive after the agent has given up its connection.
	linkStall = 2 * time.Second
	// resetInterval is the mean time between two resets.
	resetInterval        = 150 * time.Millisecond
	linkFaultJobInterval = 40 * time.Millisecond
)

// agentLinks returns the links from one agent to the entries.
func (d *deployment) agentLinks(agent int) []*link {
	var links []*link
	for _, e := range d.entries {
		links = append(links, d.links[linkKey{d.hosts[agent].agent.settings.Process.ID, e.settings.Process.ID}])
	}
	return links
}

// closeConnections ends the open connections of a link; new ones work.
func (l *link) closeConnections(d *deployment) {
	l.proxy.Stop()
	assert.NoError(d.t, l.proxy.Start())
}

// linkFaultSchedule returns faults that lose orders or deliver reports late, while new connections
// work. In each round the reports of one agent are late, and the connections of the others are reset
// at random times.
func linkFaultSchedule(rng *rand.Rand) []scheduledFault {
	var list []scheduledFault
	for round := range linkFaultRounds {
		stalled, begin := round%hostCount, time.Duration(round)*linkFaultRound
		list = append(list, scheduledFault{fault{"reports late", func(d *deployment, rng *rand.Rand) func() {
			delay := randomDuration(rng, linkStall)
			return d.applyToLinks(d.agentLinks(stalled), func(l *link) { l.stall(d.t, sent, delay) })
		}}, begin, begin + linkStall})
		for range linkStall / resetInterval {
			reset, at := (stalled+1+rng.IntN(hostCount-1))%hostCount, begin+randomDuration(rng, linkStall)
			list = append(list, scheduledFault{fault{"connections reset", func(d *deployment, _ *rand.Rand) func() {
				for _, l := range d.agentLinks(reset) {
					l.closeConnections(d)
				}
				return func() {}
			}}, at, at})
		}
	}
	return list
}

// Guards against accepted jobs that stay running with nothing running because the orders of their
// tasks were lost with a connection, or went to one that the agent had given up (review, cases 1
// and 3; a run of the users on lcf-sched).
func TestOrdersSurviveLostConnections(t *testing.T) {
	runSeeds(t, seedRange{[]uint64{1, 2, 1000}, *firstPlatformSeed, *platformSeedCount, 4}, linkFaultSchedule,
		func(t *testing.T, seed uint64, faults []scheduledFault, rng *rand.Rand) {
			runPlatformSoak(t, seed, faults, rng, linkFaultJobInterval)
		})
}
