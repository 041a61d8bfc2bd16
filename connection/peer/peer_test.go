package peer

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"camphorhead.example/camphorhead/connection/frame"
	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/process/pool"
	"camphorhead.example/camphorhead/request/outcome"
)

// echoHandler replies to each check with the body of the check.
type echoHandler struct{}

func (echoHandler) Handle(_ context.Context, r Request) {
	var check message.Check
	if err := r.Decode(&check); err != nil {
		r.Fail(err)
		return
	}
	r.Reply(message.CheckReply{Request: check.Request, Body: check.Body})
}

func (echoHandler) Queue(Request) bool { return false }

func startNetwork(t *testing.T, id, key string, change func(*Config)) *Network {
	t.Helper()
	workers := pool.New(4, 256)
	cfg := Config{
		Listen: "127.0.0.1:0", Key: []byte(key),
		Hello: func() message.Hello { return message.Hello{ID: id, Role: message.RoleAgent} },
	}
	if change != nil {
		change(&cfg)
	}
	n := New(cfg, workers, echoHandler{})
	require.NoError(t, n.Start())
	t.Cleanup(func() {
		require.NoError(t, n.Close())
		workers.Close()
	})
	return n
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// Guards against replies that reach another call, or arrive truncated, on a
// connection shared by many calls.
func TestConcurrentCallsGetTheirOwnReply(t *testing.T) {
	server, client := startNetwork(t, "a", "key", nil), startNetwork(t, "b", "key", nil)
	done := make(chan error, 200)
	for i := range cap(done) {
		go func() {
			body := make([]byte, 1+i*97)
			body[i*97] = byte(i)
			var reply message.CheckReply
			err := client.Call(testContext(t), server.Address(), message.KindCheck, message.Check{Body: body}, &reply)
			if err == nil && string(reply.Body) != string(body) {
				err = outcome.New(outcome.Internal, "reply of another call")
			}
			done <- err
		}()
	}
	for range cap(done) {
		require.NoError(t, <-done)
	}
}

// Guards against a handshake that accepts another key, and against an error that does
// not say that nothing was executed.
func TestWrongKeyIsRefused(t *testing.T) {
	server, client := startNetwork(t, "a", "key", nil), startNetwork(t, "b", "other", nil)
	err := client.Call(testContext(t), server.Address(), message.KindCheck, message.Check{}, nil)
	require.Equal(t, outcome.RanNo, outcome.From(err).Ran())
}

// Guards against a malformed frame that ends the process or gets no error frame.
func TestMalformedFrameGetsAnErrorFrame(t *testing.T) {
	server := startNetwork(t, "a", "key", nil)
	raw, err := net.Dial("tcp", server.Address())
	require.NoError(t, err)
	defer func() { require.NoError(t, raw.Close()) }()
	_, err = raw.Write([]byte{0xff, 0xff, 0xff, 0xff, 1, 2, 3})
	require.NoError(t, err)
	require.NoError(t, raw.SetReadDeadline(time.Now().Add(10*time.Second)))
	var received []byte
	buf := make([]byte, 4096)
	for {
		n, err := raw.Read(buf)
		received = append(received, buf[:n]...)
		if err != nil {
			break
		}
	}
	_, used, err := frame.Decode(received) // the server's hello comes first
	require.NoError(t, err)
	f, _, err := frame.Decode(received[used:])
	require.NoError(t, err)
	require.Equal(t, message.KindError, f.Kind)
}

// Guards against calls that hang on a connection on which no more data arrives, and
// against new calls that reuse it although a new connection would work.
func TestSilentConnectionFailsItsCallsAndIsReplaced(t *testing.T) {
	server := startNetwork(t, "a", "key", nil)
	proxy := newSilencingProxy(t, server.Address())
	client := startNetwork(t, "b", "key", func(cfg *Config) {
		cfg.Translate = func(string) string { return proxy.address }
		cfg.PingAfter = 20 * time.Millisecond
		cfg.PingTimeout = 100 * time.Millisecond
	})
	require.NoError(t, client.Call(testContext(t), server.Address(), message.KindCheck, message.Check{}, nil))
	proxy.silenceOpenConnections()
	err := client.Call(testContext(t), server.Address(), message.KindCheck, message.Check{}, nil)
	require.Equal(t, outcome.ConnectionLost, outcome.From(err).Kind)
	require.NoError(t, client.Call(testContext(t), server.Address(), message.KindCheck, message.Check{}, nil))
}

// silencingProxy is a TCP proxy that drops the data of connections opened before the
// last call of silenceOpenConnections.
type silencingProxy struct {
	address string
	epoch   atomic.Int64 // number of calls of silenceOpenConnections
}

func newSilencingProxy(t *testing.T, upstream string) *silencingProxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &silencingProxy{address: listener.Addr().String()}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", upstream)
			if err != nil {
				_ = in.Close()
				continue
			}
			epoch := p.epoch.Load()
			go p.copy(in, out, epoch)
			go p.copy(out, in, epoch)
		}
	}()
	return p
}

func (p *silencingProxy) silenceOpenConnections() { p.epoch.Add(1) }

