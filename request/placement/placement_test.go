package placement

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/request/resources"
)

func resourcesUpTo(most resources.Resources) *rapid.Generator[resources.Resources] {
	return rapid.Custom(func(t *rapid.T) resources.Resources {
		return resources.Resources{
			MilliCPU:     rapid.Int64Range(0, most.MilliCPU).Draw(t, "milli_cpu"),
			MemoryMB:     rapid.Int64Range(0, most.MemoryMB).Draw(t, "memory_mb"),
			Accelerators: rapid.Int64Range(0, most.Accelerators).Draw(t, "accelerators"),
		}
	})
}

func drawNode(t *rapid.T) *Node {
	capacity := rapid.SampledFrom([]resources.Resources{
		{MilliCPU: 64_000, MemoryMB: 250_000},
		{MilliCPU: 64_000, MemoryMB: 250_000, Accelerators: 4},
		{MilliCPU: 16_000, MemoryMB: 500_000, Accelerators: 1},
	}).Draw(t, "capacity")
	return &Node{
		Service:  rapid.SampledFrom([]string{"", "lab"}).Draw(t, "service"),
		Labels:   rapid.SampledFrom([][]string{nil, {"a"}, {"a", "b"}}).Draw(t, "labels"),
		Rack:     rapid.SampledFrom([]string{"r1", "r2"}).Draw(t, "rack"),
		Region:   rapid.SampledFrom([]string{"tunis-north", "sfax-south"}).Draw(t, "region"),
		Domain:   rapid.SampledFrom([]string{"a", "b"}).Draw(t, "domain"),
		Open:     rapid.IntRange(0, 9).Draw(t, "open") > 0,
		Capacity: capacity, Used: resourcesUpTo(capacity.Add(resources.Resources{MilliCPU: 2_000})).Draw(t, "used"),
		FailPct: rapid.IntRange(0, 100).Draw(t, "fail"), PressurePct: rapid.IntRange(0, 100).Draw(t, "pressure"),
	}
}

// isFeasible checks the mandatory conditions one by one, as documented.
func isFeasible(r *Request, nodes []*Node, i int, onNode map[int]int) bool {
	n := nodes[i]
	var total, free resources.Resources
	for _, o := range nodes {
		if o.Open && o.Region == n.Region && o.Domain == n.Domain {
			total, free = total.Add(o.Capacity), free.Add(o.Capacity.Sub(o.Used))
		}
	}
	reserve := resources.Resources{MilliCPU: total.MilliCPU / 20, MemoryMB: total.MemoryMB / 20}
	if r.Reserved != nil && r.Charge.Add(reserve).Fits(total) {
		if r.Charge.MilliCPU+reserve.MilliCPU > free.MilliCPU || r.Charge.MemoryMB+reserve.MemoryMB > free.MemoryMB {
			return false
		}
	}
	switch {
	case !n.Open, n.Service != r.Service, r.OnlyRack != "" && r.OnlyRack != n.Rack:
		return false
	case r.Label != "" && !slices.Contains(n.Labels, r.Label), r.Spread > 0 && onNode[i] >= r.Spread:
		return false
	}
	return n.Used.Add(r.Charge).Fits(n.Capacity)
}

