package term

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorhead.example/camphorhead/connection/message"
)

var timing = Timing{SilentAfter: 1500 * time.Millisecond, PollEvery: 300 * time.Millisecond, Preference: 100 * time.Millisecond}

func viewOf(number, beat uint64) View {
	return View{
		Record:   Record{Term: number, Holder: message.EntryInfo{ID: "a"}},
		Revision: number * 10, Beat: Beat{Term: number, Number: beat},
	}
}

// run moves a watch through time and returns when it first wants to claim.
func run(w *Watch, from time.Time, limit time.Duration, each func(now time.Time, step Step)) (claimed time.Duration, ok bool) {
	for d := time.Duration(0); d < limit; d += 20 * time.Millisecond {
		now := from.Add(d)
		step := w.Next(now)
		if step == ClaimTerm {
			return d, true
		}
		each(now, step)
	}
	return 0, false
}

// Guards against a first start in which no entry leads.
func TestFirstTermIsClaimed(t *testing.T) {
	w := NewWatch(timing)
	start := time.Unix(1000, 0)
	at, ok := run(&w, start, time.Second, func(now time.Time, step Step) {
		if step == ReadStore {
			w.Saw(now, View{})
		}
	})
	require.True(t, ok)
	require.GreaterOrEqual(t, at, timing.Preference)
}

// Guards against an entry that takes the term of a leader that is alive: it
// hears the leader, or sees its beat in the store.
func TestLivingLeaderKeepsItsTerm(t *testing.T) {
	for _, direct := range []bool{true, false} {
		w := NewWatch(timing)
		start := time.Unix(1000, 0)
		w.Saw(start, viewOf(3, 1))
		_, claimed := run(&w, start, 30*time.Second, func(now time.Time, step Step) {
			beat := 1 + uint64(now.Sub(start)/(timing.SilentAfter/4))
			if direct {
				w.Heard(now, 3, beat, false)
			}
			if step == ReadStore {
				w.Saw(now, viewOf(3, beat))
			}
		})
		require.False(t, claimed, "direct %t", direct)
	}
}

// Guards against a dead leader that nobody replaces, and one that is replaced
// before it could have been heard again.
func TestSilentLeaderIsReplaced(t *testing.T) {
	w := NewWatch(timing)
	start := time.Unix(1000, 0)
	w.Saw(start, viewOf(3, 1))
	w.Heard(start, 3, 7, false)
	at, ok := run(&w, start, time.Minute, func(now time.Time, step Step) {
		if step == ReadStore {
			w.Saw(now, viewOf(3, 7))
		}
	})
	require.True(t, ok)
	require.GreaterOrEqual(t, at, timing.SilentAfter)
	require.Less(t, at, 2*timing.SilentAfter)
}

// Guards against a term that is claimed while the store does not answer.
func TestNoClaimWithoutTheStore(t *testing.T) {
	w := NewWatch(timing)
	start := time.Unix(1000, 0)
	w.Saw(start, viewOf(3, 1))
	_, claimed := run(&w, start, time.Minute, func(now time.Time, step Step) {
		if step == ReadStore {
			w.Missed(now)
		}
	})
	require.False(t, claimed)
}

// Guards against a leader that the store does not serve and that keeps its
// term although others are served, and against one that loses it at the end of
// an outage for all.
func TestLeaderInTroubleIsReplacedOnceTheStoreServesOthers(t *testing.T) {
	w := NewWatch(timing)
	start := time.Unix(1000, 0)
	w.Saw(start, viewOf(3, 1))
	outage := 5 * time.Second
	at, ok := run(&w, start, time.Minute, func(now time.Time, step Step) {
		w.Heard(now, 3, 1, true)
		if step != ReadStore {
			return
		}
		if now.Sub(start) < outage {
			w.Missed(now)
			return
		}
		w.Saw(now, viewOf(3, 1))
	})
	require.True(t, ok)
	require.Greater(t, at, outage+returnSlack/2)

	w = NewWatch(timing)
	w.Saw(start, viewOf(3, 1))
	_, claimed := run(&w, start, time.Minute, func(now time.Time, step Step) {
		// The leader is served again as soon as anybody is.
		w.Heard(now, 3, 1, now.Sub(start) < outage+100*time.Millisecond)
		if step == ReadStore && now.Sub(start) < outage {
			w.Missed(now)
		} else if step == ReadStore {
			w.Saw(now, viewOf(3, 1))
		}
	})
	require.False(t, claimed)
}

// Guards against a wait for the silence of a leader whose process has ended.
func TestEndedLeaderIsReplacedAtOnce(t *testing.T) {
	w := NewWatch(timing)
	start := time.Unix(1000, 0)
	w.Saw(start, viewOf(3, 1))
	w.Gone(start, 3)
	at, ok := run(&w, start, time.Minute, func(now time.Time, step Step) {
		if step == ReadStore {
			w.Saw(now, viewOf(3, 1))
		}
	})
	require.True(t, ok)
	require.Less(t, at, timing.SilentAfter/2)
}

// Guards against an older view that replaces a newer one.
func TestTermsNeverGoBack(t *testing.T) {
	w := NewWatch(timing)
	start := time.Unix(1000, 0)
	w.Saw(start, viewOf(4, 1))
	w.Saw(start, viewOf(3, 9))
	require.Equal(t, uint64(4), w.Term())
	w.Gone(start, 3)
	require.Equal(t, Nothing, w.Next(start.Add(timing.SilentAfter/4)))
}

// Guards against a pause without a leader after one has given its term up in
// good order, and against an appointment that outlives its term.
func TestAppointedEntryDoesNotWait(t *testing.T) {
	slow := timing
	slow.Preference = time.Second
	for appointed, most := range map[uint64]time.Duration{3: slow.Preference / 2, 2: time.Minute} {
		w := NewWatch(slow)
		start := time.Unix(1000, 0)
		w.Saw(start, viewOf(3, 1))
		w.Appoint(appointed)
		w.Gone(start, 3)
		at, ok := run(&w, start, time.Minute, func(now time.Time, step Step) {
			if step == ReadStore {
				w.Saw(now, viewOf(3, 1))
			}
		})
		require.True(t, ok)
		require.Less(t, at, most)
		if appointed != 3 {
			require.GreaterOrEqual(t, at, slow.Preference)
		}
	}
}
