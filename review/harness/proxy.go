package main

import (
	"bytes"
	"io"
	"net"
	"sync"
	"time"
)

// proxy stands before the frame listener of an entry. It forwards connections and can cut those
// that a machine has opened, as a partition does: their bytes are not lost, but get through with
// a retransmission after the cut.
type proxy struct {
	listener net.Listener
	target   string
	names    []string // of the machines that may connect

	mu   sync.Mutex
	cut  map[string]bool
	open map[*link]struct{}
}

// zoneDelay is the one-way delay between two zones of sites/lcf-sched.toml.
const zoneDelay = 900 * time.Microsecond

// reset resets the connections of a machine, as a middlebox does, and returns their number.
func (p *proxy) reset(name string) (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.open {
		if l.get() != name {
			continue
		}
		n++
		for _, c := range l.conns {
			_ = c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
	}
	return n
}

func newProxy(listen, target string, names []string) (*proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, names: names, cut: map[string]bool{}, open: map[*link]struct{}{}}
	go p.accept()
	return p, nil
}

// setCut cuts the connections of a machine, or heals the cut.
func (p *proxy) setCut(name string, cut bool) {
	p.mu.Lock()
	p.cut[name] = cut
	p.mu.Unlock()
}

func (p *proxy) isCut(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut[name]
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

// link is one proxied connection; name is empty until the dialer's hello has named it.
type link struct {
	conns []net.Conn // of the dialer, and to the entry

	mu   sync.Mutex
	name string
}

func (l *link) get() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.name
}

func (p *proxy) serve(client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.(*net.TCPConn).SetLinger(0)
		client.Close()
		return
	}
	l := &link{conns: []net.Conn{client, server}}
	p.mu.Lock()
	p.open[l] = struct{}{}
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.open, l)
		p.mu.Unlock()
	}()
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); p.copy(server, client, l, true) }()
	go func() { defer wg.Done(); p.copy(client, server, l, false) }()
	wg.Wait()
	client.Close()
	server.Close()
}

// retransmissions are the times after which TCP sends bytes again that were not acknowledged.
var retransmissions = []time.Duration{
	200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond, 3 * time.Second,
	6200 * time.Millisecond, 12600 * time.Millisecond,
}

// awaitPath returns when bytes that were sent at a time get through: at once, or with the first
// retransmission after the cut. It reports false if none does.
func (p *proxy) awaitPath(l *link, sent time.Time) bool {
	for i := 0; p.isCut(l.get()); i++ {
		if i == len(retransmissions) {
			return false
		}
		time.Sleep(time.Until(sent.Add(retransmissions[i])))
	}
	return true
}

// copy forwards one direction.
func (p *proxy) copy(to, from net.Conn, l *link, fromDialer bool) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		if fromDialer && l.get() == "" {
			for _, name := range p.names {
				if bytes.Contains(buf[:n], []byte(name)) {
					l.mu.Lock()
					l.name = name
					l.mu.Unlock()
				}
			}
		}
		read := time.Now()
		time.Sleep(zoneDelay)
		if !p.awaitPath(l, read) {
			return
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				_ = to.(*net.TCPConn).SetLinger(0)
			}
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
	}
}
