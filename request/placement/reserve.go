package placement

import "camphorhead.example/camphorhead/request/resources"

// reservePct is the percentage of each failure domain's processors and memory that is
// reserved for urgent work.
const reservePct = 5

// Reserve tracks the free capacity of each failure domain during one scheduling pass,
// and reports where a task would use capacity reserved for urgent work. It is not safe
// for concurrent use: the lock of its owner guards it.
type Reserve struct {
	nodes   []*Node
	domains map[domainKey]*domainCapacity
}

type domainKey struct{ region, domain string }

type domainCapacity struct{ total, free resources.Resources }

// NewReserve returns the Reserve of the given workers, in which only open ones count.
func NewReserve(nodes []*Node) *Reserve {
	r := &Reserve{nodes: nodes, domains: map[domainKey]*domainCapacity{}}
	for _, n := range nodes {
		if !n.Open {
			continue
		}
		d := r.domains[n.domainKey()]
		if d == nil {
			d = &domainCapacity{}
			r.domains[n.domainKey()] = d
		}
		d.total, d.free = d.total.Add(n.Capacity), d.free.Add(n.Capacity.Sub(n.Used))
	}
	return r
}

func (n *Node) domainKey() domainKey { return domainKey{n.Region, n.Domain} }

// Blocks reports whether a task on worker i would leave less than the reserve free in
// its failure domain. A need that could never leave the reserve free is exempt.
func (r *Reserve) Blocks(i int, need resources.Resources) bool {
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

// Deduct subtracts a task placed on worker i from its failure domain's free capacity.
func (r *Reserve) Deduct(i int, need resources.Resources) {
	if d := r.domains[r.nodes[i].domainKey()]; d != nil {
		d.free = d.free.Sub(need)
	}
}
