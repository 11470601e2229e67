package cell

import "damsonwinch/pkg/slowness"

// sampleProgress adds the speed of a run to its endpoint's progress samples, once, as soon as it is
// known. Later samples would weigh long tasks more than short ones, which have ended by then.
func (c *Cell) sampleProgress(r *run) {
	total := r.progress.TotalMs()
	p := r.task.phase
	if total == 0 || r.progressSampled || r.inherited || r.resumed || r.wasSlowed() || p.spec.Lasting {
		return
	}
	r.progressSampled = true
	stats := c.workload.Of(p.job().queue)
	if !stats.KnowsTaskTimes() {
		return
	}
	phase := slowness.Phase{Job: p.job().id, Round: p.round.number, Number: p.number}
	r.endpoint.health.progressSamples.Add(c.now, phase, total, float64(stats.EstimateMs(p.spec.EstimateMs)), stats.EstimateVariance())
}
