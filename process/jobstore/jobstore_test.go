package jobstore

import (
	"errors"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/process/schedule"
	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/request/outcome"
)

func definition(id string) *job.Definition {
	return &job.Definition{ID: id, Profile: "p", Input: []byte("in"), Steps: []job.Step{{Count: 8}}}
}

// beginTerm writes the key that identifies the term and returns the writer of the term.
func beginTerm(store *fakeStore, term byte) *Writer {
	revision, err := store.apply(platform.Txn{Puts: []platform.Put{{Key: "leader/term", Value: []byte{term}}}})
	if err != nil {
		panic(err)
	}
	return NewWriter(store, Fence{Key: "leader/term", Revision: revision})
}

// Guards against two jobs accepted under one id, and against a repeated Create that does
// not return the first job.
func TestCreateIsIdempotent(t *testing.T) {
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

// Guards against a Create that does not recognise its own record after a lost response.
func TestCreateAfterLostResponse(t *testing.T) {
	store := newFakeStore()
	store.nextFault = func() fault { return responseLost }
	_, _, err := New(store).Create(t.Context(), definition("a"), 1)
	require.ErrorIs(t, err, platform.ErrUncertain)
	store.nextFault = func() fault { return noFault }
	stored, created, err := New(store).Create(t.Context(), definition("a"), 1)
	require.NoError(t, err)
	require.True(t, created, "the record is that of this call")
	require.NotZero(t, stored.Revision)
}

// Guards against a record of another writer that ends each leader which loads it, and
// against one that hides the other jobs.
func TestOddJobRecordsAreSkipped(t *testing.T) {
	store := newFakeStore()
	w := beginTerm(store, 1)
	_, _, err := New(store).Create(t.Context(), definition("good"), 1)
	require.NoError(t, err)
	odd := map[string]func(*job.Definition){
		"count":       func(d *job.Definition) { d.Steps[0].Count = math.MaxInt64 },
		"negative":    func(d *job.Definition) { d.Steps[0].Count = -8 },
		"occurrences": func(d *job.Definition) { d.Occurrences = 1 << 60 },
		"after":       func(d *job.Definition) { d.Steps[0].After = []int{7} },
		"no steps":    func(d *job.Definition) { d.Steps = nil },
		"capacity":    func(d *job.Definition) { d.Steps[0].Need.MilliCPU = math.MinInt64 },
		"other id":    func(d *job.Definition) { d.ID = "good" },
	}
	for id, change := range odd {
		d := definition(id)
		change(d)
		value, err := encode(&StoredJob{Definition: d})
		require.NoError(t, err)
		_, err = store.apply(platform.Txn{Puts: []platform.Put{{Key: jobKey(id), Value: value}}})
		require.NoError(t, err)
	}
	jobs, _, unreadable, err := w.Load(t.Context())
	require.NoError(t, err)
	require.Len(t, unreadable, len(odd))
	require.Len(t, jobs, 1)
	require.Equal(t, "good", jobs[0].ID)
	in, err := w.Inbox(t.Context(), 0)
	require.NoError(t, err)
	require.Len(t, in.Jobs, 1)
	require.Len(t, in.Unreadable, len(odd))
}

// Guards against a job that is accepted although no leader can read its record.
func TestUnreadableJobIsNotAccepted(t *testing.T) {
	store := newFakeStore()
	d := definition("a")
	d.Steps[0].Need.MilliCPU = 1 << 62
	_, created, err := New(store).Create(t.Context(), d, 1)
	require.False(t, created)
	require.Equal(t, outcome.InvalidField, outcome.From(err).Kind)
	require.Empty(t, store.items)
}

// Guards against a leader that records nothing any more, because another writer has replaced
// or deleted a key that its transactions expect.
func TestWriterRecoversFromWritesOfOthers(t *testing.T) {
	for _, change := range []platform.Txn{
		{Puts: []platform.Put{{Key: progressKey("a"), Value: []byte("odd entry")}}},
		{Deletes: []string{progressKey("a")}},
		{Puts: []platform.Put{{Key: jobKey("a"), Value: []byte("odd entry")}}},
		{Deletes: []string{jobKey("a")}},
	} {
		store := newFakeStore()
		w := beginTerm(store, 1)
		stored, _, err := New(store).Create(t.Context(), definition("a"), 1)
		require.NoError(t, err)
		w.RecordJobRevision("a", stored.Revision)
		write := func(state job.State) error {
			b, err := w.Plan([]schedule.Record{{ID: "a", State: state}}, platform.Txn{})
			require.NoError(t, err)
			return w.Write(t.Context(), b)
		}
		require.NoError(t, write(job.Running))
		_, err = store.apply(change)
		require.NoError(t, err)
		for _, state := range []job.State{job.Running, job.Done} {
			if err := write(state); err != nil {
				require.ErrorIs(t, err, platform.ErrConflict)
				require.NoError(t, write(state), "%+v", change)
			}
		}
		require.NotContains(t, store.items, progressKey("a"))
	}
}

// Guards against writes by the leader of an earlier term.
func TestFencedLeaderWritesNothing(t *testing.T) {
	store := newFakeStore()
	old := beginTerm(store, 1)
	beginTerm(store, 2)
	b, err := old.Plan([]schedule.Record{{ID: "a", State: job.Running}}, platform.Txn{})
	require.NoError(t, err)
	require.ErrorIs(t, old.Write(t.Context(), b), ErrFenced)
	require.NotContains(t, store.items, progressKey("a"))
}

// Guards against transactions over the store's limit, and against records lost when a
// batch is split.
func TestPlanSplitsLargeBatches(t *testing.T) {
	store := newFakeStore()
	w := beginTerm(store, 1)
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

// Guards against progress that is lost or regresses after lost responses, writes that
// take effect seconds later, or a change of the leader.
func TestProgressNeverRegresses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := newFakeStore()
		jobs := New(store)
		def := definition("a")
		_, _, err := jobs.Create(t.Context(), def, 1)
		require.NoError(t, err)
		term := byte(1)
		w := beginTerm(store, term)
		_, _, _, err = w.Load(t.Context())
		require.NoError(t, err)
		progress := job.NewProgress(def)
		durable, ended := 0, false // number of tasks whose end is durable
		for step := range 40 {
			switch rapid.IntRange(0, 5).Draw(t, fmt.Sprint("kind ", step)) {
			case 0:
				store.applyDelayed()
			case 1: // another entry begins a term and loads the jobs
				term++
				w = beginTerm(store, term)
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
				require.GreaterOrEqual(t, countDone(progress, def), durable)
			default:
				if ended {
					continue
				}
				next := countDone(progress, def)
				if next < def.Steps[0].Count {
					progress.SetDone(def, job.TaskID{Job: "a", Index: next})
				}
				record := schedule.Record{ID: "a", Profile: "p", State: job.Running, Progress: progress.Clone()}
				if next+1 >= def.Steps[0].Count {
					record.State = job.Done
				}
				if writeUntilResolved(t, store, w, record) {
					durable = countDone(progress, def)
					ended = record.State.Terminal()
				}
			}
		}
	})
}

