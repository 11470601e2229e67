package quota

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// Allocator allocates the caps of customers to the cells as allowances. At any moment the recorded
// limit of each cell is at least what the cell may have running, so that a later allocator can rely
// on the record.
type Allocator struct {
	// configVersion is the version of the configuration in force.
	configVersion int
	customers     map[string]*customerState
	// dirty holds the customers for which something has changed since the last allocation, so that
	// there may be something to allocate.
	dirty map[string]bool
	cells []string // The names of the existing cells, in order.
	// removedAt holds the cells that no longer exist, each with the time at which it was removed.
	removedAt map[string]time.Time
	sessions  map[string]*session // By the name of the cell.
}

// customerState holds what the allocator knows of a customer.
type customerState struct {
	cap amounts
	// configured is set while the customer is in the configuration in force. tracked is set once
	// limits cover all that cells may have running: a customer without a record may have had no cap
	// until now.
	configured bool
	tracked    bool
	// limits holds the most that each cell may have running, and targets the allowances to send to
	// the cells. A target is never above its limit.
	limits  map[string]amounts
	targets map[string]amounts
	// reports holds the newest reports of the cells that need all or nearly all of their allowance,
	// or more. A cell without a report needs no more than it has.
	reports map[string]report
	// reserved is the capacity that is reserved in a cell for a large task, whatever that leaves
	// for the other cells. Reservations are numbered: turn is the number of the last one that has
	// ended, and lastTurns holds the number of each cell's last one.
	reserved  reservation
	lastTurns map[string]int
	turn      int
	// mustRecordUnknown is set when the cap on a kind of resource was removed. The limits of that
	// kind must be recorded as unknown before cells are told that there is no cap any more.
	mustRecordUnknown bool
	// changedTargets holds the cells whose targets have changed since they were last queued for
	// sending.
	changedTargets map[string]bool
	// recordPending is set while changed limits wait to be recorded. Cells are sent nothing about
	// the customer meanwhile.
	recordPending bool
	// deferredUsed holds the cells that have replied while a record was pending, each with what it
	// has running. Their limits are updated once the limits are recorded.
	deferredUsed map[string]amounts
}

// report is what the owner of a cell has reported on a customer.
type report struct {
	used        amounts // What runs.
	longRunning amounts // The part of used that runs until it is stopped.
	wanted      amounts // What the waiting tasks ask for together, beside used.
	largest     amounts // The most that a single waiting task asks for, for each kind.
}

// NewAllocator returns an allocator without customers and cells.
func NewAllocator() *Allocator {
	return &Allocator{customers: map[string]*customerState{}, dirty: map[string]bool{}, removedAt: map[string]time.Time{}, sessions: map[string]*session{}}
}

// stateOf returns the state of a customer, which it creates if there is none.
func (a *Allocator) stateOf(customer string) *customerState {
	state := a.customers[customer]
	if state == nil {
		state = &customerState{limits: map[string]amounts{}, targets: map[string]amounts{}, reports: map[string]report{}, changedTargets: map[string]bool{}, lastTurns: map[string]int{}, deferredUsed: map[string]amounts{}}
		a.customers[customer] = state
	}
	return state
}

// Load restores the limits of a customer from the record of an earlier allocator. Cells that are not
// in the record have never been given an allowance.
func (a *Allocator) Load(customer string, record wire.AllottedRecord) {
	state := a.stateOf(customer)
	state.cap, state.tracked = fromWire(record.Cap), true
	for _, row := range record.Limits {
		state.limits[row.Cell], state.targets[row.Cell] = fromWire(row.Amount), fromWire(row.Amount)
	}
}

