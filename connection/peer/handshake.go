package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"

	"github.com/zeebo/errs"

	"camphorhead.example/camphorhead/connection/body"
	"camphorhead.example/camphorhead/connection/frame"
	"camphorhead.example/camphorhead/connection/message"
)

var (
	errNoHandshake = errs.New("peer: message received before the handshake")
	errWrongKey    = errs.New("peer: handshake failed: wrong process key")
)

const nonceBytes = 16

// The handshake consists of three hellos: the accepting side sends a nonce, the
// dialing side its own nonce and a MAC over both, the accepting side its MAC. A
// MAC proves knowledge of the process key, which is never sent.

// macLabel differs between the two sides, so that a MAC cannot be reflected.
type macLabel string

const (
	labelDialer   macLabel = "camphorhead dialer"
	labelAcceptor macLabel = "camphorhead acceptor"
)

func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce) // never fails on supported platforms
	return nonce
}

// handshakeMAC returns the sender's MAC under the process key; id is the sender's.
func (n *Network) handshakeMAC(label macLabel, acceptor, dialer []byte, id string) []byte {
	mac := hmac.New(sha256.New, n.cfg.Key)
	mac.Write([]byte(label))
	mac.Write(acceptor)
	mac.Write(dialer)
	mac.Write([]byte(id))
	return mac.Sum(nil)
}

// sendChallenge sends the accepting side's nonce.
func (c *Conn) sendChallenge() error {
	c.nonce = newNonce()
	return c.send(message.KindHello, 0, message.Hello{Nonce: c.nonce})
}

// handleHello handles one hello; like the functions below, it reports false if the
// connection must be closed.
func (c *Conn) handleHello(f frame.Frame) bool {
	var hello message.Hello
	if err := body.Unmarshal(f.Body, &hello); err != nil {
		c.net.cfg.Observer.FrameMalformed(c.raw.RemoteAddr().String(), err)
		return false
	}
	if c.dialed {
		return c.handleAcceptorHello(hello)
	}
	return c.handleDialerHello(hello)
}

// handleDialerHello checks the dialing side's MAC and replies with its own.
func (c *Conn) handleDialerHello(hello message.Hello) bool {
	if c.Remote() != nil || len(hello.Nonce) != nonceBytes {
		return false
	}
	want := c.net.handshakeMAC(labelDialer, c.nonce, hello.Nonce, hello.ID)
	if !hmac.Equal(want, hello.MAC) {
		c.net.cfg.Observer.ConnRefused(c.raw.RemoteAddr().String(), errWrongKey)
		return false
	}
	own := c.net.cfg.Hello()
	own.MAC = c.net.handshakeMAC(labelAcceptor, c.nonce, hello.Nonce, own.ID)
	if c.send(message.KindHello, 0, own) != nil {
		return false
	}
	c.finishHandshake(hello)
	return true
}

// handleAcceptorHello replies to the first hello and checks the MAC in the second.
func (c *Conn) handleAcceptorHello(hello message.Hello) bool {
	if c.nonce == nil {
		if len(hello.Nonce) != nonceBytes {
			return false
		}
		return c.sendDialerHello(hello.Nonce)
	}
	if c.Remote() != nil {
		return false
	}
	want := c.net.handshakeMAC(labelAcceptor, c.acceptorNonce, c.nonce, hello.ID)
	if !hmac.Equal(want, hello.MAC) {
		c.net.cfg.Observer.ConnRefused(c.address, errWrongKey)
		return false
	}
	c.finishHandshake(hello)
	return true
}

func (c *Conn) sendDialerHello(acceptorNonce []byte) bool {
	c.acceptorNonce = acceptorNonce
	c.nonce = newNonce()
	own := c.net.cfg.Hello()
	own.Nonce = c.nonce
	own.MAC = c.net.handshakeMAC(labelDialer, acceptorNonce, c.nonce, own.ID)
	return c.send(message.KindHello, 0, own) == nil
}

func (c *Conn) finishHandshake(remote message.Hello) {
	c.remote.Store(&remote)
	close(c.ready)
	c.net.cfg.Observer.ConnOpened(remote)
}
