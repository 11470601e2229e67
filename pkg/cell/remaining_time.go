package cell

// estimateRemainingMs estimates how many milliseconds a run still takes: from its measured speed if
// that is known, and otherwise from the expected time of its task.
func (c *Cell) estimateRemainingMs(r *run) int {
	if left := r.progress.RemainingMs(); left > 0 {
		return int(left) - int(c.now.Sub(r.progress.ReportedAt()).Milliseconds())
	}
	usual := c.workload.Of(r.task.phase.job().queue).EstimateMs(r.task.phase.spec.EstimateMs)
	return max(minRemainingMs, usual-int(c.now.Sub(r.startedAt).Milliseconds()))
}

// minRemainingMs is the remaining time that is assumed for a run that takes longer than expected,
// while its speed isn't known.
const minRemainingMs = 200