func countDone(p *job.Progress, def *job.Definition) (n int) {
	for i := range def.Steps[0].Count {
		if p.IsDone(def, job.TaskID{Index: i}) {
			n++
		}
	}
	return n
}

// writeUntilResolved repeats a batch until its outcome is known, as the leader does. It
// reports false if the batch was certainly not applied.
func writeUntilResolved(t *rapid.T, store *fakeStore, w *Writer, record schedule.Record) bool {
	b, err := w.Plan([]schedule.Record{record}, platform.Txn{})
	require.NoError(t, err)
	uncertain := false
	for try := range 50 {
		store.nextFault = func() fault {
			return fault(rapid.IntRange(0, int(delayed)).Draw(t, fmt.Sprint("fault ", try)))
		}
		err := w.Write(t.Context(), b)
		store.nextFault = func() fault { return noFault }
		switch {
		case err == nil:
			return true
		case errors.Is(err, platform.ErrUncertain):
			uncertain = true
			if rapid.Bool().Draw(t, "late copies arrive") {
				store.applyDelayed()
			}
		case errors.Is(err, platform.ErrUnavailable) && !uncertain:
			return false
		case errors.Is(err, platform.ErrUnavailable):
		default:
			require.NoError(t, err)
		}
	}
	t.Skip("no attempt had a known outcome")
	return false
}

// Guards against jobs and cancellations that the leader misses because the entry that
// recorded them did not notify it.
func TestInboxReturnsRecordsOfEntries(t *testing.T) {
	store := newFakeStore()
	w := beginTerm(store, 1)
	_, revision, _, err := w.Load(t.Context())
	require.NoError(t, err)
	jobs := New(store)
	_, _, err = jobs.Create(t.Context(), definition("a"), 1)
	require.NoError(t, err)
	c, err := jobs.Cancel(t.Context(), "a", w.Fence(), time.Time{}, nil)
	require.NoError(t, err)
	in, err := w.Inbox(t.Context(), revision)
	require.NoError(t, err)
	require.Len(t, in.Jobs, 1)
	require.Equal(t, []CancelRecord{{ID: "a", Revision: c.Revision}}, in.Cancels)
	again, err := w.Inbox(t.Context(), in.Revision)
	require.NoError(t, err)
	require.Empty(t, again.Jobs)
}

// Guards against a record that cannot be decoded and makes the load of all jobs fail.
func TestLoadSkipsUnreadableRecords(t *testing.T) {
	store := newFakeStore()
	_, err := store.apply(platform.Txn{Puts: []platform.Put{{Key: jobKey("bad"), Value: []byte{0xc1}}}})
	require.NoError(t, err)
	_, _, err = New(store).Create(t.Context(), definition("good"), 1)
	require.NoError(t, err)
	loaded, _, unreadable, err := beginTerm(store, 1).Load(t.Context())
	require.NoError(t, err)
	require.Len(t, loaded, 1)
	require.Equal(t, []string{jobKey("bad")}, unreadable)
}
