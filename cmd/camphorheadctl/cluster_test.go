package main

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorhead.example/bench/caller"
	"camphorhead.example/bench/cluster"
	"camphorhead.example/bench/verify"
	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/process/timeline"
	"camphorhead.example/camphorheadctl/admin"
	"camphorhead.example/standin/target"
	"camphorhead.example/standin/worker"
)

// Stated targets.
const (
	inForceTarget = 13 * time.Second
	leaveTarget   = 3 * time.Second
)

// site is a running deployment and the options that name its entries.
type site struct {
	*cluster.Cluster
	options []string
}

// startSite runs a deployment with the default leases, so that the stated
// targets hold as they are.
func startSite(t *testing.T) *site {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	log, err := event.New(io.Discard, "human", "error")
	require.NoError(t, err)
	c, err := cluster.Start(ctx, cluster.Config{
		Topology: cluster.Laque(), Seed: 5, Log: log, Behaviour: worker.AsDeclared(time.Hour),
		ServiceTime: func(target.Request, *rand.Rand) time.Duration { return 20 * time.Millisecond },
	})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, c.Close()) })
	require.NoError(t, c.AwaitReady(ctx))
	s := &site{Cluster: c}
	for _, e := range c.Entries {
		s.options = append(s.options, "--entry", e.ClientURL)
	}
	return s
}

// ctl runs a command that must succeed and returns its output.
func (s *site) ctl(t *testing.T, args ...string) string {
	t.Helper()
	code, out, errOut := execute(t, "", append(s.options[:len(s.options):len(s.options)], args...)...)
	require.Equal(t, exitOK, code, "%q: %s%s", args, out, errOut)
	return out
}

func parse[T any](t *testing.T, text string) T {
	t.Helper()
	var value T
	require.NoError(t, json.Unmarshal([]byte(text), &value), text)
	return value
}

func writeProfile(t *testing.T, content string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "profile.toml")
	require.NoError(t, os.WriteFile(file, []byte(content), 0o600))
	return file
}

func checkFile(t *testing.T, deadline string) string {
	return writeProfile(t, "name = \"fast-check\"\nkind = \"check\"\nservice = \"shade-lab\"\ndeadline_ms = "+deadline+"\n")
}

const examples = "../../examples/profiles/laque"

// Guards operators' changes of profiles: a change that is reported before it
// is in force, a dry run or repetition that changes something, and two
// conflicting changes of which none or both are accepted.
func TestProfilesAreChangedOnce(t *testing.T) {
	s := startSite(t)
	s.ctl(t, "profile", "apply", examples, "--dry-run")
	require.Equal(t, "[]\n", s.ctl(t, "--json", "profile", "list"))

	created := parse[applyResult](t, s.ctl(t, "--json", "profile", "apply", examples, "--wait", "--wait-limit", inForceTarget.String()))
	require.Len(t, created.Profiles, 3)
	s.requireInForce(t, created)

	file := checkFile(t, "1500")
	require.Contains(t, s.ctl(t, "profile", "diff", file), "deadline_ms: 2000 -> 1500")
	changed := parse[applyResult](t, s.ctl(t, "--json", "profile", "apply", file, "--wait", "--wait-limit", inForceTarget.String()))
	s.requireInForce(t, changed)
	require.Contains(t, s.ctl(t, "profile", "apply", file), "unchanged")
	require.Equal(t, changed.Version, parse[admin.Status](t, s.ctl(t, "--json", "status")).ConfigVersion)

	s.conflict(t, changed.Profiles[0].Version)

	history := s.ctl(t, "profile", "history", "fast-check")
	require.Contains(t, history, "deadline_ms: 2000 -> 1500")
	require.Equal(t, 4, strings.Count(history, "\n"), "head, creation and two changes: %s", history)
}

// requireInForce reads the processes themselves.
func (s *site) requireInForce(t *testing.T, r applyResult) {
	t.Helper()
	require.NotNil(t, r.InForceMs)
	require.Equal(t, len(s.Entries)+len(s.Nodes), r.Processes)
	require.Less(t, *r.InForceMs, inForceTarget.Milliseconds())
	t.Logf("version %d: reported in force after %d ms", r.Version, *r.InForceMs)
	for _, e := range s.Entries {
		require.GreaterOrEqual(t, e.Entry.ConfigVersion(), r.Version)
	}
	for _, n := range s.Nodes {
		require.GreaterOrEqual(t, n.Agent.ConfigVersion(), r.Version)
	}
}

// conflict lets two operators change the same version at once, at different entries.
func (s *site) conflict(t *testing.T, version uint64) {
	t.Helper()
	codes, said := make([]int, 2), make([]string, 2)
	based := strconv.FormatUint(version, 10)
	var wg sync.WaitGroup
	for i, deadline := range []string{"1600", "1700"} {
		file := checkFile(t, deadline)
		wg.Go(func() {
			var errOut string
			codes[i], _, errOut = execute(t, "", "--entry", s.Entries[i].ClientURL, "profile", "apply", file, "--version", based)
			said[i] = errOut
		})
	}
	wg.Wait()
	require.ElementsMatch(t, []int{exitOK, exitFailure}, codes, "%q", said)
	require.Regexp(t, `profile fast-check is at version \d+, you gave `+based+`: see the difference with "camphorheadctl profile diff `, strings.Join(said, ""))
}

