package quota

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// seeds returns how many seeds a test plays, unless the environment says otherwise.
func seeds(usual uint64) uint64 {
	if count, err := strconv.ParseUint(os.Getenv("DAMSONWINCH_SEEDS"), 10, 64); err == nil {
		return count
	}
	return usual
}

// TestNothingRunsBeyondTheCap: customers' work in two to four cells whose owners are killed,
// frozen and replaced, with allotters that are killed or don't know that there is another one,
// while calls are lost, late and doubled, orders are carried out late, the cap rises, falls and
// goes, and the work wanders from cell to cell. At each start all that runs fits under the highest
// cap that may be in force; and once all is calm, nearly the whole cap is used where it is wanted.
func TestNothingRunsBeyondTheCap(t *testing.T) {
	starts, used := 0, 0
	count := seeds(300)
	for seed := uint64(1); seed <= count; seed++ {
		w := play(seed, sabotage{})
		if w.broken != "" {
			t.Fatalf("seed %d: %s", seed, w.story())
		}
		if w.peak < 400*7/10 {
			t.Fatalf("seed %d: of a cap of 400 %d are used at most: %s", seed, w.peak, w.story())
		}
		starts += w.starts
		used += w.peak
	}
	t.Logf("%d seeds, %d starts, %d of 400 used at most in the mean", count, starts, used/int(count))
}

// TestEachMechanismIsNeeded: without it some seed is broken.
func TestEachMechanismIsNeeded(t *testing.T) {
	for name, missing := range map[string]struct {
		mechanism sabotage
		// from is the first seed that is played: some mechanisms are missed by few.
		from uint64
	}{
		"told before it is recorded":      {sabotage{tellFirst: true}, 1},
		"words for another owner":         {sabotage{anyOwner: true}, 540},
		"cells that go on when caps fall": {sabotage{unsuspended: true}, 1},
		"dealt before it is confirmed":    {sabotage{eager: true}, 1},
		"owners that begin from nothing":  {sabotage{heirsForget: true}, 1},
		"nothing runs where no cap was":   {sabotage{unlimitedIs0: true}, 230},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := missing.from; seed <= missing.from+4000; seed++ {
				if w := play(seed, missing.mechanism); w.broken != "" {
					t.Logf("seed %d: %s", seed, w.broken)
					return
				}
			}
			t.Fatal("no seed found that the mechanism is missing")
		})
	}
}

// Turns of demand: of four cells each wants five times its mean in its turn, and a twentieth else.
const (
	turnCells = 4
	turnTime  = 5 * time.Second
	turnMean  = 10 // Tasks, of some five cores each.
)

// playTurns plays turns of demand of four pools, each cut into so many cells, under a cap of nearly
// twice what all want in the mean, and returns which part of what was wanted ran.
func playTurns(seed uint64, shards int) float64 {
	w := newWorld(seed, turnCells*shards, sabotage{})
	w.trouble = false
	w.publish(380)
	wanted, ran := 0, 0
	var sample func()
	sample = func() {
		for _, c := range w.cells {
			o := c.owners[len(c.owners)-1]
			wanted += c.demand
			ran += min(c.demand, len(o.runs))
		}
		w.after(50*time.Millisecond, sample)
	}
	w.after(2*time.Second, sample)
	for turn := range 2 * turnCells {
		w.after(time.Second+time.Duration(turn)*turnTime, func() {
			for at, c := range w.cells {
				c.demand = 0
				if at%shards == 0 {
					c.demand = turnMean / 20
				}
				if at/shards == turn%turnCells {
					c.demand = 5 * turnMean / shards
				}
			}
		})
	}
	w.run(w.now.Add(time.Second + 2*turnCells*turnTime))
	return float64(ran) / float64(wanted)
}

// TestTurnsOfDemandFindTheirAllowance: where a customer's work goes from cell to cell each few
// seconds, its cap, which holds all of it, keeps hardly any of it waiting. With a fixed part of the
// cap for each cell most of it would wait at any time. So it is where each pool is cut into many
// cells, and an equal part of the cap holds two tasks.
func TestTurnsOfDemandFindTheirAllowance(t *testing.T) {
	for _, shards := range []int{1, 3, 8} {
		t.Run(fmt.Sprintf("shards=%d", shards), func(t *testing.T) {
			dealt := 0.0
			const played = 10
			for seed := uint64(1); seed <= played; seed++ {
				dealt += playTurns(seed, shards) / played
			}
			t.Logf("of what is wanted %.3f runs", dealt)
			assert.Assert(t, dealt >= 0.9, "%.3f", dealt)
		})
	}
}

// dealt returns an allotter that has dealt a cap of 400 to two cells, which have confirmed it, and
// their allowances.
func dealt(t *testing.T) (*Allocator, []*Allowances) {
	t.Helper()
	a := NewAllocator()
	a.Configure(1, customers(400))
	a.SetCells(time.Time{}, cellNames)
	var cells []*Allowances
	for range cellNames {
		cell := NewAllowances()
		cell.Configure(1, customers(400))
		cells = append(cells, cell)
	}
	for range 5 {
		sync(a, cells, 0, nil)
	}
	for at, cell := range cells {
		assert.Equal(t, cell.granted[simCustomer].amount[cpu], 200, "cell %d", at)
	}
	return a, cells
}

