package quota

import (
	"maps"
	"slices"
	"time"
)

// Rules of dealing.
const (
	// floorPart of a cell's equal part, one in so many, is left to a cell that isn't pressed: its
	// next jobs needn't wait until more has come.
	floorPart = 4
	// stepPart of the equal part, one in so many, is the least by which a share is changed.
	stepPart = 20
	// headroom is what a pressed cell is given beyond what it wants, in percent: it may want more
	// by the time that it hears of it.
	headroom = 50
)

// Allocate decides what the cells may have running and returns the customers whose limits are raised
// by that. They have to be recorded before cells are told.
func (a *Allocator) Allocate(now time.Time) []string {
	a.forgetCells(now)
	var raised []string
	for _, customer := range slices.Sorted(maps.Keys(a.due)) {
		known := a.customers[customer]
		if known.recording || !known.known || len(a.cells) == 0 {
			continue
		}
		delete(a.due, customer)
		known.endLarge(now)
		changed := known.uncounted
		known.uncounted = false
		for kind, limit := range known.cap {
			if limit > 0 {
				changed = known.deal(kind, a.cells) || changed
			}
		}
		a.tellRetold(customer)
		if changed {
			known.recording = true
			raised = append(raised, customer)
		}
	}
	return raised
}

// deal deals one kind of a customer's cap and says whether it has raised a limit.
func (c *account) deal(kind int, cells []string) bool {
	free := c.cap[kind] - c.sum(kind)
	if free < 0 {
		if c.wholeWanted(kind, cells) {
			return false
		}
		// The cap has fallen, or it isn't known what runs. Nothing begins anywhere until what
		// still runs fits under it.
		for _, cell := range cells {
			c.lower(kind, cell, 0)
		}
		return false
	}
	shares := c.shares(kind, cells)
	shortage := shares.shortage()
	if shortage == 0 {
		shares = c.comfort(kind, cells)
		if shortage = shares.shortage(); shortage == 0 {
			return false
		}
	} else if free < shortage {
		c.reclaim(kind, shares, shortage-free)
	}
	return c.raise(kind, shares, min(free, shortage), shortage)
}

// sum returns what all cells may have running, also those that there are no more.
func (c *account) sum(kind int) int {
	sum := 0
	for _, limit := range c.limits {
		sum = min(unknown, sum+limit[kind])
	}
	return sum
}

// wholeWanted says whether one cell has the whole cap, the others nothing, and that is as it should
// be: a larger task than the cap is to run there, or no other cell wants anything.
func (c *account) wholeWanted(kind int, cells []string) bool {
	whole, others := "", false
	for _, cell := range cells {
		switch {
		case c.targets[cell][kind] >= c.cap[kind]:
			whole = cell
		case c.limits[cell][kind] > 0:
			return false
		default:
			row, pressed := c.reports[cell]
			others = others || pressed && row.wanted[kind] > 0
		}
	}
	return whole != "" && (whole == c.large.cell || !others)
}

// share is how much a cell has of one kind, should have, and keeps at least while others want
// more than there is.
type share struct {
	cell  string
	limit int
	want  int
	least int
	// step is the least difference for which it is worth telling the cell.
	step int
}

// short returns how much a cell lacks.
func (s share) short() int {
	if lacks := s.want - s.limit; lacks > 0 && lacks >= s.step {
		return lacks
	}
	return 0
}

type shares []share

func (s shares) shortage() int {
	sum := 0
	for _, one := range s {
		sum += one.short()
	}
	return sum
}

// comfort are the shares where no cell wants more than it has: those that have little get their
// equal part of what is free.
func (c *account) comfort(kind int, cells []string) shares {
	part := c.cap[kind] / len(cells)
	var found shares
	for _, cell := range cells {
		if limit := c.limits[cell][kind]; limit < part/2 {
			found = append(found, share{cell: cell, limit: limit, want: part})
		}
	}
	return found
}

