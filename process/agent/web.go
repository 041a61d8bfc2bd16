package agent

import (
	"encoding/json"
	"net"
	"net/netip"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"

	"camphorhead.example/camphorhead/process/metrics"
)

// web is the agent's HTTP server for the announcements of targets, metrics and health.
type web struct {
	agent    *Agent
	server   *fasthttp.Server
	listener net.Listener
	done     chan error
}

func newWeb(a *Agent) *web {
	w := &web{agent: a, done: make(chan error, 1)}
	w.server = &fasthttp.Server{
		Handler: w.handle, MaxRequestBodySize: int(a.cfg.HTTP.MaxBodyBytes), NoDefaultServerHeader: true,
		CloseOnShutdown: true,
	}
	return w
}

func (w *web) start() error {
	listener, err := net.Listen("tcp", w.agent.cfg.HTTP.Listen)
	if err != nil {
		return errs.New("listen for HTTP on %s: %w", w.agent.cfg.HTTP.Listen, err)
	}
	w.listener = listener
	go func() { w.done <- w.server.Serve(listener) }()
	return nil
}

func (w *web) address() string { return w.listener.Addr().String() }

func (w *web) close() error {
	err := w.server.Shutdown()
	return errs.Combine(err, <-w.done)
}

func (w *web) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/v1/announce":
		w.announce(ctx)
	case "/healthz":
		ctx.SetBodyString("ok\n")
	case "/metrics":
		ctx.SetContentType(metrics.ContentType)
		ctx.SetBody(w.agent.metrics.Text())
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (w *web) announce(ctx *fasthttp.RequestCtx) {
	var t Target
	if err := json.Unmarshal(ctx.PostBody(), &t); err != nil {
		ctx.Error("decode announcement: "+err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if field := t.invalidField(); field != "" {
		ctx.Error(field+": missing or invalid", fasthttp.StatusBadRequest)
		return
	}
	switch string(ctx.Method()) {
	case fasthttp.MethodPost:
		if err := w.agent.checks.announce(t); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		}
	case fasthttp.MethodDelete:
		w.agent.checks.withdraw(t)
	default:
		ctx.SetStatusCode(fasthttp.StatusMethodNotAllowed)
	}
}

// Limits of the announcements of targets, which any process that reaches the agent may send.
const (
	maxSlots        = 4096 // of all targets of an agent; each starts a goroutine
	maxConnections  = 1 << 16
	maxServiceBytes = 128
)

// invalidField returns the name of the first invalid field, or "" if there is none.
func (t Target) invalidField() string {
	switch {
	case t.Service == "" || len(t.Service) > maxServiceBytes:
		return "service"
	case !isTargetAddress(t.Address):
		return "address"
	case t.Slots < 1 || t.Slots > maxSlots:
		return "slots"
	case t.Connections < 1 || t.Connections > maxConnections:
		return "connections"
	}
	return ""
}

// isTargetAddress reports whether an address is an IP address with a port from 1 to 65535.
func isTargetAddress(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Port() > 0
}