func (p *silencingProxy) copy(dst, src net.Conn, epoch int64) {
	defer func() { _ = dst.Close() }()
	buf := make([]byte, 4096)
	for {
		n, err := src.Read(buf)
		if err != nil {
			return
		}
		if p.epoch.Load() != epoch {
			continue
		}
		if _, err := dst.Write(buf[:n]); err != nil {
			return
		}
	}
}

// Guards against an address of another writer that makes a dial panic or wait, and against a
// hello of another writer that makes the event loop use memory without bound.
func TestOddAddressesAndHellos(t *testing.T) {
	n := startNetwork(t, "a", "key", nil)
	for _, address := range []string{"127.0.0.1:99999", "127.0.0.1:-1", "127.0.0.1", "", ":::", "127.0.0.1:0", "\x00"} {
		began := time.Now()
		_, err := n.Conn(testContext(t), address)
		require.Equal(t, outcome.ConnectionLost, outcome.From(err).Kind, address)
		require.Less(t, time.Since(began), DefaultDialTimeout, address)
	}
	for name, hello := range map[string][]byte{
		"nested":  append([]byte("\x81\xa1z"), bytes.Repeat([]byte{0x91}, 1<<20-100)...),
		"nonce":   []byte("\x81\xa1n\xc6\xff\xff\xff\xff"),
		"no text": []byte("\xc1"),
	} {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		raw, err := net.Dial("tcp", n.Address())
		require.NoError(t, err)
		_, err = raw.Write(frame.Append(nil, frame.Frame{Kind: message.KindHello, Body: hello}))
		require.NoError(t, err)
		require.NoError(t, raw.SetReadDeadline(time.Now().Add(5*time.Second)))
		_, err = io.Copy(io.Discard, raw) // the challenge, then the end of the connection
		require.False(t, os.IsTimeout(err), name)
		require.NoError(t, raw.Close())
		runtime.ReadMemStats(&after)
		require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(64<<20), name)
		require.Less(t, after.StackInuse, uint64(64<<20), name)
	}
}

// blockingHandler holds every request until release is closed.
type blockingHandler struct{ release chan struct{} }

func (h blockingHandler) Handle(context.Context, Request) { <-h.release }
func (blockingHandler) Queue(Request) bool                { return false }

// Guards against notifications, such as orders to an agent, that an overloaded process drops
// while their connection lives on, so that the sender never learns of it.
func TestRejectedNotificationEndsItsConnection(t *testing.T) {
	workers := pool.New(1, 1)
	handler := blockingHandler{release: make(chan struct{})}
	receiver := New(Config{
		Listen: "127.0.0.1:0", Key: []byte("key"), Hello: func() message.Hello { return message.Hello{ID: "receiver"} },
	}, workers, handler)
	require.NoError(t, receiver.Start())
	t.Cleanup(func() {
		close(handler.release)
		require.NoError(t, receiver.Close())
		workers.Close()
	})
	sender := startNetwork(t, "sender", "key", nil)
	conn, err := sender.Conn(testContext(t), receiver.Address())
	require.NoError(t, err)
	const sent = 8 // more than one worker and a queue of one take
	for range sent {
		_ = conn.Notify(message.KindOrders, message.Orders{}) // fails once the connection has ended
	}
	require.Eventually(t, conn.Closed, 10*time.Second, time.Millisecond, "a notification was lost on a connection that lives")
}

// panickingHandler panics while it serves orders and echoes other requests.
type panickingHandler struct{ echoHandler }

func (h panickingHandler) Handle(ctx context.Context, r Request) {
	var check message.Check
	if r.Kind == message.KindOrders || r.Decode(&check) == nil && check.Request == "bad" {
		panic("unexpected value")
	}
	h.echoHandler.Handle(ctx, r)
}

// Guards against one request that ends the whole process: its call fails, the connection of a
// notification ends, and later requests are served.
func TestPanicOfAHandlerEndsOneRequest(t *testing.T) {
	workers := pool.New(1, 16)
	receiver := New(Config{
		Listen: "127.0.0.1:0", Key: []byte("key"), Hello: func() message.Hello { return message.Hello{ID: "receiver"} },
	}, workers, panickingHandler{})
	require.NoError(t, receiver.Start())
	t.Cleanup(func() {
		require.NoError(t, receiver.Close())
		workers.Close()
	})
	sender := startNetwork(t, "sender", "key", nil)
	conn, err := sender.Conn(testContext(t), receiver.Address())
	require.NoError(t, err)
	var reply message.CheckReply
	err = conn.Call(testContext(t), message.KindCheck, message.Check{Request: "bad"}, &reply)
	require.Equal(t, outcome.Internal, outcome.From(err).Kind)
	require.False(t, conn.Closed())
	require.NoError(t, conn.Notify(message.KindOrders, message.Orders{}))
	require.Eventually(t, conn.Closed, 10*time.Second, time.Millisecond)
	require.NoError(t, sender.Call(testContext(t), receiver.Address(), message.KindCheck, message.Check{Request: "good"}, &reply))
	require.Equal(t, "good", reply.Request)
}
