// Package slowness decides from the progress of an endpoint's tasks whether the endpoint is slow.
package slowness

import (
	"math"
	"slices"
	"time"

	"damsonwinch/pkg/workload"
)

const (
	// sampleTime is how long a sample of a task's progress counts.
	sampleTime = 3 * time.Second
	// squaredDeviations is how far the slowness must exceed what chance explains: the square of the
	// number of standard deviations.
	squaredDeviations = 16
)

// Phase identifies a set of tasks that share one estimate of their time.
type Phase struct {
	Job    string
	Round  int
	Number int
}

// Samples holds recent samples of the progress of an endpoint's tasks.
type Samples struct {
	samples []sample
}

// sample compares the progress of the tasks of one phase with what was expected. The tasks of a phase
// share one estimate, so together they count as a single sample.
type sample struct {
	phase     Phase
	sampledAt time.Time
	// logRatioSum is the sum of the logarithms of actual divided by expected time, over count
	// tasks.
	logRatioSum float64
	count       float64
	// variance is the variance of the logarithm of a task's time around its estimate.
	variance float64
}

// Add adds a task, of which the total time was expected to be expectedMs and is going to be totalMs
// at the speed of its progress. variance is the variance of the logarithm of a task's time around its
// estimate.
func (s *Samples) Add(now time.Time, phase Phase, totalMs, expectedMs, variance float64) {
	s.samples = slices.DeleteFunc(s.samples, func(one sample) bool { return now.Sub(one.sampledAt) > sampleTime })
	logRatio := math.Log(totalMs / max(1, expectedMs))
	for i := range s.samples {
		if s.samples[i].phase == phase {
			s.samples[i].logRatioSum += logRatio
			s.samples[i].count++
			return
		}
	}
	s.samples = append(s.samples, sample{phase: phase, sampledAt: now, logRatioSum: logRatio, count: 1, variance: variance})
}

// Factor returns how many times as long as expected the tasks on the endpoint take, or 0 while that
// may be chance.
func (s *Samples) Factor(now time.Time) float64 {
	sum, variance, count := 0.0, workload.MinVariance, 0.0
	for _, one := range s.samples {
		if now.Sub(one.sampledAt) > sampleTime {
			continue
		}
		sum += one.logRatioSum / one.count
		variance += one.variance
		count++
	}
	if count == 0 || sum <= 0 || sum*sum < squaredDeviations*variance {
		return 0
	}
	return math.Exp(sum / count)
}
