package lead

import (
	"context"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/connection/peer"
	"camphorhead.example/camphorhead/request/job"
)

func taskCount(d *job.Definition) int {
	n := 0
	for i := range d.Steps {
		n += d.Steps[i].Count
	}
	return n * d.OccurrenceCount()
}

// followerConns returns the open connections of the followers and removes the closed ones.
func (l *leaderTerm) followerConns() []*peer.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	conns := make([]*peer.Conn, 0, len(l.mu.followers))
	for c := range l.mu.followers {
		if c.Closed() {
			delete(l.mu.followers, c)
			continue
		}
		conns = append(conns, c)
	}
	return conns
}

// sendUpdates passes the changes of the table to this entry and its followers; a heartbeat is
// sent even without changes. During another call it does nothing: a later one sends them.
func (l *leaderTerm) sendUpdates(heartbeat bool) {
	if !l.sendingUpdates.CompareAndSwap(false, true) {
		return
	}
	defer l.sendingUpdates.Store(false)
	jobs, waiting := l.table.Updates()
	agents, removed := l.table.AgentUpdates()
	backlog, backlogChanged := l.table.Backlog(l.node.cfg.Clock.Now())
	if len(jobs) == 0 && len(waiting) == 0 && len(agents) == 0 && len(removed) == 0 && !backlogChanged && !heartbeat {
		return
	}
	l.node.states.apply(jobs, waiting)
	l.node.notifyAgentsChanged(agents, removed, false)
	update := l.newUpdate()
	update.Jobs, update.Waiting, update.Agents, update.RemovedAgents = jobs, waiting, agents, removed
	if backlogChanged || heartbeat {
		update.Backlog = l.withRevision(backlog)
		l.node.admissions.applyBacklog(update.Backlog)
	}
	conns := l.followerConns()
	if heartbeat {
		update.Entries, update.Stamp, update.Evacuated = l.entryList(), l.stamp(), l.table.Evacuated()
		l.mu.Lock()
		l.mu.lastUpdate = l.node.cfg.Clock.Now()
		l.mu.Unlock()
	}
	for _, c := range conns {
		_ = c.Notify(message.KindUpdate, &update) // a follower that lost its connection follows again
	}
}

// withRevision returns the delays with the newest revision of the store that this leader has seen; nil
// stays nil.
func (l *leaderTerm) withRevision(b *message.Backlog) *message.Backlog {
	if b == nil {
		return nil
	}
	return &message.Backlog{Delays: b.Delays, Revision: l.storeRevision()}
}

// storeRevision returns the newest revision of the store that this leader has seen.
func (l *leaderTerm) storeRevision() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(l.mu.heartbeatRevision, l.mu.inboxRevision)
}

func (l *leaderTerm) newUpdate() message.Update {
	return message.Update{
		Term: l.number, Heartbeat: l.heartbeat.Load(), Degraded: l.degraded.Load(), Loading: !l.loaded.Load(),
		Config: l.node.cfg.ConfigState(), EarlierLeader: l.earlierLeaderMayAct(l.node.cfg.Clock.Now()), StoreRevision: l.storeRevision(),
	}
}

// entryList returns this entry and its followers, except those that are draining.
func (l *leaderTerm) entryList() []message.EntryInfo {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []message.EntryInfo
	if !l.node.draining.Load() {
		list = append(list, l.node.cfg.Self())
	}
	for c, f := range l.mu.followers {
		if !c.Closed() && !f.Draining {
			list = append(list, f.Entry)
		}
	}
	return list
}

// addFollower registers a follower and sends it the whole state. One that is draining gets
// updates but is no candidate for the next term.
func (l *leaderTerm) addFollower(conn *peer.Conn, f message.Follow) {
	jobs, waiting := l.table.Snapshot()
	l.mu.Lock()
	l.mu.followers[conn] = &follower{Follow: f, receivedAt: l.node.cfg.Clock.Now()}
	l.mu.entriesVersion++
	l.mu.Unlock()
	update := l.newUpdate()
	update.Stamp, update.Evacuated = l.stamp(), l.table.Evacuated()
	update.Jobs, update.Waiting = jobs, waiting
	update.Backlog = l.withRevision(l.table.PublishedBacklog())
	update.Agents, update.AllAgents, update.Entries = l.table.AgentSummaries(), true, l.entryList()
	_ = conn.Notify(message.KindUpdate, &update)
}

// ensureJobs loads the inbox if a full report names a job that is not in the table: the end of
// an unloaded job would be acknowledged and lost. It is false if the inbox cannot be read, or if it
// has shown that this term is over: the leader of the newer one needs the end.
func (l *leaderTerm) ensureJobs(ctx context.Context, r *message.Report) bool {
	if !r.Full || l.table.HasJobs(r) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, l.node.cfg.Timing.CallTimeout)
	defer cancel()
	return l.pollInbox(ctx) == nil && l.node.ownTerm.Load() == l
}

// applyReport applies an agent's report; orders of a session go out over the connection over
// which the table has accepted its latest report. The reply grants no lease before the jobs are
// loaded, while this process resigns because it is isolated, or when the leader's own right to
// grant leases has expired.
func (l *leaderTerm) applyReport(ctx context.Context, conn *peer.Conn, r *message.Report) message.ReportReply {
	if !l.loaded.Load() || l.resigning.Load() || !l.ensureJobs(ctx, r) {
		return message.ReportReply{Term: l.number}
	}
	reply, sendEntries := l.acceptReport(conn, r)
	if reply.LeaseMs == 0 && !reply.LeasePending {
		return reply
	}
	reply.ConfigVersion = l.node.cfg.ConfigState().Version
	if sendEntries {
		for _, info := range l.entryList() {
			reply.Entries = append(reply.Entries, info.Address)
		}
	}
	return reply
}

// acceptReport passes a report to the table and, if the table accepts it, records its session and
// connection. Both happen under the lock: a report of an earlier session, which may arrive late,
// must not redirect orders to a connection that the agent has given up, and orders of a session
// that has just begun must find its connection. sendEntries is set if the reply is to list the
// entries.
func (l *leaderTerm) acceptReport(conn *peer.Conn, r *message.Report) (reply message.ReportReply, sendEntries bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.node.cfg.Clock.Now()
	if !now.Before(l.mu.validUntil) {
		return message.ReportReply{Term: l.number}, false
	}
	if s := l.mu.sessions[r.Agent]; s.number == r.Session && s.conn != conn {
		// Orders that were written to the other connection may be lost.
		return message.ReportReply{Term: l.number, NeedFull: true}, false
	}
	reply = l.table.ApplyReport(now, r)
	if reply.LeaseMs == 0 && !reply.LeasePending {
		return reply, false
	}
	l.mu.sessions[r.Agent] = agentSession{number: r.Session, conn: conn}
	sendEntries = r.Full || l.mu.entriesSent[r.Agent] != l.mu.entriesVersion
	l.mu.entriesSent[r.Agent] = l.mu.entriesVersion
	reply.Isolated = l.isolated.Load()
	return reply, sendEntries
}

func (n *Node) notifyAgentsChanged(changed []message.Summary, removed []string, all bool) {
	if n.cfg.OnAgentsChanged != nil && (len(changed) > 0 || len(removed) > 0 || all) {
		n.cfg.OnAgentsChanged(changed, removed, all)
	}
}
