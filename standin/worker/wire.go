package worker

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/request/resources"
	"camphorhead.example/standin/internal/serve"
)

// wireCall is the body of every call to a worker in the platform's protocol.
type wireCall struct {
	Task         string `json:"task"`
	Run          uint32 `json:"run"`
	FencingToken int64  `json:"fencing_token"`
	TaskSpec     string `json:"task_spec"`
	DeadlineMs   int64  `json:"deadline_ms"`
	Checkpoint   string `json:"checkpoint"`
	LastSeen     uint64 `json:"last_seen"`
	WaitMs       int64  `json:"wait_ms"`
	Percent      int    `json:"percent"`
}

// wireResponse is the body of every response; Running and Finished belong to a listing.
type wireResponse struct {
	ClockMs   int64  `json:"clock_ms"`
	StartedMs int64  `json:"born"`
	Reason    string `json:"reason,omitempty"`
	Running   []row  `json:"running,omitempty"`
	Finished  []row  `json:"finished,omitempty"`
}

// wirePathStart is the path of a start.
const wirePathStart = "/-/run-start"

// row is one run in a listing, encoded as an array.
type row []any

// wireReasons maps refusals to the reasons of the protocol.
var wireReasons = map[platform.Refusal]string{
	platform.RefusedFenced: "fence", platform.RefusedOldRun: "old", platform.RefusedLeaseExpired: "late", platform.RefusedCapacity: "room",
}

var wireEnds = map[job.EndKind]string{
	job.EndDone: "done", job.EndFailed: "failed", job.EndStopped: "stopped", job.EndLeaseExpired: "lapsed",
	job.EndGangBroken: "broken", job.EndGangIncomplete: "alone",
}

// handleWire serves the platform's protocol; it returns false for other paths.
func (w *Worker) handleWire(ctx context.Context, rc *fasthttp.RequestCtx) bool {
	serveCall := map[string]func(context.Context, *wireCall, string) (*wireResponse, error){
		"/-/hold": w.wireHold, wirePathStart: w.wireStart, "/-/run-stop": w.wireStop, "/-/pace": w.wirePace,
	}[string(rc.Path())]
	if serveCall == nil {
		return false
	}
	var call wireCall
	if json.Unmarshal(rc.PostBody(), &call) != nil {
		rc.SetStatusCode(fasthttp.StatusBadRequest)
		return true
	}
	response, err := serveCall(ctx, &call, string(rc.Request.Header.Peek("Camphorhead-Expected-Instance")))
	if response == nil {
		response = &wireResponse{}
	}
	if errors.Is(err, platform.ErrUncertain) {
		serve.Abort(rc)
		return true
	}
	response.ClockMs, response.StartedMs, _ = w.status()
	serve.ReplyStatus(rc, wireStatus(err, response), response)
	return true
}

// wireStatus returns the HTTP status for err and sets the reason of a refusal.
func wireStatus(err error, response *wireResponse) int {
	var refusal *platform.RefusalError
	switch {
	case err == nil:
		return fasthttp.StatusOK
	case !errors.As(err, &refusal):
		return fasthttp.StatusServiceUnavailable
	case refusal.Reason == platform.RefusedInstance:
		return fasthttp.StatusMisdirectedRequest
	case wireReasons[refusal.Reason] == "":
		return fasthttp.StatusBadRequest
	}
	response.Reason = wireReasons[refusal.Reason]
	return fasthttp.StatusConflict
}

func (c *wireCall) key() (job.RunKey, error) {
	id, ok := job.ParseTaskID(c.Task)
	if !ok {
		return job.RunKey{}, refuse(platform.RefusedMalformed)
	}
	return job.RunKey{Task: id, Run: c.Run}, nil
}

