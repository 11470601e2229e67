package quota

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// pressedShare is the part of an allowance, in percent, from which a cell asks for more: it takes
// some tenths of a second to come.
const pressedShare = 75

// Allowances are what a cell may have running of each customer, and has.
type Allowances struct {
	// version and caps are those of the configuration in force at the cell, and dealt is the
	// version by which the allowances were dealt.
	version int
	caps    map[string]amounts
	dealt   int
	granted map[string]grant
	used    sums
	// lasting is what of that runs until it is stopped.
	lasting sums
	// fell tells with which version a customer's cap last fell, as far as no word has come that was
	// dealt by it: what others have running isn't known to fit beside the allowance.
	fell map[string]int
	// allotter is the token of the newest allotter that was heard, taken the number of its newest
	// word, and recorded that of the newest which a later owner of the cell would know of.
	allotter int
	taken    int
	recorded int
}

// grant is a customer's allowance, with the cap that it is part of.
type grant struct {
	amount amounts
	cap    amounts
}

// NewAllowances returns a cell's allowances before any was heard of.
func NewAllowances() *Allowances {
	return &Allowances{caps: map[string]amounts{}, granted: map[string]grant{}, used: sums{}, lasting: sums{}, fell: map[string]int{}}
}

// Configure takes the customers of the configuration in force.
func (a *Allowances) Configure(version int, customers []damsonwinch.Customer) {
	if version < a.version {
		return
	}
	before := a.caps
	a.version, a.caps = version, make(map[string]amounts, len(customers))
	for _, c := range customers {
		limit := amountsOf(c.Cap)
		a.caps[c.Name] = limit
		earlier, known := before[c.Name]
		if !known {
			earlier, known = a.granted[c.Name].cap, a.granted[c.Name] != grant{}
		}
		if known && limit.fellFrom(earlier) && a.dealt < version {
			a.fell[c.Name] = version
		}
	}
}

// AddRun counts a run of a customer's, and End takes it back once it is known to be over. One that
// lasts runs until it is stopped.
func (a *Allowances) AddRun(customer string, need damsonwinch.Resources, lasts bool) {
	a.used.add(customer, amountsOf(need))
	if lasts {
		a.lasting.add(customer, amountsOf(need))
	}
}

// RemoveRun takes a run back that is over.
func (a *Allowances) RemoveRun(customer string, need damsonwinch.Resources, lasts bool) {
	a.used.add(customer, amounts{}.minus(amountsOf(need)))
	if lasts {
		a.lasting.add(customer, amounts{}.minus(amountsOf(need)))
	}
}

// sums are amounts by customer.
type sums map[string]amounts

func (s sums) add(customer string, more amounts) {
	if customer == "" {
		return
	}
	if sum := s[customer].plus(more); sum == (amounts{}) {
		delete(s, customer)
	} else {
		s[customer] = sum
	}
}

// capOf returns a customer's cap by the newer of what the cell and its allotter know, and whether
// there is one. That there is none any more counts only once the allotter has said so: it must
// know that nobody keeps count then.
func (a *Allowances) capOf(customer string) (amounts, bool) {
	given, granted := a.granted[customer]
	own, known := a.caps[customer]
	if granted && (a.dealt >= a.version || !known) {
		return given.cap, true
	}
	for kind := range own {
		if granted && own[kind] == 0 {
			own[kind] = given.cap[kind]
		}
	}
	return own, known
}

// suspended says whether a customer's cap is known to have fallen since its allowance was dealt.
func (a *Allowances) suspended(customer string) bool {
	return a.fell[customer] > a.dealt
}

// Allows says whether a run of a customer's may begin now. One that needs more than the whole cap
// may if nothing else of the customer's runs anywhere: then the allowance is the whole cap.
func (a *Allowances) Allows(customer string, need damsonwinch.Resources) bool {
	if customer == "" {
		return true
	}
	limit, known := a.capOf(customer)
	if !known || a.suspended(customer) {
		return known && limit.unlimited()
	}
	wanted, used, amount := amountsOf(need), a.used[customer], a.granted[customer].amount
	for kind := range limit {
		if limit[kind] > 0 && used[kind]+min(wanted[kind], limit[kind]) > amount[kind] {
			return false
		}
	}
	return true
}

// CanEverFit says whether a run of a customer's can ever begin beside those that last.
func (a *Allowances) CanEverFit(customer string, need damsonwinch.Resources) bool {
	limit, _ := a.capOf(customer)
	wanted, lasting := amountsOf(need), a.lasting[customer]
	for kind := range limit {
		if limit[kind] > 0 && min(wanted[kind], limit[kind])+lasting[kind] > limit[kind] {
			return false
		}
	}
	return true
}

// RemainingCPU returns how much of a thing that a customer waits for fits into its allowance beside what
// runs, in thousandths of a core.
func (a *Allowances) RemainingCPU(customer string, wantedCPU int) int {
	limit, known := a.capOf(customer)
	switch {
	case customer == "", known && limit[cpu] == 0:
		return wantedCPU
	case !known, a.suspended(customer):
		return 0
	}
	return max(0, min(wantedCPU, a.granted[customer].amount[cpu]-a.used[customer][cpu]))
}

