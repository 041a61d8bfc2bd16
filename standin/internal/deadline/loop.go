package deadline

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Handler handles the deadlines that are due and returns the next one, if there is one.
type Handler func() (next time.Time, ok bool)

// Loop owns the goroutine that calls a Handler at each deadline.
type Loop struct {
	clock   clockwork.Clock
	handler Handler
	wake    chan struct{}
	done    chan struct{}
	once    sync.Once
	wg      sync.WaitGroup
}

// NewLoop starts the goroutine; Close ends it.
func NewLoop(clock clockwork.Clock, handler Handler) *Loop {
	l := &Loop{clock: clock, handler: handler, wake: make(chan struct{}, 1), done: make(chan struct{})}
	l.wg.Add(1)
	go l.run()
	return l
}

// Wake makes the loop call its Handler, for a change of deadlines. It does not block.
func (l *Loop) Wake() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Close ends the goroutine and waits for it; a second call does the same.
func (l *Loop) Close() {
	l.once.Do(func() { close(l.done) })
	l.wg.Wait()
}

func (l *Loop) run() {
	defer l.wg.Done()
	for l.wait() {
	}
}

// wait calls the Handler, then waits for a deadline, Wake or Close; it returns false if closed.
func (l *Loop) wait() bool {
	var due <-chan time.Time
	if next, ok := l.handler(); ok {
		timer := l.clock.NewTimer(l.clock.Until(next))
		defer timer.Stop()
		due = timer.Chan()
	}
	select {
	case <-l.done:
		return false
	case <-l.wake:
	case <-due:
	}
	return true
}
