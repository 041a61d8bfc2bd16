package entry

import (
	"context"
	"errors"
	"time"

	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/version/profile"
)

// DocumentSource is a configuration that operators write to the store
// themselves, as one document.
type DocumentSource struct {
	Key string
	// Prefix covers the key and everything else that operators write.
	Prefix string
	Decode func(value []byte) (*profile.Document, error)
}

const (
	// documentWait is how long the store may wait for changes before it answers one
	// question. A question over a connection that has gone silent is given up one
	// call's time after that, and a change must be in force within 3 s.
	documentWait = 1500 * time.Millisecond
	// documentRetry is the pause after a question that failed.
	documentRetry = 200 * time.Millisecond
)

// followDocument puts each version of the operators' document in force until
// the process ends.
func (e *Entry) followDocument(source DocumentSource) {
	defer close(e.watchDone)
	var after uint64
	for e.run.Err() == nil {
		revision, err := e.readDocument(source)
		if err != nil {
			e.pause(documentRetry)
			continue
		}
		after = max(after, revision)
		if after, err = e.watchDocument(source, after); err != nil {
			e.pause(documentRetry)
		}
	}
}

// readDocument reads the present document and returns its revision.
func (e *Entry) readDocument(source DocumentSource) (uint64, error) {
	ctx, cancel := e.callContext(e.run)
	defer cancel()
	kv, err := e.store.Read(ctx, source.Key)
	e.noteDocumentStore(err)
	if err != nil {
		return 0, err
	}
	if kv.Revision != 0 {
		e.putDocumentInForce(source, kv.Value)
	}
	return kv.Revision, nil
}

// watchDocument waits for changes until a question fails.
func (e *Entry) watchDocument(source DocumentSource, after uint64) (uint64, error) {
	for e.run.Err() == nil {
		ctx, cancel := context.WithTimeout(e.run, documentWait+e.cfg.Limits.CallTimeout())
		changes, next, err := e.store.Changes(ctx, source.Prefix, after, documentWait)
		cancel()
		if errors.Is(err, platform.ErrCompacted) {
			return 0, err // read the document and go on from it
		}
		e.noteDocumentStore(err)
		if err != nil {
			return after, err
		}
		for _, c := range changes {
			if c.Key == source.Key && !c.Deleted {
				e.putDocumentInForce(source, c.Value)
			}
		}
		after = next
	}
	return after, nil
}

func (e *Entry) noteDocumentStore(err error) {
	if err == nil {
		e.config.Confirm()
	}
	e.noteStore("read configuration", err)
}

func (e *Entry) putDocumentInForce(source DocumentSource, value []byte) {
	doc, err := source.Decode(value)
	if err != nil {
		e.log.Emit(event.DocumentRefused, "subject", source.Key, "error", err)
		return
	}
	before := e.ConfigVersion()
	if e.config.Replace(doc) {
		e.log.Emit(event.ConfigurationInForce, "version", doc.Version, "previous_version", before, "source", "store")
	}
}
