// Package peer carries calls between camphorhead's processes over gnet
// connections.
//
// It guarantees that a reply is delivered to its own call or dropped, that a
// connection carries no messages before a valid handshake, and that the calls on an
// unresponsive connection fail within a bound. It does not retry: callers query the
// outcome of a lost call.
package peer

import (
	"bytes"
	"context"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/zeebo/errs"

	"camphorhead.example/camphorhead/connection/body"
	"camphorhead.example/camphorhead/connection/frame"
	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/process/lockrank"
	"camphorhead.example/camphorhead/request/outcome"
)

// Conn is one connection to another process. Its exported methods are safe for
// concurrent use.
type Conn struct {
	net     *Network
	raw     gnet.Conn
	dialed  bool
	address string // as given to Network.Conn; empty on accepted connections

	// Only the event loop uses the nonces, during the handshake.
	nonce         []byte // of this side
	acceptorNonce []byte // of the other side of a dialed connection
	remote        atomic.Pointer[message.Hello]
	ready         chan struct{} // closed when the handshake is complete
	closed        chan struct{} // closed when the connection has ended
	isClosed      atomic.Bool
	lastRecv      atomic.Int64 // unix nanoseconds
	pingSentAt    atomic.Int64 // unix nanoseconds of the outstanding ping; 0: none
	nextCall      atomic.Uint64

	mu    lockrank.Mutex         // guards calls
	calls map[uint64]chan result // pending calls by ID; each channel buffers one result
}

type result struct {
	body []byte
	err  error
}

// newConn returns a connection before its handshake. raw is nil for a dialed
// connection until the event loop opens it.
func newConn(n *Network, raw gnet.Conn, address string) *Conn {
	c := &Conn{
		net: n, raw: raw, address: address, dialed: address != "",
		ready: make(chan struct{}), closed: make(chan struct{}),
		mu: lockrank.NewMutex(lockrank.RankCalls), calls: map[uint64]chan result{},
	}
	c.lastRecv.Store(time.Now().UnixNano())
	return c
}

// Remote returns the other side's hello; nil before the handshake is complete.
func (c *Conn) Remote() *message.Hello { return c.remote.Load() }

// Pending is a call whose request was sent; not safe for concurrent use.
type Pending struct {
	conn *Conn
	call uint64
	wait chan result
}

// Start sends a request; the caller must end the call with Await or Abandon. The
// error is an outcome.ConnectionLost.
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

// Await waits until the reply arrives, ctx ends or the connection is lost, and ends
// the call. It decodes the reply into reply unless that is nil. The error is that of
// the other side, outcome.DeadlineExceeded, outcome.ConnectionLost or a decoding error.
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
		return errs.Wrap(body.Unmarshal(r.body, reply))
	}
}

// WaitReply waits as Await does but does not end the call. It reports false if ctx
// ended first; otherwise Await will return immediately.
func (p *Pending) WaitReply(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case r := <-p.wait:
		p.wait <- r
		return true
	}
}

// FirstReply waits for the first of two replies or lost connections and reports
// whether it is a's. It also reports true when ctx ends first.
func FirstReply(ctx context.Context, a, b *Pending) bool {
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

// Abandon ends the call without waiting; a later reply is dropped.
func (p *Pending) Abandon() { p.conn.dropCall(p.call) }

// Call is Start followed by Await.
func (c *Conn) Call(ctx context.Context, kind message.Kind, body, reply any) error {
	p, err := c.Start(kind, body)
	if err != nil {
		return err
	}
	return p.Await(ctx, reply)
}

// noCall is the call ID of a notification; calls have IDs from 1.
const noCall = 0

// Notify sends a message that has no reply. A nil error does not confirm delivery, but a
// notification is lost only with its connection.
func (c *Conn) Notify(kind message.Kind, body any) error {
	if c.isClosed.Load() {
		return outcome.New(outcome.ConnectionLost, "connection closed before the message was sent").AsNotRun()
	}
	return c.send(kind, noCall, body)
}

// Closed reports whether the connection has ended.
func (c *Conn) Closed() bool { return c.isClosed.Load() }

// PendingCalls returns the number of calls without a reply.
func (c *Conn) PendingCalls() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.calls)
}

// Close ends the connection; its pending calls fail with outcome.ConnectionLost.
func (c *Conn) Close() {
	c.fail(outcome.New(outcome.ConnectionLost, "connection closed"))
	_ = c.raw.Close()
}

// addCall registers a call; false: the connection is closed.
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

// complete delivers a reply to its call, or drops it if the call has ended.
func (c *Conn) complete(call uint64, r result) {
	c.mu.Lock()
	wait := c.calls[call]
	delete(c.calls, call)
	c.mu.Unlock()
	if wait != nil {
		wait <- r
	}
}

// fail marks the connection closed and ends all pending calls with err.
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

// send encodes a message and queues the frame for writing; it does not block.
// The error is an encoding error, frame.ErrTooLarge or that of the queueing.
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

// encode encodes a message as msgpack, with structs as arrays and integers in
// their shortest form, since control traffic between regions is billed by volume.
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

// Request is a call or notification received from the other side.
type Request struct {
	Conn *Conn
	Kind message.Kind
	body []byte
	call uint64
}

// Decode decodes the body into v. The error is an outcome.MalformedFrame.
func (r Request) Decode(v any) error {
	if err := body.Unmarshal(r.body, v); err != nil {
		return outcome.New(outcome.MalformedFrame, err.Error())
	}
	return nil
}

// Reply replies to the call, at most once, from any goroutine and also after Handle has
// returned. A reply that cannot be sent is dropped.
func (r Request) Reply(body any) {
	_ = r.Conn.send(message.KindReply, r.call, body)
}

// Fail is like Reply, but the call ends with an error.
func (r Request) Fail(err error) {
	_ = r.Conn.send(message.KindError, r.call, outcome.From(err))
}
