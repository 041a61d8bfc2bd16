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

// Default time limits of a connection.
const (
	DefaultDialTimeout = 2 * time.Second // of opening the TCP connection, and again of the handshake
	DefaultPingAfter   = time.Second
	DefaultPingTimeout = 3 * time.Second

	closeTimeout = 5 * time.Second // of stopping the listener
)

// FieldRefused is the Field of an outcome.ConnectionLost error if no process listens
// at the address.
const FieldRefused = "refused"

// Config configures a Network.
type Config struct {
	Listen string // ip:port; port 0 selects a free port
	// Hello describes this process; it is called for each handshake.
	Hello func() message.Hello
	Key   []byte // secret shared by all processes, which the handshake checks
	// Translate maps an announced address to the one to dial; nil keeps it.
	Translate func(address string) string
	// PingAfter is the time without received data after which a connection with
	// pending calls is pinged; 0 means DefaultPingAfter.
	PingAfter time.Duration
	// PingTimeout is how long no data may arrive after a ping before the connection
	// is closed and its pending calls fail; from half of it on, new calls dial
	// another connection. 0 means DefaultPingTimeout.
	PingTimeout time.Duration
	Observer    Observer // may be nil
	Clock       Clock    // orders events across processes; nil sends no timestamps
}

// Clock is the hybrid logical clock of the process. It is called concurrently.
type Clock interface {
	Now() uint64
	Observe(remote uint64) // advances the clock past a received timestamp
}

// Observer is notified of connection events. The methods are called from event
// loops, except ConnTimedOut, which a pool worker calls; they must not block.
type Observer interface {
	ConnOpened(remote message.Hello)
	ConnClosed(remote message.Hello, err error) // follows ConnOpened
	ConnTimedOut(remote message.Hello)          // closed after PingTimeout
	// NotificationRejected is called when the pool rejects a notification; ConnClosed follows.
	NotificationRejected(remote message.Hello)
	ConnRefused(address string, err error) // closed after a failed handshake
	FrameMalformed(address string, err error)
	// HandlerPanicked is called when a handler has panicked while it served a request of a kind.
	HandlerPanicked(remote message.Hello, kind message.Kind, cause any)
}

// Handler serves the requests of other processes. It replies with Request.Reply or
// Request.Fail, also after its method has returned.
type Handler interface {
	// Handle serves a request that Queue did not accept. A pool worker calls it.
	Handle(ctx context.Context, r Request)
	// Queue may accept a request into the handler's own queue; false passes it to
	// the pool. The event loop calls it, so it must not block.
	Queue(r Request) bool
}

// Network owns the listener and all connections of one process. Its goroutines
// start in Start and end in Close. Its methods are safe for concurrent use.
type Network struct {
	cfg     Config
	pool    *pool.Pool
	handler Handler
	traffic Traffic

	engine   gnet.Engine
	client   *gnet.Client
	booted   chan struct{} // closed when engine and address are set
	runErr   chan error    // result of the listener's event loop
	ticker   *pool.Ticker
	address  string
	stopOnce sync.Once

	mu        lockrank.Mutex           // guards byAddress, all and dialing
	byAddress map[string]*Conn         // connections for new calls, by announced address
	all       map[*Conn]struct{}       // open connections, dialed and accepted
	dialing   map[string]chan struct{} // dials in progress; closed at their end
}

// New returns a network that is not started yet. Requests are handled on workers.
func New(cfg Config, workers *pool.Pool, handler Handler) *Network {
	if cfg.PingAfter == 0 {
		cfg.PingAfter = DefaultPingAfter
	}
	if cfg.PingTimeout == 0 {
		cfg.PingTimeout = DefaultPingTimeout
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
		mu:        lockrank.NewMutex(lockrank.RankConnections),
		byAddress: map[string]*Conn{}, all: map[*Conn]struct{}{}, dialing: map[string]chan struct{}{},
	}
}

// Start opens the listener and returns when it accepts connections.
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

// Address returns the bound address of the listener; it is valid after Start.
func (n *Network) Address() string { return n.address }

