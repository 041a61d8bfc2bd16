package peer

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"

	"camphorhead.example/camphorhead/connection/body"
	"camphorhead.example/camphorhead/connection/frame"
	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/request/outcome"
)

// eventLoop handles gnet's callbacks: it splits the stream into frames and
// dispatches them. Its methods run on gnet's event loops and must not block.
type eventLoop struct {
	gnet.BuiltinEventEngine
	net    *Network
	client bool // handles dialed connections, otherwise accepted ones
}

// OnBoot implements gnet.EventHandler.
func (l *eventLoop) OnBoot(engine gnet.Engine) gnet.Action {
	if l.client {
		return gnet.None
	}
	address, err := boundAddress(engine)
	if err != nil {
		return gnet.Shutdown
	}
	l.net.engine = engine
	l.net.address = address
	close(l.net.booted)
	return gnet.None
}

// OnOpen implements gnet.EventHandler. The accepting side starts the handshake.
func (l *eventLoop) OnOpen(raw gnet.Conn) ([]byte, gnet.Action) {
	if l.client {
		c, ok := raw.Context().(*Conn)
		if !ok {
			return nil, gnet.Close
		}
		c.raw = raw
		l.net.add(c)
		return nil, gnet.None
	}
	c := newConn(l.net, raw, "")
	raw.SetContext(c)
	l.net.add(c)
	if err := c.sendChallenge(); err != nil {
		return nil, gnet.Close
	}
	return nil, gnet.None
}

// OnClose implements gnet.EventHandler.
func (l *eventLoop) OnClose(raw gnet.Conn, err error) gnet.Action {
	c, ok := raw.Context().(*Conn)
	if !ok {
		return gnet.None
	}
	l.net.remove(c)
	c.fail(outcome.New(outcome.ConnectionLost, "connection lost"))
	if remote := c.Remote(); remote != nil {
		l.net.cfg.Observer.ConnClosed(*remote, err)
	}
	return gnet.None
}

// OnTraffic implements gnet.EventHandler.
func (l *eventLoop) OnTraffic(raw gnet.Conn) gnet.Action {
	c, ok := raw.Context().(*Conn)
	if !ok {
		return gnet.Close
	}
	c.lastRecv.Store(time.Now().UnixNano())
	for {
		buf, err := raw.Peek(-1)
		if err != nil || len(buf) == 0 {
			return gnet.None
		}
		f, used, err := frame.Decode(buf)
		if err != nil {
			return l.rejectFrame(c, raw, err)
		}
		if used == 0 {
			return gnet.None
		}
		f.Body = append([]byte(nil), f.Body...)
		if _, err := raw.Discard(used); err != nil {
			return gnet.Close
		}
		l.net.traffic.received(f.Kind, used)
		l.net.cfg.Clock.Observe(f.Clock)
		if !l.dispatch(c, f) {
			return gnet.Close
		}
	}
}

// rejectFrame replies with an error frame and closes the connection, since the stream
// is unusable after a malformed frame.
func (l *eventLoop) rejectFrame(c *Conn, raw gnet.Conn, cause error) gnet.Action {
	l.net.cfg.Observer.FrameMalformed(raw.RemoteAddr().String(), cause)
	kind := outcome.MalformedFrame
	if cause == frame.ErrVersion {
		kind = outcome.WrongVersion
	}
	encoded, err := encode(outcome.Field(kind, "frame", cause.Error()))
	if err == nil {
		_, _ = raw.Write(frame.Append(nil, frame.Frame{Kind: message.KindError, Body: encoded}))
	}
	c.fail(outcome.New(outcome.ConnectionLost, cause.Error()))
	return gnet.Close
}

