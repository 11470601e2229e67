package responsiveness

import (
	"math"
	"time"
)

const (
	// callHalfLife is the time in which an observed call counts half.
	callHalfLife = 2 * time.Second
	// An endpoint becomes suspected if at least minUnanswered of its recent calls and suspectShare of them were not
	// answered in time, and that share is factorOverOthers times that of the cell's other endpoints. With 5% of calls
	// unanswered everywhere, some endpoint has a share of a quarter now and then; leaving it out would gain nothing.
	minUnanswered    = 2.5
	suspectShare     = 0.3
	factorOverOthers = 4
	// answersToRecover is how many calls in a row a suspected endpoint must answer to return to normal use. One
	// that leaves a third of its calls unanswered does that in one of 25 cases. It is then suspected again sooner than at
	// first, since its earlier calls still count.
	answersToRecover = 8
	// Polls are held for less time while the recent calls include minLost unanswered ones, and these are minLostShare of
	// all. A large cell often has a single unanswered call, for example when an endpoint exits.
	minLost      = 2
	minLostShare = 0.01
	// recentLoss is the weight of unanswered calls from which an endpoint counts as one that has just left a call
	// unanswered. One call falls below it after 2 s.
	recentLoss = 0.5
	// endpointsPerExcluded is how many endpoints a cell must have for each one that is excluded.
	endpointsPerExcluded = 3
)

// Calls counts how many of the recent calls to an endpoint, or to all endpoints of a cell, were answered in time.
// Older calls count less. The zero value has no calls.
type Calls struct {
	answered   float64
	unanswered float64
	// answeredInRow is the number of answers since a call last counted as unanswered.
	answeredInRow int
	// countedAt is the time to which the weights have been reduced.
	countedAt time.Time
	// slowest is the longest time of a recent answer.
	slowest time.Duration
}

// decay reduces the weight of what was observed before now.
func (c *Calls) decay(now time.Time) {
	if passed := now.Sub(c.countedAt); passed > 0 {
		if !c.countedAt.IsZero() {
			factor := math.Exp2(-float64(passed) / float64(callHalfLife))
			c.answered, c.unanswered = c.answered*factor, c.unanswered*factor
			c.slowest = time.Duration(float64(c.slowest) * math.Exp2(-float64(passed)/float64(slowestHalfLife)))
		}
		c.countedAt = now
	}
}

// ObserveAnswer counts a call that was answered after the given time.
func (c *Calls) ObserveAnswer(now time.Time, took time.Duration) {
	c.decay(now)
	c.answered++
	c.answeredInRow++
	c.slowest = max(c.slowest, took)
}

// ObserveUnanswered counts a call that was not answered in time. A later answer counts on its own.
func (c *Calls) ObserveUnanswered(now time.Time) {
	c.decay(now)
	c.unanswered++
	c.answeredInRow = 0
}

// Bound returns the time after which a call to the endpoint counts as unanswered, given that of all endpoints.
func (c *Calls) Bound(now time.Time, ofAll time.Duration) time.Duration {
	c.decay(now)
	return clampBound(max(ofAll, 2*c.slowest))
}

// share returns the share of unanswered calls.
func (c *Calls) share() float64 {
	if c.unanswered == 0 {
		return 0
	}
	return c.unanswered / (c.answered + c.unanswered)
}

// Suspect reports whether an endpoint that has not been suspected so far becomes suspected. all counts the calls to
// all endpoints of the cell, this one included.
func (c *Calls) Suspect(now time.Time, all *Calls) bool {
	c.decay(now)
	all.decay(now)
	if c.unanswered < minUnanswered || c.share() < suspectShare {
		return false
	}
	others := Calls{answered: max(0, all.answered-c.answered), unanswered: max(0, all.unanswered-c.unanswered)}
	return c.share() >= factorOverOthers*others.share()
}

// Recovered reports whether a suspected endpoint returns to normal use.
func (c *Calls) Recovered() bool {
	return c.answeredInRow >= answersToRecover
}

// LostRecently reports whether the endpoint has left a call unanswered within the last few seconds.
func (c *Calls) LostRecently(now time.Time) bool {
	return c.unanswered > 0 && c.unanswered*math.Exp2(-float64(now.Sub(c.countedAt))/float64(callHalfLife)) >= recentLoss
}

// LeavesUnanswered reports whether calls have recently stayed unanswered, so that polls should be held for less time.
func (c *Calls) LeavesUnanswered(now time.Time) bool {
	c.decay(now)
	return c.unanswered >= minLost && c.share() >= minLostShare
}

// MayExclude reports whether one more endpoint may be excluded: at most a third of the given number may be.
func MayExclude(excluded, endpoints int) bool {
	return (excluded+1)*endpointsPerExcluded <= endpoints
}
