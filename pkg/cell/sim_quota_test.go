package cell_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/quota"
	"damsonwinch/pkg/wire"
)

// Names and figures of runs with a capped customer.
const (
	cappedCustomer     = "bakery"
	cappedJobs         = 24
	cappedBoxes        = 6
	allocationInterval = 100 * time.Millisecond
	// oldCapValidity is how long an earlier cap may be in force beside a newer one.
	oldCapValidity = 4 * time.Second
	// otherCellName is a second cell of the customer's, which is as simple as can be.
	otherCellName = "other"
	thisCellName  = "this"
)

// simPlanner deals a customer's cap between the cell and another one.
type simPlanner struct {
	world           *world
	allocator       *quota.Allocator
	token           int
	records         map[string]wire.AllottedRecord
	otherAllowances *quota.Allowances
	// otherMilliCPU is what runs in the other cell, in thousandths of a core.
	otherMilliCPU int
	versions      []capVersion
}

// capVersion is a configuration's cap, and since when it has been published.
type capVersion struct {
	milliCPU    int
	publishedAt time.Time
}

// simulateCappedCustomer plays one run of a seed in which a customer's cap rises and falls, its allotter is
// replaced, and another cell wants some of the cap as well, beside all other trouble.
func simulateCappedCustomer(seed uint64, broken mutation) *world {
	w := newWorld(seed, broken)
	w.boxCount, w.promptPolls, w.resetsOnExit = cappedBoxes, true, true
	w.planner = &simPlanner{world: w, records: map[string]wire.AllottedRecord{}, otherAllowances: quota.NewAllowances()}
	w.planner.publishCap(9000)
	w.planner.replaceAllocator()
	w.setUp(cappedJobs)
	for range 4 {
		w.after(w.randomDuration(time.Second, simFaultTime-time.Second), func() { w.planner.publishCap(4000 + 1000*w.random.IntN(12)) })
	}
	// What lasts beside the largest task has to fit in the end.
	w.after(simFaultTime, func() { w.planner.publishCap(16_000) })
	for range 2 {
		w.after(w.randomDuration(time.Second, simFaultTime), w.planner.replaceAllocator)
	}
	w.after(allocationInterval, w.planner.allocationRound)
	w.runToEnd()
	return w
}

func (s *simPlanner) publishCap(cpu int) {
	w := s.world
	s.versions = append(s.versions, capVersion{milliCPU: cpu, publishedAt: w.now})
	w.logf("cap %d by version %d", cpu, len(s.versions))
	version := len(s.versions)
	w.after(w.randomDuration(0, 400*time.Millisecond), func() { s.allocator.Configure(version, s.customers(version)) })
	w.after(w.randomDuration(0, 400*time.Millisecond), func() { s.otherAllowances.Configure(version, s.customers(version)) })
	for _, o := range w.owners {
		w.after(w.randomDuration(0, 400*time.Millisecond), func() { o.whenRunning(func() { s.configureOwner(o) }) })
	}
}

// configureOwner tells an owner the newest configuration.
func (s *simPlanner) configureOwner(o *simOwner) {
	if o.ready {
		o.cell.SetCustomers(o.now(), len(s.versions), s.customers(len(s.versions)))
	}
}

func (s *simPlanner) customers(version int) []damsonwinch.Customer {
	return []damsonwinch.Customer{{Name: cappedCustomer, Cap: damsonwinch.Resources{MilliCPU: s.versions[version-1].milliCPU}}}
}

// replaceAllocator has a new allotter take over what the last one has recorded.
func (s *simPlanner) replaceAllocator() {
	s.token++
	s.allocator = quota.NewAllocator()
	for customer, record := range s.records {
		s.allocator.Load(customer, record)
	}
	s.allocator.Configure(len(s.versions), s.customers(len(s.versions)))
	s.allocator.SetCells(s.world.now, []string{thisCellName, otherCellName})
}

// allocationRound is one talk of the allotter with the owners of both cells.
func (s *simPlanner) allocationRound() {
	w := s.world
	w.after(allocationInterval, s.allocationRound)
	raised := s.allocator.Allocate(w.now)
	for _, customer := range raised {
		s.records[customer] = s.allocator.Record(customer)
	}
	s.allocator.MarkRecorded(raised)
	s.syncCell(otherCellName, func(args wire.SyncArgs, give func(wire.SyncReply)) { give(s.syncOtherCell(args)) })
	o := w.pickOwner()
	if o == nil {
		return
	}
	s.syncCell(thisCellName, func(args wire.SyncArgs, give func(wire.SyncReply)) {
		o.whenRunning(func() {
			if o.ready {
				o.cell.ApplySync(o.now(), args)
				give(o.cell.Report(o.now()))
			}
		})
	})
}

