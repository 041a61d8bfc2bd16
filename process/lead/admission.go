package lead

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/process/lockrank"
	"camphorhead.example/camphorhead/process/metrics"
	"camphorhead.example/camphorhead/process/schedule"
	"camphorhead.example/camphorhead/request/admission"
	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/request/outcome"
)

// admissions holds what this entry needs to refuse jobs by the leader's delays. It exists as long as
// the process.
type admissions struct {
	clock clockwork.Clock

	mu         lockrank.Mutex // guards the fields below
	delays     map[string]time.Duration
	receivedAt time.Time // of delays; zero: never
	profiles   map[string]*profileAdmission
	revision   uint64 // of the store, as in message.Backlog
	expiredAt  time.Time
}

// profileAdmission is the state of the decisions on the jobs of one profile.
type profileAdmission struct {
	admittedAt       time.Time
	refusedObjective time.Duration // as in admission.JobInput
}

const (
	expireInterval = time.Second // between two removals of unused profiles
	maxProfileAge  = time.Minute // how long a profile without accepted jobs is kept
)

func newAdmissions(clock clockwork.Clock) *admissions {
	return &admissions{
		clock: clock, mu: lockrank.NewMutex(lockrank.RankRecords), profiles: map[string]*profileAdmission{},
	}
}

// applyBacklog replaces the delays; nil leaves them as they are. It ignores invalid ones.
func (a *admissions) applyBacklog(b *message.Backlog) {
	if b == nil {
		return
	}
	delays := map[string]time.Duration{}
	for _, d := range b.Delays[:min(len(b.Delays), admission.MaxDelays)] {
		if d.Profile != "" && d.DelayMs > 0 {
			delays[d.Profile] = time.Duration(min(d.DelayMs, admission.MaxDelay.Milliseconds())) * time.Millisecond
		}
	}
	now := a.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.delays, a.receivedAt, a.revision = delays, now, max(a.revision, b.Revision)
}

// decide decides on a job that this entry does not know. entries is the number of entries in use.
func (a *admissions) decide(def *job.Definition, objective time.Duration, entries int) admission.Decision {
	now := a.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if objective <= 0 || a.receivedAt.IsZero() {
		return admission.Decision{Action: admission.Admit}
	}
	p := a.profiles[def.Profile]
	if p == nil {
		p = &profileAdmission{}
		a.profiles[def.Profile] = p
	}
	var d admission.Decision
	d, p.refusedObjective = admission.Job(admission.JobInput{
		ID: def.ID, Objective: objective, Delay: a.delays[def.Profile], DelayAge: now.Sub(a.receivedAt),
		RefusedObjective: p.refusedObjective, SinceAdmitted: now.Sub(p.admittedAt), Entries: entries,
	})
	if d.Action == admission.Admit {
		p.admittedAt = now
	}
	return d
}

// knownRevision returns the newest revision of the store that this entry knows to be reached.
func (a *admissions) knownRevision() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.revision
}

func (a *admissions) observeRevision(revision uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.revision = max(a.revision, revision)
}

// expire removes what is no longer needed. The node calls it with each tick.
func (a *admissions) expire(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Sub(a.expiredAt) < expireInterval {
		return
	}
	a.expiredAt = now
	for name, p := range a.profiles {
		if now.Sub(p.admittedAt) >= maxProfileAge {
			delete(a.profiles, name)
		}
	}
}

// admit decides on a submitted job and returns an error if the job is refused. It refuses only a job
// whose key it has taken by a refusal record: an earlier submission, here or at another entry, may have
// been recorded, or may be recorded late.
func (n *Node) admit(ctx context.Context, def *job.Definition) error {
	if n.isKnown(def.ID) {
		return nil
	}
	d := n.admissions.decide(def, n.refusableObjective(def), n.entryCount())
	if d.Action == admission.Admit || !n.recordRefusal(ctx, def.ID) {
		return nil
	}
	return n.refused(def, d.Err)
}

// refused reports a refused job and returns its error.
func (n *Node) refused(def *job.Definition, err *outcome.Error) error {
	n.cfg.Metrics.AddFor(metrics.JobsHopeless, def.Profile, 1)
	n.cfg.Log.Emit(event.JobRefused, "job", def.ID, "kind", err.Kind, "profile", def.Profile, "franchisee", franchiseeOf(def),
		"reason", err.Message, "ran", outcome.RanNo)
	return err
}

// entryCount returns the number of entries in use, with this one.
func (n *Node) entryCount() int {
	count, self := 1, n.cfg.Self().ID
	for _, info := range n.Entries() {
		if info.ID != self {
			count++
		}
	}
	return count
}

// refusableObjective returns the objective of a job, or 0 if the job must not be refused because of a
// delay: its work is urgent, has a time of its own, or does not end.
func (n *Node) refusableObjective(def *job.Definition) time.Duration {
	if n.cfg.Profile == nil || def.Occurrences != 0 || def.FirstMs != 0 || def.Request != nil && def.Request.Urgent {
		return 0
	}
	for i := range def.Steps {
		if def.Steps[i].LongRunning {
			return 0
		}
	}
	p, ok := n.cfg.Profile(def.Profile)
	if !ok {
		return 0
	}
	return schedule.Objective(p, def)
}

// isKnown reports whether this entry knows a job without the store.
func (n *Node) isKnown(id string) bool {
	if _, known := n.states.get(id); known {
		return true
	}
	if l := n.loadedTerm(); l != nil {
		_, known := l.table.State(id)
		return known
	}
	return false
}

// recordRefusal records the refusal of a job and reports whether it is in the store. If not, recording
// the job repeats the call if that is of use, and the store decides.
func (n *Node) recordRefusal(ctx context.Context, id string) bool {
	if n.breaker.open() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, n.cfg.Timing.CallTimeout)
	defer cancel()
	revision, refused, err := n.jobs.Refuse(ctx, id, n.cfg.Clock.Now())
	n.breaker.record(err)
	if err != nil || !refused {
		return false
	}
	n.admissions.observeRevision(revision)
	return true
}
