package entry

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"

	"camphorhead.example/camphorhead/connection/api"
	"camphorhead.example/camphorhead/process/auth"
	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/process/metrics"
	"camphorhead.example/camphorhead/process/tlsfiles"
	"camphorhead.example/camphorhead/request/job"
	"camphorhead.example/camphorhead/request/outcome"
)

const (
	maxLookupWait = time.Minute
	// operationTimeout bounds a configuration change, a cancellation, and a lookup beyond its wait_ms.
	operationTimeout = 5 * time.Second
)

// web is the HTTP server for callers and operators.
type web struct {
	entry    *Entry
	auth     *auth.Authenticator
	ids      requestIDs
	server   *fasthttp.Server
	listener net.Listener
	done     chan error
}

func newWeb(e *Entry) *web {
	w := &web{entry: e, ids: newRequestIDs(), done: make(chan error, 1)}
	w.server = &fasthttp.Server{
		Handler: w.handle, ErrorHandler: w.handleReadError,
		MaxRequestBodySize: int(e.cfg.HTTP.MaxBodyBytes), NoDefaultServerHeader: true, CloseOnShutdown: true,
	}
	return w
}

func (w *web) start() error {
	authenticator, err := auth.New(w.entry.cfg.Auth)
	if err != nil {
		return err
	}
	w.auth = authenticator
	listener, err := net.Listen("tcp", w.entry.cfg.HTTP.Listen)
	if err != nil {
		return errs.New("listen on %s: %w", w.entry.cfg.HTTP.Listen, err)
	}
	if listener, err = w.wrapTLS(listener); err != nil {
		return err
	}
	w.listener = listener
	go func() { w.done <- w.server.Serve(listener) }()
	return nil
}

// wrapTLS adds TLS if the settings name a certificate. On an error it closes the listener.
func (w *web) wrapTLS(listener net.Listener) (net.Listener, error) {
	h := w.entry.cfg.HTTP
	if h.TLSCert == "" {
		return listener, nil
	}
	files, err := tlsfiles.Open(h.TLSCert, h.TLSKey, w.entry.clock.Now)
	if err != nil {
		return nil, errs.Combine(err, listener.Close())
	}
	return tls.NewListener(listener, files.Config()), nil
}

func (w *web) address() string { return w.listener.Addr().String() }

// close stops accepting connections and waits for requests in progress until ctx ends.
func (w *web) close(ctx context.Context) error {
	err := w.server.ShutdownWithContext(ctx)
	return errs.Combine(err, <-w.done)
}

// abort closes the listener without waiting for requests in progress.
func (w *web) abort() error {
	err := w.listener.Close()
	<-w.done
	return err
}

// writeError responds with err, in the status that package outcome assigns to its kind.
func (w *web) writeError(x *exchange, id string, err error) {
	failure := outcome.From(err)
	row := failure.Kind.Response()
	w.entry.metrics.AddFor(metrics.Refusals, string(failure.Kind), 1)
	if failure.RetryAfterSeconds > 0 {
		x.Response.Header.Set("Retry-After", strconv.Itoa(failure.RetryAfterSeconds))
	}
	w.writeJSON(x, row.Status, api.ErrorResponse{
		Kind: failure.Kind, Ran: failure.Ran(), Retry: row.Retry || failure.NotRun,
		Field: failure.Field, Message: failure.Message, RequestID: id,
	})
}

// handleReadError responds to a request that fasthttp could not read.
func (w *web) handleReadError(ctx *fasthttp.RequestCtx, err error) {
	x := &exchange{RequestCtx: ctx}
	if errs.Is(err, fasthttp.ErrBodyTooLarge) {
		w.writeError(x, "", outcome.Field(outcome.BodyTooLarge, "body",
			"must have at most "+strconv.FormatInt(w.entry.cfg.HTTP.MaxBodyBytes, 10)+" bytes"))
		return
	}
	w.writeError(x, "", outcome.Field(outcome.InvalidField, "request", err.Error()))
}

func (w *web) writeJSON(x *exchange, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		x.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	x.SetStatusCode(status)
	x.SetContentType("application/json")
	x.SetBody(append(encoded, '\n'))
}

// recoverPanic turns a panic into an internal error response, so that the process goes on.
func (w *web) recoverPanic(x *exchange) {
	if cause := recover(); cause != nil {
		w.entry.log.Emit(event.InternalError, "component", "http", "error", cause)
		w.writeError(x, "", outcome.New(outcome.Internal, "internal error"))
	}
}

func (w *web) health(x *exchange) { x.SetBodyString("ok\n") }

func (w *web) metrics(x *exchange) {
	x.SetContentType(metrics.ContentType)
	x.SetBody(w.entry.metrics.Text())
}

