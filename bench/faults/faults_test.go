package faults

import (
	"context"
	"encoding/json"
	"flag"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// defaultSchedules from the first seed on give every property cases to check.
const defaultSchedules = 4

var (
	firstSeed = flag.Uint64("seed", 13, "first seed of the schedules")
	schedules = flag.Int("schedules", defaultSchedules, "number of schedules")
	bound     = flag.Duration("for", 0, "time after which no schedule is begun")
	parallel  = flag.Int("parallel-clusters", 2, "deployments at a time")
	traceDir  = flag.String("trace-dir", "", "folder for the logs of schedules with a violation")
)

// testWriter writes progress to the log of a test.
type testWriter struct{ t *testing.T }

func (w testWriter) Write(p []byte) (int, error) {
	w.t.Logf("%s", p)
	return len(p), nil
}

// Guards the invariants of the design under faults, alone and in pairs. Other
// seeds are chosen with -seed and -schedules.
func TestSchedules(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
	defer cancel()
	result, err := Run(ctx, Options{
		Seed: *firstSeed, Schedules: *schedules, For: *bound, Parallel: *parallel, Progress: testWriter{t}, TraceDir: *traceDir,
	})
	encoded, _ := json.Marshal(result)
	t.Logf("%s", encoded)
	require.NoError(t, err)
	require.Empty(t, result.Violations)
	require.True(t, result.Passed(), "a due property had nothing to check")
	for _, p := range result.Properties {
		require.True(t, p.Due || *schedules != defaultSchedules, "the seeds of this test give %s no cases", p.Name)
	}
}
