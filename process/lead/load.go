package lead

import (
	"context"
	"time"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/process/jobstore"
	"camphorhead.example/camphorhead/process/schedule"
)

const reasonFollows = "the holder of the previous term follows"

// load reads the jobs and the list of agents from the store into the table. Tasks of
// earlier terms wait until their agents have reported or the agents' leases have expired.
// It takes as long as the records need: a leader that gave up after a fixed time would
// never lead where they are many.
func (l *leaderTerm) load(ctx context.Context) error {
	model := l.beginModelRead()
	began := l.node.cfg.Clock.Now()
	jobs, revision, unreadable, err := l.writer.Load(ctx)
	if err != nil {
		return err
	}
	l.logUnreadable(unreadable)
	kv, err := l.node.cfg.Store.Read(ctx, agentsKey)
	if err != nil {
		return err
	}
	var list schedule.AgentLeases
	if kv.Revision != 0 {
		if list, err = decodeAgentLeases(kv.Value); err != nil {
			l.node.cfg.Log.Emit(event.RecordUnreadable, "subject", agentsKey)
			list.Agents = []schedule.AgentLease{{Agent: unknownAgents}}
		}
	}
	if err := l.applyEvacuations(ctx); err != nil {
		return err
	}
	l.mu.Lock() // heartbeats, which are sent meanwhile, read both
	l.mu.inboxRevision, l.mu.agentsRevision = revision, kv.Revision
	l.mu.Unlock()
	unfinished, ended := jobstore.ConvertLoaded(jobs)
	l.importModel(model)
	now := l.node.cfg.Clock.Now()
	leases := earlierLeases(now, &list, l.number-1, &l.node.cfg.Timing)
	l.table.Restore(now, unfinished, leases)
	l.table.RestoreUnresolved(now, list.Unresolved)
	l.table.RestoreEnded(ended)
	l.recordInboxRead(began)
	wait, reason := longestWait(now, leases), "earlier leaders may still grant leases"
	switch {
	case list.Closed && list.Term == l.number-1:
		reason = "the previous leader has handed over"
	case l.mu.previous.Holder.ID == l.node.cfg.Self().ID:
		// The previous leader was a process of this entry and grants nothing any more.
		reason = "this entry held the previous term"
		l.shortenLeases(reason)
	case l.previousEnded.Load():
		l.shortenLeases(reasonFollows) // the follower came before its agents were in the table
	}
	load := l.table.Load()
	l.node.cfg.Log.Emit(event.TermBegun, "term", l.number, "jobs", load.Jobs, "unproven", load.UnconfirmedAgents,
		"wait_ms", wait.Milliseconds(), "reason", reason)
	return nil
}

// longestWait returns the time until the last of the leases has ended.
func longestWait(now time.Time, leases map[string]schedule.EarlierLease) time.Duration {
	longest := time.Duration(0)
	for _, lease := range leases {
		longest = max(longest, lease.End.Sub(now))
	}
	return longest
}

// recordFollower shortens the wait for agents of earlier terms if the follower held the
// previous one and knows this one: it grants no leases any more.
func (l *leaderTerm) recordFollower(f *message.Follow) {
	if f.Entry.ID != l.mu.previous.Holder.ID || f.Term < l.number {
		return
	}
	l.previousEnded.Store(true)
	l.shortenLeases(reasonFollows)
}

// shortenLeases shortens the wait for agents of earlier terms, as the leader of the previous term
// grants no leases any more: its leases end at most Timing.Lease from now. Those of workers that
// had restarted, which the list in the store names, may end later.
func (l *leaderTerm) shortenLeases(reason string) {
	now := l.node.cfg.Clock.Now()
	until := schedule.SafeLeaseEnd(now.Add(l.node.cfg.Timing.Lease), l.node.cfg.Timing.Lease)
	if l.table.LimitEarlierLeases(until) {
		l.node.cfg.Log.Emit(event.EarlierLeasesLimited, "term", l.number, "wait_ms", until.Sub(now).Milliseconds(),
			"reason", reason)
	}
}
