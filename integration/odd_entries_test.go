package integration

import (
	"bytes"
	"context"
	"fmt"
	"math"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"github.com/vmihailenco/msgpack/v5"

	"camphorhead.example/camphorhead/connection/message"
	adapter "camphorhead.example/camphorhead/platform"
	"camphorhead.example/camphorhead/process/jobstore"
	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/process/term"
	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/standin/caller"
	"camphorhead.example/standin/worker"
)

// Guards against entries of another writer, in the store and among the announcements of the
// workers, that end the processes which read them or make them stop following the others.
func TestOddEntriesOfAnotherWriter(t *testing.T) {
	t.Parallel()
	d := deployPlatform(t)
	steps := oneStep(1)
	steps[0].LongRunning = true
	lasting := d.submit(0, caller.Job{Input: bodyWithDuration(time.Hour, "lasting"), Steps: steps})
	d.awaitJob("a long-running job runs", lasting)
	d.announceOddly()
	d.putOddValues("in/job/", "run/")
	d.awaitTasks("tasks go on beside odd announcements and jobs")
	d.putOddValues("leader/")
	d.awaitTasks("tasks go on after odd values under the leader's keys")
	d.announceOddly()
	for _, e := range d.entries {
		e.exitExpected.Store(true)
		e.signal(t, syscall.SIGKILL)
	}
	d.putOddValues("leader/", "in/job/")
	for _, e := range d.entries {
		d.eventually(recoveryTimeout, "the entry has ended", func() bool { return !e.alive() })
		d.startCore(e)
	}
	d.awaitTasks("tasks go on after a restart beside odd values")
	d.awaitJob("the long-running job runs", lasting)
	d.verify()
}

func (d *platformDeployment) awaitTasks(what string) {
	for entry := range d.entries {
		d.awaitJob(what, d.submit(entry, caller.Job{Input: bodyWithDuration(10*time.Millisecond, "work"), Steps: oneStep(10)}))
	}
}

// announceOddly sends odd announcements in the name of each worker and of others.
func (d *platformDeployment) announceOddly() {
	for _, h := range d.hosts {
		for _, id := range []string{h.config.Name, "i-other"} {
			for _, body := range worker.OddAnnouncements(service) {
				status, err := worker.SendAnnouncement(h.config.Registry, id, body, readyTimeout)
				require.NoError(d.t, err)
				require.Equal(d.t, fasthttp.StatusBadRequest, status, "%.200s", body)
			}
		}
	}
}

// putOddValues writes odd values under the keys of the core with these prefixes, but not under
// leader/agents, after which a leader waits for the leases of maxStoreOutage.
func (d *platformDeployment) putOddValues(prefixes ...string) {
	nested := append(append([]byte("\x81\xa1z"), bytes.Repeat([]byte{0x91}, 700_000)...), 0xc0)
	values := map[string][][]byte{
		"in/job/": {
			nested, []byte("odd entry"), []byte("\x81\xa1d\x81\xa1s\xdd\xff\xff\xff\xff"), []byte("\x81\xa1d\x81\xa2in\xc6\xff\xff\xff\xff"),
			d.encode(&jobstore.StoredJob{Definition: &job.Definition{ID: "0", Service: service, Steps: []job.Step{{Count: math.MaxInt64}}}}),
		},
		"run/":    {nested, []byte("\x81\xa1d\xdd\xff\xff\xff\xff")},
		"leader/": {nested, d.encode(&term.Record{Term: math.MaxUint64, Holder: message.EntryInfo{Address: "127.0.0.1:99999"}})},
	}
	store := adapter.NewStore(d.storeConfig.Store, d.callTimeout)
	for _, prefix := range prefixes {
		for i, value := range values[prefix] {
			key := fmt.Sprintf("%s%d", prefix, i)
			if prefix == "leader/" {
				key = []string{"leader/beat", "leader/term"}[i]
			}
			ctx, cancel := context.WithTimeout(d.t.Context(), readyTimeout)
			_, err := store.Commit(ctx, platform.Txn{Puts: []platform.Put{{Key: key, Value: value}}})
			cancel()
			require.NoError(d.t, err)
		}
	}
}

func (d *platformDeployment) encode(v any) []byte {
	value, err := msgpack.Marshal(v)
	require.NoError(d.t, err)
	return value
}
