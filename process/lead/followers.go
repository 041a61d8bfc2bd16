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
	return n * d.Runs()
}

func (l *leading) followerConns() []*peer.Conn {
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

// sendUpdates tells the followers what has changed; always says that they get
// an update in any case, as a sign of life.
func (l *leading) sendUpdates(always bool) {
	if !l.flushing.CompareAndSwap(false, true) {
		return
	}
	defer l.flushing.Store(false)
	jobs, waiting := l.table.Updates()
	agents, gone := l.table.Agents()
	if len(jobs) == 0 && len(waiting) == 0 && len(agents) == 0 && len(gone) == 0 && !always {
		return
	}
	l.node.states.apply(jobs, waiting)
	l.node.noteAgents(agents, gone, false)
	update := l.update()
	update.Jobs, update.Waiting, update.Agents, update.Gone = jobs, waiting, agents, gone
	conns := l.followerConns()
	if always {
		update.Entries = l.entryList()
		l.mu.Lock()
		l.mu.lastUpdate = l.node.cfg.Clock.Now()
		l.mu.Unlock()
	}
	for _, c := range conns {
		_ = c.Notify(message.KindUpdate, &update) // a lost follower follows again
	}
}

func (l *leading) update() message.Update {
	return message.Update{
		Term: l.number, Beat: l.beat.Load(), Trouble: l.trouble.Load(), Loading: !l.loaded.Load(),
		ConfigVersion: l.node.cfg.ConfigVersion(),
	}
}

func (l *leading) entryList() []message.EntryInfo {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []message.EntryInfo
	if !l.node.leaving.Load() {
		list = append(list, l.node.cfg.Self())
	}
	for c, f := range l.mu.followers {
		if !c.Closed() && !f.Leaving {
			list = append(list, f.Entry)
		}
	}
	return list
}

// addFollower sends a new follower everything.
func (l *leading) addFollower(conn *peer.Conn, f message.Follow) {
	jobs, waiting := l.table.Snapshot()
	l.mu.Lock()
	l.mu.followers[conn] = f
	l.mu.entriesVersion++
	if f.Leaving {
		delete(l.mu.others, f.Entry.ID)
	} else {
		l.mu.others[f.Entry.ID] = conn
	}
	l.mu.Unlock()
	update := l.update()
	update.Jobs, update.Waiting = jobs, waiting
	update.Agents, update.AllAgents, update.Entries = l.table.AllAgents(), true, l.entryList()
	_ = conn.Notify(message.KindUpdate, &update)
}

// knowsJobs makes sure that the table has every job that a full report names
// and that was accepted: an end of a job that is not known would be
// acknowledged and then forgotten.
func (l *leading) knowsJobs(ctx context.Context, r *message.Report) bool {
	if !r.Full || l.table.Knows(r) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, l.node.cfg.Timing.Call)
	defer cancel()
	return l.lookIntoInbox(ctx) == nil
}

// report takes in an agent's report. Orders go out over the same connection.
func (l *leading) report(ctx context.Context, conn *peer.Conn, r *message.Report) message.ReportReply {
	if !l.loaded.Load() || l.resigning.Load() || !l.knowsJobs(ctx, r) {
		return message.ReportReply{Term: l.number}
	}
	l.mu.Lock()
	valid := l.node.cfg.Clock.Now().Before(l.mu.validUntil)
	nameEntries := false
	if valid {
		l.mu.conns[r.Agent] = conn
		nameEntries = r.Full || l.mu.entriesTold[r.Agent] != l.mu.entriesVersion
		l.mu.entriesTold[r.Agent] = l.mu.entriesVersion
	}
	l.mu.Unlock()
	if !valid {
		return message.ReportReply{Term: l.number}
	}
	reply := l.table.Report(l.node.cfg.Clock.Now(), r)
	reply.ConfigVersion = l.node.cfg.ConfigVersion()
	if nameEntries {
		for _, info := range l.entryList() {
			reply.Entries = append(reply.Entries, info.Address)
		}
	}
	return reply
}

// noteAgents passes on what has become known of agents.
func (n *Node) noteAgents(changed []message.Summary, gone []string, all bool) {
	if n.cfg.Agents != nil && (len(changed) > 0 || len(gone) > 0 || all) {
		n.cfg.Agents(changed, gone, all)
	}
}
