// Package ledger is an agent's table of its worker: what the worker has, which
// tasks hold how much of it, and the slots of the services beside it.
//
// The agent is the only authority over its worker, and this table is the only
// place where it admits work. Room is the worker's capacity less the reserve
// for checks. Each task is charged, and the sum of the charges never exceeds
// the room through an admission:
//
//   - memory and accelerators: the larger of the declared value and the
//     estimate plus its margin, so the sum of the declared values never
//     exceeds the room either;
//   - processors: the estimate plus its margin, but at least
//     CPUFloorPercent of the declared value; the declared value while there is
//     no estimate. Declared processors may exceed the room only as far as
//     estimates show that they are not used.
//
// A charge that grows later may exceed the room; Free is then zero and nothing
// is admitted until it is back. Nothing is admitted before Open.
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

// ErrHeld is returned by Reserve for an incarnation that is already held. A
// repeated start is answered like the first one and must not start again.
var ErrHeld = errs.New("ledger: incarnation is already held")

const (
	// defaultTombstoneAge is far beyond the time for which a start message can
	// be delayed: a task lease, with all retries.
	defaultTombstoneAge    = 15 * time.Minute
	defaultCPUFloorPercent = 100
)

// Config holds the settings of a ledger.
type Config struct {
	Clock clockwork.Clock
	// Reserve is the part of the capacity that is kept for checks.
	Reserve resources.Resources
	// CPUFloorPercent is the part of the declared processors that is charged
	// however low the estimate is; 0 means the default, 100 forbids overcommit.
	CPUFloorPercent int64
	// TombstoneAge is how long a tombstone is kept; 0 means the default.
	TombstoneAge time.Duration
}

// Task is one task that holds resources.
type Task struct {
	Job         string
	Incarnation uint32
	Declared    resources.Resources
	// Estimated is false until there is an estimate of the real use.
	Estimated bool
	Use       resources.Resources
	Margin    resources.Resources
	Since     time.Time
}

// Ledger is the table. All methods may be called from any goroutine; they
// neither block nor call out.
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
		tombstones: tombstones{byJob: map[string]tombstone{}, keep: cfg.TombstoneAge},
		services:   map[string]*Service{},
	}
}

// Open adopts all tasks of the worker's first status, sets the capacity and
// allows admissions, in one step. A second call only sets the capacity.
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

// Ready reports whether Open was called.
func (l *Ledger) Ready() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ready
}

// SetCapacity follows a change of the worker's capacity.
func (l *Ledger) SetCapacity(capacity resources.Resources) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.capacity = capacity
}

// SetReserve changes the part of the capacity that is kept for checks.
func (l *Ledger) SetReserve(reserve resources.Resources) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cfg.Reserve = reserve
}

// Adopt records a task that runs at the worker, whether or not it fits. It
// replaces another incarnation of the job, because the worker's list is right.
func (l *Ledger) Adopt(t Task) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.adopt(t)
}

// AdoptRun records a run that the worker has, whether or not it fits.
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

// Reserve admits one incarnation of a job, charged by its declared resources.
// The error is ErrHeld or of kind NoCapacity, NeverFits, StaleIncarnation or
// Tombstoned; then nothing is held for the caller.
func (l *Ledger) Reserve(job string, incarnation uint32, declared resources.Resources) error {
	return l.admit(Task{Job: job, Incarnation: incarnation, Declared: declared})
}

// ReserveEstimated is Reserve for a task whose use is already estimated from
// earlier tasks of its profile and franchisee.
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
	if err := l.refusal(&t); err != nil {
		return err
	}
	room := l.room()
	if t.Declared.IsNegative() || !t.Declared.Fits(room) {
		return outcome.New(outcome.NeverFits, fmt.Sprintf("declared %+v exceeds the worker's room %+v", t.Declared, room))
	}
	charged := l.charged.Add(l.charge(&t))
	if !charged.Fits(room) {
		return outcome.New(outcome.NoCapacity, "worker has no room now")
	}
	l.tasks[t.Job] = &t
	l.charged = charged
	return nil
}

// refusal returns the error for an incarnation that must not start here,
// whatever the room is. The caller holds mu.
func (l *Ledger) refusal(t *Task) error {
	if l.tombstones.covers(t.Job, t.Incarnation, t.Since) {
		return outcome.New(outcome.Tombstoned, fmt.Sprintf("incarnation %d of job %s has a tombstone", t.Incarnation, t.Job))
	}
	held, ok := l.tasks[t.Job]
	switch {
	case !ok:
		return nil
	case held.Incarnation > t.Incarnation:
		return outcome.New(outcome.StaleIncarnation, fmt.Sprintf("incarnation %d of job %s is held", held.Incarnation, t.Job))
	case held.Incarnation == t.Incarnation:
		return ErrHeld
	}
	return outcome.New(outcome.NoCapacity, fmt.Sprintf("incarnation %d of job %s has not ended yet", held.Incarnation, t.Job))
}

// Release frees what an incarnation holds and leaves a tombstone, so that a delayed
// repetition of its start is refused. It reports whether it was held.
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

// AddTombstone refuses this and lower incarnations of a job from now on. It reports
// whether one of them is held; the caller must stop and release it.
func (l *Ledger) AddTombstone(job string, incarnation uint32) (held bool) {
	now := l.cfg.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tombstones.add(job, incarnation, now)
	t, ok := l.tasks[job]
	return ok && t.Incarnation <= incarnation
}

// SetEstimate replaces the estimate of a held task. It reports whether the
// incarnation is held.
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

// Effective returns what the worker may be given together: the declared
// resources of its tasks and what would still be admitted. It differs from the
// room by what estimates add to the declared values or take off them.
func (l *Ledger) Effective() resources.Resources {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := l.room().Sub(l.charged)
	for _, t := range l.tasks {
		sum = sum.Add(t.Declared)
	}
	return sum
}

// Free returns what would still be admitted; it is zero before Open.
func (l *Ledger) Free() resources.Resources {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.ready {
		return resources.Resources{}
	}
	return nonNegative(l.room().Sub(l.charged))
}

// Capacity returns what the worker has.
func (l *Ledger) Capacity() resources.Resources {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.capacity
}

// Tasks returns a copy of the held tasks, ordered by job.
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
func (l *Ledger) room() resources.Resources { return nonNegative(l.capacity.Sub(l.cfg.Reserve)) }

// charge applies the rule of the package comment.
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
