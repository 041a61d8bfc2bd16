package lead

import (
	"context"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/connection/peer"
	"camphorhead.example/camphorhead/process/jobstore"
	"camphorhead.example/camphorhead/process/term"
)

// Handle serves a message of another entry or an agent. It reports false for a
// kind that is not the node's.
func (n *Node) Handle(ctx context.Context, r peer.Request) bool {
	switch r.Kind {
	case message.KindReport:
		serve(r, func(r peer.Request, report *message.Report) { n.handleReport(ctx, r, report) })
	case message.KindFollow:
		serve(r, n.handleFollow)
	case message.KindUpdate:
		serve(r, func(_ peer.Request, u *message.Update) { n.update(u) })
	case message.KindSubmitted:
		serve(r, n.handleSubmitted)
	case message.KindCancelled:
		serve(r, n.handleCancelled)
	case message.KindAnnounce:
		serve(r, n.handleAnnounce)
	case message.KindWhoLeads:
		serve(r, func(r peer.Request, _ *message.WhoLeads) { r.Reply(n.Leader()) })
	case message.KindLookup:
		serve(r, n.handleLookup)
	default:
		return false
	}
	return true
}

// serve decodes a message; one that cannot be decoded is answered as such.
func serve[T any](r peer.Request, handle func(peer.Request, *T)) {
	var body T
	if err := r.Decode(&body); err != nil {
		r.Fail(err)
		return
	}
	handle(r, &body)
}

func (n *Node) handleReport(ctx context.Context, r peer.Request, report *message.Report) {
	l := n.leading.Load()
	if l == nil {
		leader := n.Leader()
		r.Reply(message.ReportReply{Term: leader.Term, Leader: leader.Address})
		return
	}
	r.Reply(l.report(ctx, r.Conn, report))
	l.dispatch()
	l.commit()
}

func (n *Node) handleFollow(r peer.Request, f *message.Follow) {
	l := n.leading.Load()
	if l == nil {
		r.Reply(message.FollowReply{Term: n.Leader().Term})
		return
	}
	r.Reply(message.FollowReply{Term: l.number, Leading: true})
	n.mu.Lock()
	n.entries[f.Entry.ID] = f.Entry
	n.mu.Unlock()
	if l.mu.previous.Holder.ID == f.Entry.ID {
		l.previousEnded()
	}
	l.addFollower(r.Conn, *f)
}

func (n *Node) handleSubmitted(_ peer.Request, s *message.Submitted) {
	l := n.leadingLoaded()
	if l == nil || s.Definition == nil {
		return // the entry repeats it to the leader
	}
	l.accept(storedOf(s), "entry")
	l.dispatch()
}

func storedOf(s *message.Submitted) *jobstore.Stored {
	return &jobstore.Stored{ID: s.Definition.ID, Definition: s.Definition, Term: s.Term, Revision: s.Revision}
}

func (n *Node) handleLookup(r peer.Request, j *message.JobRef) {
	l := n.leadingLoaded()
	if l == nil {
		r.Fail(errNoLeader())
		return
	}
	r.Reply(message.LookupReply{Record: l.table.Record(j.Job)})
}

func (n *Node) handleCancelled(_ peer.Request, c *message.JobRef) {
	if l := n.leadingLoaded(); l != nil {
		l.cancel(c.Job, "entry")
		l.dispatch()
	}
}

func (n *Node) handleAnnounce(_ peer.Request, a *message.Announce) {
	n.announced(term.View{Record: term.Record{Term: a.Term, Holder: a.Holder}, Revision: a.Revision})
}

// announce tells the entries that this process knows of its term.
func (l *leading) announce() {
	l.node.mu.Lock()
	var addresses []string
	for id, info := range l.node.entries {
		if id != l.node.cfg.Self().ID {
			addresses = append(addresses, info.Address)
		}
	}
	view := l.node.watch.View()
	l.node.mu.Unlock()
	a := message.Announce{Term: view.Term, Holder: view.Holder, Revision: view.Revision}
	for _, address := range addresses {
		_ = l.node.storePool.Submit(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, l.node.cfg.Timing.Call)
			defer cancel()
			if conn, err := l.node.cfg.Net.Conn(ctx, address); err == nil {
				_ = conn.Notify(message.KindAnnounce, &a) // an entry that misses it asks the store
			}
		})
	}
}
