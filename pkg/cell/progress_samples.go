package cell

import (
	"math"
	"slices"
	"time"

	"damsonwinch/pkg/workload"
)

// progressSample compares the progress of the tasks of one phase on an endpoint with what was
// expected. The tasks of a phase share one estimate, so together they count as a single sample.
type progressSample struct {
	phase     *phase
	sampledAt time.Time
	// logRatioSum is the sum of the logarithms of actual divided by expected time, over count
	// tasks.
	logRatioSum float64
	count       float64
	// variance is the variance of the logarithm of a task's time around its estimate.
	variance float64
}

// sampleProgress adds the speed of a run to its endpoint's progress samples, once, as soon as it is
// known. Later samples would weigh long tasks more than short ones, which have ended by then.
func (c *Cell) sampleProgress(r *run) {
	total := r.progress.TotalMs()
	if total == 0 || r.progressSampled || r.inherited || r.resumed || r.task.phase.spec.Lasting {
		return
	}
	r.progressSampled = true
	stats := c.workload.Of(r.task.phase.job().queue)
	if !stats.KnowsTaskTimes() {
		return
	}
	h := &r.endpoint.health
	h.progressSamples = slices.DeleteFunc(h.progressSamples, func(s progressSample) bool { return c.now.Sub(s.sampledAt) > progressSampleTime })
	logRatio := math.Log(total / max(1, float64(stats.EstimateMs(r.task.phase.spec.EstimateMs))))
	for i := range h.progressSamples {
		if h.progressSamples[i].phase == r.task.phase {
			h.progressSamples[i].logRatioSum += logRatio
			h.progressSamples[i].count++
			return
		}
	}
	h.progressSamples = append(h.progressSamples, progressSample{phase: r.task.phase, sampledAt: c.now, logRatioSum: logRatio, count: 1, variance: stats.EstimateVariance()})
}

// slowness returns how many times as long as expected the tasks on the endpoint take, or 0 while
// that may be chance.
func (h *health) slowness(now time.Time) float64 {
	sum, variance, count := 0.0, workload.MinVariance, 0.0
	for _, s := range h.progressSamples {
		if now.Sub(s.sampledAt) > progressSampleTime {
			continue
		}
		sum += s.logRatioSum / s.count
		variance += s.variance
		count++
	}
	if count == 0 || sum <= 0 || sum*sum < slowSquaredDeviations*variance {
		return 0
	}
	return math.Exp(sum / count)
}
