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

// seeds returns how many seeds a test simulates: the usual number, unless DAMSONWINCH_SEEDS is set.
func seeds(usual uint64) uint64 {
	if count, err := strconv.ParseUint(os.Getenv("DAMSONWINCH_SEEDS"), 10, 64); err == nil {
		return count
	}
	return usual
}

// TestRunningTasksStayBelowCap runs a customer's tasks in two to four cells. Owners of cells are
// killed, paused and replaced. Allocators are killed, or go on without knowing of a newer one.
// Calls are lost, late and doubled, start requests are carried out late, the cap is raised, lowered
// and removed, and demand moves between cells. At each start all that runs must fit under the
// highest cap that may be in force. After the faults, the running tasks must use most of the cap.
func TestRunningTasksStayBelowCap(t *testing.T) {
	starts, used := 0, 0
	count := seeds(300)
	for seed := uint64(1); seed <= count; seed++ {
		w := simulate(seed, mutation{})
		if w.violation != "" {
			t.Fatalf("seed %d: %s", seed, w.describe())
		}
		if w.peak < 400*7/10 {
			t.Fatalf("seed %d: at the peak only %d of the cap of 400 are used: %s", seed, w.peak, w.describe())
		}
		starts += w.starts
		used += w.peak
	}
	t.Logf("%d seeds, %d starts, peak use of the cap of 400 is %d on average", count, starts, used/int(count))
}

// TestSimulationFailsWithoutEachMechanism disables one mechanism at a time: some seed must then
// exceed the cap.
func TestSimulationFailsWithoutEachMechanism(t *testing.T) {
	for name, disabled := range map[string]struct {
		mechanism mutation
		// from is the first seed to simulate: for some mechanisms only few seeds fail.
		from uint64
	}{
		"allowances are sent before they are recorded":            {mutation{sendBeforeRecord: true}, 1},
		"updates for another owner are applied":                   {mutation{acceptForeignUpdates: true}, 540},
		"cells ignore a lowered cap":                              {mutation{ignoreLoweredCap: true}, 1},
		"lowered allowances are reused before they are confirmed": {mutation{allocateUnconfirmed: true}, 1},
		"new owners forget running tasks":                         {mutation{newOwnerForgetsRuns: true}, 1},
		"cells without a cap are assumed to run nothing":          {mutation{unknownCountsAsZero: true}, 230},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := disabled.from; seed <= disabled.from+4000; seed++ {
				if w := simulate(seed, disabled.mechanism); w.violation != "" {
					t.Logf("seed %d: %s", seed, w.violation)
					return
				}
			}
			t.Fatal("no seed fails without the mechanism")
		})
	}
}

// Demand in turns: one of four pools at a time wants five times its mean, the others a twentieth of
// it.
const (
	turnPools = 4
	turnTime  = 5 * time.Second
	turnMean  = 10 // Tasks, which need five thousandths of a core each on average.
)

// simulateTurns simulates demand that moves between four pools, each divided into the given number of
// cells (shards), under a cap of nearly twice what all pools want on average. It returns the part of
// the wanted tasks that ran.
func simulateTurns(seed uint64, shards int) float64 {
	w := newWorld(seed, turnPools*shards, mutation{})
	w.injectFaults = false
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
	for turn := range 2 * turnPools {
		w.after(time.Second+time.Duration(turn)*turnTime, func() {
			for i, c := range w.cells {
				c.demand = 0
				if i%shards == 0 {
					c.demand = turnMean / 20
				}
				if i/shards == turn%turnPools {
					c.demand = 5 * turnMean / shards
				}
			}
		})
	}
	w.run(w.now.Add(time.Second + 2*turnPools*turnTime))
	return float64(ran) / float64(wanted)
}

// TestAllowancesFollowDemandBetweenCells: where a customer's demand moves between cells every few
// seconds, and the cap is enough for all of it, hardly any of it may wait. With a fixed part of the
// cap for each cell most of it would wait at any time. The same must hold where each pool is
// divided into many cells, and an equal part of the cap is enough for two tasks only.
func TestAllowancesFollowDemandBetweenCells(t *testing.T) {
	for _, shards := range []int{1, 3, 8} {
		t.Run(fmt.Sprintf("shards=%d", shards), func(t *testing.T) {
			ran := 0.0
			const seedCount = 10
			for seed := uint64(1); seed <= seedCount; seed++ {
				ran += simulateTurns(seed, shards) / seedCount
			}
			t.Logf("%.3f of the wanted tasks ran", ran)
			assert.Assert(t, ran >= 0.9, "%.3f", ran)
		})
	}
}

// configuredCells returns an allocator for a cap of 400 and the allowances of the cells with the given
// names, none of which has anything allocated yet.
func configuredCells(names []string) (*Allocator, []*Allowances) {
	a := NewAllocator()
	a.Configure(1, customers(400))
	a.SetCells(time.Time{}, names)
	var cells []*Allowances
	for range names {
		cell := NewAllowances()
		cell.Configure(1, customers(400))
		cells = append(cells, cell)
	}
	return a, cells
}

