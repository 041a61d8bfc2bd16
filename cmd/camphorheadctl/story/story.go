// Package story reconstructs from the logs of several processes what happened to a
// request or job.
//
// The clocks of the processes may differ. Lines are ordered so that a run is placed
// before it ends at its agent, and ends there before the leader records the end.
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

// maxLineBytes bounds the length of a line; Read fails on a longer one.
const maxLineBytes = 1 << 20

// commonFields are the fields that every event has.
var commonFields = []string{"time", "level", "msg", "process", "role", "region", "failure_domain", "event", "name"}

// Read returns the events of a log in JSON. Text before the first brace of a line is
// ignored, since log collectors add prefixes, and so are lines without a brace;
// unreadable counts the other lines that are not events.
func Read(r io.Reader) (lines []Line, unreadable int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		text := scanner.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		line, ok := parseLine(text[start:])
		if !ok {
			unreadable++
			continue
		}
		lines = append(lines, line)
	}
	return lines, unreadable, scanner.Err()
}

func parseLine(data []byte) (Line, bool) {
	var fields map[string]any
	if json.Unmarshal(data, &fields) != nil {
		return Line{}, false
	}
	text := func(name string) string { s, _ := fields[name].(string); return s }
	at, err := time.Parse(time.RFC3339Nano, text("time"))
	l := Line{At: at, Process: text("process"), Name: text("name"), Message: text("msg"), Fields: fields}
	for _, name := range commonFields {
		delete(fields, name)
	}
	return l, err == nil && l.Process != "" && l.Name != ""
}

// contextEvents are the events that may explain a delay or a loss although they refer
// to no request.
var contextEvents = []string{
	"process_starting", "process_stopping", "store_unavailable", "store_available", "leader_known", "leader_lost",
	"term_begun", "term_ended", "term_resigned", "worker_silent", "worker_answers", "worker_reborn",
	"worker_announced", "agent_session_lapsed", "tasks_stopped_for_lease", "worker_ejected", "configuration_in_force",
}

// contextWindow is how long before the first matching line context events are included.
const contextWindow = 2 * time.Second

// Select returns the lines that refer to a request or job, and the context events of the
// processes that wrote these lines or are named in them as agents. It corrects the times
// in lines by alignClocks.
func Select(lines []Line, id string) []Line {
	alignClocks(lines)
	var selected []Line
	involved := map[string]bool{}
	var first, last time.Time
	for i := range lines {
		l := &lines[i]
		if !l.refersTo(id) {
			continue
		}
		selected = append(selected, *l)
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
	if len(selected) == 0 {
		return nil
	}
	for _, l := range lines {
		if involved[l.Process] && slices.Contains(contextEvents, l.Name) && !l.refersTo(id) &&
			l.At.After(first.Add(-contextWindow)) && !l.At.After(last) {
			selected = append(selected, l)
		}
	}
	slices.SortStableFunc(selected, func(a, b Line) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(causalRank(a.Name), causalRank(b.Name)))
	})
	return selected
}

// causalRank orders lines with equal times: causes before effects.
func causalRank(name string) int {
	i := slices.Index([]string{"job_accepted", "job_queued", "run_placed", "task_started", "task_run_ended", "run_ended", "job_finished"}, name)
	return i + 1
}

// refersTo reports whether a line refers to the request or job id, or a task of the job.
func (l *Line) refersTo(id string) bool {
	for _, name := range []string{"request", "job", "task"} {
		if value, ok := l.Fields[name].(string); ok && (value == id || strings.HasPrefix(value, id+".")) {
			return true
		}
	}
	return false
}

// runKey identifies a run.
type runKey struct {
	task string
	run  float64
}

func (l *Line) runKey() (runKey, bool) {
	task, named := l.Fields["task"].(string)
	run, numbered := l.Fields["run"].(float64)
	return runKey{task, run}, named && numbered
}

// alignClocks shifts the times of each agent by the smallest offset with which no run
// ends before it was placed or after the leader recorded its end. Where both cannot
// hold, the first does. Times move back by at most an hour.
func alignClocks(lines []Line) {
	placed, recorded := map[runKey]time.Time{}, map[runKey]time.Time{}
	for i := range lines {
		if key, ok := lines[i].runKey(); ok {
			switch lines[i].Name {
			case "run_placed":
				placed[key] = lines[i].At
			case "run_ended":
				recorded[key] = lines[i].At
			}
		}
	}
	type bounds struct{ lowest, highest time.Duration }
	offsets := map[string]*bounds{}
	for i := range lines {
		l := &lines[i]
		key, ok := l.runKey()
		if !ok || l.Name != "task_run_ended" {
			continue
		}
		b := offsets[l.Process]
		if b == nil {
			b = &bounds{lowest: -time.Hour, highest: time.Hour}
			offsets[l.Process] = b
		}
		if at, ok := placed[key]; ok {
			b.lowest = max(b.lowest, at.Sub(l.At))
		}
		if at, ok := recorded[key]; ok {
			b.highest = min(b.highest, at.Sub(l.At))
		}
	}
	for i := range lines {
		if b := offsets[lines[i].Process]; b != nil {
			lines[i].At = lines[i].At.Add(max(b.lowest, min(0, b.highest)))
		}
	}
}
