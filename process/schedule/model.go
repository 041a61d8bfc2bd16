package schedule

import (
	"camphorhead.example/camphorhead/request/interference"
	"camphorhead.example/camphorhead/request/runtimes"
)

// Model is what a table has learned that is of use to the table of the next term.
type Model struct {
	RunTimes []runtimes.Record           `msgpack:"r,omitempty"`
	Pressure interference.PressureRecord `msgpack:"p,omitempty"`
	// Version counts the changes of the model in its table. It is not part of a record.
	Version uint64 `msgpack:"-"`
}

// Valid reports whether a model from the store may be imported: other writers may have changed it.
func (m *Model) Valid() bool {
	for i := range m.RunTimes {
		if !m.RunTimes[i].Valid() {
			return false
		}
	}
	return m.Pressure.Valid()
}

// Shorten removes a quarter of each list, at least one element of those that are not empty: the
// kinds whose runs are the oldest, the weights that are the least known, and the loads of some steps.
func (m *Model) Shorten() {
	m.RunTimes = m.RunTimes[:len(m.RunTimes)*3/4]
	m.Pressure.Weights = m.Pressure.Weights[:len(m.Pressure.Weights)*3/4]
	m.Pressure.LowTails = m.Pressure.LowTails[:len(m.Pressure.LowTails)*3/4]
	m.Pressure.Swing.Steps = m.Pressure.Swing.Steps[:len(m.Pressure.Swing.Steps)*3/4]
}

// ModelVersion returns the version that ExportModel would return.
func (t *Table) ModelVersion() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.modelVersion
}

// ExportModel returns a copy of the model.
func (t *Table) ExportModel() Model {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Model{RunTimes: t.runTimes.Export(), Pressure: t.pressure.Export(), Version: t.modelVersion}
}

// ImportModel takes the model of an earlier term over, before Restore. The model must be valid.
func (t *Table) ImportModel(m Model) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runTimes.Import(m.RunTimes)
	t.pressure.Import(m.Pressure)
	clear(t.fillCostCache)
}