// Guards against a task on a worker that may not run it or that has only the reserve for
// urgent work left, against choosing a worse score, and against leaving the region while
// a worker in it fits and is not avoided more than the chosen one.
func TestPickEqualsFullScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var nodes []*Node
		for range rapid.IntRange(1, 12).Draw(t, "nodes") {
			nodes = append(nodes, drawNode(t))
		}
		reserve := NewReserve(nodes)
		r := &Request{
			Service: rapid.SampledFrom([]string{"", "lab"}).Draw(t, "wanted service"),
			Label:   rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "label"),
			Rack:    rapid.SampledFrom([]string{"", "r1"}).Draw(t, "data"),
			Region:  rapid.SampledFrom([]string{"", "tunis-north"}).Draw(t, "from"),
			Charge:  resourcesUpTo(resources.Resources{MilliCPU: 66_000, MemoryMB: 300_000, Accelerators: 4}).Draw(t, "need"),
			Spread:  rapid.IntRange(0, 2).Draw(t, "spread"), OnlyRack: rapid.SampledFrom([]string{"", "r2"}).Draw(t, "only"),
		}
		r.MilliCPU = r.Charge.MilliCPU
		if rapid.Bool().Draw(t, "ordinary") {
			r.Reserved = func(i int) bool { return reserve.Blocks(i, r.Charge) }
		}
		onNode, avoided := map[int]int{}, map[int]bool{}
		for i := range nodes {
			onNode[i] = rapid.IntRange(0, 2).Draw(t, "on node")
			avoided[i] = rapid.IntRange(0, 4).Draw(t, "avoid") == 0
		}
		at := Pick(r, nodes, func(i int) int { return onNode[i] }, func(i int) bool { return avoided[i] })
		best := -1
		score := func(i int) float64 {
			s := r.Score(nodes[i], 0)
			if avoided[i] {
				s += avoidPoints
			}
			return s
		}
		for i := range nodes {
			if isFeasible(r, nodes, i, onNode) && (best < 0 || score(i) < score(best)) {
				best = i
			}
		}
		require.Equal(t, best, at)
		if at < 0 || r.Region == "" || nodes[at].Region == r.Region {
			return
		}
		for i, n := range nodes {
			near := n.Region == r.Region && (!avoided[i] || avoided[at])
			require.False(t, near && isFeasible(r, nodes, i, onNode), "worker %d of the caller's region has free capacity", i)
		}
	})
}

// Guards against a ranking that chooses another worker than Pick after the placements of equal tasks.
func TestRankingEqualsPick(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var nodes []*Node
		for range rapid.IntRange(1, 12).Draw(t, "nodes") {
			nodes = append(nodes, drawNode(t))
		}
		costs := make([]float64, len(nodes))
		for i := range costs {
			costs[i] = rapid.Float64Range(0, 0.1).Draw(t, "cost")
		}
		r := &Request{
			Service: rapid.SampledFrom([]string{"", "lab"}).Draw(t, "wanted service"),
			Label:   rapid.SampledFrom([]string{"", "a"}).Draw(t, "label"),
			Rack:    rapid.SampledFrom([]string{"", "r1"}).Draw(t, "data"),
			Charge:  resourcesUpTo(resources.Resources{MilliCPU: 20_000, MemoryMB: 100_000}).Draw(t, "need"),
			Spread:  rapid.IntRange(0, 3).Draw(t, "spread"), Serves: rapid.Bool().Draw(t, "serves"),
		}
		r.MilliCPU = r.Charge.MilliCPU
		if rapid.Bool().Draw(t, "fills") {
			r.Fills, r.Serves, r.MaxInterferenceCost = true, false, 0.08
			r.FillHeadroom = func(i int) int64 { return nodes[i].IdleMilliCPU() - nodes[i].FillMilliCPU }
			r.InterferenceCost = func(i int) float64 { return costs[i] + float64(nodes[i].FillMilliCPU)/1e6 }
		}
		onNode := map[int]int{}
		count := func(i int) int { return onNode[i] }
		k := NewRanking(r, nodes, count)
		for range 20 {
			at := Pick(r, nodes, count, func(int) bool { return false })
			require.Equal(t, at, k.Best())
			if at < 0 {
				return
			}
			onNode[at]++
			nodes[at].Used = nodes[at].Used.Add(r.Charge)
			if r.Fills {
				nodes[at].FillMilliCPU += r.MilliCPU
			}
			k.Update(at)
		}
	})
}

// Guards against placements within one pass that use the reserve together.
func TestReserveFollowsPlacements(t *testing.T) {
	nodes := []*Node{
		{Open: true, Capacity: resources.Resources{MilliCPU: 10_000, MemoryMB: 10_000}},
		{Open: true, Capacity: resources.Resources{MilliCPU: 10_000, MemoryMB: 10_000}},
	}
	need := resources.Resources{MilliCPU: 1_000, MemoryMB: 100}
	r := NewReserve(nodes)
	placed := 0
	for !r.Blocks(0, need) {
		r.Deduct(placed%2, need)
		placed++
	}
	require.Equal(t, 19, placed, "a twentieth of 20 processors must stay free")
}