var cellNames = []string{"first", "second"}

// Tokens of the allotter and of the owners of cells in these tests.
const (
	allotterToken = 100
	ownerToken    = 7
)

// sync has the allotter talk to the cells once, the first of which has so many tasks waiting, and
// all be recorded at once but for what some cells hear.
func sync(a *Allocator, cells []*Allowances, waiting int, unrecorded map[int]bool) {
	a.MarkRecorded(a.Allocate(time.Time{}))
	for at, cell := range cells {
		reply := tell(a, at, cell, waiting)
		a.HandleReply(cellNames[at], allotterToken, reply)
		if !unrecorded[at] {
			_, number := cell.Record()
			cell.MarkRecorded(allotterToken, number)
		}
	}
}

func tell(a *Allocator, at int, cell *Allowances, waiting int) wire.SyncReply {
	words := a.NextUpdate(cellNames[at])
	cell.ApplyUpdate(ownerToken, wire.SyncArgs{
		Token: allotterToken, CellToken: words.OwnerToken, AllowanceNumber: words.Number, ConfigVersion: words.ConfigVersion, Allowances: words.Allowances,
	})
	reply := wire.SyncReply{Known: true}
	var wanted map[string]Demand
	if at == 0 && waiting > 0 {
		wanted = map[string]Demand{simCustomer: Demand{}.WithTasks(damsonwinch.Resources{MilliCPU: 1}, waiting)}
	}
	cell.Report(ownerToken, wanted, &reply)
	return reply
}

// TestAnAllowanceIsLoweredOnceThatIsRecorded: until then an owner that comes next would go by the
// higher one.
func TestAnAllowanceIsLoweredOnceThatIsRecorded(t *testing.T) {
	a, cells := dealt(t)
	for range 5 {
		sync(a, cells, 1000, map[int]bool{1: true})
	}
	second := cells[1].granted[simCustomer].amount[cpu]
	assert.Assert(t, second < 200, "the second cell has been told of less")
	first := cells[0].granted[simCustomer].amount[cpu]
	assert.Equal(t, first, 200, "and the first one of no more yet")

	for range 5 {
		sync(a, cells, 1000, nil)
	}
	first = cells[0].granted[simCustomer].amount[cpu]
	second = cells[1].granted[simCustomer].amount[cpu]
	assert.Assert(t, first > 300, "%d", first)
	assert.Assert(t, first+second <= 400, "%d and %d", first, second)
}

// TestNothingBeginsWhileTooMuchRuns: a cap that falls stops nothing that runs; beside that nothing
// begins anywhere, also not in a cell that runs nothing, until what runs fits.
func TestNothingBeginsWhileTooMuchRuns(t *testing.T) {
	a, cells := dealt(t)
	running := damsonwinch.Resources{MilliCPU: 200}
	cells[0].AddRun(simCustomer, running, false)
	a.Configure(2, customers(100))
	small := damsonwinch.Resources{MilliCPU: 1}
	for range 5 {
		sync(a, cells, 1000, nil)
		assert.Assert(t, !cells[0].Allows(simCustomer, small))
		assert.Assert(t, !cells[1].Allows(simCustomer, small))
	}
	cells[0].RemoveRun(simCustomer, running, false)
	for range 5 {
		sync(a, cells, 1000, nil)
	}
	assert.Assert(t, cells[0].Allows(simCustomer, small))
}

// TestWholeTasksUseTheCap: where two cells have as much work waiting, each would get room for one
// task and a half, and one in three tasks that fit under the cap wouldn't run.
func TestWholeTasksUseTheCap(t *testing.T) {
	for _, task := range []int{133, 100, 57, 90, 130} {
		a, cells := dealt(t)
		need := damsonwinch.Resources{MilliCPU: task}
		running := 0
		for range 12 {
			a.MarkRecorded(a.Allocate(time.Time{}))
			for at, cell := range cells {
				for cell.Allows(simCustomer, need) {
					cell.AddRun(simCustomer, need, false)
					running++
				}
				words := a.NextUpdate(cellNames[at])
				cell.ApplyUpdate(ownerToken, wire.SyncArgs{Token: allotterToken, CellToken: words.OwnerToken, AllowanceNumber: words.Number, ConfigVersion: words.ConfigVersion, Allowances: words.Allowances})
				reply := wire.SyncReply{Known: true}
				_, number := cell.Record()
				cell.MarkRecorded(allotterToken, number)
				cell.Report(ownerToken, map[string]Demand{simCustomer: Demand{}.WithTasks(need, 50)}, &reply)
				a.HandleReply(cellNames[at], allotterToken, reply)
			}
		}
		assert.Equal(t, running, 400/task, "tasks of %d under a cap of 400", task)
	}
}

