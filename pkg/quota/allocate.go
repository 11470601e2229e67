package quota

import (
	"maps"
	"slices"
	"time"
)

// Rules of allocation. The equal part of a cell is the cap divided by the number of cells.
const (
	// floorDivisor divides the equal part. A cell without a report keeps the result while others
	// need more than there is, so that its next jobs needn't wait for a higher allowance.
	floorDivisor = 4
	// minStepDivisor divides the equal part. The result is the least by which a share is raised.
	minStepDivisor = 20
	// headroomPercent is how much more than it needs a cell with a report is given, if there is
	// enough: the cell may need more by the time the update reaches it.
	headroomPercent = 50
)

// Allocate divides the caps of the customers that have changed among the cells. It returns the
// customers whose limits have been raised or have become unknown. The caller must write their records
// (see Record) and then call MarkRecorded; until then cells are told nothing about these customers.
func (a *Allocator) Allocate(now time.Time) []string {
	a.dropRemovedCells(now)
	var raised []string
	for _, customer := range slices.Sorted(maps.Keys(a.dirty)) {
		state := a.customers[customer]
		if state.recordPending || !state.configured || len(a.cells) == 0 {
			continue
		}
		delete(a.dirty, customer)
		state.endReservation(now)
		changed := state.mustRecordUnknown
		state.mustRecordUnknown = false
		for kind, capAmount := range state.cap {
			if capAmount > 0 {
				changed = state.allocate(kind, a.cells) || changed
			}
		}
		a.queueChangedTargets(customer)
		if changed {
			state.recordPending = true
			raised = append(raised, customer)
		}
	}
	return raised
}

// allocate divides the cap on a kind of resource and reports whether it has raised a limit.
func (c *customerState) allocate(kind int, cells []string) bool {
	free := c.cap[kind] - c.totalLimit(kind)
	if free < 0 {
		if c.oneCellHoldsCap(kind, cells) {
			return false
		}
		// The cap was lowered, or it isn't known what runs. Nothing starts anywhere until what
		// still runs fits under the cap.
		for _, cell := range cells {
			c.lowerTarget(kind, cell, 0)
		}
		return false
	}
	shares := c.desiredShares(kind, cells)
	shortfall := shares.shortfall()
	if shortfall == 0 {
		shares = c.topUpShares(kind, cells)
		if shortfall = shares.shortfall(); shortfall == 0 {
			return false
		}
	} else if free < shortfall {
		c.reclaim(kind, shares, shortfall-free)
	}
	return c.raiseLimits(kind, shares, min(free, shortfall), shortfall)
}

// totalLimit returns what all cells together may have running of a kind of resource, removed cells
// included. The sum is at most unknown.
func (c *customerState) totalLimit(kind int) int {
	sum := 0
	for _, limit := range c.limits {
		sum = min(unknown, sum+limit[kind])
	}
	return sum
}

// oneCellHoldsCap reports whether one cell has the whole cap and the others nothing, for a good
// reason: a task larger than the cap is to run there, or no other cell wants anything.
func (c *customerState) oneCellHoldsCap(kind int, cells []string) bool {
	holder, othersWant := "", false
	for _, cell := range cells {
		switch {
		case c.targets[cell][kind] >= c.cap[kind]:
			holder = cell
		case c.limits[cell][kind] > 0:
			return false
		default:
			row, reported := c.reports[cell]
			othersWant = othersWant || reported && row.wanted[kind] > 0
		}
	}
	return holder != "" && (holder == c.reserved.cell || !othersWant)
}

// share is how much of one kind of resource a cell has (limit), how much it should have (want), and
// how much it keeps at least while others want more than there is (floor).
type share struct {
	cell  string
	limit int
	want  int
	floor int
	// minStep is the least raise for which it is worth sending the cell an update.
	minStep int
}

// shortfall returns how much the cell's limit is below what it should have, 0 if that is less than
// minStep.
func (s share) shortfall() int {
	if lack := s.want - s.limit; lack > 0 && lack >= s.minStep {
		return lack
	}
	return 0
}

// shares holds the shares of cells in one kind of resource.
type shares []share

// shortfall returns how much all cells together lack.
func (s shares) shortfall() int {
	sum := 0
	for _, one := range s {
		sum += one.shortfall()
	}
	return sum
}

// topUpShares returns the shares for a kind of resource of which no cell needs more than it has: cells
// that have less than half of their equal part should have all of it, as far as that is free.
func (c *customerState) topUpShares(kind int, cells []string) shares {
	equalPart := c.cap[kind] / len(cells)
	var list shares
	for _, cell := range cells {
		if limit := c.limits[cell][kind]; limit < equalPart/2 {
			list = append(list, share{cell: cell, limit: limit, want: equalPart})
		}
	}
	return list
}

