package entry

import (
	"context"
	"time"

	"camphorhead.example/camphorhead/connection/message"
	"camphorhead.example/camphorhead/connection/peer"
	"camphorhead.example/camphorhead/process/configpeer"
	"camphorhead.example/camphorhead/process/document"
	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/process/metrics"
	"camphorhead.example/camphorhead/version/profile"
)

// configWatchWait is how long the store waits for a change before it responds to a watch call.
const configWatchWait = 2 * time.Second

// changeConfig writes a change to the store and pushes it to the other processes. build may be
// called several times, see configlog.Log.Change.
func (e *Entry) changeConfig(ctx context.Context, by string, build func(*profile.Document) (profile.Delta, error)) (profile.Delta, error) {
	before := e.ConfigVersion()
	delta, err := e.configLog.Change(ctx, by, build)
	if err != nil {
		return profile.Delta{}, err
	}
	e.announceConfig(before, "store")
	return delta, nil
}

// announceConfig logs the version in force, applies its planned stops to routing and pushes it to
// the other processes, unless it equals before or was announced already.
func (e *Entry) announceConfig(before uint64, source string) {
	now := e.ConfigVersion()
	if now == before || !e.markAnnounced(now) {
		return
	}
	e.log.Emit(event.ConfigurationInForce, "version", now, "previous_version", before, "source", source)
	e.fleet.SetStops(e.config.Document())
	_ = e.waitPool.Submit(e.pushConfig)
}

// markAnnounced records the version as announced; it returns false if it or a newer one already is.
func (e *Entry) markAnnounced(version uint64) bool {
	for {
		announced := e.announcedVersion.Load()
		if version <= announced {
			return false
		}
		if e.announcedVersion.CompareAndSwap(announced, version) {
			return true
		}
	}
}

// observeConfig takes the state of the configuration at another entry, and pulls it if it is newer.
func (e *Entry) observeConfig(address string, s message.ConfigState) {
	if e.document != nil {
		e.document.Observe(address, s)
		return
	}
	if s.Version <= e.ConfigVersion() {
		return
	}
	if err := e.waitPool.Submit(func(ctx context.Context) { e.pullConfig(ctx, address) }); err != nil {
		e.metrics.Add(metrics.ConfigPullsRefused, 1) // the next message triggers it again
	}
}

// pullConfig requests the changes that this process lacks from the process at address.
func (e *Entry) pullConfig(ctx context.Context, address string) {
	before := e.ConfigVersion()
	if _, _, err := e.puller.Pull(ctx, address); err != nil {
		e.metrics.Add(metrics.ConfigPullsFailed, 1) // the next message of the leader triggers another pull
		return
	}
	e.announceConfig(before, address)
}

func (e *Entry) callConfigPull(ctx context.Context, address string, pull message.ConfigPull) (message.Config, error) {
	ctx, cancel := e.callContext(ctx)
	defer cancel()
	var reply message.Config
	err := e.net.Call(ctx, address, message.KindConfigPull, pull, &reply)
	return reply, err
}

// newDocumentFollower returns the follower of the operators' document, by which this entry also has
// it from other entries.
func (e *Entry) newDocumentFollower() *document.Follower {
	e.puller.Replace = e.config.ReplaceByOperators
	return document.New(document.Config{
		Source: e.deps.Document, Store: e.store, Holder: e.config, Clock: e.clock, Log: e.log, Metrics: e.metrics,
		Puller: e.puller, Submit: e.waitPool.Submit,
		Leads: func() bool {
			leads, _ := e.node.Leads()
			return leads
		},
		OnStoreResult: e.recordStoreResult, OnInForce: func() { e.node.AnnounceConfig() },
	})
}

// watchConfig follows the configuration log in the store until runCtx ends.
func (e *Entry) watchConfig() {
	defer close(e.watchDone)
	var since uint64
	for e.runCtx.Err() == nil {
		before := e.ConfigVersion()
		revision, err := e.configLog.Refresh(e.runCtx) // without a time limit: the snapshot may be large
		e.recordStoreResult("read configuration", err)
		if err != nil {
			e.pause(storeBackoff)
			continue
		}
		e.announceConfig(before, "store")
		ctx, cancel := context.WithTimeout(e.runCtx, configWatchWait+e.cfg.Limits.CallTimeout())
		since, err = e.configLog.Watch(ctx, max(since, revision), configWatchWait)
		cancel()
		if err != nil {
			e.pause(storeBackoff)
		}
	}
}

func (e *Entry) pause(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-e.runCtx.Done():
	case <-timer.C:
	}
}

// pushConfig sends the latest change to the other entries and, if this one leads, to the agents.
func (e *Entry) pushConfig(ctx context.Context) {
	for _, c := range e.node.AgentConns() {
		e.pushTo(ctx, c)
	}
	for _, peerEntry := range e.otherEntries() {
		ctx, cancel := e.callContext(ctx)
		if c, err := e.net.Conn(ctx, peerEntry.Address); err == nil {
			e.pushTo(ctx, c)
		}
		cancel()
	}
}

// pushTo sends one peer the latest change, then all that its reply shows it to lack. It does not
// wait for that. A peer that misses the push, or lacks changes that are not kept, pulls once a
// message of the leader shows the version.
func (e *Entry) pushTo(ctx context.Context, c *peer.Conn) {
	if c.Remote() == nil {
		return
	}
	latest, ok := e.deltasSince(e.ConfigVersion() - 1)
	if !ok {
		return
	}
	_ = e.waitPool.Submit(func(ctx context.Context) {
		ctx, cancel := e.callContext(ctx)
		defer cancel()
		var ack message.ConfigAck
		if c.Call(ctx, message.KindConfig, latest, &ack) != nil || ack.Version >= e.ConfigVersion() {
			return
		}
		if missing, ok := e.deltasSince(ack.Version); ok {
			_ = c.Call(ctx, message.KindConfig, missing, &ack)
		}
	})
}

func (e *Entry) deltasSince(version uint64) (message.Config, bool) {
	deltas, ok := e.config.Since(version)
	return message.Config{From: version, Deltas: deltas, State: configpeer.State(e.config, e.clock)}, ok
}

// applyConfig serves a push of configuration by another entry.
func (e *Entry) applyConfig(r peer.Request) {
	var pushed message.Config
	if err := r.Decode(&pushed); err != nil {
		r.Fail(err)
		return
	}
	before := e.ConfigVersion()
	e.config.Apply(pushed.Deltas)
	e.announceConfig(before, r.Conn.Remote().ID)
	r.Reply(message.ConfigAck{Version: e.ConfigVersion()})
}

func (e *Entry) serveConfig(r peer.Request) {
	var pull message.ConfigPull
	if err := r.Decode(&pull); err != nil {
		r.Fail(err)
		return
	}
	reply, err := e.configPeers.Serve(pull)
	if err != nil {
		r.Fail(err)
		return
	}
	r.Reply(reply)
}

func (e *Entry) otherEntries() []message.EntryInfo {
	var list []message.EntryInfo
	for _, info := range e.Members() {
		if info.ID != e.cfg.Process.ID {
			list = append(list, info)
		}
	}
	return list
}
