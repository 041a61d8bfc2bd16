package lead

import (
	"context"
	"errors"

	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/process/jobstore"
	"camphorhead.example/camphorhead/process/metrics"
	"camphorhead.example/camphorhead/process/platform"
)

// readInbox takes in jobs and cancellings whose entry did not tell of them.
func (l *leading) readInbox(ctx context.Context) { _ = l.lookIntoInbox(ctx) }

func (l *leading) lookIntoInbox(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, l.node.cfg.Timing.Call)
	defer cancel()
	l.mu.Lock()
	after := l.mu.inboxRev
	l.mu.inboxAt = l.node.cfg.Clock.Now()
	l.mu.Unlock()
	in, err := l.writer.Inbox(ctx, after)
	if errors.Is(err, platform.ErrCompacted) {
		in, err = l.reload(ctx)
	}
	if err != nil {
		l.node.cfg.Metrics.Add(metrics.InboxReadsFailed, 1)
		return err
	}
	for i := range in.Jobs {
		l.accept(&in.Jobs[i], "store")
	}
	for _, id := range in.Cancels {
		l.cancel(id, "store")
	}
	l.mu.Lock()
	l.mu.inboxRev = max(l.mu.inboxRev, in.Revision)
	l.mu.Unlock()
	l.dispatch()
	return nil
}

// reload reads everything that entries wrote, for a history that is gone.
func (l *leading) reload(ctx context.Context) (jobstore.Inbox, error) {
	jobs, revision, _, err := l.writer.LoadInbox(ctx)
	if err != nil {
		return jobstore.Inbox{}, err
	}
	in := jobstore.Inbox{Revision: revision}
	for _, j := range jobs {
		if j.Ended() {
			continue
		}
		in.Jobs = append(in.Jobs, j.Stored)
		if j.Cancelled {
			in.Cancels = append(in.Cancels, j.Definition.ID)
		}
	}
	return in, nil
}

// accept enters a recorded job. source says who told of it. A job that was
// accepted in a newer term shows that this one is over.
func (l *leading) accept(s *jobstore.Stored, source string) {
	if s.Term > l.number {
		l.node.stepDown(l, "a job was accepted in a newer term")
		return
	}
	newer := l.writer.NoteJob(s.Definition.ID, s.Revision)
	if l.table.Accept(l.node.cfg.Clock.Now(), s.Definition, s.Term, newer) {
		l.node.cfg.Log.Emit(event.JobQueued, "job", s.Definition.ID, "profile", s.Definition.Profile,
			"tasks", taskCount(s.Definition), "source", source)
	}
}

func (l *leading) cancel(id, source string) {
	l.writer.NoteCancel(id)
	if l.table.Cancel(l.node.cfg.Clock.Now(), id) {
		l.node.cfg.Log.Emit(event.JobCancelWanted, "job", id, "source", source)
	}
}