// Configure sets the customers of the configuration in force. It ignores versions older than the
// newest.
func (a *Allocator) Configure(version int, customers []damsonwinch.Customer) {
	if version < a.configVersion {
		return
	}
	a.configVersion = version
	gone := map[string]bool{}
	for customer := range a.customers {
		gone[customer] = true
	}
	for _, c := range customers {
		delete(gone, c.Name)
		state, newCap := a.stateOf(c.Name), amountsOf(c.Cap)
		for kind := range newCap {
			if (state.cap[kind] == 0) != (newCap[kind] == 0) {
				state.setUnknown(kind, a.cells)
				// The unknown limits are recorded before cells are told that there is no cap any
				// more: from then on nobody tracks what they have running.
				state.mustRecordUnknown = state.mustRecordUnknown || newCap[kind] == 0
			}
		}
		if state.cap != newCap || !state.configured {
			state.cap = newCap
			a.markChanged(c.Name)
		}
		state.configured = true
		state.resetTargetsAtCap()
	}
	for customer := range gone {
		a.customers[customer].configured = false
	}
}

// resetTargetsAtCap sets targets to 0 that are no longer below the cap. A cell whose allowance is
// the whole cap may start a task that is larger than the cap. So a target of the whole cap stays
// only if the cell's limit is unknown, which shows that it was allocated for that purpose.
func (c *customerState) resetTargetsAtCap() {
	for cell, target := range c.targets {
		for kind, capAmount := range c.cap {
			if capAmount > 0 && target[kind] >= capAmount && (target[kind] > capAmount || c.limits[cell][kind] != unknown) {
				target[kind] = 0
			}
		}
		c.targets[cell] = target
	}
}

// setUnknown sets the limits of cells for a kind of resource to unknown.
func (c *customerState) setUnknown(kind int, cells []string) {
	for _, cell := range cells {
		limit := c.limits[cell]
		limit[kind] = unknown
		c.limits[cell] = limit
	}
}

// SetCells sets the names of the cells that exist. At the first call the limits of a customer
// without a record become unknown in all cells. The limit of a cell that is added later is 0, since
// the cell has been given nothing.
func (a *Allocator) SetCells(now time.Time, cells []string) {
	first := len(a.cells) == 0
	for _, cell := range a.cells {
		if !slices.Contains(cells, cell) {
			a.removedAt[cell] = now
		}
	}
	a.cells = slices.Clone(cells)
	slices.Sort(a.cells)
	for _, cell := range a.cells {
		delete(a.removedAt, cell)
	}
	for customer, state := range a.customers {
		for kind, capAmount := range state.cap {
			if first && !state.tracked && capAmount > 0 {
				state.setUnknown(kind, a.cells)
			}
		}
		state.tracked = state.tracked || len(a.cells) > 0
		a.dirty[customer] = true
	}
}

// dropRemovedCells drops the limits of cells that were removed so long ago that nothing can run
// there any more.
func (a *Allocator) dropRemovedCells(now time.Time) {
	for cell, since := range a.removedAt {
		if now.Sub(since) < removedCellTime {
			continue
		}
		delete(a.removedAt, cell)
		for customer, state := range a.customers {
			delete(state.limits, cell)
			delete(state.targets, cell)
			delete(state.reports, cell)
			delete(state.deferredUsed, cell)
			a.dirty[customer] = true
		}
	}
}

// removedCellTime is the time after which the last run of a removed cell has certainly ended: nobody
// renews its leases, and the longest lease of the users' endpoints is 10 s.
const removedCellTime = 40 * time.Second

// HandleReply processes the reply of a cell's owner to a call of the allocator. token is the
// allocator's own fencing token. Replies of earlier owners are ignored, and so are those that a newer
// reply has overtaken.
func (a *Allocator) HandleReply(cell string, token int, reply wire.SyncReply) {
	if !reply.Known || reply.Token == 0 {
		return
	}
	s := a.sessionOf(cell, reply.Token)
	if reply.Token < s.ownerToken || len(reply.Customers) == 0 && len(s.unconfirmed) == 0 && len(s.reported) == 0 {
		return
	}
	confirmed := reply.AllowanceNumber
	if reply.AllotterToken != token {
		// The owner has received nothing from this allocator yet.
		confirmed = 0
	}
	if confirmed < s.confirmedNumber {
		// A newer reply has overtaken this one, which lacks the runs that have started since.
		return
	}
	s.confirmedNumber = confirmed
	rows := make(map[string]report, len(reply.Customers))
	for _, row := range reply.Customers {
		rows[row.Customer] = report{used: fromWire(row.Used), longRunning: fromWire(row.Lasting), wanted: fromWire(row.Wanted), largest: fromWire(row.Largest)}
	}
	for customer := range s.affectedCustomers(rows) {
		state := a.customers[customer]
		if state == nil {
			continue
		}
		s.confirm(customer, confirmed)
		row, reported := rows[customer]
		if reported {
			state.reports[cell] = row
		} else {
			delete(state.reports, cell)
		}
		state.updateLimit(cell, s, customer, row.used)
		a.dirty[customer] = true
	}
	clear(s.reported)
	for customer := range rows {
		s.reported[customer] = true
	}
}

