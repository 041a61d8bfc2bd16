// Package ledger is an agent's account of its worker: the capacity of the worker, the
// reservations of its tasks, and the use of the services beside it.
//
// The agent is the only authority over its worker, and the ledger is the only place where
// it admits work. The allocatable resources are the worker's capacity less the reserve for
// checks. Each task is charged, and no admission makes the sum of the charges exceed the
// allocatable resources:
//
//   - memory and accelerators: the larger of the declared value and the
//     estimate plus its margin, so that admissions keep the sum of the declared
//     values within the allocatable resources too;
//   - processors: the estimate plus its margin, but at least
//     CPUFloorPercent of the declared value; the declared value while there is
//     no estimate. Declared processors may exceed the allocatable ones only as
//     far as estimates show that they are not used.
//
// A charge that grows later may exceed them; no task is then admitted until the sum fits
// again. No task is admitted before Open.
package ledger

import (
	"fmt"
	"sort"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/zeebo/errs"

	"camphorhead.example/camphorhead/process/lockrank"
	"camphorhead.example/camphorhead/request/outcome"
	"camphorhead.example/camphorhead/request/resources"
)

// ErrReserved is returned by Reserve for an incarnation that has a reservation already. The
// caller replies to a repeated start like to the first one, and must not start a second run.
var ErrReserved = errs.New("ledger: incarnation already has a reservation")

const (
	// defaultTombstoneAge is far longer than a start message can be delayed: a
	// task lease, including all retries.
	defaultTombstoneAge    = 15 * time.Minute
	defaultCPUFloorPercent = 100
)

type Config struct {
	Clock clockwork.Clock
	// Reserve is the part of the capacity that is reserved for checks.
	Reserve resources.Resources
	// CPUFloorPercent is the share of the declared processors, in percent, that is
	// charged even if the estimate is lower; 100, the default for 0, forbids overcommit.
	CPUFloorPercent int64
	// TombstoneAge is how long a tombstone is kept; 0 means defaultTombstoneAge.
	TombstoneAge time.Duration
}

// Task is one task with a reservation.
type Task struct {
	Job         string
	Incarnation uint32
	Declared    resources.Resources
	// Estimated is false until there is an estimate; Use and Margin are unset until then.
	Estimated bool
	Use       resources.Resources
	Margin    resources.Resources
	Since     time.Time // when the task was admitted or adopted
}

// Ledger is the account of one worker. All methods may be called from any goroutine. They
// take only the ledger's mutex and do no I/O.
type Ledger struct {
	cfg Config

	mu         lockrank.Mutex // guards the fields below
	ready      bool
	capacity   resources.Resources
	charged    resources.Resources // sum of the charges of tasks
	tasks      map[string]*Task    // by job
	tombstones tombstones
	services   map[string]*Service
}

// New returns a ledger that admits nothing until Open.
func New(cfg Config) *Ledger {
	if cfg.CPUFloorPercent <= 0 {
		cfg.CPUFloorPercent = defaultCPUFloorPercent
	}
	if cfg.TombstoneAge <= 0 {
		cfg.TombstoneAge = defaultTombstoneAge
	}
	return &Ledger{
		cfg:        cfg,
		mu:         lockrank.NewMutex(lockrank.RankLedger),
		tasks:      map[string]*Task{},
		tombstones: tombstones{byJob: map[string]tombstone{}, retention: cfg.TombstoneAge},
		services:   map[string]*Service{},
	}
}

// Open adopts all tasks of the worker's first status, sets the capacity and enables
// admissions, atomically. Further calls only set the capacity; tasks stay charged even if they
// no longer fit.
func (l *Ledger) Open(capacity resources.Resources, tasks []Task) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.capacity = capacity
	if l.ready {
		return
	}
	for _, t := range tasks {
		l.adopt(t)
	}
	l.ready = true
}

// Ready reports whether Open has been called.
func (l *Ledger) Ready() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ready
}

// SetReserve changes the part of the capacity that is reserved for checks.
func (l *Ledger) SetReserve(reserve resources.Resources) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cfg.Reserve = reserve
}

// Adopt charges a task that the worker runs, whether or not it fits. It replaces another
// incarnation of the job, because the worker's listing is authoritative.
func (l *Ledger) Adopt(t Task) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.adopt(t)
}

// AdoptRun is Adopt for a task without an estimate.
func (l *Ledger) AdoptRun(job string, incarnation uint32, declared resources.Resources) {
	l.Adopt(Task{Job: job, Incarnation: incarnation, Declared: declared})
}

func (l *Ledger) adopt(t Task) {
	if t.Since.IsZero() {
		t.Since = l.cfg.Clock.Now()
	}
	if old, ok := l.tasks[t.Job]; ok {
		l.charged = l.charged.Sub(l.charge(old))
	}
	l.tasks[t.Job] = &t
	l.charged = l.charged.Add(l.charge(&t))
}

// Reserve admits one incarnation of a job, charged by its declared resources. The error is
// ErrReserved or of kind NoCapacity, NeverFits, StaleIncarnation or Tombstoned; then the
// call has reserved nothing.
func (l *Ledger) Reserve(job string, incarnation uint32, declared resources.Resources) error {
	return l.admit(Task{Job: job, Incarnation: incarnation, Declared: declared})
}

// ReserveEstimated is Reserve for a task whose use is estimated from earlier tasks of its
// profile and franchisee.
func (l *Ledger) ReserveEstimated(job string, incarnation uint32, declared, use, margin resources.Resources) error {
	return l.admit(Task{Job: job, Incarnation: incarnation, Declared: declared, Estimated: true, Use: use, Margin: margin})
}

