package quota

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// reportThresholdPercent is the part of an allowance from which a cell reports that it needs more.
// It is below 100 because a higher allowance takes some tenths of a second to arrive.
const reportThresholdPercent = 75

// Allowances tracks how much each customer may have running in one cell, and how much it has.
type Allowances struct {
	// configVersion and caps are those of the configuration in force at the cell. allocatedVersion
	// is the version of the configuration by which the allowances were allocated.
	configVersion    int
	caps             map[string]amounts
	allocatedVersion int
	allowances       map[string]allowance
	used             sums
	// longRunning is the part of used that runs until it is stopped.
	longRunning sums
	// loweredVersion holds the customers whose cap was lowered, each with the latest configuration
	// version that lowered it. A customer stays there until an update arrives that was allocated by that
	// version: until then the cell's allowance and what other cells have running may exceed the cap.
	loweredVersion map[string]int
	// allocatorToken is the token of the newest allocator that has sent an update, appliedNumber
	// the number of its newest update, and recordedNumber that of its newest update that is in the
	// cell's stream, where a later owner of the cell reads it.
	allocatorToken int
	appliedNumber  int
	recordedNumber int
}

// allowance is the allowance of a customer, with the cap that it is part of.
type allowance struct {
	amount amounts
	cap    amounts
}

// NewAllowances returns the allowances of a cell that has received none and runs nothing.
func NewAllowances() *Allowances {
	return &Allowances{caps: map[string]amounts{}, allowances: map[string]allowance{}, used: sums{}, longRunning: sums{}, loweredVersion: map[string]int{}}
}

// Configure sets the customers of the configuration in force. It ignores versions older than the
// newest.
func (a *Allowances) Configure(version int, customers []damsonwinch.Customer) {
	if version < a.configVersion {
		return
	}
	before := a.caps
	a.configVersion, a.caps = version, make(map[string]amounts, len(customers))
	for _, c := range customers {
		newCap := amountsOf(c.Cap)
		a.caps[c.Name] = newCap
		earlier, known := before[c.Name]
		if !known {
			earlier, known = a.allowances[c.Name].cap, a.allowances[c.Name] != allowance{}
		}
		if known && newCap.isLowerThan(earlier) && a.allocatedVersion < version {
			a.loweredVersion[c.Name] = version
		}
	}
}

// AddRun counts a run of a customer's task, which needs the given resources. longRunning says that
// the run goes on until it is stopped.
func (a *Allowances) AddRun(customer string, need damsonwinch.Resources, longRunning bool) {
	a.used.add(customer, amountsOf(need))
	if longRunning {
		a.longRunning.add(customer, amountsOf(need))
	}
}

// RemoveRun undoes AddRun, with the same arguments, once the run is known to have ended.
func (a *Allowances) RemoveRun(customer string, need damsonwinch.Resources, longRunning bool) {
	a.used.add(customer, amounts{}.minus(amountsOf(need)))
	if longRunning {
		a.longRunning.add(customer, amounts{}.minus(amountsOf(need)))
	}
}

// sums holds amounts by customer.
type sums map[string]amounts

// add adds to the amounts of a customer; it ignores work that belongs to no customer.
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

// capOf returns a customer's cap by the newer of the cell's and the allocator's configuration, and
// whether the customer is known. A cap that was removed applies until the allocator reports the
// removal: by then the allocator has recorded that nobody tracks what the customer has running.
func (a *Allowances) capOf(customer string) (amounts, bool) {
	current, allocated := a.allowances[customer]
	own, known := a.caps[customer]
	if allocated && (a.allocatedVersion >= a.configVersion || !known) {
		return current.cap, true
	}
	for kind := range own {
		if allocated && own[kind] == 0 {
			own[kind] = current.cap[kind]
		}
	}
	return own, known
}

// capLowered reports whether a customer's cap is known to have been lowered since its allowance was
// allocated.
func (a *Allowances) capLowered(customer string) bool {
	return a.loweredVersion[customer] > a.allocatedVersion
}