func (w *web) readiness(x *exchange) {
	if w.entry.Ready() {
		x.SetBodyString("ready\n")
		return
	}
	x.SetStatusCode(fasthttp.StatusServiceUnavailable)
	x.SetBodyString("stopping\n")
}

func (w *web) submit(x *exchange) {
	began := w.entry.clock.Now()
	id := w.ids.next()
	s, err := parse(readFields(x), w.entry.config.Document(), id)
	if err == nil && !x.user.MayCall(s.Franchisee) {
		err = outcome.Field(outcome.Forbidden, "Camphorhead-Franchisee", "the token is not valid for this franchisee")
		w.logRefusal(x, err)
	}
	if err != nil {
		w.writeError(x, id, err)
		return
	}
	if s.Profile.Kind != job.Check {
		w.accept(x, s)
		return
	}
	body, err := w.entry.check(s)
	w.entry.metrics.ObserveFor(metrics.CheckTime, s.Profile.Name, w.entry.clock.Since(began))
	if err != nil {
		failure := outcome.From(err)
		w.entry.log.Emit(event.CheckRefused, "request", id, "profile", s.Profile.Name,
			"franchisee", s.Franchisee, "reason", failure.Kind, "ran", failure.Ran())
		w.writeError(x, id, err)
		return
	}
	x.Response.Header.Set("Camphorhead-Request-Id", id)
	x.SetBody(body)
}

func readFields(x *exchange) fields {
	h := &x.Request.Header
	return fields{
		Profile:    string(h.Peek("Camphorhead-Profile")),
		Franchisee: string(h.Peek("Camphorhead-Franchisee")),
		Key:        string(h.Peek("Camphorhead-Request-Key")),
		DeadlineMs: string(h.Peek("Camphorhead-Deadline-Ms")),
		Idempotent: string(h.Peek("Camphorhead-Idempotent")),
		Body:       append([]byte(nil), x.PostBody()...),
	}
}

// jobBody is the JSON form of a job for callers.
type jobBody struct {
	job.Record
	Result []byte `json:"result,omitempty"`
	Reused bool   `json:"reused,omitempty"`
}

func (w *web) accept(x *exchange, s submission) {
	ctx, cancel := context.WithTimeout(w.entry.runCtx, s.Deadline)
	defer cancel()
	record, created, err := w.entry.acceptJob(ctx, s)
	if err != nil {
		w.writeError(x, s.ID, err)
		return
	}
	w.writeJSON(x, fasthttp.StatusAccepted, jobBody{Record: record, Result: record.Result, Reused: !created})
}

func (w *web) lookup(x *exchange) {
	id := x.param
	wait := time.Duration(x.QueryArgs().GetUintOrZero("wait_ms")) * time.Millisecond
	wait = min(wait, maxLookupWait)
	ctx, cancel := context.WithTimeout(w.entry.runCtx, wait+operationTimeout)
	defer cancel()
	record, err := w.entry.lookup(ctx, id, wait)
	w.writeJob(x, id, record, err)
}

func (w *web) cancel(x *exchange) {
	id := x.param
	ctx, cancel := context.WithTimeout(w.entry.runCtx, operationTimeout)
	defer cancel()
	record, err := w.entry.lookup(ctx, id, 0)
	if err != nil && outcome.From(err).Kind == outcome.NotFound && w.mayExclude(x) {
		record, err = w.entry.excludeJob(ctx, id)
	}
	if err == nil && !w.owns(x, record) {
		err = outcome.Field(outcome.NotFound, "id", "no such job of this franchisee")
	}
	if err == nil {
		record, err = w.entry.cancelJob(ctx, id)
	}
	w.writeJob(x, id, record, err)
}

// mayExclude reports whether the user may act for the franchisee that the request names. The owner of a job
// that is not recorded is not known, but its id is a hash of the franchisee and the key.
func (w *web) mayExclude(x *exchange) bool {
	franchisee := string(x.Request.Header.Peek("Camphorhead-Franchisee"))
	return franchisee != "" && x.user.MayCall(franchisee)
}

// owns reports whether the job belongs to the franchisee that the request names
// and the user may act for.
func (w *web) owns(x *exchange, record job.Record) bool {
	franchisee := string(x.Request.Header.Peek("Camphorhead-Franchisee"))
	return franchisee == record.Franchisee && x.user.MayCall(franchisee)
}

func (w *web) writeJob(x *exchange, id string, record job.Record, err error) {
	if err == nil && !w.owns(x, record) {
		err = outcome.Field(outcome.NotFound, "id", "no such job of this franchisee")
	}
	if err != nil {
		w.writeError(x, id, err)
		return
	}
	w.writeJSON(x, fasthttp.StatusOK, jobBody{Record: record, Result: record.Result})
}
