// Package pool runs short functions on a fixed number of worker goroutines.
//
// The queue is bounded, so that memory stays bounded under overload: Submit fails at
// once when the queue is full.
package pool

import (
	"context"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

var (
	// ErrFull is returned by Submit if the queue is full.
	ErrFull = errs.New("pool: submit failed: queue is full")
	// ErrClosed is returned by Submit after Close.
	ErrClosed = errs.New("pool: submit failed: pool is closed")
)

// Func is a work item. It must return when ctx is cancelled, which Close does.
type Func func(ctx context.Context)

// Pool owns its worker goroutines; they start in New and end in Close.
type Pool struct {
	queue  chan Func
	done   chan struct{}
	cancel context.CancelFunc
	wg     sync.WaitGroup
	once   sync.Once
}

// New starts the given number of workers for a queue of the given length.
func New(workers, queueLength int) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Pool{queue: make(chan Func, queueLength), done: make(chan struct{}), cancel: cancel}
	p.wg.Add(workers)
	for range workers {
		go p.run(ctx)
	}
	return p
}

func (p *Pool) run(ctx context.Context) {
	defer p.wg.Done()
	for {
		select {
		case <-p.done:
			return
		case f := <-p.queue:
			f(ctx)
		}
	}
}

// Submit queues f without blocking: event loops call it. It returns ErrFull or ErrClosed.
func (p *Pool) Submit(f Func) error {
	select {
	case <-p.done:
		return ErrClosed
	default:
	}
	select {
	case p.queue <- f:
		return nil
	default:
		return ErrFull
	}
}

// Queued returns the number of functions that wait for a worker.
func (p *Pool) Queued() int { return len(p.queue) }

// Close cancels the context of running functions, drops the queued ones and waits for
// the workers to end.
func (p *Pool) Close() {
	p.once.Do(func() {
		close(p.done)
		p.cancel()
	})
	p.wg.Wait()
}

// Ticker submits a function to a pool at a fixed interval. It skips a tick while the
// previous call is queued or running, or if the queue is full.
type Ticker struct {
	stop chan struct{}
	once sync.Once
	wg   sync.WaitGroup
}

// Every starts a ticker that submits f. The caller must call Stop on it.
func (p *Pool) Every(interval time.Duration, f Func) *Ticker {
	t := &Ticker{stop: make(chan struct{})}
	t.wg.Add(1)
	go t.run(p, interval, f)
	return t
}

func (t *Ticker) run(p *Pool, interval time.Duration, f Func) {
	defer t.wg.Done()
	ticks := time.NewTicker(interval)
	defer ticks.Stop()
	busy := make(chan struct{}, 1)
	for {
		select {
		case <-t.stop:
			return
		case <-ticks.C:
		}
		select {
		case busy <- struct{}{}:
		default:
			continue
		}
		err := p.Submit(func(ctx context.Context) {
			defer func() { <-busy }()
			f(ctx)
		})
		if err != nil {
			<-busy
		}
	}
}

// Stop ends the ticker and waits for its goroutine, not for a submitted call.
func (t *Ticker) Stop() {
	t.once.Do(func() { close(t.stop) })
	t.wg.Wait()
}
