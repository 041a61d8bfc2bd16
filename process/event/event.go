// Package event writes the numbered log events of a process.
//
// The catalogue is closed: Emit writes only its events, and only the fields
// that the catalogue lists for the event. Byte slices are never written, only
// their length, so that no request body can reach the log.
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

// ID is the number of an event. It is never reused for another event.
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

// Definition is one row of the catalogue.
type Definition struct {
	ID      ID
	Name    string
	Level   Level
	Message string
	Fields  []Field
	// Action tells an operator what to do.
	Action string
}

// Recorder keeps events of every level for the time line. It must not block,
// and it formats a value only when it is asked for the event.
type Recorder interface {
	Record(event int, name string, keysAndValues []any)
}

// Logger writes events. The zero value writes nothing. It may be copied and
// used from any goroutine.
type Logger struct {
	out logr.Logger
	// decisions takes the events about a request, if they are set apart.
	decisions *logr.Logger
	recorder  Recorder
}

// WithDecisions returns a Logger that writes the events about a request through
// another one, whose output drops lines last.
func (l Logger) WithDecisions(other Logger) Logger {
	l.decisions = &other.out
	return l
}

// WithRecorder returns a Logger that also hands each event to a recorder.
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
		return Logger{}, Class.New("unknown level %q", level)
	}
	switch format {
	case "human":
		return Wrap(logr.FromSlogHandler(slog.NewTextHandler(w, options))), nil
	case "json":
		return Wrap(logr.FromSlogHandler(slog.NewJSONHandler(w, options))), nil
	}
	return Logger{}, Class.New("unknown format %q", format)
}

// Wrap returns a Logger that writes to an existing logr.Logger.
func Wrap(out logr.Logger) Logger { return Logger{out: out} }

// ForProcess returns a Logger whose events all carry the identity of the process.
func (l Logger) ForProcess(id, role, region, failureDomain string) Logger {
	identity := []any{"process", id, "role", role, "region", region, "failure_domain", failureDomain}
	l.out = l.out.WithValues(identity...)
	if l.decisions != nil {
		out := l.decisions.WithValues(identity...)
		l.decisions = &out
	}
	return l
}

// Emit writes one event with the given names and values of fields. It takes no
// lock of this program, so it may be called under any lock; the write to the
// output may block, so callers on the path of requests hold none.
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
	if l.decisions != nil && d.Decides() {
		out = *l.decisions
	}
	if d.Level == Error {
		out.Error(nil, d.Message, d.values(keysAndValues)...)
		return
	}
	if out = out.V(verbosity(d.Level)); out.Enabled() {
		out.Info(d.Message, d.values(keysAndValues)...)
	}
}

// values returns the number and name of the event and the values of listed
// fields. The names of other fields are written in place of their values.
func (d Definition) values(keysAndValues []any) []any {
	values := make([]any, 0, len(keysAndValues)+6)
	values = append(values, "event", int(d.ID), "name", d.Name)
	var unlisted []string
	for i := 0; i < len(keysAndValues); i += 2 {
		key, isName := keysAndValues[i].(string)
		if !isName || i+1 == len(keysAndValues) || !d.lists(key) {
			unlisted = append(unlisted, nameOf(keysAndValues[i]))
			continue
		}
		values = append(values, key, printable(keysAndValues[i+1]))
	}
	if len(unlisted) > 0 {
		values = append(values, "unlisted_fields", unlisted)
	}
	return values
}

// Decides reports whether an event is about one request, job or task.
func (d Definition) Decides() bool { return d.lists("request") || d.lists("job") || d.lists("task") }

// NameIn returns the name of the event of a written line; it is empty if there is none.
func NameIn(line []byte) string {
	for _, mark := range []string{`"name":"`, " name="} {
		if _, rest, ok := bytes.Cut(line, []byte(mark)); ok {
			end := bytes.IndexAny(rest, "\" \n")
			return string(rest[:max(end, 0)])
		}
	}
	return ""
}

func (d Definition) lists(name string) bool {
	return slices.ContainsFunc(d.Fields, func(f Field) bool { return f.Name == name })
}

// nameOf describes a misplaced argument without writing a value that may be secret.
func nameOf(key any) string {
	if name, ok := key.(string); ok && known(name) {
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

// verbosity translates a level to logr's, where a higher number is less severe.
func verbosity(level Level) int {
	if level == Debug {
		return -int(slog.LevelDebug)
	}
	return -int(slog.LevelInfo)
}
