package worker

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/standin/internal/serve"
)

func (w *Worker) dispatch(ctx context.Context, rc *fasthttp.RequestCtx) {
	switch string(rc.Path()) {
	case platform.PathHold:
		w.handleHold(ctx, rc)
	case platform.PathStart:
		w.handleStart(ctx, rc)
	case platform.PathStop, platform.PathThrottle:
		w.handleRun(ctx, rc)
	default:
		if !w.handleWire(ctx, rc) {
			serve.NotFound(rc)
		}
	}
}

func (w *Worker) handleHold(ctx context.Context, rc *fasthttp.RequestCtx) {
	var req platform.HoldRequest
	if !serve.Decode(rc, &req) {
		return
	}
	req.Wait = time.Duration(rc.QueryArgs().GetUintOrZero("wait_ms")) * time.Millisecond
	list, err := w.Hold(ctx, req)
	serve.Reply(rc, list, err)
}

func (w *Worker) handleStart(ctx context.Context, rc *fasthttp.RequestCtx) {
	var req platform.RunRequest
	if !serve.Decode(rc, &req) {
		return
	}
	clockMs, err := w.Start(ctx, req)
	serve.Reply(rc, platform.StartResponse{ClockMs: clockMs}, err)
}

func (w *Worker) handleRun(ctx context.Context, rc *fasthttp.RequestCtx) {
	var body platform.RunCall
	if !serve.Decode(rc, &body) {
		return
	}
	if string(rc.Path()) == platform.PathStop {
		serve.Reply(rc, nil, w.Stop(ctx, body.RunKey, body.Token, body.Instance))
		return
	}
	serve.Reply(rc, nil, w.Throttle(ctx, body.RunKey, body.Percent, body.Token, body.Instance))
}
