// Package event writes the numbered log events of a process.
//
// Emit writes only events of the catalogue, and only the fields that the catalogue
// lists for the event. Of a byte slice only the length is written, so that no
// request body can reach the log.
package event

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"slices"

	"github.com/go-logr/logr"
	"github.com/zeebo/errs"
)

// Class is the error class of this package.
var Class = errs.Class("event")

// ID is the number of an event. Numbers of removed events are not reused.
type ID int

// Level is the severity of an event.
type Level string

// The levels, in increasing severity.
const (
	Debug Level = "debug"
	Info  Level = "info"
	Error Level = "error"
)

// Field is a named value of an event with its unit.
type Field struct{ Name, Unit string }

// Definition is the catalogue entry of one event.
type Definition struct {
	ID      ID
	Name    string
	Level   Level
	Message string
	Fields  []Field
	// Action is what an operator should do; noAction if nothing is required.
	Action string
}

// Recorder keeps events of every level for the time line. Record must not block; it
// keeps the values unformatted, so callers must not change them afterwards.
type Recorder interface {
	Record(event int, name string, keysAndValues []any)
}

// Logger writes events. The zero value writes nothing. It may be copied and
// used from any goroutine.
type Logger struct {
	out logr.Logger
	// decisions is the output for decision events (see IsDecision); nil: out.
	decisions *logr.Logger
	recorder  Recorder
}

// WithDecisions returns a Logger that writes decision events (see IsDecision) to the
// output of other, which is the last to drop lines under load.
func (l Logger) WithDecisions(other Logger) Logger {
	l.decisions = &other.out
	return l
}

// WithRecorder returns a Logger that also passes each event, whatever its level, to r.
func (l Logger) WithRecorder(r Recorder) Logger {
	l.recorder = r
	return l
}

// New returns a Logger that writes to w. The format is "human" or "json", the
// level "debug", "info" or "error".
func New(w io.Writer, format, level string) (Logger, error) {
	options := &slog.HandlerOptions{}
	switch Level(level) {
	case Debug:
		options.Level = slog.LevelDebug
	case Info:
		options.Level = slog.LevelInfo
	case Error:
		options.Level = slog.LevelError
	default:
		return Logger{}, Class.New("unknown log level %q", level)
	}
	switch format {
	case "human":
		return Wrap(logr.FromSlogHandler(slog.NewTextHandler(w, options))), nil
	case "json":
		return Wrap(logr.FromSlogHandler(slog.NewJSONHandler(w, options))), nil
	}
	return Logger{}, Class.New("unknown log format %q", format)
}

// Wrap returns a Logger that writes to an existing logr.Logger.
func Wrap(out logr.Logger) Logger { return Logger{out: out} }

// ForProcess returns a Logger that adds the identity of the process to every event.
func (l Logger) ForProcess(id, role, region, failureDomain string) Logger {
	identity := []any{"process", id, "role", role, "region", region, "failure_domain", failureDomain}
	l.out = l.out.WithValues(identity...)
	if l.decisions != nil {
		out := l.decisions.WithValues(identity...)
		l.decisions = &out
	}
	return l
}

// Emit writes one event with alternating field names and values; an ID that is not in
// the catalogue is written as InternalError. The recorder and the output take locks of
// RankTimeline and above, so it may be called under any lock of a lower rank. The write
// may block, so callers on the request path hold no lock.
func (l Logger) Emit(id ID, keysAndValues ...any) {
	d, ok := Lookup(id)
	if !ok {
		l.Emit(InternalError, "component", "event", "error", fmt.Sprintf("event %d is not in the catalogue", id))
		return
	}
	if l.recorder != nil {
		l.recorder.Record(int(d.ID), d.Name, keysAndValues)
	}
	out := l.out
	if l.decisions != nil && d.IsDecision() {
		out = *l.decisions
	}
	if d.Level == Error {
		out.Error(nil, d.Message, d.attributes(keysAndValues)...)
		return
	}
	if out = out.V(verbosity(d.Level)); out.Enabled() {
		out.Info(d.Message, d.attributes(keysAndValues)...)
	}
}

// attributes returns the number and name of the event and its listed fields, as
// alternating keys and values. Other fields appear by name only, in unlisted_fields.
func (d Definition) attributes(keysAndValues []any) []any {
	values := make([]any, 0, len(keysAndValues)+6)
	values = append(values, "event", int(d.ID), "name", d.Name)
	var unlisted []string
	for i := 0; i < len(keysAndValues); i += 2 {
		key, isName := keysAndValues[i].(string)
		if !isName || i+1 == len(keysAndValues) || !d.hasField(key) {
			unlisted = append(unlisted, describeKey(keysAndValues[i]))
			continue
		}
		values = append(values, key, printable(keysAndValues[i+1]))
	}
	if len(unlisted) > 0 {
		values = append(values, "unlisted_fields", unlisted)
	}
	return values
}

// IsDecision reports whether the event is about one request, job or task.
func (d Definition) IsDecision() bool {
	return d.hasField("request") || d.hasField("job") || d.hasField("task")
}

// ParseName returns the event name in a written line of either format, or "".
func ParseName(line []byte) string {
	for _, mark := range []string{`"name":"`, " name="} {
		if _, rest, ok := bytes.Cut(line, []byte(mark)); ok {
			end := bytes.IndexAny(rest, "\" \n")
			return string(rest[:max(end, 0)])
		}
	}
	return ""
}

func (d Definition) hasField(name string) bool {
	return slices.ContainsFunc(d.Fields, func(f Field) bool { return f.Name == name })
}

// describeKey returns a known field name or else only a type: the argument may be secret.
func describeKey(key any) string {
	if name, ok := key.(string); ok && isFieldName(name) {
		return name
	}
	return fmt.Sprintf("(%T)", key)
}

func printable(value any) any {
	switch v := value.(type) {
	case []byte:
		return fmt.Sprintf("(%d bytes)", len(v))
	case error:
		return v.Error()
	}
	return value
}

// verbosity returns the logr level, where a higher number is less severe.
func verbosity(level Level) int {
	if level == Debug {
		return -int(slog.LevelDebug)
	}
	return -int(slog.LevelInfo)
}
