package cell

import (
	"math"
	"time"
)

// Rules of what is learned of queues.
const (
	// learnWeight is the part that a new value has in a learned mean.
	learnWeight = 0.05
	// minLearnedRuns is the number of runs after which the mean time is believed.
	minLearnedRuns = 20
	// mostWorkVariance bounds the variance of the logarithm of jobs' work that is
	// believed: the first jobs are few, and a single giant must not double the mean.
	mostWorkVariance = 0.6
)

// queueStats is what an owner learns of a queue.
type queueStats struct {
	arrivals arrivals
	// times are those of its tasks.
	times runTimes
	// work is of the logarithms of its jobs' work, in thousandths of a core times
	// milliseconds.
	work spreadOf
	// jobs is the number of jobs, slack the mean time that they can wait and chain
	// the mean time that they take when nothing waits, in milliseconds.
	jobs  int
	slack float64
	chain float64
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

// arrive counts a job and learns of its work.
func (q *queueStats) arrive(now time.Time, work, slackMs, chainMs int) {
	q.arrivals.add(now)
	q.work.add(math.Log(max(1, float64(work))))
	q.jobs++
	weight := max(learnWeight, 1/float64(q.jobs))
	q.slack += weight * (float64(slackMs) - q.slack)
	q.chain += weight * (float64(chainMs) - q.chain)
}

// meanWork returns the mean work of a job, taking the logarithms to be spread evenly
// about their mean.
func (q *queueStats) meanWork() float64 {
	if q.jobs == 0 {
		return 0
	}
	return math.Exp(q.work.mean + min(q.work.variance, mostWorkVariance)/2)
}

// rates returns the jobs a second that come now, and those that will be at work some
// time ahead: what is at work then came half its own time earlier.
func (q *queueStats) rates(now time.Time, ahead time.Duration) rates {
	return q.arrivals.perSecond(now, max(0, ahead-time.Duration(q.chain/2)*time.Millisecond))
}

// offered returns the work that arrives, in thousandths of a core: what now comes,
// and what is to be expected by the time that another box could have come.
func (c *Cell) offered(now time.Time) (steady, expected int) {
	for _, known := range c.statsByQueue {
		rate, work := known.rates(now, c.options.BoxLeadTime), known.meanWork()
		steady += int(rate.steady * work / float64(time.Second.Milliseconds()))
		expected += int(rate.expected * work / float64(time.Second.Milliseconds()))
	}
	return steady, expected
}

// slackMs returns the time that arriving jobs can wait, weighed by their work.
func (c *Cell) slackMs(now time.Time) int {
	sum, work := 0.0, 0.0
	for _, known := range c.statsByQueue {
		weight := known.rates(now, 0).steady * known.meanWork()
		sum += known.slack * weight
		work += weight
	}
	if work > 0 {
		return int(sum / work)
	}
	// Nothing comes now; what came before tells.
	for _, known := range c.statsByQueue {
		sum += known.slack * float64(known.jobs)
		work += float64(known.jobs)
	}
	if work == 0 {
		return 0
	}
	return int(sum / work)
}

// taskMs returns the usual time of a cell's tasks in milliseconds, weighed by
// their numbers.
func (c *Cell) taskMs() int {
	sum, runs := 0.0, 0
	for _, known := range c.statsByQueue {
		sum += known.times.mean * float64(known.times.actual.count)
		runs += known.times.actual.count
	}
	if runs == 0 {
		return 0
	}
	return int(sum / float64(runs))
}
