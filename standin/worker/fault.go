package worker

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/valyala/fasthttp"

	"camphorhead.example/camphorhead/process/lockrank"
	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/standin/internal/serve"
)

// CallFaults are the shares, in percent, of the calls over HTTP that fail in some way.
type CallFaults struct {
	// Late calls have no response and are executed after up to MaxDelay, also by the worker
	// that has been restarted with the same capacity by then.
	Late     int
	MaxDelay time.Duration
	Lost     int // executed at once, but the connection is closed without a response
	// Unhealthy is the share of the starts that are refused with status 503, without effect.
	Unhealthy int
}

// lateCall is the key of the context of a call that is executed late.
type lateCall struct{}

// callFaults holds the faults in effect.
type callFaults struct {
	mu      lockrank.Mutex // guards current
	current CallFaults
}

// SetCallFaults replaces the faults of the calls that arrive from now on.
func (w *Worker) SetCallFaults(f CallFaults) {
	w.faults.mu.Lock()
	defer w.faults.mu.Unlock()
	w.faults.current = f
}

// handle serves a call, or lets it fail as the faults in effect say.
func (w *Worker) handle(ctx context.Context, rc *fasthttp.RequestCtx) {
	w.faults.mu.Lock()
	f := w.faults.current
	w.faults.mu.Unlock()
	if !w.isUp() {
		serve.Abort(rc)
		return
	}
	if w.config.ConnectionPerCall {
		rc.SetConnectionClose()
	}
	path := string(rc.Path())
	isStart := path == platform.PathStart || path == wirePathStart
	switch draw := rand.IntN(100); {
	case draw < f.Late:
		w.executeLate(ctx, rc, rand.N(f.MaxDelay))
	case draw < f.Late+f.Lost:
		w.dispatch(ctx, rc)
		serve.Abort(rc)
	case isStart && rand.IntN(100) < f.Unhealthy:
		rc.SetStatusCode(fasthttp.StatusServiceUnavailable)
	default:
		w.dispatch(ctx, rc)
	}
}

// isUp reports whether no restart is in progress.
func (w *Worker) isUp() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.config.Clock.Now().Before(w.upAt)
}

// executeLate executes a call after a delay. The caller gets no response: its connection
// closes now, or once the call is executed.
func (w *Worker) executeLate(ctx context.Context, rc *fasthttp.RequestCtx, delay time.Duration) {
	_, _, capacity := w.status()
	var late fasthttp.RequestCtx
	rc.Request.CopyTo(&late.Request)
	executed := make(chan struct{})
	w.late.Go(func() {
		defer close(executed)
		select {
		case <-ctx.Done():
			return
		case <-w.config.Clock.After(delay):
		}
		// No agent can know the capacity of a worker to which it has not sent the call.
		if _, _, now := w.status(); now == capacity && w.isUp() {
			w.dispatch(context.WithValue(ctx, lateCall{}, true), &late)
		}
	})
	if rand.IntN(2) == 0 {
		<-executed
	}
	serve.Abort(rc)
}