// markChanged notes that there may be something new to send to all cells about a customer.
func (a *Allocator) markChanged(customer string) {
	a.dirty[customer] = true
	for _, s := range a.sessions {
		s.unsent[customer] = true
	}
}

// queueChangedTargets notes that there is something new to send about a customer to the cells whose
// targets have changed.
func (a *Allocator) queueChangedTargets(customer string) {
	state := a.customers[customer]
	for cell := range state.changedTargets {
		if s := a.sessions[cell]; s != nil {
			s.unsent[customer] = true
		}
	}
	clear(state.changedTargets)
}

// updateLimit sets a cell's limit to the highest of what still runs there, the allowance that its
// owner has confirmed, those that the owner may have received since, and the target. The limit is
// unknown if one of these allowances is the whole cap, since a task larger than the cap may run
// then.
func (c *customerState) updateLimit(cell string, s *session, customer string, used amounts) {
	confirmed, ok := s.confirmed[customer]
	if c.recordPending {
		c.deferredUsed[cell] = used
		return
	}
	if !ok {
		return
	}
	limit := amounts{}
	for _, candidate := range append([]sentAllowance{confirmed, {amount: c.targets[cell], cap: c.cap}}, s.unconfirmed[customer]...) {
		for kind := range limit {
			limit[kind] = max(limit[kind], candidate.amount[kind], used[kind])
			if candidate.cap[kind] > 0 && candidate.amount[kind] >= candidate.cap[kind] {
				limit[kind] = unknown
			}
		}
	}
	c.limits[cell] = limit
}

// Record returns the record of a customer's limits, to be written to the planner's stream.
func (a *Allocator) Record(customer string) wire.AllottedRecord {
	state := a.customers[customer]
	record := wire.AllottedRecord{Cap: state.cap.wire()}
	for _, cell := range slices.Sorted(maps.Keys(state.limits)) {
		record.Limits = append(record.Limits, wire.CellLimit{Cell: cell, Amount: state.limits[cell].wire()})
	}
	return record
}

// MarkRecorded notes that the limits of the customers that Allocate returned are recorded. From now
// on cells may be sent their allowances.
func (a *Allocator) MarkRecorded(customers []string) {
	for _, customer := range customers {
		state := a.customers[customer]
		state.recordPending = false
		for cell, used := range state.deferredUsed {
			state.updateLimit(cell, a.sessions[cell], customer, used)
		}
		clear(state.deferredUsed)
		a.dirty[customer] = true
	}
}

// Summary returns a line for operators on each customer that some cell has reported. It shows the
// cap, the sum of the limits, and for each of these cells what it uses, its target, what it wants in
// addition, and what its largest waiting task needs.
func (a *Allocator) Summary() []string {
	var lines []string
	for _, customer := range slices.Sorted(maps.Keys(a.customers)) {
		state := a.customers[customer]
		if len(state.reports) == 0 {
			continue
		}
		line := fmt.Sprintf("%s: cap %s, dealt %s", customer, state.cap, amounts{cpu: state.totalLimit(cpu), memory: state.totalLimit(memory), gpu: state.totalLimit(gpu)})
		for _, cell := range slices.Sorted(maps.Keys(state.reports)) {
			row := state.reports[cell]
			line += fmt.Sprintf("; %s uses %s of %s, wants %s more, %s at once", cell, row.used, state.targets[cell], row.wanted, row.largest)
		}
		if state.recordPending {
			line += "; its record is awaited"
		}
		lines = append(lines, line)
	}
	return lines
}