func (l *Ledger) admit(t Task) error {
	t.Since = l.cfg.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.ready {
		return outcome.New(outcome.NoCapacity, "worker status has not been read yet")
	}
	if err := l.checkIncarnation(&t); err != nil {
		return err
	}
	allocatable := l.allocatable()
	if t.Declared.IsNegative() || !t.Declared.Fits(allocatable) {
		return outcome.New(outcome.NeverFits, fmt.Sprintf("declared resources %+v are negative or exceed the worker's capacity less the reserve for checks, %+v", t.Declared, allocatable))
	}
	charged := l.charged.Add(l.charge(&t))
	if !charged.Fits(allocatable) {
		return outcome.New(outcome.NoCapacity, "worker has no free capacity for the task")
	}
	l.tasks[t.Job] = &t
	l.charged = charged
	return nil
}

// checkIncarnation returns the error for an incarnation that must not start on this worker,
// whatever capacity is free. The caller holds mu.
func (l *Ledger) checkIncarnation(t *Task) error {
	if l.tombstones.covers(t.Job, t.Incarnation, t.Since) {
		return outcome.New(outcome.Tombstoned, fmt.Sprintf("incarnation %d of job %s has a tombstone", t.Incarnation, t.Job))
	}
	reserved, ok := l.tasks[t.Job]
	switch {
	case !ok:
		return nil
	case reserved.Incarnation > t.Incarnation:
		return outcome.New(outcome.StaleIncarnation, fmt.Sprintf("later incarnation %d of job %s has a reservation", reserved.Incarnation, t.Job))
	case reserved.Incarnation == t.Incarnation:
		return ErrReserved
	}
	return outcome.New(outcome.NoCapacity, fmt.Sprintf("earlier incarnation %d of job %s has not ended yet", reserved.Incarnation, t.Job))
}

// Release ends the reservation of an incarnation and adds a tombstone, so that a delayed
// repetition of its start is refused. It reports whether there was a reservation.
func (l *Ledger) Release(job string, incarnation uint32) bool {
	now := l.cfg.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tombstones.add(job, incarnation, now)
	t, ok := l.tasks[job]
	if !ok || t.Incarnation != incarnation {
		return false
	}
	l.charged = l.charged.Sub(l.charge(t))
	delete(l.tasks, job)
	return true
}

// AddTombstone makes Reserve refuse this and lower incarnations of a job. It reports whether
// one of them has a reservation; the caller must stop and release it.
func (l *Ledger) AddTombstone(job string, incarnation uint32) (reserved bool) {
	now := l.cfg.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tombstones.add(job, incarnation, now)
	t, ok := l.tasks[job]
	return ok && t.Incarnation <= incarnation
}

// SetEstimate replaces the estimate of a task. It returns false, and changes nothing, if
// the incarnation has no reservation.
func (l *Ledger) SetEstimate(job string, incarnation uint32, use, margin resources.Resources) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	t, ok := l.tasks[job]
	if !ok || t.Incarnation != incarnation {
		return false
	}
	l.charged = l.charged.Sub(l.charge(t))
	t.Estimated, t.Use, t.Margin = true, use, margin
	l.charged = l.charged.Add(l.charge(t))
	return true
}

// EffectiveCapacity returns the declared resources that the worker can run in total: those
// of its tasks plus the allocatable resources that are not charged. It differs from the
// allocatable resources by the differences between charges and declared values.
func (l *Ledger) EffectiveCapacity() resources.Resources {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := l.allocatable().Sub(l.charged)
	for _, t := range l.tasks {
		sum = sum.Add(t.Declared)
	}
	return sum
}

// Free returns the allocatable resources that are not charged; zero for those that are
// exceeded, and before Open.
func (l *Ledger) Free() resources.Resources {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.ready {
		return resources.Resources{}
	}
	return nonNegative(l.allocatable().Sub(l.charged))
}

// Capacity returns the worker's capacity, including the reserve for checks.
func (l *Ledger) Capacity() resources.Resources {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.capacity
}

// Tasks returns a copy of the tasks, ordered by job.
func (l *Ledger) Tasks() []Task {
	l.mu.Lock()
	defer l.mu.Unlock()
	tasks := make([]Task, 0, len(l.tasks))
	for _, t := range l.tasks {
		tasks = append(tasks, *t)
	}
	sort.Slice(tasks, func(i, j int) bool { return tasks[i].Job < tasks[j].Job })
	return tasks
}

// The caller holds mu.
func (l *Ledger) allocatable() resources.Resources { return nonNegative(l.capacity.Sub(l.cfg.Reserve)) }

// charge returns the charge of a task by the rules of the package comment.
func (l *Ledger) charge(t *Task) resources.Resources {
	if !t.Estimated {
		return t.Declared
	}
	expected := t.Use.Add(t.Margin)
	floor := (t.Declared.MilliCPU*l.cfg.CPUFloorPercent + 99) / 100
	return resources.Resources{
		MilliCPU:     max(floor, expected.MilliCPU),
		MemoryMB:     max(t.Declared.MemoryMB, expected.MemoryMB),
		Accelerators: max(t.Declared.Accelerators, expected.Accelerators),
	}
}

func nonNegative(r resources.Resources) resources.Resources {
	return resources.Resources{MilliCPU: max(r.MilliCPU, 0), MemoryMB: max(r.MemoryMB, 0), Accelerators: max(r.Accelerators, 0)}
}
