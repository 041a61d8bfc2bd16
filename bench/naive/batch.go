package naive

import (
	"context"
	"sync"
	"time"

	"camphorhead.example/camphorhead/process/lockrank"
	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/request/resources"
)

const (
	starters     = 32
	startQueue   = 4096
	holdWait     = time.Second
	startTimeout = 2 * time.Second
	retryPause   = 100 * time.Millisecond
	// lease is longer than any run; the baseline renews none.
	lease = time.Hour
	// maxIncarnations bounds how often one task is started.
	maxIncarnations = 3
)

// Machine is one worker.
type Machine struct {
	Worker   platform.Worker
	Capacity resources.Resources
}

// Task is one batch task. Its state belongs to Batch.
type Task struct {
	Request platform.RunRequest

	machine   *machine
	cancelled bool
}

// machine is a worker with the tasks that were given to it. The lock of Batch
// guards its fields.
type machine struct {
	Machine
	free    resources.Resources
	tasks   map[string]*Task
	clockMs int64
	clockAt time.Time
}

// Batch places tasks on the first worker with enough declared room, in the
// order of their arrival; one that fits nowhere waits and is passed by others.
type Batch struct {
	starts chan *Task
	wg     sync.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc

	mu       lockrank.Mutex // guards the fields below; nothing is acquired under it
	machines []*machine
	waiting  []*Task
	byID     map[string]*Task
	failed   int
}

// NewBatch returns the baseline for batch tasks; Close ends it.
func NewBatch(list []Machine) *Batch {
	b := &Batch{
		starts: make(chan *Task, startQueue),
		mu:     lockrank.NewMutex(lockrank.RankScheduler), byID: map[string]*Task{},
	}
	b.ctx, b.cancel = context.WithCancel(context.Background())
	for _, m := range list {
		machine := &machine{Machine: m, free: m.Capacity, tasks: map[string]*Task{}}
		b.machines = append(b.machines, machine)
		b.wg.Go(func() { b.follow(machine) })
	}
	for range starters {
		b.wg.Go(b.startTasks)
	}
	return b
}

// Close ends all goroutines; tasks run on.
func (b *Batch) Close() {
	b.cancel()
	b.wg.Wait()
}

// Submit queues a task.
func (b *Batch) Submit(r platform.RunRequest) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := &Task{Request: r}
	b.byID[r.Task.Job] = t
	b.waiting = append(b.waiting, t)
	b.dispatch()
}

// Cancel ends a task that waits or runs.
func (b *Batch) Cancel(ctx context.Context, id string) {
	b.mu.Lock()
	t := b.byID[id]
	if t == nil {
		b.mu.Unlock()
		return
	}
	t.cancelled = true
	m := t.machine
	b.mu.Unlock()
	if m != nil {
		_ = m.Worker.Stop(ctx, t.Request.RunKey, 0, "") // one that was not taken runs to its end
	}
}

// dispatch places what fits. The caller holds the lock.
func (b *Batch) dispatch() {
	kept := b.waiting[:0]
	for i, t := range b.waiting {
		if t.cancelled {
			delete(b.byID, t.Request.Task.Job)
			continue
		}
		if !b.place(t) {
			kept = append(kept, b.waiting[i])
		}
	}
	b.waiting = kept
}

// place gives a task to the first worker with room. The caller holds the lock.
func (b *Batch) place(t *Task) bool {
	for _, m := range b.machines {
		if m.clockAt.IsZero() || !t.Request.Need.Fits(m.free) {
			continue
		}
		t.Request.Run++
		t.Request.LeaseUntilMs = m.clockMs + lease.Milliseconds()
		select {
		case b.starts <- t:
		default:
			t.Request.Run--
			return false
		}
		t.machine = m
		m.free = m.free.Sub(t.Request.Need)
		m.tasks[t.Request.Task.Job] = t
		return true
	}
	return false
}

func (b *Batch) startTasks() {
	for {
		select {
		case <-b.ctx.Done():
			return
		case t := <-b.starts:
			b.start(t)
		}
	}
}

func (b *Batch) start(t *Task) {
	b.mu.Lock()
	request, worker := t.Request, t.machine.Worker
	b.mu.Unlock()
	ctx, cancel := context.WithTimeout(b.ctx, startTimeout)
	defer cancel()
	if _, err := worker.Start(ctx, request); err != nil {
		b.end(t, false)
	}
}

// end releases a task's room and queues it again unless it is done.
func (b *Batch) end(t *Task, done bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := t.machine
	if m == nil {
		return
	}
	m.free = m.free.Add(t.Request.Need)
	delete(m.tasks, t.Request.Task.Job)
	t.machine = nil
	switch {
	case done || t.cancelled:
		delete(b.byID, t.Request.Task.Job)
	case t.Request.Run >= maxIncarnations:
		b.failed++
		delete(b.byID, t.Request.Task.Job)
	default:
		b.waiting = append(b.waiting, t)
	}
	b.dispatch()
}

// follow lists a worker's tasks, waiting at the worker for ends.
func (b *Batch) follow(m *machine) {
	var recorded uint64
	for b.ctx.Err() == nil {
		list, err := m.Worker.Hold(b.ctx, platform.HoldRequest{Recorded: recorded, Wait: holdWait})
		if err != nil {
			pause(b.ctx, retryPause)
			continue
		}
		recorded = b.observe(m, list, recorded)
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// observe takes in a listing and returns the number of the last end in it.
func (b *Batch) observe(m *machine, list platform.Listing, recorded uint64) uint64 {
	b.mu.Lock()
	first := m.clockAt.IsZero()
	m.clockMs, m.clockAt = list.ClockMs, time.Now()
	if first {
		b.dispatch()
	}
	b.mu.Unlock()
	for i := range list.Ended {
		e := &list.Ended[i]
		recorded = max(recorded, e.Number)
		b.mu.Lock()
		t := m.tasks[e.Task.Job]
		if t != nil && t.Request.Run != e.Run {
			t = nil
		}
		b.mu.Unlock()
		if t != nil {
			b.end(t, e.How == job.EndDone)
		}
	}
	return recorded
}
