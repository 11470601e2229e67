package cell

import (
	"slices"
	"time"
)

// rateTime is the time over which the ends of endpoints are counted, and burstTime a shorter
// one: the users' troubles take some seconds, and begin suddenly.
const (
	rateTime  = 10 * time.Second
	burstTime = 2 * time.Second
)

// ends are the moments at which endpoints have ended of late under tasks.
type ends struct {
	at []time.Time
}

func (e *ends) add(at time.Time) {
	e.at = append(e.at, at)
}

// within returns how many have ended of late.
func (e *ends) within(now time.Time, length time.Duration) int {
	e.at = slices.DeleteFunc(e.at, func(at time.Time) bool { return now.Sub(at) > rateTime })
	count := 0
	for _, at := range e.at {
		if now.Sub(at) <= length {
			count++
		}
	}
	return count
}

// rate returns how often one of so many endpoints ends by itself, a second. Ends under the task
// that is judged are what is to be explained.
func (e *ends) rate(now time.Time, endpoints int, underTask *ends) float64 {
	most := 0.0
	for _, length := range []time.Duration{rateTime, burstTime} {
		count := max(0, e.within(now, length)-underTask.within(now, length))
		most = max(most, float64(count)/length.Seconds())
	}
	return most / float64(max(1, endpoints))
}
