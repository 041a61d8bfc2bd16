package entry

import (
	"context"
	"errors"
	"time"

	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/version/profile"
)

// ManifestSource is a configuration that operators write to the store
// themselves, as one document.
type ManifestSource struct {
	Key string
	// Prefix covers the key and everything else that operators write.
	Prefix string
	Decode func(value []byte) (*profile.Document, error)
}

const (
	// manifestWait is how long the store may wait for changes before it answers one
	// question. A question over a connection that has gone silent is given up one
	// call's time after that, and a change must be in force within 3 s.
	manifestWait = 1500 * time.Millisecond
	// manifestRetry is the pause after a question that failed.
	manifestRetry = 200 * time.Millisecond
)

// followManifest puts each version of the operators' document in force until
// the process ends.
func (e *Entry) followManifest(source ManifestSource) {
	defer close(e.watchDone)
	var after uint64
	for e.run.Err() == nil {
		revision, err := e.readManifest(source)
		if err != nil {
			e.pause(manifestRetry)
			continue
		}
		after = max(after, revision)
		if after, err = e.watchManifest(source, after); err != nil {
			e.pause(manifestRetry)
		}
	}
}

// readManifest reads the present document and returns its revision.
func (e *Entry) readManifest(source ManifestSource) (uint64, error) {
	ctx, cancel := e.callContext(e.run)
	defer cancel()
	kv, err := e.store.Read(ctx, source.Key)
	e.noteManifestStore(err)
	if err != nil {
		return 0, err
	}
	if kv.Revision != 0 {
		e.putManifestInForce(source, kv.Value)
	}
	return kv.Revision, nil
}

// watchManifest waits for changes until a question fails.
func (e *Entry) watchManifest(source ManifestSource, after uint64) (uint64, error) {
	for e.run.Err() == nil {
		ctx, cancel := context.WithTimeout(e.run, manifestWait+e.cfg.Limits.CallTimeout())
		changes, next, err := e.store.Changes(ctx, source.Prefix, after, manifestWait)
		cancel()
		if errors.Is(err, platform.ErrCompacted) {
			return 0, err // read the document and go on from it
		}
		e.noteManifestStore(err)
		if err != nil {
			return after, err
		}
		for _, c := range changes {
			if c.Key == source.Key && !c.Deleted {
				e.putManifestInForce(source, c.Value)
			}
		}
		after = next
	}
	return after, nil
}

func (e *Entry) noteManifestStore(err error) {
	if err == nil {
		e.config.Confirm()
	}
	e.noteStore("read configuration", err)
}

func (e *Entry) putManifestInForce(source ManifestSource, value []byte) {
	doc, err := source.Decode(value)
	if err != nil {
		e.log.Emit(event.ManifestRefused, "subject", source.Key, "error", err)
		return
	}
	before := e.ConfigVersion()
	if e.config.Replace(doc) {
		e.log.Emit(event.ConfigurationInForce, "version", doc.Version, "previous_version", before, "source", "store")
	}
}