// Guards a planned stop under load against requests that are cut, work that
// arrives after the target of 3 s, and tasks that are lost or run twice.
func TestPlannedStopMovesTasksAndCutsNothing(t *testing.T) {
	s := startSite(t)
	s.ctl(t, "profile", "apply", examples, "--wait")
	id, node := s.watch(t)
	load := s.load(t)
	load.await(t, node)

	dry := s.ctl(t, "stop", "plan", "--scope", "worker", "--name", node.ID(), "--grace", "30s", "--dry-run")
	require.Contains(t, dry, "dry run")
	require.Equal(t, "[]\n", s.ctl(t, "--json", "stop", "list"))

	planned := parse[admin.Change](t, s.ctl(t, "--json", "stop", "plan", "--scope", "worker", "--name", node.ID(), "--grace", "30s"))
	leaves := time.Now().Add(leaveTarget)
	progress := s.ctl(t, "stop", "wait", planned.Delta.Stop.ID)
	t.Log(progress)
	require.Contains(t, progress, "complete")
	load.awaitElsewhere(t, s, node, leaves)
	load.stop()
	require.Zero(t, load.failed.Load(), "requests failed: %v", load.failure.Load())
	require.Empty(t, startedAfter(node, leaves))
	s.requireMoved(t, id, node)

	s.ctl(t, "stop", "cancel", planned.Delta.Stop.ID)
	code, _, errOut := execute(t, "", append(s.options, "stop", "wait", planned.Delta.Stop.ID)...)
	require.Equal(t, exitFailure, code)
	require.Contains(t, errOut, "no planned stop")
}

// watch starts a watch and returns its id and the node that runs it.
func (s *site) watch(t *testing.T) (string, *cluster.Node) {
	t.Helper()
	accepted := parse[caller.Job](t, s.ctl(t, "--json", "request", "--profile", "long-watch", "--franchisee", "f1", "--key", "k1", "balance"))
	var node *cluster.Node
	require.Eventually(t, func() bool {
		node = s.running(accepted.ID)
		return node != nil
	}, 20*time.Second, 10*time.Millisecond)
	return accepted.ID, node
}

// running returns the node that runs a job.
func (s *site) running(id string) *cluster.Node {
	for _, n := range s.Nodes {
		for _, r := range n.Worker.Records() {
			if r.ID == id && r.Outcome == worker.OutcomeRunning {
				return n
			}
		}
	}
	return nil
}

func (s *site) requireMoved(t *testing.T, id string, from *cluster.Node) {
	t.Helper()
	require.Eventually(t, func() bool {
		now := s.running(id)
		return now != nil && now != from
	}, 20*time.Second, 10*time.Millisecond)
	job := parse[caller.Job](t, s.ctl(t, "--json", "job", "show", id, "--franchisee", "f1"))
	require.Equal(t, uint32(2), job.Incarnation)
	runs := verify.Workers(s.Cluster).Runs
	require.Len(t, runs, 2)
	first, second := runs[0], runs[1]
	if first.Incarnation > second.Incarnation {
		first, second = second, first
	}
	require.False(t, second.Start.Before(first.End), "the watch ran in two places at once")
}

// numberOf returns the number of the run that an event is about.
func numberOf(r timeline.Record) string {
	if run := r.Value("run"); run != "" {
		return run
	}
	return r.Value("incarnation")
}

// Guards against a time line that lacks events of a moved task or shows an
// effect before its cause, and a page without them.
func TestTimelineOfAMovedTaskShowsCausesFirst(t *testing.T) {
	s := startSite(t)
	s.ctl(t, "profile", "apply", examples)
	id, node := s.watch(t)
	planned := parse[admin.Change](t, s.ctl(t, "--json", "stop", "plan", "--scope", "worker", "--name", node.ID(), "--grace", "30s"))
	s.ctl(t, "stop", "wait", planned.Delta.Stop.ID)
	s.requireMoved(t, id, node)

	page := filepath.Join(t.TempDir(), "job.html")
	events := parse[admin.Timeline](t, s.ctl(t, "--json", "timeline", "--job", id, "--html", page))
	require.Empty(t, events.Missing)
	at := -1
	for _, step := range []struct{ name, run string }{
		{"job_accepted", ""},
		{"run_placed", "1"},
		{"task_started", "1"},
		{"run_ended", "1"},
		{"job_evicted", "1"},
		{"run_placed", "2"},
		{"task_started", "2"},
	} {
		next := at + 1
		for next < len(events.Records) && (events.Records[next].Name != step.name || numberOf(events.Records[next]) != step.run) {
			next++
		}
		require.Less(t, next, len(events.Records), "no %s of run %q after event %d of %+v", step.name, step.run, at, events.Records)
		at = next
	}
	content, err := os.ReadFile(page)
	require.NoError(t, err)
	require.Equal(t, len(events.Records), strings.Count(string(content), "<circle"))
}
