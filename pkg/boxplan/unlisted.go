package boxplan

import (
	"slices"

	"damsonwinch"
)

// hasList reports whether the planner has received a list of boxes.
func (p *Planner) hasList() bool {
	return !p.boxesRequestedAt.IsZero()
}

// restoreUnlisted returns the withdrawn endpoints of a cell that may be used again while there is no list of boxes,
// for as long as control of boxes is away. Only an order that is recorded can still be carried out: orders are recorded
// before they are sent, and the records of an earlier planner are complete once it can add none.
func (p *Planner) restoreUnlisted(c *cell) []string {
	var restore []string
	for i := range c.report.Endpoints {
		reported := &c.report.Endpoints[i]
		life := damsonwinch.ParseLife(reported.Endpoint)
		if !reported.Withdrawn || p.isRecorded(life) && !p.recordsHaveLapsed(c) {
			continue
		}
		restore = append(restore, reported.Endpoint)
		p.restoredUnlisted[life.ID] = true
		p.forgetOrder(reported.Box, life)
	}
	return restore
}

// recordsHaveLapsed reports whether no order of an earlier planner can be carried out any more, by the time of a cell's
// newest report: the earlier planner has sent none since this one took over.
func (p *Planner) recordsHaveLapsed(c *cell) bool {
	return !p.firstReportAt.IsZero() && c.reportedAt.Sub(p.firstReportAt) > maxOrderDelay
}

// forgetOrder ends the order that an earlier planner has recorded on a life, which is used again.
func (p *Planner) forgetOrder(boxName string, life damsonwinch.Life) {
	b := p.boxes[boxName]
	if b != nil && b.issued != nil && b.issued.inherited && life.MayBeSame(b.issued.Life) {
		p.revertOrder(b, b.issued.Order)
	}
	delete(p.recordedLives, life.ID)
}

// isRecorded reports whether an earlier planner may have recorded an order on a life.
func (p *Planner) isRecorded(life damsonwinch.Life) bool {
	return slices.ContainsFunc(p.recordedLives[life.ID], life.MayBeSame)
}
