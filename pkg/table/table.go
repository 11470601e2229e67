// Package table implements the table of weights and limits that operators share. It
// has a row for each service, with the service's settings as columns, and one row,
// the deployment, for settings of the whole fleet. Operators edit it cell by cell.
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
	Version int    `json:"version"` // Of the table after the edit.
	Author  string `json:"author"`
	At      int    `json:"at"` // Log time in milliseconds since 1970.
}

// storedRow is the JSON text of a row, with the stamps of its cells by column.
type storedRow struct {
	Text   json.RawMessage  `json:"text"`
	Stamps map[string]Stamp `json:"stamps"`
}

// Table is one version of the shared table. It is immutable; Apply returns a new
// table.
type Table struct {
	checker    *check.Checker
	version    int
	deployment settings.Deployment
	rows       map[string]settings.Row // By service, without the deployment.
	names      []string                // Of the services, sorted.
	stored     map[string]storedRow    // By service; the deployment is at "".
	totals     map[string]poolTotals   // By pool.
}

// New returns an empty table at version 0. The checker validates the rows of edits.
func New(checker *check.Checker) Table {
	return Table{checker: checker}
}

// Version returns the number of edits that have been accepted so far.
func (t Table) Version() int {
	return t.version
}

// Deployment returns the settings of the whole fleet: the pools, the weights of the
// planner's costs and when boxes are due for maintenance.
func (t Table) Deployment() settings.Deployment {
	return t.deployment
}

// Row returns the row of a service and whether there is one.
func (t Table) Row(service string) (settings.Row, bool) {
	row, known := t.rows[service]
	return row, known
}

// Services returns the names of all services, sorted.
func (t Table) Services() []string {
	return t.names
}

// ServicesInPool returns the names of the services of a pool, sorted.
func (t Table) ServicesInPool(pool string) []string {
	var found []string
	for _, service := range t.names {
		if t.rows[service].Pool == pool {
			found = append(found, service)
		}
	}
	return found
}

// File returns the table in the form of the file that operators edit.
func (t Table) File() settings.Table {
	file := settings.Table{Deployment: t.deployment}
	for _, service := range t.names {
		file.Services = append(file.Services, settings.NamedRow{Service: service, Row: t.rows[service]})
	}
	return file
}

// LastEdit returns the stamp of a cell and whether the cell was ever set. The row is
// "" for the deployment.
func (t Table) LastEdit(row, column string) (Stamp, bool) {
	stamp, known := t.stored[row].Stamps[column]
	return stamp, known
}

// savedTable is the JSON form of a table.
type savedTable struct {
	Version int                  `json:"version"`
	Rows    map[string]storedRow `json:"lines"`
}

// MarshalJSON returns the table with the stamps of its cells as JSON.
func (t Table) MarshalJSON() ([]byte, error) {
	return json.Marshal(savedTable{Version: t.version, Rows: t.stored})
}

// Restore returns the table that MarshalJSON returned as a text. It uses nothing of the
// receiver but its checker.
func (t Table) Restore(text []byte) (Table, error) {
	var saved savedTable
	if err := json.Unmarshal(text, &saved); err != nil {
		return t, err
	}
	next := Table{checker: t.checker, version: saved.Version, stored: saved.Rows}
	if reasons := next.decodeRows(); len(reasons) > 0 {
		return t, &Refusal{Reasons: reasons}
	}
	return next, nil
}

// decodeRows sets the fields that follow from the stored rows, and returns a reason for
// each fault of the rows.
func (t *Table) decodeRows() []string {
	var reasons []string
	t.rows = make(map[string]settings.Row, len(t.stored))
	t.deployment = settings.Deployment{}
	for _, name := range slices.Sorted(maps.Keys(t.stored)) {
		reasons = append(reasons, t.decodeRow(name)...)
	}
	t.names = slices.Sorted(maps.Keys(t.rows))
	t.computeTotals()
	return reasons
}

// decodeRow decodes one stored row, or the deployment if the name is "", and returns a
// reason for each of its faults.
func (t *Table) decodeRow(name string) []string {
	text := t.stored[name].Text
	if name == "" {
		return describeFaults("deployment", t.checker.Decode(check.Deployment, text, &t.deployment))
	}
	var row settings.Row
	if faults := t.checker.Decode(check.Row, text, &row); len(faults) > 0 {
		return describeFaults(name, faults)
	}
	t.rows[name] = withDefaults(row)
	return nil
}

// defaultMaxBodyKB is the largest size of the body of a request or a response, in units
// of 1024 bytes, if the row sets none.
const defaultMaxBodyKB = 1024

// withDefaults returns a row with the defaults for the settings that it leaves out.
func withDefaults(row settings.Row) settings.Row {
	if row.AnswerKb == 0 {
		row.AnswerKb = defaultMaxBodyKB
	}
	if row.RequestKb == 0 {
		row.RequestKb = defaultMaxBodyKB
	}
	return row
}

// describeFaults returns a sentence for each fault of a row.
func describeFaults(row string, faults []check.Fault) []string {
	reasons := make([]string, 0, len(faults))
	for _, fault := range faults {
		reasons = append(reasons, row+"."+fault.Field()+": "+fault.Problem)
	}
	return reasons
}

// Diff returns the edit that turns this table into the wanted one. The edit is based on
// this table's version.
func (t Table) Diff(wanted settings.Table) (wire.Edit, error) {
	edit := wire.Edit{Base: t.version}
	if err := t.addChangedCells(&edit, "", wanted.Deployment); err != nil {
		return edit, err
	}
	keep := map[string]bool{}
	for _, service := range wanted.Services {
		keep[service.Service] = true
		if err := t.addChangedCells(&edit, service.Service, service.Row); err != nil {
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

// addChangedCells adds to an edit the cells in which a row differs from wanted, which is
// a settings.Row or a settings.Deployment.
func (t Table) addChangedCells(edit *wire.Edit, row string, wanted any) error {
	wantedCells, err := toCells(wanted)
	if err != nil {
		return err
	}
	current := map[string]json.RawMessage{}
	if stored, known := t.stored[row]; known {
		if err := json.Unmarshal(stored.Text, &current); err != nil {
			return err
		}
	}
	for _, column := range slices.Sorted(maps.Keys(wantedCells)) {
		if string(current[column]) != string(wantedCells[column]) {
			edit.Cells = append(edit.Cells, wire.Cell{Row: row, Column: column, Value: string(wantedCells[column])})
		}
	}
	for _, column := range slices.Sorted(maps.Keys(current)) {
		if _, kept := wantedCells[column]; !kept {
			edit.Cells = append(edit.Cells, wire.Cell{Row: row, Column: column, Value: clearValue})
		}
	}
	return nil
}

// toCells returns the JSON of each of a struct's fields, by column.
func toCells(value any) (map[string]json.RawMessage, error) {
	text, err := json.Marshal(value)
	if err != nil {
		return nil, err
	}
	cells := map[string]json.RawMessage{}
	return cells, json.Unmarshal(text, &cells)
}