// shares returns what each cell should have: what it wants if it is pressed, and else what it has
// of its equal part. What cells want together beyond the cap is cut in proportion.
func (c *account) shares(kind int, cells []string) shares {
	part := c.cap[kind] / len(cells)
	floor := part / floorPart
	if floor < c.largest(kind) {
		// No task would fit into it.
		floor = 0
	}
	var found shares
	for _, cell := range cells {
		limit := c.limits[cell][kind]
		one := share{cell: cell, limit: limit, want: min(part, limit), least: min(floor, limit), step: part / stepPart}
		found = append(found, one)
	}
	if !c.press(kind, found, part) {
		c.cut(kind, found, part)
	}
	return found
}

// largest returns how much the largest task asks for that waits anywhere.
func (c *account) largest(kind int) int {
	most := 0
	for _, row := range c.reports {
		most = max(most, row.largest[kind])
	}
	return most
}

// press raises the shares of pressed cells to what they want, and more if there is that, and says
// whether there is enough for what they want.
func (c *account) press(kind int, found shares, part int) bool {
	left, wanted := c.cap[kind], 0
	for at := range found {
		one := &found[at]
		row, pressed := c.reports[one.cell]
		if !pressed {
			left -= one.least
			continue
		}
		one.want = row.used[kind] + row.wanted[kind]
		one.least = min(one.want, one.limit)
		left -= one.want
		wanted += one.want
	}
	if left < 0 {
		return false
	}
	for at := range found {
		one := &found[at]
		if _, pressed := c.reports[one.cell]; pressed && wanted > 0 {
			one.want += min(one.want*headroom/100, one.want*left/wanted)
		}
	}
	return true
}

// cut brings the shares of all cells down to what there is: those that want no more than their
// equal part get that, and what is left is cut in proportion among the others. Where a cell's part
// of that doesn't hold the largest task that waits there, one such cell is given room for it first.
func (c *account) cut(kind int, found shares, part int) {
	proportional := c.proportional(kind, found, part, largeShare{})
	c.chooseLarge(kind, proportional)
	for _, one := range proportional {
		if one.cell == c.large.cell && c.reports[one.cell].room(kind, c.cap[kind]) > one.want {
			proportional = c.proportional(kind, found, part, largeShare{cell: one.cell, amount: c.reports[one.cell].room(kind, c.cap[kind])})
			break
		}
	}
	c.wholeTasks(kind, proportional)
	copy(found, proportional)
}

// largeShare is what a cell gets for the largest task that waits there, before others get theirs.
type largeShare struct {
	cell   string
	amount int
}

// proportional returns the shares cut down to what there is, beside what one cell gets for its
// largest task.
func (c *account) proportional(kind int, found shares, part int, large largeShare) shares {
	cutDown := slices.Clone(found)
	left, modest, greedy := c.cap[kind], 0, 0
	for at := range cutDown {
		one := &cutDown[at]
		_, pressed := c.reports[one.cell]
		switch {
		case one.cell == large.cell:
			one.want, one.least, one.step = large.amount, large.amount, 0
			left -= one.want
		case one.want > part:
			greedy += one.want
		case pressed:
			modest += one.want
		default:
			one.want = one.least
			modest += one.want
		}
	}
	for at := range cutDown {
		one := &cutDown[at]
		switch {
		case one.cell == large.cell:
			continue
		case one.want > part:
			one.want = one.want * max(0, left-modest) / greedy
		case modest > left:
			one.want = one.want * left / modest
		}
		one.least = min(one.least, one.want)
	}
	return cutDown
}

// largeTask is the task for which room is made in a cell, as its owner reported it then.
type largeTask struct {
	cell   string
	kind   int
	report report
	// fitsSince is since when its cell could have begun it, zero before.
	fitsSince time.Time
}

// largeTime is how long a cell keeps room for a task that it could have begun: its boxes may have
// none. Its word that it has begun takes two or three calls.
const largeTime = 500 * time.Millisecond

// room returns how much of a kind a cell needs to begin the largest task that waits there beside
// what lasts, which for one larger than the cap is all of that.
func (r report) room(kind, limit int) int {
	return min(limit, r.lasting[kind]+r.largest[kind])
}

