package boxplan

import (
	"time"

	"damsonwinch"
)

// ReportID identifies a report of a cell's owner.
type ReportID struct {
	// Token is the owner's fencing token, and Number the report's number among those of the owner.
	Token, Number int
}

// NoteBoxListRequest notes that the list of boxes of the next call of SetBoxes is being requested.
func (p *Planner) NoteBoxListRequest() {
	for _, c := range p.cells {
		c.reportAtRequest = ReportID{Token: c.report.Token, Number: c.report.ReportNumber}
	}
}

// noteListReports notes, for each cell, the newest report that there was when the newest list of boxes was requested.
func (p *Planner) noteListReports() {
	for _, c := range p.cells {
		c.boxesAfter = c.reportAtRequest
	}
}

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