// allocatedCells returns an allocator that has allocated a cap of 400 to two cells in equal parts, and
// the allowances of the cells, which have confirmed them.
func allocatedCells(t *testing.T) (*Allocator, []*Allowances) {
	t.Helper()
	a, cells := configuredCells(cellNames)
	for range 5 {
		syncAll(a, cells, 0, nil)
	}
	for i, cell := range cells {
		assert.Equal(t, cell.allowances[simCustomer].amount[cpu], 200, "cell %d", i)
	}
	return a, cells
}

var cellNames = []string{"first", "second"}

// Tokens of the allocator and of the owners of cells in these tests.
const (
	allocatorToken = 100
	ownerToken     = 7
)

// syncAll has the allocator call both cells once. The first cell has the given number of waiting
// tasks. Limits and updates are recorded at once, except the updates of the cells in unrecorded.
func syncAll(a *Allocator, cells []*Allowances, waiting int, unrecorded map[int]bool) {
	a.MarkRecorded(a.Allocate(time.Time{}))
	for i, cell := range cells {
		reply := syncCell(a, i, cell, waiting)
		a.HandleReply(cellNames[i], allocatorToken, reply)
		if !unrecorded[i] {
			_, number := cell.Record()
			cell.MarkRecorded(allocatorToken, number)
		}
	}
}

// syncCell sends the next update to cell number i, which has the given number of waiting tasks if it
// is the first one, and returns the cell's reply.
func syncCell(a *Allocator, i int, cell *Allowances, waiting int) wire.SyncReply {
	update := a.NextUpdate(cellNames[i])
	cell.ApplyUpdate(ownerToken, wire.SyncArgs{
		Token: allocatorToken, CellToken: update.OwnerToken, AllowanceNumber: update.Number, ConfigVersion: update.ConfigVersion, Allowances: update.Allowances,
	})
	reply := wire.SyncReply{Known: true}
	var demands map[string]Demand
	if i == 0 && waiting > 0 {
		demands = map[string]Demand{simCustomer: Demand{}.WithTasks(damsonwinch.Resources{MilliCPU: 1}, waiting)}
	}
	cell.Report(ownerToken, demands, &reply)
	return reply
}

// TestLoweredAllowanceIsReusedOnceRecorded: until the lower allowance is recorded, the cell's next
// owner would go by the higher one.
func TestLoweredAllowanceIsReusedOnceRecorded(t *testing.T) {
	a, cells := allocatedCells(t)
	for range 5 {
		syncAll(a, cells, 1000, map[int]bool{1: true})
	}
	second := cells[1].allowances[simCustomer].amount[cpu]
	assert.Assert(t, second < 200, "the second cell has a lower allowance")
	first := cells[0].allowances[simCustomer].amount[cpu]
	assert.Equal(t, first, 200, "the first cell has no higher allowance yet")

	for range 5 {
		syncAll(a, cells, 1000, nil)
	}
	first = cells[0].allowances[simCustomer].amount[cpu]
	second = cells[1].allowances[simCustomer].amount[cpu]
	assert.Assert(t, first > 300, "%d", first)
	assert.Assert(t, first+second <= 400, "%d and %d", first, second)
}

// TestNothingStartsWhileLoweredCapIsExceeded: a lowered cap stops no running task. Until the
// running tasks fit under it, nothing starts anywhere, not even in a cell that runs nothing.
func TestNothingStartsWhileLoweredCapIsExceeded(t *testing.T) {
	a, cells := allocatedCells(t)
	running := damsonwinch.Resources{MilliCPU: 200}
	cells[0].AddRun(simCustomer, running, false)
	a.Configure(2, customers(100))
	small := damsonwinch.Resources{MilliCPU: 1}
	for range 5 {
		syncAll(a, cells, 1000, nil)
		assert.Assert(t, !cells[0].Allows(simCustomer, small))
		assert.Assert(t, !cells[1].Allows(simCustomer, small))
	}
	cells[0].RemoveRun(simCustomer, running, false)
	for range 5 {
		syncAll(a, cells, 1000, nil)
	}
	assert.Assert(t, cells[0].Allows(simCustomer, small))
}

