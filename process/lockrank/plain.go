//go:build !race && !lockrank

package lockrank

import "sync"

// Checked reports whether this build verifies the lock order.
const Checked = false

// Mutex is a mutual exclusion lock with a rank.
type Mutex struct {
	mu sync.Mutex
}

// NewMutex returns an unlocked mutex of the given rank.
func NewMutex(Rank) Mutex { return Mutex{} }

// Lock acquires the mutex.
func (m *Mutex) Lock() { m.mu.Lock() }

// Unlock releases the mutex.
func (m *Mutex) Unlock() { m.mu.Unlock() }
