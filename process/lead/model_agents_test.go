package lead

import (
	"time"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/request/resources"
)

// linkMode is which processes a modelled agent reaches.
type linkMode int

const (
	linkNewest linkMode = iota // reports to the leader of the newest term
	linkOldest                 // reports to the oldest process that believes it leads
	linkCut                    // reaches nobody and begins a session when it is back
	linkPaused                 // reaches nobody and goes on in its session when it is back
)

// linkFault is what happens to the next message between an agent and its leader.
type linkFault int

const (
	linkWorks  linkFault = iota
	reportLost           // the next report
	reportLate           // arrives after the agent has given up waiting for the reply
	replyLost
	replyLate // arrives while the agent waits for it
	orderLost // with the connection
	orderLate
	oldTermNamed // the process that names the next leader knows an older term of it
)

// modelAgent is an agent with its worker, as far as leases and runs go: it follows the highest
// term that it has seen, counts a lease from the sending of the report, and ends all runs when
// the lease is over. It never restarts: a restarted agent forgets the highest term.
type modelAgent struct {
	id          string
	slowPercent int  // how much slower than the leaders' clocks the clock of its leases is
	older       bool // of a version that does not know LeasePending
	mode        linkMode
	fault       linkFault
	faultDelay  time.Duration // of a late message
	leader      *modelEntry   // whose process the session is with; nil: none
	node        *Node         // that process
	term        uint64        // highest seen
	session     uint64
	sequence    uint64
	full        bool // the next report is full
	reportedAt  time.Time
	grantedAt   time.Time // when the report was sent whose grant ends last
	leaseEnd    time.Time // by the true clock
	startedMs   int64     // of the worker instance
	// restartLeaseEnd is when the lease of a restarted worker ends that it holds by a call to the instance
	// before.
	restartLeaseEnd time.Time
	runs            map[job.RunKey]bool
	late            map[job.RunKey]lateRun // starts without a response
	begunLate       job.RunKey             // the latest of them that has begun
	ends            []message.RunEnd
	refused         []message.RunRefusal
	awaitsReply     bool // a late reply is on its way
	// countsFrom is when a leader last began to wait for the longest grant, later by the time
	// without a leader before terms that were handed over since.
	countsFrom time.Time
}

// waitCountsFrom returns from when on the longest wait of a leader for the agent counts.
func (a *modelAgent) waitCountsFrom() time.Time {
	if a.grantedAt.After(a.countsFrom) {
		return a.grantedAt
	}
	return a.countsFrom
}

// reportsTo reports whether the agent is in contact with the current process of an entry.
func (a *modelAgent) reportsTo(e *modelEntry) bool {
	return a.leader == e && a.node == e.node && a.mode != linkCut && a.mode != linkPaused
}

// alive reports whether a run of the agent may be alive at its worker.
func (a *modelAgent) alive(now time.Time, k job.RunKey) bool {
	return a.runs[k] && a.holdsLease(now)
}

// lateRun is a run whose start is executed after its agent has gone silent, by another instance of the
// worker, under the longest lease.
type lateRun struct{ begins, ends time.Time }

// resolveLate is what the agent learns from the worker about its starts without a response, before it
// reports again.
func (a *modelAgent) resolveLate(now time.Time) {
	for k, r := range a.late {
		delete(a.late, k)
		switch {
		case now.After(r.ends):
			a.ends = append(a.ends, message.RunEnd{Key: k, How: job.EndLeaseExpired})
		case now.Before(r.begins):
			a.runs[k] = true // by the instance for which the call was made
		default:
			for other := range a.runs {
				a.ends = append(a.ends, message.RunEnd{Key: other, How: job.EndLeaseExpired})
			}
			clear(a.runs)
			a.runs[k], a.begunLate, a.restartLeaseEnd = true, k, r.ends
			a.startedMs++
		}
	}
}

// holdsLease reports whether the worker may hold a lease.
func (a *modelAgent) holdsLease(now time.Time) bool {
	return !now.After(a.leaseEnd) || !now.After(a.restartLeaseEnd)
}

// expire ends the runs once the lease is over.
func (a *modelAgent) expire(now time.Time) {
	if a.holdsLease(now) {
		return
	}
	for k := range a.runs {
		a.ends = append(a.ends, message.RunEnd{Key: k, How: job.EndLeaseExpired})
	}
	clear(a.runs)
}

// follow begins a session with a leader of a term that is not below the highest seen.
func (a *modelAgent) follow(e *modelEntry, term uint64) {
	a.leader, a.node, a.term = e, e.node, term
	a.beginSession()
}

func (a *modelAgent) beginSession() {
	a.session++
	a.sequence, a.full = 0, true
}

// drop ends the session: the next one begins with a full report.
func (a *modelAgent) drop() { a.leader, a.node = nil, nil }

func (a *modelAgent) buildReport(now time.Time) *message.Report {
	a.sequence++
	a.reportedAt = now
	a.resolveLate(now)
	r := &message.Report{
		Agent: a.id, Session: a.session, Sequence: a.sequence, Term: a.term, Full: a.full, Ends: a.ends, Refused: a.refused,
		Worker: &message.WorkerInfo{
			ID: a.id, StartedMs: a.startedMs, Service: "s", Reachable: true, Capacity: resources.Resources{MilliCPU: 8000, MemoryMB: 8000},
		},
	}
	for k := range a.runs {
		r.Running = append(r.Running, message.RunState{Key: k, PacePct: 100})
	}
	a.full = false
	return r
}

// applyReply does what runs.leaderClient.applyReply does with the reply to a report.
func (a *modelAgent) applyReply(now, sent time.Time, r *message.Report, reply *message.ReportReply) {
	a.expire(now)
	if r.Session != a.session || reply.Term < a.term {
		a.drop()
		return
	}
	a.term = reply.Term
	switch {
	case reply.NeedFull:
		a.beginSession()
	case reply.LeaseMs == 0 && (a.older || !reply.LeasePending):
		a.drop()
	default:
		a.ends, a.refused = a.ends[len(r.Ends):], a.refused[len(r.Refused):]
		lease := time.Duration(reply.LeaseMs) * time.Millisecond
		if end := sent.Add(lease + lease*time.Duration(a.slowPercent)/100); reply.LeaseMs > 0 && end.After(a.leaseEnd) {
			a.grantedAt, a.leaseEnd = sent, end
		}
	}
}