// dispatch handles one frame; false: the connection must be closed.
func (l *eventLoop) dispatch(c *Conn, f frame.Frame) bool {
	if f.Kind == message.KindHello {
		return c.handleHello(f)
	}
	if c.Remote() == nil {
		l.net.cfg.Observer.ConnRefused(c.raw.RemoteAddr().String(), errNoHandshake)
		return false
	}
	switch f.Kind {
	case message.KindReply:
		c.complete(f.Call, result{body: f.Body})
	case message.KindError:
		failure := &outcome.Error{}
		if err := body.Unmarshal(f.Body, failure); err != nil {
			failure = outcome.New(outcome.Internal, "malformed body of an error reply")
		}
		c.complete(f.Call, result{err: failure})
	case message.KindPing:
		_ = c.send(message.KindReply, f.Call, message.Ping{})
	default:
		return l.submit(Request{Conn: c, Kind: f.Kind, body: f.Body, call: f.Call})
	}
	return true
}

// submit passes a request to the handler's own queue or to the pool. A full or closed pool fails
// a call with outcome.QueueFull. It ends the connection of a notification, by returning false:
// the sender learns of a lost one only by the loss of the connection.
func (l *eventLoop) submit(r Request) bool {
	if l.net.handler.Queue(r) {
		return true
	}
	err := l.net.pool.Submit(func(ctx context.Context) { l.handle(ctx, r) })
	if err == nil {
		return true
	}
	if r.call == noCall {
		l.net.cfg.Observer.NotificationRejected(*r.Conn.Remote())
		return false
	}
	r.Fail(outcome.New(outcome.QueueFull, "request rejected: the worker pool is full or closed"))
	return true
}

// handle passes a request to the handler. A panic fails a call and ends the connection of a
// notification: one request, which may be malformed in a way that its decoding does not show,
// must not end the process.
func (l *eventLoop) handle(ctx context.Context, r Request) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		l.net.cfg.Observer.HandlerPanicked(*r.Conn.Remote(), r.Kind, cause)
		if r.call == noCall {
			r.Conn.Close()
			return
		}
		r.Fail(outcome.New(outcome.Internal, "internal error"))
	}()
	l.net.handler.Handle(ctx, r)
}

// Traffic counts the bytes of frames by message kind. It is safe for concurrent use.
type Traffic struct {
	sentBytes, receivedBytes [256]atomic.Int64
}

func (t *Traffic) sent(kind message.Kind, n int)     { t.sentBytes[kind].Add(int64(n)) }
func (t *Traffic) received(kind message.Kind, n int) { t.receivedBytes[kind].Add(int64(n)) }

// Bytes returns the byte counts of one kind.
func (t *Traffic) Bytes(kind message.Kind) (sent, received int64) {
	return t.sentBytes[kind].Load(), t.receivedBytes[kind].Load()
}

// Total returns the byte counts of all kinds.
func (t *Traffic) Total() (sent, received int64) {
	for kind := range t.sentBytes {
		sent += t.sentBytes[kind].Load()
		received += t.receivedBytes[kind].Load()
	}
	return sent, received
}

type nopClock struct{}

func (nopClock) Now() uint64    { return 0 }
func (nopClock) Observe(uint64) {}

type nopObserver struct{}

func (nopObserver) ConnOpened(message.Hello)           {}
func (nopObserver) ConnClosed(message.Hello, error)    {}
func (nopObserver) ConnTimedOut(message.Hello)         {}
func (nopObserver) NotificationRejected(message.Hello) {}
func (nopObserver) ConnRefused(string, error)          {}
func (nopObserver) FrameMalformed(string, error)       {}

func (nopObserver) HandlerPanicked(message.Hello, message.Kind, any) {}

// nopLogger discards gnet's log lines; the Observer reports connection events.
type nopLogger struct{}

func (nopLogger) Debugf(string, ...any) {}
func (nopLogger) Infof(string, ...any)  {}
func (nopLogger) Warnf(string, ...any)  {}
func (nopLogger) Errorf(string, ...any) {}
func (nopLogger) Fatalf(string, ...any) {}
