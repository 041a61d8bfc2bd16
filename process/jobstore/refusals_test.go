package jobstore

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/request/job"
)

// Guards against a refusal of a job that is recorded, and against a refusal record that a leader takes
// for a job or reports as unreadable.
func TestRefusalIsNoJob(t *testing.T) {
	store := newFakeStore()
	jobs, w := New(store), beginTerm(store, 1)
	_, _, err := jobs.Create(t.Context(), definition("accepted"), 1)
	require.NoError(t, err)
	_, refused, err := jobs.Refuse(t.Context(), "accepted", time.Unix(1000, 0))
	require.NoError(t, err)
	require.False(t, refused)
	revision, refused, err := jobs.Refuse(t.Context(), "refused", time.Unix(1000, 0))
	require.NoError(t, err)
	require.True(t, refused)
	again, refused, err := jobs.Refuse(t.Context(), "refused", time.Unix(1000, 0))
	require.NoError(t, err)
	require.True(t, refused)
	require.Greater(t, again, revision, "who has seen the first one may replace it late")
	stored, created, err := jobs.Create(t.Context(), definition("refused"), 1)
	require.NoError(t, err)
	require.False(t, created)
	require.True(t, stored.Refused)
	require.Equal(t, again, stored.Revision)
	_, found, err := jobs.Lookup(t.Context(), "refused")
	require.NoError(t, err)
	require.False(t, found)

	loaded, _, unreadable, err := w.Load(t.Context())
	require.NoError(t, err)
	require.Empty(t, unreadable)
	require.Len(t, loaded, 1)
	in, err := beginTerm(store, 2).Inbox(t.Context(), 0)
	require.NoError(t, err)
	require.Empty(t, in.Unreadable)
	require.Len(t, in.Jobs, 1)

	_, created, err = jobs.CreateOver(t.Context(), definition("refused"), 1, again)
	require.NoError(t, err)
	require.True(t, created)
}

// Guards against refusal records that are deleted while a create from before them may still be executed,
// that stay for good, or whose deletion deletes a job that was accepted later.
func TestPurgeOfRefusals(t *testing.T) {
	const refusals = 2*refusalsPerPurge + 3
	for _, loads := range []bool{false, true} {
		store := newFakeStore()
		jobs, w := New(store), beginTerm(store, 1)
		revisions := map[string]uint64{}
		for i := range refusals {
			id := fmt.Sprint("j", i)
			revision, refused, err := jobs.Refuse(t.Context(), id, time.Unix(1000, 0))
			require.NoError(t, err)
			require.True(t, refused)
			revisions[id] = revision
		}
		if loads {
			_, _, _, err := w.Load(t.Context())
			require.NoError(t, err)
		} else {
			_, err := w.Inbox(t.Context(), 0)
			require.NoError(t, err)
		}
		purge := func(now time.Time) {
			for range refusals {
				if tried, err := w.PurgeRefusals(t.Context(), now); err != nil || tried == 0 {
					return
				}
			}
			t.Fatal("the purge does not end")
		}
		found := time.Unix(1000, 0)
		purge(found)
		purge(found.Add(MaxCreateTime + platform.LateCallWindow))
		require.Len(t, store.items, refusals+1, "and the term")
		_, created, err := jobs.CreateOver(t.Context(), definition("j0"), 1, revisions["j0"])
		require.NoError(t, err)
		require.True(t, created)
		_, refused, err := jobs.Refuse(t.Context(), "j1", time.Unix(1000, 0))
		require.NoError(t, err)
		require.True(t, refused)
		store.nextFault = func() fault { return unavailable }
		purge(found.Add(refusalRetention))
		require.Len(t, store.items, refusals+1)
		store.nextFault = func() fault { return noFault }
		purge(found.Add(refusalRetention))
		require.Len(t, store.items, 3, "the term, the job and the newer refusal")
		require.Contains(t, store.items, jobKey("j0"))
		require.Contains(t, store.items, jobKey("j1"))
		require.Empty(t, w.refusals)

		revision, _, err := jobs.Refuse(t.Context(), "fenced", time.Unix(1000, 0))
		require.NoError(t, err)
		w.recordRefusal("fenced", revision, time.Time{})
		purge(found)
		beginTerm(store, 2)
		_, err = w.PurgeRefusals(t.Context(), found.Add(refusalRetention))
		require.ErrorIs(t, err, platform.ErrConflict)
		require.Contains(t, store.items, jobKey("fenced"))
	}
}