// Guards against a job that fails for good while a worker on which it fits is only
// temporarily unavailable, and against a job that fits nowhere and waits forever.
func TestNeverFitsRemembersWorkers(t *testing.T) {
	c := Capacities{}
	_, never := c.NeverFits(resources.Resources{Accelerators: 1})
	require.False(t, never, "no worker has been seen")
	for i := range 100 {
		c.Add(resources.Resources{MilliCPU: int64(1000 + i), MemoryMB: 1000})
	}
	c.Add(resources.Resources{MilliCPU: 500, MemoryMB: 1000, Accelerators: 2})
	require.Len(t, c, 2, "capacities that fit into another one are not kept")
	_, never = c.NeverFits(resources.Resources{MilliCPU: 1099, MemoryMB: 1000})
	require.False(t, never)
	reason, never := c.NeverFits(resources.Resources{MilliCPU: 600, Accelerators: 1})
	require.True(t, never)
	require.Contains(t, reason, "combination")
	reason, never = c.NeverFits(resources.Resources{MemoryMB: 1001})
	require.True(t, never)
	require.Contains(t, reason, "memory_mb 1001")
}

// Guards against more victims than needed, against victims that do not free enough
// capacity, and against a worker with enough free capacity being passed over.
func TestPreemptTakesFewestVictims(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := resources.Resources{MilliCPU: 8_000, MemoryMB: 32_000, Accelerators: 1}
		// Tasks that are large in only one resource make the lower bounds of the number
		// of victims inexact.
		sizes := rapid.OneOf(resourcesUpTo(size), resourcesUpTo(resources.Resources{MilliCPU: 16_000}), resourcesUpTo(resources.Resources{MemoryMB: 64_000}))
		need := resourcesUpTo(resources.Resources{MilliCPU: 16_000, MemoryMB: 64_000, Accelerators: 2}).Draw(t, "need")
		fewest := maxVictims + 1
		var workers []PreemptibleWorker
		for i := range rapid.IntRange(1, 6).Draw(t, "workers") {
			w := PreemptibleWorker{Free: resourcesUpTo(size).Draw(t, "free"), Remote: rapid.Bool().Draw(t, "remote")}
			for k := range rapid.IntRange(0, 5).Draw(t, "tasks") {
				w.Tasks = append(w.Tasks, Task{
					Key:       job.RunKey{Task: job.TaskID{Job: fmt.Sprintf("w%d-%d", i, k)}, Run: 1},
					Resources: sizes.Draw(t, "size"), CheckpointMs: rapid.Int64Range(0, 1000).Draw(t, "checkpoint"),
				})
			}
			workers = append(workers, w)
			fewest = min(fewest, fewestVictims(need.Sub(w.Free), w.Tasks))
		}
		index, chosen := Preempt(need, workers, 1_000)
		require.Equal(t, fewest <= maxVictims, index >= 0)
		if index < 0 {
			return
		}
		free := workers[index].Free
		for _, task := range chosen {
			require.Contains(t, workers[index].Tasks, task)
			free = free.Add(task.Resources)
		}
		require.True(t, need.Fits(free))
		require.GreaterOrEqual(t, len(chosen), fewest)
		if fewest <= 2 {
			require.Len(t, chosen, fewest)
		}
	})
}

// fewestVictims returns the size of the smallest set of tasks that frees missing, or a
// larger number than maxVictims if there is none.
func fewestVictims(missing resources.Resources, tasks []Task) int {
	if missing.Fits(resources.Resources{}) {
		return 0
	}
	fewest := maxVictims + 1
	for i, t := range tasks {
		fewest = min(fewest, 1+fewestVictims(missing.Sub(t.Resources), tasks[i+1:]))
	}
	return fewest
}
