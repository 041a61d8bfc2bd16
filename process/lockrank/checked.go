//go:build race || lockrank

package lockrank

import (
	"bytes"
	"fmt"
	"runtime"
	"strconv"
	"sync"
)

// Checked reports whether this build verifies the lock order.
const Checked = true

// held maps a goroutine id to the ranks of its locks ([]Rank) in order of acquisition.
var held sync.Map

func goroutineID() int64 {
	var buf [64]byte
	n := runtime.Stack(buf[:], false)
	field := bytes.Fields(buf[:n])[1]
	id, err := strconv.ParseInt(string(field), 10, 64)
	if err != nil {
		panic(fmt.Sprintf("lockrank: goroutine id %q: %v", field, err))
	}
	return id
}

func acquire(rank Rank) {
	id := goroutineID()
	value, _ := held.Load(id)
	ranks, _ := value.([]Rank)
	if n := len(ranks); n > 0 && ranks[n-1] >= rank {
		panic(fmt.Sprintf("lockrank: lock of rank %d acquired while holding rank %d", rank, ranks[n-1]))
	}
	held.Store(id, append(ranks, rank))
}

func release(rank Rank) {
	id := goroutineID()
	value, _ := held.Load(id)
	ranks, _ := value.([]Rank)
	for i := len(ranks) - 1; i >= 0; i-- {
		if ranks[i] != rank {
			continue
		}
		rest := append(append([]Rank(nil), ranks[:i]...), ranks[i+1:]...)
		if len(rest) == 0 {
			held.Delete(id)
		} else {
			held.Store(id, rest)
		}
		return
	}
	panic(fmt.Sprintf("lockrank: lock of rank %d released by a goroutine that does not hold it", rank))
}

// Mutex is a mutual exclusion lock with a rank.
type Mutex struct {
	mu   sync.Mutex
	rank Rank
}

// NewMutex returns an unlocked mutex of the given rank.
func NewMutex(rank Rank) Mutex { return Mutex{rank: rank} }

// Lock acquires the mutex. It panics if the goroutine holds a lock of this or a higher rank.
func (m *Mutex) Lock() {
	acquire(m.rank)
	m.mu.Lock()
}

// Unlock releases the mutex. It panics if the goroutine does not hold it.
func (m *Mutex) Unlock() {
	m.mu.Unlock()
	release(m.rank)
}
