// Package gate blocks calls while a stand-in is made unresponsive.
package gate

import (
	"context"

	"github.com/zeebo/errs"

	"camphorhead.example/camphorhead/process/lockrank"
	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/standin"
)

// Gate blocks calls while it is closed. All methods may be called from any goroutine.
type Gate struct {
	mu     lockrank.Mutex // guards opened
	opened chan struct{}  // nil while open; closed when the gate opens
}

// New returns an open gate.
func New() *Gate { return &Gate{mu: lockrank.NewMutex(standin.Rank)} }

// SetClosed closes or opens the gate. Opening releases the waiting calls.
func (g *Gate) SetClosed(closed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if closed == (g.opened != nil) {
		return
	}
	if closed {
		g.opened = make(chan struct{})
		return
	}
	close(g.opened)
	g.opened = nil
}

// Wait waits until the gate is open. It fails with platform.ErrUncertain if ctx ends first.
func (g *Gate) Wait(ctx context.Context) error {
	for {
		g.mu.Lock()
		opened := g.opened
		g.mu.Unlock()
		if opened == nil {
			return nil
		}
		select {
		case <-opened:
		case <-ctx.Done():
			return errs.Combine(platform.ErrUncertain, ctx.Err())
		}
	}
}
