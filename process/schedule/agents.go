package schedule

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/process/metrics"
	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/request/placement"
)

// agentState is an attached agent with its worker.
type agentState struct {
	id            string
	address       string
	location      message.Location
	session       uint64
	sequence      uint64    // of the latest applied report of the session
	reportedAt    time.Time // when that report was applied
	worker        message.WorkerInfo
	workerKnownAt time.Time // when this instance of the worker was first reported
	// restartLeaseEnd is the time by which leases of this instance of the worker are known to have
	// ended that were not given to it under the leader's grant, but in calls to an earlier instance.
	restartLeaseEnd time.Time
	node            placement.Node
	runs            map[job.RunKey]*runState // runs that may be alive at the worker
	ends            []pendingEnd             // in the order of their serials
	durableSerial   uint64                   // serial up to which all ends are durable
	sentSerial      uint64                   // durableSerial as last sent to the agent
	pendingStarts   []*runState
	pendingStops    []job.RunKey
	pendingAdopted  []*runState // runs whose description has not been sent
	pausedUntil     time.Time   // before it nothing is placed here, after a refusal
	health          health
	summary         message.Summary // as last reported; Agent is empty before the first one
	tailSamples     map[job.RunKey]tailSample
	// fillLoad is nil after a change of what it depends on; fillVersion counts its values.
	fillLoad    *fillLoad
	fillVersion uint64
}

// pendingEnd is a reported end that is acknowledged once the version of the job is durable.
type pendingEnd struct {
	serial  uint64
	job     *jobState // nil for an unknown job; the end needs no record then
	version uint64
}

// ApplyReport applies a report of an agent. The reply grants a lease of Config.Lease, or
// asks for a full report if this one is not of the agent's current session and cannot
// begin a new one. An agent that begins one accepts no grant of an earlier term any more, so
// it must have seen this term. A report that arrives after a later one of its session changes
// nothing, and its reply grants no lease, nor does that of a closed table. The lease of a missing
// agent that has come back, and of one with runs that the store does not contain, is pending until
// the store contains the agent: the next leader would not wait for it.
func (t *Table) ApplyReport(now time.Time, r *message.Report) message.ReportReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	reply := message.ReportReply{Term: t.cfg.Term}
	if t.closed {
		return reply
	}
	a := t.agents[r.Agent]
	if a == nil || a.session != r.Session {
		behind := r.Term != 0 && r.Term < t.cfg.Term // the reply tells the agent the term
		if !r.Full || behind || (a != nil && a.session > r.Session) {
			reply.NeedFull = true
			return reply
		}
		a = t.attach(a, r)
	} else if r.Sequence <= a.sequence {
		return reply // duplicate, or overtaken by a later report
	}
	a.sequence = r.Sequence
	a.reportedAt = now
	if r.Worker != nil {
		t.updateWorker(now, a, r.Worker)
	}
	if r.Summary != nil {
		t.applySummary(a, r.Summary)
	}
	t.pairings.Merge(r.Pairings)
	if r.Full {
		t.createAllStarted(now, r)
	}
	for i := range r.Running {
		t.applyRunState(now, a, &r.Running[i], r.Full)
	}
	t.observeTails(now, a, r.Running)
	listed := listedRuns(r)
	for i := range r.Ends {
		t.recordEnd(now, a, &r.Ends[i], listed[r.Ends[i].Key])
	}
	for i := range r.Refused {
		t.applyRefusal(now, a, &r.Refused[i])
	}
	if r.Full && !r.MoreEnds {
		t.reconcile(now, a, listed)
		t.resolveStarts(now, a.id)
		delete(t.unconfirmedAgents, a.id)
		t.requeueRestored(now)
	}
	a.advanceDurableSerial()
	reply.Recorded, a.sentSerial = a.durableSerial, a.durableSerial
	if t.withheld[a.id] || !t.registered[a.id] && len(a.runs) > 0 {
		reply.LeasePending = true
		return reply
	}
	reply.LeaseMs = t.cfg.Lease.Milliseconds()
	return reply
}

// createAllStarted calls createStarted for all runs and ends of a report.
func (t *Table) createAllStarted(now time.Time, r *message.Report) {
	for i := range r.Running {
		t.createStarted(now, r.Running[i].Key.Task)
	}
	for i := range r.Ends {
		t.createStarted(now, r.Ends[i].Key.Task)
	}
}

// ReachableAgents returns the number of agents that have missed fewer than
// maxMissedReports reports, and of all agents that are attached or belong to the
// earlier terms and may still have runs.
func (t *Table) ReachableAgents(now time.Time) (reachable, known int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range t.agents {
		if now.Sub(a.reportedAt) < maxMissedReports*t.cfg.ReportInterval {
			reachable++
		}
	}
	known = len(t.agents)
	for id := range t.unconfirmedAgents {
		if t.agents[id] == nil {
			known++
		}
	}
	return reachable, known
}

// HasJobs reports whether the table contains the jobs of all runs and ends in a report.
func (t *Table) HasJobs(r *message.Report) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range r.Running {
		if t.jobs[r.Running[i].Key.Task.Job] == nil {
			return false
		}
	}
	for i := range r.Ends {
		if t.jobs[r.Ends[i].Key.Task.Job] == nil {
			return false
		}
	}
	return true
}

