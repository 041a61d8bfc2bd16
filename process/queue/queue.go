// Package queue is a bounded queue that is fair between teams, and between the
// franchisees of a team.
//
// The backlog of a franchisee delays only that franchisee: teams, and franchisees
// within a team, are served by weighted deficit round robin over service time. Each item
// that Push accepts leaves the queue exactly once: by Pop, TryPop or Remove, displaced by
// a later Push, through OnExpired, or by Close.
package queue

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/zeebo/errs"

	"camphorhead.example/camphorhead/process/lockrank"
	"camphorhead.example/camphorhead/request/outcome"
)

var (
	// ErrClosed is returned by Pop after Close.
	ErrClosed = errs.New("queue: pop from a closed queue")
	// ErrDuplicate is returned by Push while an item with the same id is queued.
	ErrDuplicate = errs.New("queue: an item with this id is already queued")
)

const (
	// defaultQuantumUs is the service time, in microseconds, credited per unit of weight
	// and round. It is of the order of a short check, so that turns stay short.
	defaultQuantumUs = 1000
	// maxCostUs bounds the cost of an item, so that sums of costs cannot overflow.
	maxCostUs = int64(time.Hour / time.Microsecond)
)

// Item is one unit of queued work.
type Item[T any] struct {
	ID         string
	Team       string
	Franchisee string
	// Weight is the franchisee's share within its team; 0 counts as 1. The
	// latest pushed value applies to the franchisee's whole backlog.
	Weight uint16
	// Cost is the expected service time in microseconds; Push limits it to 1 us to 1 h.
	Cost int64
	// Deadline is the time by which the service must have ended; zero: none.
	Deadline time.Time
	Value    T
}

// meetsDeadline reports whether service that starts now would end by the deadline.
func (it *Item[T]) meetsDeadline(now time.Time) bool {
	if it.Deadline.IsZero() {
		return true
	}
	end := now.Add(time.Duration(it.Cost) * time.Microsecond)
	return !end.After(it.Deadline)
}

// Config contains the limits and callbacks of a queue.
type Config[T any] struct {
	Clock clockwork.Clock
	// MaxItems limits the items of the whole queue, MaxPerFranchisee those of one
	// franchisee in all teams together.
	MaxItems         int
	MaxPerFranchisee int
	// QuantumUs is the service time credited per unit of weight and round; 0: the default.
	QuantumUs int64
	// TeamWeight returns the share of a team; nil or 0 counts as 1. Push and
	// EstimateWait call it without the lock.
	TeamWeight func(team string) uint16
	// OnExpired, if not nil, receives each item that was removed because it can no
	// longer meet its deadline; it did not run. It is called without the lock.
	OnExpired func(Item[T])
}

// Queue is a bounded fair queue. All methods may be called from any goroutine.
type Queue[T any] struct {
	cfg Config[T]
	// tokens wakes Pop: Push adds one per item. It may hold more tokens than items, never
	// fewer, as items that leave otherwise than by Pop leave theirs; a Pop that finds no
	// item for its token waits for the next.
	tokens chan struct{}
	done   chan struct{}

	mu           lockrank.Mutex // guards the fields below
	closed       bool
	lastSequence uint64              // sequence number of the latest item
	byID         map[string]*flow[T] // flow of each queued item
	counts       map[string]int      // queued items of each franchisee
	teams        ring[*team[T]]
	byName       map[string]*team[T]
}

// New returns an empty queue.
func New[T any](cfg Config[T]) *Queue[T] {
	if cfg.QuantumUs <= 0 {
		cfg.QuantumUs = defaultQuantumUs
	}
	return &Queue[T]{
		cfg:    cfg,
		tokens: make(chan struct{}, cfg.MaxItems),
		done:   make(chan struct{}),
		mu:     lockrank.NewMutex(lockrank.RankQueue),
		byID:   map[string]*flow[T]{},
		counts: map[string]int{},
		teams:  ring[*team[T]]{quantum: cfg.QuantumUs},
		byName: map[string]*team[T]{},
	}
}