// Guards against refusals that a flood adds to the memory of a leader without bound.
func TestRememberedRefusalsAreBounded(t *testing.T) {
	w := beginTerm(newFakeStore(), 1)
	for i := range maxRefusals + 10 {
		w.recordRefusal(fmt.Sprint(i), 1, time.Time{})
	}
	require.Len(t, w.refusals, maxRefusals)
}

// Guards against a refused job that runs, or an accepted one that is lost, whatever the order of
// submissions, refusals, late transactions, lost responses and purges of one id: a refusal binds all
// submissions from before it.
func TestRefusalsBindEarlierSubmissions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := newFakeStore()
		jobs, w := New(store), beginTerm(store, 1)
		faults := false
		store.nextFault = func() fault {
			if !faults {
				return noFault
			}
			return rapid.SampledFrom([]fault{noFault, unavailable, requestLost, responseLost, delayed}).Draw(t, "fault")
		}
		// Each submission has an input of its own, by which its job is recognised. refusedBefore is the
		// number of submissions that had arrived before the latest confirmed refusal.
		type submission struct {
			def     *job.Definition
			arrived uint64 // a revision that the store had reached then
			// uncertain is set if an attempt had no response, givenUp if no attempt may follow.
			refused, uncertain, givenUp bool
		}
		var submissions []*submission
		refusedBefore := 0
		accepted := ""
		now := time.Unix(1000, 0)
		check := func() {
			stored, found, err := jobs.Lookup(t.Context(), "j")
			require.NoError(t, err)
			if accepted != "" {
				require.True(t, found, "an accepted job is lost")
				require.Equal(t, accepted, string(stored.Definition.Input))
			}
			for i, s := range submissions {
				if found && string(s.def.Input) == string(stored.Definition.Input) {
					require.False(t, s.refused, "a refused submission is recorded")
					require.GreaterOrEqual(t, i, refusedBefore, "a submission from before a refusal is recorded")
				}
			}
		}
		create := func(t *rapid.T, s *submission) {
			stored, created, err := jobs.Create(t.Context(), s.def, 1)
			if err == nil && stored.Refused && stored.Revision <= s.arrived {
				stored, created, err = jobs.CreateOver(t.Context(), s.def, 1, stored.Revision)
			}
			switch {
			case err != nil:
				s.uncertain = s.uncertain || errors.Is(err, platform.ErrUncertain)
			case stored.Refused:
				s.refused = !s.uncertain
				s.givenUp = true
			case created:
				require.False(t, s.refused)
				accepted = string(s.def.Input)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { faults = false; check(); faults = true },
			"submit": func(t *rapid.T) {
				def := definition("j")
				def.Input = fmt.Appendf(nil, "%d", len(submissions))
				known := store.revision
				if rapid.Bool().Draw(t, "stale") {
					known = rapid.Uint64Range(0, store.revision).Draw(t, "known")
				}
				s := &submission{def: def, arrived: known}
				submissions = append(submissions, s)
				if rapid.Bool().Draw(t, "slow") {
					return // reaches the store later, by a retry
				}
				create(t, s)
			},
			"retry": func(t *rapid.T) {
				if len(submissions) == 0 {
					t.Skip("none")
				}
				s := rapid.SampledFrom(submissions).Draw(t, "submission")
				if !s.givenUp {
					create(t, s)
				}
			},
			"refuse": func(t *rapid.T) {
				if _, refused, err := jobs.Refuse(t.Context(), "j", now); err == nil && refused {
					require.Empty(t, accepted, "an accepted job is refused")
					refusedBefore = len(submissions)
				}
			},
			"cancel": func(t *rapid.T) {
				c, err := jobs.Cancel(t.Context(), "j", w.Fence(), now, func() error { return nil })
				if err == nil && !c.Found {
					require.Empty(t, accepted, "an accepted job is answered to be unknown")
					refusedBefore = len(submissions)
				}
			},
			"late":  func(*rapid.T) { store.applyDelayed() },
			"inbox": func(t *rapid.T) { _, _ = w.Inbox(t.Context(), 0) },
			"purge": func(t *rapid.T) {
				// In the time until a record may be deleted, each submission is given up and each
				// transaction executed.
				store.applyDelayed()
				for _, s := range submissions {
					s.givenUp = true
				}
				now = now.Add(refusalRetention)
				_, _ = w.PurgeRefusals(t.Context(), now)
			},
		})
	})
}

