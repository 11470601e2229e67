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
		if !reported.Withdrawn || p.isRecorded(life) {
			continue
		}
		restore = append(restore, reported.Endpoint)
		p.restoredUnlisted[life.ID] = true
	}
	return restore
}

// isRecorded reports whether an earlier planner may have recorded an order on a life.
func (p *Planner) isRecorded(life damsonwinch.Life) bool {
	return slices.ContainsFunc(p.recordedLives[life.ID], life.MayBeSame)
}
