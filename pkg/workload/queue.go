// Package workload learns what the jobs of a queue are like from those that it has seen: how many arrive,
// how much work they are, how long their tasks take, and how far their clients' estimates are off. It does
// no I/O and reads no clock.
package workload

import (
	"math"
	"time"

	"damsonwinch/pkg/wire"
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

// Queue holds the statistics of the jobs and tasks of a queue. The zero value is that of a queue without
// jobs.
type Queue struct {
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

// AddJob adds a job that has just arrived to the statistics: its work, the time that it can wait
// and still meet its deadline, and the length of its critical path, both in milliseconds.
func (q *Queue) AddJob(now time.Time, work, slackMs, pathMs int) {
	q.arrivals.add(now)
	q.logWork.add(math.Log(max(1, float64(work))))
	q.jobCount++
	weight := max(minSampleWeight, 1/float64(q.jobCount))
	q.meanSlackMs += weight * (float64(slackMs) - q.meanSlackMs)
	q.meanPathMs += weight * (float64(pathMs) - q.meanPathMs)
}

// AddTaskTime adds the run time of a task that is done. estimateMs is the client's estimate in
// milliseconds, or 0.
func (q *Queue) AddTaskTime(took time.Duration, estimateMs int) {
	q.times.addTime(took, estimateMs)
}

// EstimateMs returns the expected time of a task in milliseconds, given the client's estimate or 0.
func (q *Queue) EstimateMs(estimateMs int) int {
	return q.times.estimate(estimateMs)
}

// EstimateVariance returns the variance of the logarithm of a task's time around its estimate.
func (q *Queue) EstimateVariance() float64 {
	return q.times.estimateVariance()
}

// KnowsTaskTimes reports whether enough tasks have been done for an estimate of their times.
func (q *Queue) KnowsTaskTimes() bool {
	return q.times.logTime.count >= minLearnedRuns
}

// MeanWork returns the mean work of a job, assuming that the work is log-normally distributed.
func (q *Queue) MeanWork() float64 {
	if q.jobCount == 0 {
		return 0
	}
	return math.Exp(q.logWork.mean + min(q.logWork.variance, maxWorkVariance)/2)
}

// ArrivalRates returns the present rate of arriving jobs, and the expected rate of the jobs that
// will be running after the time ahead. Jobs that run at that time arrived, on average, half their
// own time earlier.
func (q *Queue) ArrivalRates(now time.Time, ahead time.Duration) Rates {
	return q.arrivals.rates(now, max(0, ahead-time.Duration(q.meanPathMs/2)*time.Millisecond))
}

// Record returns the statistics as they are stored, under the name of the queue. The arrivals are left out.
func (q *Queue) Record(name string) wire.QueueRecord {
	return wire.QueueRecord{
		Queue: name, Actual: q.times.logTime.toWire(), Error: q.times.logError.toWire(), MeanMs: q.times.meanMs,
		Jobs: q.jobCount, Work: q.logWork.toWire(), SlackMs: q.meanSlackMs, ChainMs: q.meanPathMs,
	}
}

// Load restores the statistics that a record holds.
func (q *Queue) Load(record wire.QueueRecord) {
	q.times = runTimes{logTime: runningStatsFromWire(record.Actual), logError: runningStatsFromWire(record.Error), meanMs: record.MeanMs}
	q.jobCount, q.logWork = record.Jobs, runningStatsFromWire(record.Work)
	q.meanSlackMs, q.meanPathMs = record.SlackMs, record.ChainMs
}

// toWire returns the statistics as records hold them.
func (s runningStats) toWire() wire.Spread {
	return wire.Spread{Count: s.count, Mean: s.mean, Variance: s.variance}
}

// runningStatsFromWire returns the statistics that toWire has written.
func runningStatsFromWire(record wire.Spread) runningStats {
	return runningStats{count: record.Count, mean: record.Mean, variance: record.Variance}
}
