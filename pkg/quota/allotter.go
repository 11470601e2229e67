package quota

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// Allocator deals the caps of customers to the cells. What it has recorded is at least what each
// cell may have running, at any moment and for whoever comes after it.
type Allocator struct {
	// version is that of the configuration in force.
	version   int
	customers map[string]*account
	// due are the customers of whom something has changed by which there may be something to deal.
	due   map[string]bool
	cells []string
	// goneAt is since when a cell is none any more.
	goneAt   map[string]time.Time
	contacts map[string]*contact
}

// account is what is known of a customer.
type account struct {
	cap amounts
	// known says that the customer is in the configuration in force, and counted that its limits
	// hold all that cells may have running: a customer of whom nothing is recorded may have been
	// free of any cap until now.
	known   bool
	counted bool
	// limits are the most that each cell may have running, and targets what the cells are told,
	// which is never more.
	limits  map[string]amounts
	targets map[string]amounts
	// reports are what the cells that are pressed have said last.
	reports map[string]report
	// large is the task in whose cell room is made, whatever that leaves the others, and turns tells
	// of the cells that have had one, the greater the later.
	large largeTask
	turns map[string]int
	turn  int
	// uncounted says that it is to be recorded that nobody keeps count of a kind.
	uncounted bool
	// retold holds the cells whose targets have been changed.
	retold map[string]bool
	// recording says that raised limits wait for their record; cells aren't told anything of the
	// customer meanwhile.
	recording bool
	// unsettled are the cells that have been heard meanwhile, each with what it has running.
	unsettled map[string]amounts
}

type report struct {
	used    amounts
	lasting amounts
	wanted  amounts
	largest amounts
}

// NewAllocator returns an allotter that has dealt nothing.
func NewAllocator() *Allocator {
	return &Allocator{customers: map[string]*account{}, due: map[string]bool{}, goneAt: map[string]time.Time{}, contacts: map[string]*contact{}}
}

func (a *Allocator) accountOf(customer string) *account {
	known := a.customers[customer]
	if known == nil {
		known = &account{limits: map[string]amounts{}, targets: map[string]amounts{}, reports: map[string]report{}, retold: map[string]bool{}, turns: map[string]int{}, unsettled: map[string]amounts{}}
		a.customers[customer] = known
	}
	return known
}

// Load takes over what an earlier allotter has recorded of a customer. Cells that it names none
// for have never been given anything.
func (a *Allocator) Load(customer string, record wire.AllottedRecord) {
	known := a.accountOf(customer)
	known.cap, known.counted = fromWire(record.Cap), true
	for _, row := range record.Limits {
		known.limits[row.Cell], known.targets[row.Cell] = fromWire(row.Amount), fromWire(row.Amount)
	}
}

// Configure takes the customers of the configuration in force.
func (a *Allocator) Configure(version int, customers []damsonwinch.Customer) {
	if version < a.version {
		return
	}
	a.version = version
	gone := map[string]bool{}
	for customer := range a.customers {
		gone[customer] = true
	}
	for _, c := range customers {
		delete(gone, c.Name)
		known, limit := a.accountOf(c.Name), amountsOf(c.Cap)
		for kind := range limit {
			if (known.cap[kind] == 0) != (limit[kind] == 0) {
				known.forget(kind, a.cells)
				// Cells are told that there is no cap any more once it is recorded that nobody
				// keeps count.
				known.uncounted = known.uncounted || limit[kind] == 0
			}
		}
		if known.cap != limit || !known.known {
			known.cap = limit
			a.changed(c.Name)
		}
		known.known = true
		known.clamp()
	}
	for customer := range gone {
		a.customers[customer].known = false
	}
}

// clamp takes back what cells are told where that isn't under the cap any more: the whole cap lets
// a cell start a task that is larger, and must be dealt as such.
func (c *account) clamp() {
	for cell, target := range c.targets {
		for kind, limit := range c.cap {
			if limit > 0 && target[kind] >= limit && (target[kind] > limit || c.limits[cell][kind] != unknown) {
				target[kind] = 0
			}
		}
		c.targets[cell] = target
	}
}

// forget notes that nobody knows how much of a kind the cells have running.
func (c *account) forget(kind int, cells []string) {
	for _, cell := range cells {
		limit := c.limits[cell]
		limit[kind] = unknown
		c.limits[cell] = limit
	}
}

// SetCells takes the cells that there are. Of one that is new all is known: it has been given
// nothing. But at first nothing is, of a customer of whom nothing is recorded.
func (a *Allocator) SetCells(now time.Time, cells []string) {
	first := len(a.cells) == 0
	for _, cell := range a.cells {
		if !slices.Contains(cells, cell) {
			a.goneAt[cell] = now
		}
	}
	a.cells = slices.Clone(cells)
	slices.Sort(a.cells)
	for _, cell := range a.cells {
		delete(a.goneAt, cell)
	}
	for customer, account := range a.customers {
		for kind, limit := range account.cap {
			if first && !account.counted && limit > 0 {
				account.forget(kind, a.cells)
			}
		}
		account.counted = account.counted || len(a.cells) > 0
		a.due[customer] = true
	}
}

