// Package peer carries calls between camphorhead's processes over gnet
// connections.
//
// It guarantees that a reply reaches the call that it answers or nobody, that
// a connection without a valid handshake carries nothing, and that a silent
// connection ends its calls within a bound. It does not retry: callers settle
// a lost call by asking again.
package peer

import (
	"bytes"
	"context"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/zeebo/errs"

	"camphorhead.example/camphorhead/connection/frame"
	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/process/lockrank"
	"camphorhead.example/camphorhead/request/outcome"
)

// Conn is one connection to another process.
type Conn struct {
	net    *Network
	raw    gnet.Conn
	dialed bool
	// address is the dialed address; it is empty on accepted connections.
	address string

	// nonce and acceptorNonce belong to the handshake; only the event loop uses them.
	nonce         []byte
	acceptorNonce []byte
	remote        atomic.Pointer[message.Hello]
	ready         chan struct{} // closed when the handshake is complete
	closed        chan struct{}
	isClosed      atomic.Bool
	lastRecv      atomic.Int64 // unix nanoseconds
	pinged        atomic.Int64 // unix nanoseconds of the oldest unanswered ping; 0: none
	nextCall      atomic.Uint64

	mu    lockrank.Mutex // guards calls
	calls map[uint64]chan result
}

type result struct {
	body []byte
	err  error
}

func newConn(n *Network, raw gnet.Conn, address string) *Conn {
	c := &Conn{
		net: n, raw: raw, address: address, dialed: address != "",
		ready: make(chan struct{}), closed: make(chan struct{}),
		mu: lockrank.NewMutex(lockrank.RankCalls), calls: map[uint64]chan result{},
	}
	c.lastRecv.Store(time.Now().UnixNano())
	return c
}

// Remote returns the other side's hello; it is nil before the handshake.
func (c *Conn) Remote() *message.Hello { return c.remote.Load() }

// LastReceived returns when the other side was last heard.
func (c *Conn) LastReceived() time.Time { return time.Unix(0, c.lastRecv.Load()) }

// Pending is one call that was sent.
type Pending struct {
	conn *Conn
	call uint64
	wait chan result
}

// Start sends a request. The caller ends the call with Await or Abandon.
func (c *Conn) Start(kind message.Kind, body any) (*Pending, error) {
	p := &Pending{conn: c, call: c.nextCall.Add(1), wait: make(chan result, 1)}
	if !c.addCall(p.call, p.wait) {
		return nil, outcome.New(outcome.ConnectionLost, "connection closed before the call was sent").AsNotRun()
	}
	if err := c.send(kind, p.call, body); err != nil {
		p.Abandon()
		return nil, outcome.New(outcome.ConnectionLost, err.Error())
	}
	return p, nil
}

// Await decodes the reply. It returns when the reply arrives, ctx ends or the
// connection is lost, whichever is first.
func (p *Pending) Await(ctx context.Context, reply any) error {
	defer p.Abandon()
	select {
	case <-ctx.Done():
		return outcome.New(outcome.DeadlineExceeded, "no reply before the deadline")
	case r := <-p.wait:
		if r.err != nil {
			return r.err
		}
		if reply == nil {
			return nil
		}
		return errs.Wrap(msgpack.Unmarshal(r.body, reply))
	}
}

// Answered waits until the reply is there, ctx ends or the connection is lost;
// it reports whether Await will return at once.
func (p *Pending) Answered(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case r := <-p.wait:
		p.wait <- r
		return true
	}
}

// FirstAnswered waits for the first of two replies and reports whether it is
// a's. It reports true when ctx ends first.
func FirstAnswered(ctx context.Context, a, b *Pending) bool {
	select {
	case <-ctx.Done():
		return true
	case r := <-a.wait:
		a.wait <- r
		return true
	case r := <-b.wait:
		b.wait <- r
		return false
	}
}

// Abandon gives the call up; a later reply is dropped.
func (p *Pending) Abandon() { p.conn.dropCall(p.call) }

// Call is Start followed by Await.
func (c *Conn) Call(ctx context.Context, kind message.Kind, body, reply any) error {
	p, err := c.Start(kind, body)
	if err != nil {
		return err
	}
	return p.Await(ctx, reply)
}

// Notify sends a message that has no reply.
func (c *Conn) Notify(kind message.Kind, body any) error {
	if c.isClosed.Load() {
		return outcome.New(outcome.ConnectionLost, "connection closed before the message was sent").AsNotRun()
	}
	return c.send(kind, 0, body)
}

// Closed reports whether the connection has ended.
func (c *Conn) Closed() bool { return c.isClosed.Load() }

// Unanswered returns the number of calls without an answer.
func (c *Conn) Unanswered() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.calls)
}

// Close ends the connection; its pending calls fail.
func (c *Conn) Close() {
	c.fail(outcome.New(outcome.ConnectionLost, "connection closed"))
	_ = c.raw.Close()
}

func (c *Conn) addCall(call uint64, wait chan result) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosed.Load() {
		return false
	}
	c.calls[call] = wait
	return true
}

func (c *Conn) dropCall(call uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.calls, call)
}

// complete hands a reply to its waiter. A late reply has no waiter and is dropped.
func (c *Conn) complete(call uint64, r result) {
	c.mu.Lock()
	wait := c.calls[call]
	delete(c.calls, call)
	c.mu.Unlock()
	if wait != nil {
		wait <- r
	}
}

// fail ends all pending calls and marks the connection closed.
func (c *Conn) fail(err error) {
	c.mu.Lock()
	calls := c.calls
	c.calls = map[uint64]chan result{}
	first := c.isClosed.CompareAndSwap(false, true)
	c.mu.Unlock()
	if first {
		close(c.closed)
	}
	for _, wait := range calls {
		wait <- result{err: err}
	}
}

func (c *Conn) send(kind message.Kind, call uint64, body any) error {
	encoded, err := encode(body)
	if err != nil {
		return err
	}
	if len(encoded)+frame.HeaderBytes > frame.MaxBytes {
		return frame.ErrTooLarge
	}
	buf := make([]byte, 0, frame.HeaderBytes+len(encoded))
	buf = frame.Append(buf, frame.Frame{Kind: kind, Call: call, Clock: c.net.cfg.Clock.Now(), Body: encoded})
	c.net.traffic.sent(kind, len(buf))
	return errs.Wrap(c.raw.AsyncWrite(buf, nil))
}

// encode writes structs as arrays and numbers in as few bytes as they need,
// since control traffic between regions is paid by volume.
func encode(body any) ([]byte, error) {
	var buf bytes.Buffer
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(&buf)
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	if err := enc.Encode(body); err != nil {
		return nil, errs.Wrap(err)
	}
	return buf.Bytes(), nil
}

// Request is one call of the other side.
type Request struct {
	Conn *Conn
	Kind message.Kind
	body []byte
	call uint64
}

// Decode reads the body into v.
func (r Request) Decode(v any) error {
	if err := msgpack.Unmarshal(r.body, v); err != nil {
		return outcome.New(outcome.MalformedFrame, err.Error())
	}
	return nil
}

// Reply answers the call; it may be called later and from any goroutine, once.
func (r Request) Reply(body any) {
	_ = r.Conn.send(message.KindReply, r.call, body)
}

// Fail answers the call with an error.
func (r Request) Fail(err error) {
	_ = r.Conn.send(message.KindError, r.call, outcome.From(err))
}