// chooseLarge chooses the cell that is given room for the largest task that waits there, if there
// is none and its share doesn't hold that. Cells take turns, of those that have had none the one
// with the largest task.
func (c *account) chooseLarge(kind int, found shares) {
	if c.large.cell != "" {
		return
	}
	for _, one := range found {
		row, pressed := c.reports[one.cell]
		if !pressed || row.largest[kind] == 0 || row.room(kind, c.cap[kind]) <= one.want {
			continue
		}
		turn, least := c.turns[one.cell], c.turns[c.large.cell]
		if c.large.cell == "" || turn < least || turn == least && row.largest[kind] > c.large.report.largest[kind] {
			c.large = largeTask{cell: one.cell, kind: kind, report: row}
		}
	}
}

// endLarge ends that once the task has begun, doesn't wait there any more, or could have begun for
// some time.
func (c *account) endLarge(now time.Time) {
	if c.large.cell == "" {
		return
	}
	kind, then := c.large.kind, &c.large.report
	reported, pressed := c.reports[c.large.cell]
	// Others that ran have ended meanwhile.
	then.used[kind] = min(then.used[kind], reported.used[kind])
	begun := reported.largest[kind] < then.largest[kind] || reported.used[kind] >= then.used[kind]+then.largest[kind]
	switch fits := c.targets[c.large.cell][kind] >= min(c.cap[kind], reported.used[kind]+then.largest[kind]); {
	case !fits:
		c.large.fitsSince = time.Time{}
	case c.large.fitsSince.IsZero():
		c.large.fitsSince = now
	}
	spent := !c.large.fitsSince.IsZero() && now.Sub(c.large.fitsSince) >= largeTime
	if !pressed || begun || spent || c.cap[kind] == 0 {
		c.turn++
		c.turns[c.large.cell] = c.turn
		c.large = largeTask{}
	}
}

// reclaim lowers the targets of cells so that so much becomes free for others: what is beyond
// that which they should have first, then all but the least.
func (c *account) reclaim(kind int, found shares, amount int) {
	for _, keep := range []func(one share) int{
		func(one share) int { return max(one.want, one.least) },
		func(one share) int { return one.least },
	} {
		surplus := 0
		for _, one := range found {
			surplus += c.surplus(kind, one, keep(one))
		}
		if surplus == 0 {
			continue
		}
		part := min(1, float64(amount)/float64(surplus))
		for _, one := range found {
			if over := c.surplus(kind, one, keep(one)); over > 0 {
				c.lower(kind, one.cell, c.targets[one.cell][kind]-int(part*float64(over)+0.5))
			}
		}
		if part < 1 {
			return
		}
	}
}

// surplus returns by how much a cell's target is above what it keeps. A cell that gets more gives
// nothing.
func (c *account) surplus(kind int, one share, keeps int) int {
	if one.short() > 0 {
		return 0
	}
	return max(0, c.targets[one.cell][kind]-keeps)
}

// lower lowers a cell's target.
func (c *account) lower(kind int, cell string, amount int) {
	target := c.targets[cell]
	if lower := max(0, amount); lower < target[kind] {
		target[kind] = lower
		c.targets[cell], c.retold[cell] = target, true
	}
}

// raise gives what is free to the cells that should have more, and says whether it has.
func (c *account) raise(kind int, found shares, free, shortage int) bool {
	raised := false
	for _, one := range found {
		// Rounded down, so that the parts are no more than the whole.
		more := one.short() * free / max(1, shortage)
		if more <= 0 {
			continue
		}
		limit, target := c.limits[one.cell], c.targets[one.cell]
		limit[kind] += more
		target[kind] = limit[kind]
		if target[kind] >= c.cap[kind] {
			// A task may start there that is larger than the cap.
			limit[kind] = unknown
		}
		c.limits[one.cell], c.targets[one.cell] = limit, target
		c.retold[one.cell], raised = true, true
	}
	return raised
}