// FuzzRefusal decodes any value under the key of a job. Guards against a crash, a job or a record of a
// newer version that is taken for a refusal and deleted, and a refusal that is taken for a job.
func FuzzRefusal(f *testing.F) {
	accepted, err := encode(&StoredJob{Definition: definition("j"), Term: 3})
	require.NoError(f, err)
	ended, err := encode(&StoredJob{State: job.Done, Profile: "p", EndedMs: 1})
	require.NoError(f, err)
	for _, value := range [][]byte{
		untimedRefusal, refusalAt(time.Unix(1000, 0)), accepted, ended, nil, []byte("\x81\xa7refused\x02"), []byte("\x81\xa7refused\xcc\x01"), []byte("\x81\xa7refused"),
		append(append([]byte{}, untimedRefusal...), 0xc0), append(refusalAt(time.Unix(1000, 0)), 0xc0), refusalAt(time.Unix(1000, 0))[:20],
		bytes.Replace(refusalAt(time.Unix(1000, 0)), []byte("at"), []byte("by"), 1), []byte("\x82\xa7refused\x01\xa1s\xa4done"), []byte("\x82\xa7refused\x01\xa5until\x07"),
	} {
		f.Add(value)
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		store := newFakeStore()
		w := beginTerm(store, 1)
		revision, err := store.apply(platform.Txn{Puts: []platform.Put{{Key: jobKey("j"), Value: value}}})
		require.NoError(t, err)
		stored, decodeErr := decodeStored(store.items[jobKey("j")])
		timed, isTimed := strings.CutPrefix(string(value), "\x82\xa7refused\x02\xa2at\xd3")
		refusal := string(value) == "\x81\xa7refused\x01" || isTimed && len(timed) == 8
		require.Equal(t, refusal, decodeErr == nil && stored.Refused)
		loaded, _, unreadable, err := w.Load(t.Context())
		require.NoError(t, err)
		if refusal {
			require.Empty(t, loaded)
			require.Empty(t, unreadable)
			require.Equal(t, revision, w.refusals["j"].revision)
			return
		}
		require.Len(t, append(unreadable, make([]string, len(loaded))...), 1)
		require.Empty(t, w.refusals, "it would be deleted")
		_, refused, err := New(store).Refuse(t.Context(), "j", time.Unix(1000, 0))
		require.NoError(t, err)
		require.False(t, refused)
		require.Equal(t, revision, store.items[jobKey("j")].Revision)
	})
}

// Guards against refusal records that stay for good because leaders change more often than one may delete
// them by the time at which it has found them.
func TestRefusalsAgeAcrossLeaders(t *testing.T) {
	const term = refusalRetention / 2
	store := newFakeStore()
	created := time.Unix(1000, 0)
	_, refused, err := New(store).Refuse(t.Context(), "j", created)
	require.NoError(t, err)
	require.True(t, refused)
	for now := created; ; now = now.Add(term) {
		w := beginTerm(store, byte(now.Sub(created)/term)+1)
		_, _, _, err := w.Load(t.Context())
		require.NoError(t, err)
		for range 2 {
			_, err = w.PurgeRefusals(t.Context(), now)
			require.NoError(t, err)
		}
		if _, kept := store.items[jobKey("j")]; !kept {
			require.GreaterOrEqual(t, now.Sub(created), refusalRetention, "a create may still be executed")
			require.LessOrEqual(t, now.Sub(created), refusalRetention+wallClockSlack+term)
			return
		}
		require.LessOrEqual(t, now.Sub(created), time.Hour)
	}
}
