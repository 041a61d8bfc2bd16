package integration

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/request/outcome"
)

// outage is longer than the registration of an entry and than a task lease.
const outage = 3*leaderSilence + taskLease

// Guards against an outage of the store that stops running tasks or checks,
// that lets a proof run which was refused as not run, or that service does not
// recover from.
func TestStoreDown(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	jobs, _ := d.startJobs()
	l := d.startLoad(0, 1)
	d.storeFault("down", "true")
	began := time.Now()
	var refused []call
	for i := 0; time.Since(began) < outage; i++ {
		d.awaitIdempotent(i%entryCount, 10)
		refused = append(refused, d.refusedProof(i%entryCount))
	}
	d.storeFault("down", "false")
	d.finishJobs(1, jobs)
	for entry := range d.entries {
		proof := d.accepted(entry, "batch-proof", 100*time.Millisecond)
		d.awaitState(entry, proof, job.Done, settleBound)
		d.awaitChecks(entry, 20, settleBound)
	}
	l.end()
	runs := d.verify().runs
	for _, c := range jobs {
		assert.Len(t, runs[c.Answer.ID], 1, "a running task was moved because the store was down")
	}
	for _, c := range refused {
		_, status := d.lookup(0, job.ID(c.Franchisee, c.Key), c.Franchisee, 0)
		assert.Equal(t, fasthttp.StatusNotFound, status, "a refused proof has a record")
	}
}

// awaitIdempotent requires that a number of checks that need no record are answered.
func (d *deployment) awaitIdempotent(entry, count int) {
	d.t.Helper()
	for range count {
		c := d.check(entry, call{Idempotent: true})
		require.Equal(d.t, fasthttp.StatusOK, c.Status, "checks need no store: %s", c.Raw)
	}
}

// refusedProof submits a proof that cannot be recorded.
func (d *deployment) refusedProof(entry int) call {
	d.t.Helper()
	c := d.submit(entry, "batch-proof", 100*time.Millisecond)
	require.NotEqual(d.t, fasthttp.StatusAccepted, c.Status, "accepted without a record")
	require.Equal(d.t, "no", c.Answer.Ran, "%s", c.Raw)
	require.Less(d.t, c.End.Sub(c.Begin), batchDeadline+callTimeout, "answered after its deadline: %s", c.Raw)
	return c
}

// Guards against a store that takes calls without an answer for longer than
// the registration: checks and running tasks go on, and a proof that is told as
// not run never runs, although the store applies held calls later.
func TestStoreHangs(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	jobs, _ := d.startJobs()
	l := d.startLoad(0, 1)
	d.storeFault("hang", "true")
	began := time.Now()
	for i := 0; time.Since(began) < outage; i++ {
		d.awaitIdempotent(i%entryCount, 10)
		c := d.submit(i%entryCount, "batch-proof", 100*time.Millisecond)
		require.NotEqual(t, fasthttp.StatusAccepted, c.Status, "accepted without a record")
		require.Less(t, c.End.Sub(c.Begin), batchDeadline+callTimeout, "answered after its deadline: %s", c.Raw)
	}
	d.storeFault("hang", "false")
	d.finishJobs(0, jobs)
	for entry := range d.entries {
		d.awaitState(entry, d.accepted(entry, "batch-proof", 100*time.Millisecond), job.Done, settleBound)
	}
	l.end()
	runs := d.verify().runs
	for _, c := range jobs {
		assert.Len(t, runs[c.Answer.ID], 1, "a running task was moved because the store did not answer")
	}
}

// Guards against work that is accepted twice, or whose repeated key does not
// find the first outcome, when the store loses answers of writes that took effect.
func TestStoreAnswersLost(t *testing.T) {
	t.Parallel()
	d := deploy(t)
	var proofs, charged []call
	for i := range 12 {
		entry := i % entryCount
		d.loseAnswers(3)
		proofs = append(proofs, d.submit(entry, "batch-proof", 100*time.Millisecond))
		d.loseAnswers(3)
		charged = append(charged, d.check(entry, call{}))
	}
	d.loseAnswers(0)
	for _, c := range proofs {
		again := d.repeat(c)
		require.Equal(t, fasthttp.StatusAccepted, again.Status, "%s", again.Raw)
		d.awaitState(0, c, job.Done, settleBound)
	}
	for _, c := range charged {
		d.sameOutcome(c)
	}
	h := d.verify()
	for _, c := range proofs {
		assert.Len(t, h.runs[job.ID(c.Franchisee, c.Key)], 1)
	}
	assert.True(t, d.entries[0].logged("answer") || d.entries[1].logged("answer"), "no answer was lost")
}

// repeat sends a request again through the other entry until its shard is served.
func (d *deployment) repeat(c call) call {
	d.t.Helper()
	var again call
	d.eventually(settleBound, "a repeated key is answered", func() bool {
		again = d.again((c.Entry+1)%entryCount, c)
		return again.Answer.Kind != string(outcome.NotOwner) && again.Answer.Kind != string(outcome.StoreUnavailable)
	})
	return again
}

// sameOutcome repeats a charged check and requires the first answer. A first
// answer that left the outcome open, or said that nothing ran, allows another.
func (d *deployment) sameOutcome(c call) {
	d.t.Helper()
	again := d.repeat(c)
	if c.Status == fasthttp.StatusOK {
		require.Equal(d.t, fasthttp.StatusOK, again.Status, "first %s\nrepeated %s", c.Raw, again.Raw)
		require.JSONEq(d.t, string(c.Raw), string(again.Raw))
	}
	third := d.repeat(again)
	if again.Status == fasthttp.StatusOK {
		require.JSONEq(d.t, string(again.Raw), string(third.Raw))
	}
	require.True(d.t, again.Status == fasthttp.StatusOK || json.Valid(again.Raw), "%s", again.Raw)
}
