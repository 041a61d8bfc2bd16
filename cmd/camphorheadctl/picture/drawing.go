package picture

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"unicode/utf8"

	"camphorhead.example/camphorhead/process/timeline"
)

// Sizes of the picture in pixels.
const (
	nameWidth   = 190
	plotWidth   = 1250
	rightMargin = 20
	axisHeight  = 34
	laneHeight  = 17
	rowPadding  = 6
	markRadius  = 4
	// charWidth is the width of one character of a label.
	charWidth = 6.2
	labelGap  = 3

	// maxLabels bounds the labelled events.
	maxLabels = 60
	// maxLanes is the number of lanes from which unlabelled events overlap.
	maxLanes = 6
)

// drawing is the layout of the picture; coordinates and sizes are pixels.
type drawing struct {
	Width, Height int
	Left, Right   int
	AxisY         int
	Rows          []row
	Ticks         []tick
	Marks         []mark
	// Steps connect consecutive events of different processes; none if Partial is set.
	Steps []connector
	// Partial is set when not every event is labelled.
	Partial bool
}

// row is the events of one process, in lanes of marks that do not overlap.
type row struct {
	Process   string
	Y, Height int
	TextY     int
	Shaded    bool

	lanes [][]span
}

// mark is one event.
type mark struct {
	Number int
	X, Y   int
	Class  string
	Label  string
	LabelX int
	LabelY int
	Anchor string
	Title  string

	row, lane int
}

// connector is a line between two consecutive events of different processes.
type connector struct{ X1, Y1, X2, Y2 int }

// span is the horizontal extent of a mark with its label.
type span struct{ from, to float64 }

func (s span) overlaps(o span) bool { return s.from < o.to && o.from < s.to }

// draw lays out the records, which must be ordered by time.
func draw(records []timeline.Record) drawing {
	d := drawing{
		Width: nameWidth + plotWidth + rightMargin, Left: nameWidth, Right: nameWidth + plotWidth, AxisY: axisHeight,
	}
	if len(records) == 0 {
		d.Height = axisHeight
		return d
	}
	first, last := records[0].At.Ms(), records[len(records)-1].At.Ms()
	length := max(last-first, 1)
	d.Ticks = ticks(length)
	labels := labelledNames(records)
	index := map[string]int{}
	for i, r := range records {
		d.addMark(index, i, r, r.At.Ms()-first, length, labels[r.Name])
	}
	d.layoutRows()
	d.Partial = len(records) > maxLabels
	if !d.Partial {
		d.Steps = connectors(d.Marks)
	}
	return d
}

// addMark adds event i to the row of its process; index maps processes to rows.
func (d *drawing) addMark(index map[string]int, i int, r timeline.Record, afterMs, length int64, labelled bool) {
	at, known := index[r.Process]
	if !known {
		at = len(d.Rows)
		index[r.Process] = at
		d.Rows = append(d.Rows, row{Process: r.Process, Shaded: at%2 == 1})
	}
	m := mark{Number: i + 1, X: xAt(afterMs, length), Class: markClass(r), Title: tooltip(i+1, r, afterMs), row: at}
	extent := span{float64(m.X - markRadius), float64(m.X + markRadius)}
	if labelled {
		extent = m.setLabel(strconv.Itoa(i+1) + " " + r.Name)
	}
	m.lane = d.Rows[at].assignLane(extent, labelled)
	d.Marks = append(d.Marks, m)
}

func xAt(afterMs, length int64) int { return nameWidth + int(plotWidth*afterMs/length) }

// setLabel puts the text to the right of the mark, or to the left if it does not fit,
// and returns the extent of both.
func (m *mark) setLabel(text string) span {
	width := charWidth * float64(utf8.RuneCountInString(text))
	m.Label = text
	if float64(m.X)+markRadius+labelGap+width <= nameWidth+plotWidth+rightMargin {
		m.LabelX, m.Anchor = m.X+markRadius+labelGap, "start"
		return span{float64(m.X - markRadius), float64(m.LabelX) + width + labelGap}
	}
	m.LabelX, m.Anchor = m.X-markRadius-labelGap, "end"
	return span{float64(m.LabelX) - width - labelGap, float64(m.X + markRadius)}
}

// assignLane adds the extent to the first lane where it overlaps nothing and returns
// the index of the lane.
func (r *row) assignLane(extent span, labelled bool) int {
	for i := range r.lanes {
		if !overlapsAny(r.lanes[i], extent) {
			r.lanes[i] = append(r.lanes[i], extent)
			return i
		}
	}
	if !labelled && len(r.lanes) >= maxLanes {
		return maxLanes - 1
	}
	r.lanes = append(r.lanes, []span{extent})
	return len(r.lanes) - 1
}

func overlapsAny(spans []span, s span) bool {
	for _, other := range spans {
		if other.overlaps(s) {
			return true
		}
	}
	return false
}

// layoutRows sets the vertical positions of rows and marks.
func (d *drawing) layoutRows() {
	y := axisHeight
	for i := range d.Rows {
		r := &d.Rows[i]
		r.Y, r.Height = y, len(r.lanes)*laneHeight+2*rowPadding
		r.TextY = y + rowPadding + laneHeight*3/4
		y += r.Height
	}
	d.Height = y + rowPadding
	for i := range d.Marks {
		m := &d.Marks[i]
		m.Y = d.Rows[m.row].Y + rowPadding + m.lane*laneHeight + laneHeight/2
		m.LabelY = m.Y + markRadius
	}
}

func connectors(marks []mark) []connector {
	var list []connector
	for i := 1; i < len(marks); i++ {
		from, to := marks[i-1], marks[i]
		if from.row != to.row {
			list = append(list, connector{from.X, from.Y, to.X, to.Y})
		}
	}
	return list
}

// labelledNames returns the event names to label: the rarest ones, up to maxLabels
// events in total.
func labelledNames(records []timeline.Record) map[string]bool {
	count := map[string]int{}
	for _, r := range records {
		count[r.Name]++
	}
	names := slices.SortedFunc(maps.Keys(count), func(a, b string) int {
		return cmp.Or(cmp.Compare(count[a], count[b]), cmp.Compare(a, b))
	})
	chosen := map[string]bool{}
	remaining := maxLabels
	for _, name := range names {
		remaining -= count[name]
		if remaining < 0 {
			break
		}
		chosen[name] = true
	}
	return chosen
}