// ApplyUpdate takes the allotter's word, and says whether it must be recorded before it is confirmed: a
// later owner of the cell must not go by a higher allowance, and one that has been replaced and
// doesn't know it can record nothing, so that it confirms nothing. A word for another owner of the
// cell, or one that newer ones have overtaken, changes nothing.
func (a *Allowances) ApplyUpdate(token int, args wire.SyncArgs) bool {
	if args.CellToken != token || args.Token < a.allotter || args.Token == a.allotter && args.AllowanceNumber <= a.taken {
		return false
	}
	if args.Token > a.allotter {
		a.recorded = 0
	}
	a.allotter, a.taken, a.dealt = args.Token, args.AllowanceNumber, args.ConfigVersion
	for customer, version := range a.fell {
		if version <= a.dealt {
			delete(a.fell, customer)
		}
	}
	for _, row := range args.Allowances {
		given := grant{amount: fromWire(row.Amount), cap: fromWire(row.Cap)}
		a.granted[row.Customer] = given
		if own, known := a.caps[row.Customer]; known && a.dealt < a.version && own.fellFrom(given.cap) {
			// The allotter doesn't know of it yet.
			a.fell[row.Customer] = a.version
		}
	}
	return len(args.Allowances) > 0
}

// Record returns what a later owner has to know, and the number under which Recorded confirms it.
func (a *Allowances) Record() (wire.AllowancesRecord, int) {
	record := wire.AllowancesRecord{ConfigVersion: a.dealt}
	for _, customer := range slices.Sorted(maps.Keys(a.granted)) {
		given := a.granted[customer]
		record.Allowances = append(record.Allowances, wire.AllowanceRow{Customer: customer, Amount: given.amount.wire(), Cap: given.cap.wire()})
	}
	return record, a.taken
}

// MarkRecorded takes note that a record of the allotter's word up to a number is kept.
func (a *Allowances) MarkRecorded(allotter, number int) {
	if allotter != a.allotter {
		return
	}
	a.recorded = max(a.recorded, number)
}

// AllocatorToken returns the token of the newest allotter that was heard.
func (a *Allowances) AllocatorToken() int {
	return a.allotter
}

// Load takes over what an earlier owner has recorded.
func (a *Allowances) Load(record wire.AllowancesRecord) {
	a.dealt = record.ConfigVersion
	for _, row := range record.Allowances {
		a.granted[row.Customer] = grant{amount: fromWire(row.Amount), cap: fromWire(row.Cap)}
	}
}

// HasAny says whether anything has been heard or taken over of allowances.
func (a *Allowances) HasAny() bool {
	return len(a.granted) > 0
}

// Demand is what waits of a customer's and could start by now.
type Demand struct {
	Total damsonwinch.Resources
	// Largest is the most that a single task asks for, of each kind.
	Largest damsonwinch.Resources
}

// WithTasks returns what waits with so many tasks of a need more.
func (w Demand) WithTasks(need damsonwinch.Resources, count int) Demand {
	w.Total = w.Total.Plus(damsonwinch.Resources{MilliCPU: need.MilliCPU * count, MemoryMB: need.MemoryMB * count, GPUs: need.GPUs * count})
	w.Largest = damsonwinch.Resources{
		MilliCPU: max(w.Largest.MilliCPU, need.MilliCPU), MemoryMB: max(w.Largest.MemoryMB, need.MemoryMB), GPUs: max(w.Largest.GPUs, need.GPUs),
	}
	return w
}

// Report tells the allotter how the cell gets on with its allowances: which word it has heard for
// good, and of the customers those that want more than they have or still run more than that.
func (a *Allowances) Report(token int, wanted map[string]Demand, reply *wire.SyncReply) {
	reply.Token, reply.AllowanceNumber, reply.AllotterToken = token, a.recorded, a.allotter
	customers := map[string]bool{}
	for customer := range a.used {
		customers[customer] = true
	}
	for customer := range wanted {
		customers[customer] = true
	}
	for _, customer := range slices.Sorted(maps.Keys(customers)) {
		limit, known := a.capOf(customer)
		used, wants := a.used[customer], amountsOf(wanted[customer].Total)
		if customer == "" || known && limit.unlimited() || !a.pressed(customer, limit, used, wants) {
			continue
		}
		reply.Customers = append(reply.Customers, wire.CustomerReport{
			Customer: customer, Used: used.wire(), Lasting: a.lasting[customer].wire(), Wanted: wants.wire(), Largest: amountsOf(wanted[customer].Largest).wire(),
		})
	}
}

// pressed says whether a customer wants more than its allowance holds well, or has more running.
func (a *Allowances) pressed(customer string, limit, used, wanted amounts) bool {
	given, granted := a.granted[customer]
	if !granted {
		return true
	}
	for kind := range limit {
		if limit[kind] > 0 && (used[kind]+wanted[kind])*100 > given.amount[kind]*pressedShare {
			return true
		}
	}
	return false
}

// Explain says how much a customer has running in the cell and may have.
func (a *Allowances) Explain(customer string) string {
	given, granted := a.granted[customer]
	switch {
	case !granted:
		return "may have nothing running here until the planner has dealt its cap"
	case a.suspended(customer):
		return "may begin nothing here until the planner has dealt its lowered cap"
	}
	limit, _ := a.capOf(customer)
	var kinds []string
	for kind, unit := range [...]string{cpu: "thousandths of a core", memory: "MB", gpu: "GPUs"} {
		if limit[kind] > 0 {
			kinds = append(kinds, fmt.Sprintf("%d of %d %s", a.used[customer][kind], given.amount[kind], unit))
		}
	}
	return "has " + strings.Join(kinds, ", ") + " running here that it may have; its most urgent task needs more than is left"
}
