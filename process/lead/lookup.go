package lead

import (
	"context"
	"time"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/process/jobstore"
	"camphorhead.example/camphorhead/process/metrics"
	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/request/outcome"
)

const (
	// Bounds of the pause between two polls of a waiting lookup; it doubles with each poll.
	minLookupPause = 20 * time.Millisecond
	maxLookupPause = 500 * time.Millisecond
)

func errNoLeader() *outcome.Error {
	return outcome.New(outcome.NotOwner, "this entry does not lead or has not loaded the jobs yet")
}

// Lookup returns the record of a job with a request; nil if there is no such job. It waits
// up to wait for the job to end, on the caller's goroutine: it occupies no worker of a pool.
// The errors are those of State.
func (n *Node) Lookup(ctx context.Context, id string, wait time.Duration) (*job.Record, error) {
	end := n.cfg.Clock.Now().Add(wait)
	pause := minLookupPause
	for {
		state, known, err := n.State(ctx, id)
		if err != nil || !known {
			return nil, err
		}
		left := end.Sub(n.cfg.Clock.Now())
		if state.Terminal() || left <= 0 {
			return n.record(ctx, id, state)
		}
		select {
		case <-ctx.Done():
			return n.record(ctx, id, state)
		case <-n.cfg.Clock.After(min(pause, left)):
		}
		pause = min(2*pause, maxLookupPause)
	}
}

// record returns the leader's record of a job, or else the one in the store, with the given
// state if it has not ended there; nil if there is none or the job has no request.
func (n *Node) record(ctx context.Context, id string, state job.State) (*job.Record, error) {
	if r := n.leadersRecord(ctx, id); r != nil {
		return r, nil
	}
	var stored jobstore.StoredJob
	found := false
	err := n.callStore(ctx, func(ctx context.Context) error {
		var err error
		stored, found, err = n.jobs.Lookup(ctx, id)
		return err
	})
	switch {
	case err != nil:
		return nil, storeFailure(err, false)
	case !found:
		return nil, nil
	case stored.Ended():
		return stored.Record, nil
	case stored.Definition.Request == nil:
		return nil, nil
	}
	// The leader does not respond: the last state received from it is the best available.
	r := stored.Definition.Record()
	r.State = state
	return &r, nil
}

// leadersRecord returns nil if the leader has no record of the job or does not respond.
func (n *Node) leadersRecord(ctx context.Context, id string) *job.Record {
	if l := n.loadedTerm(); l != nil {
		return l.table.Record(id)
	}
	n.mu.Lock()
	address := ""
	if n.leader != nil {
		address = n.leader.address
	}
	n.mu.Unlock()
	if address == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, n.cfg.Timing.CallTimeout)
	defer cancel()
	var reply message.LookupReply
	if n.cfg.Net.Call(ctx, address, message.KindLookup, &message.JobRef{Job: id}, &reply) != nil {
		n.cfg.Metrics.Add(metrics.LookupsWithoutLeader, 1)
		return nil
	}
	return reply.Record
}
