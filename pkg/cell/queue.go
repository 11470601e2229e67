package cell

import (
	"math"
	"time"
)

// Rules of what is learned of queues.
const (
	// minSampleWeight is the part that a new value has in a learned mean.
	minSampleWeight = 0.05
	// minLearnedRuns is the number of runs after which the mean time is believed.
	minLearnedRuns = 20
	// maxWorkVariance bounds the variance of the logarithm of jobs' work that is
	// believed: the first jobs are few, and a single giant must not double the mean.
	maxWorkVariance = 0.6
)

// queueStats is what an owner learns of a queue.
type queueStats struct {
	arrivals arrivals
	// times are those of its tasks.
	times runTimes
	// logWork is of the logarithms of its jobs' logWork, in thousandths of a core times
	// milliseconds.
	logWork runningStats
	// jobCount is the number of jobCount, slack the mean time that they can wait and chain
	// the mean time that they take when nothing waits, in milliseconds.
	jobCount    int
	meanSlackMs float64
	meanPathMs  float64
}

// statsOf returns what is known of a queue.
func (c *Cell) statsOf(queue string) *queueStats {
	known := c.statsByQueue[queue]
	if known == nil {
		known = &queueStats{}
		c.statsByQueue[queue] = known
	}
	return known
}

// addJob counts a job and learns of its work.
func (q *queueStats) addJob(now time.Time, work, slackMs, chainMs int) {
	q.arrivals.add(now)
	q.logWork.add(math.Log(max(1, float64(work))))
	q.jobCount++
	weight := max(minSampleWeight, 1/float64(q.jobCount))
	q.meanSlackMs += weight * (float64(slackMs) - q.meanSlackMs)
	q.meanPathMs += weight * (float64(chainMs) - q.meanPathMs)
}

// meanWork returns the mean work of a job, taking the logarithms to be spread evenly
// about their mean.
func (q *queueStats) meanWork() float64 {
	if q.jobCount == 0 {
		return 0
	}
	return math.Exp(q.logWork.mean + min(q.logWork.variance, maxWorkVariance)/2)
}

// arrivalRates returns the jobs a second that come now, and those that will be at work some
// time ahead: what is at work then came half its own time earlier.
func (q *queueStats) arrivalRates(now time.Time, ahead time.Duration) rates {
	return q.arrivals.rates(now, max(0, ahead-time.Duration(q.meanPathMs/2)*time.Millisecond))
}

// offeredCPU returns the work that arrives, in thousandths of a core: what now comes,
// and what is to be expected by the time that another box could have come.
func (c *Cell) offeredCPU(now time.Time) (steady, expected int) {
	for _, known := range c.statsByQueue {
		rate, work := known.arrivalRates(now, c.options.BoxLeadTime), known.meanWork()
		steady += int(rate.steady * work / float64(time.Second.Milliseconds()))
		expected += int(rate.expected * work / float64(time.Second.Milliseconds()))
	}
	return steady, expected
}

// meanSlackMs returns the time that arriving jobs can wait, weighed by their work.
func (c *Cell) meanSlackMs(now time.Time) int {
	sum, work := 0.0, 0.0
	for _, known := range c.statsByQueue {
		weight := known.arrivalRates(now, 0).steady * known.meanWork()
		sum += known.meanSlackMs * weight
		work += weight
	}
	if work > 0 {
		return int(sum / work)
	}
	// Nothing comes now; what came before tells.
	for _, known := range c.statsByQueue {
		sum += known.meanSlackMs * float64(known.jobCount)
		work += float64(known.jobCount)
	}
	if work == 0 {
		return 0
	}
	return int(sum / work)
}

// meanTaskMs returns the usual time of a cell's tasks in milliseconds, weighed by
// their numbers.
func (c *Cell) meanTaskMs() int {
	sum, runs := 0.0, 0
	for _, known := range c.statsByQueue {
		sum += known.times.meanMs * float64(known.times.logTime.count)
		runs += known.times.logTime.count
	}
	if runs == 0 {
		return 0
	}
	return int(sum / float64(runs))
}
