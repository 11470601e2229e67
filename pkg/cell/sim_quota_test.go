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
	cappedCustomer = "bakery"
	cappedJobs     = 24
	cappedBoxes    = 6
	capRound       = 100 * time.Millisecond
	// capApplies is how long an earlier cap may be in force beside a newer one.
	capApplies = 4 * time.Second
	// otherCell is a second cell of the customer's, which is as simple as can be.
	otherCell = "other"
	thisCell  = "this"
)

// simCaps deals a customer's cap between the cell and another one.
type simCaps struct {
	world    *world
	allotter *quota.Allocator
	token    int
	ledger   map[string]wire.AllottedRecord
	other    *quota.Allowances
	// otherUsed is what runs in the other cell, in thousandths of a core.
	otherUsed int
	versions  []simCap
}

// simCap is a configuration's cap, and since when it has been published.
type simCap struct {
	cpu int
	at  time.Time
}

// playCapped plays one run of a seed in which a customer's cap rises and falls, its allotter is
// replaced, and another cell wants some of the cap as well, beside all other trouble.
func playCapped(seed uint64, broken sabotage) *world {
	w := newWorld(seed, broken)
	w.boxCount, w.attentive, w.resets = cappedBoxes, true, true
	w.caps = &simCaps{world: w, ledger: map[string]wire.AllottedRecord{}, other: quota.NewAllowances()}
	w.caps.publish(9000)
	w.caps.replace()
	w.begin(cappedJobs)
	for range 4 {
		w.after(w.between(time.Second, simTrouble-time.Second), func() { w.caps.publish(4000 + 1000*w.random.IntN(12)) })
	}
	// What lasts beside the largest task has to fit in the end.
	w.after(simTrouble, func() { w.caps.publish(16_000) })
	for range 2 {
		w.after(w.between(time.Second, simTrouble), w.caps.replace)
	}
	w.after(capRound, w.caps.round)
	w.finish()
	return w
}

func (s *simCaps) publish(cpu int) {
	w := s.world
	s.versions = append(s.versions, simCap{cpu: cpu, at: w.now})
	w.logf("cap %d by version %d", cpu, len(s.versions))
	version := len(s.versions)
	w.after(w.between(0, 400*time.Millisecond), func() { s.allotter.Configure(version, s.customers(version)) })
	w.after(w.between(0, 400*time.Millisecond), func() { s.other.Configure(version, s.customers(version)) })
	for _, o := range w.owners {
		w.after(w.between(0, 400*time.Millisecond), func() { o.whenAwake(func() { s.configure(o) }) })
	}
}

// configure tells an owner the newest configuration.
func (s *simCaps) configure(o *simOwner) {
	if o.ready {
		o.cell.SetCustomers(o.now(), len(s.versions), s.customers(len(s.versions)))
	}
}

func (s *simCaps) customers(version int) []damsonwinch.Customer {
	return []damsonwinch.Customer{{Name: cappedCustomer, Cap: damsonwinch.Resources{MilliCPU: s.versions[version-1].cpu}}}
}

// replace has a new allotter take over what the last one has recorded.
func (s *simCaps) replace() {
	s.token++
	s.allotter = quota.NewAllocator()
	for customer, record := range s.ledger {
		s.allotter.Load(customer, record)
	}
	s.allotter.Configure(len(s.versions), s.customers(len(s.versions)))
	s.allotter.SetCells(s.world.now, []string{thisCell, otherCell})
}

// round is one talk of the allotter with the owners of both cells.
func (s *simCaps) round() {
	w := s.world
	w.after(capRound, s.round)
	raised := s.allotter.Allocate(w.now)
	for _, customer := range raised {
		s.ledger[customer] = s.allotter.Record(customer)
	}
	s.allotter.MarkRecorded(raised)
	s.sync(otherCell, func(args wire.SyncArgs, give func(wire.SyncReply)) { give(s.takeOther(args)) })
	o := w.owner()
	if o == nil {
		return
	}
	s.sync(thisCell, func(args wire.SyncArgs, give func(wire.SyncReply)) {
		o.whenAwake(func() {
			if o.ready {
				o.cell.ApplySync(o.now(), args)
				give(o.cell.Report(o.now()))
			}
		})
	})
}

