package cell

import (
	"math"
	"time"
)

// runningStats is a running mean and variance.
type runningStats struct {
	count    int
	mean     float64
	variance float64
}

// add learns a value; new ones never count for less than learnWeight.
func (s *runningStats) add(value float64) {
	s.count++
	weight := max(minSampleWeight, 1/float64(s.count))
	off := value - s.mean
	s.mean += weight * off
	s.variance = (1 - weight) * (s.variance + weight*off*off)
}

// runTimes learns how long a queue's tasks take, and how far clients' estimates
// are off. Both spread by factors, so logarithms are kept.
type runTimes struct {
	logTime  runningStats // Of the logarithm of the time in milliseconds.
	logError runningStats // Of the logarithm of the time over its estimate.
	// meanMs is the plain meanMs in milliseconds.
	meanMs float64
}

// addRun learns from a task that is done.
func (t *runTimes) addRun(took time.Duration, estimateMs int) {
	ms := max(1, float64(took.Milliseconds()))
	t.logTime.add(math.Log(ms))
	t.meanMs += max(minSampleWeight, 1/float64(t.logTime.count)) * (ms - t.meanMs)
	if estimateMs > 0 {
		t.logError.add(math.Log(ms / float64(estimateMs)))
	}
}

// estimate returns the time that a task probably takes, in milliseconds. What the
// queue's tasks usually take and what the client says are each believed as far as
// they have been right.
func (t *runTimes) estimate(estimateMs int) int {
	if t.logTime.count < minLearnedRuns {
		return estimateMs
	}
	if estimateMs <= 0 || t.logError.count < minLearnedRuns {
		return int(t.meanMs)
	}
	said := math.Log(float64(estimateMs)) + t.logError.mean
	belief := t.logTime.variance / (t.logTime.variance + t.logError.variance + minVariance)
	return int(math.Exp(belief*said + (1-belief)*t.logTime.mean))
}

// estimateVariance returns the variance of the logarithm of a task's time about its
// estimate.
func (t *runTimes) estimateVariance() float64 {
	if t.logError.count < minLearnedRuns {
		return t.logTime.variance
	}
	return t.logTime.variance * t.logError.variance / (t.logTime.variance + t.logError.variance + minVariance)
}

// minVariance keeps the weights apart from a division by nothing.
const minVariance = 1e-6
