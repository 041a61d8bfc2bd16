package lead

import (
	"time"

	"camphorhead.example/camphorhead/process/schedule"
)

// earlierLeases returns when the leases of the agents in the list that the store contained at the
// given time are known to have ended. previous is the term before the leader's own.
//
// Without the list, each leader of an earlier term may grant leases until Timing.Outage after the
// claim of the leader's own term. The list of an open table excludes that for the terms before it,
// that of a closed one for its own term too, and a withheld lease for the terms after it as well.
// A worker may have restarted under any of these leaders, and hold the longest lease from then on;
// the list names those of which its leader knew.
func earlierLeases(now time.Time, list *schedule.AgentLeases, previous uint64, t *Timing) map[string]schedule.EarlierLease {
	longestLease := max(t.Lease, t.MaxWorkerLease)
	longest := schedule.SafeLeaseEnd(now.Add(t.Outage+longestLease), longestLease)
	leases := make(map[string]schedule.EarlierLease, len(list.Agents))
	for _, a := range list.Agents {
		recorded := longest // without a time, which no leader writes here, or beyond the longest one
		if a.EndsInMs > 0 && a.EndsInMs < longest.Sub(now).Milliseconds() {
			recorded = now.Add(time.Duration(a.EndsInMs) * time.Millisecond)
		}
		lease := schedule.EarlierLease{End: longest, Earliest: longest, Withheld: a.Withheld}
		switch {
		case a.Withheld, list.Closed && list.Term == previous:
			lease.End, lease.Earliest = recorded, recorded
		case list.Term == previous && a.EndsInMs == 0:
			lease.Earliest = now // only the leader of the previous term may have granted more
		case list.Term == previous:
			lease.Earliest, lease.Missing = recorded, true // as above
		case list.Closed && list.Term+1 == previous:
			lease.Earliest = recorded // as above
		}
		if a.RestartEndsInMs > 0 {
			ms := min(a.RestartEndsInMs, longest.Sub(now).Milliseconds())
			restartEnd := now.Add(time.Duration(ms) * time.Millisecond)
			lease.End, lease.Earliest = latest(lease.End, restartEnd), latest(lease.Earliest, restartEnd)
		}
		leases[a.Agent] = lease
	}
	return leases
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
