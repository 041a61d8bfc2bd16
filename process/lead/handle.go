package lead

import (
	"context"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/connection/peer"
	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/process/jobstore"
	"camphorhead.example/camphorhead/process/term"
	"camphorhead.example/camphorhead/request/outcome"
)

// Handle serves a message of another entry or an agent. It returns false, and does
// nothing, for a kind of message that this package does not serve.
func (n *Node) Handle(ctx context.Context, r peer.Request) bool {
	switch r.Kind {
	case message.KindReport:
		serve(r, func(r peer.Request, report *message.Report) { n.handleReport(ctx, r, report) })
	case message.KindFollow:
		serve(r, n.handleFollow)
	case message.KindFollowing:
		serve(r, n.handleFollowing)
	case message.KindUpdate:
		serve(r, func(_ peer.Request, u *message.Update) { n.applyUpdate(u) })
	case message.KindSubmitted:
		serve(r, n.handleSubmitted)
	case message.KindCancelled:
		serve(r, n.handleCancelled)
	case message.KindAnnounce:
		serve(r, n.handleAnnounce)
	case message.KindFindLeader:
		serve(r, func(r peer.Request, _ *message.FindLeader) { r.Reply(n.Leader()) })
	case message.KindLookup:
		serve(r, n.handleLookup)
	default:
		return false
	}
	return true
}

// serve passes the decoded body of r to handle; r fails if its body cannot be decoded.
func serve[T any](r peer.Request, handle func(peer.Request, *T)) {
	var body T
	if err := r.Decode(&body); err != nil {
		r.Fail(err)
		return
	}
	handle(r, &body)
}

func (n *Node) handleReport(ctx context.Context, r peer.Request, report *message.Report) {
	l := n.ownTerm.Load()
	if l == nil {
		leader := n.Leader()
		r.Reply(message.ReportReply{Term: leader.Term, Leader: leader.Address})
		return
	}
	r.Reply(l.applyReport(ctx, r.Conn, report))
	l.dispatch()
	l.commit()
}

func (n *Node) handleFollow(r peer.Request, f *message.Follow) {
	claiming := n.claiming.Load() // before ownTerm is read, which is set before the claim ends
	l := n.ownTerm.Load()
	if l == nil {
		if newest := n.Leader().Term; claiming && f.Term > newest {
			r.Fail(outcome.New(outcome.NotOwner, "this entry may be about to begin the term"))
		} else {
			r.Reply(message.FollowReply{Term: newest})
		}
		return
	}
	// Before the reply, from which on the entry may claim the next term after a timeout, and acknowledges
	// cancellations as a follower.
	l.addCandidate(f)
	l.recordAcknowledger(&f.Entry)
	r.Reply(message.FollowReply{Term: l.number, Leading: true})
	n.mu.Lock()
	n.knownEntries[f.Entry.ID] = f.Entry
	n.mu.Unlock()
	l.recordFollower(f)
	l.addFollower(r.Conn, *f)
}

func (n *Node) handleFollowing(r peer.Request, f *message.Following) {
	if l := n.ownTerm.Load(); l != nil && l.number == f.Term {
		n.observeConfig(l.recordFollowing(r.Conn, f.Stamp), f.Config)
	}
}

func (n *Node) handleSubmitted(r peer.Request, s *message.Submitted) {
	l := n.loadedTerm()
	if l == nil || s.Definition == nil {
		return // the entry repeats the notice until a leader has accepted the job
	}
	if err := s.Definition.Validate(); err != nil {
		n.cfg.Log.Emit(event.MalformedFrame, "address", r.Conn.Remote().Address, "reason", err.Error())
		return // the record in the store, if there is a valid one, is read with the inbox
	}
	l.accept(storedJob(s), "entry")
	l.dispatch()
}

func storedJob(s *message.Submitted) *jobstore.StoredJob {
	return &jobstore.StoredJob{ID: s.Definition.ID, Definition: s.Definition, Term: s.Term, Revision: s.Revision}
}

func (n *Node) handleLookup(r peer.Request, j *message.JobRef) {
	l := n.loadedTerm()
	if l == nil {
		r.Fail(errNoLeader())
		return
	}
	r.Reply(message.LookupReply{Record: l.table.Record(j.Job)})
}

func (n *Node) handleCancelled(_ peer.Request, c *message.JobRef) {
	switch l := n.ownTerm.Load(); {
	case l == nil: // the entry repeats the notice
	case l.loaded.Load():
		l.cancelNoticed(c, "entry")
		l.dispatch()
	default:
		// The entry's next stamp tells that the notice has arrived, so it is kept until the jobs are loaded.
		n.keepNotice(cancelledKey(c.Job), message.KindCancelled, c)
	}
}

func (n *Node) handleAnnounce(_ peer.Request, a *message.Announce) {
	n.applyAnnouncement(term.View{Record: term.Record{Term: a.Term, Holder: a.Holder}, Revision: a.Revision})
}

// announce sends the term to all entries that this process has ever learned of.
func (l *leaderTerm) announce() {
	l.node.mu.Lock()
	var addresses []string
	for id, info := range l.node.knownEntries {
		if id != l.node.cfg.Self().ID {
			addresses = append(addresses, info.Address)
		}
	}
	view := l.node.elector.View()
	l.node.mu.Unlock()
	a := message.Announce{Term: view.Term, Holder: view.Holder, Revision: view.Revision}
	for _, address := range addresses {
		_ = l.node.storePool.Submit(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, l.node.cfg.Timing.CallTimeout)
			defer cancel()
			if conn, err := l.node.cfg.Net.Conn(ctx, address); err == nil {
				_ = conn.Notify(message.KindAnnounce, &a) // an entry that misses it reads the store
			}
		})
	}
}
