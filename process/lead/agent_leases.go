package lead

import (
	"camphorhead.example/camphorhead/connection/body"
	"camphorhead.example/camphorhead/process/schedule"
)

const agentsKey = "leader/agents" // key of schedule.AgentLeases

// unknownAgents stands for all agents if the list of agents cannot be decoded. No agent has
// this ID, so the leader waits until the leases of all agents have ended, and the next one
// too if this one ends before that.
const unknownAgents = "unknown agents"

// decodeAgentLeases decodes the value of agentsKey. Versions before 2026-12-06 wrote the ids of
// the agents alone; they count as a list of an unknown term.
func decodeAgentLeases(value []byte) (schedule.AgentLeases, error) {
	var list schedule.AgentLeases
	err := body.Unmarshal(value, &list)
	if err == nil {
		return list, nil
	}
	var ids []string
	if body.Unmarshal(value, &ids) != nil {
		return schedule.AgentLeases{}, err
	}
	for _, id := range ids {
		list.Agents = append(list.Agents, schedule.AgentLease{Agent: id})
	}
	return list, nil
}