// Traffic returns the byte counters of this process.
func (n *Network) Traffic() *Traffic { return &n.traffic }

// Close closes the listener and all connections and waits for the event loops. It
// requires a successful Start; later calls do nothing.
func (n *Network) Close() error {
	var err error
	n.stopOnce.Do(func() {
		n.ticker.Stop()
		for _, c := range n.conns() {
			c.fail(outcome.New(outcome.ConnectionLost, "connection closed: this process is stopping"))
		}
		err = errs.Combine(n.stopEngine(), n.client.Stop())
	})
	return err
}

func (n *Network) stopEngine() error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	err := n.engine.Stop(ctx)
	<-n.runErr
	return err
}

// Conn returns a connection to address with a completed handshake. It dials if
// there is none; concurrent calls for one address share the dial. The error is
// an outcome.ConnectionLost.
func (n *Network) Conn(ctx context.Context, address string) (*Conn, error) {
	for {
		c, wait, mustDial := n.lookup(address)
		if c != nil {
			return c, nil
		}
		if mustDial {
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

// Call obtains a connection to address and calls Conn.Call on it.
func (n *Network) Call(ctx context.Context, address string, kind message.Kind, body, reply any) error {
	c, err := n.Conn(ctx, address)
	if err != nil {
		return err
	}
	return c.Call(ctx, kind, body, reply)
}

// lookup returns a usable connection, or a channel that is closed when the dial in
// progress ends. With neither, mustDial is set: the caller must dial and finishDial.
func (n *Network) lookup(address string) (c *Conn, wait chan struct{}, mustDial bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c := n.byAddress[address]; c != nil && !c.isClosed.Load() {
		return c, nil, false
	}
	if wait, ok := n.dialing[address]; ok {
		return nil, wait, false
	}
	n.dialing[address] = make(chan struct{})
	return nil, nil, true
}

// finishDial ends a dial and wakes its waiters. c is nil if the dial failed.
func (n *Network) finishDial(address string, c *Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.dialing[address])
	delete(n.dialing, address)
	if c != nil {
		n.byAddress[address] = c
	}
}

func (n *Network) dial(ctx context.Context, address string) (*Conn, error) {
	dialAddress := address
	if n.cfg.Translate != nil {
		dialAddress = n.cfg.Translate(address)
	}
	dialer := net.Dialer{Timeout: DefaultDialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", dialAddress)
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
		return nil, outcome.New(outcome.ConnectionLost, "connection closed during the handshake").AsNotRun()
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
	if n.byAddress[c.address] == c {
		delete(n.byAddress, c.address)
	}
}

// retire stops using an unresponsive connection for new calls, so that the next call
// dials another one. Calls pending on it continue.
func (n *Network) retire(c *Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.byAddress[c.address] == c {
		delete(n.byAddress, c.address)
	}
}

// probe is run by the ticker: it pings idle connections that have pending calls and
// retires, then closes those on which no data arrives after the ping.
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
	idle := now.Sub(time.Unix(0, c.lastRecv.Load()))
	pingedAt := c.pingSentAt.Load()
	switch {
	case pingedAt != 0 && idle < now.Sub(time.Unix(0, pingedAt)):
		c.pingSentAt.Store(0)
	case pingedAt != 0 && now.Sub(time.Unix(0, pingedAt)) >= n.cfg.PingTimeout:
		n.cfg.Observer.ConnTimedOut(*c.Remote())
		n.retire(c)
		c.fail(outcome.New(outcome.ConnectionLost, "connection closed: no data received within the ping timeout"))
		_ = c.raw.Close()
	case pingedAt != 0 && now.Sub(time.Unix(0, pingedAt)) >= n.cfg.PingTimeout/2:
		n.retire(c)
	case pingedAt == 0 && idle >= n.cfg.PingAfter && c.PendingCalls() > 0:
		c.pingSentAt.Store(now.UnixNano())
		_ = c.send(message.KindPing, c.nextCall.Add(1), message.Ping{SentMs: now.UnixMilli()})
	}
}

// boundAddress returns the listener's address as ip:port.
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
	return "", errs.New("peer: listener address is neither IPv4 nor IPv6")
}
