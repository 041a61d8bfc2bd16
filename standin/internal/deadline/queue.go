// Package deadline provides a heap of keyed deadlines and a goroutine that waits for the
// earliest of them.
package deadline

import (
	"container/heap"
	"time"
)

// Queue orders keys by deadline. The lock of its owner guards it.
type Queue[K comparable] struct {
	items entries[K]
	byKey map[K]*entry[K]
}

type entry[K comparable] struct {
	key   K
	at    time.Time
	index int
}

// NewQueue returns an empty queue.
func NewQueue[K comparable]() *Queue[K] {
	return &Queue[K]{byKey: make(map[K]*entry[K])}
}

// Set sets or replaces the deadline of key.
func (q *Queue[K]) Set(key K, at time.Time) {
	if e, ok := q.byKey[key]; ok {
		e.at = at
		heap.Fix(&q.items, e.index)
		return
	}
	e := &entry[K]{key: key, at: at}
	q.byKey[key] = e
	heap.Push(&q.items, e)
}

// Remove removes key, if present.
func (q *Queue[K]) Remove(key K) {
	if e, ok := q.byKey[key]; ok {
		heap.Remove(&q.items, e.index)
		delete(q.byKey, key)
	}
}

// PopDue removes and returns the earliest key whose deadline is not after now.
func (q *Queue[K]) PopDue(now time.Time) (key K, at time.Time, ok bool) {
	if len(q.items) == 0 || q.items[0].at.After(now) {
		return key, at, false
	}
	e := heap.Pop(&q.items).(*entry[K])
	delete(q.byKey, e.key)
	return e.key, e.at, true
}

// Next returns the earliest deadline; ok is false if the queue is empty.
func (q *Queue[K]) Next() (at time.Time, ok bool) {
	if len(q.items) == 0 {
		return at, false
	}
	return q.items[0].at, true
}

type entries[K comparable] []*entry[K]

func (s entries[K]) Len() int           { return len(s) }
func (s entries[K]) Less(i, j int) bool { return s[i].at.Before(s[j].at) }

func (s entries[K]) Swap(i, j int) {
	s[i], s[j] = s[j], s[i]
	s[i].index, s[j].index = i, j
}

func (s *entries[K]) Push(x any) {
	e := x.(*entry[K])
	e.index = len(*s)
	*s = append(*s, e)
}

func (s *entries[K]) Pop() any {
	last := len(*s) - 1
	e := (*s)[last]
	(*s)[last] = nil
	*s = (*s)[:last]
	return e
}
