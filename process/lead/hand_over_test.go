package lead

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/process/term"
)

// maxRestartDelay is the time within which tasks of an earlier term may be placed again while only
// planned work is near.
const maxRestartDelay = 9 * time.Second

// advanceUntil lets time pass until done is closed, for at most limit.
func advanceUntil(clock *clockwork.FakeClock, done <-chan struct{}, limit time.Duration) (closed bool) {
	for began := clock.Now(); clock.Since(began) < limit; clock.Advance(tickInterval) {
		select {
		case <-done:
			return true
		case <-time.After(500 * time.Microsecond):
		}
	}
	return false
}

// resignInBackground resigns a term until the test ends; done is closed at the end of the call.
func resignInBackground(t *testing.T, l *leaderTerm) (done chan struct{}) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done = make(chan struct{})
	go func() {
		defer close(done)
		l.resign(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return done
}

// Guards against a process that stays in a hand-over although another entry has begun a term.
func TestHandOverEndsWithTheTerm(t *testing.T) {
	clock, store := clockwork.NewFakeClock(), newMemoryStore(t)
	l := claimTerm(t, newProcess(t, "one", store, clock))
	join(t, l, "a")
	l.write(t.Context())
	claimTerm(t, newProcess(t, "two", store, clock))
	require.True(t, advanceUntil(clock, resignInBackground(t, l), time.Second))
}

// Guards against tasks that wait for a whole lease after the hand-over of a busy leader: records
// that changed between any two transactions kept it from storing when its leases end.
func TestBusyLeaderStoresTheEndOfItsLeases(t *testing.T) {
	clock, store := clockwork.NewFakeClock(), newMemoryStore(t)
	busy := &cutStore{memoryStore: store}
	l := claimTerm(t, newProcess(t, "one", busy, clock))
	join(t, l, "a")
	l.write(t.Context())
	jobs := 0
	change := func() {
		jobs++
		id := fmt.Sprintf("busy-%d", jobs)
		l.table.Accept(clock.Now(), testJob(id), l.number, false)
		l.table.Cancel(clock.Now(), id)
	}
	busy.committed = change
	change()
	done := resignInBackground(t, l)
	advanceUntil(clock, done, 500*time.Millisecond)
	kv, err := store.Read(t.Context(), agentsKey)
	require.NoError(t, err)
	list, err := decodeAgentLeases(kv.Value)
	require.NoError(t, err)
	require.True(t, list.Closed)
}

// Guards against tasks without a run for 20 s after a planned stop of an entry that no other one
// follows, since all of them restart: neither the end of its term nor that of its leases was known.
func TestHandOverWithoutFollowersIsStored(t *testing.T) {
	clock, store := clockwork.NewFakeClock(), newMemoryStore(t)
	n := newProcess(t, "one", store, clock)
	l := claimTerm(t, n)
	join(t, l, "a")
	l.write(t.Context())
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.HandOver(ctx)
	}()
	advanceUntil(clock, done, 2*time.Second)
	cancel()
	require.True(t, advanceUntil(clock, done, time.Second))
	require.Nil(t, n.ownTerm.Load())

	began := clock.Now()
	next := newProcess(t, "two", store, clock)
	step := func() term.Step {
		next.mu.Lock()
		defer next.mu.Unlock()
		return next.elector.Next(clock.Now())
	}
	for s := step(); s != term.ClaimTerm; s = step() {
		require.Less(t, clock.Since(began), maxRestartDelay)
		if s == term.ReadStore {
			next.executeStep(t.Context(), s)
			continue
		}
		clock.Advance(tickInterval)
	}
	waitForEarlier(t, claimTerm(t, next), clock)
	require.Less(t, clock.Since(began), maxRestartDelay)
}

// leasedAfter returns how long after a claim an agent gets a lease that reports from a time on to a
// leader which the store does not serve.
func leasedAfter(t *testing.T, l *leaderTerm, clock *clockwork.FakeClock, from time.Duration) time.Duration {
	t.Helper()
	report := message.Report{Agent: "a", Session: 3, Full: true, Term: l.number, Worker: &message.WorkerInfo{ID: "a", Reachable: true}}
	for began := clock.Now(); clock.Since(began) < testTiming.Outage-time.Second; clock.Advance(100 * time.Millisecond) {
		l.write(t.Context())
		if clock.Since(began) < from {
			continue
		}
		report.Sequence++
		if l.applyReport(t.Context(), nil, &report).LeaseMs > 0 {
			return clock.Since(began)
		}
	}
	t.Error("no lease in the outage of the store")
	return 0
}

// Guards against runs that end in an outage of the store which is shorter than Timing.Outage: the
// leases of agents that report late to a new leader, or of all agents after two changes of the
// leader, stayed pending until the end of the outage.
func TestOutageLeavesNoLeasePending(t *testing.T) {
	clock, store := clockwork.NewFakeClock(), newMemoryStore(t)
	first := claimTerm(t, newProcess(t, "one", store, clock))
	join(t, first, "a")
	first.write(t.Context())
	late := &cutStore{memoryStore: store}
	second := claimTerm(t, newProcess(t, "two", late, clock))
	late.cut = true
	from := testTiming.Lease/4 + 100*time.Millisecond
	require.Less(t, leasedAfter(t, second, clock, from), from+time.Second)

	second = claimTerm(t, newProcess(t, "three", store, clock))
	second.write(t.Context()) // nobody has reported yet
	cut := &cutStore{memoryStore: store}
	third := claimTerm(t, newProcess(t, "four", cut, clock))
	cut.cut = true
	require.Less(t, leasedAfter(t, third, clock, 0), time.Second)
}
