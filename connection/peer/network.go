package peer

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/panjf2000/gnet/v2/pkg/logging"
	"github.com/zeebo/errs"
	"golang.org/x/sys/unix"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/process/lockrank"
	"camphorhead.example/camphorhead/process/pool"
	"camphorhead.example/camphorhead/request/outcome"
)

// Default bounds of a connection.
const (
	DefaultDialTimeout = 2 * time.Second
	DefaultPingAfter   = time.Second
	DefaultSilentAfter = 3 * time.Second

	closeTimeout = 5 * time.Second
)

// FieldRefused is the field of the error of a connection that nobody listens for.
const FieldRefused = "refused"

// Config sets up a Network.
type Config struct {
	Listen string // ip:port; port 0 takes a free one
	// Hello describes this process; it is called for each handshake.
	Hello func() message.Hello
	// Key is the shared secret of the processes.
	Key []byte
	// Translate maps an announced address to the one to dial; nil keeps it.
	Translate func(address string) string
	// PingAfter is the time without traffic after which a connection with
	// pending calls is probed.
	PingAfter time.Duration
	// SilentAfter is the time without an answer to a probe after which the
	// pending calls fail.
	SilentAfter time.Duration
	Observer    Observer
	// Clock orders events over processes; nil sends no timestamps.
	Clock Clock
}

// Clock is the hybrid logical clock of the process.
type Clock interface {
	Now() uint64
	Observe(remote uint64)
}

// Observer is told of connection events, from event loops; it must not block.
type Observer interface {
	ConnOpened(remote message.Hello)
	ConnClosed(remote message.Hello, err error)
	ConnSilent(remote message.Hello)
	ConnRefused(address string, err error)
	FrameMalformed(address string, err error)
}

// Handler serves requests. Handle is called by a pool worker, once per
// request; it answers through Reply or Fail, at once or later.
type Handler interface {
	Handle(ctx context.Context, r Request)
	// Queue may take a request into a queue of the handler's own. The event loop
	// calls it; it must not block. It reports false for a request that the pool
	// is to handle.
	Queue(r Request) bool
}

// Network owns the listener and all connections of one process. Its goroutines
// start in Start and end in Close.
type Network struct {
	cfg     Config
	pool    *pool.Pool
	handler Handler
	traffic Traffic

	engine   gnet.Engine
	client   *gnet.Client
	booted   chan struct{}
	runErr   chan error
	ticker   *pool.Ticker
	address  string
	stopOnce sync.Once

	mu       lockrank.Mutex // guards byTarget, all and dialing
	byTarget map[string]*Conn
	all      map[*Conn]struct{}
	dialing  map[string]chan struct{}
}

// New returns a network that is not yet started.
func New(cfg Config, workers *pool.Pool, handler Handler) *Network {
	if cfg.PingAfter == 0 {
		cfg.PingAfter = DefaultPingAfter
	}
	if cfg.SilentAfter == 0 {
		cfg.SilentAfter = DefaultSilentAfter
	}
	if cfg.Clock == nil {
		cfg.Clock = nopClock{}
	}
	if cfg.Observer == nil {
		cfg.Observer = nopObserver{}
	}
	return &Network{
		cfg: cfg, pool: workers, handler: handler,
		booted: make(chan struct{}), runErr: make(chan error, 1),
		mu:       lockrank.NewMutex(lockrank.RankConnections),
		byTarget: map[string]*Conn{}, all: map[*Conn]struct{}{}, dialing: map[string]chan struct{}{},
	}
}

// Start listens and returns when the listener accepts connections.
func (n *Network) Start() error {
	options := []gnet.Option{
		gnet.WithNumEventLoop(1), gnet.WithReuseAddr(true),
		gnet.WithLogger(nopLogger{}), gnet.WithLogLevel(logging.FatalLevel),
	}
	loop := &eventLoop{net: n}
	go func() { n.runErr <- gnet.Run(loop, "tcp://"+n.cfg.Listen, options...) }()
	select {
	case err := <-n.runErr:
		return errs.New("listen on %s: %w", n.cfg.Listen, err)
	case <-n.booted:
	}
	client, err := gnet.NewClient(&eventLoop{net: n, client: true}, options...)
	if err == nil {
		err = client.Start()
	}
	if err != nil {
		return errs.Combine(err, n.stopEngine())
	}
	n.client = client
	n.ticker = n.pool.Every(n.cfg.PingAfter/2, n.probe)
	return nil
}

// Address returns the address that the listener is bound to.
func (n *Network) Address() string { return n.address }

// Traffic returns the byte counters of this process.
func (n *Network) Traffic() *Traffic { return &n.traffic }

// Close ends the listener and all connections and waits for the event loops.
func (n *Network) Close() error {
	var err error
	n.stopOnce.Do(func() {
		n.ticker.Stop()
		for _, c := range n.conns() {
			c.fail(outcome.New(outcome.ConnectionLost, "process is stopping"))
		}
		err = errs.Combine(n.stopEngine(), n.client.Stop())
	})
	return err
}

// stopEngine ends the listener and waits for its event loop.
func (n *Network) stopEngine() error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	err := n.engine.Stop(ctx)
	<-n.runErr
	return err
}

