// Package picture renders events of several processes as a self-contained HTML page: a
// picture with a row for each process and time from left to right, and below it a table
// of the events.
package picture

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"camphorhead.example/camphorhead/process/event"
	"camphorhead.example/camphorhead/process/timeline"
)

//go:embed page.html.tmpl
var pageText string

var pageTemplate = template.Must(template.New("page").Parse(pageText))

// Page is the content of a page. Records must be ordered by time, causes first.
type Page struct {
	Title   string
	Records []timeline.Record
	// Missing are the processes that did not respond.
	Missing []string
}

// tableRow is one event in the table below the picture.
type tableRow struct {
	Number  int
	Time    string
	AfterMs int64
	Process string
	Name    string
	Fields  string
	Meaning string
	Class   string
}

// Write writes the page as HTML. All text from p is escaped.
func Write(w io.Writer, p Page) error {
	data := struct {
		Page
		Begin   string
		Groups  []group
		Drawing drawing
		Table   []tableRow
	}{Page: p, Groups: groups, Drawing: draw(p.Records)}
	if len(p.Records) > 0 {
		data.Begin = eventTime(p.Records[0]).UTC().Format(time.RFC3339Nano)
	}
	for i, r := range p.Records {
		data.Table = append(data.Table, newTableRow(i, r, p.Records[0]))
	}
	return errs.Wrap(pageTemplate.Execute(w, data))
}

func newTableRow(i int, r, first timeline.Record) tableRow {
	definition, _ := event.Lookup(event.ID(r.Event))
	return tableRow{
		Number: i + 1, Time: eventTime(r).UTC().Format("15:04:05.000"), AfterMs: r.At.Ms() - first.At.Ms(),
		Process: r.Process, Name: r.Name, Fields: formatFields(r), Meaning: definition.Message, Class: markClass(r),
	}
}

func formatFields(r timeline.Record) string {
	texts := make([]string, 0, len(r.Fields))
	for _, f := range r.Fields {
		texts = append(texts, f.Name+"="+f.Value)
	}
	return strings.Join(texts, " ")
}

// group is a range of groupSize event numbers, drawn in one colour.
type group struct {
	Class string
	Title string
	first int
}

const groupSize = 1000

// groups match the number ranges of package event.
var groups = []group{
	{"process", "process", 1000},
	{"connection", "connections", 2000},
	{"membership", "membership", 3000},
	{"configuration", "configuration", 4000},
	{"job", "records and jobs", 5000},
	{"check", "checks", 6000},
	{"worker", "workers and targets", 7000},
	{"operator", "planned stops", 8000},
}

// markClass returns the CSS classes for the colour of an event and for errors.
func markClass(r timeline.Record) string {
	name := "other-mark"
	for _, g := range groups {
		if r.Event >= g.first && r.Event < g.first+groupSize {
			name = g.Class + "-mark"
		}
	}
	if definition, ok := event.Lookup(event.ID(r.Event)); ok && definition.Level == event.Error {
		name += " error"
	}
	return name
}

func tooltip(number int, r timeline.Record, afterMs int64) string {
	return fmt.Sprintf("#%d +%d ms %s %s %s", number, afterMs, r.Process, r.Name, formatFields(r))
}

func eventTime(r timeline.Record) time.Time { return time.UnixMilli(r.At.Ms()) }
