package lead

import (
	"context"
	"errors"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/process/jobstore"
	"camphorhead.example/camphorhead/process/metrics"
	"camphorhead.example/camphorhead/process/platform"
)

// readInbox polls the inbox without a time limit: after an outage, or a lost history, there may be
// any number of records. A failed poll is retried at the next interval.
func (l *leaderTerm) readInbox(ctx context.Context) { _ = l.pollInbox(ctx) }

// pollInbox applies the jobs and cancellations that were recorded since the previous poll.
func (l *leaderTerm) pollInbox(ctx context.Context) error {
	l.mu.Lock()
	after := l.mu.inboxRevision
	began := l.node.cfg.Clock.Now()
	l.mu.inboxReadAt = began
	l.mu.Unlock()
	in, err := l.writer.Inbox(ctx, after)
	if errors.Is(err, platform.ErrCompacted) {
		in, err = l.reloadInbox(ctx)
	}
	if err != nil {
		l.node.cfg.Metrics.Add(metrics.InboxReadsFailed, 1)
		return err
	}
	l.logUnreadable(in.Unreadable)
	for i := range in.Jobs {
		l.accept(&in.Jobs[i], "store")
	}
	for _, c := range in.Cancels {
		l.cancel(c.ID, c.Revision, "store")
	}
	l.mu.Lock()
	l.mu.inboxRevision = max(l.mu.inboxRevision, in.Revision)
	l.mu.Unlock()
	l.recordInboxRead(began)
	l.updateCancellationsKnown(l.node.cfg.Clock.Now())
	l.dispatch()
	return nil
}

// maxUnreadableLogged bounds the log lines for the records found in one read of the store:
// another writer may leave any number of them, once per second or more often.
const maxUnreadableLogged = 10

func (l *leaderTerm) logUnreadable(keys []string) {
	for _, key := range keys[:min(len(keys), maxUnreadableLogged)] {
		l.node.cfg.Log.Emit(event.RecordUnreadable, "subject", key)
	}
}

// reloadInbox reads the whole inbox, for when the store has no history since the previous poll.
func (l *leaderTerm) reloadInbox(ctx context.Context) (jobstore.Inbox, error) {
	jobs, revision, unreadable, err := l.writer.LoadInbox(ctx)
	if err != nil {
		return jobstore.Inbox{}, err
	}
	in := jobstore.Inbox{Revision: revision, Unreadable: unreadable}
	for _, j := range jobs {
		if j.Ended() {
			continue
		}
		in.Jobs = append(in.Jobs, j.StoredJob) // accept finds out which are cancelled
	}
	return in, nil
}

// accept adds a recorded job to the table. source is "caller", "entry" or "store". A job that
// was accepted in a newer term shows that this term is over.
func (l *leaderTerm) accept(s *jobstore.StoredJob, source string) {
	if s.Term > l.number {
		l.node.stepDown(l, "a job was accepted in a newer term")
		return
	}
	newer := l.writer.RecordJobRevision(s.Definition.ID, s.Revision)
	if l.table.Accept(l.node.cfg.Clock.Now(), s.Definition, s.Term, newer) {
		l.node.cfg.Log.Emit(event.JobQueued, "job", s.Definition.ID, "profile", s.Definition.Profile,
			"tasks", taskCount(s.Definition), "source", source)
		if l.writer.Cancelled(s.Definition.ID) {
			l.applyCancel(s.Definition.ID, source) // the cancellation has overtaken the job
		}
	}
}

// cancel applies a cancellation that the store contains with a revision; source as for accept. One of an
// earlier job under the ID changes nothing.
func (l *leaderTerm) cancel(id string, revision uint64, source string) {
	if l.writer.RecordCancellation(id, revision) {
		l.applyCancel(id, source)
	}
}

// cancelNoticed applies a cancellation of which an entry has notified this leader.
func (l *leaderTerm) cancelNoticed(c *message.JobRef, source string) {
	if c.Revision == 0 {
		l.applyCancel(c.Job, source)
		return
	}
	l.cancel(c.Job, c.Revision, source)
}

func (l *leaderTerm) applyCancel(id, source string) {
	if l.table.Cancel(l.node.cfg.Clock.Now(), id) {
		l.node.cfg.Log.Emit(event.JobCancelRequested, "job", id, "source", source)
	}
}