// desiredShares returns the share that each cell should have: what it uses and wants if it has
// reported, else what it has, up to its equal part. The shares are cut if they exceed the cap together.
func (c *customerState) desiredShares(kind int, cells []string) shares {
	equalPart := c.cap[kind] / len(cells)
	floor := equalPart / floorDivisor
	if floor < c.largestTask(kind) {
		// The largest waiting task would not fit into the floor.
		floor = 0
	}
	var list shares
	for _, cell := range cells {
		limit := c.limits[cell][kind]
		s := share{cell: cell, limit: limit, want: min(equalPart, limit), floor: min(floor, limit), minStep: equalPart / minStepDivisor}
		list = append(list, s)
	}
	if !c.meetDemand(kind, list, equalPart) {
		c.cutToCap(kind, list, equalPart)
	}
	return list
}

// largestTask returns how much the largest waiting task of all cells asks for.
func (c *customerState) largestTask(kind int) int {
	largest := 0
	for _, row := range c.reports {
		largest = max(largest, row.largest[kind])
	}
	return largest
}

// meetDemand sets the shares of cells with a report to what they use and want, with headroom if there
// is enough. It reports whether there is enough for what they use and want.
func (c *customerState) meetDemand(kind int, list shares, equalPart int) bool {
	left, wanted := c.cap[kind], 0
	for i := range list {
		s := &list[i]
		row, reported := c.reports[s.cell]
		if !reported {
			left -= s.floor
			continue
		}
		s.want = row.used[kind] + row.wanted[kind]
		s.floor = min(s.want, s.limit)
		left -= s.want
		wanted += s.want
	}
	if left < 0 {
		return false
	}
	for i := range list {
		s := &list[i]
		if _, reported := c.reports[s.cell]; reported && wanted > 0 {
			s.want += min(s.want*headroomPercent/100, s.want*left/wanted)
		}
	}
	return true
}

// cutToCap cuts the shares of all cells to the cap. Cells that want no more than their equal part
// get what they want, and the others get parts of the rest in proportion. If the part of some cell
// is too small for its largest waiting task, one such cell gets a reservation first.
func (c *customerState) cutToCap(kind int, list shares, equalPart int) {
	proportional := c.cutProportionally(kind, list, equalPart, reservedShare{})
	c.chooseReservation(kind, proportional)
	for _, s := range proportional {
		if s.cell == c.reserved.cell && c.reports[s.cell].neededForLargest(kind, c.cap[kind]) > s.want {
			proportional = c.cutProportionally(kind, list, equalPart, reservedShare{cell: s.cell, amount: c.reports[s.cell].neededForLargest(kind, c.cap[kind])})
			break
		}
	}
	c.roundToWholeTasks(kind, proportional)
	copy(list, proportional)
}

// reservedShare is what a cell gets for its largest waiting task before the other cells get their
// shares. The zero value stands for no such cell.
type reservedShare struct {
	cell   string
	amount int
}

// cutProportionally returns a copy of the shares in which the reserved share has its amount and the
// others are cut to what that leaves of the cap.
func (c *customerState) cutProportionally(kind int, list shares, equalPart int, reserved reservedShare) shares {
	cut := slices.Clone(list)
	left, atMostEqual, aboveEqual := c.cap[kind], 0, 0
	for i := range cut {
		s := &cut[i]
		_, reported := c.reports[s.cell]
		switch {
		case s.cell == reserved.cell:
			s.want, s.floor, s.minStep = reserved.amount, reserved.amount, 0
			left -= s.want
		case s.want > equalPart:
			aboveEqual += s.want
		case reported:
			atMostEqual += s.want
		default:
			s.want = s.floor
			atMostEqual += s.want
		}
	}
	for i := range cut {
		s := &cut[i]
		switch {
		case s.cell == reserved.cell:
			continue
		case s.want > equalPart:
			s.want = s.want * max(0, left-atMostEqual) / aboveEqual
		case atMostEqual > left:
			s.want = s.want * left / atMostEqual
		}
		s.floor = min(s.floor, s.want)
	}
	return cut
}

// reservation is capacity that is reserved in a cell for its largest waiting task.
type reservation struct {
	cell string
	kind int
	// report is the cell's report when the reservation was made.
	report report
	// fitsSince is when the cell's target became large enough to start the task, zero before that.
	fitsSince time.Time
}

// reservationTime is how long a reservation is kept after the cell could have started the task,
// since its boxes may have no capacity for it. The report that the task has started takes two or
// three calls.
const reservationTime = 500 * time.Millisecond

