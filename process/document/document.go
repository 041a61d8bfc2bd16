// Package document keeps the operators' document in force in an entry.
//
// Operators write the document to the store as a whole. The leader follows the store; the other
// entries have from it which version is the newest, and pull what has changed. An entry calls the
// store itself when it has no recent confirmation: without a leader, or if the leader does not
// reach the store. So the store sends the whole document once for a change, not once for each
// entry, and no entry depends on another one.
package document

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/process/configpeer"
	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/process/metrics"
	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/process/pool"
	"camphorhead.example/camphorhead/version/holder"
	"camphorhead.example/camphorhead/version/profile"
)

// Source is the document in the store.
type Source struct {
	Key string
	// Prefix is that of Key and all other keys that operators write; it is watched.
	Prefix string
	Decode func(value []byte) (*profile.Document, error)
}

const (
	// confirmationLifetime is how long an entry takes the version in force as the newest after a
	// confirmation. The leader renews it about every 0.5 s, and a change must be in force within 3 s.
	confirmationLifetime = 1200 * time.Millisecond
	// outdatedLimit is how long an entry serves by a version that it knows is not the newest one. Its
	// readiness check has to fail before the 3 s are over.
	outdatedLimit = 2500 * time.Millisecond
)

// Store is the part of platform.Store that the follower calls.
type Store interface {
	ReadAt(ctx context.Context, key string) (kv platform.KV, revision uint64, err error)
	Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) (changes []platform.Change, revision uint64, err error)
}

// Config holds the dependencies of a Follower.
type Config struct {
	Source
	Store   Store
	Holder  *holder.Holder
	Clock   clockwork.Clock
	Log     event.Logger
	Metrics *metrics.Registry
	// Puller pulls from other entries, on a pool by Submit.
	Puller *configpeer.Puller
	Submit func(pool.Func) error
	// Leads reports whether this entry leads; OnStoreResult gets the result of each call to the
	// store, and OnInForce is called when a version was put in force.
	Leads         func() bool
	OnStoreResult func(operation string, err error)
	OnInForce     func()
}

// Follower keeps the document of the store in force. Any goroutine may call its methods but Run.
type Follower struct {
	cfg Config
	// interrupt ends the call to the store that is in progress; nil: there is none.
	interrupt atomic.Pointer[context.CancelFunc]
	// newest is the newest version known to be in force anywhere, newerSince when it became known
	// that this process has an older one, in Unix nanoseconds; 0: it has the newest one.
	newest     atomic.Uint64
	newerSince atomic.Int64
}

// New returns a follower; Run makes it follow the store.
func New(cfg Config) *Follower { return &Follower{cfg: cfg} }

// Observe takes the state of the configuration at another entry. It does not block.
func (f *Follower) Observe(address string, s message.ConfigState) {
	if s.Version <= f.version() {
		if s.Revision != 0 {
			f.cfg.Holder.ConfirmAt(configpeer.Confirmation(s, f.cfg.Clock))
		}
		return
	}
	f.recordNewer(s.Version)
	if err := f.cfg.Submit(func(ctx context.Context) { f.pull(ctx, address) }); err != nil {
		f.cfg.Metrics.Add(metrics.ConfigPullsRefused, 1) // the next state is observed soon
	}
}

// pull puts the version of another entry in force. A call to the store in progress is then likely to
// transfer the same version, and is interrupted.
func (f *Follower) pull(ctx context.Context, address string) {
	before := f.version()
	state, advanced, err := f.cfg.Puller.Pull(ctx, address)
	if err != nil {
		f.cfg.Metrics.Add(metrics.ConfigPullsFailed, 1)
		return // the next state that is observed goes on with it
	}
	if !advanced {
		return
	}
	if state.Revision != 0 {
		f.cfg.Holder.ConfirmAt(configpeer.Confirmation(state, f.cfg.Clock))
	}
	if cancel := f.interrupt.Load(); cancel != nil {
		(*cancel)()
	}
	f.cfg.Log.Emit(event.ConfigurationInForce, "version", state.Version, "previous_version", before, "source", address)
	f.inForce()
}

// Current reports whether no newer version is known.
func (f *Follower) Current() bool { return f.newerSince.Load() == 0 }

// Outdated reports whether a newer version has been known for longer than this process may serve by
// the one in force.
func (f *Follower) Outdated() bool {
	since := f.newerSince.Load()
	return since != 0 && f.cfg.Clock.Now().UnixNano()-since > outdatedLimit.Nanoseconds()
}

func (f *Follower) version() uint64 { return f.cfg.Holder.Document().Version }

func (f *Follower) recordNewer(version uint64) {
	for {
		known := f.newest.Load()
		if version <= known || f.newest.CompareAndSwap(known, version) {
			break
		}
	}
	f.newerSince.CompareAndSwap(0, f.cfg.Clock.Now().UnixNano())
	f.clearNewer() // the version may have been put in force meanwhile
}

func (f *Follower) clearNewer() {
	if f.version() >= f.newest.Load() {
		f.newerSince.Store(0)
	}
}

func (f *Follower) inForce() {
	f.clearNewer()
	f.cfg.OnInForce()
}
