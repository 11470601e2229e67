package fairshare

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

const (
	simCells  = 6
	simStep   = 10 * time.Millisecond
	simTime   = 30 * time.Second
	simWeight = 8
	hotFactor = 8 // The hot customer sends this many times its weight.
	calmNames = 4
	planEvery = 100 * time.Millisecond
	// calmSpan is the time in which a calm customer sends at most its weight. It is longer than a
	// second by what the counts of other cells may be old.
	calmSpan = windowTime + 2*planEvery
)

// simulation has several cells and a planner. Customers send to random cells: one of them far more
// than its weight, mostly to the first two cells, the others at most their weights.
type simulation struct {
	random    *rand.Rand
	now       time.Time
	customers []damsonwinch.Customer
	cells     []*Shares
	totals    *Totals
	// cutUntil is until when a cell does not hear from the planner, and plannerAwayUntil until when no
	// cell does.
	cutUntil         []time.Time
	plannerAwayUntil time.Time
	faults           bool
	silent           bool // The planner's messages never arrive.
	sent             map[string][]time.Time
	// calmJobs and calmOver count the calm customers' jobs and those over their shares, and hotWithin,
	// by second, the hot customer's jobs within its share.
	calmJobs, calmOver int
	hotWithin          map[int]int
}

func newSimulation(seed uint64) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, seed)), now: time.UnixMilli(1_700_000_000_000), totals: NewTotals(),
		customers: []damsonwinch.Customer{{Name: "hot", Weight: simWeight}}, sent: map[string][]time.Time{},
		cutUntil: make([]time.Time, simCells), hotWithin: map[int]int{},
	}
	for number := range calmNames {
		s.customers = append(s.customers, damsonwinch.Customer{Name: fmt.Sprintf("calm-%d", number), Weight: simWeight})
	}
	s.totals.Configure(s.customers)
	for range simCells {
		s.cells = append(s.cells, s.newCell())
	}
	return s
}

func (s *simulation) newCell() *Shares {
	shares := &Shares{}
	shares.Configure(s.customers)
	return shares
}

// run simulates simTime.
func (s *simulation) run() {
	startedAt := s.now
	for s.now.Sub(startedAt) < simTime {
		if s.faults && s.random.IntN(150) == 0 {
			s.injectFault()
		}
		for _, c := range s.customers {
			s.send(c, int(s.now.Sub(startedAt)/time.Second))
		}
		if s.now.Sub(startedAt)%planEvery == 0 {
			s.plan()
		}
		s.now = s.now.Add(simStep)
	}
}

// injectFault replaces the owner of a cell or the planner, or cuts a cell or all off from the planner.
func (s *simulation) injectFault() {
	cell := s.random.IntN(simCells)
	duration := time.Duration(s.random.Int64N(int64(6 * time.Second)))
	switch s.random.IntN(4) {
	case 0:
		s.cells[cell] = s.newCell()
	case 1:
		s.totals = NewTotals()
		s.totals.Configure(s.customers)
		s.plannerAwayUntil = s.now.Add(duration / 3)
	case 2:
		s.cutUntil[cell] = s.now.Add(duration)
	case 3:
		s.plannerAwayUntil = s.now.Add(duration)
	}
}

// send sends a customer's jobs of one step, if any.
func (s *simulation) send(c damsonwinch.Customer, second int) {
	rate := float64(simWeight)
	cell := s.random.IntN(simCells)
	if c.Name == "hot" {
		rate *= hotFactor
		if s.random.IntN(2) == 0 {
			cell = s.random.IntN(2)
		}
	}
	if s.random.Float64() >= rate*simStep.Seconds() {
		return
	}
	if c.Name == "hot" {
		if !s.cells[cell].Arrive(s.now, c.Name).Over {
			s.hotWithin[second]++
		}
		return
	}
	recent := s.sent[c.Name]
	for len(recent) > 0 && s.now.Sub(recent[0]) >= calmSpan {
		recent = recent[1:]
	}
	s.sent[c.Name] = recent
	if len(recent) == c.Weight {
		return
	}
	s.sent[c.Name] = append(recent, s.now)
	s.calmJobs++
	if s.cells[cell].Arrive(s.now, c.Name).Over {
		s.calmOver++
	}
}

// plan exchanges the arrivals between the planner and the cells that it reaches.
func (s *simulation) plan() {
	if s.now.Before(s.plannerAwayUntil) || s.silent {
		return
	}
	messages := make([][]wire.CustomerArrivals, simCells)
	for number := range s.cells {
		messages[number] = s.totals.Elsewhere(s.now, fmt.Sprint(number))
	}
	for number, cell := range s.cells {
		if s.now.Before(s.cutUntil[number]) {
			continue
		}
		cell.SetElsewhere(s.now, simCells, messages[number])
		s.totals.SetReport(s.now, fmt.Sprint(number), cell.Report(s.now))
	}
}

// hotMean returns the mean of the hot customer's jobs within its share per second, without the first
// two seconds.
func (s *simulation) hotMean() float64 {
	const first = 2
	sum, last := 0, int(simTime/time.Second)
	for second := first; second < last; second++ {
		sum += s.hotWithin[second]
	}
	return float64(sum) / float64(last-first)
}

// TestPartsAddUpToWeight guards against parts of a weight that are lost or counted twice, and against
// customers that are held back within their weights, on several cells without faults.
func TestPartsAddUpToWeight(t *testing.T) {
	for seed := range uint64(30) {
		s := newSimulation(seed)
		s.run()
		if s.calmOver > 0 {
			t.Errorf("seed %d: %d of %d jobs of calm customers are over their shares", seed, s.calmOver, s.calmJobs)
		}
		if mean := s.hotMean(); mean < 0.85*simWeight || mean > 1.15*simWeight {
			t.Errorf("seed %d: the hot customer gets %.1f of %d jobs a second", seed, mean, simWeight)
		}
	}
}

// TestPartsAddUpFailsWithoutPlanner shows that the bound of TestPartsAddUpToWeight detects cells that
// each grant the whole weight.
func TestPartsAddUpFailsWithoutPlanner(t *testing.T) {
	s := newSimulation(1)
	s.silent = true
	s.run()
	if mean := s.hotMean(); mean <= 1.15*simWeight {
		t.Errorf("the hot customer gets only %.1f of %d jobs a second", mean, simWeight)
	}
}

// TestSharesWithFaults guards against owners and planners that, after a takeover or a cut, hold calm
// customers back or let the hot one take several times its weight.
func TestSharesWithFaults(t *testing.T) {
	jobs, over, mean := 0, 0, 0.0
	const seeds = 60
	for seed := range uint64(seeds) {
		s := newSimulation(seed)
		s.faults = true
		s.run()
		jobs, over, mean = jobs+s.calmJobs, over+s.calmOver, mean+s.hotMean()/seeds
	}
	t.Logf("%d of %d jobs of calm customers over their shares, the hot customer gets %.1f of %d jobs a second", over, jobs, mean, simWeight)
	if over*20 > jobs || mean < 0.7*simWeight || mean > 2*simWeight {
		t.Errorf("%d of %d jobs of calm customers over their shares, the hot customer gets %.1f of %d jobs a second", over, jobs, mean, simWeight)
	}
}