// sync makes one call, which may be lost or late there or on its way back.
func (s *simCaps) sync(cell string, call func(args wire.SyncArgs, give func(wire.SyncReply))) {
	w, allotter, token := s.world, s.allotter, s.token
	words := allotter.NextUpdate(cell)
	args := wire.SyncArgs{
		Cell: cell, Token: token, CellToken: words.OwnerToken, AllowanceNumber: words.Number, ConfigVersion: words.ConfigVersion, Allowances: slices.Clone(words.Allowances),
	}
	delay := w.between(time.Millisecond, 20*time.Millisecond)
	if w.chance(0.1) {
		delay = w.between(100*time.Millisecond, 2*time.Second)
	}
	w.after(delay, func() {
		call(args, func(reply wire.SyncReply) {
			if w.chance(0.1) || allotter != s.allotter {
				return
			}
			w.after(w.between(time.Millisecond, 20*time.Millisecond), func() { allotter.HandleReply(cell, token, reply) })
		})
	})
}

// takeOther takes a call for the other cell, whose work comes and goes.
func (s *simCaps) takeOther(args wire.SyncArgs) wire.SyncReply {
	w := s.world
	if s.other.ApplyUpdate(1, args) {
		_, number := s.other.Record()
		s.other.MarkRecorded(s.other.AllocatorToken(), number)
	}
	one := damsonwinch.Resources{MilliCPU: 500}
	waiting := 0
	if w.trouble {
		waiting = w.random.IntN(8)
	}
	wanted := map[string]quota.Demand{cappedCustomer: quota.Demand{}.WithTasks(one, waiting)}
	for range waiting {
		if s.other.Allows(cappedCustomer, one) {
			s.other.AddRun(cappedCustomer, one, false)
			s.otherUsed += one.MilliCPU
			w.rules.capped(one.MilliCPU)
			w.after(w.between(50*time.Millisecond, 600*time.Millisecond), func() {
				s.other.RemoveRun(cappedCustomer, one, false)
				s.otherUsed -= one.MilliCPU
			})
		}
	}
	reply := wire.SyncReply{Known: true}
	s.other.Report(1, wanted, &reply)
	return reply
}

// most is the highest cap that may be in force.
func (s *simCaps) most() int {
	most := 0
	for at, version := range s.versions {
		if at+1 == len(s.versions) || s.world.now.Sub(s.versions[at+1].at) <= capApplies {
			most = max(most, version.cpu)
		}
	}
	return most
}

// capped judges what runs of the customer with a start against its cap.
func (r *rules) capped(need int) {
	caps := r.world.caps
	running := caps.otherUsed
	for _, e := range r.world.endpoints {
		if !e.dead {
			running += e.used().MilliCPU
		}
	}
	if most := caps.most(); running > most {
		r.fail("QUOTA: %d of %s run with a start of %d under a cap of %d", running, cappedCustomer, need, most)
	}
}

// failedCaps are kept with what they found: 701067, a cell went on in another stream, which wasn't
// told of a run that was being stopped since its job had been cancelled;
// 717660, a reply overtook an earlier one, which didn't tell of what had begun since.
var failedCaps = []uint64{701067, 717660}

// TestACellStaysWithinItsAllowance: a customer's work in two cells, one of them with all that goes
// wrong with owners, endpoints and orders, never exceeds the cap on all endpoints together, and all
// of it is done in the end.
func TestACellStaysWithinItsAllowance(t *testing.T) {
	starts := 0
	for _, seed := range append(failedCaps, freshSeeds(300)...) {
		w := playCapped(seed, sabotage{})
		if w.rules.broken != "" {
			t.Fatalf("seed %d: %s\n%s", seed, w.rules.broken, strings.Join(w.log, "\n"))
		}
		starts += w.rules.starts
	}
	t.Logf("%d starts", starts)
}

// TestWithoutAllowancesTheCapIsBroken: some seed shows that.
func TestWithoutAllowancesTheCapIsBroken(t *testing.T) {
	for _, seed := range freshSeeds(100) {
		if broken := playCapped(seed, sabotage{uncapped: true}).rules.broken; strings.HasPrefix(broken, "QUOTA") {
			t.Logf("seed %d: %s", seed, broken)
			return
		}
	}
	t.Fatal("no seed found that the mechanism is missing")
}
