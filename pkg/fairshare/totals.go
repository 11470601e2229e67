package fairshare

import (
	"cmp"
	"slices"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

const (
	// maxRows is the largest number of customers in a message between the planner and a cell. A
	// customer beyond it has so few arrivals there that its part of any sum is small.
	maxRows = 32
	// maxReportAge is how long the planner relies on a cell's last report, which counts the arrivals
	// of one second. The arrivals of a cell that can't be reached must not keep down the customer's
	// part in the others.
	maxReportAge = time.Second
)

// Report returns how many jobs of each customer arrived in this cell within the last second, for the
// planner.
func (s *Shares) Report(now time.Time) []wire.CustomerArrivals {
	if !s.inEffect {
		return nil
	}
	counts := make(map[string]int, len(s.customers))
	for name, c := range s.customers {
		counts[name] = c.arrived.count(s.since(now))
	}
	return largestRows(counts)
}

// SetElsewhere applies a message of the planner: the number of cells, and the arrivals in the other
// cells. Customers that are not in the message have few.
func (s *Shares) SetElsewhere(now time.Time, cells int, rows []wire.CustomerArrivals) {
	s.cells, s.toldAt = cells, now
	for _, c := range s.customers {
		c.elsewhere = 0
	}
	for _, row := range rows {
		if c := s.customers[row.Customer]; c != nil {
			c.elsewhere = max(0, row.Count)
		}
	}
}

// largestRows returns the rows of the customers with the highest counts, without those of 0.
func largestRows(counts map[string]int) []wire.CustomerArrivals {
	var rows []wire.CustomerArrivals
	for name, count := range counts {
		if count > 0 {
			rows = append(rows, wire.CustomerArrivals{Customer: name, Count: count})
		}
	}
	slices.SortFunc(rows, func(a, b wire.CustomerArrivals) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Customer, b.Customer))
	})
	return rows[:min(len(rows), maxRows)]
}

// Totals adds up the arrivals in all cells, for the planner. It is not safe for concurrent use.
type Totals struct {
	weights  map[string]int
	inEffect bool
	// reports holds the cells' last reports, by cell, and sums their sums by customer. The sums are kept
	// up to date, so that a round of calls to n cells does not take n times n steps.
	reports map[string]report
	sums    map[string]int
}

// report is a cell's report, which arrived at the time at.
type report struct {
	at   time.Time
	rows []wire.CustomerArrivals
}

// NewTotals returns a Totals for which no customer is configured.
func NewTotals() *Totals {
	return &Totals{weights: map[string]int{}, reports: map[string]report{}, sums: map[string]int{}}
}

// Configure sets the customers of the configuration in force.
func (t *Totals) Configure(customers []damsonwinch.Customer) {
	t.weights, t.inEffect = make(map[string]int, len(customers)), false
	for _, c := range customers {
		t.weights[c.Name] = c.Weight
		t.inEffect = t.inEffect || c.Weight > 0
	}
}

// InEffect reports whether any customer has a weight.
func (t *Totals) InEffect() bool {
	return t.inEffect
}

// SetReport sets a cell's arrivals by customer.
func (t *Totals) SetReport(now time.Time, cell string, rows []wire.CustomerArrivals) {
	t.add(t.reports[cell].rows, -1)
	t.add(rows, 1)
	t.reports[cell] = report{at: now, rows: rows}
}

// add adds the rows of a report to the sums, or takes them away if sign is -1.
func (t *Totals) add(rows []wire.CustomerArrivals, sign int) {
	for _, row := range rows {
		if t.sums[row.Customer] += sign * row.Count; t.sums[row.Customer] == 0 {
			delete(t.sums, row.Customer)
		}
	}
}

// Elsewhere returns the arrivals in all cells but the given one. Customers with at most half of their
// weight in the whole fleet are left out, because a cell does not need their counts: on a calm day the
// messages have no rows.
func (t *Totals) Elsewhere(now time.Time, cell string) []wire.CustomerArrivals {
	if !t.inEffect {
		return nil
	}
	for name, other := range t.reports {
		if now.Sub(other.at) > maxReportAge {
			t.add(other.rows, -1)
			delete(t.reports, name)
		}
	}
	elsewhere := map[string]int{}
	for name, sum := range t.sums {
		if 2*sum > t.weights[name] {
			elsewhere[name] = sum
		}
	}
	for _, row := range t.reports[cell].rows {
		if _, busy := elsewhere[row.Customer]; busy {
			elsewhere[row.Customer] -= row.Count
		}
	}
	return largestRows(elsewhere)
}
