package capacity

import (
	"fmt"
	"strings"

	"damsonwinch/pkg/planbench"
)

// Row is what one cause costs one role.
type Row struct {
	Role        string  `json:"role"`
	Cause       string  `json:"cause"`
	Formula     string  `json:"formula"`
	Unit        string  `json:"unit"`
	Lisbon      float64 `json:"lisbon"`
	Podkarpacie float64 `json:"podkarpacie"`
	TwoYears    float64 `json:"two_years"`
	Limit       float64 `json:"limit"`
	Verdict     string  `json:"verdict"`
	Mechanism   string  `json:"mechanism"`
}

// Demand is what happens to a fleet of a size.
type Demand struct {
	Sizes          planbench.Sizes `json:"sizes"`
	EditsPerDay    float64         `json:"edits_a_day"`
	RestartsPerDay float64         `json:"restarts_a_day"`
	FailuresPerDay float64         `json:"failures_a_day"`
	// MaintainDays is the time in which every box is maintained once.
	MaintainDays float64 `json:"maintain_days"`
	// MovesPerDay is our assumption; the letter gives none.
	MovesPerDay float64 `json:"moves_a_day"`
	// KeysPerSecond is our assumption of requests with an idempotency key.
	KeysPerSecond  float64 `json:"keys_a_second"`
	RenewIntervalS float64 `json:"renew_s"`
	ListIntervalS  float64 `json:"list_s"`
}

// DemandInTwoYears is the demand of the users' first letter at two years.
func DemandInTwoYears(sizes planbench.Sizes) Demand {
	return Demand{
		Sizes: sizes, EditsPerDay: 14_000, RestartsPerDay: 780, FailuresPerDay: 37, MaintainDays: 42, MovesPerDay: 200, KeysPerSecond: 5, RenewIntervalS: 4, ListIntervalS: 0.5,
	}
}

// DemandToday is the demand of a user today; what the brief doesn't say is assumed.
func DemandToday(boxes, halls int) Demand {
	sizes := planbench.Sizes{Boxes: boxes, Pools: 3, Halls: halls, RackBoxes: 4, BoxSlots: 8, Entries: 6, Teams: 4}
	return Demand{Sizes: sizes, EditsPerDay: 20, RestartsPerDay: 7, FailuresPerDay: 1, MaintainDays: 42, MovesPerDay: 5, KeysPerSecond: 1, RenewIntervalS: 4, ListIntervalS: 0.5}
}

// Limits of the letter.
const (
	limitMemory  = 128.0 // MB a node.
	limitState   = 64.0  // MB.
	limitCPU     = 1.2   // Per cent of a core a node.
	limitBytes   = 5.0   // KB a second a node.
	limitAppends = 100.0 // A second for everybody.
	secondsADay  = 86_400
	noLimit      = 0.0
)

// boxRecordBytes is the size of a record of one change, with its share of a
// batch, as written by the keepers of the trial.
const boxRecordBytes = 330

// recordsAMaintenance are drain, empty, carry and back.
const recordsAMaintenance = 4

// recordsARestart are a leaving renewal, a hand-over of its boxes and a join, in
// batches.
const recordsARestart = 6

// recordsAMove are drain, empty and, for the receiver, nothing more.
const recordsAMove = 2

// book looks slopes up by their names.
type book map[string]Slope

func (b book) at(name string, size float64) float64 {
	return b[name].At(size)
}

// Rows works every row out from the slopes.
func Rows(slopes []Slope, two Demand) []Row {
	b := book{}
	for _, slope := range slopes {
		b[slope.Name] = slope
	}
	const lisbonHalls, podkaHalls, usersBoxes = 4, 3, 50
	demands := [3]Demand{DemandToday(usersBoxes, lisbonHalls), DemandToday(usersBoxes, podkaHalls), two}
	rows := append(stateRows(b), messageRows(b)...)
	rows = append(rows, workRows(b)...)
	made := make([]Row, 0, len(rows))
	for _, rule := range rows {
		made = append(made, rule.row(demands))
	}
	return made
}

// rule is a row with its formula as code.
type rule struct {
	Row
	value func(Demand) float64
	// note replaces the verdict where a figure alone can't tell.
	note string
}

func (r rule) row(demands [3]Demand) Row {
	row := r.Row
	row.Lisbon, row.Podkarpacie, row.TwoYears = r.value(demands[0]), r.value(demands[1]), r.value(demands[2])
	switch {
	case r.note != "":
		row.Verdict = r.note
	case row.Limit == noLimit:
		row.Verdict = "no limit of its own"
	case row.TwoYears <= row.Limit:
		row.Verdict = fmt.Sprintf("kept, margin %.1f times", row.Limit/max(row.TwoYears, 1e-9))
	default:
		row.Verdict = fmt.Sprintf("MISSED, %.1f times the limit", row.TwoYears/row.Limit)
	}
	return row
}

// Markdown returns slopes and rows as the tables of docs/CAPACITY.md.
func Markdown(slopes []Slope, rows []Row) string {
	var text strings.Builder
	text.WriteString("| slope | unit | at sizes | values | line | scatter |\n|---|---|---|---|---|---|\n")
	for _, s := range slopes {
		fmt.Fprintf(&text, "| %s | %s | %s by %s | %s | %.4g + %.4g a %s | %.0f%% |\n", s.Name, s.Unit, list(s.Sizes), s.Per, list(s.Values), s.Intercept, s.Slope, s.Per, 100*s.Scatter)
	}
	text.WriteString("\n| role | cause | formula | lisbon | podkarpacie | two years | limit | verdict | mechanism |\n|---|---|---|---|---|---|---|---|---|\n")
	for _, r := range rows {
		limit := "-"
		if r.Limit != noLimit {
			limit = fmt.Sprintf("%.4g %s", r.Limit, r.Unit)
		}
		fmt.Fprintf(&text, "| %s | %s | %s | %.3g %s | %.3g %s | %.3g %s | %s | %s | %s |\n", r.Role, r.Cause, r.Formula,
			r.Lisbon, r.Unit, r.Podkarpacie, r.Unit, r.TwoYears, r.Unit, limit, r.Verdict, r.Mechanism)
	}
	return text.String()
}

func list(values []float64) string {
	words := make([]string, 0, len(values))
	for _, value := range values {
		words = append(words, fmt.Sprintf("%.4g", value))
	}
	return strings.Join(words, ", ")
}
