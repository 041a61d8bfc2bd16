package schedule

import (
	"cmp"
	"slices"
	"time"

	"camphorhead.example/camphorhead/connection/message"
)

// takeOrders returns the unsent orders and clears them. The start orders of an agent wait unless
// mayStart is set and while the link to its region does not admit them, those that have waited longest
// are sent first; all other orders are sent at once.
func (t *Table) takeOrders(mayStart bool) []AgentOrders {
	var due []*agentState
	for _, a := range t.agents {
		if len(a.pendingStarts) > 0 || len(a.pendingStops) > 0 || len(a.pendingAdopted) > 0 {
			due = append(due, a)
		}
	}
	slices.SortFunc(due, func(a, b *agentState) int {
		return cmp.Or(a.waitsSince().Compare(b.waitsSince()), cmp.Compare(a.id, b.id))
	})
	var list []AgentOrders
	for _, a := range due {
		starts := a.pendingStarts
		if len(starts) > 0 && (!mayStart || !t.linkAdmits(a)) {
			a.pendingStarts = nil // the worker's capacity stays reserved for the runs meanwhile
			list = append(list, t.takeAgentOrders(a)...)
			a.pendingStarts = starts
			continue
		}
		list = append(list, t.takeAgentOrders(a)...)
	}
	return list
}

// linkAdmits takes the bytes of the unsent starts of an agent from the budget of the link to its region.
func (t *Table) linkAdmits(a *agentState) bool {
	return t.cfg.AdmitLink == nil || t.cfg.AdmitLink(a.location.Region, a.pendingStartBytes())
}

// MarkUnsent records that orders could not be sent, so that the runs in them cannot begin. Their
// tasks are requeued with the agent's next full report, or at once when its session expires.
func (t *Table) MarkUnsent(o *AgentOrders) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.agents[o.Agent]
	if a == nil || a.session != o.Orders.Session {
		return
	}
	for i := range o.Orders.Starts {
		if run := a.runs[o.Orders.Starts[i].Key]; run != nil {
			run.unsent = true
		}
	}
}

// waitsSince returns when the first of the unsent starts was ordered; zero if there are none.
func (a *agentState) waitsSince() time.Time {
	if len(a.pendingStarts) == 0 {
		return time.Time{}
	}
	return a.pendingStarts[0].orderedAt
}

// maxOrdersBytes is the estimated size at which the orders of an agent go on in another message.
// It leaves room in a frame of 1 MiB for the largest input of a job, 256 KiB.
const maxOrdersBytes = 512 << 10

// takeAgentOrders returns the unsent orders of an agent, in as many messages as fit into frames,
// and clears them.
func (t *Table) takeAgentOrders(a *agentState) []AgentOrders {
	first := AgentOrders{Agent: a.id, Orders: message.Orders{Term: t.cfg.Term, Session: a.session, Recorded: a.durableSerial}}
	if len(a.pendingStarts) == 0 && len(a.pendingStops) == 0 && len(a.pendingAdopted) == 0 {
		return nil
	}
	if t.cfg.CancelBound > 0 && len(a.pendingStarts) > 0 {
		first.Orders.Sequence, first.Orders.StartWithinMs = a.sequence, t.startWithinMs(a)
	}
	list, size := []AgentOrders{first}, 0
	reserve := func(bytes int) *message.Orders {
		if size > 0 && size+bytes > maxOrdersBytes {
			list, size = append(list, first), 0
		}
		size += bytes
		return &list[len(list)-1].Orders
	}
	for _, run := range a.pendingAdopted {
		o := reserve(startOverheadBytes)
		o.Adopted = append(o.Adopted, startOrder(run))
	}
	for _, run := range a.pendingStarts {
		o := reserve(a.startBytes(run))
		o.Starts = append(o.Starts, startOrder(run))
		j := run.task.step.job()
		if j.inputSession[a.id] != a.session {
			j.inputSession[a.id] = a.session
			o.Inputs = append(o.Inputs, message.JobInput{Job: j.def.ID, Input: j.def.Input})
		}
	}
	for _, key := range a.pendingStops {
		o := reserve(startOverheadBytes)
		o.Stops = append(o.Stops, message.StopRun{Key: key})
	}
	a.sentSerial = a.durableSerial
	a.pendingStarts, a.pendingStops, a.pendingAdopted = nil, nil, nil
	return list
}

// startOverheadBytes is the assumed size of an order without the job's input.
const startOverheadBytes = 100

func (a *agentState) pendingStartBytes() int {
	bytes := 0
	for _, run := range a.pendingStarts {
		bytes += a.startBytes(run)
	}
	return bytes
}

// startBytes includes the job's input if the agent's session has not received it.
func (a *agentState) startBytes(run *runState) int {
	if j := run.task.step.job(); j.inputSession[a.id] != a.session {
		return startOverheadBytes + len(j.def.Input)
	}
	return startOverheadBytes
}

// startOrder also describes an adopted run to its agent.
func startOrder(run *runState) message.StartRun {
	def, j := run.task.step.def, run.task.step.job()
	o := message.StartRun{
		Key: run.key(), Need: def.Need, Charge: def.Charge(), Checkpoint: run.task.checkpoint, Ticket: run.ticket,
		Image: def.Image, TargetMs: def.TargetMs, Fills: def.Fills, LongRunning: def.LongRunning, Profile: j.def.Profile,
	}
	if r := j.def.Request; r != nil {
		o.Franchisee, o.Urgent = r.Franchisee, r.Urgent
		o.EvictionsLeft = max(int(r.MaxEvictions)-int(j.taskProgress().Evictions), 0)
	}
	return o
}
