// Package ports gives loopback ports to processes that a test or a bench starts.
//
// Several test programs run at a time. Each takes whole blocks of ports, and holds
// a block by a listener on its first port, so that no two of them give away the
// same port between its choice and its use.
package ports

import (
	"fmt"
	"net"
	"sync"

	"github.com/zeebo/errs"
)

const (
	// firstPort and blocks lie below the range from which the kernel takes the
	// ports of outgoing connections.
	firstPort = 10_000
	blockSize = 50
	blocks    = 440
)

// Allocator gives away the ports of the blocks that it holds.
type Allocator struct {
	mu    sync.Mutex // guards the fields below
	block int        // the next one to try
	left  []int      // ports of the held blocks that were not given away
	held  []net.Listener
}

var process Allocator

// Free returns a loopback address that nothing listens on and that no other
// program using this package gets while this one runs.
func Free() (string, error) { return process.Free() }

// Free is the same for one allocator.
func (a *Allocator) Free() (string, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for {
		for len(a.left) > 0 {
			address := loopback(a.left[0])
			a.left = a.left[1:]
			if !listening(address) {
				return address, nil
			}
		}
		if err := a.claim(); err != nil {
			return "", err
		}
	}
}

// claim takes a block that no program holds. The caller holds mu.
func (a *Allocator) claim() error {
	for ; a.block < blocks; a.block++ {
		first := firstPort + a.block*blockSize
		l, err := net.Listen("tcp", loopback(first))
		if err != nil {
			continue
		}
		a.block++
		a.held = append(a.held, l)
		for port := first + 1; port < first+blockSize; port++ {
			a.left = append(a.left, port)
		}
		return nil
	}
	return errs.New("no free loopback port")
}

// Close gives all blocks back.
func (a *Allocator) Close() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	var group errs.Group
	for _, l := range a.held {
		group.Add(l.Close())
	}
	a.held, a.left, a.block = nil, nil, 0
	return group.Err()
}

// listening reports whether a program that does not use this package listens on an
// address. It does not try to listen there itself: a child that is being started
// holds a copy of every listener until it runs its own program.
func listening(address string) bool {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
