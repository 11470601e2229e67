package boxplan

import (
	"time"

	"damsonwinch"
)

// updateReportedSince notes since when the endpoints of the cell's newest report have been reported.
func (c *cell) updateReportedSince() {
	since := make(map[string]time.Time, len(c.report.Endpoints))
	for _, reported := range c.report.Endpoints {
		first, known := c.reportedSince[reported.Endpoint]
		if !known {
			first = c.reportedAt
		}
		since[reported.Endpoint] = first
	}
	c.reportedSince = since
}

// exitedEndpoints returns the endpoints of a cell's report that have exited: a list of boxes that was
// requested after they were first reported shows them on no box that is up. The cell may not know on which
// box an endpoint ran, and a box may have been removed for good.
func (p *Planner) exitedEndpoints(c *cell) []string {
	if !c.hasFreshReport(p.now) {
		return nil
	}
	var exited []string
	for _, reported := range c.report.Endpoints {
		if p.boxesRequestedAt.After(c.reportedSince[reported.Endpoint]) && !p.liveEndpoints.MayInclude(damsonwinch.ParseLife(reported.Endpoint).ID, reported.Box) {
			exited = append(exited, reported.Endpoint)
		}
	}
	return exited
}
