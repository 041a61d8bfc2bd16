package term

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorhead.example/camphorhead/connection/message"
)

var timing = Timing{LeaderTimeout: 1500 * time.Millisecond, PollInterval: 300 * time.Millisecond, ClaimDelay: 100 * time.Millisecond, UnknownTimeout: 8 * time.Second}

func viewOf(number, heartbeat uint64) View {
	return View{
		Record:   Record{Term: number, Holder: message.EntryInfo{ID: "a"}},
		Revision: number * 10, Heartbeat: Heartbeat{Term: number, Number: heartbeat},
	}
}

// run advances an elector by 20 ms at a time and calls each with every step. It returns the
// time until the first ClaimTerm; ok is false if there is none within limit.
func run(e *Elector, from time.Time, limit time.Duration, each func(now time.Time, step Step)) (claimed time.Duration, ok bool) {
	for d := time.Duration(0); d < limit; d += 20 * time.Millisecond {
		now := from.Add(d)
		step := e.Next(now)
		if step == ClaimTerm {
			return d, true
		}
		each(now, step)
	}
	return 0, false
}

// Guards against a first start in which no entry leads.
func TestFirstTermIsClaimed(t *testing.T) {
	e := NewElector(timing)
	start := time.Unix(1000, 0)
	at, ok := run(&e, start, time.Second, func(now time.Time, step Step) {
		if step == ReadStore {
			e.RecordView(now, View{})
		}
	})
	require.True(t, ok)
	require.GreaterOrEqual(t, at, timing.ClaimDelay)
}

// Guards against an entry that replaces a live leader, whose heartbeats reach it either
// directly or only through the store.
func TestActiveLeaderKeepsItsTerm(t *testing.T) {
	for _, direct := range []bool{true, false} {
		e := NewElector(timing)
		start := time.Unix(1000, 0)
		e.RecordView(start, viewOf(3, 1))
		_, claimed := run(&e, start, 30*time.Second, func(now time.Time, step Step) {
			heartbeat := 1 + uint64(now.Sub(start)/(timing.LeaderTimeout/4))
			if direct {
				e.RecordHeartbeat(now, 3, heartbeat, false)
			}
			if step == ReadStore {
				e.RecordView(now, viewOf(3, heartbeat))
			}
		})
		require.False(t, claimed, "direct %t", direct)
	}
}

// Guards against a failed leader that is never replaced, and against one that is
// replaced before the leader timeout.
func TestSilentLeaderIsReplaced(t *testing.T) {
	e := NewElector(timing)
	start := time.Unix(1000, 0)
	e.RecordView(start, viewOf(3, 1))
	e.RecordHeartbeat(start, 3, 7, false)
	at, ok := run(&e, start, time.Minute, func(now time.Time, step Step) {
		if step == ReadStore {
			e.RecordView(now, viewOf(3, 7))
		}
	})
	require.True(t, ok)
	require.GreaterOrEqual(t, at, timing.LeaderTimeout)
	require.Less(t, at, 2*timing.LeaderTimeout)
}

// Guards against a claim by an entry whose reads of the store fail.
func TestNoClaimWithoutTheStore(t *testing.T) {
	e := NewElector(timing)
	start := time.Unix(1000, 0)
	e.RecordView(start, viewOf(3, 1))
	_, claimed := run(&e, start, time.Minute, func(now time.Time, step Step) {
		if step == ReadStore {
			e.RecordReadFailure(now)
		}
	})
	require.False(t, claimed)
}

