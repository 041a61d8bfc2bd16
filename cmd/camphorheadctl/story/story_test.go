package story

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func event(second float64, process, name, fields string) string {
	return fmt.Sprintf(`  12.1 %s {"time":"2026-12-04T12:00:%06.3fZ","level":"INFO","msg":"m","process":%q,"event":1,"name":%q%s}`+"\n",
		process, second, process, name, fields)
}

// Guards against a story that leaves a cause out, shows lines of other jobs, or
// puts effects first because the clocks of processes differ.
func TestStoryOfAJob(t *testing.T) {
	log := event(1, "entry-1", "job_accepted", `,"job":"j1"`) +
		event(1.1, "entry-1", "run_placed", `,"task":"j1.0.0.0","run":1,"agent":"agent-1"`) +
		event(1.1, "entry-1", "run_placed", `,"task":"j2.0.0.0","run":1,"agent":"agent-2"`) +
		event(1.9, "entry-1", "run_ended", `,"task":"j1.0.0.0","run":1,"agent":"agent-1","state":"done"`) +
		event(9, "entry-1", "store_unavailable", ``) +
		"not an event\n{broken\n" +
		// The agent's clock is 6 s ahead.
		event(7.5, "agent-1", "worker_silent", `,"worker":"w"`) +
		event(7.8, "agent-1", "task_run_ended", `,"task":"j1.0.0.0","run":1,"state":"done"`) +
		event(1.5, "agent-2", "worker_silent", `,"worker":"x"`)
	lines, unreadable, err := Read(strings.NewReader(log))
	require.NoError(t, err)
	require.Equal(t, 1, unreadable)
	var names []string
	for _, l := range Of(lines, "j1") {
		names = append(names, l.Process+" "+l.Name)
	}
	require.Equal(t, []string{
		"entry-1 job_accepted", "entry-1 run_placed", "agent-1 worker_silent", "agent-1 task_run_ended", "entry-1 run_ended",
	}, names)
	require.Empty(t, Of(lines, "j"))
}
