package workload

import (
	"math"
	"time"
)

// runningStats holds the mean and variance of a series of values, of which the recent ones weigh
// more.
type runningStats struct {
	count    int
	mean     float64
	variance float64
}

// add adds a value. Its weight is at least minSampleWeight, so that old values fade.
func (s *runningStats) add(value float64) {
	s.count++
	weight := max(minSampleWeight, 1/float64(s.count))
	diff := value - s.mean
	s.mean += weight * diff
	s.variance = (1 - weight) * (s.variance + weight*diff*diff)
}

// runTimes holds statistics of how long a queue's tasks take, and of how far clients' estimates are
// off. Both vary by factors, so the statistics are of logarithms.
type runTimes struct {
	logTime  runningStats // Of the logarithm of the time in milliseconds.
	logError runningStats // Of the logarithm of the time divided by its estimate.
	// meanMs is the arithmetic mean of the time in milliseconds.
	meanMs float64
}

// addTime adds the run time of a task that is done. estimateMs is the client's estimate, or 0.
func (t *runTimes) addTime(took time.Duration, estimateMs int) {
	ms := max(1, float64(took.Milliseconds()))
	t.logTime.add(math.Log(ms))
	t.meanMs += max(minSampleWeight, 1/float64(t.logTime.count)) * (ms - t.meanMs)
	if estimateMs > 0 {
		t.logError.add(math.Log(ms / float64(estimateMs)))
	}
}

// estimate returns the expected time of a task in milliseconds, given the client's estimate or 0.
// It is a mean of the queue's usual time and the client's corrected estimate. Each is weighted by
// how precise it has been.
func (t *runTimes) estimate(estimateMs int) int {
	if t.logTime.count < minLearnedRuns {
		return estimateMs
	}
	if estimateMs <= 0 || t.logError.count < minLearnedRuns {
		return int(t.meanMs)
	}
	corrected := math.Log(float64(estimateMs)) + t.logError.mean
	clientWeight := t.logTime.variance / (t.logTime.variance + t.logError.variance + MinVariance)
	return int(math.Exp(clientWeight*corrected + (1-clientWeight)*t.logTime.mean))
}

// estimateVariance returns the variance of the logarithm of a task's time around its estimate.
func (t *runTimes) estimateVariance() float64 {
	if t.logError.count < minLearnedRuns {
		return t.logTime.variance
	}
	return t.logTime.variance * t.logError.variance / (t.logTime.variance + t.logError.variance + MinVariance)
}

// MinVariance is added to variances so that weights are not divided by zero.
const MinVariance = 1e-6
