package lead

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/request/job"
)

// inboxStore is a memoryStore that returns the changes of keys.
type inboxStore struct{ *memoryStore }

func (s inboxStore) Changes(ctx context.Context, prefix string, after uint64, _ time.Duration) ([]platform.Change, uint64, error) {
	items, revision, err := s.List(ctx, prefix)
	var changes []platform.Change
	for _, kv := range items {
		if strings.HasPrefix(kv.Key, prefix) && kv.Revision > after {
			changes = append(changes, platform.Change{KV: kv})
		}
	}
	return changes, revision, err
}

// Guards against an end that a leader acknowledges although only the leader of a newer term knows
// the job: a restarted agent has forgotten that term and reports to the leader of the older one,
// which learns of the newer one while it reads the inbox for the report.
func TestEndOfAJobOfANewerTermIsNotAcknowledged(t *testing.T) {
	clock := clockwork.NewFakeClockAt(time.Now())
	store := inboxStore{newMemoryStore(t)}
	l := claimTerm(t, newProcess(t, "older", store, clock))
	newer := newProcess(t, "newer", store, clock)
	_, created, err := newer.jobs.Create(t.Context(), testJob("j"), claimTerm(t, newer).number)
	require.NoError(t, err)
	require.True(t, created)

	end := message.RunEnd{Key: job.RunKey{Task: job.TaskID{Job: "j"}, Run: 1}, How: job.EndDone, Serial: 1}
	reply := l.applyReport(t.Context(), nil, &message.Report{
		Agent: testAgent, Session: 1, Sequence: 1, Full: true, Worker: &message.WorkerInfo{ID: "w", Reachable: true}, Ends: []message.RunEnd{end},
	})
	require.Nil(t, l.node.loadedTerm(), "the older term is over")
	require.Zero(t, reply.Recorded, "the leader of the newer term does not know the end")
	require.Zero(t, reply.LeaseMs)
}
