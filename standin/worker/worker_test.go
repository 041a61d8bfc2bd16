package worker_test

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/request/resources"
	"camphorhead.example/standin/worker"
)

const testTimeout = 10 * time.Second

var (
	capacity = resources.Resources{MilliCPU: 4000, MemoryMB: 1000}
	small    = resources.Resources{MilliCPU: 1000, MemoryMB: 300}
)

func open(t *testing.T, config worker.Config) (*worker.Worker, *platform.HTTPWorker, context.Context) {
	t.Helper()
	config.Capacity = capacity
	w, err := worker.New(config)
	require.NoError(t, err)
	t.Cleanup(w.Close)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return w, platform.NewHTTPWorker("http://" + w.Address()), ctx
}

func run(id string, number uint32) job.RunKey {
	return job.RunKey{Task: job.TaskID{Job: id}, Run: number}
}

// start returns a request whose lease lasts for the given time of the worker's clock.
func start(w *worker.Worker, id string, number uint32, lease time.Duration) platform.RunRequest {
	return platform.RunRequest{
		RunKey: run(id, number), Token: 1, Profile: "batch", Need: small, LeaseUntilMs: w.ClockMs() + lease.Milliseconds(),
	}
}

func list(t *testing.T, ctx context.Context, client platform.Worker) platform.Listing {
	t.Helper()
	l, err := client.Hold(ctx, platform.HoldRequest{Token: 1})
	require.NoError(t, err)
	return l
}

func requireRefused(t *testing.T, reason platform.Refusal, err error) {
	t.Helper()
	var refusal *platform.RefusalError
	require.ErrorAs(t, err, &refusal)
	require.Equal(t, reason, refusal.Reason)
}

// Guards against a delayed or repeated start that runs a task a second time.
func TestStaleStartIsRefused(t *testing.T) {
	w, client, ctx := open(t, worker.Config{Name: "w1", Behaviour: worker.AsDeclared(time.Hour)})
	call := func(r platform.RunRequest) error {
		_, err := client.Start(ctx, r)
		return err
	}
	requireRefused(t, platform.RefusedLeaseExpired, call(start(w, "job", 2, 0)))
	require.NoError(t, call(start(w, "job", 2, time.Hour)))
	require.NoError(t, call(start(w, "job", 2, time.Hour)), "repetition of a successful start")
	requireRefused(t, platform.RefusedOldRun, call(start(w, "job", 3, time.Hour)))
	require.NoError(t, client.Stop(ctx, run("job", 1), 1, "w1"))
	require.Len(t, list(t, ctx, client).Running, 1, "the stop of an earlier run ended a later run")
	require.NoError(t, client.Stop(ctx, run("job", 2), 1, "w1"))
	requireRefused(t, platform.RefusedOldRun, call(start(w, "job", 2, time.Hour)))
	require.NoError(t, client.Stop(ctx, run("job", 3), 1, "w1"))
	requireRefused(t, platform.RefusedOldRun, call(start(w, "job", 3, time.Hour)))
	require.NoError(t, call(start(w, "job", 4, time.Hour)))
	other := start(w, "other", 1, time.Hour)
	other.Instance = "w2"
	requireRefused(t, platform.RefusedInstance, call(other))
	other.Instance, other.Token = "w1", 5
	require.NoError(t, call(other))
	requireRefused(t, platform.RefusedFenced, call(start(w, "late", 1, time.Hour)))
	requireRefused(t, platform.RefusedFenced, client.Stop(ctx, run("other", 1), 4, ""))
	require.Len(t, w.Records(), 3)
}

