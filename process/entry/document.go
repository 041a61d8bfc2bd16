package entry

import (
	"errors"
	"time"

	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/process/metrics"
	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/version/profile"
)

// DocumentSource describes a configuration that operators write directly to the
// store, as one document.
type DocumentSource struct {
	Key string
	// Prefix is that of Key and all other keys that operators write; it is watched.
	Prefix string
	Decode func(value []byte) (*profile.Document, error)
}

const (
	// documentWatchWait is how long the store waits for changes before it responds
	// to a watch call. A call on an unresponsive connection ends one call timeout
	// later, and a change must be in force within 3 s.
	documentWatchWait = 1500 * time.Millisecond
	// documentRetryPause is the pause after a failed call.
	documentRetryPause = 200 * time.Millisecond
)

// documentFailureLogInterval bounds the lines about failed calls: a store that refuses calls
// at once would fill the log.
const documentFailureLogInterval = time.Second

// The reasons for reading the whole document, in metrics.DocumentReads.
const (
	readAtStart         = "start"
	readAfterFailure    = "failure"
	readWithoutHistory  = "history"
	operationReadConfig = "read configuration"
)

// documentFollower is the state of followDocument; its goroutine alone uses it.
type documentFollower struct {
	*Entry
	source   DocumentSource
	failures int       // calls that failed in a row
	loggedAt time.Time // last line about a failed call
}

// followDocument puts each version of the operators' document in force until
// runCtx ends. It reads the document again whenever a watch call fails.
func (e *Entry) followDocument(source DocumentSource) {
	defer close(e.watchDone)
	f := &documentFollower{Entry: e, source: source}
	var after uint64
	for reason := readAtStart; e.runCtx.Err() == nil; {
		revision, err := f.read(reason)
		if err != nil {
			reason = readAfterFailure
			e.pause(documentRetryPause)
			continue
		}
		after = max(after, revision)
		if after, err = f.watch(after); err != nil {
			reason = readAfterFailure
			if errors.Is(err, platform.ErrCompacted) {
				reason = readWithoutHistory
				e.log.Emit(event.DocumentPositionLost, "revision", revision, "version", e.ConfigVersion())
			}
			e.pause(documentRetryPause)
		}
	}
}

// read puts the current document in force and returns the store's revision, from which the watch
// misses no change. The document's own revision would not do: the store forgets its changes, and
// a watch from before the oldest that it has fails.
func (f *documentFollower) read(reason string) (uint64, error) {
	f.metrics.AddFor(metrics.DocumentReads, reason, 1)
	var t platform.Transfer
	began := f.clock.Now()
	kv, revision, err := f.store.ReadAt(platform.WithTransfer(f.runCtx, &t), f.source.Key)
	f.record("read", began, t, err)
	if err != nil {
		return 0, err
	}
	if kv.Revision != 0 {
		f.putInForce(kv.Value, t)
	}
	return revision, nil
}

// watch applies changes until a call fails; it returns the revision to watch from next.
func (f *documentFollower) watch(after uint64) (uint64, error) {
	for f.runCtx.Err() == nil {
		var t platform.Transfer
		began := f.clock.Now()
		changes, next, err := f.store.Changes(platform.WithTransfer(f.runCtx, &t), f.source.Prefix, after, documentWatchWait)
		if errors.Is(err, platform.ErrCompacted) {
			return 0, err // the caller reads the document and watches from that revision
		}
		f.record("watch", began, t, err)
		if err != nil {
			return after, err
		}
		for _, c := range changes {
			if c.Key == f.source.Key && !c.Deleted {
				f.putInForce(c.Value, t)
			}
		}
		after = next
	}
	return after, nil
}

// record records the result of a call to the store. The end of the process fails a watch that
// waits, which says nothing about the store.
func (f *documentFollower) record(operation string, began time.Time, t platform.Transfer, err error) {
	f.metrics.Add(metrics.DocumentBytes, t.ReceivedBytes)
	if err == nil {
		f.failures = 0
		f.config.Confirm()
		f.recordStoreResult(operationReadConfig, nil)
		return
	}
	if f.runCtx.Err() != nil {
		return
	}
	f.failures++
	now := f.clock.Now()
	if f.failures == 1 || now.Sub(f.loggedAt) >= documentFailureLogInterval {
		f.loggedAt = now
		f.log.Emit(event.DocumentReadFailed, "operation", operation, "version", f.ConfigVersion(), "failures", f.failures,
			"received_bytes", t.ReceivedBytes, "transfer_ms", t.Duration.Milliseconds(),
			"elapsed_ms", now.Sub(began).Milliseconds(), "error", err)
	}
	f.recordStoreResult(operationReadConfig, err)
}

func (f *documentFollower) putInForce(value []byte, t platform.Transfer) {
	began := f.clock.Now()
	doc, err := f.source.Decode(value)
	if err != nil {
		f.log.Emit(event.DocumentRefused, "subject", f.source.Key, "error", err)
		return
	}
	decoded := f.clock.Since(began)
	before := f.ConfigVersion()
	if f.config.Replace(doc) {
		f.log.Emit(event.ConfigurationInForce, "version", doc.Version, "previous_version", before, "source", "store",
			"received_bytes", t.ReceivedBytes, "transfer_ms", t.Duration.Milliseconds(), "decode_ms", decoded.Milliseconds())
	}
}