func (w *Worker) wireHold(ctx context.Context, c *wireCall, instance string) (*wireResponse, error) {
	list, err := w.Hold(ctx, platform.HoldRequest{
		LeaseUntilMs: c.DeadlineMs, Token: c.FencingToken, Recorded: c.LastSeen, Instance: instance,
		Wait: time.Duration(c.WaitMs) * time.Millisecond,
	})
	if err != nil {
		return nil, err
	}
	response := &wireResponse{}
	for _, t := range list.Running {
		response.Running = append(response.Running, row{t.Task.String(), t.Run, t.Checkpoint, t.ProgressPct, t.Usage.MilliCPU})
	}
	for _, e := range list.Ended {
		response.Finished = append(response.Finished, row{e.Number, e.Task.String(), e.Run, wireEnds[e.How], e.Checkpoint})
	}
	return response, nil
}

func (w *Worker) wireStart(ctx context.Context, c *wireCall, instance string) (*wireResponse, error) {
	key, err := c.key()
	if err != nil {
		return nil, err
	}
	_, err = w.Start(ctx, platform.RunRequest{
		RunKey: key, Token: c.FencingToken, Instance: instance, LeaseUntilMs: c.DeadlineMs,
		Checkpoint: c.Checkpoint, Input: []byte(c.TaskSpec),
	})
	return nil, err
}

func (w *Worker) wireStop(ctx context.Context, c *wireCall, instance string) (*wireResponse, error) {
	key, err := c.key()
	if err != nil {
		return nil, err
	}
	return nil, w.Stop(ctx, key, c.FencingToken, instance)
}

func (w *Worker) wirePace(ctx context.Context, c *wireCall, instance string) (*wireResponse, error) {
	key, err := c.key()
	if err != nil {
		return nil, err
	}
	return nil, w.Throttle(ctx, key, c.Percent, c.FencingToken, instance)
}

// status returns the time of the worker's clock, its start in unix milliseconds and its capacity.
func (w *Worker) status() (clockMs, startedMs int64, capacity resources.Resources) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.clock.nowMs(), w.startedMs, w.capacity
}

// DefaultAnnounceInterval is the time between two announcements unless Config has another.
const DefaultAnnounceInterval = 300 * time.Millisecond

// announcedState returns the state that the worker announces and, if it drains, the time until it
// leaves. left is set after Leave.
func (w *Worker) announcedState() (state string, remaining time.Duration, left bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.leavesAt.IsZero() {
		return "ready", 0, w.withdrawn
	}
	return "draining", max(w.leavesAt.Sub(w.config.Clock.Now()), 0), w.withdrawn
}

// Announce announces the worker to the registry of its agent, a host:port, every
// Config.AnnounceInterval and after a change of its state, in the form that the platform's workers
// use, until ctx ends or the worker has left, which it announces as well.
func (w *Worker) Announce(ctx context.Context, registry, service string) {
	client := &fasthttp.Client{}
	ticker := w.config.Clock.NewTicker(w.config.AnnounceInterval)
	defer ticker.Stop()
	life := int64(0)
	for sequence := 1; ; sequence++ {
		_, startedMs, capacity := w.status()
		if startedMs != life {
			life, sequence = startedMs, 1
		}
		state, remaining, left := w.announcedState()
		body, err := json.Marshal(map[string]any{
			"service": service, "addr": w.Address(), "state": state, "remaining_ms": remaining.Milliseconds(), "sequence": sequence, "born": startedMs, "labels": []string{"a", "r1"},
			"capacity": map[string]int64{"cpu": capacity.MilliCPU, "mem_mb": capacity.MemoryMB, "gpu": capacity.Accelerators},
		})
		if err != nil {
			panic(fmt.Sprintf("worker: cannot encode announcement: %v", err)) // not reached
		}
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.SetRequestURI("http://" + registry + "/-/instances/" + w.config.Name)
		req.Header.SetMethod(fasthttp.MethodPut)
		req.SetBody(body)
		if left {
			req.Header.SetMethod(fasthttp.MethodDelete)
			req.ResetBody()
		}
		if w.isUp() {
			err = client.DoTimeout(req, resp, time.Second) // the next tick repeats a failed announcement
		}
		fasthttp.ReleaseRequest(req)
		fasthttp.ReleaseResponse(resp)
		if left && err == nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		case <-w.announceNow:
		}
	}
}