// neededForLargest returns how much of a kind of resource the cell needs to start its largest
// waiting task beside its long-running tasks. The result is at most maxAmount, which is the cap: a
// task larger than the cap needs the whole cap.
func (r report) neededForLargest(kind, maxAmount int) int {
	return min(maxAmount, r.longRunning[kind]+r.largest[kind])
}

// chooseReservation reserves capacity in a cell whose share is too small for its largest waiting
// task, unless there is a reservation already. It chooses the cell whose last reservation is longest
// ago; of cells that have had none, it chooses the one with the largest task.
func (c *customerState) chooseReservation(kind int, list shares) {
	if c.reserved.cell != "" {
		return
	}
	for _, s := range list {
		row, reported := c.reports[s.cell]
		if !reported || row.largest[kind] == 0 || row.neededForLargest(kind, c.cap[kind]) <= s.want {
			continue
		}
		turn, chosenTurn := c.lastTurns[s.cell], c.lastTurns[c.reserved.cell]
		if c.reserved.cell == "" || turn < chosenTurn || turn == chosenTurn && row.largest[kind] > c.reserved.report.largest[kind] {
			c.reserved = reservation{cell: s.cell, kind: kind, report: row}
		}
	}
}

// endReservation ends the reservation once its task has started or could have started for
// reservationTime, the cell no longer reports the customer, or the cap is removed.
func (c *customerState) endReservation(now time.Time) {
	if c.reserved.cell == "" {
		return
	}
	kind, before := c.reserved.kind, &c.reserved.report
	current, reported := c.reports[c.reserved.cell]
	// Runs that were counted when the reservation was made may have ended since.
	before.used[kind] = min(before.used[kind], current.used[kind])
	started := current.largest[kind] < before.largest[kind] || current.used[kind] >= before.used[kind]+before.largest[kind]
	switch fits := c.targets[c.reserved.cell][kind] >= min(c.cap[kind], current.used[kind]+before.largest[kind]); {
	case !fits:
		c.reserved.fitsSince = time.Time{}
	case c.reserved.fitsSince.IsZero():
		c.reserved.fitsSince = now
	}
	expired := !c.reserved.fitsSince.IsZero() && now.Sub(c.reserved.fitsSince) >= reservationTime
	if !reported || started || expired || c.cap[kind] == 0 {
		c.turn++
		c.lastTurns[c.reserved.cell] = c.turn
		c.reserved = reservation{}
	}
}

// reclaim lowers the targets of cells that get nothing more, so that the given amount becomes free
// for others. It first takes, in proportion, what targets have beyond the wanted shares. If that isn't
// enough, it takes what they have beyond the floors.
func (c *customerState) reclaim(kind int, list shares, amount int) {
	for _, keep := range []func(s share) int{
		func(s share) int { return max(s.want, s.floor) },
		func(s share) int { return s.floor },
	} {
		surplus := 0
		for _, s := range list {
			surplus += c.surplus(kind, s, keep(s))
		}
		if surplus == 0 {
			continue
		}
		part := min(1, float64(amount)/float64(surplus))
		for _, s := range list {
			if over := c.surplus(kind, s, keep(s)); over > 0 {
				c.lowerTarget(kind, s.cell, c.targets[s.cell][kind]-int(part*float64(over)+0.5))
			}
		}
		if part < 1 {
			return
		}
	}
}

// surplus returns by how much a cell's target is above the kept amount, 0 for a cell that gets more.
func (c *customerState) surplus(kind int, s share, kept int) int {
	if s.shortfall() > 0 {
		return 0
	}
	return max(0, c.targets[s.cell][kind]-kept)
}

// lowerTarget lowers a cell's target to an amount, or to 0 if that is negative. It never raises it.
func (c *customerState) lowerTarget(kind int, cell string, amount int) {
	target := c.targets[cell]
	if lower := max(0, amount); lower < target[kind] {
		target[kind] = lower
		c.targets[cell], c.changedTargets[cell] = target, true
	}
}

// raiseLimits gives the free amount to the cells in proportion to their shortfalls, whose sum is
// shortfall. It raises limits and targets and reports whether any cell got something.
func (c *customerState) raiseLimits(kind int, list shares, free, shortfall int) bool {
	raised := false
	for _, s := range list {
		// Rounded down, so that the parts are no more than the whole.
		more := s.shortfall() * free / max(1, shortfall)
		if more <= 0 {
			continue
		}
		limit, target := c.limits[s.cell], c.targets[s.cell]
		limit[kind] += more
		target[kind] = limit[kind]
		if target[kind] >= c.cap[kind] {
			// A task that is larger than the cap may start there.
			limit[kind] = unknown
		}
		c.limits[s.cell], c.targets[s.cell] = limit, target
		c.changedTargets[s.cell], raised = true, true
	}
	return raised
}
