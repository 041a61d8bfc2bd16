package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"camphorhead.example/camphorhead/request/resources"
)

// columnGap is the number of spaces between columns.
const columnGap = 2

// table writes aligned columns; flush prints them.
type table struct {
	writer *tabwriter.Writer
}

func newTable(out io.Writer, heads ...string) *table {
	t := &table{writer: tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)}
	if len(heads) > 0 {
		t.row(toAny(heads)...)
	}
	return t
}

// row adds a row; an empty cell is shown as a dash.
func (t *table) row(cells ...any) {
	texts := make([]string, 0, len(cells))
	for _, c := range cells {
		text := clean(fmt.Sprint(c))
		if text == "" {
			text = "-"
		}
		texts = append(texts, text)
	}
	fmt.Fprintln(t.writer, strings.Join(texts, "\t"))
}

func (t *table) flush() error { return t.writer.Flush() }

// clean replaces control characters, which a terminal might interpret, by spaces.
func clean(text string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f || (r >= 0x80 && r < 0xa0) {
			return ' '
		}
		return r
	}, text)
}

func toAny(texts []string) []any {
	list := make([]any, 0, len(texts))
	for _, t := range texts {
		list = append(list, t)
	}
	return list
}

// Units of resources as tables show them.
const (
	milliPerCore = 1000
	mbPerGB      = 1000
)

func cores(milliCPU int64) string { return fmt.Sprintf("%.1f", float64(milliCPU)/milliPerCore) }

func gigabytes(mb int64) string { return fmt.Sprintf("%.1f", float64(mb)/mbPerGB) }

func fraction(part, whole string) string { return part + "/" + whole }

func formatResources(r resources.Resources) string {
	if r == (resources.Resources{}) {
		return ""
	}
	text := cores(r.MilliCPU) + " cores, " + gigabytes(r.MemoryMB) + " GB"
	if r.Accelerators > 0 {
		text += fmt.Sprintf(", %d accelerators", r.Accelerators)
	}
	return text
}

// timeOfDay formats unix milliseconds in local time.
func timeOfDay(ms int64) string { return time.UnixMilli(ms).Format("15:04:05.000") }

func dateTime(ms int64) string {
	if ms == 0 {
		return ""
	}
	return time.UnixMilli(ms).Format("2006-01-02 15:04:05")
}
