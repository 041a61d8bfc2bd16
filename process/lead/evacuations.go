package lead

import (
	"context"
	"slices"

	"camphorhead.example/camphorhead/process/metrics"
)

// applyEvacuations reads the evacuations and puts them in force. After an error those that were
// read before stay in force.
func (l *leaderTerm) applyEvacuations(ctx context.Context) error {
	if l.node.cfg.Evacuations == nil {
		return nil
	}
	l.mu.Lock()
	l.mu.evacuationsReadAt = l.node.cfg.Clock.Now()
	l.mu.Unlock()
	domains, err := l.node.cfg.Evacuations(ctx)
	if err != nil {
		return err
	}
	l.table.SetEvacuated(l.node.cfg.Clock.Now(), domains)
	return nil
}

// readEvacuations is applyEvacuations with a time limit, for the ticker.
func (l *leaderTerm) readEvacuations(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, l.node.cfg.Timing.CallTimeout)
	defer cancel()
	if l.applyEvacuations(ctx) != nil {
		l.node.cfg.Metrics.Add(metrics.StoreReadsFailed, 1) // the next tick after evacuationInterval reads again
		return
	}
	l.dispatch()
}

// Evacuated reports whether the leader that this entry follows, or is, orders no runs at the
// workers of a failure domain.
func (n *Node) Evacuated(domain string) bool {
	if l := n.loadedTerm(); l != nil {
		return slices.Contains(l.table.Evacuated(), domain)
	}
	list := n.evacuated.Load()
	return list != nil && n.LeaderReady() && slices.Contains(*list, domain)
}
