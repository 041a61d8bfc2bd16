package placement

import "camphorhead.example/camphorhead/request/resources"

// reservePct of each failure domain's processors and memory is kept free for
// urgent work.
const reservePct = 5

// Reserve says where a task would take the room that is kept for urgent work.
type Reserve struct {
	nodes   []*Node
	domains map[domainKey]*domainRoom
}

type domainKey struct{ region, domain string }

type domainRoom struct{ total, free resources.Resources }

// NewReserve adds up the room of the open workers.
func NewReserve(nodes []*Node) *Reserve {
	r := &Reserve{nodes: nodes, domains: map[domainKey]*domainRoom{}}
	for _, n := range nodes {
		if !n.Open {
			continue
		}
		d := r.domains[n.domainKey()]
		if d == nil {
			d = &domainRoom{}
			r.domains[n.domainKey()] = d
		}
		d.total, d.free = d.total.Add(n.Capacity), d.free.Add(n.Capacity.Sub(n.Used))
	}
	return r
}

func (n *Node) domainKey() domainKey { return domainKey{n.Region, n.Domain} }

// Withheld reports whether the task would leave less than the reserve of a
// worker's failure domain. A need that could never leave it free is exempt.
func (r *Reserve) Withheld(i int, need resources.Resources) bool {
	d := r.domains[r.nodes[i].domainKey()]
	if d == nil {
		return false
	}
	reserve := resources.Resources{
		MilliCPU: d.total.MilliCPU * reservePct / 100, MemoryMB: d.total.MemoryMB * reservePct / 100,
	}
	if !need.Add(reserve).Fits(d.total) {
		return false
	}
	left := d.free.Sub(need)
	return left.MilliCPU < reserve.MilliCPU || left.MemoryMB < reserve.MemoryMB
}

// Take notes that a task was placed on a worker.
func (r *Reserve) Take(i int, need resources.Resources) {
	if d := r.domains[r.nodes[i].domainKey()]; d != nil {
		d.free = d.free.Sub(need)
	}
}
