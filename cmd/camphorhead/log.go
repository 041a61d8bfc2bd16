package main

import (
	"bytes"
	"io"

	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/process/logsink"
	"camphorhead.example/camphorhead/process/settings"
)

// openLog returns the log of a process, which never blocks, and the sink to close
// at its end.
func openLog(out io.Writer, cfg settings.Settings) (*logsink.Sink, event.Logger, error) {
	var line bytes.Buffer
	report, err := loggerOf(&line, cfg)
	if err != nil {
		return nil, event.Logger{}, err
	}
	sink := logsink.New(out, logsink.Config{
		Bytes: logsink.DefaultBytes, EventOf: event.NameIn,
		Report: func(name string, dropped int64) []byte {
			line.Reset()
			report.Emit(event.LogLinesDropped, "kind", name, "lines", dropped)
			return line.Bytes()
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

func loggerOf(out io.Writer, cfg settings.Settings) (event.Logger, error) {
	log, err := event.New(out, cfg.Log.Format, cfg.Log.Level)
	p := cfg.Process
	return log.ForProcess(p.ID, string(cfg.Role), p.Region, p.FailureDomain), err
}
