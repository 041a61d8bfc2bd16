package interference

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/request/resources"
)

// Guards against a pause too late to bring a serving task below its target within the
// bound, and against filling tasks that start on a worker right before its pause.
func TestGuardActsBeforeItsBound(t *testing.T) {
	for _, bound := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 4500 * time.Millisecond, 30 * time.Second} {
		g := Guard{MaxOver: bound}
		pauses, closes := time.Duration(-1), time.Duration(-1)
		for over := time.Duration(0); over <= bound; over += 50 * time.Millisecond {
			if closes < 0 && g.Closes(over) {
				closes = over
			}
			if pauses < 0 && g.Pauses(over) {
				pauses = over
			}
		}
		require.Positive(t, closes, "a single measurement closes nothing")
		require.LessOrEqual(t, closes, pauses)
		require.LessOrEqual(t, pauses, max(bound-pauseLead, minOver))
	}
}

// Guards against a lift of a filling task that Guard has paused, which lets it disturb the
// serving task beyond the bound, and against a throttle that Guard does not know of.
func TestDecideLeavesThePaceOfGuardedTasks(t *testing.T) {
	for _, guarded := range []bool{false, true} {
		l := newClosedLoop([]Task{
			{ID: "paused", ThrottlePct: 0, Guarded: guarded},
			{ID: "working", ThrottlePct: 100, Guarded: guarded, Use: resources.Resources{MilliCPU: 4000}},
		})
		for range 60 {
			l.runSecond()
		}
		require.Equal(t, guarded, len(l.actions) == 0, "lifts of paused tasks: %v", l.actions)
	}
	use := resources.Resources{MilliCPU: 4000, MemoryMB: 25_000}
	l := newClosedLoop([]Task{{ID: "growing", ThrottlePct: 100, Guarded: true, Use: use, EvictionsLeft: 1}})
	l.slowdown[""], l.growth["growing"] = 3, 400
	for range 200 {
		l.runSecond()
		require.Less(t, l.in.MemoryUsedMB, l.in.MemoryCapacityMB)
	}
	for _, a := range l.actions {
		require.Equal(t, Move, a.Kind)
		require.Equal(t, job.CauseMemory, a.Cause)
	}
	require.NotEmpty(t, l.actions, "a guarded task still leaves before memory runs out")
}
