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
	// minLookupPause and maxLookupPause bound the pauses of a waiting lookup.
	minLookupPause = 20 * time.Millisecond
	maxLookupPause = 500 * time.Millisecond
)

func errNoLeader() *outcome.Error {
	return outcome.New(outcome.NotOwner, "no entry leads the jobs yet")
}

// Lookup returns the record of a job with a request; nil if there is no such
// job. It waits up to wait for the job's end. The wait is the caller's: it holds
// no worker of a pool.
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

// record asks the leader for a record, or else the store.
func (n *Node) record(ctx context.Context, id string, state job.State) (*job.Record, error) {
	if r := n.leadersRecord(ctx, id); r != nil {
		return r, nil
	}
	var stored jobstore.Stored
	found := false
	err := n.persist(ctx, func(ctx context.Context) error {
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
	// The leader is not reached; what this entry last heard is the best answer.
	r := stored.Definition.Record()
	r.State = state
	return &r, nil
}

// leadersRecord returns what the leader knows of a job; nil if that is nothing.
func (n *Node) leadersRecord(ctx context.Context, id string) *job.Record {
	if l := n.leadingLoaded(); l != nil {
		return l.table.Record(id)
	}
	n.mu.Lock()
	address := ""
	if n.follow != nil {
		address = n.follow.address
	}
	n.mu.Unlock()
	if address == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, n.cfg.Timing.Call)
	defer cancel()
	var reply message.LookupReply
	if n.cfg.Net.Call(ctx, address, message.KindLookup, &message.JobRef{Job: id}, &reply) != nil {
		n.cfg.Metrics.Add(metrics.LookupsWithoutLeader, 1)
		return nil
	}
	return reply.Record
}
