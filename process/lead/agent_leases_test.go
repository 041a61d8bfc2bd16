package lead

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"camphorhead.example/camphorhead/process/schedule"
)

// Guards against two runs of a task, when a leader waits less than the list of the agents allows,
// and against tasks without a run, when it waits longer.
func TestWaitFollowsTheListOfAgents(t *testing.T) {
	now := time.Now()
	longest := testTiming.Outage + testTiming.Lease
	withheld := schedule.AgentLease{Agent: "a", EndsInMs: 1000, Withheld: true}
	missing := schedule.AgentLease{Agent: "a", EndsInMs: 1000}
	reported := schedule.AgentLease{Agent: "a"}
	cases := []struct {
		name              string
		list              schedule.AgentLeases
		earliest, latest  time.Duration // with and without a sign that the previous leader has ended
		withheld, missing bool
	}{
		{"reported to the previous leader", schedule.AgentLeases{Term: 4, Agents: []schedule.AgentLease{reported}}, 0, longest, false, false},
		{"missing at the previous leader", schedule.AgentLeases{Term: 4, Agents: []schedule.AgentLease{missing}}, time.Second, longest, false, true},
		{"withheld by the previous leader", schedule.AgentLeases{Term: 4, Agents: []schedule.AgentLease{withheld}}, time.Second, time.Second, true, false},
		{"withheld by a leader before", schedule.AgentLeases{Term: 2, Agents: []schedule.AgentLease{withheld}}, time.Second, time.Second, true, false},
		{"handed over by the previous leader", schedule.AgentLeases{Term: 4, Closed: true, Agents: []schedule.AgentLease{missing}}, time.Second, time.Second, false, false},
		{"handed over by a leader before", schedule.AgentLeases{Term: 3, Closed: true, Agents: []schedule.AgentLease{missing}}, time.Second, longest, false, false},
		{"handed over by a leader long before", schedule.AgentLeases{Term: 2, Closed: true, Agents: []schedule.AgentLease{missing}}, longest, longest, false, false},
		{"list of a leader before", schedule.AgentLeases{Term: 3, Agents: []schedule.AgentLease{reported}}, longest, longest, false, false},
		{"list of an unknown term", schedule.AgentLeases{Agents: []schedule.AgentLease{reported}}, longest, longest, false, false},
	}
	for _, c := range cases {
		lease := earlierLeases(now, &c.list, 4, &testTiming)["a"]
		slack := testTiming.Lease / 10
		require.GreaterOrEqual(t, lease.End.Sub(now), c.latest, c.name)
		require.Less(t, lease.End.Sub(now), c.latest+slack, c.name)
		require.GreaterOrEqual(t, lease.Earliest.Sub(now), c.earliest, c.name)
		require.Less(t, lease.Earliest.Sub(now), c.earliest+slack, c.name)
		require.Equal(t, c.withheld, lease.Withheld, c.name)
		require.Equal(t, c.missing, lease.Missing, c.name)
	}
}

// Guards against a first leader of this version that takes no agent to have runs.
func TestListOfAnEarlierVersionIsRead(t *testing.T) {
	value, err := msgpack.Marshal([]string{"a", "b"})
	require.NoError(t, err)
	list, err := decodeAgentLeases(value)
	require.NoError(t, err)
	require.Equal(t, schedule.AgentLeases{Agents: []schedule.AgentLease{{Agent: "a"}, {Agent: "b"}}}, list)
	_, err = decodeAgentLeases([]byte("odd entry"))
	require.Error(t, err)
}

// Guards against a wait of an hour, or none at all, by an odd time in the list of agents.
func TestOddTimesOfTheListAreBounded(t *testing.T) {
	now := time.Now()
	longest := testTiming.Outage + testTiming.Lease
	for _, ms := range []int64{1 << 60, 3_600_000, 0, -5} {
		list := schedule.AgentLeases{Term: 4, Closed: true, Agents: []schedule.AgentLease{{Agent: "a", EndsInMs: ms}}}
		wait := earlierLeases(now, &list, list.Term, &testTiming)["a"].End.Sub(now)
		require.GreaterOrEqual(t, wait, longest, "%d ms", ms)
		require.Less(t, wait, longest+testTiming.Lease/10, "%d ms", ms)
	}
}
