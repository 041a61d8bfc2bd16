package document

import (
	"context"
	"errors"
	"time"

	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/process/metrics"
	"camphorhead.example/camphorhead/process/platform"
)

const (
	// watchWait is how long the store waits for changes before it responds to a watch call. A call on
	// an unresponsive connection ends one call timeout later.
	watchWait = 500 * time.Millisecond
	// retryPause is the pause after a failed call.
	retryPause = 200 * time.Millisecond
	// failureLogInterval bounds the lines about failed calls: a store that refuses calls at once would
	// fill the log.
	failureLogInterval = time.Second
	// A response to a watch has each version since the position, each as a whole. Beyond
	// largeResponse, one that is more than maxResponseGrowth times the latest document is given up,
	// and the newest version is read instead.
	largeResponse     = 256 << 10
	maxResponseGrowth = 1.5
)

// operation names the calls in the log.
const operation = "read configuration"

// The reasons for reading the whole document, in metrics.DocumentReads.
const (
	readAtStart        = "start"
	readAfterFailure   = "failure"
	readWithoutHistory = "history"
	readNewestOnly     = "versions"
	noRead             = ""
)

// loop is the state of Run; its goroutine alone uses it.
type loop struct {
	*Follower
	position uint64    // the store's revision from which a watch misses no change
	received int64     // size of the latest response with a document
	failures int       // calls that failed in a row
	loggedAt time.Time // last line about a failed call
}

// Run puts each version of the document in force until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	l := &loop{Follower: f}
	for reason := readAtStart; ctx.Err() == nil; {
		if rest := l.confirmedFor(); rest > 0 {
			reason = noRead
			if l.failures == 0 { // else only a call shows that the store serves this entry again
				l.pause(ctx, rest)
				continue
			}
		}
		err := l.call(ctx, reason)
		reason = l.nextRead(ctx, reason, err)
		if reason == readAfterFailure || reason == readWithoutHistory {
			l.pause(ctx, retryPause)
		}
	}
}

// confirmedFor returns how long the version in force needs no confirmation by the store. The leader
// always follows the store, so that the others need not.
func (l *loop) confirmedFor() time.Duration {
	c := l.cfg.Holder.Confirmed()
	if c.Revision == 0 || c.Version != l.version() || c.Version == 0 || l.cfg.Leads() {
		return 0
	}
	return confirmationLifetime - l.cfg.Clock.Since(c.At)
}

// nextRead returns why the next call has to read the whole document, after one that had the given
// reason and result.
func (l *loop) nextRead(ctx context.Context, reason string, err error) string {
	switch {
	case err == nil, errors.Is(err, context.Canceled) && ctx.Err() == nil:
		return noRead // a call that was interrupted is not needed any more
	case errors.Is(err, platform.ErrCompacted):
		l.cfg.Log.Emit(event.DocumentPositionLost, "revision", l.position, "version", l.version())
		return readWithoutHistory
	case errors.Is(err, platform.ErrTooLarge) && reason == noRead:
		return readNewestOnly
	}
	return readAfterFailure
}

// call reads the document if there is a reason to, else it watches it. The error matches
// context.Canceled if a pull has interrupted it.
func (l *loop) call(ctx context.Context, reason string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.interrupt.Store(&cancel)
	defer l.interrupt.Store(nil)
	var t platform.Transfer
	var err error
	began := l.cfg.Clock.Now()
	if reason != noRead {
		l.cfg.Metrics.AddFor(metrics.DocumentReads, reason, 1)
		err = l.read(platform.WithTransfer(ctx, &t), &t)
	} else {
		if l.received > largeResponse {
			t.MaxBytes = int64(maxResponseGrowth * float64(l.received))
		}
		err = l.watch(platform.WithTransfer(ctx, &t), &t)
	}
	l.cfg.Metrics.Add(metrics.DocumentBytes, t.ReceivedBytes)
	if ctx.Err() != nil {
		return context.Canceled
	}
	l.record(reason, began, &t, err)
	return err
}

func (l *loop) read(ctx context.Context, t *platform.Transfer) error {
	kv, revision, err := l.cfg.Store.ReadAt(ctx, l.cfg.Key)
	if err != nil {
		return err
	}
	if kv.Revision != 0 {
		l.putInForce(kv.Value, t)
	}
	// The document's own revision would not do as the position: the store forgets its changes, and a
	// watch from before the oldest that it has fails.
	l.moveTo(revision, t)
	return nil
}

func (l *loop) watch(ctx context.Context, t *platform.Transfer) error {
	if c := l.cfg.Holder.Confirmed(); c.Version == l.version() {
		l.position = max(l.position, c.Revision) // another entry may know a later one
	}
	changes, next, err := l.cfg.Store.Changes(ctx, l.cfg.Prefix, l.position, watchWait)
	if err != nil {
		return err
	}
	for _, c := range changes {
		if c.Key == l.cfg.Key && !c.Deleted {
			l.putInForce(c.Value, t)
		}
	}
	l.moveTo(next, t)
	return nil
}

// moveTo sets the position after a response that has shown all changes up to a revision.
func (l *loop) moveTo(revision uint64, t *platform.Transfer) {
	l.position = revision
	c := l.cfg.Holder.Confirmed()
	c.Version, c.Revision, c.At = l.version(), revision, l.cfg.Clock.Now().Add(-t.Duration)
	l.cfg.Holder.ConfirmAt(c)
}

// putInForce puts a version in force if it is newer. One that cannot be decoded is ignored.
func (l *loop) putInForce(value []byte, t *platform.Transfer) {
	l.received = t.ReceivedBytes
	began := l.cfg.Clock.Now()
	doc, err := l.cfg.Decode(value)
	if err != nil {
		l.cfg.Log.Emit(event.DocumentRefused, "subject", l.cfg.Key, "error", err)
		return
	}
	decoded, before := l.cfg.Clock.Since(began), l.version()
	if !l.cfg.Holder.ReplaceByOperators(doc) {
		return
	}
	l.cfg.Log.Emit(event.ConfigurationInForce, "version", doc.Version, "previous_version", before, "source", "store",
		"received_bytes", t.ReceivedBytes, "transfer_ms", t.Duration.Milliseconds(), "decode_ms", decoded.Milliseconds())
	l.inForce()
}

// record records the result of a call. A lost history and a response that is given up say nothing
// about the store.
func (l *loop) record(reason string, began time.Time, t *platform.Transfer, err error) {
	if err == nil || errors.Is(err, platform.ErrCompacted) || errors.Is(err, platform.ErrTooLarge) {
		l.failures = 0
		l.cfg.OnStoreResult(operation, nil)
		return
	}
	l.failures++
	now := l.cfg.Clock.Now()
	if l.failures == 1 || now.Sub(l.loggedAt) >= failureLogInterval {
		l.loggedAt = now
		call := "read"
		if reason == noRead {
			call = "watch"
		}
		l.cfg.Log.Emit(event.DocumentReadFailed, "operation", call, "version", l.version(), "failures", l.failures,
			"received_bytes", t.ReceivedBytes, "transfer_ms", t.Duration.Milliseconds(),
			"elapsed_ms", now.Sub(began).Milliseconds(), "error", err)
	}
	l.cfg.OnStoreResult(operation, err)
}

func (l *loop) pause(ctx context.Context, d time.Duration) {
	timer := l.cfg.Clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.Chan():
	}
}