// Conn returns a ready connection to address, and dials when there is none.
func (n *Network) Conn(ctx context.Context, address string) (*Conn, error) {
	for {
		c, wait, leader := n.lookup(address)
		if c != nil {
			return c, nil
		}
		if leader {
			c, err := n.dial(ctx, address)
			n.finishDial(address, c)
			return c, err
		}
		select {
		case <-ctx.Done():
			return nil, outcome.New(outcome.ConnectionLost, "no connection before the deadline").AsNotRun()
		case <-wait:
		}
	}
}

// Call is Conn followed by Call on it.
func (n *Network) Call(ctx context.Context, address string, kind message.Kind, body, reply any) error {
	c, err := n.Conn(ctx, address)
	if err != nil {
		return err
	}
	return c.Call(ctx, kind, body, reply)
}

// lookup returns a ready connection, or a channel that closes when the dial in
// progress ends; leader tells the caller to dial.
func (n *Network) lookup(address string) (c *Conn, wait chan struct{}, leader bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c := n.byTarget[address]; c != nil && !c.isClosed.Load() {
		return c, nil, false
	}
	if wait, ok := n.dialing[address]; ok {
		return nil, wait, false
	}
	n.dialing[address] = make(chan struct{})
	return nil, nil, true
}

func (n *Network) finishDial(address string, c *Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.dialing[address])
	delete(n.dialing, address)
	if c != nil {
		n.byTarget[address] = c
	}
}

func (n *Network) dial(ctx context.Context, address string) (*Conn, error) {
	target := address
	if n.cfg.Translate != nil {
		target = n.cfg.Translate(address)
	}
	dialer := net.Dialer{Timeout: DefaultDialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", target)
	if errors.Is(err, unix.ECONNREFUSED) {
		return nil, outcome.Field(outcome.ConnectionLost, FieldRefused, err.Error()).AsNotRun()
	}
	if err != nil {
		return nil, outcome.New(outcome.ConnectionLost, err.Error()).AsNotRun()
	}
	c := newConn(n, nil, address)
	enrolled, err := n.client.EnrollContext(raw, c)
	if err != nil {
		_ = raw.Close()
		return nil, outcome.New(outcome.ConnectionLost, err.Error()).AsNotRun()
	}
	timer := time.NewTimer(DefaultDialTimeout)
	defer timer.Stop()
	select {
	case <-c.ready:
		return c, nil
	case <-c.closed:
		return nil, outcome.New(outcome.ConnectionLost, "connection refused in the handshake").AsNotRun()
	case <-timer.C:
	case <-ctx.Done():
	}
	c.fail(outcome.New(outcome.ConnectionLost, "no handshake before the deadline"))
	_ = enrolled.Close()
	return nil, outcome.New(outcome.ConnectionLost, "no handshake before the deadline").AsNotRun()
}

func (n *Network) conns() []*Conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	conns := make([]*Conn, 0, len(n.all))
	for c := range n.all {
		conns = append(conns, c)
	}
	return conns
}

func (n *Network) add(c *Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.all[c] = struct{}{}
}

func (n *Network) remove(c *Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.all, c)
	if n.byTarget[c.address] == c {
		delete(n.byTarget, c.address)
	}
}

// retire takes a suspect connection out of use for new calls, so that the next
// call dials a fresh one beside it.
func (n *Network) retire(c *Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.byTarget[c.address] == c {
		delete(n.byTarget, c.address)
	}
}

// probe is run by the ticker: it pings quiet connections that have pending
// calls and ends those that stay silent.
func (n *Network) probe(context.Context) {
	now := time.Now()
	for _, c := range n.conns() {
		if c.Remote() == nil || c.isClosed.Load() {
			continue
		}
		n.probeConn(c, now)
	}
}

func (n *Network) probeConn(c *Conn, now time.Time) {
	quiet := now.Sub(time.Unix(0, c.lastRecv.Load()))
	pinged := c.pinged.Load()
	switch {
	case pinged != 0 && quiet < now.Sub(time.Unix(0, pinged)):
		c.pinged.Store(0)
	case pinged != 0 && now.Sub(time.Unix(0, pinged)) >= n.cfg.SilentAfter:
		n.cfg.Observer.ConnSilent(*c.Remote())
		n.retire(c)
		c.fail(outcome.New(outcome.ConnectionLost, "connection is silent"))
		_ = c.raw.Close()
	case pinged != 0 && now.Sub(time.Unix(0, pinged)) >= n.cfg.SilentAfter/2:
		n.retire(c)
	case pinged == 0 && quiet >= n.cfg.PingAfter && c.Unanswered() > 0:
		c.pinged.Store(now.UnixNano())
		_ = c.send(message.KindPing, c.nextCall.Add(1), message.Ping{SentMs: now.UnixMilli()})
	}
}

func boundAddress(engine gnet.Engine) (string, error) {
	fd, err := engine.Dup()
	if err != nil {
		return "", errs.Wrap(err)
	}
	defer func() { _ = unix.Close(fd) }()
	name, err := unix.Getsockname(fd)
	if err != nil {
		return "", errs.Wrap(err)
	}
	switch a := name.(type) {
	case *unix.SockaddrInet4:
		return (&net.TCPAddr{IP: a.Addr[:], Port: a.Port}).String(), nil
	case *unix.SockaddrInet6:
		return (&net.TCPAddr{IP: a.Addr[:], Port: a.Port}).String(), nil
	}
	return "", errs.New("listener has an address of an unknown family")
}
