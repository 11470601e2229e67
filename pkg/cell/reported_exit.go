package cell

// reportedExited handles the planner's report that an endpoint has exited: a list of boxes doesn't have
// it. An endpoint that answers lives, whatever the list says, so it is polled first. The planner repeats
// its report.
func (c *Cell) reportedExited(e *endpoint) {
	switch {
	case e.exited:
	case e.attached && !e.silent && !e.withdrawn:
		c.requestPoll(e)
	default:
		c.markLostByReport(e, "the fleet planner has seen its box without it")
	}
}