// Guards against a task that runs after its lease or loses its progress, on a worker whose
// clock is ahead and twice as fast, and against an end that is dropped before it is
// recorded.
func TestLeaseExpiryStopsWithCheckpoint(t *testing.T) {
	clock := clockwork.NewFakeClock()
	w, client, ctx := open(t, worker.Config{
		Clock: clock, ClockOffset: time.Hour, ClockRate: 2, Behaviour: worker.AsDeclared(time.Minute),
	})
	startedAt := clock.Now()
	_, err := client.Start(ctx, start(w, "job", 1, 10*time.Second))
	require.NoError(t, err)
	_, err = client.Hold(ctx, platform.HoldRequest{Token: 1, LeaseUntilMs: w.ClockMs() + 20_000})
	require.NoError(t, err)

	listing := make(chan platform.Listing, 1)
	go func() {
		l, _ := client.Hold(ctx, platform.HoldRequest{Token: 1, Wait: time.Hour})
		listing <- l
	}()
	// Two timers: that of the lease and that of the waiting call.
	require.NoError(t, clock.BlockUntilContext(ctx, 2))
	require.Eventually(t, func() bool {
		clock.Advance(time.Second)
		return len(listing) == 1
	}, testTimeout, time.Millisecond)

	ended := (<-listing).Ended[0]
	require.Equal(t, job.EndLeaseExpired, ended.How)
	_, _, progress, err := worker.ParseCheckpoint(ended.Checkpoint)
	require.NoError(t, err)
	require.Equal(t, 10*time.Second, progress)
	record := w.Records()[0]
	require.Equal(t, worker.OutcomeLeaseExpired, record.Outcome)
	require.Equal(t, startedAt.Add(10*time.Second), record.End)
	require.Len(t, list(t, ctx, client).Ended, 1)
	l, err := client.Hold(ctx, platform.HoldRequest{Token: 1, Recorded: ended.Number})
	require.NoError(t, err)
	require.Empty(t, l.Ended)
}

// Guards against work that is repeated or skipped when a job resumes on another worker, and
// against a throttle without effect.
func TestResumeKeepsProgress(t *testing.T) {
	clock := clockwork.NewFakeClock()
	config := worker.Config{Clock: clock, Behaviour: worker.AsDeclared(time.Minute)}
	first, from, ctx := open(t, config)
	second, to, _ := open(t, config)
	_, err := from.Start(ctx, start(first, "a/job", 1, time.Hour))
	require.NoError(t, err)
	clock.Advance(20 * time.Second)
	require.NoError(t, from.Throttle(ctx, run("a/job", 1), 50, 1, ""))
	clock.Advance(20 * time.Second)
	require.NoError(t, from.Stop(ctx, run("a/job", 1), 1, ""))
	stopped := list(t, ctx, from).Ended[0]
	require.Equal(t, job.EndStopped, stopped.How)

	next := start(second, "a/job", 2, time.Hour)
	next.Checkpoint, next.Franchisee, next.Input = stopped.Checkpoint, "f-1", []byte("input")
	_, err = to.Start(ctx, next)
	require.NoError(t, err)
	clock.Advance(30*time.Second - 1)
	require.Len(t, list(t, ctx, to).Running, 1)
	clock.Advance(1)
	done := list(t, ctx, to).Ended[0]
	require.Equal(t, job.EndDone, done.How)
	var result worker.Result
	require.NoError(t, json.Unmarshal(done.Result, &result))
	require.Equal(t, worker.Result{
		ID: "a/job", Franchisee: "f-1",
		Digest: "c96c6d5be8d08a12e7b5cdc1b207fa6b2430974c86803d8891675e76fd992c20",
	}, result)
	require.Equal(t, 30*time.Second, second.Records()[0].ResumedAt)

	foreign := start(second, "other", 1, time.Hour)
	foreign.Checkpoint = stopped.Checkpoint
	_, err = to.Start(ctx, foreign)
	requireRefused(t, platform.RefusedMalformed, err)
}

// Guards against starts over the capacity that are not counted, and against usage in
// listings that is newer than the lag.
func TestOvercommitAndLag(t *testing.T) {
	clock := clockwork.NewFakeClock()
	heavy := func(platform.RunRequest, *rand.Rand) worker.TaskBehaviour {
		return worker.TaskBehaviour{
			Duration: time.Hour, CheckpointInterval: 4 * time.Second,
			Real: resources.Resources{MilliCPU: 500, MemoryMB: 400},
		}
	}
	w, client, ctx := open(t, worker.Config{Clock: clock, Behaviour: heavy, UsageLag: 5 * time.Second})
	for _, id := range []string{"a", "b", "c"} {
		_, err := client.Start(ctx, start(w, id, 1, time.Hour))
		require.NoError(t, err)
	}
	require.Equal(t, 0, w.Overcommits())
	require.Equal(t, 1, w.RealOvercommits())
	_, err := client.Start(ctx, start(w, "d", 1, time.Hour))
	require.NoError(t, err)
	require.Equal(t, 1, w.Overcommits())
	require.Len(t, w.Neighbours(), 4)

	require.NoError(t, client.Throttle(ctx, run("a", 1), 50, 1, ""))
	clock.Advance(5*time.Second - 1)
	task := list(t, ctx, client).Running[0]
	require.Zero(t, task.Usage)
	require.Equal(t, "a/1/2000000", task.Checkpoint)
	clock.Advance(1)
	require.Equal(t, int64(250), list(t, ctx, client).Running[0].Usage.MilliCPU)
}

