package quota

import (
	"cmp"
	"slices"
)

// remainder is the part of a cell's share that is too small for one more of its largest waiting
// tasks.
type remainder struct {
	share   *share
	amount  int
	largest int
	// priority decides the order in which remainders are filled up to a whole task, highest first.
	priority int
}

// roundToWholeTasks moves remainders between cells, so that some cells have capacity for one more of
// their largest tasks. Larger remainders are filled up first. A cell whose limit covers that task
// already comes before them, so that the capacity doesn't move back and forth between cells.
func (c *customerState) roundToWholeTasks(kind int, cut shares) {
	left := c.cap[kind]
	var remainders []remainder
	for i := range cut {
		s := &cut[i]
		left -= s.want
		row, reported := c.reports[s.cell]
		largest := row.largest[kind]
		if !reported || largest == 0 || s.want < row.longRunning[kind] || s.cell == c.reserved.cell {
			continue
		}
		part := remainder{share: s, amount: (s.want - row.longRunning[kind]) % largest, largest: largest}
		s.want -= part.amount
		left += part.amount
		part.priority = part.amount
		if s.limit >= s.want+largest {
			part.priority += largest
		}
		if s.want < row.used[kind]+row.wanted[kind] {
			remainders = append(remainders, part)
		}
	}
	slices.SortStableFunc(remainders, func(a, b remainder) int { return cmp.Compare(b.priority, a.priority) })
	for i := range remainders {
		if part := &remainders[i]; part.largest <= left {
			part.share.want += part.largest
			left -= part.largest
			part.amount = 0
		}
	}
	// What is left goes back to the cells, where it may be enough for smaller tasks.
	for _, part := range remainders {
		back := min(left, part.amount)
		part.share.want += back
		part.share.floor = min(part.share.floor, part.share.want)
		left -= back
	}
}