// TestATaskWithoutABoxHoldsNobodyUp: cells in which large tasks wait that have no box to run on are
// given room for them, and don't use it. A cell whose share doesn't hold its task gets its turn.
func TestATaskWithoutABoxHoldsNobodyUp(t *testing.T) {
	a := NewAllocator()
	a.Configure(1, customers(400))
	names := []string{"a", "b", "c", "d"}
	a.SetCells(time.Time{}, names)
	var cells []*Allowances
	for range names {
		cell := NewAllowances()
		cell.Configure(1, customers(400))
		cells = append(cells, cell)
	}
	needs := []int{300, 290, 280, 120}
	for now := (time.Time{}); now.Before(time.Time{}.Add(6 * time.Second)); now = now.Add(100 * time.Millisecond) {
		a.MarkRecorded(a.Allocate(now))
		for at, cell := range cells {
			words := a.NextUpdate(names[at])
			cell.ApplyUpdate(ownerToken, wire.SyncArgs{
				Token: allotterToken, CellToken: words.OwnerToken, AllowanceNumber: words.Number, ConfigVersion: words.ConfigVersion, Allowances: words.Allowances,
			})
			_, number := cell.Record()
			cell.MarkRecorded(allotterToken, number)
			reply := wire.SyncReply{Known: true}
			cell.Report(ownerToken, map[string]Demand{simCustomer: Demand{}.WithTasks(damsonwinch.Resources{MilliCPU: needs[at]}, 3)}, &reply)
			a.HandleReply(names[at], allotterToken, reply)
		}
		if cells[3].Allows(simCustomer, damsonwinch.Resources{MilliCPU: needs[3]}) {
			return
		}
	}
	t.Fatal("a task that could run waits for those that can't")
}

// TestACapThatRisesIsUsed as soon as the cells have been told, in a few rounds.
func TestACapThatRisesIsUsed(t *testing.T) {
	a, cells := dealt(t)
	a.Configure(2, customers(800))
	for range 4 {
		sync(a, cells, 1000, nil)
	}
	first := cells[0].granted[simCustomer].amount[cpu]
	assert.Assert(t, first >= 600, "%d", first)
}

// TestAReplacedOwnerConfirmsNothing: it can record nothing. An allotter that had just come heard
// such a one first and took its word that nothing ran, while eight ran under the next owner.
func TestAReplacedOwnerConfirmsNothing(t *testing.T) {
	_, cells := dealt(t)
	next := NewAllocator()
	next.Configure(1, customers(400))
	next.SetCells(time.Time{}, cellNames)
	for range 5 {
		next.MarkRecorded(next.Allocate(time.Time{}))
		for at, cell := range cells {
			words := next.NextUpdate(cellNames[at])
			cell.ApplyUpdate(ownerToken, wire.SyncArgs{Token: allotterToken + 1, CellToken: words.OwnerToken, AllowanceNumber: words.Number, ConfigVersion: words.ConfigVersion, Allowances: words.Allowances})
			reply := wire.SyncReply{Known: true}
			cell.Report(ownerToken, nil, &reply)
			next.HandleReply(cellNames[at], allotterToken+1, reply)
		}
	}
	for _, cell := range cellNames {
		assert.Equal(t, next.customers[simCustomer].limits[cell][cpu], unknown, "of %s nothing is known", cell)
	}
}

// BenchmarkRound is one round of an allotter at two years' size: 200 customers, 225 cells, of which
// in each round ten are pressed by a customer each.
func BenchmarkRound(b *testing.B) {
	var all []damsonwinch.Customer
	for number := range 200 {
		all = append(all, damsonwinch.Customer{Name: fmt.Sprintf("customer-%d", number), Cap: damsonwinch.Resources{MilliCPU: 1_000_000, MemoryMB: 2_000_000}})
	}
	a := NewAllocator()
	a.Configure(1, all)
	var names []string
	for number := range 225 {
		names = append(names, fmt.Sprintf("cell-%d", number))
	}
	a.SetCells(time.Time{}, names)
	numbers := map[string]int{}
	round := func(number int) {
		a.MarkRecorded(a.Allocate(time.Time{}))
		for at, name := range names {
			reply := wire.SyncReply{Known: true, Token: ownerToken, AllotterToken: allotterToken, AllowanceNumber: numbers[name]}
			if at < 10 {
				reply.Customers = []wire.CustomerReport{{
					Customer: fmt.Sprintf("customer-%d", at), Used: wire.Amount{Cpu: 5000 + number%5000}, Wanted: wire.Amount{Cpu: 100}, Largest: wire.Amount{Cpu: 100},
				}}
			}
			a.HandleReply(name, allotterToken, reply)
			numbers[name] = a.NextUpdate(name).Number
		}
	}
	for number := range 5 {
		round(number)
	}
	b.ReportAllocs()
	for number := 0; b.Loop(); number++ {
		round(number)
	}
}
