package timeline

import (
	"fmt"
	"sort"
	"strings"

	"camphorhead.example/camphorhead/process/lockrank"
)

// DefaultLength is the number of events that a process keeps.
const DefaultLength = 8192

// Record is one event as it is given out.
type Record struct {
	At      Timestamp `msgpack:"t" json:"at,string"`
	Process string    `msgpack:"p" json:"process"`
	Event   int       `msgpack:"e" json:"event"`
	Name    string    `msgpack:"n" json:"name"`
	Fields  []Field   `msgpack:"f" json:"fields"`
}

// Field is one named value of an event.
type Field struct {
	Name  string `msgpack:"n" json:"name"`
	Value string `msgpack:"v" json:"value"`
}

// Value returns a field's value; it is empty when the event has no such field.
func (r Record) Value(name string) string {
	for _, f := range r.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// entry is one event as it is kept. Its values are formatted only when asked for.
type entry struct {
	at            uint64
	event         int
	name          string
	keysAndValues []any
}

// Ring keeps the latest events of one process.
type Ring struct {
	process string
	clock   *Clock

	mu      lockrank.Mutex // guards the fields below
	entries []entry
	next    int
	full    bool
}

// NewRing returns a ring of the given length.
func NewRing(process string, clock *Clock, length int) *Ring {
	return &Ring{
		process: process, clock: clock,
		mu: lockrank.NewMutex(lockrank.RankTimeline), entries: make([]entry, length),
	}
}

// Record keeps an event. The values must not be changed afterwards. It may be
// called under any lock of a lower rank.
func (r *Ring) Record(event int, name string, keysAndValues []any) {
	at := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries[r.next] = entry{at: at, event: event, name: name, keysAndValues: keysAndValues}
	r.next++
	if r.next == len(r.entries) {
		r.next, r.full = 0, true
	}
}

// Filter selects events. Empty fields select everything.
type Filter struct {
	Request    string `msgpack:"r,omitempty" json:"request,omitempty"`
	Job        string `msgpack:"j,omitempty" json:"job,omitempty"`
	Agent      string `msgpack:"a,omitempty" json:"agent,omitempty"`
	Franchisee string `msgpack:"f,omitempty" json:"franchisee,omitempty"`
	Name       string `msgpack:"n,omitempty" json:"name,omitempty"`
	SinceMs    int64  `msgpack:"s,omitempty" json:"since_ms,omitempty"`
	UntilMs    int64  `msgpack:"u,omitempty" json:"until_ms,omitempty"`
	Limit      int    `msgpack:"l,omitempty" json:"limit,omitempty"`
}

// Matches reports whether the filter selects an event.
func (f Filter) Matches(r Record) bool {
	if f.Job != "" && r.Value("job") != f.Job && !strings.HasPrefix(r.Value("task"), f.Job+".") {
		return false // the name of a task begins with that of its job
	}
	for _, want := range []Field{{"request", f.Request}, {"agent", f.Agent}, {"franchisee", f.Franchisee}} {
		if want.Value != "" && r.Value(want.Name) != want.Value {
			return false
		}
	}
	if f.Name != "" && !strings.HasPrefix(r.Name, f.Name) {
		return false
	}
	return r.At.Ms() >= f.SinceMs && (f.UntilMs == 0 || r.At.Ms() <= f.UntilMs)
}

// Select returns the latest events that match, oldest first.
func (r *Ring) Select(f Filter) []Record {
	var records []Record
	for _, e := range r.snapshot() {
		record := Record{At: Timestamp(e.at), Process: r.process, Event: e.event, Name: e.name, Fields: format(e.keysAndValues)}
		if f.Matches(record) {
			records = append(records, record)
		}
	}
	return Merge(f.Limit, records)
}

func (r *Ring) snapshot() []entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.full {
		return append([]entry(nil), r.entries[:r.next]...)
	}
	return append(append([]entry(nil), r.entries[r.next:]...), r.entries[:r.next]...)
}

func format(keysAndValues []any) []Field {
	fields := make([]Field, 0, len(keysAndValues)/2)
	for i := 0; i+1 < len(keysAndValues); i += 2 {
		name, ok := keysAndValues[i].(string)
		if !ok {
			continue
		}
		fields = append(fields, Field{Name: name, Value: printable(keysAndValues[i+1])})
	}
	return fields
}

// printable formats a value; a byte slice is shown by its length only, so that
// no request body can reach the time line.
func printable(value any) string {
	if b, ok := value.([]byte); ok {
		return fmt.Sprintf("(%d bytes)", len(b))
	}
	return fmt.Sprint(value)
}

// Merge orders the events of several processes and keeps the latest limit of
// them; 0 keeps all.
func Merge(limit int, lists ...[]Record) []Record {
	var all []Record
	for _, list := range lists {
		all = append(all, list...)
	}
	sort.SliceStable(all, func(i, j int) bool {
		if all[i].At != all[j].At {
			return all[i].At < all[j].At
		}
		return all[i].Process < all[j].Process
	})
	if limit > 0 && len(all) > limit {
		all = all[len(all)-limit:]
	}
	return all
}