// Allows reports whether a run of a customer may start now. A run that needs more than the whole
// cap may start if nothing else of the customer runs anywhere: the allowance is the whole cap then.
func (a *Allowances) Allows(customer string, need damsonwinch.Resources) bool {
	if customer == "" {
		return true
	}
	customerCap, known := a.capOf(customer)
	if !known || a.capLowered(customer) {
		return known && customerCap.isUnlimited()
	}
	wanted, used, amount := amountsOf(need), a.used[customer], a.allowances[customer].amount
	for kind := range customerCap {
		if customerCap[kind] > 0 && used[kind]+min(wanted[kind], customerCap[kind]) > amount[kind] {
			return false
		}
	}
	return true
}

// CanEverFit reports whether a run of a customer can start once only the customer's long-running
// runs are left in the cell.
func (a *Allowances) CanEverFit(customer string, need damsonwinch.Resources) bool {
	customerCap, _ := a.capOf(customer)
	wanted, longRunning := amountsOf(need), a.longRunning[customer]
	for kind := range customerCap {
		if customerCap[kind] > 0 && min(wanted[kind], customerCap[kind])+longRunning[kind] > customerCap[kind] {
			return false
		}
	}
	return true
}

// RemainingCPU returns how much of wantedCPU fits into a customer's allowance beside what runs. Both are
// in thousandths of a core. The result is 0 for an unknown customer.
func (a *Allowances) RemainingCPU(customer string, wantedCPU int) int {
	customerCap, known := a.capOf(customer)
	switch {
	case customer == "", known && customerCap[cpu] == 0:
		return wantedCPU
	case !known, a.capLowered(customer):
		return 0
	}
	return max(0, min(wantedCPU, a.allowances[customer].amount[cpu]-a.used[customer][cpu]))
}

// ApplyUpdate applies an allowance update from the allocator and reports whether it must be
// recorded before it is confirmed. Otherwise a later owner of the cell could use an earlier, higher
// allowance. An owner that was replaced without knowing it can record nothing, so that it confirms
// nothing. An update for another owner of the cell, or one that a newer update has overtaken,
// changes nothing. token is the owner's fencing token.
func (a *Allowances) ApplyUpdate(token int, args wire.SyncArgs) bool {
	if args.CellToken != token || args.Token < a.allocatorToken || args.Token == a.allocatorToken && args.AllowanceNumber <= a.appliedNumber {
		return false
	}
	if args.Token > a.allocatorToken {
		a.recordedNumber = 0
	}
	a.allocatorToken, a.appliedNumber, a.allocatedVersion = args.Token, args.AllowanceNumber, args.ConfigVersion
	for customer, version := range a.loweredVersion {
		if version <= a.allocatedVersion {
			delete(a.loweredVersion, customer)
		}
	}
	for _, row := range args.Allowances {
		current := allowance{amount: fromWire(row.Amount), cap: fromWire(row.Cap)}
		a.allowances[row.Customer] = current
		if own, known := a.caps[row.Customer]; known && a.allocatedVersion < a.configVersion && own.isLowerThan(current.cap) {
			// The allocator has not read the lower cap yet.
			a.loweredVersion[row.Customer] = a.configVersion
		}
	}
	return len(args.Allowances) > 0
}

// Record returns the record of the allowances, to be written to the cell's stream for later owners,
// and the number of the newest update in it, to be passed to MarkRecorded.
func (a *Allowances) Record() (wire.AllowancesRecord, int) {
	record := wire.AllowancesRecord{ConfigVersion: a.allocatedVersion}
	for _, customer := range slices.Sorted(maps.Keys(a.allowances)) {
		current := a.allowances[customer]
		record.Allowances = append(record.Allowances, wire.AllowanceRow{Customer: customer, Amount: current.amount.wire(), Cap: current.cap.wire()})
	}
	return record, a.appliedNumber
}

// MarkRecorded notes that the updates of an allocator up to the given number are recorded in the
// cell's stream. It does nothing if a newer allocator has sent an update since.
func (a *Allowances) MarkRecorded(allocatorToken, number int) {
	if allocatorToken != a.allocatorToken {
		return
	}
	a.recordedNumber = max(a.recordedNumber, number)
}

