package cell

import (
	"math"
	"time"
)

// spreadOf is a running mean and variance.
type spreadOf struct {
	count    int
	mean     float64
	variance float64
}

// add learns a value; new ones never count for less than learnWeight.
func (s *spreadOf) add(value float64) {
	s.count++
	weight := max(learnWeight, 1/float64(s.count))
	off := value - s.mean
	s.mean += weight * off
	s.variance = (1 - weight) * (s.variance + weight*off*off)
}

// runTimes learns how long a queue's tasks take, and how far clients' estimates
// are off. Both spread by factors, so logarithms are kept.
type runTimes struct {
	actual spreadOf // Of the logarithm of the time in milliseconds.
	error  spreadOf // Of the logarithm of the time over its estimate.
	// mean is the plain mean in milliseconds.
	mean float64
}

// addRun learns from a task that is done.
func (t *runTimes) addRun(took time.Duration, estimateMs int) {
	ms := max(1, float64(took.Milliseconds()))
	t.actual.add(math.Log(ms))
	t.mean += max(learnWeight, 1/float64(t.actual.count)) * (ms - t.mean)
	if estimateMs > 0 {
		t.error.add(math.Log(ms / float64(estimateMs)))
	}
}

// estimate returns the time that a task probably takes, in milliseconds. What the
// queue's tasks usually take and what the client says are each believed as far as
// they have been right.
func (t *runTimes) estimate(estimateMs int) int {
	if t.actual.count < minLearnedRuns {
		return estimateMs
	}
	if estimateMs <= 0 || t.error.count < minLearnedRuns {
		return int(t.mean)
	}
	said := math.Log(float64(estimateMs)) + t.error.mean
	belief := t.actual.variance / (t.actual.variance + t.error.variance + minVariance)
	return int(math.Exp(belief*said + (1-belief)*t.actual.mean))
}

// estimateVariance returns the variance of the logarithm of a task's time about its
// estimate.
func (t *runTimes) estimateVariance() float64 {
	if t.error.count < minLearnedRuns {
		return t.actual.variance
	}
	return t.actual.variance * t.error.variance / (t.actual.variance + t.error.variance + minVariance)
}

// minVariance keeps the weights apart from a division by nothing.
const minVariance = 1e-6
