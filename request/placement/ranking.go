package placement

import "math"

// Ranking holds the scores of all workers for equal tasks, which are placed one after the other: a
// placement changes the score of one worker only, so the other ones are rated once. It is for
// requests without Reserved and Excluded, whose answers change for many workers or between tasks.
type Ranking struct {
	request       *Request
	nodes         []*Node
	onNode        func(i int) int
	onlyRack      string
	oversubscribe bool
	scores        []float64 // +Inf: the task may not run there
}

// NewRanking rates all workers. The arguments are those of Pick.
func NewRanking(r *Request, nodes []*Node, onNode func(i int) int) *Ranking {
	k := &Ranking{
		request: r, nodes: nodes, onNode: onNode, onlyRack: r.OnlyRack, oversubscribe: r.Oversubscribe,
		scores: make([]float64, len(nodes)),
	}
	for i := range nodes {
		k.Update(i)
	}
	return k
}

// Matches reports whether the ranking is that of a request in its present state.
func (k *Ranking) Matches(r *Request) bool {
	return k.request == r && k.onlyRack == r.OnlyRack && k.oversubscribe == r.Oversubscribe
}

// Update rates a worker again, after a change of what runs there.
func (k *Ranking) Update(i int) {
	score, ok := k.request.rate(k.nodes[i], i, k.onNode)
	if !ok {
		score = math.Inf(1)
	}
	k.scores[i] = score
}

// Best returns the worker that Pick would choose for a task that avoids none, or -1.
func (k *Ranking) Best() int {
	best, least := -1, math.Inf(1)
	for i, score := range k.scores {
		if score < least {
			best, least = i, score
		}
	}
	return best
}
