// Package fairshare decides which jobs are within their customers' shares. A customer's share is its
// weight: the number of jobs per second, over the whole fleet, to which it is entitled while the
// fleet is full. Jobs beyond it wait behind the others.
//
// Each cell has a Shares, which counts the arrivals by customer and classifies each job once, when it
// is accepted. The planner has a Totals, which adds up the counts of all cells and tells each cell how
// much arrives elsewhere. Nobody waits for that: a cell decides from what it knows.
//
// As long as a customer's arrivals of the last second, over all cells, do not exceed its weight, all
// its jobs are within its share. Otherwise each cell's part of the weight is proportional to the
// arrivals there, so that the parts add up to the weight and none of it is lost.
//
// The package does no I/O and reads no clock.
package fairshare

import (
	"fmt"
	"math"
	"time"

	"damsonwinch"
)

// maxElsewhereAge is how long a cell relies on the last counts of the other cells. After that it
// takes an equal part of each weight. The planner calls ten times per second, and a planner that has
// failed is replaced within about two seconds.
const maxElsewhereAge = 3 * time.Second

const (
	// maxCredit bounds what a customer can save for later of its part of a weight, in jobs.
	maxCredit = 2
	// maxUnused bounds in the same way what it can save while it is below its weight. Without it, a
	// customer with a weight of 2 that sends 0.9 jobs per second at random was over its share with a
	// fifth of its jobs.
	maxUnused = 2
)

// Decision is the classification of a job.
type Decision struct {
	// Over is set if the job is beyond its customer's share. Arrived is the customer's known number of
	// jobs in the last second, and Entitled how many of them are within its share.
	Over     bool
	Arrived  int
	Entitled int
	// Rank orders the jobs that are over their customers' shares, the lowest first; see order.go.
	Rank float64
}

// String describes a decision, for logs and explanations.
func (d Decision) String() string {
	position := "within"
	if d.Over {
		position = "over"
	}
	return fmt.Sprintf("%s its share: %d of %d jobs a second", position, d.Arrived, d.Entitled)
}

// Shares classifies the jobs of one cell. The zero value is not in effect until it is configured. It
// is not safe for concurrent use.
type Shares struct {
	customers map[string]*customer
	inEffect  bool
	// startedAt is the moment from which the windows count.
	startedAt time.Time
	// cells is the number of cells that run jobs, or 0 before the first message of the planner, which
	// arrived at toldAt.
	cells  int
	toldAt time.Time
	order  order
}

// customer is what a cell knows of a customer.
type customer struct {
	weight int
	// arrived counts the jobs that have arrived in this cell, and within those of them that were within
	// the share.
	arrived window
	within  window
	// elsewhere is the number of jobs that arrived in the other cells within a second, as last told.
	elsewhere int
	// credit is what has been saved of this cell's part of the weight, in jobs. A part may be much less
	// than one job per second.
	credit float64
	// unused is what the customer has not used of its weight, in jobs. It lets a customer that sends
	// less than its weight on average, but unevenly, exceed it by a job or two.
	unused float64
	// over is set from the first job over the share until quietTime after the last one, at overAt.
	over   bool
	overAt time.Time
}

// Configure sets the customers of the configuration in force. Shares take effect if any of them has a
// weight. What is known of a customer's arrivals is kept.
func (s *Shares) Configure(customers []damsonwinch.Customer) {
	known := s.customers
	s.customers, s.inEffect = make(map[string]*customer, len(customers)), false
	for _, configured := range customers {
		kept := known[configured.Name]
		if kept == nil {
			kept = &customer{}
		}
		kept.weight = max(0, configured.Weight)
		s.customers[configured.Name] = kept
		s.inEffect = s.inEffect || configured.Weight > 0
	}
}

// InEffect reports whether any customer has a weight.
func (s *Shares) InEffect() bool {
	return s.inEffect
}

// since returns the time for the windows.
func (s *Shares) since(now time.Time) time.Duration {
	if s.startedAt.IsZero() {
		s.startedAt = now
	}
	return max(0, now.Sub(s.startedAt))
}

// Arrive counts a job that arrives in this cell, and classifies it. A job without a customer, or of one
// that the cell's configuration does not have yet, is within its share.
func (s *Shares) Arrive(now time.Time, name string) Decision {
	c := s.customers[name]
	if !s.inEffect || c == nil {
		return Decision{}
	}
	at := s.since(now)
	c.arrived.add(at)
	arrived, entitled := s.arrivals(now, c)
	decision := Decision{Arrived: arrived, Entitled: int(entitled)}
	if float64(arrived) <= entitled {
		c.unused = min(maxUnused, c.unused+entitled/float64(arrived)-1)
		c.within.add(at)
		return decision
	}
	part := entitled * float64(c.arrived.count(at)) / float64(arrived)
	c.credit = min(maxCredit, c.credit+entitled/float64(arrived))
	if c.unused >= 1 {
		c.unused--
		c.within.add(at)
		return decision
	}
	if c.credit >= 1 && float64(c.within.count(at)) < math.Ceil(part) {
		c.credit--
		c.within.add(at)
		return decision
	}
	decision.Over, c.overAt = true, now
	decision.Rank = s.order.next(name)
	return decision
}

// Accept tells that a job over its customer's share has been accepted with the given rank. work is its
// expected work, in thousandths of a core times milliseconds, after which its customer's next job is
// ranked. A refused job takes nothing of what is left for its customer.
func (s *Shares) Accept(name string, rank float64, work int) {
	if c := s.customers[name]; c != nil {
		s.order.add(name, rank, work, c.weight)
	}
}

// Withdraw tells that an accepted job over its customer's share has not begun in time, or has been
// cancelled before it began.
func (s *Shares) Withdraw(name string, work int) {
	if c := s.customers[name]; c != nil {
		s.order.remove(name, work, c.weight)
	}
}

// arrivals returns the known number of a customer's jobs in the last second, and how many of that
// number it is entitled to. While the other cells' counts are unknown, only this cell's jobs count: a
// new owner compares them with the whole weight, because it must not take jobs for excess unless its
// own data show it. Once the counts are outdated it compares them with an equal part of the weight.
func (s *Shares) arrivals(now time.Time, c *customer) (arrived int, entitled float64) {
	arrived, entitled = c.arrived.count(s.since(now)), float64(c.weight)
	switch {
	case s.cells == 0:
	case now.Sub(s.toldAt) <= maxElsewhereAge:
		arrived += c.elsewhere
	case c.weight > 0:
		entitled = max(1, entitled/float64(s.cells))
	}
	return arrived, entitled
}

// State describes whether a customer is over its share at present. It returns false if that is not
// known of the customer, or shares are not in effect.
func (s *Shares) State(now time.Time, name string) (Decision, bool) {
	c := s.customers[name]
	if !s.inEffect || c == nil {
		return Decision{}, false
	}
	arrived, entitled := s.arrivals(now, c)
	return Decision{Over: float64(arrived) > entitled, Arrived: arrived, Entitled: int(entitled)}, true
}

// Begun tells that a job of the given rank, which is over its customer's share, has begun.
func (s *Shares) Begun(rank float64) {
	s.order.begin(rank)
}