// Guards against fault injections without effect: a worker that should fail all tasks, a
// paused worker that applies calls early, and a killed worker that responds.
func TestInjectedFaultsTakeEffect(t *testing.T) {
	clock := clockwork.NewFakeClock()
	w, client, ctx := open(t, worker.Config{Clock: clock, Behaviour: worker.AsDeclared(time.Minute)})
	w.SetFailAll(true)
	_, err := client.Start(ctx, start(w, "failing", 1, time.Hour))
	require.NoError(t, err)
	clock.Advance(worker.DefaultFailAllAfter)
	require.Equal(t, job.EndFailed, list(t, ctx, client).Ended[0].How)
	w.SetFailAll(false)

	w.Pause()
	short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	_, err = client.Start(short, start(w, "late", 1, time.Second))
	require.ErrorIs(t, err, platform.ErrUncertain)
	require.Len(t, w.Records(), 1)
	w.Resume()
	require.Eventually(t, func() bool { return len(w.Records()) == 2 }, testTimeout, time.Millisecond)

	w.Kill()
	require.Equal(t, worker.OutcomeKilled, w.Records()[1].Outcome)
	_, err = client.Start(ctx, start(w, "other", 1, time.Hour))
	require.Error(t, err)
	_, err = w.Hold(ctx, platform.HoldRequest{Token: 1})
	require.ErrorIs(t, err, platform.ErrUnavailable)
}

// Guards against a restarted worker that keeps tasks, tokens, ends or the clock of its former
// life, or grants a lease beyond its limit.
func TestRestartForgets(t *testing.T) {
	clock := clockwork.NewFakeClock()
	w, client, ctx := open(t, worker.Config{
		Name: "w1", Clock: clock, ClockStartMs: 1000, MaxLease: 2 * time.Second, Need: small, Behaviour: worker.AsDeclared(time.Hour),
	})
	req := start(w, "job", 1, time.Hour)
	req.Token, req.Need = 9, resources.Resources{}
	_, err := client.Start(ctx, req)
	require.NoError(t, err)
	clock.Advance(time.Second)
	require.Equal(t, int64(2000), w.ClockMs())
	w.Restart(small, time.Second)
	_, err = client.Hold(ctx, platform.HoldRequest{Token: 1})
	require.ErrorIs(t, err, platform.ErrUncertain)
	clock.Advance(time.Second)
	after := list(t, ctx, client)
	require.Empty(t, after.Running)
	require.Equal(t, int64(1000), after.ClockMs)
	require.Equal(t, small, after.Capacity)
	require.Equal(t, worker.OutcomeKilled, w.Records()[0].Outcome)
	require.Equal(t, small, w.Records()[0].Declared)
	for _, id := range []string{"job", "other"} {
		_, err = client.Start(ctx, start(w, id, 1, time.Hour))
		require.NoError(t, err)
	}
	require.Equal(t, 1, w.Overcommits())
	clock.Advance(2 * time.Second)
	ended := list(t, ctx, client).Ended
	require.Equal(t, []job.EndKind{job.EndLeaseExpired, job.EndLeaseExpired}, []job.EndKind{ended[0].How, ended[1].How})
	require.Equal(t, uint64(1), ended[0].Number)
}

// Guards against faults of calls without effect: a start executed late counts as refused, a
// lost response as a start that did nothing, and an unhealthy worker starts tasks.
func TestCallFaultsTakeEffect(t *testing.T) {
	w, client, ctx := open(t, worker.Config{Behaviour: worker.AsDeclared(time.Hour)})
	call := func(id string) error {
		_, err := client.Start(ctx, start(w, id, 1, time.Hour))
		return err
	}
	w.SetCallFaults(worker.CallFaults{Unhealthy: 100})
	require.ErrorIs(t, call("unhealthy"), platform.ErrUnavailable)
	w.SetCallFaults(worker.CallFaults{Lost: 100})
	require.ErrorIs(t, call("lost"), platform.ErrUncertain)
	w.SetCallFaults(worker.CallFaults{Late: 100, MaxDelay: time.Millisecond})
	require.ErrorIs(t, call("late"), platform.ErrUncertain)
	require.Eventually(t, func() bool { return len(w.Records()) == 2 }, testTimeout, time.Millisecond)
	require.False(t, w.Records()[0].Late)
	require.True(t, w.Records()[1].Late)
}
