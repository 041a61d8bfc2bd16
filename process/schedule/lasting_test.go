package schedule

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/request/job"
)

// Guards against a task that lasts and never runs again because small tasks,
// which come and go, take the room of every worker as soon as it is free.
func TestTasksThatLastGetRoom(t *testing.T) {
	b := newBench(t, 1)
	b.join("a")
	b.join("b")
	small := func(id string) *job.Definition {
		def := definition(id, checks, 1)
		def.Steps[0].Need.MilliCPU = 16_000
		return def
	}
	running := map[job.RunKey]string{}
	for i := range 8 {
		b.accept(small(fmt.Sprintf("old-%d", i)))
	}
	for k, agent := range b.starts() {
		running[k] = agent
	}
	require.Len(t, running, 8)
	lasting := definition("lasting", checks, 1)
	lasting.Steps[0].Lasts, lasting.Steps[0].Need.MilliCPU = true, 32_000
	b.accept(lasting)
	serial := map[string]uint64{}
	for i := range 8 {
		// One of the small tasks ends, on each worker in turn, and another comes.
		b.accept(small(fmt.Sprintf("new-%d", i)))
		for k, agent := range running {
			if agent != []string{"a", "b"}[i%2] {
				continue
			}
			serial[agent]++
			b.report(agent, message.Report{Ends: []message.RunEnd{ended(k, job.EndDone, serial[agent])}})
			delete(running, k)
			break
		}
		for k, agent := range b.starts() {
			if k.Task.Job == "lasting" {
				return
			}
			running[k] = agent
		}
	}
	t.Fatal("the task that lasts has not started")
}
