package capacity

import (
	"fmt"
	"strings"

	"damsonwinch/pkg/planbench"
)

// Row is a row of the capacity page. It holds the cost of one cause, such as table
// edits, for one role, such as the keeper, in three fleets: Lisbon, Podkarpacie and a
// fleet in two years. These values and Limit are in the unit Unit. Formula says how the
// values follow from the slopes and the demand, and Mechanism which code determines
// them. Verdict says whether TwoYears is within Limit; a Limit of 0 means no limit.
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

// Demand describes a fleet's size and how often things happen in it.
type Demand struct {
	Sizes          planbench.Sizes `json:"sizes"`
	EditsPerDay    float64         `json:"edits_a_day"`
	RestartsPerDay float64         `json:"restarts_a_day"`
	FailuresPerDay float64         `json:"failures_a_day"`
	// MaintainDays is the number of days in which every box is maintained once.
	MaintainDays float64 `json:"maintain_days"`
	// MovesPerDay is the number of boxes that change to another pool in a day. The users
	// state none, so that it is an assumption.
	MovesPerDay float64 `json:"moves_a_day"`
	// KeysPerSecond is the number of requests per second that have an idempotency key. It
	// is an assumption.
	KeysPerSecond float64 `json:"keys_a_second"`
	// RenewIntervalS is the time between two renewals of a zone's members, and
	// ListIntervalS the time between two reads of the platform's list, in seconds.
	RenewIntervalS float64 `json:"renew_s"`
	ListIntervalS  float64 `json:"list_s"`
}

// DemandInTwoYears returns the demand that the users expect in two years, for a fleet of
// the given sizes.
func DemandInTwoYears(sizes planbench.Sizes) Demand {
	return Demand{
		Sizes: sizes, EditsPerDay: 14_000, RestartsPerDay: 780, FailuresPerDay: 37, MaintainDays: 42, MovesPerDay: 200, KeysPerSecond: 5, RenewIntervalS: 4, ListIntervalS: 0.5,
	}
}

// DemandToday returns the demand of a user's fleet today, with the given numbers of
// boxes and zones. Values that the users don't state are assumptions.
func DemandToday(boxes, zones int) Demand {
	sizes := planbench.Sizes{Boxes: boxes, Pools: 3, Halls: zones, RackBoxes: 4, BoxSlots: 8, Entries: 6, Teams: 4}
	return Demand{Sizes: sizes, EditsPerDay: 20, RestartsPerDay: 7, FailuresPerDay: 1, MaintainDays: 42, MovesPerDay: 5, KeysPerSecond: 1, RenewIntervalS: 4, ListIntervalS: 0.5}
}

// Limits that the users state.
const (
	nodeMemoryLimitMB       = 128.0 // For the keeper and the entry of a node together.
	stateMemoryLimitMB      = 64.0  // For the fleet's state in one process.
	cpuLimitPercent         = 1.2   // Per cent of a core, for a node.
	trafficLimitKBPerSecond = 5.0   // For a node.
	appendLimitPerSecond    = 100.0 // For all processes together.
	secondsPerDay           = 86_400
	noLimit                 = 0.0
)

// boxRecordBytes is the size of a record of one change of a box, including its share of
// the batch that contains it.
const boxRecordBytes = 330

// recordsPerMaintenance counts the records of a box's maintenance: drain, empty, carry
// and back.
const recordsPerMaintenance = 4

// recordsPerRestart counts the records of an entry's restart, which come in batches: the
// renewal that announces its stop, the handover of its boxes and the renewal with which
// it joins again.
const recordsPerRestart = 6

// recordsPerMove counts the records of a move to another pool: drain and empty. The new
// pool needs no record of its own.
const recordsPerMove = 2

// slopesByName holds slopes by their names.
type slopesByName map[string]Slope

// valueAt returns the value of the named slope at a size.
func (s slopesByName) valueAt(name string, size float64) float64 {
	return s[name].At(size)
}

// Rows computes all rows from the measured slopes, for both users today and for the
// demand in two years.
func Rows(slopes []Slope, inTwoYears Demand) []Row {
	byName := slopesByName{}
	for _, slope := range slopes {
		byName[slope.Name] = slope
	}
	const lisbonZones, podkarpacieZones, userBoxes = 4, 3, 50
	demands := [3]Demand{DemandToday(userBoxes, lisbonZones), DemandToday(userBoxes, podkarpacieZones), inTwoYears}
	rules := append(stateRules(byName), messageRules(byName)...)
	rules = append(rules, workRules(byName)...)
	rows := make([]Row, 0, len(rules))
	for _, rule := range rules {
		rows = append(rows, rule.row(demands))
	}
	return rows
}

// rule computes a row for any demand.
type rule struct {
	// Row has the texts and the limit of the row, but no values and no verdict.
	Row
	// value returns the row's value for a demand, as Formula says.
	value func(Demand) float64
	// fixedVerdict is the verdict if it can't be found by a comparison with the limit.
	fixedVerdict string
}

// row returns the row with its values and its verdict. The demands are those of Lisbon,
// of Podkarpacie and of two years from now.
func (r rule) row(demands [3]Demand) Row {
	row := r.Row
	row.Lisbon, row.Podkarpacie, row.TwoYears = r.value(demands[0]), r.value(demands[1]), r.value(demands[2])
	switch {
	case r.fixedVerdict != "":
		row.Verdict = r.fixedVerdict
	case row.Limit == noLimit:
		row.Verdict = "no limit of its own"
	case row.TwoYears <= row.Limit:
		row.Verdict = fmt.Sprintf("kept, margin %.1f times", row.Limit/max(row.TwoYears, 1e-9))
	default:
		row.Verdict = fmt.Sprintf("MISSED, %.1f times the limit", row.TwoYears/row.Limit)
	}
	return row
}

// Markdown returns the slopes and the rows as the two tables of docs/CAPACITY.md.
func Markdown(slopes []Slope, rows []Row) string {
	var text strings.Builder
	text.WriteString("| slope | unit | at sizes | values | line | scatter |\n|---|---|---|---|---|---|\n")
	for _, s := range slopes {
		fmt.Fprintf(&text, "| %s | %s | %s by %s | %s | %.4g + %.4g a %s | %.0f%% |\n", s.Name, s.Unit, joinValues(s.Sizes), s.Per, joinValues(s.Values), s.Intercept, s.Slope, s.Per, 100*s.Scatter)
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

// joinValues returns the values with four significant digits, separated by commas.
func joinValues(values []float64) string {
	texts := make([]string, 0, len(values))
	for _, value := range values {
		texts = append(texts, fmt.Sprintf("%.4g", value))
	}
	return strings.Join(texts, ", ")
}
