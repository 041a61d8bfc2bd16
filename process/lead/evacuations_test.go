package lead

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/process/evacuation"
	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/version/profile"
)

// Guards against a leader that orders runs in an evacuated failure domain because it has not read
// the evacuations when its term begins, forgets them while the store fails, or never reads again.
func TestEvacuationsAreInForceFromTheBeginOfATerm(t *testing.T) {
	store := newMemoryStore(t)
	records := evacuation.NewRecords(store, evacuation.DefaultPrefix)
	require.NoError(t, records.Begin(t.Context(), "d"))
	require.NoError(t, records.Begin(t.Context(), "d"), "it is idempotent")
	clock := clockwork.NewFakeClockAt(time.Now())
	n := listen(t, newProcess(t, "entry", store, clock))
	n.cfg.Profile = func(string) (profile.Profile, bool) { return profile.Profile{Service: "s", MaxAttempts: 3}, true }
	var failure error
	n.cfg.Evacuations = func(ctx context.Context) ([]string, error) {
		if failure != nil {
			return nil, failure
		}
		return records.List(ctx)
	}
	l := claimTerm(t, n)
	require.Equal(t, []string{"d"}, l.table.Evacuated())
	require.True(t, n.Evacuated("d"))
	require.False(t, n.Evacuated("other"))

	failure = errors.New("the store does not respond")
	l.readEvacuations(t.Context())
	require.Equal(t, []string{"d"}, l.table.Evacuated(), "forgotten while the store fails")

	failure = nil
	require.NoError(t, records.End(t.Context(), "d"))
	require.NoError(t, records.Begin(t.Context(), "e"))
	clock.Advance(evacuationInterval)
	l.tick(t.Context(), clock.Now())
	require.Eventually(t, func() bool { return n.Evacuated("e") && !n.Evacuated("d") }, 10*time.Second, time.Millisecond)
}

// Guards against a leader that begins its term although it could not read the evacuations.
func TestNoTermWithoutEvacuations(t *testing.T) {
	n := listen(t, newProcess(t, "entry", newMemoryStore(t), clockwork.NewFakeClockAt(time.Now())))
	n.cfg.Evacuations = func(context.Context) ([]string, error) { return nil, errors.New("the store does not respond") }
	l := newLeaderTerm(n, n.elector.View(), n.elector.View(), false, n.cfg.Clock.Now())
	require.Error(t, l.load(t.Context()))
}

// Guards against an entry that reports an evacuation as in force which its leader has not confirmed,
// or goes on to after the leader is gone.
func TestFollowerKnowsEvacuationsOfItsLeader(t *testing.T) {
	n := newProcess(t, "entry", newMemoryStore(t), clockwork.NewFakeClockAt(time.Now()))
	n.leaderReady.Store(true)
	require.False(t, n.Evacuated("d"))
	n.applyUpdate(&message.Update{Stamp: 1, Evacuated: []string{"d"}})
	require.True(t, n.Evacuated("d"))
	n.applyUpdate(&message.Update{Jobs: []message.JobUpdate{{Job: "j", State: job.Running}}})
	require.True(t, n.Evacuated("d"), "an update without a stamp says nothing of evacuations")
	n.leaderReady.Store(false)
	require.False(t, n.Evacuated("d"))
}
