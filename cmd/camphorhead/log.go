package main

import (
	"bytes"
	"io"

	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/process/logsink"
	"camphorhead.example/camphorhead/process/settings"
)

// openLog returns a logger that never blocks, and the sink through which it writes to
// out. The caller closes the sink, which writes the remaining lines.
func openLog(out io.Writer, cfg settings.Settings) (*logsink.Sink, event.Logger, error) {
	var buf bytes.Buffer // used by the sink's goroutine alone
	dropLog, err := newProcessLogger(&buf, cfg)
	if err != nil {
		return nil, event.Logger{}, err
	}
	sink := logsink.New(out, logsink.Config{
		Bytes: logsink.DefaultBytes, EventOf: event.ParseName,
		Report: func(name string, dropped int64) []byte {
			buf.Reset()
			dropLog.Emit(event.LogLinesDropped, "kind", name, "lines", dropped)
			return buf.Bytes()
		},
	})
	plain, err := event.New(sink, cfg.Log.Format, cfg.Log.Level)
	if err != nil {
		return nil, event.Logger{}, err
	}
	decisions, err := event.New(sink.Decisions(), cfg.Log.Format, cfg.Log.Level)
	if err != nil {
		return nil, event.Logger{}, err
	}
	p := cfg.Process
	return sink, plain.WithDecisions(decisions).ForProcess(p.ID, string(cfg.Role), p.Region, p.FailureDomain), nil
}

func newProcessLogger(out io.Writer, cfg settings.Settings) (event.Logger, error) {
	log, err := event.New(out, cfg.Log.Format, cfg.Log.Level)
	p := cfg.Process
	return log.ForProcess(p.ID, string(cfg.Role), p.Region, p.FailureDomain), err
}