// TestAllowancesAreRoundedToWholeTasks: otherwise two cells with equal demand could each get an
// allowance for one and a half tasks, and one of the three tasks that fit under the cap wouldn't run.
func TestAllowancesAreRoundedToWholeTasks(t *testing.T) {
	for _, task := range []int{133, 100, 57, 90, 130} {
		a, cells := allocatedCells(t)
		need := damsonwinch.Resources{MilliCPU: task}
		running := 0
		for range 12 {
			a.MarkRecorded(a.Allocate(time.Time{}))
			for i, cell := range cells {
				for cell.Allows(simCustomer, need) {
					cell.AddRun(simCustomer, need, false)
					running++
				}
				update := a.NextUpdate(cellNames[i])
				cell.ApplyUpdate(ownerToken, wire.SyncArgs{Token: allocatorToken, CellToken: update.OwnerToken, AllowanceNumber: update.Number, ConfigVersion: update.ConfigVersion, Allowances: update.Allowances})
				reply := wire.SyncReply{Known: true}
				_, number := cell.Record()
				cell.MarkRecorded(allocatorToken, number)
				cell.Report(ownerToken, map[string]Demand{simCustomer: Demand{}.WithTasks(need, 50)}, &reply)
				a.HandleReply(cellNames[i], allocatorToken, reply)
			}
		}
		assert.Equal(t, running, 400/task, "tasks of %d under a cap of 400", task)
	}
}

// TestReservationForTaskWithoutBoxExpires: the large tasks of three cells have no box to run on, so
// that the capacity reserved for them stays unused. The fourth cell, whose share is too small for its
// task, must still get a reservation.
func TestReservationForTaskWithoutBoxExpires(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	a, cells := configuredCells(names)
	needs := []int{300, 290, 280, 120}
	for now := (time.Time{}); now.Before(time.Time{}.Add(6 * time.Second)); now = now.Add(100 * time.Millisecond) {
		a.MarkRecorded(a.Allocate(now))
		for i, cell := range cells {
			update := a.NextUpdate(names[i])
			cell.ApplyUpdate(ownerToken, wire.SyncArgs{
				Token: allocatorToken, CellToken: update.OwnerToken, AllowanceNumber: update.Number, ConfigVersion: update.ConfigVersion, Allowances: update.Allowances,
			})
			_, number := cell.Record()
			cell.MarkRecorded(allocatorToken, number)
			reply := wire.SyncReply{Known: true}
			cell.Report(ownerToken, map[string]Demand{simCustomer: Demand{}.WithTasks(damsonwinch.Resources{MilliCPU: needs[i]}, 3)}, &reply)
			a.HandleReply(names[i], allocatorToken, reply)
		}
		if cells[3].Allows(simCustomer, damsonwinch.Resources{MilliCPU: needs[3]}) {
			return
		}
	}
	t.Fatal("a task that could run waits for tasks that can't")
}

// TestRaisedCapIsUsed: the cells have their higher allowances after a few calls.
func TestRaisedCapIsUsed(t *testing.T) {
	a, cells := allocatedCells(t)
	a.Configure(2, customers(800))
	for range 4 {
		syncAll(a, cells, 1000, nil)
	}
	first := cells[0].allowances[simCustomer].amount[cpu]
	assert.Assert(t, first >= 600, "%d", first)
}

// TestReplacedOwnerConfirmsNothing: an owner that was replaced can record nothing, so it may
// confirm nothing. Otherwise a new allocator that gets a reply from such an owner first would assume
// that nothing runs in the cell, while eight tasks run under the next owner.
func TestReplacedOwnerConfirmsNothing(t *testing.T) {
	_, cells := allocatedCells(t)
	next := NewAllocator()
	next.Configure(1, customers(400))
	next.SetCells(time.Time{}, cellNames)
	for range 5 {
		next.MarkRecorded(next.Allocate(time.Time{}))
		for i, cell := range cells {
			update := next.NextUpdate(cellNames[i])
			cell.ApplyUpdate(ownerToken, wire.SyncArgs{Token: allocatorToken + 1, CellToken: update.OwnerToken, AllowanceNumber: update.Number, ConfigVersion: update.ConfigVersion, Allowances: update.Allowances})
			reply := wire.SyncReply{Known: true}
			cell.Report(ownerToken, nil, &reply)
			next.HandleReply(cellNames[i], allocatorToken+1, reply)
		}
	}
	for _, cell := range cellNames {
		assert.Equal(t, next.customers[simCustomer].limits[cell][cpu], unknown, "the limit of cell %s must be unknown", cell)
	}
}

// BenchmarkRound measures one allocation round with the calls that it leads to, for 200 customers and
// 225 cells, the numbers expected in two years. In each round ten cells report one customer each.
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
		for i, name := range names {
			reply := wire.SyncReply{Known: true, Token: ownerToken, AllotterToken: allocatorToken, AllowanceNumber: numbers[name]}
			if i < 10 {
				reply.Customers = []wire.CustomerReport{{
					Customer: fmt.Sprintf("customer-%d", i), Used: wire.Amount{Cpu: 5000 + number%5000}, Wanted: wire.Amount{Cpu: 100}, Largest: wire.Amount{Cpu: 100},
				}}
			}
			a.HandleReply(name, allocatorToken, reply)
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
