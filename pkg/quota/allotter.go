package quota

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// Allocator allocates the caps of customers to the cells as allowances. At any moment the limits
// that it has recorded are at least what each cell may have running, so that a later allocator can
// go by them.
type Allocator struct {
	// configVersion is the version of the configuration in force.
	configVersion int
	customers     map[string]*customerState
	// dirty holds the customers that have changed since the last allocation for them.
	dirty map[string]bool
	cells []string
	// removedAt holds the cells that no longer exist, each with the time at which it was removed.
	removedAt map[string]time.Time
	sessions  map[string]*session
}

// customerState holds what the allocator knows of a customer.
type customerState struct {
	cap amounts
	// configured is set while the customer is in the configuration in force. tracked is set once
	// limits cover all that cells may have running: a customer without a record may have had no cap
	// until now.
	configured bool
	tracked    bool
	// limits hold the most that each cell may have running, and targets the allowances to send to
	// the cells. A target is never above its limit.
	limits  map[string]amounts
	targets map[string]amounts
	// reports hold the newest reports of the cells that need all or nearly all of their allowance,
	// or more. A cell without a report needs no more than it has.
	reports map[string]report
	// reserved is the large task for which capacity is reserved in its cell, whatever that leaves
	// for the others. lastTurns holds the cells that have had such a reservation; the highest
	// number is the latest.
	reserved  reservation
	lastTurns map[string]int
	turn      int
	// mustRecordUnknown is set when a kind of the cap was removed: that its limits are unknown must
	// be recorded before cells learn of it.
	mustRecordUnknown bool
	// changedTargets holds the cells whose targets have changed since they were last queued for
	// sending.
	changedTargets map[string]bool
	// recordPending is set while raised limits wait to be recorded. Cells are sent nothing about
	// the customer meanwhile.
	recordPending bool
	// deferredUsed holds the cells that have replied while a record was pending, each with what it
	// has running. Their limits are updated once the record is there.
	deferredUsed map[string]amounts
}

// report is what the owner of a cell has reported on a customer.
type report struct {
	used        amounts
	longRunning amounts
	wanted      amounts
	largest     amounts
}

// NewAllocator returns an allocator that has allocated nothing.
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

// Load restores the limits of a customer that an earlier allocator has recorded. Cells that are not
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
		state, limit := a.stateOf(c.Name), amountsOf(c.Cap)
		for kind := range limit {
			if (state.cap[kind] == 0) != (limit[kind] == 0) {
				state.setUnknown(kind, a.cells)
				// The unknown limits are recorded before cells are told that there is no cap any
				// more: from then on nobody tracks what they have running.
				state.mustRecordUnknown = state.mustRecordUnknown || limit[kind] == 0
			}
		}
		if state.cap != limit || !state.configured {
			state.cap = limit
			a.markChanged(c.Name)
		}
		state.configured = true
		state.resetTargetsAtCap()
	}
	for customer := range gone {
		a.customers[customer].configured = false
	}
}

// resetTargetsAtCap sets to 0 the targets that are not below the cap any more. A cell whose
// allowance is the whole cap may start a task that is larger than the cap, so such a target stays
// only where the whole cap was allocated on purpose, with an unknown limit.
func (c *customerState) resetTargetsAtCap() {
	for cell, target := range c.targets {
		for kind, limit := range c.cap {
			if limit > 0 && target[kind] >= limit && (target[kind] > limit || c.limits[cell][kind] != unknown) {
				target[kind] = 0
			}
		}
		c.targets[cell] = target
	}
}

// setUnknown marks it as unknown how much of a kind the cells have running.
func (c *customerState) setUnknown(kind int, cells []string) {
	for _, cell := range cells {
		limit := c.limits[cell]
		limit[kind] = unknown
		c.limits[cell] = limit
	}
}

// SetCells sets the cells that exist. The limit of a cell that is added later is 0, since it has
// been given nothing. At the first call the limits of a customer without a record are unknown in
// all cells.
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
		for kind, limit := range state.cap {
			if first && !state.tracked && limit > 0 {
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

// removedCellTime is how long after the removal of a cell its last run may go on. Nobody renews its
// leases, and the longest lease of the users' endpoints is 10 s.
const removedCellTime = 40 * time.Second

// HandleReply processes the reply of a cell's owner. token is the allocator's own. Replies of
// earlier owners are ignored, and so are those that a newer reply has overtaken.
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

// queueChangedTargets notes that there is something new to send to the cells whose targets have
// changed.
func (a *Allocator) queueChangedTargets(customer string) {
	state := a.customers[customer]
	for cell := range state.changedTargets {
		if s := a.sessions[cell]; s != nil {
			s.unsent[customer] = true
		}
	}
	clear(state.changedTargets)
}

// updateLimit sets a cell's limit to the most that its owner may go by: the allowance that it has
// confirmed, those that it may have received since, the target, or what still runs there beyond
// these. A limit is unknown where one of these allowances is the whole cap, since a task larger
// than the cap may run then.
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
	for _, known := range append([]sentAllowance{confirmed, {amount: c.targets[cell], cap: c.cap}}, s.unconfirmed[customer]...) {
		for kind := range limit {
			limit[kind] = max(limit[kind], known.amount[kind], used[kind])
			if known.cap[kind] > 0 && known.amount[kind] >= known.cap[kind] {
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

// MarkRecorded notes that the raised limits of customers are recorded: cells may be sent their
// allowances.
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

// Summary returns a line for each customer that some cell has reported. It shows the cap, the sum
// of the limits, and for each of these cells what it uses, its target, what it wants in addition,
// and what its largest waiting task needs.
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