// syncCell makes one call, which may be lost or late there or on its way back.
func (s *simPlanner) syncCell(cell string, call func(args wire.SyncArgs, give func(wire.SyncReply))) {
	w, allotter, token := s.world, s.allocator, s.token
	words := allotter.NextUpdate(cell)
	args := wire.SyncArgs{
		Cell: cell, Token: token, CellToken: words.OwnerToken, AllowanceNumber: words.Number, ConfigVersion: words.ConfigVersion, Allowances: slices.Clone(words.Allowances),
	}
	delay := w.randomDuration(time.Millisecond, 20*time.Millisecond)
	if w.chance(0.1) {
		delay = w.randomDuration(100*time.Millisecond, 2*time.Second)
	}
	w.after(delay, func() {
		call(args, func(reply wire.SyncReply) {
			if w.chance(0.1) || allotter != s.allocator {
				return
			}
			w.after(w.randomDuration(time.Millisecond, 20*time.Millisecond), func() { allotter.HandleReply(cell, token, reply) })
		})
	})
}

// syncOtherCell takes a call for the other cell, whose work comes and goes.
func (s *simPlanner) syncOtherCell(args wire.SyncArgs) wire.SyncReply {
	w := s.world
	if s.otherAllowances.ApplyUpdate(1, args) {
		_, number := s.otherAllowances.Record()
		s.otherAllowances.MarkRecorded(s.otherAllowances.AllocatorToken(), number)
	}
	one := damsonwinch.Resources{MilliCPU: 500}
	waiting := 0
	if w.faultsOn {
		waiting = w.random.IntN(8)
	}
	wanted := map[string]quota.Demand{cappedCustomer: quota.Demand{}.WithTasks(one, waiting)}
	for range waiting {
		if s.otherAllowances.Allows(cappedCustomer, one) {
			s.otherAllowances.AddRun(cappedCustomer, one, false)
			s.otherMilliCPU += one.MilliCPU
			w.rules.checkCap(one.MilliCPU)
			w.after(w.randomDuration(50*time.Millisecond, 600*time.Millisecond), func() {
				s.otherAllowances.RemoveRun(cappedCustomer, one, false)
				s.otherMilliCPU -= one.MilliCPU
			})
		}
	}
	reply := wire.SyncReply{Known: true}
	s.otherAllowances.Report(1, wanted, &reply)
	return reply
}

// maxCap is the highest cap that may be in force.
func (s *simPlanner) maxCap() int {
	most := 0
	for at, version := range s.versions {
		if at+1 == len(s.versions) || s.world.now.Sub(s.versions[at+1].publishedAt) <= oldCapValidity {
			most = max(most, version.milliCPU)
		}
	}
	return most
}

// checkCap judges what runs of the customer with a start against its cap.
func (r *rules) checkCap(need int) {
	caps := r.world.planner
	running := caps.otherMilliCPU
	for _, e := range r.world.endpoints {
		if !e.exited {
			running += e.used().MilliCPU
		}
	}
	if most := caps.maxCap(); running > most {
		r.fail("QUOTA: %d of %s run with a start of %d under a cap of %d", running, cappedCustomer, need, most)
	}
}

// failedQuotaSeeds are kept with what they found: 701067, a cell went on in another stream, which wasn't
// told of a run that was being stopped since its job had been cancelled;
// 717660, a reply overtook an earlier one, which didn't tell of what had begun since.
var failedQuotaSeeds = []uint64{701067, 717660}

// TestCellsStayWithinCustomerCap: a customer's work in two cells, one of them with all that goes
// wrong with owners, endpoints and orders, never exceeds the cap on all endpoints together, and all
// of it is done in the end.
func TestCellsStayWithinCustomerCap(t *testing.T) {
	starts := 0
	for _, seed := range append(failedQuotaSeeds, testSeeds(300)...) {
		w := simulateCappedCustomer(seed, mutation{})
		if w.rules.violation != "" {
			t.Fatalf("seed %d: %s\n%s", seed, w.rules.violation, strings.Join(w.log, "\n"))
		}
		starts += w.rules.startCount
	}
	t.Logf("%d starts", starts)
}

// TestRulesDetectMissingQuota: some seed shows that.
func TestRulesDetectMissingQuota(t *testing.T) {
	for _, seed := range testSeeds(100) {
		if broken := simulateCappedCustomer(seed, mutation{uncapped: true}).rules.violation; strings.HasPrefix(broken, "QUOTA") {
			t.Logf("seed %d: %s", seed, broken)
			return
		}
	}
	t.Fatal("no seed found that the mechanism is missing")
}
