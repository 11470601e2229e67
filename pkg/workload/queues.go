package workload

import "time"

// Queues holds the statistics of several queues, by name.
type Queues map[string]*Queue

// Of returns the statistics of a queue. It adds empty ones if there are none yet.
func (q Queues) Of(name string) *Queue {
	if q[name] == nil {
		q[name] = &Queue{}
	}
	return q[name]
}

// OfferedCPU returns the work that arrives per unit of time, in thousandths of a core. steady is the
// present amount, and expected the amount after the time ahead.
func (q Queues) OfferedCPU(now time.Time, ahead time.Duration) (steady, expected int) {
	for _, queue := range q {
		rates, work := queue.ArrivalRates(now, ahead), queue.MeanWork()
		steady += int(rates.Steady * work / float64(time.Second.Milliseconds()))
		expected += int(rates.Expected * work / float64(time.Second.Milliseconds()))
	}
	return steady, expected
}

// MeanSlackMs returns the mean time that arriving jobs can wait, in milliseconds, weighted by their work.
func (q Queues) MeanSlackMs(now time.Time) int {
	sum, work := 0.0, 0.0
	for _, queue := range q {
		weight := queue.ArrivalRates(now, 0).Steady * queue.MeanWork()
		sum += queue.meanSlackMs * weight
		work += weight
	}
	if work > 0 {
		return int(sum / work)
	}
	// No jobs arrive now: use the statistics of the earlier ones.
	for _, queue := range q {
		sum += queue.meanSlackMs * float64(queue.jobCount)
		work += float64(queue.jobCount)
	}
	if work == 0 {
		return 0
	}
	return int(sum / work)
}

// MeanTaskMs returns the mean time of tasks in milliseconds, weighted by the number of runs of each queue.
func (q Queues) MeanTaskMs() int {
	sum, runs := 0.0, 0
	for _, queue := range q {
		sum += queue.times.meanMs * float64(queue.times.logTime.count)
		runs += queue.times.logTime.count
	}
	if runs == 0 {
		return 0
	}
	return int(sum / float64(runs))
}
