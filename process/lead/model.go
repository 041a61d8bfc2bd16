package lead

import (
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/zeebo/errs"

	"camphorhead.example/camphorhead/connection/body"
	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/process/metrics"
	"camphorhead.example/camphorhead/process/platform"
	"camphorhead.example/camphorhead/process/schedule"
)

const (
	modelKey = "leader/model" // key of modelRecord
	// maxModelBytes is the size up to which a record is read, maxRecordedModelBytes that of one that
	// is written. An entry that looks for a new leader reads the record along with the other keys of
	// the leader; at 10 Mbit/s, 32 KiB take 26 ms.
	maxModelBytes         = 64 << 10
	maxRecordedModelBytes = 32 << 10
	// maxModelAge is the age up to which a record is used; later, other work may be running. A record
	// from as far in the future is not used either.
	maxModelAge = 10 * time.Minute
	// modelGrace is how long a new leader waits for the record after it has read the jobs.
	modelGrace = 200 * time.Millisecond
)

// modelRecord is what a leader has learned, in the store.
type modelRecord struct {
	Term      uint64         `msgpack:"t"`
	WrittenMs int64          `msgpack:"w"` // Unix time in milliseconds
	Model     schedule.Model `msgpack:"m"`
}

var errModel = errs.Class("record of the model")

// encodeModel encodes a record, without its least useful parts if it is too large.
func encodeModel(r modelRecord) ([]byte, error) {
	for {
		value, err := msgpack.Marshal(&r)
		if err != nil || len(value) <= maxRecordedModelBytes {
			return value, err
		}
		r.Model.Shorten()
	}
}

// decodeModel decodes a record that the leader of a term may use. Other writers may have changed it.
func decodeModel(value []byte, term uint64, now time.Time) (modelRecord, error) {
	if len(value) > maxModelBytes {
		return modelRecord{}, errModel.New("%d bytes exceed the limit of %d", len(value), maxModelBytes)
	}
	var r modelRecord
	if err := body.Unmarshal(value, &r); err != nil {
		return modelRecord{}, errModel.Wrap(err)
	}
	age := now.Sub(time.UnixMilli(r.WrittenMs))
	switch {
	case r.Term == 0 || r.Term >= term:
		return modelRecord{}, errModel.New("written in term %d, which is not before term %d", r.Term, term)
	case age > maxModelAge || age < -maxModelAge:
		return modelRecord{}, errModel.New("too old or from the future: age %v", age)
	case !r.Model.Valid():
		return modelRecord{}, errModel.New("it contains an invalid value")
	}
	return r, nil
}

// modelRead is the outcome of a read of the record.
type modelRead struct {
	kv  platform.KV
	err error
}

// beginModelRead reads the record on the store pool while the jobs are read. The channel receives
// the outcome, at most Timing.CallTimeout later. It is nil if no model is recorded.
func (l *leaderTerm) beginModelRead() <-chan modelRead {
	if l.node.cfg.Timing.ModelInterval <= 0 {
		return nil
	}
	read := make(chan modelRead, 1)
	err := l.node.storePool.Submit(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, l.node.cfg.Timing.CallTimeout)
		defer cancel()
		kv, err := l.node.cfg.Store.Read(ctx, modelKey)
		read <- modelRead{kv, err}
	})
	if err != nil {
		read <- modelRead{err: err}
	}
	return read
}

// importModel puts the record of an earlier term into the table, unless it is not there within
// modelGrace: this leader then learns anew.
func (l *leaderTerm) importModel(read <-chan modelRead) {
	if read == nil {
		return
	}
	timeout := time.NewTimer(modelGrace)
	defer timeout.Stop()
	var found modelRead
	select {
	case found = <-read:
	case <-timeout.C:
		found.err = errModel.New("the store did not respond in time")
	}
	if found.err != nil {
		l.logNoModel("read", found.err)
		return
	}
	if found.kv.Revision == 0 {
		return
	}
	now := l.node.cfg.Clock.Now()
	record, err := decodeModel(found.kv.Value, l.number, now)
	if err != nil {
		l.logNoModel("decode", err)
		return
	}
	l.table.ImportModel(record.Model)
	l.node.cfg.Log.Emit(event.ModelLoaded, "term", l.number, "age_ms", now.Sub(time.UnixMilli(record.WrittenMs)).Milliseconds(),
		"pairings", len(record.Model.Pressure.Weights), "kinds", len(record.Model.RunTimes), "received_bytes", len(found.kv.Value))
}

// recordModel writes the model if it has changed since it was last written. After an error the next
// interval tries again.
func (l *leaderTerm) recordModel(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, l.node.cfg.Timing.CallTimeout)
	defer cancel()
	now := l.node.cfg.Clock.Now()
	l.mu.Lock()
	l.mu.modelRecordedAt = now
	recorded := l.mu.modelVersion
	l.mu.Unlock()
	if l.table.ModelVersion() == recorded {
		return
	}
	model := l.table.ExportModel()
	value, err := encodeModel(modelRecord{Term: l.number, WrittenMs: now.UnixMilli(), Model: model})
	if err == nil {
		err = l.writer.Put(ctx, modelKey, value)
	}
	if err != nil {
		l.node.cfg.Metrics.AddFor(metrics.ModelRecords, "failed", 1)
		l.logNoModel("write", err)
		return
	}
	l.node.cfg.Metrics.AddFor(metrics.ModelRecords, "written", 1)
	l.mu.Lock()
	l.mu.modelVersion = model.Version
	l.mu.Unlock()
}

func (l *leaderTerm) logNoModel(operation string, err error) {
	l.node.cfg.Log.Emit(event.ModelNotRecorded, "term", l.number, "operation", operation, "error", err)
}
