package platform

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"

	"camphorhead.example/camphorhead/request/job"
)

// maxWorkerConnections bounds the connections to one worker.
const maxWorkerConnections = 64

// HTTPWorker is a client of a Worker with camphorhead's own HTTP interface, whose bodies
// are types of this package as JSON.
type HTTPWorker struct {
	base string
	http *fasthttp.Client
}

// NewHTTPWorker returns a client of the worker at base, for example "http://127.0.0.1:7001".
func NewHTTPWorker(base string) *HTTPWorker {
	return &HTTPWorker{base: strings.TrimRight(base, "/"), http: &fasthttp.Client{
		MaxConnsPerHost: maxWorkerConnections, MaxIdemponentCallAttempts: 1,
		RetryIfErr:                    func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		NoDefaultUserAgentHeader:      true,
		DisableHeaderNamesNormalizing: true,
	}}
}

// The URL paths of the calls.
const (
	PathHold     = "/v1/hold"
	PathStart    = "/v1/runs/start"
	PathStop     = "/v1/runs/stop"
	PathThrottle = "/v1/runs/throttle"
)

// RunCall is the body of a call to stop or to throttle a run.
type RunCall struct {
	job.RunKey
	Token    int64  `json:"token"`
	Instance string `json:"instance,omitempty"`
	Percent  int    `json:"percent,omitempty"`
}

// StartResponse is the body of the response to an accepted start.
type StartResponse struct {
	ClockMs int64 `json:"clock_ms"`
}

// Hold implements Worker.
func (w *HTTPWorker) Hold(ctx context.Context, r HoldRequest) (Listing, error) {
	var l Listing
	ctx, cancel := context.WithTimeout(ctx, r.Wait+DefaultTimeout)
	defer cancel()
	if err := w.call(ctx, PathHold+"?wait_ms="+strconv.FormatInt(r.Wait.Milliseconds(), 10), r, &l); err != nil {
		return Listing{}, err
	}
	return l, l.validate()
}

// maxTimeMs bounds the times of a listing, so that those computed from them do not overflow.
const maxTimeMs = 1 << 43

func (l *Listing) validate() error {
	for _, ms := range [...]int64{l.StartedMs, l.ClockMs, l.UsageAgeMs} {
		if ms < 0 || ms > maxTimeMs {
			return errs.New("listing: a time of %d ms is out of range", ms)
		}
	}
	if !l.Capacity.InRange() {
		return errs.New("listing: capacity %+v is out of range", l.Capacity)
	}
	return nil
}

// Start implements Worker.
func (w *HTTPWorker) Start(ctx context.Context, r RunRequest) (clockMs int64, err error) {
	var reply StartResponse
	err = w.call(ctx, PathStart, r, &reply)
	return reply.ClockMs, err
}

// Stop implements Worker.
func (w *HTTPWorker) Stop(ctx context.Context, run job.RunKey, token int64, instance string) error {
	return w.call(ctx, PathStop, RunCall{RunKey: run, Token: token, Instance: instance}, nil)
}

// Throttle implements Worker.
func (w *HTTPWorker) Throttle(ctx context.Context, run job.RunKey, percent int, token int64, instance string) error {
	return w.call(ctx, PathThrottle, RunCall{RunKey: run, Token: token, Instance: instance, Percent: percent}, nil)
}

// call sends a request once and decodes the response into out, unless out is nil.
func (w *HTTPWorker) call(ctx context.Context, path string, in, out any) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI(w.base + path)
	body, err := json.Marshal(in)
	if err != nil {
		return errs.Wrap(err)
	}
	req.SetBodyRaw(body)
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(DefaultTimeout)
	}
	if err := ctx.Err(); err != nil {
		return errs.Combine(ErrUnavailable, err)
	}
	if err := w.http.DoDeadline(req, resp, deadline); err != nil {
		return errs.Combine(ClassifyTransportError(err), err)
	}
	if err := workerError(resp.StatusCode(), resp.Body()); err != nil {
		return err
	}
	if out == nil {
		return nil
	}
	return errs.Wrap(json.Unmarshal(resp.Body(), out))
}

// ClassifyTransportError returns ErrUnavailable if the call was not sent, else ErrUncertain.
func ClassifyTransportError(err error) error {
	var dial *net.OpError
	switch {
	case errors.As(err, &dial) && dial.Op == "dial",
		errors.Is(err, fasthttp.ErrDialTimeout), errors.Is(err, fasthttp.ErrNoFreeConns):
		return ErrUnavailable
	}
	return ErrUncertain
}

// workerError returns the error for a response status. The body of a 409 is a RefusalError.
func workerError(status int, body []byte) error {
	switch status {
	case fasthttp.StatusOK, fasthttp.StatusNoContent:
		return nil
	case fasthttp.StatusConflict:
		refusal := &RefusalError{}
		if err := json.Unmarshal(body, refusal); err != nil {
			return errs.Wrap(err)
		}
		return refusal
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests:
		return errs.Combine(ErrUnavailable, errs.New("status %d", status))
	}
	return errs.Combine(ErrUncertain, errs.New("status %d: %.200s", status, body))
}
