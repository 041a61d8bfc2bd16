// Package story puts together from the logs of several processes what became of
// one request or job.
//
// Clocks of the processes may differ. The order of the lines respects what must
// have happened in sequence: an order before the run's end at its agent, and that
// before the leader heard of it.
package story

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"time"
)

// Line is one event of a log.
type Line struct {
	At      time.Time
	Process string
	Name    string
	Message string
	// Fields are the event's own fields, by name.
	Fields map[string]any
}

// maxLine bounds the length of a line in bytes; longer ones cannot be read.
const maxLine = 1 << 20

// common are the fields of every event.
var common = []string{"time", "level", "msg", "process", "role", "region", "failure_domain", "event", "name"}

// Read returns the events of a log in JSON. Text before the first brace of a line
// is ignored, as a collector of logs may put it there; unreadable counts the
// other lines that are no event.
func Read(r io.Reader) (lines []Line, unreadable int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	for scanner.Scan() {
		text := scanner.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		line, ok := parse(text[start:])
		if !ok {
			unreadable++
			continue
		}
		lines = append(lines, line)
	}
	return lines, unreadable, scanner.Err()
}

func parse(text []byte) (Line, bool) {
	var fields map[string]any
	if json.Unmarshal(text, &fields) != nil {
		return Line{}, false
	}
	word := func(name string) string { s, _ := fields[name].(string); return s }
	at, err := time.Parse(time.RFC3339Nano, word("time"))
	l := Line{At: at, Process: word("process"), Name: word("name"), Message: word("msg"), Fields: fields}
	for _, name := range common {
		delete(fields, name)
	}
	return l, err == nil && l.Process != "" && l.Name != ""
}

// surroundings are the events that explain a delay or a loss although they name
// no request.
var surroundings = []string{
	"process_starting", "process_stopping", "store_unavailable", "store_available", "leader_known", "leader_lost",
	"term_begun", "term_ended", "term_resigned", "worker_silent", "worker_answers", "worker_reborn",
	"worker_announced", "agent_session_lapsed", "tasks_stopped_for_lease", "worker_ejected", "configuration_in_force",
}

// before is how far before the first line about a request its surroundings matter.
const before = 2 * time.Second

// Of returns the story of a request or a job: the lines that name it, and what
// happened meanwhile at the processes that they come from or name.
func Of(lines []Line, id string) []Line {
	align(lines)
	var story []Line
	involved := map[string]bool{}
	var first, last time.Time
	for i := range lines {
		l := &lines[i]
		if !l.concerns(id) {
			continue
		}
		story = append(story, *l)
		involved[l.Process] = true
		if agent, ok := l.Fields["agent"].(string); ok {
			involved[agent] = true
		}
		if first.IsZero() || l.At.Before(first) {
			first = l.At
		}
		if l.At.After(last) {
			last = l.At
		}
	}
	if len(story) == 0 {
		return nil
	}
	for _, l := range lines {
		if involved[l.Process] && slices.Contains(surroundings, l.Name) && !l.concerns(id) &&
			l.At.After(first.Add(-before)) && !l.At.After(last) {
			story = append(story, l)
		}
	}
	slices.SortStableFunc(story, func(a, b Line) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(rank(a.Name), rank(b.Name)))
	})
	return story
}

// rank orders lines of the same moment: what causes before what follows.
func rank(name string) int {
	i := slices.Index([]string{"job_accepted", "job_queued", "run_placed", "task_started", "task_run_ended", "run_ended", "job_finished"}, name)
	return i + 1
}

// concerns reports whether a line names a request, a job or one of its tasks.
func (l *Line) concerns(id string) bool {
	for _, name := range []string{"request", "job", "task"} {
		if value, ok := l.Fields[name].(string); ok && (value == id || strings.HasPrefix(value, id+".")) {
			return true
		}
	}
	return false
}

// runKey names a run.
type runKey struct {
	task string
	run  float64
}

func (l *Line) runKey() (runKey, bool) {
	task, named := l.Fields["task"].(string)
	run, numbered := l.Fields["run"].(float64)
	return runKey{task, run}, named && numbered
}

// align moves the clocks of agents so that no run ends before it was ordered, and
// none is heard of before it ended.
func align(lines []Line) {
	placed, heard := map[runKey]time.Time{}, map[runKey]time.Time{}
	for i := range lines {
		if key, ok := lines[i].runKey(); ok {
			switch lines[i].Name {
			case "run_placed":
				placed[key] = lines[i].At
			case "run_ended":
				heard[key] = lines[i].At
			}
		}
	}
	type bounds struct{ least, most time.Duration }
	limits := map[string]*bounds{}
	for i := range lines {
		l := &lines[i]
		key, ok := l.runKey()
		if !ok || l.Name != "task_run_ended" {
			continue
		}
		b := limits[l.Process]
		if b == nil {
			b = &bounds{least: -time.Hour, most: time.Hour}
			limits[l.Process] = b
		}
		if at, ok := placed[key]; ok {
			b.least = max(b.least, at.Sub(l.At))
		}
		if at, ok := heard[key]; ok {
			b.most = min(b.most, at.Sub(l.At))
		}
	}
	for i := range lines {
		if b := limits[lines[i].Process]; b != nil {
			lines[i].At = lines[i].At.Add(max(b.least, min(0, b.most)))
		}
	}
}