// AllocatorToken returns the token of the newest allocator that has sent an update, 0 before the
// first.
func (a *Allowances) AllocatorToken() int {
	return a.allocatorToken
}

// Load restores the allowances from the record of an earlier owner.
func (a *Allowances) Load(record wire.AllowancesRecord) {
	a.allocatedVersion = record.ConfigVersion
	for _, row := range record.Allowances {
		a.allowances[row.Customer] = allowance{amount: fromWire(row.Amount), cap: fromWire(row.Cap)}
	}
}

// HasAny reports whether the cell has received or restored any allowance.
func (a *Allowances) HasAny() bool {
	return len(a.allowances) > 0
}

// Demand is the amount of resources that a customer's waiting tasks ask for. It counts only the
// tasks that could start now if there were capacity for them.
type Demand struct {
	// Total is what all these tasks ask for together.
	Total damsonwinch.Resources
	// Largest is the most that a single task asks for, for each kind of resource.
	Largest damsonwinch.Resources
}

// WithTasks returns the demand with count more tasks, each of which needs the given resources.
func (d Demand) WithTasks(need damsonwinch.Resources, count int) Demand {
	d.Total = d.Total.Plus(need.Times(count))
	d.Largest = damsonwinch.Resources{
		MilliCPU: max(d.Largest.MilliCPU, need.MilliCPU), MemoryMB: max(d.Largest.MemoryMB, need.MemoryMB), GPUs: max(d.Largest.GPUs, need.GPUs),
	}
	return d
}

// Report writes the number of the newest recorded update into a reply. For each customer that uses
// and wants nearly all of its allowance or more, it adds what the customer uses and wants. token is
// the owner's fencing token, and demands holds the demand of the customers with waiting tasks.
func (a *Allowances) Report(token int, demands map[string]Demand, reply *wire.SyncReply) {
	reply.Token, reply.AllowanceNumber, reply.AllotterToken = token, a.recordedNumber, a.allocatorToken
	customers := map[string]bool{}
	for customer := range a.used {
		customers[customer] = true
	}
	for customer := range demands {
		customers[customer] = true
	}
	for _, customer := range slices.Sorted(maps.Keys(customers)) {
		customerCap, known := a.capOf(customer)
		used, wanted := a.used[customer], amountsOf(demands[customer].Total)
		if customer == "" || known && customerCap.isUnlimited() || !a.needsMore(customer, customerCap, used, wanted) {
			continue
		}
		reply.Customers = append(reply.Customers, wire.CustomerReport{
			Customer: customer, Used: used.wire(), Lasting: a.longRunning[customer].wire(), Wanted: wanted.wire(), Largest: amountsOf(demands[customer].Largest).wire(),
		})
	}
}

// needsMore reports whether what a customer uses and wants together is above reportThresholdPercent
// of its allowance. It is also true for a customer without an allowance.
func (a *Allowances) needsMore(customer string, customerCap, used, wanted amounts) bool {
	current, allocated := a.allowances[customer]
	if !allocated {
		return true
	}
	for kind := range customerCap {
		if customerCap[kind] > 0 && (used[kind]+wanted[kind])*100 > current.amount[kind]*reportThresholdPercent {
			return true
		}
	}
	return false
}

// Explain returns a text for operators on why a customer's most urgent task waits: how much the
// customer has running in the cell and how much it may have.
func (a *Allowances) Explain(customer string) string {
	current, allocated := a.allowances[customer]
	switch {
	case !allocated:
		return "may have nothing running here until the planner has dealt its cap"
	case a.capLowered(customer):
		return "may begin nothing here until the planner has dealt its lowered cap"
	}
	customerCap, _ := a.capOf(customer)
	var kinds []string
	for kind, unit := range [...]string{cpu: "thousandths of a core", memory: "MB", gpu: "GPUs"} {
		if customerCap[kind] > 0 {
			kinds = append(kinds, fmt.Sprintf("%d of %d %s", a.used[customer][kind], current.amount[kind], unit))
		}
	}
	return "has " + strings.Join(kinds, ", ") + " running here that it may have; its most urgent task needs more than is left"
}
