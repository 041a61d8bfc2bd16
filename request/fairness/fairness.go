// Package fairness orders waiting jobs so that teams share the workers by
// their weights, and the franchisees of a team share its part equally.
//
// It is start-time fair queueing on two levels: what was placed for a group is
// added to its account, divided by its weight, and the group with the least
// account is next. A group that had nothing to place gains no credit from that.
package fairness

import (
	"cmp"
	"container/heap"
	"slices"
)

// Item is one waiting job.
type Item struct {
	Team       string
	Franchisee string
	// Cost is what it takes, in thousandths of a processor.
	Cost int64
}

// Shares holds the accounts. It is not safe for concurrent use: the lock of its
// owner guards it.
type Shares struct {
	// Weight returns the weight of a team; 0 counts as 1.
	weight func(team string) uint16
	teams  map[string]*team
	// floor is where a team joins; waited are the teams of the latest order.
	floor  float64
	waited map[string]bool
}

type team struct {
	account     float64
	franchisees map[string]float64
	floor       float64
	waited      map[string]bool
}

// maxGroups bounds the accounts; beyond it those of groups with nothing to place are dropped.
const maxGroups = 4096

// New returns empty accounts.
func New(weight func(team string) uint16) *Shares {
	return &Shares{weight: weight, teams: map[string]*team{}}
}

// Charge notes that an item was placed.
func (s *Shares) Charge(it Item) {
	t := s.team(it.Team)
	t.account += s.share(it)
	t.franchisees[it.Franchisee] = max(t.franchisees[it.Franchisee], t.floor) + float64(it.Cost)
}

func (s *Shares) share(it Item) float64 {
	return float64(max(it.Cost, 1)) / float64(max(s.weight(it.Team), 1))
}

func (s *Shares) team(name string) *team {
	t := s.teams[name]
	if t == nil {
		t = &team{account: s.floor, franchisees: map[string]float64{}}
		s.teams[name] = t
	}
	return t
}

// Order returns the indices of the items in the order in which they should be
// placed. Items of one franchisee keep their order.
func (s *Shares) Order(items []Item) []int {
	byTeam := s.group(items)
	s.settle(byTeam)
	var turns turnHeap
	for name, g := range byTeam {
		turns = append(turns, turn{name: name, account: s.teams[name].account, queue: s.franchisees(name, g, items)})
	}
	return merge(turns, func(i int) float64 { return s.share(items[i]) })
}

// group returns the indices of the items by team and franchisee.
func (s *Shares) group(items []Item) map[string]map[string][]int {
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

// settle lifts the accounts of groups that had nothing to place to that of the
// group that is next among those that had, and drops accounts when there are
// too many.
func (s *Shares) settle(byTeam map[string]map[string][]int) {
	accounts := make(map[string]float64, len(s.teams))
	for name, t := range s.teams {
		accounts[name] = t.account
	}
	s.floor = floor(accounts, s.waited, func(name string) bool { return byTeam[name] != nil }, s.floor)
	s.waited = make(map[string]bool, len(byTeam))
	for name, g := range byTeam {
		s.waited[name] = true
		t := s.team(name)
		t.account = max(t.account, s.floor)
		t.settle(g)
	}
	if len(s.teams) > maxGroups {
		for name := range s.teams {
			if byTeam[name] == nil {
				delete(s.teams, name)
			}
		}
	}
}

func (t *team) settle(g map[string][]int) {
	t.floor = floor(t.franchisees, t.waited, func(name string) bool { return g[name] != nil }, t.floor)
	t.waited = make(map[string]bool, len(g))
	for name := range g {
		t.waited[name] = true
		t.franchisees[name] = max(t.franchisees[name], t.floor)
	}
	if len(t.franchisees) > maxGroups {
		for name := range t.franchisees {
			if g[name] == nil {
				delete(t.franchisees, name)
			}
		}
	}
}

// floor returns the least account of the groups that wait now and did before.
// Without any, nothing has been waiting, and the highest account is where all begin.
func floor(accounts map[string]float64, before map[string]bool, waits func(name string) bool, old float64) float64 {
	least, highest, found := 0.0, old, false
	for name, account := range accounts {
		highest = max(highest, account)
		if before[name] && waits(name) && (!found || account < least) {
			least, found = account, true
		}
	}
	if found {
		return max(least, old)
	}
	return highest
}

// franchisees returns the items of one team in the order of its franchisees'
// accounts.
func (s *Shares) franchisees(name string, g map[string][]int, items []Item) []int {
	var turns turnHeap
	for f, queue := range g {
		turns = append(turns, turn{name: f, account: s.teams[name].franchisees[f], queue: queue})
	}
	return merge(turns, func(i int) float64 { return float64(max(items[i].Cost, 1)) })
}

// merge takes from the group with the least account until nothing waits.
func merge(turns turnHeap, cost func(i int) float64) []int {
	var order []int
	heap.Init(&turns)
	for len(turns) > 0 {
		next := &turns[0]
		i := next.queue[0]
		order = append(order, i)
		next.queue = next.queue[1:]
		if len(next.queue) == 0 {
			heap.Pop(&turns)
			continue
		}
		next.account += cost(i)
		heap.Fix(&turns, 0)
	}
	return order
}

// turn is a group with what it waits for.
type turn struct {
	name    string
	account float64
	queue   []int
}

type turnHeap []turn

func (h turnHeap) Len() int { return len(h) }
func (h turnHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].account, h[j].account), cmp.Compare(h[i].name, h[j].name)) < 0
}
func (h turnHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *turnHeap) Push(x any) { *h = append(*h, x.(turn)) }

// Pop implements heap.Interface.
func (h *turnHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = slices.Delete(*h, len(*h)-1, len(*h))
	return last
}
