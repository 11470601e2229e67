package cell

import (
	"math"
	"time"
)

// Limits of the statistics on queues.
const (
	// minSampleWeight is the smallest weight of a new value in a running mean.
	minSampleWeight = 0.05
	// minLearnedRuns is the number of runs after which the statistics of task times are used.
	minLearnedRuns = 20
	// maxWorkVariance bounds the variance of the logarithm of jobs' work that is used for the mean.
	// As long as there are few jobs, a single huge one must not double the mean.
	maxWorkVariance = 0.6
)

// queueStats holds an owner's statistics of the jobs and tasks of a queue.
type queueStats struct {
	arrivals arrivals
	// times holds statistics of the times of its tasks.
	times runTimes
	// logWork holds statistics of the logarithm of a job's work, in thousandths of a core times
	// milliseconds.
	logWork runningStats
	// jobCount is the number of jobs. meanSlackMs is the mean time that jobs can wait and still
	// meet their deadlines, meanPathMs the mean time that they take if nothing waits, both in
	// milliseconds.
	jobCount    int
	meanSlackMs float64
	meanPathMs  float64
}

// statsOf returns the statistics of a queue. It adds empty ones if there are none yet.
func (c *Cell) statsOf(queue string) *queueStats {
	stats := c.statsByQueue[queue]
	if stats == nil {
		stats = &queueStats{}
		c.statsByQueue[queue] = stats
	}
	return stats
}

// addJob adds a job that has just arrived to the statistics: its work, the time that it can wait
// and still meet its deadline, and the length of its critical path, both in milliseconds.
func (q *queueStats) addJob(now time.Time, work, slackMs, pathMs int) {
	q.arrivals.add(now)
	q.logWork.add(math.Log(max(1, float64(work))))
	q.jobCount++
	weight := max(minSampleWeight, 1/float64(q.jobCount))
	q.meanSlackMs += weight * (float64(slackMs) - q.meanSlackMs)
	q.meanPathMs += weight * (float64(pathMs) - q.meanPathMs)
}

// meanWork returns the mean work of a job, assuming that the work is log-normally distributed.
func (q *queueStats) meanWork() float64 {
	if q.jobCount == 0 {
		return 0
	}
	return math.Exp(q.logWork.mean + min(q.logWork.variance, maxWorkVariance)/2)
}

// arrivalRates returns the present rate of arriving jobs, and the expected rate of the jobs that
// will be running after the time ahead. Jobs that run at that time arrived, on average, half their
// own time earlier.
func (q *queueStats) arrivalRates(now time.Time, ahead time.Duration) rates {
	return q.arrivals.rates(now, max(0, ahead-time.Duration(q.meanPathMs/2)*time.Millisecond))
}

// offeredCPU returns the work that arrives per unit of time, in thousandths of a core. steady is
// the present amount, and expected the amount by the time that another box could be available.
func (c *Cell) offeredCPU(now time.Time) (steady, expected int) {
	for _, stats := range c.statsByQueue {
		rate, work := stats.arrivalRates(now, c.options.BoxLeadTime), stats.meanWork()
		steady += int(rate.steady * work / float64(time.Second.Milliseconds()))
		expected += int(rate.expected * work / float64(time.Second.Milliseconds()))
	}
	return steady, expected
}

// meanSlackMs returns the mean time that arriving jobs can wait, in milliseconds, weighted by their
// work.
func (c *Cell) meanSlackMs(now time.Time) int {
	sum, work := 0.0, 0.0
	for _, stats := range c.statsByQueue {
		weight := stats.arrivalRates(now, 0).steady * stats.meanWork()
		sum += stats.meanSlackMs * weight
		work += weight
	}
	if work > 0 {
		return int(sum / work)
	}
	// No jobs arrive now: use the statistics of the earlier ones.
	for _, stats := range c.statsByQueue {
		sum += stats.meanSlackMs * float64(stats.jobCount)
		work += float64(stats.jobCount)
	}
	if work == 0 {
		return 0
	}
	return int(sum / work)
}

// meanTaskMs returns the mean time of the cell's tasks in milliseconds, weighted by the number of
// runs of each queue.
func (c *Cell) meanTaskMs() int {
	sum, runs := 0.0, 0
	for _, stats := range c.statsByQueue {
		sum += stats.times.meanMs * float64(stats.times.logTime.count)
		runs += stats.times.logTime.count
	}
	if runs == 0 {
		return 0
	}
	return int(sum / float64(runs))
}
