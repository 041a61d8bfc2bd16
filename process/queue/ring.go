package queue

// drrState is the deficit round robin state of one member of a ring.
type drrState struct {
	weight  int64
	deficit int64 // service time credited and not yet used, in microseconds
}

func (s *drrState) state() *drrState { return s }

// member is a flow or a team; it has at least one item.
type member interface {
	comparable
	state() *drrState
	// headCost is the cost of the member's next item, in microseconds.
	headCost() int64
}

// ring serves members by deficit round robin, the first one now. Queue.mu guards it.
type ring[M member] struct {
	quantum  int64 // service time per unit of weight and round, in microseconds
	members  []M
	credited bool // the first member has been credited for this turn
}

// current advances the ring to the next member whose deficit covers its next item. It
// returns the same member until the state of that or the ring changes.
func (r *ring[M]) current() M {
	for {
		for range r.members {
			m := r.members[0]
			s := m.state()
			if !r.credited {
				s.deficit += s.weight * r.quantum
				r.credited = true
			}
			if s.deficit >= m.headCost() {
				return m
			}
			r.rotate()
		}
		r.creditIdleRounds()
	}
}

func (r *ring[M]) rotate() {
	first := r.members[0]
	r.members = append(r.members[1:], first)
	r.credited = false
}

// creditIdleRounds credits in one step all rounds in which no deficit would cover an item,
// so that the work of current does not grow with the cost of an item.
func (r *ring[M]) creditIdleRounds() {
	rounds := int64(-1)
	for _, m := range r.members {
		s := m.state()
		gain := s.weight * r.quantum
		need := (m.headCost() - s.deficit + gain - 1) / gain
		if rounds < 0 || need < rounds {
			rounds = need
		}
	}
	if rounds <= 1 {
		return
	}
	for _, m := range r.members {
		s := m.state()
		s.deficit += (rounds - 1) * s.weight * r.quantum
	}
}

// add appends a member, which is served last in this round.
func (r *ring[M]) add(m M) { r.members = append(r.members, m) }

// remove removes a member and its deficit. If it was its turn, the next turn starts.
func (r *ring[M]) remove(m M) {
	for i := range r.members {
		if r.members[i] != m {
			continue
		}
		if i == 0 {
			r.credited = false
		}
		r.members = append(r.members[:i:i], r.members[i+1:]...)
		return
	}
}