// Guards against a leader that keeps its term although the store serves other entries
// but not it, and against one that loses its term at the end of a global outage.
func TestDegradedLeaderIsReplacedOnceTheStoreServesOthers(t *testing.T) {
	e := NewElector(timing)
	start := time.Unix(1000, 0)
	e.RecordView(start, viewOf(3, 1))
	outage := 5 * time.Second
	at, ok := run(&e, start, time.Minute, func(now time.Time, step Step) {
		e.RecordHeartbeat(now, 3, 1, true)
		if step != ReadStore {
			return
		}
		if now.Sub(start) < outage {
			e.RecordReadFailure(now)
			return
		}
		e.RecordView(now, viewOf(3, 1))
	})
	require.True(t, ok)
	require.Greater(t, at, outage+storeRecoveryDelay/2)

	e = NewElector(timing)
	e.RecordView(start, viewOf(3, 1))
	_, claimed := run(&e, start, time.Minute, func(now time.Time, step Step) {
		// The leader detects the end of the outage 100 ms after the store responds again.
		e.RecordHeartbeat(now, 3, 1, now.Sub(start) < outage+100*time.Millisecond)
		if step == ReadStore && now.Sub(start) < outage {
			e.RecordReadFailure(now)
		} else if step == ReadStore {
			e.RecordView(now, viewOf(3, 1))
		}
	})
	require.False(t, claimed)
}

// Guards against waiting for the leader timeout although the leader is known to have ended.
func TestLeaderIsReplacedAtOnceAfterTermEnd(t *testing.T) {
	e := NewElector(timing)
	start := time.Unix(1000, 0)
	e.RecordView(start, viewOf(3, 1))
	e.RecordTermEnd(start, 3)
	at, ok := run(&e, start, time.Minute, func(now time.Time, step Step) {
		if step == ReadStore {
			e.RecordView(now, viewOf(3, 1))
		}
	})
	require.True(t, ok)
	require.Less(t, at, timing.LeaderTimeout/2)
}

// Guards against a view of an older term that replaces a newer one.
func TestTermNeverDecreases(t *testing.T) {
	e := NewElector(timing)
	start := time.Unix(1000, 0)
	e.RecordView(start, viewOf(4, 1))
	e.RecordView(start, viewOf(3, 9))
	require.Equal(t, uint64(4), e.Term())
	e.RecordTermEnd(start, 3)
	require.Equal(t, Nothing, e.Next(start.Add(timing.LeaderTimeout/4)))
}

// Guards against a claim delay after a leader has handed its term over to a chosen
// successor, and against an entry that counts as successor after any other term.
func TestSuccessorClaimsWithoutDelay(t *testing.T) {
	slow := timing
	slow.ClaimDelay = time.Second
	for successorOf, most := range map[uint64]time.Duration{3: slow.ClaimDelay / 2, 2: time.Minute} {
		e := NewElector(slow)
		start := time.Unix(1000, 0)
		e.RecordView(start, viewOf(3, 1))
		e.MarkSuccessor(successorOf)
		e.RecordTermEnd(start, 3)
		at, ok := run(&e, start, time.Minute, func(now time.Time, step Step) {
			if step == ReadStore {
				e.RecordView(now, viewOf(3, 1))
			}
		})
		require.True(t, ok)
		require.Less(t, at, most)
		if successorOf != 3 {
			require.GreaterOrEqual(t, at, slow.ClaimDelay)
		}
	}
}

// Guards against an entry that replaces a leader which it has never followed, while that leader
// relies on its followers: it may be cut off from the store and from this entry only. If the
// leader is known to have ended, nothing is waited for.
func TestUnknownEntryWaitsForTheHeartbeat(t *testing.T) {
	start := time.Unix(1000, 0)
	const lastHeartbeat = 2 * time.Second
	e := NewElector(timing)
	e.RecordView(start, viewOf(3, 1))
	at, ok := run(&e, start, time.Minute, func(now time.Time, step Step) {
		if step == ReadStore {
			e.RecordView(now, viewOf(3, 1+uint64(min(now.Sub(start), lastHeartbeat)/(timing.LeaderTimeout/4))))
		}
	})
	require.True(t, ok)
	require.GreaterOrEqual(t, at, lastHeartbeat-timing.LeaderTimeout/4+timing.UnknownTimeout)
	require.Less(t, at, lastHeartbeat+timing.UnknownTimeout+timing.LeaderTimeout)

	e = NewElector(timing)
	e.RecordView(start, viewOf(3, 1))
	e.RecordTermEnd(start, 3)
	at, ok = run(&e, start, time.Minute, func(now time.Time, step Step) {
		if step == ReadStore {
			e.RecordView(now, viewOf(3, 1))
		}
	})
	require.True(t, ok)
	require.Less(t, at, timing.LeaderTimeout/2)
}
