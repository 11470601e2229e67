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

// clearValue takes an optional cell away.
const clearValue = "null"

// CellEdit returns the edit of one cell to a number.
func CellEdit(base int, row, column string, value int) wire.Edit {
	return wire.Edit{Base: base, Cells: []wire.Cell{{Row: row, Column: column, Value: strconv.Itoa(value)}}}
}

// DeploymentName stands for the table's line without a service.
const DeploymentName = "deployment"

// EditedRows returns the names of the rows that an edit touches, in order.
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

// DescribeEdit returns an edit's changes in words.
func DescribeEdit(edit wire.Edit) string {
	const most = 40
	var changes []string
	for _, cell := range edit.Cells {
		changes = append(changes, cellName(cell.Row, cell.Column)+"="+cell.Value)
	}
	for _, service := range edit.Remove {
		changes = append(changes, service+" taken away")
	}
	if over := len(changes) - most; over > 0 {
		changes = append(changes[:most], fmt.Sprintf("and %d more", over))
	}
	return strings.Join(changes, ", ")
}

// Refusal is an edit refused whole, with every reason.
type Refusal struct {
	Reasons []string
}

// Error returns the reasons on one line.
func (r *Refusal) Error() string {
	return strings.Join(r.Reasons, "; ")
}

// Apply returns the table after an edit, or a *Refusal with every reason.
// Slots is the fleet's capacity in slots; 0 when it isn't known yet. At is in
// milliseconds since 1970.
func (t Table) Apply(edit wire.Edit, author string, at, slots int) (Table, error) {
	if reasons := t.conflicts(edit); len(reasons) > 0 {
		return t, &Refusal{Reasons: reasons}
	}
	next := Table{checker: t.checker, version: t.version + 1, lines: maps.Clone(t.lines)}
	if next.lines == nil {
		next.lines = map[string]line{}
	}
	reasons := next.set(edit, Stamp{Version: next.version, Author: author, At: at})
	for _, service := range edit.Remove {
		delete(next.lines, service)
	}
	reasons = append(reasons, next.decode()...)
	if len(reasons) == 0 {
		reasons = next.impossible(slots)
	}
	if len(reasons) > 0 {
		return t, &Refusal{Reasons: reasons}
	}
	return next, nil
}

// conflicts names the cells that somebody else has set since the edit's base.
func (t Table) conflicts(edit wire.Edit) []string {
	if edit.Base > t.version || edit.Base < 0 {
		return []string{fmt.Sprintf("edit is based on version %d, the table has %d", edit.Base, t.version)}
	}
	var reasons []string
	for _, cell := range edit.Cells {
		stamp, known := t.LastEdit(cell.Row, cell.Column)
		if known && stamp.Version > edit.Base {
			reasons = append(reasons, conflict(cell.Row, cell.Column, stamp))
		}
	}
	for _, service := range edit.Remove {
		reasons = append(reasons, t.rowConflicts(service, edit.Base)...)
	}
	return reasons
}

func (t Table) rowConflicts(service string, base int) []string {
	var reasons []string
	stamps := t.lines[service].Stamps
	for _, column := range slices.Sorted(maps.Keys(stamps)) {
		if stamps[column].Version > base {
			reasons = append(reasons, conflict(service, column, stamps[column]))
		}
	}
	return reasons
}

func conflict(row, column string, stamp Stamp) string {
	return fmt.Sprintf("cell %s was set by %s at %d in version %d; look at it and edit again",
		cellName(row, column), stamp.Author, stamp.At, stamp.Version)
}

func cellName(row, column string) string {
	if row == "" {
		return DeploymentName + "." + column
	}
	return row + "." + column
}

// set writes the edit's cells into the lines, which are this table's own.
func (t *Table) set(edit wire.Edit, stamp Stamp) []string {
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
		if err := t.setLine(row, changed[row], stamp); err != nil {
			reasons = append(reasons, err.Error())
		}
	}
	return reasons
}

func (t *Table) setLine(row string, cells map[string]json.RawMessage, stamp Stamp) error {
	stands := t.lines[row]
	all := map[string]json.RawMessage{}
	if len(stands.Text) > 0 {
		if err := json.Unmarshal(stands.Text, &all); err != nil {
			return fmt.Errorf("read row %s: %w", row, err)
		}
	}
	stamps := maps.Clone(stands.Stamps)
	if stamps == nil {
		stamps = map[string]Stamp{}
	}
	for column, value := range cells {
		stamps[column] = stamp
		if bytes.Equal(value, []byte(clearValue)) {
			delete(all, column)
			continue
		}
		all[column] = value
	}
	text, err := json.Marshal(all)
	if err != nil {
		return fmt.Errorf("write row %s: %w", row, err)
	}
	t.lines[row] = line{Text: text, Stamps: stamps}
	return nil
}

// impossible names what no assignment of boxes could keep.
func (t Table) impossible(slots int) []string {
	var reasons []string
	promised := 0
	for _, service := range t.names {
		row := t.rows[service]
		promised += row.Floor + row.Spare
		if !slices.Contains(t.deployment.Pools, row.Pool) {
			reasons = append(reasons, fmt.Sprintf("%s.pool: unknown pool %q; allowed: %v", service, row.Pool, t.deployment.Pools))
		}
		if row.Floor+row.Spare > row.Most {
			reasons = append(reasons, fmt.Sprintf("%s.spare: floor %d and spare %d are over its most %d", service, row.Floor, row.Spare, row.Most))
		}
	}
	if slots > 0 && promised > slots {
		reasons = append(reasons, fmt.Sprintf("floors and spare together are %d slots, the fleet has %d", promised, slots))
	}
	return reasons
}