// Push queues an item. If the queue is full, it may remove and return the newest item of
// a franchisee with a longer backlog; the caller replies to that one as "not run". The
// error is ErrDuplicate or of kind QueueFull or Draining; then nothing has changed.
func (q *Queue[T]) Push(item Item[T]) (displaced *Item[T], err error) {
	item.Cost = min(max(item.Cost, 1), maxCostUs)
	weight := q.teamWeight(item.Team)
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return nil, outcome.New(outcome.Draining, "check queue is closed")
	}
	if _, ok := q.byID[item.ID]; ok {
		return nil, ErrDuplicate
	}
	if q.counts[item.Franchisee] >= q.cfg.MaxPerFranchisee {
		return nil, outcome.New(outcome.QueueFull, "franchisee has reached its limit of queued checks")
	}
	if len(q.byID) >= q.cfg.MaxItems {
		displaced = q.displace(q.counts[item.Franchisee])
		if displaced == nil {
			return nil, outcome.New(outcome.QueueFull, "check queue is full")
		}
	}
	q.insert(item, weight)
	select {
	case q.tokens <- struct{}{}:
	default: // there are MaxItems tokens already, enough for every queued item
	}
	return displaced, nil
}

// Pop removes and returns the next item; it waits until there is one. Items that cannot
// meet their deadline go to OnExpired instead. The error is that of ctx, or ErrClosed.
func (q *Queue[T]) Pop(ctx context.Context) (Item[T], error) {
	for {
		select {
		case <-ctx.Done():
			return Item[T]{}, ctx.Err()
		case <-q.done:
			return Item[T]{}, ErrClosed
		case <-q.tokens:
		}
		item, expired, ok := q.dequeue()
		q.notifyExpired(expired)
		if ok {
			return item, nil
		}
	}
}

// TryPop is Pop without waiting; false means that no item meets its deadline.
func (q *Queue[T]) TryPop() (Item[T], bool) {
	item, expired, ok := q.dequeue()
	q.notifyExpired(expired)
	return item, ok
}

// dequeue removes the next item that meets its deadline and the expired ones before it.
func (q *Queue[T]) dequeue() (item Item[T], expired []Item[T], ok bool) {
	now := q.cfg.Clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.teams.members) > 0 {
		t := q.teams.current()
		f := t.flows.current()
		item = f.entries[0].item
		meets := item.meetsDeadline(now)
		if meets {
			t.deficit -= item.Cost
			f.deficit -= item.Cost
		}
		q.removeAt(f, 0)
		if meets {
			return item, expired, true
		}
		expired = append(expired, item)
	}
	return Item[T]{}, expired, false
}

// Remove removes an item. It returns false if no item with this id is queued.
func (q *Queue[T]) Remove(id string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	f, ok := q.byID[id]
	if !ok {
		return false
	}
	for i := range f.entries {
		if f.entries[i].item.ID == id {
			q.removeAt(f, i)
			break
		}
	}
	return true
}

// DropExpired removes every item that can no longer meet its deadline and returns their
// number. The process ticker calls it, so that these items get their reply in time even
// if nothing is popped.
func (q *Queue[T]) DropExpired() int {
	expired := q.removeExpired()
	q.notifyExpired(expired)
	return len(expired)
}

func (q *Queue[T]) removeExpired() []Item[T] {
	now := q.cfg.Clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	var expired []Item[T]
	for _, f := range q.flows() {
		for i := len(f.entries) - 1; i >= 0; i-- {
			if item := f.entries[i].item; !item.meetsDeadline(now) {
				expired = append(expired, item)
				q.removeAt(f, i)
			}
		}
	}
	return expired
}

func (q *Queue[T]) notifyExpired(expired []Item[T]) {
	if q.cfg.OnExpired == nil {
		return
	}
	for _, item := range expired {
		q.cfg.OnExpired(item)
	}
}

// Len returns the number of queued items.
func (q *Queue[T]) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.byID)
}

// Close closes the queue and ends every waiting Pop. It returns the items that were still
// queued; they did not run. Further calls return nil.
func (q *Queue[T]) Close() []Item[T] {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return nil
	}
	q.closed = true
	close(q.done)
	var left []Item[T]
	for _, f := range q.flows() {
		for len(f.entries) > 0 {
			left = append(left, f.entries[0].item)
			q.removeAt(f, 0)
		}
	}
	return left
}
