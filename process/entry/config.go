package entry

import (
	"context"
	"time"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/connection/peer"
	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/process/metrics"
	"camphorhead.example/camphorhead/version/profile"
)

// configWatchWait is how long one question for changes of the configuration waits.
const configWatchWait = 2 * time.Second

// changeConfig writes one change and pushes it to every process in reach.
func (e *Entry) changeConfig(ctx context.Context, by string, build func(*profile.Document) (profile.Delta, error)) (profile.Delta, error) {
	before := e.ConfigVersion()
	delta, err := e.configLog.Change(ctx, by, build)
	if err != nil {
		return profile.Delta{}, err
	}
	e.inForce(before, "store")
	return delta, nil
}

// inForce logs a new version and pushes it on.
func (e *Entry) inForce(before uint64, source string) {
	now := e.ConfigVersion()
	if now == before || !e.announce(now) {
		return
	}
	e.log.Emit(event.ConfigurationInForce, "version", now, "previous_version", before, "source", source)
	e.fleet.SetStops(e.config.Document())
	_ = e.waitPool.Submit(e.pushConfig)
}

// announce reports whether the caller is the first to see this version in force.
func (e *Entry) announce(version uint64) bool {
	for {
		announced := e.announced.Load()
		if version <= announced {
			return false
		}
		if e.announced.CompareAndSwap(announced, version) {
			return true
		}
	}
}

// pullConfig takes what another process has beyond this one's configuration.
func (e *Entry) pullConfig(ctx context.Context, address string) {
	ctx, cancel := e.callContext(ctx)
	defer cancel()
	var pushed message.Config
	err := e.net.Call(ctx, address, message.KindConfigPull, message.ConfigPull{Version: e.ConfigVersion()}, &pushed)
	if err != nil {
		e.metrics.Add(metrics.ConfigPullsFailed, 1) // the next update of the leader asks again
		return
	}
	e.putInForce(pushed, address)
}

// watchConfig follows the head in the store; it ends with the entry.
func (e *Entry) watchConfig() {
	defer close(e.watchDone)
	var since uint64
	for e.run.Err() == nil {
		before := e.ConfigVersion()
		revision, err := e.refreshConfig()
		e.noteStore("read configuration", err)
		if err != nil {
			e.pause(storeBackoff)
			continue
		}
		e.inForce(before, "store")
		ctx, cancel := context.WithTimeout(e.run, configWatchWait+e.cfg.Limits.CallTimeout())
		since, err = e.configLog.Watch(ctx, max(since, revision), configWatchWait)
		cancel()
		if err != nil {
			e.pause(storeBackoff)
		}
	}
}

func (e *Entry) refreshConfig() (revision uint64, err error) {
	ctx, cancel := e.callContext(e.run)
	defer cancel()
	return e.configLog.Refresh(ctx)
}

func (e *Entry) pause(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-e.run.Done():
	case <-timer.C:
	}
}

// pushConfig sends what is new to the agents of this entry and to the other entries.
func (e *Entry) pushConfig(ctx context.Context) {
	for _, c := range e.node.AgentConns() {
		e.pushTo(ctx, c)
	}
	for _, peerEntry := range e.others() {
		ctx, cancel := e.callContext(ctx)
		if c, err := e.net.Conn(ctx, peerEntry.Address); err == nil {
			e.pushTo(ctx, c)
		}
		cancel()
	}
}

// pushTo sends one peer what it lacks by its last word. It does not wait for
// the answer: a peer that missed the push pulls after the next heartbeat or digest.
func (e *Entry) pushTo(ctx context.Context, c *peer.Conn) {
	remote := c.Remote()
	if remote == nil {
		return
	}
	update := e.configSince(e.ConfigVersion() - 1)
	_ = e.waitPool.Submit(func(ctx context.Context) {
		ctx, cancel := e.callContext(ctx)
		defer cancel()
		var ack message.ConfigAck
		if c.Call(ctx, message.KindConfig, update, &ack) == nil && ack.Version < e.ConfigVersion() {
			_ = c.Call(ctx, message.KindConfig, e.configSince(ack.Version), &ack)
		}
	})
}

// configSince returns the deltas after a version, or the whole document.
func (e *Entry) configSince(version uint64) message.Config {
	if deltas, ok := e.config.Since(version); ok {
		return message.Config{From: version, Deltas: deltas}
	}
	return message.Config{Document: e.config.Document()}
}

// applyConfig takes a push of another entry.
func (e *Entry) applyConfig(r peer.Request) {
	var pushed message.Config
	if err := r.Decode(&pushed); err != nil {
		r.Fail(err)
		return
	}
	e.putInForce(pushed, r.Conn.Remote().ID)
	r.Reply(message.ConfigAck{Version: e.ConfigVersion()})
}

func (e *Entry) putInForce(pushed message.Config, source string) {
	before := e.ConfigVersion()
	if pushed.Document != nil {
		e.config.Replace(pushed.Document)
	}
	e.config.Apply(pushed.Deltas)
	e.inForce(before, source)
}

func (e *Entry) serveConfig(r peer.Request) {
	var pull message.ConfigPull
	if err := r.Decode(&pull); err != nil {
		r.Fail(err)
		return
	}
	r.Reply(e.configSince(pull.Version))
}

// others returns the entries except this one.
func (e *Entry) others() []message.EntryInfo {
	var list []message.EntryInfo
	for _, info := range e.Members() {
		if info.ID != e.cfg.Process.ID {
			list = append(list, info)
		}
	}
	return list
}
