package timeline

import (
	"fmt"
	"sort"
	"strings"

	"camphorhead.example/camphorhead/process/lockrank"
)

// DefaultLength is the default number of events that a process keeps.
const DefaultLength = 8192

// Record is one event with its values formatted as text.
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

// Value returns the value of a field; empty if the event has no such field.
func (r Record) Value(name string) string {
	for _, f := range r.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// storedEvent is one event in a Ring. Its values are formatted only on Select.
type storedEvent struct {
	at            uint64
	event         int
	name          string
	keysAndValues []any
}

// Ring keeps the latest events of one process in a ring buffer. Any goroutine may use it.
type Ring struct {
	process string
	clock   *Clock

	mu      lockrank.Mutex // guards the fields below
	events  []storedEvent
	next    int // index of the next event to write
	wrapped bool
}

// NewRing returns a ring for the given number of events of a process.
func NewRing(process string, clock *Clock, length int) *Ring {
	return &Ring{
		process: process, clock: clock,
		mu: lockrank.NewMutex(lockrank.RankTimeline), events: make([]storedEvent, length),
	}
}

// Record stores an event. The caller must not change the values afterwards. It may be
// called under any lock of a rank below RankTimeline.
func (r *Ring) Record(event int, name string, keysAndValues []any) {
	at := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events[r.next] = storedEvent{at: at, event: event, name: name, keysAndValues: keysAndValues}
	r.next++
	if r.next == len(r.events) {
		r.next, r.wrapped = 0, true
	}
}

// Filter selects events; empty fields select all. Name is a prefix of the event name,
// SinceMs and UntilMs are unix times, and Limit is the number of latest events to keep.
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
		return false // the id of a task begins with the id of its job
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

// Select returns the latest events that match the filter, oldest first.
func (r *Ring) Select(f Filter) []Record {
	var records []Record
	for _, e := range r.snapshot() {
		record := Record{At: Timestamp(e.at), Process: r.process, Event: e.event, Name: e.name, Fields: formatFields(e.keysAndValues)}
		if f.Matches(record) {
			records = append(records, record)
		}
	}
	return Merge(f.Limit, records)
}

func (r *Ring) snapshot() []storedEvent {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.wrapped {
		return append([]storedEvent(nil), r.events[:r.next]...)
	}
	return append(append([]storedEvent(nil), r.events[r.next:]...), r.events[:r.next]...)
}

func formatFields(keysAndValues []any) []Field {
	fields := make([]Field, 0, len(keysAndValues)/2)
	for i := 0; i+1 < len(keysAndValues); i += 2 {
		name, ok := keysAndValues[i].(string)
		if !ok {
			continue
		}
		fields = append(fields, Field{Name: name, Value: formatValue(keysAndValues[i+1])})
	}
	return fields
}

// formatValue formats a value, a byte slice only as its length, so that no request body
// reaches the time line.
func formatValue(value any) string {
	if b, ok := value.([]byte); ok {
		return fmt.Sprintf("(%d bytes)", len(b))
	}
	return fmt.Sprint(value)
}

// Merge sorts the events of several processes by timestamp, then process, and returns
// the latest limit of them; 0 means all.
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
