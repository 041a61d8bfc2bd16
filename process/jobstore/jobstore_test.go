package jobstore

import (
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/process/schedule"
	"camphorhead.example/camphorhead/request/job"
)

func definition(id string) *job.Definition {
	return &job.Definition{ID: id, Profile: "p", Input: []byte("in"), Steps: []job.Step{{Count: 8}}}
}

// begin writes the key of a term and returns its writer.
func begin(store *fakeStore, term byte) *Writer {
	revision, err := store.apply(platform.Txn{Puts: []platform.Put{{Key: "leader/term", Value: []byte{term}}}})
	if err != nil {
		panic(err)
	}
	return NewWriter(store, Fence{Key: "leader/term", Revision: revision})
}

// Guards against one id that is accepted as two jobs, and against a repetition
// that does not find the first one.
func TestCreateOnce(t *testing.T) {
	store := newFakeStore()
	jobs := New(store)
	first, created, err := jobs.Create(t.Context(), definition("a"), 3)
	require.NoError(t, err)
	require.True(t, created)
	other := definition("a")
	other.Input = []byte("another")
	again, created, err := jobs.Create(t.Context(), other, 4)
	require.NoError(t, err)
	require.False(t, created)
	require.Equal(t, first.Revision, again.Revision)
	require.Equal(t, "in", string(again.Definition.Input))
	require.Equal(t, uint64(3), again.Term)
}

// Guards against a record whose answer was lost and that is then told as absent.
func TestLostAnswerOfCreate(t *testing.T) {
	store := newFakeStore()
	store.fault = func() fault { return unheard }
	_, _, err := New(store).Create(t.Context(), definition("a"), 1)
	require.ErrorIs(t, err, platform.ErrUncertain)
	store.fault = func() fault { return answered }
	stored, created, err := New(store).Create(t.Context(), definition("a"), 1)
	require.NoError(t, err)
	require.True(t, created, "the record is this call's own")
	require.NotZero(t, stored.Revision)
}

// Guards against a leader of an earlier term that goes on writing.
func TestDeposedLeaderWritesNothing(t *testing.T) {
	store := newFakeStore()
	old := begin(store, 1)
	begin(store, 2)
	b, err := old.Plan([]schedule.Record{{ID: "a", State: job.Running}}, platform.Txn{})
	require.NoError(t, err)
	require.ErrorIs(t, old.Write(t.Context(), b), ErrDeposed)
	require.NotContains(t, store.items, progressKey("a"))
}

// Guards against transactions over the store's limit and records that are
// dropped between two of them.
func TestPlanSplits(t *testing.T) {
	store := newFakeStore()
	w := begin(store, 1)
	var records []schedule.Record
	for i := range 40 {
		records = append(records, schedule.Record{ID: fmt.Sprint(i), State: job.Running})
	}
	for len(records) > 0 {
		b, err := w.Plan(records, platform.Txn{Expect: []platform.Expectation{{Key: "x"}}})
		require.NoError(t, err)
		require.NotEmpty(t, b.Records)
		require.NoError(t, w.Write(t.Context(), b))
		records = b.Rest
	}
	for i := range 40 {
		require.Contains(t, store.items, progressKey(fmt.Sprint(i)))
	}
}

// Guards against progress that is lost or that goes back: by lost answers, by
// writes that take effect seconds later, and by a change of the leader.
func TestProgressNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := newFakeStore()
		jobs := New(store)
		def := definition("a")
		_, _, err := jobs.Create(t.Context(), def, 1)
		require.NoError(t, err)
		term := byte(1)
		w := begin(store, term)
		_, _, _, err = w.Load(t.Context())
		require.NoError(t, err)
		progress := job.NewProgress(def)
		durable, ended := 0, false // tasks that are durably done
		for step := range 40 {
			switch rapid.IntRange(0, 5).Draw(t, fmt.Sprint("kind ", step)) {
			case 0:
				store.carryOutLate()
			case 1: // another entry begins a term and reads what there is
				term++
				w = begin(store, term)
				loaded, _, _, err := w.Load(t.Context())
				require.NoError(t, err)
				require.Len(t, loaded, 1)
				require.Equal(t, ended, loaded[0].Ended())
				if ended {
					continue
				}
				progress = job.NewProgress(def)
				if loaded[0].Progress != nil {
					progress = loaded[0].Progress
				}
				require.GreaterOrEqual(t, done(progress, def), durable)
			default:
				if ended {
					continue
				}
				next := done(progress, def)
				if next < def.Steps[0].Count {
					progress.SetDone(def, job.TaskID{Job: "a", Index: next})
				}
				record := schedule.Record{ID: "a", Profile: "p", State: job.Running, Progress: progress.Clone()}
				if next+1 >= def.Steps[0].Count {
					record.State = job.Done
				}
				if write(t, store, w, record) {
					durable = done(progress, def)
					ended = record.State.Terminal()
				}
			}
		}
	})
}

func done(p *job.Progress, def *job.Definition) (n int) {
	for i := range def.Steps[0].Count {
		if p.IsDone(def, job.TaskID{Index: i}) {
			n++
		}
	}
	return n
}

// write repeats a batch until its outcome is known, as the leader does; it
// reports false for one that was refused.
func write(t *rapid.T, store *fakeStore, w *Writer, record schedule.Record) bool {
	b, err := w.Plan([]schedule.Record{record}, platform.Txn{})
	require.NoError(t, err)
	maybe := false
	for try := range 50 {
		store.fault = func() fault {
			return fault(rapid.IntRange(0, int(delayed)).Draw(t, fmt.Sprint("fault ", try)))
		}
		err := w.Write(t.Context(), b)
		store.fault = func() fault { return answered }
		switch {
		case err == nil:
			return true
		case errors.Is(err, platform.ErrUncertain):
			maybe = true
			if rapid.Bool().Draw(t, "late copies arrive") {
				store.carryOutLate()
			}
		case errors.Is(err, platform.ErrUnavailable) && !maybe:
			return false
		case errors.Is(err, platform.ErrUnavailable):
		default:
			require.NoError(t, err)
		}
	}
	t.Skip("the store never answered")
	return false
}

// Guards against cancellings and jobs that an entry recorded without telling
// the leader.
func TestInboxFindsWhatEntriesWrote(t *testing.T) {
	store := newFakeStore()
	w := begin(store, 1)
	_, revision, _, err := w.Load(t.Context())
	require.NoError(t, err)
	jobs := New(store)
	_, _, err = jobs.Create(t.Context(), definition("a"), 1)
	require.NoError(t, err)
	require.NoError(t, jobs.Cancel(t.Context(), "a"))
	in, err := w.Inbox(t.Context(), revision)
	require.NoError(t, err)
	require.Len(t, in.Jobs, 1)
	require.Equal(t, []string{"a"}, in.Cancels)
	again, err := w.Inbox(t.Context(), in.Revision)
	require.NoError(t, err)
	require.Empty(t, again.Jobs)
}

// Guards against a record that cannot be read and that ends the reading of all.
func TestUnreadableRecordsAreLeftAlone(t *testing.T) {
	store := newFakeStore()
	_, err := store.apply(platform.Txn{Puts: []platform.Put{{Key: jobKey("bad"), Value: []byte{0xc1}}}})
	require.NoError(t, err)
	_, _, err = New(store).Create(t.Context(), definition("good"), 1)
	require.NoError(t, err)
	loaded, _, unreadable, err := begin(store, 1).Load(t.Context())
	require.NoError(t, err)
	require.Len(t, loaded, 1)
	require.Equal(t, []string{jobKey("bad")}, unreadable)
}
