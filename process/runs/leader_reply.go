package runs

import (
	"context"
	"slices"
	"time"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/process/metrics"
)

// applyReply applies the reply to a report; the leader's grant counts from its time of sending.
func (l *leaderClient) applyReply(sent time.Time, address string, r *message.Report, reply *message.ReportReply) {
	l.mu.Lock()
	stale := r.Session != l.session || reply.Term < l.term
	accepted := reply.LeaseMs > 0 || reply.LeasePending
	if !stale && accepted && r.Summary != nil {
		l.acceptedSummary = r.Summary
	}
	if !stale {
		l.leasePending = reply.LeasePending
		l.term = reply.Term
		l.updateEntries(reply.Entries)
	}
	leader := message.Leader{Term: reply.Term, Address: reply.Leader}
	l.mu.Unlock()
	switch {
	case stale:
		l.dropLeader(address, "the reply belongs to an earlier session or term")
	case reply.NeedFull:
		l.renewSession("the leader has no record of the session")
	case !accepted && leader.Address != "" && leader.Address != address:
		l.dropLeader(address, "the process does not lead")
		l.followLeader(leader, "answer", address)
	case !accepted:
		l.dropLeader(address, "the process does not lead")
	default:
		l.node.markRecorded(reply.Recorded, r.Session)
		if !reply.LeasePending {
			l.node.extendGrant(sent.Add(time.Duration(reply.LeaseMs) * time.Millisecond))
		}
		l.reportAccepted(address, r, reply)
		if reply.Isolated {
			l.startSearch(l.queryEntries)
		}
	}
}

// updateEntries replaces the entries to query by those that the leader names, if any, and the
// seeds: a leader whose term has just begun may know no other entry yet. The caller holds mu.
func (l *leaderClient) updateEntries(named []string) {
	if len(named) == 0 {
		return
	}
	l.entries = slices.Clone(named)
	for _, seed := range l.node.cfg.Seeds {
		if !slices.Contains(named, seed) {
			l.entries = append(l.entries, seed)
		}
	}
}

// reportAccepted handles accepted pairings and a newer configuration version in the reply.
func (l *leaderClient) reportAccepted(leader string, r *message.Report, reply *message.ReportReply) {
	cfg := &l.node.cfg
	if cfg.OnPairingsAccepted != nil && len(r.Pairings) > 0 {
		cfg.OnPairingsAccepted(r.Pairings)
	}
	if cfg.OnNewerConfig == nil || reply.ConfigVersion <= cfg.ConfigVersion() {
		return
	}
	if err := cfg.Pool.Submit(func(ctx context.Context) { cfg.OnNewerConfig(ctx, leader) }); err != nil {
		cfg.Metrics.Add(metrics.ConfigPullsRefused, 1) // the reply to the next report triggers it again
	}
}