// attach begins a session. old is the agent's state of its previous session, or nil. Its
// runs stay until reconcile compares them with the full report; its unsent orders are
// dropped.
func (t *Table) attach(old *agentState, r *message.Report) *agentState {
	a := old
	if a == nil {
		a = &agentState{id: r.Agent, runs: map[job.RunKey]*runState{}, tailSamples: map[job.RunKey]tailSample{}}
		t.agents[r.Agent] = a
		t.sortAgents()
	}
	a.address, a.location, a.session = r.Address, r.Location, r.Session
	a.sequence, a.ends, a.durableSerial, a.sentSerial = 0, nil, 0, 0
	a.pendingStarts, a.pendingStops, a.pendingAdopted = nil, nil, nil
	t.cfg.Log.Emit(event.AgentJoined, "agent", a.id, "session", a.session, "address", a.address)
	return a
}

// updateWorker stores the reported state of a worker. A restart resets its health.
func (t *Table) updateWorker(now time.Time, a *agentState, w *message.WorkerInfo) {
	if w.StartedMs != a.worker.StartedMs || a.workerKnownAt.IsZero() {
		a.workerKnownAt = now
		a.restartLeaseEnd = SafeLeaseEnd(now.Add(t.cfg.MaxWorkerLease), t.cfg.MaxWorkerLease)
		t.setHealth(a, health{})
	}
	a.worker = *w
	t.noteDeparture(now, a)
	t.needsPass = true
	a.node.Service, a.node.Labels, a.node.Rack = w.Service, w.Labels, w.Rack
	a.node.Region, a.node.Domain, a.node.Capacity = a.location.Region, a.location.Domain, w.Capacity
	a.fillLoad = nil
	if a.summary.Agent == "" {
		t.capacities.Add(w.Capacity)
	}
}

// schedulable reports whether new runs may be ordered at an agent now.
func (t *Table) schedulable(now time.Time, a *agentState) bool {
	return t.available(now, a) && !now.Before(a.pausedUntil)
}

// available reports whether new runs may be ordered at an agent, at the latest after a pause that
// follows a refusal.
func (t *Table) available(now time.Time, a *agentState) bool {
	return a.worker.Reachable && !a.worker.Draining && t.registered[a.id] && !t.evacuated[a.location.Domain] &&
		now.Sub(a.reportedAt) < maxMissedReports*t.cfg.ReportInterval
}

// maxMissedReports is the number of missed reports after which an agent gets no new
// runs.
const maxMissedReports = 3

// listedRuns returns the runs that a full report lists, or nil.
func listedRuns(r *message.Report) map[job.RunKey]bool {
	if !r.Full {
		return nil
	}
	listed := make(map[job.RunKey]bool, len(r.Running))
	for i := range r.Running {
		listed[r.Running[i].Key] = true
	}
	return listed
}

// reconcile removes the runs of an agent that its full report does not list, and
// requeues their tasks: those runs never started there and never will.
func (t *Table) reconcile(now time.Time, a *agentState, listed map[job.RunKey]bool) {
	for key, run := range a.runs {
		if listed[key] {
			continue
		}
		t.release(run)
		if !run.orphaned {
			t.requeue(now, run.task)
		}
	}
}

// expireSession removes an agent whose lease is known to have expired, and its runs, which
// have therefore ended, except those that may still begin. Their tasks are requeued; for those
// exceptions, see unresolvedStart.
func (t *Table) expireSession(now time.Time, a *agentState) {
	unconfirmed := 0
	for _, run := range a.runs {
		if run.confirmedAt.IsZero() {
			unconfirmed++
		}
	}
	t.cfg.Log.Emit(event.AgentSessionExpired, "agent", a.id, "session", a.session, "tasks", len(a.runs), "unconfirmed", unconfirmed,
		"age_ms", now.Sub(a.reportedAt).Milliseconds(), "worker_age_ms", now.Sub(a.workerKnownAt).Milliseconds(),
		"source", string(t.termConfirmedBy))
	t.cfg.Meter.Add(metrics.LeasesExpired, 1)
	grantEnd := t.safeGrantEnd(a)
	for _, run := range a.runs {
		t.measureEnd(now, run, job.EndLeaseExpired)
		if run.mayBeginLate() {
			t.release(run)
			t.holdUnresolved(run.task, a.id, run.number, grantEnd)
			continue
		}
		t.recordExpiry(run.task, run.number)
		t.release(run)
		if !run.orphaned {
			if !run.confirmedAt.IsZero() {
				t.recordEviction(now, run.task, run.number, job.CauseLease)
			}
			t.requeue(now, run.task)
		}
	}
	t.setHealth(a, health{})
	delete(t.agents, a.id)
	delete(t.departing.agents, a)
	delete(t.changedSummaries, a.id)
	t.removedAgents = append(t.removedAgents, a.id)
	t.sortAgents()
}

func (t *Table) sortAgents() {
	t.sortedAgents = slices.SortedFunc(maps.Values(t.agents), func(a, b *agentState) int { return cmp.Compare(a.id, b.id) })
	clear(t.fillCostCache)
	t.needsPass = true
}

// task returns nil if the job is not in the table or the occurrence has not been created.
func (t *Table) task(id job.TaskID) *taskState {
	j := t.jobs[id.Job]
	if j == nil || id.Occurrence < 0 || id.Occurrence >= len(j.occurrences) {
		return nil
	}
	o := j.occurrences[id.Occurrence]
	if id.Step < 0 || id.Step >= len(o.steps) || id.Index < 0 || id.Index >= len(o.steps[id.Step].tasks) {
		return nil
	}
	return &o.steps[id.Step].tasks[id.Index]
}

// advanceDurableSerial moves durableSerial up to the last end before the first one whose
// job is not durable.
func (a *agentState) advanceDurableSerial() {
	n := 0
	for _, e := range a.ends {
		if e.job != nil && e.job.durableVersion < e.version {
			break
		}
		a.durableSerial = e.serial
		n++
	}
	a.ends = a.ends[n:]
}
