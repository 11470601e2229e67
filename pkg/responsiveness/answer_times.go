// Package responsiveness judges from the answers of endpoints how soon a call counts as unanswered, when it is
// repeated, and which endpoints leave so many calls unanswered that they get no new work. It is pure: callers report
// what they observe, with times of their own clock.
package responsiveness

import "time"

const (
	// minSamples is the number of answers after which the bound is known. Before that, calls are only given up at their
	// timeouts.
	minSamples = 8
	// minBound is the smallest bound. Endpoints answer in some 3 ms, but a busy node may take 50 ms to process the
	// answer.
	minBound = 60 * time.Millisecond
	// maxBound is the largest bound. It is below the timeout of calls.
	maxBound = 400 * time.Millisecond
	// Weights of a new sample in the mean and in the mean deviation, and the number of deviations by which the bound
	// exceeds the mean. Those for TCP's retransmission timeout (RFC 6298) are 1/8, 1/4 and 4; an endpoint's answers
	// vary more, and a call that is repeated too soon costs as much as one that is needed.
	meanGain      = 1.0 / 16
	deviationGain = 1.0 / 8
	deviations    = 6
	// slowestHalfLife is the time in which the slowest recent answer of an endpoint counts half. It keeps an endpoint
	// that is slower than the others from being taken for one that does not answer.
	slowestHalfLife = 2 * time.Second
)

// AnswerTimes estimates how long endpoints take to answer. The zero value has no samples.
type AnswerTimes struct {
	samples   int
	mean      float64
	deviation float64
}

// Observe adds the time that an answer has taken. Answers that come after the bound count as well: they raise it.
func (a *AnswerTimes) Observe(took time.Duration) {
	a.samples++
	sample := float64(took)
	if a.samples == 1 {
		a.mean, a.deviation = sample, sample/2
		return
	}
	difference := sample - a.mean
	a.mean += meanGain * difference
	if difference < 0 {
		difference = -difference
	}
	a.deviation += deviationGain * (difference - a.deviation)
}

// Bound returns the time after which a call counts as unanswered. It returns false while there are too few samples.
func (a *AnswerTimes) Bound() (time.Duration, bool) {
	if a.samples < minSamples {
		return 0, false
	}
	return clampBound(time.Duration(a.mean + deviations*a.deviation)), true
}

// clampBound limits a bound to the range from minBound to maxBound.
func clampBound(bound time.Duration) time.Duration {
	return min(max(bound, minBound), maxBound)
}

// maxResendDelay is the longest time until a stop request is sent again.
const maxResendDelay = 400 * time.Millisecond

// ResendDelay returns the time after which a request that has been sent the given number of times is sent once more.
// It doubles each time, so that at most four copies are in flight within the timeout of calls.
func ResendDelay(bound time.Duration, sent int) time.Duration {
	return min(maxResendDelay, bound<<min(max(sent-1, 0), 3))
}

// MaxUnansweredPolls is the highest number of unanswered polls of an endpoint, beside the newest one, that are kept in
// flight.
const MaxUnansweredPolls = 2
