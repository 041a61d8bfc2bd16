package queue

import (
	"slices"
	"time"
)

// entry is a queued item with its sequence number, which increases with each Push.
type entry[T any] struct {
	item     Item[T]
	sequence uint64
}

// flow is the backlog of one franchisee in one team, in order of arrival.
type flow[T any] struct {
	drrState
	franchisee string
	team       *team[T]
	entries    []entry[T]
	cost       int64 // sum over entries, in microseconds
}

func (f *flow[T]) headCost() int64 { return f.entries[0].item.Cost }

// team is the backlog of one team.
type team[T any] struct {
	drrState
	name   string
	flows  ring[*flow[T]]
	byName map[string]*flow[T]
	cost   int64 // sum over flows, in microseconds
}

func (t *team[T]) headCost() int64 { return t.flows.current().headCost() }

func (q *Queue[T]) teamWeight(name string) int64 {
	if q.cfg.TeamWeight == nil {
		return 1
	}
	return max(int64(q.cfg.TeamWeight(name)), 1)
}

// insert appends an item to its flow, which it creates if necessary. The caller holds mu.
func (q *Queue[T]) insert(item Item[T], teamWeight int64) {
	t, ok := q.byName[item.Team]
	if !ok {
		t = &team[T]{name: item.Team, byName: map[string]*flow[T]{}, flows: ring[*flow[T]]{quantum: q.cfg.QuantumUs}}
		q.byName[item.Team] = t
		q.teams.add(t)
	}
	t.weight = teamWeight
	f, ok := t.byName[item.Franchisee]
	if !ok {
		f = &flow[T]{franchisee: item.Franchisee, team: t}
		t.byName[item.Franchisee] = f
		t.flows.add(f)
	}
	f.weight = max(int64(item.Weight), 1)
	q.lastSequence++
	f.entries = append(f.entries, entry[T]{item, q.lastSequence})
	f.cost += item.Cost
	t.cost += item.Cost
	q.byID[item.ID] = f
	q.counts[item.Franchisee]++
}

// removeAt removes entry i of a flow, and an empty flow or team. The caller holds mu.
func (q *Queue[T]) removeAt(f *flow[T], i int) {
	item := f.entries[i].item
	if i == 0 {
		f.entries[0] = entry[T]{}
		f.entries = f.entries[1:]
	} else {
		f.entries = slices.Delete(f.entries, i, i+1)
	}
	f.cost -= item.Cost
	f.team.cost -= item.Cost
	delete(q.byID, item.ID)
	q.counts[item.Franchisee]--
	if q.counts[item.Franchisee] == 0 {
		delete(q.counts, item.Franchisee)
	}
	if len(f.entries) > 0 {
		return
	}
	f.team.flows.remove(f)
	delete(f.team.byName, f.franchisee)
	if len(f.team.byName) == 0 {
		q.teams.remove(f.team)
		delete(q.byName, f.team.name)
	}
}

// flows returns all flows; the team whose turn it is comes first. The caller holds mu.
func (q *Queue[T]) flows() []*flow[T] {
	var all []*flow[T]
	for _, t := range q.teams.members {
		all = append(all, t.flows.members...)
	}
	return all
}

// displace removes and returns the newest item of the franchisee with the most items;
// among equals, of the one with the newest item. It returns nil if that would leave the
// franchisee with fewer than own+1 items, where own is the number of items of the pushing
// franchisee. The caller holds mu.
func (q *Queue[T]) displace(own int) *Item[T] {
	var victim *flow[T]
	var longest int
	var newest uint64
	for _, f := range q.flows() {
		n := q.counts[f.franchisee]
		last := f.entries[len(f.entries)-1].sequence
		if n > longest || (n == longest && last > newest) {
			victim, longest, newest = f, n, last
		}
	}
	if victim == nil || longest <= own+1 {
		return nil
	}
	last := len(victim.entries) - 1
	item := victim.entries[last].item
	q.removeAt(victim, last)
	return &item
}

// EstimateWait returns the total service time of the items that would be served before a
// new item of the franchisee. The expected wait is this time divided by the number of
// slots that serve the queue.
func (q *Queue[T]) EstimateWait(franchisee, teamName string) time.Duration {
	teamWeight := q.teamWeight(teamName)
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.byID) == 0 {
		return 0
	}
	var total int64
	for _, t := range q.teams.members {
		total += t.cost
	}
	mean := total / int64(len(q.byID))
	ahead := mean // the cost of the new item is unknown; assume the mean
	weight := int64(1)
	t := q.byName[teamName]
	if t != nil {
		if f := t.byName[franchisee]; f != nil {
			ahead += f.cost
			weight = f.weight
		}
		own := ahead
		for _, other := range t.flows.members {
			if other.franchisee != franchisee {
				ahead += min(other.cost, own*other.weight/weight)
			}
		}
	}
	own := ahead
	for _, other := range q.teams.members {
		if other != t {
			ahead += min(other.cost, own*other.weight/teamWeight)
		}
	}
	return time.Duration(ahead-mean) * time.Microsecond
}
