package table

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"damsonwinch/pkg/wire"
)

// clearValue is the value by which an edit removes an optional cell.
const clearValue = "null"

// CellEdit returns an edit, based on table version base, that sets one cell to a
// number.
func CellEdit(base int, row, column string, value int) wire.Edit {
	return wire.Edit{Base: base, Cells: []wire.Cell{{Row: row, Column: column, Value: strconv.Itoa(value)}}}
}

// DeploymentName is the name by which texts refer to the deployment, whose row in
// the table has an empty name.
const DeploymentName = "deployment"

// EditedRows returns the names of the rows that an edit changes, sorted.
func EditedRows(edit wire.Edit) []string {
	names := slices.Clone(edit.Remove)
	for _, cell := range edit.Cells {
		name := cell.Row
		if name == "" {
			name = DeploymentName
		}
		names = append(names, name)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// DescribeEdit returns a text that lists the changes of an edit, at most 40 of them.
func DescribeEdit(edit wire.Edit) string {
	const maxListed = 40
	var changes []string
	for _, cell := range edit.Cells {
		changes = append(changes, cellName(cell.Row, cell.Column)+"="+cell.Value)
	}
	for _, service := range edit.Remove {
		changes = append(changes, service+" taken away")
	}
	if omitted := len(changes) - maxListed; omitted > 0 {
		changes = append(changes[:maxListed], fmt.Sprintf("and %d more", omitted))
	}
	return strings.Join(changes, ", ")
}

// Refusal is the error for an edit that is refused as a whole.
type Refusal struct {
	Reasons []string
}

// Error returns all reasons on one line.
func (r *Refusal) Error() string {
	return strings.Join(r.Reasons, "; ")
}

// Apply returns the table after an edit, or the unchanged table and a *Refusal with
// all reasons. at is the log time of the edit in milliseconds since 1970. fleetSlots
// is the number of slots of the fleet; if it is 0, the number isn't known yet and
// isn't checked.
func (t Table) Apply(edit wire.Edit, author string, at, fleetSlots int) (Table, error) {
	if reasons := t.conflicts(edit); len(reasons) > 0 {
		return t, &Refusal{Reasons: reasons}
	}
	next := Table{checker: t.checker, version: t.version + 1, stored: maps.Clone(t.stored)}
	if next.stored == nil {
		next.stored = map[string]storedRow{}
	}
	reasons := next.setCells(edit, Stamp{Version: next.version, Author: author, At: at})
	for _, service := range edit.Remove {
		delete(next.stored, service)
	}
	reasons = append(reasons, next.decodeRows()...)
	if len(reasons) == 0 {
		reasons = next.checkSatisfiable(fleetSlots)
	}
	if len(reasons) > 0 {
		return t, &Refusal{Reasons: reasons}
	}
	return next, nil
}

// conflicts returns a reason for each cell of the edit that was set after the table
// version on which the edit is based. If the table never had that version, it returns
// one reason that says so.
func (t Table) conflicts(edit wire.Edit) []string {
	if edit.Base > t.version || edit.Base < 0 {
		return []string{fmt.Sprintf("edit is based on version %d, the table has %d", edit.Base, t.version)}
	}
	var reasons []string
	for _, cell := range edit.Cells {
		stamp, known := t.LastEdit(cell.Row, cell.Column)
		if known && stamp.Version > edit.Base {
			reasons = append(reasons, describeConflict(cell.Row, cell.Column, stamp))
		}
	}
	for _, service := range edit.Remove {
		reasons = append(reasons, t.rowConflicts(service, edit.Base)...)
	}
	return reasons
}

// rowConflicts returns a reason for each cell of a row that was set after the table
// version base.
func (t Table) rowConflicts(service string, base int) []string {
	var reasons []string
	stamps := t.stored[service].Stamps
	for _, column := range slices.Sorted(maps.Keys(stamps)) {
		if stamps[column].Version > base {
			reasons = append(reasons, describeConflict(service, column, stamps[column]))
		}
	}
	return reasons
}

// describeConflict returns the reason for refusing an edit of a cell that another edit
// has set since. stamp is the cell's stamp.
func describeConflict(row, column string, stamp Stamp) string {
	return fmt.Sprintf("cell %s was set by %s at %d in version %d; look at it and edit again",
		cellName(row, column), stamp.Author, stamp.At, stamp.Version)
}

// cellName returns the name of a cell in texts, such as "payslips.floor".
func cellName(row, column string) string {
	if row == "" {
		return DeploymentName + "." + column
	}
	return row + "." + column
}

// setCells sets the edit's cells and returns a reason for each that can't be set. It
// changes t.stored, which must not be shared with another table.
func (t *Table) setCells(edit wire.Edit, stamp Stamp) []string {
	var reasons []string
	changed := map[string]map[string]json.RawMessage{}
	for _, cell := range edit.Cells {
		if !json.Valid([]byte(cell.Value)) {
			reasons = append(reasons, fmt.Sprintf("cell %s: value is not JSON", cellName(cell.Row, cell.Column)))
			continue
		}
		if changed[cell.Row] == nil {
			changed[cell.Row] = map[string]json.RawMessage{}
		}
		changed[cell.Row][cell.Column] = json.RawMessage(cell.Value)
	}
	for _, row := range slices.Sorted(maps.Keys(changed)) {
		if err := t.setRow(row, changed[row], stamp); err != nil {
			reasons = append(reasons, err.Error())
		}
	}
	return reasons
}

// setRow sets cells of one row. A cell whose value is null is removed.
func (t *Table) setRow(row string, cells map[string]json.RawMessage, stamp Stamp) error {
	current := t.stored[row]
	merged := map[string]json.RawMessage{}
	if len(current.Text) > 0 {
		if err := json.Unmarshal(current.Text, &merged); err != nil {
			return fmt.Errorf("read row %s: %w", row, err)
		}
	}
	stamps := maps.Clone(current.Stamps)
	if stamps == nil {
		stamps = map[string]Stamp{}
	}
	for column, value := range cells {
		stamps[column] = stamp
		if bytes.Equal(value, []byte(clearValue)) {
			delete(merged, column)
			continue
		}
		merged[column] = value
	}
	text, err := json.Marshal(merged)
	if err != nil {
		return fmt.Errorf("write row %s: %w", row, err)
	}
	t.stored[row] = storedRow{Text: text, Stamps: stamps}
	return nil
}

// checkSatisfiable returns a reason for each rule of the table that no assignment of
// the fleet's boxes to pools could satisfy. fleetSlots is as for Apply.
func (t Table) checkSatisfiable(fleetSlots int) []string {
	var reasons []string
	required := 0
	for _, service := range t.names {
		row := t.rows[service]
		required += row.Floor + row.Spare
		if !slices.Contains(t.deployment.Pools, row.Pool) {
			reasons = append(reasons, fmt.Sprintf("%s.pool: unknown pool %q; allowed: %v", service, row.Pool, t.deployment.Pools))
		}
		if row.Floor+row.Spare > row.Most {
			reasons = append(reasons, fmt.Sprintf("%s.spare: floor %d and spare %d are over its most %d", service, row.Floor, row.Spare, row.Most))
		}
	}
	if fleetSlots > 0 && required > fleetSlots {
		reasons = append(reasons, fmt.Sprintf("floors and spare together are %d slots, the fleet has %d", required, fleetSlots))
	}
	return reasons
}
