// Package configpeer exchanges the configuration between processes.
//
// A process that learns that another one has a newer version pulls what changed: deltas if the
// other one keeps them, else pages. It keeps the pages of a pull that fails, so a slow or broken
// connection delays the configuration but does not prevent it.
package configpeer

import (
	"context"
	"sync/atomic"

	"github.com/jonboulle/clockwork"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/process/lockrank"
	"camphorhead.example/camphorhead/version/holder"
	"camphorhead.example/camphorhead/version/profile"
)

// maxCachedPages bounds the pages that a server keeps: processes with different versions pull
// different ones.
const maxCachedPages = 64

// State returns the state of the configuration in force.
func State(h *holder.Holder, clock clockwork.Clock) message.ConfigState {
	confirmed := h.Confirmed()
	s := message.ConfigState{Version: h.Document().Version}
	if confirmed.Version == s.Version && confirmed.Revision != 0 {
		s.Revision, s.AgeMs = confirmed.Revision, clock.Since(confirmed.At).Milliseconds()
	}
	return s
}

// Confirmation returns what the state of another process confirms now.
func Confirmation(s message.ConfigState, clock clockwork.Clock) holder.Confirmation {
	return holder.Confirmation{Version: s.Version, Revision: s.Revision, At: clock.Now().Add(-s.Age())}
}

// Server replies to pulls. Any goroutine may call Serve.
type Server struct {
	holder *holder.Holder
	clock  clockwork.Clock

	mu lockrank.Mutex // guards the fields below
	// pages are the encoded pages of version by the pull that they reply to: all other entries pull
	// the same ones after a change.
	version uint64
	pages   map[message.ConfigPull][]byte
}

// NewServer returns a server of the configuration in force in h.
func NewServer(h *holder.Holder, clock clockwork.Clock) *Server {
	return &Server{holder: h, clock: clock, mu: lockrank.NewMutex(lockrank.RankConfigPages)}
}

// Serve returns the reply to a pull: deltas if they are kept, else a page.
func (s *Server) Serve(pull message.ConfigPull) (message.Config, error) {
	reply := message.Config{From: pull.Version, State: State(s.holder, s.clock)}
	if deltas, ok := s.holder.Since(pull.Version); ok {
		reply.Deltas = deltas
		return reply, nil
	}
	page, err := s.page(pull)
	reply.Page = page
	return reply, err
}

func (s *Server) page(pull message.ConfigPull) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if encoded, ok := s.pages[pull]; ok && s.version == s.holder.Document().Version {
		return encoded, nil
	}
	page := s.holder.Page(pull.Version, pull.After)
	encoded, err := encodePage(&page)
	if err != nil {
		return nil, err
	}
	if s.version != page.Version || len(s.pages) >= maxCachedPages {
		s.version, s.pages = page.Version, map[message.ConfigPull][]byte{}
	}
	s.pages[pull] = encoded
	return encoded, nil
}

// Puller pulls newer versions into a holder. Any goroutine may call Pull.
type Puller struct {
	// Call sends a pull to the process at an address.
	Call   func(ctx context.Context, address string, pull message.ConfigPull) (message.Config, error)
	Holder *holder.Holder
	// Replace puts a document in force that was put together from pages, if it is newer.
	Replace func(doc *profile.Document) bool

	running atomic.Bool // set by the goroutine that uses the fields below
	address string
	pages   *profile.Assembly // nil: no pull is in progress
}

// Pull pulls the configuration in force at address until this process has it, and returns the state
// there. advanced is set if a newer version was put in force. During another call it does nothing.
func (p *Puller) Pull(ctx context.Context, address string) (state message.ConfigState, advanced bool, err error) {
	if !p.running.CompareAndSwap(false, true) {
		return message.ConfigState{}, false, nil
	}
	defer p.running.Store(false)
	if p.pages == nil || p.address != address {
		p.address, p.pages = address, profile.NewAssembly(p.Holder.Document())
	}
	for {
		pull := message.ConfigPull{}
		pull.Version, pull.After = p.pages.Position()
		reply, err := p.Call(ctx, address, pull)
		if err != nil {
			return message.ConfigState{}, false, err // the next call goes on with the pages so far
		}
		if reply.Page == nil {
			p.pages = nil
			return reply.State, p.Holder.Apply(reply.Deltas), nil
		}
		doc, err := p.add(reply.Page)
		if err != nil {
			p.pages = nil
			return message.ConfigState{}, false, err
		}
		if doc != nil {
			p.pages = nil
			return reply.State, p.Replace(doc), nil
		}
	}
}

func (p *Puller) add(encoded []byte) (*profile.Document, error) {
	page, err := decodePage(encoded)
	if err != nil {
		return nil, err
	}
	return p.pages.Add(page)
}
