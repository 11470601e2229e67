// Package table is the shared table of weights and limits: immutable values,
// changed cell by cell.
package table

import (
	"encoding/json"
	"maps"
	"slices"

	"damsonwinch/pkg/check"
	"damsonwinch/pkg/settings"
	"damsonwinch/pkg/wire"
)

// Stamp says which edit last set a cell.
type Stamp struct {
	Version int    `json:"version"`
	Author  string `json:"author"`
	At      int    `json:"at"` // Milliseconds since 1970.
}

// line is a row or the deployment, with the stamp of each of its cells.
type line struct {
	Text   json.RawMessage  `json:"text"`
	Stamps map[string]Stamp `json:"stamps"`
}

// Table is one version of the shared table. It never changes; Apply returns a
// new one.
type Table struct {
	checker    *check.Checker
	version    int
	deployment settings.Deployment
	rows       map[string]settings.Row
	names      []string
	lines      map[string]line
	sums       map[string]sums
}

// New returns the empty table, version 0.
func New(checker *check.Checker) Table {
	return Table{checker: checker}
}

// Version counts the edits accepted so far.
func (t Table) Version() int {
	return t.version
}

// Deployment returns the pools and the weights of the three costs.
func (t Table) Deployment() settings.Deployment {
	return t.deployment
}

// Row returns a service's row and whether it has one.
func (t Table) Row(service string) (settings.Row, bool) {
	row, known := t.rows[service]
	return row, known
}

// Services returns the names of all services in order.
func (t Table) Services() []string {
	return t.names
}

// ServicesInPool returns the services of a pool in order.
func (t Table) ServicesInPool(pool string) []string {
	var found []string
	for _, service := range t.names {
		if t.rows[service].Pool == pool {
			found = append(found, service)
		}
	}
	return found
}

// File returns the table as an operator's file holds it.
func (t Table) File() settings.Table {
	file := settings.Table{Deployment: t.deployment}
	for _, service := range t.names {
		file.Services = append(file.Services, settings.NamedRow{Service: service, Row: t.rows[service]})
	}
	return file
}

// LastEdit returns the stamp of a cell; the row is "" for the deployment.
func (t Table) LastEdit(row, column string) (Stamp, bool) {
	stamp, known := t.lines[row].Stamps[column]
	return stamp, known
}

// saved is the table's form in a snapshot.
type saved struct {
	Version int             `json:"version"`
	Lines   map[string]line `json:"lines"`
}

// MarshalJSON writes the table with its stamps, for snapshots.
func (t Table) MarshalJSON() ([]byte, error) {
	return json.Marshal(saved{Version: t.version, Lines: t.lines})
}

// Restore returns the table that MarshalJSON wrote.
func (t Table) Restore(text []byte) (Table, error) {
	var from saved
	if err := json.Unmarshal(text, &from); err != nil {
		return t, err
	}
	next := Table{checker: t.checker, version: from.Version, lines: from.Lines}
	if reasons := next.decode(); len(reasons) > 0 {
		return t, &Refusal{Reasons: reasons}
	}
	return next, nil
}

// decode fills the typed rows from the lines and returns what is wrong.
func (t *Table) decode() []string {
	var reasons []string
	t.rows = make(map[string]settings.Row, len(t.lines))
	t.deployment = settings.Deployment{}
	for _, name := range slices.Sorted(maps.Keys(t.lines)) {
		reasons = append(reasons, t.decodeLine(name)...)
	}
	t.names = slices.Sorted(maps.Keys(t.rows))
	t.sumPools()
	return reasons
}

func (t *Table) decodeLine(name string) []string {
	text := t.lines[name].Text
	if name == "" {
		return words("deployment", t.checker.Decode(check.Deployment, text, &t.deployment))
	}
	var row settings.Row
	if faults := t.checker.Decode(check.Row, text, &row); len(faults) > 0 {
		return words(name, faults)
	}
	t.rows[name] = withDefaults(row)
	return nil
}

const defaultKilobytes = 1024

func withDefaults(row settings.Row) settings.Row {
	if row.AnswerKb == 0 {
		row.AnswerKb = defaultKilobytes
	}
	if row.RequestKb == 0 {
		row.RequestKb = defaultKilobytes
	}
	return row
}

func words(row string, faults []check.Fault) []string {
	reasons := make([]string, 0, len(faults))
	for _, fault := range faults {
		reasons = append(reasons, row+"."+fault.Field()+": "+fault.Problem)
	}
	return reasons
}

// Diff returns the cells by which the wanted table differs from this one.
func (t Table) Diff(wanted settings.Table) (wire.Edit, error) {
	edit := wire.Edit{Base: t.version}
	if err := t.addCells(&edit, "", wanted.Deployment); err != nil {
		return edit, err
	}
	keep := map[string]bool{}
	for _, service := range wanted.Services {
		keep[service.Service] = true
		if err := t.addCells(&edit, service.Service, service.Row); err != nil {
			return edit, err
		}
	}
	for _, name := range t.names {
		if !keep[name] {
			edit.Remove = append(edit.Remove, name)
		}
	}
	return edit, nil
}

func (t Table) addCells(edit *wire.Edit, row string, wanted any) error {
	cells, err := split(wanted)
	if err != nil {
		return err
	}
	have := map[string]json.RawMessage{}
	if stands, known := t.lines[row]; known {
		if err := json.Unmarshal(stands.Text, &have); err != nil {
			return err
		}
	}
	for _, column := range slices.Sorted(maps.Keys(cells)) {
		if string(have[column]) != string(cells[column]) {
			edit.Cells = append(edit.Cells, wire.Cell{Row: row, Column: column, Value: string(cells[column])})
		}
	}
	for _, column := range slices.Sorted(maps.Keys(have)) {
		if _, still := cells[column]; !still {
			edit.Cells = append(edit.Cells, wire.Cell{Row: row, Column: column, Value: clearValue})
		}
	}
	return nil
}

func split(value any) (map[string]json.RawMessage, error) {
	text, err := json.Marshal(value)
	if err != nil {
		return nil, err
	}
	cells := map[string]json.RawMessage{}
	return cells, json.Unmarshal(text, &cells)
}