// forgetCells drops the limits of cells that have been gone for so long that nothing can run there
// any more.
func (a *Allocator) forgetCells(now time.Time) {
	for cell, since := range a.goneAt {
		if now.Sub(since) < goneTime {
			continue
		}
		delete(a.goneAt, cell)
		for customer, account := range a.customers {
			delete(account.limits, cell)
			delete(account.targets, cell)
			delete(account.reports, cell)
			delete(account.unsettled, cell)
			a.due[customer] = true
		}
	}
}

// goneTime is when the last run of a cell that is none any more is over: nobody looks after it,
// and the longest lease of the users' endpoints is 10 s.
const goneTime = 40 * time.Second

// HandleReply takes what the owner of a cell says.
func (a *Allocator) HandleReply(cell string, token int, reply wire.SyncReply) {
	if !reply.Known || reply.Token == 0 {
		return
	}
	c := a.contactOf(cell, reply.Token)
	if reply.Token < c.token || len(reply.Customers) == 0 && len(c.told) == 0 && len(c.pressed) == 0 {
		return
	}
	confirmed := reply.AllowanceNumber
	if reply.AllotterToken != token {
		// It hasn't heard this allotter yet.
		confirmed = 0
	}
	if confirmed < c.confirmed {
		// An earlier reply, which has been overtaken: what has begun since isn't in it.
		return
	}
	c.confirmed = confirmed
	rows := make(map[string]report, len(reply.Customers))
	for _, row := range reply.Customers {
		rows[row.Customer] = report{used: fromWire(row.Used), lasting: fromWire(row.Lasting), wanted: fromWire(row.Wanted), largest: fromWire(row.Largest)}
	}
	for customer := range c.concerned(rows) {
		known := a.customers[customer]
		if known == nil {
			continue
		}
		c.confirm(customer, confirmed)
		row, pressed := rows[customer]
		if pressed {
			known.reports[cell] = row
		} else {
			delete(known.reports, cell)
		}
		known.settle(cell, c, customer, row.used)
		a.due[customer] = true
	}
	clear(c.pressed)
	for customer := range rows {
		c.pressed[customer] = true
	}
}

// changed notes that there may be something new to tell all cells of a customer.
func (a *Allocator) changed(customer string) {
	a.due[customer] = true
	for _, c := range a.contacts {
		c.unsaid[customer] = true
	}
}

// tellRetold notes that there is something new to tell the cells whose targets have been changed.
func (a *Allocator) tellRetold(customer string) {
	known := a.customers[customer]
	for cell := range known.retold {
		if c := a.contacts[cell]; c != nil {
			c.unsaid[customer] = true
		}
	}
	clear(known.retold)
}

// settle lowers a cell's limit to what its owner goes by: what it has confirmed, what it may have
// been told since, or what it still runs beyond that.
func (c *account) settle(cell string, at *contact, customer string, used amounts) {
	heard, known := at.heard[customer]
	if c.recording {
		c.unsettled[cell] = used
		return
	}
	if !known {
		return
	}
	limit := amounts{}
	for _, goesBy := range append([]word{heard, {amount: c.targets[cell], cap: c.cap}}, at.told[customer]...) {
		for kind := range limit {
			limit[kind] = max(limit[kind], goesBy.amount[kind], used[kind])
			if goesBy.cap[kind] > 0 && goesBy.amount[kind] >= goesBy.cap[kind] {
				limit[kind] = unknown
			}
		}
	}
	c.limits[cell] = limit
}

// Record returns the record of a customer's limits.
func (a *Allocator) Record(customer string) wire.AllottedRecord {
	known := a.customers[customer]
	record := wire.AllottedRecord{Cap: known.cap.wire()}
	for _, cell := range slices.Sorted(maps.Keys(known.limits)) {
		record.Limits = append(record.Limits, wire.CellLimit{Cell: cell, Amount: known.limits[cell].wire()})
	}
	return record
}

// MarkRecorded takes note that the raised limits of customers are recorded: cells may be told.
func (a *Allocator) MarkRecorded(customers []string) {
	for _, customer := range customers {
		known := a.customers[customer]
		known.recording = false
		for cell, used := range known.unsettled {
			known.settle(cell, a.contacts[cell], customer, used)
		}
		clear(known.unsettled)
		a.due[customer] = true
	}
}

// Summary tells of the customers of whom cells want more than they have.
func (a *Allocator) Summary() []string {
	var lines []string
	for _, customer := range slices.Sorted(maps.Keys(a.customers)) {
		known := a.customers[customer]
		if len(known.reports) == 0 {
			continue
		}
		line := fmt.Sprintf("%s: cap %s, dealt %s", customer, known.cap, amounts{cpu: known.sum(cpu), memory: known.sum(memory), gpu: known.sum(gpu)})
		for _, cell := range slices.Sorted(maps.Keys(known.reports)) {
			row := known.reports[cell]
			line += fmt.Sprintf("; %s uses %s of %s, wants %s more, %s at once", cell, row.used, known.targets[cell], row.wanted, row.largest)
		}
		if known.recording {
			line += "; its record is awaited"
		}
		lines = append(lines, line)
	}
	return lines
}
