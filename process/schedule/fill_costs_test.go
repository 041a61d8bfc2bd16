package schedule

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/request/job"
)

// Guards against a cached load of a worker that is outdated after a change of its runs, its
// measurements or its capacity.
func TestCachedFillLoadsFollowChanges(t *testing.T) {
	b, random := newTestbench(t, 1), rand.New(rand.NewPCG(1, 1))
	names, running := agentNames(4), map[job.RunKey]string{}
	for _, name := range names {
		b.join(name)
	}
	serving := definition("serving", checkProfile, 8)
	serving.Steps[0].LongRunning, serving.Steps[0].TargetMs, serving.Steps[0].Image = true, 50, "s"
	b.accept(serving)
	for n := range 400 {
		b.clock.Advance(time.Duration(random.IntN(120)) * time.Millisecond)
		name := names[random.IntN(len(names))]
		r := message.Report{}
		switch random.IntN(4) {
		case 0:
			b.accept(fillingJob(fmt.Sprint("f", n), 1000+int64(random.IntN(9000))))
		case 1:
			w := workerInfo(name)
			w.Capacity.MilliCPU = int64(40_000 + 8_000*random.IntN(4))
			r.Worker = w
		default:
			for k, agent := range running {
				if agent != name {
					continue
				}
				if k.Task.Job != "serving" && random.IntN(2) == 0 {
					r.Ends = append(r.Ends, runEnd(k, job.EndDone, b.sequences[name]+uint64(len(r.Ends))))
					delete(running, k)
					continue
				}
				r.Running = append(r.Running, message.RunState{Key: k, ProgressPct: fullPacePct, PacePct: fullPacePct, TailMs: 20 + random.IntN(60), MilliCPU: 500})
			}
		}
		b.report(name, r)
		for k, agent := range b.starts() {
			running[k] = agent
		}
		for _, a := range b.table.sortedAgents {
			cached := b.table.loadOf(b.now(), a)
			fresh := b.table.newFillLoad(cached.at, a)
			require.Equal(t, fresh.idleMilliCPU, cached.idleMilliCPU)
			require.Equal(t, fresh.closed, cached.closed)
			require.Len(t, cached.serving, len(fresh.serving))
			require.Less(t, b.clock.Since(cached.at), maxFillLoadAge)
		}
	}
	require.Greater(t, len(running), 8, "filling tasks were placed")
}
