package lead

import (
	"context"
	"errors"

	"golang.org/x/time/rate"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/process/jobstore"
	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/process/term"
	"camphorhead.example/camphorhead/request/outcome"
)

const (
	// unknownCancelsPerSecond bounds the cancellations of jobs that are not recorded, of all entries
	// together: each leaves a refusal record. It is half of what maxRefusalPurges deletes, so that the
	// records that are kept are at most unknownCancelsPerSecond in the time for which one is kept, and the
	// bursts. The jobs that users hand in, of which few are cancelled before they are recorded, are 8 to 25
	// a second.
	unknownCancelsPerSecond = 30
	unknownCancelBurst      = 20 // of one entry
	unknownCancelRetry      = 2  // Retry-After of one beyond the limit, in seconds
	// maxStaleTerms bounds the attempts of one cancellation that meet a term of which this entry did not know.
	maxStaleTerms = 3
)

// Cancel records the cancellation of a job and notifies the leader. It returns when the record is durable
// and no leader can miss it. A job in a final state is left as it is. known is false if there is no such job,
// and none will be created by a submission that arrived before: the store may still execute its create. The
// error is an *outcome.Error; if it is of kind NoLeader, the cancellation is recorded, and if of kind
// Overloaded, nothing is.
func (n *Node) Cancel(ctx context.Context, id string) (known bool, err error) {
	if n.hasEnded(id) {
		return true, nil
	}
	var c jobstore.Cancellation
	uncertain := false
	err = n.callStore(ctx, func(ctx context.Context) error {
		var err error
		c, err = n.recordCancellation(ctx, id)
		uncertain = uncertain || errors.Is(err, platform.ErrUncertain)
		return err
	})
	if err == nil {
		known, err = c.Found, n.applyCancellation(ctx, id, &c)
	} else if refusal := (*outcome.Error)(nil); !errors.As(err, &refusal) {
		err = storeFailure(err, uncertain)
	}
	if err != nil {
		n.cfg.Log.Emit(event.CancelRefused, "job", id, "reason", outcome.From(err).Kind)
	}
	return known, err
}

// recordCancellation records a cancellation while this entry knows the newest term.
func (n *Node) recordCancellation(ctx context.Context, id string) (c jobstore.Cancellation, err error) {
	for range maxStaleTerms {
		n.mu.Lock()
		newest := jobstore.Fence{Key: term.Key, Revision: n.elector.View().Revision}
		n.mu.Unlock()
		c, err = n.jobs.Cancel(ctx, id, newest, n.cfg.Clock.Now(), n.admitUnknownCancel)
		if !errors.Is(err, jobstore.ErrFenced) {
			return c, err
		}
		n.readTerm(ctx)
	}
	return jobstore.Cancellation{}, platform.ErrUnavailable
}

// Exclude records that a job which does not exist was cancelled: no submission that arrived before creates
// it. excluded is false if the job exists. The errors are those of Cancel.
func (n *Node) Exclude(ctx context.Context, id string) (excluded bool, err error) {
	if err := n.admitUnknownCancel(); err != nil {
		return false, err
	}
	var revision uint64
	uncertain := false
	err = n.callStore(ctx, func(ctx context.Context) error {
		var err error
		revision, excluded, err = n.jobs.Refuse(ctx, id, n.cfg.Clock.Now())
		uncertain = uncertain || errors.Is(err, platform.ErrUncertain)
		return err
	})
	if err != nil {
		return false, storeFailure(err, uncertain)
	}
	if excluded {
		n.admissions.observeRevision(revision)
		n.cfg.Log.Emit(event.UnknownJobCancelled, "job", id)
	}
	return excluded, nil
}

// hasEnded reports whether this entry knows that a job has ended.
func (n *Node) hasEnded(id string) bool {
	if state, known := n.states.get(id); known {
		return state.Terminal()
	}
	if l := n.loadedTerm(); l != nil {
		state, known := l.table.State(id)
		return known && state.Terminal()
	}
	return false
}

// applyCancellation passes a recorded cancellation on to the leader.
func (n *Node) applyCancellation(ctx context.Context, id string, c *jobstore.Cancellation) error {
	switch {
	case !c.Found:
		n.admissions.observeRevision(c.Revision)
		n.cfg.Log.Emit(event.UnknownJobCancelled, "job", id)
		return nil
	case c.Revision == 0:
		n.forward(&c.Job) // it has ended
		return nil
	case !n.isKnown(id):
		n.forward(&c.Job) // the leader may have no record of it either
	}
	n.cfg.Log.Emit(event.JobCancelRequested, "job", id, "source", "caller")
	if l := n.loadedTerm(); l != nil {
		l.cancel(id, c.Revision, "caller")
		l.dispatch()
	} else {
		n.notifyLeader(cancelledKey(id), message.KindCancelled, &message.JobRef{Job: id, Revision: c.Revision})
	}
	return n.awaitInformed(ctx)
}

// admitUnknownCancel takes the cancellation of a job that is not recorded from this entry's share of
// unknownCancelsPerSecond.
func (n *Node) admitUnknownCancel() error {
	now := n.cfg.Clock.Now()
	n.unknownCancels.SetLimitAt(now, rate.Limit(unknownCancelsPerSecond)/rate.Limit(n.entryCount()))
	if n.unknownCancels.AllowN(now, 1) {
		return nil
	}
	err := outcome.New(outcome.Overloaded, "too many cancellations of jobs that are not recorded; nothing was recorded, repeat the request")
	err.RetryAfterSeconds = unknownCancelRetry
	return err
}
