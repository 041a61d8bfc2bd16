// Package serve runs the HTTP server of a stand-in.
package serve

import (
	"context"
	"net"
	"sync"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"

	"camphorhead.example/camphorhead/process/lockrank"
	"camphorhead.example/standin"
)

// maxBodyBytes is above the store's limit on values, so that the store can enforce its limit.
const maxBodyBytes = 8 << 20

// Handler handles one request. ctx ends when the server closes, not with the connection.
type Handler func(ctx context.Context, rc *fasthttp.RequestCtx)

// Server owns a listener, its connections and their goroutines.
type Server struct {
	http     *fasthttp.Server
	listener net.Listener
	limit    int
	ctx      context.Context
	cancel   context.CancelFunc
	served   chan struct{}
	once     sync.Once

	mu     lockrank.Mutex // guards the fields below
	conns  map[*conn]struct{}
	closed bool
}

// conn is one accepted connection; overLimit is set if the server was at its limit then.
type conn struct {
	net.Conn
	server    *Server
	overLimit bool
}

// Start listens on address; an empty one means any free port on 127.0.0.1. At most limit
// connections are served, others get a 503 and are closed; 0 means no limit.
func Start(address string, limit int, handler Handler) (*Server, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, errs.Wrap(err)
	}
	s := &Server{
		listener: listener, limit: limit, served: make(chan struct{}),
		mu: lockrank.NewMutex(standin.Rank), conns: make(map[*conn]struct{}),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.http = &fasthttp.Server{
		Handler:               func(rc *fasthttp.RequestCtx) { s.handle(rc, handler) },
		MaxRequestBodySize:    maxBodyBytes,
		NoDefaultServerHeader: true,
		Logger:                discardLogger{},
	}
	go func() {
		defer close(s.served)
		_ = s.http.Serve(acceptor{listener, s})
	}()
	return s, nil
}

// Address returns the listener's host:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close closes the listener and all connections, and waits for all handlers.
func (s *Server) Close() {
	s.once.Do(func() {
		s.cancel()
		_ = s.listener.Close()
		for _, c := range s.markClosed() {
			_ = c.Conn.Close()
		}
	})
	<-s.served
	_ = s.http.Shutdown()
}

// markClosed makes register close later connections, and returns the open ones.
func (s *Server) markClosed() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	open := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		open = append(open, c)
	}
	return open
}

func (s *Server) handle(rc *fasthttp.RequestCtx, handler Handler) {
	if c, ok := rc.Conn().(*conn); ok && c.overLimit {
		rc.SetConnectionClose()
		rc.Error("connection limit reached", fasthttp.StatusServiceUnavailable)
		return
	}
	handler(s.ctx, rc)
}

func (s *Server) register(raw net.Conn) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &conn{Conn: raw, server: s}
	c.overLimit = s.limit > 0 && len(s.conns) >= s.limit
	if s.closed {
		_ = raw.Close()
		return c
	}
	s.conns[c] = struct{}{}
	return c
}

// Close closes the connection and removes it from the server's table.
func (c *conn) Close() error {
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.server.mu.Unlock()
	return c.Conn.Close()
}

// acceptor registers accepted connections with the server.
type acceptor struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (a acceptor) Accept() (net.Conn, error) {
	raw, err := a.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return a.server.register(raw), nil
}

// discardLogger drops fasthttp's log lines about connections closed by injected faults.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}
