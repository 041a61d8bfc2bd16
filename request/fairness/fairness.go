// Package fairness orders waiting jobs so that teams share the workers in
// proportion to their weights, and the franchisees of a team share its part
// equally.
//
// It is start-time fair queueing on two levels: the virtual time of a group, a team or
// a franchisee, grows by the cost of what is placed for it, divided by its weight. The
// group with the least virtual time is next. Idle time earns no credit.
package fairness

import (
	"cmp"
	"container/heap"
	"slices"
)

// Item is one waiting job or step of a job.
type Item struct {
	Team       string
	Franchisee string
	// Cost is the amount of processors that it requests, in thousandths of one.
	Cost int64
}

// Shares holds the virtual times of all teams and franchisees. It is not safe for
// concurrent use: the lock of its owner guards it.
type Shares struct {
	// weight returns the weight of a team; 0 counts as 1.
	weight func(team string) uint16
	teams  map[string]*team
	// joinTime is the virtual time of a team that joins after it had nothing to place;
	// wasWaiting are the teams of the latest Order.
	joinTime   float64
	wasWaiting map[string]bool
}

type team struct {
	virtualTime float64
	franchisees map[string]float64 // virtual time by franchisee
	joinTime    float64            // as in Shares, but for franchisees
	wasWaiting  map[string]bool
}

// maxGroups bounds the teams, and the franchisees of each team. Beyond it, Order
// removes those with nothing to place.
const maxGroups = 4096

// New returns Shares with the given weights of teams.
func New(weight func(team string) uint16) *Shares {
	return &Shares{weight: weight, teams: map[string]*team{}}
}

// Charge adds a placed item's cost to the virtual times of its team and franchisee.
func (s *Shares) Charge(it Item) {
	t := s.team(it.Team)
	t.virtualTime += s.normalizedCost(it)
	t.franchisees[it.Franchisee] = max(t.franchisees[it.Franchisee], t.joinTime) + float64(it.Cost)
}

func (s *Shares) normalizedCost(it Item) float64 {
	return float64(max(it.Cost, 1)) / float64(max(s.weight(it.Team), 1))
}

func (s *Shares) team(name string) *team {
	t := s.teams[name]
	if t == nil {
		t = &team{virtualTime: s.joinTime, franchisees: map[string]float64{}}
		s.teams[name] = t
	}
	return t
}

// Order returns the indices of the items in the order in which they should be
// placed. Items of one franchisee keep their order.
func (s *Shares) Order(items []Item) []int {
	byTeam := s.groupItems(items)
	s.catchUp(byTeam)
	var groups groupHeap
	for name, g := range byTeam {
		groups = append(groups, group{name: name, virtualTime: s.teams[name].virtualTime, queue: s.orderTeam(name, g, items)})
	}
	return merge(groups, func(i int) float64 { return s.normalizedCost(items[i]) })
}

// groupItems returns item indices by team and franchisee.
func (s *Shares) groupItems(items []Item) map[string]map[string][]int {
	byTeam := map[string]map[string][]int{}
	for i, it := range items {
		g := byTeam[it.Team]
		if g == nil {
			g = map[string][]int{}
			byTeam[it.Team] = g
		}
		g[it.Franchisee] = append(g[it.Franchisee], i)
	}
	return byTeam
}

// catchUp raises the virtual times of teams that had nothing to place to the join
// time, and removes teams with nothing to place if there are more than maxGroups.
func (s *Shares) catchUp(byTeam map[string]map[string][]int) {
	virtualTimes := make(map[string]float64, len(s.teams))
	for name, t := range s.teams {
		virtualTimes[name] = t.virtualTime
	}
	s.joinTime = nextJoinTime(virtualTimes, s.wasWaiting, func(name string) bool { return byTeam[name] != nil }, s.joinTime)
	s.wasWaiting = make(map[string]bool, len(byTeam))
	for name, g := range byTeam {
		s.wasWaiting[name] = true
		t := s.team(name)
		t.virtualTime = max(t.virtualTime, s.joinTime)
		t.catchUp(g)
	}
	if len(s.teams) > maxGroups {
		for name := range s.teams {
			if byTeam[name] == nil {
				delete(s.teams, name)
			}
		}
	}
}

// catchUp does the same for the franchisees of a team.
func (t *team) catchUp(g map[string][]int) {
	t.joinTime = nextJoinTime(t.franchisees, t.wasWaiting, func(name string) bool { return g[name] != nil }, t.joinTime)
	t.wasWaiting = make(map[string]bool, len(g))
	for name := range g {
		t.wasWaiting[name] = true
		t.franchisees[name] = max(t.franchisees[name], t.joinTime)
	}
	if len(t.franchisees) > maxGroups {
		for name := range t.franchisees {
			if g[name] == nil {
				delete(t.franchisees, name)
			}
		}
	}
}

// nextJoinTime returns the least virtual time, but at least old, of the groups that wait
// now and did at the previous Order. Without any, all join at the highest virtual time.
func nextJoinTime(virtualTimes map[string]float64, wasWaiting map[string]bool, waits func(name string) bool, old float64) float64 {
	least, highest, found := 0.0, old, false
	for name, virtualTime := range virtualTimes {
		highest = max(highest, virtualTime)
		if wasWaiting[name] && waits(name) && (!found || virtualTime < least) {
			least, found = virtualTime, true
		}
	}
	if found {
		return max(least, old)
	}
	return highest
}

// orderTeam returns the indices of one team's items in the order of placement.
func (s *Shares) orderTeam(name string, g map[string][]int, items []Item) []int {
	var groups groupHeap
	for f, queue := range g {
		groups = append(groups, group{name: f, virtualTime: s.teams[name].franchisees[f], queue: queue})
	}
	return merge(groups, func(i int) float64 { return float64(max(items[i].Cost, 1)) })
}

// merge repeatedly takes the first item of the group with the least virtual time, to
// which it adds the cost of the item.
func merge(groups groupHeap, cost func(i int) float64) []int {
	var order []int
	heap.Init(&groups)
	for len(groups) > 0 {
		next := &groups[0]
		i := next.queue[0]
		order = append(order, i)
		next.queue = next.queue[1:]
		if len(next.queue) == 0 {
			heap.Pop(&groups)
			continue
		}
		next.virtualTime += cost(i)
		heap.Fix(&groups, 0)
	}
	return order
}

// group is a team or a franchisee.
type group struct {
	name        string
	virtualTime float64
	queue       []int // indices of the waiting items
}

type groupHeap []group

func (h groupHeap) Len() int { return len(h) }
func (h groupHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].virtualTime, h[j].virtualTime), cmp.Compare(h[i].name, h[j].name)) < 0
}
func (h groupHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *groupHeap) Push(x any) { *h = append(*h, x.(group)) }

// Pop implements heap.Interface.
func (h *groupHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = slices.Delete(*h, len(*h)-1, len(*h))
	return last
}
