// Package ports allocates loopback ports for processes that tests and benchmarks start.
//
// Several test programs run concurrently. Each reserves whole blocks of ports by a
// listener on the first port of the block, so that no two programs allocate the same port
// before one of their processes listens on it.
package ports

import (
	"fmt"
	"net"
	"sync"

	"github.com/zeebo/errs"
)

const (
	// The blocks lie below the kernel's range of ports for outgoing connections.
	firstPort  = 10_000
	blockSize  = 50
	blockCount = 440
)

// Allocator allocates the ports of the blocks that it has reserved.
type Allocator struct {
	mu        sync.Mutex // guards the fields below
	nextBlock int        // the next one to try
	available []int      // ports of reserved blocks that are not allocated yet
	reserved  []net.Listener
}

var defaultAllocator Allocator

// FreeAddress returns a loopback address that nothing listens on and that no other
// program that uses this package gets while this one runs.
func FreeAddress() (string, error) { return defaultAllocator.FreeAddress() }

// FreeAddress is like the function FreeAddress; the address is reserved until Close.
func (a *Allocator) FreeAddress() (string, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for {
		for len(a.available) > 0 {
			address := loopback(a.available[0])
			a.available = a.available[1:]
			if !listening(address) {
				return address, nil
			}
		}
		if err := a.reserveBlock(); err != nil {
			return "", err
		}
	}
}

// reserveBlock reserves the next block that no program has reserved. The caller holds mu.
func (a *Allocator) reserveBlock() error {
	for ; a.nextBlock < blockCount; a.nextBlock++ {
		first := firstPort + a.nextBlock*blockSize
		l, err := net.Listen("tcp", loopback(first))
		if err != nil {
			continue
		}
		a.nextBlock++
		a.reserved = append(a.reserved, l)
		for port := first + 1; port < first+blockSize; port++ {
			a.available = append(a.available, port)
		}
		return nil
	}
	return errs.New("ports: every block of loopback ports is in use")
}

// Close releases all blocks.
func (a *Allocator) Close() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	var group errs.Group
	for _, l := range a.reserved {
		group.Add(l.Close())
	}
	a.reserved, a.available, a.nextBlock = nil, nil, 0
	return group.Err()
}

// listening reports whether a program that does not use this package listens on an
// address. It dials instead of listening, because a child process that is started
// meanwhile would inherit the listener and keep the port in use until its exec.
func listening(address string) bool {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
