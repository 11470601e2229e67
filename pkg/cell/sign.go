package cell

import (
	"math"
	"slices"
	"time"
)

// progressSample is how the tasks of one phase got on at an endpoint, beside what was
// expected. They share one estimate, so that together they are but one progressSample.
type progressSample struct {
	phase     *phase
	sampledAt time.Time
	// logRatioSum is of the logarithms of the times taken over those expected, and count
	// their number.
	logRatioSum float64
	count       float64
	variance    float64
}

// sampleProgress takes a run's pace for a sign, once, when it is first known. Later it
// would say more of long tasks than of short ones, which have ended by then.
func (c *Cell) sampleProgress(r *run) {
	total := r.progress.totalMs()
	if total == 0 || r.progressSampled || r.inherited || r.resumed || r.task.phase.spec.Lasting {
		return
	}
	r.progressSampled = true
	times := &c.statsOf(r.task.phase.job().queue).times
	if times.logTime.count < minLearnedRuns {
		return
	}
	h := &r.endpoint.health
	h.progressSamples = slices.DeleteFunc(h.progressSamples, func(s progressSample) bool { return c.now.Sub(s.sampledAt) > progressSampleTime })
	off := math.Log(total / max(1, float64(times.estimate(r.task.phase.spec.EstimateMs))))
	for i := range h.progressSamples {
		if h.progressSamples[i].phase == r.task.phase {
			h.progressSamples[i].logRatioSum += off
			h.progressSamples[i].count++
			return
		}
	}
	h.progressSamples = append(h.progressSamples, progressSample{phase: r.task.phase, sampledAt: c.now, logRatioSum: off, count: 1, variance: times.estimateVariance()})
}

// slowness returns how many times as long as expected the tasks of an endpoint
// take, or 0 while that may be chance.
func (h *health) slowness(now time.Time) float64 {
	sum, variance, count := 0.0, minVariance, 0.0
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
