package cell

import (
	"math"
	"time"
)

// Sizes of what is remembered of the jobs that arrive.
const (
	arrivalSlot = 100 * time.Millisecond
	// arrivalSlots cover the longest window over which arriving jobs are counted.
	arrivalSlots = 24
	// learnWeight is the part that a new value has in a learned mean.
	learnWeight = 0.05
	// learnedRuns is the number of runs after which the mean time is believed.
	learnedRuns = 20
	// usualDeviation is the part of a count's standard deviation that is taken for
	// chance.
	usualDeviation = 0.15
	// riseFrom is the ratio of the newest rate to that of the longest window from
	// which demand counts as rising; risePart of what the ratio is above 1 is added
	// to the newest rate, up to mostRise times it.
	riseFrom = 1.4
	risePart = 0.7
	mostRise = 3
	// recentShare is the part of the longest window in which its jobs may at most
	// have come.
	recentShare = 8
	// shortestWindow is the shortest window that counts, in times of a task.
	shortestWindow = 0.35
)

// arrivalWindows are numbers of slots: a short window shows a jump of demand soon,
// a long one tells the rate of jobs that are few.
var arrivalWindows = []int{3, 6, 12, 24}

// queueStats is what an owner learns of a queue.
type queueStats struct {
	// counts and works hold the jobs of each slot and their work, by the slot's
	// number since 1970.
	counts [arrivalSlots]int
	works  [arrivalSlots]float64
	slot   int64
	times  runTimes
	// jobs and work are the number of jobs and their mean work, in thousandths of
	// a core times milliseconds.
	jobs int
	work float64
	// slack is the mean time that jobs can wait, in milliseconds.
	slack float64
}

// statsOf returns what is known of a queue.
func (c *Cell) statsOf(queue string) *queueStats {
	known := c.learned[queue]
	if known == nil {
		known = &queueStats{}
		c.learned[queue] = known
	}
	return known
}

func (q *queueStats) turn(now time.Time) {
	slot := now.UnixMilli() / arrivalSlot.Milliseconds()
	for step := min(slot-q.slot, arrivalSlots) - 1; step >= 0; step-- {
		q.counts[(slot-step)%arrivalSlots] = 0
		q.works[(slot-step)%arrivalSlots] = 0
	}
	q.slot = max(q.slot, slot)
}

// arrive counts a job and learns of its work.
func (q *queueStats) arrive(now time.Time, work, slackMs int) {
	q.turn(now)
	q.counts[q.slot%arrivalSlots]++
	q.works[q.slot%arrivalSlots] += float64(work)
	q.jobs++
	weight := max(learnWeight, 1/float64(q.jobs))
	q.work += weight * (float64(work) - q.work)
	q.slack += weight * (float64(slackMs) - q.slack)
}

// rates are a queue's jobs a second.
type rates struct {
	// steady is what now comes, and expected what will come if a rise goes on.
	steady   float64
	expected float64
}

// perSecond returns the rates that are to be counted on. In each window the count
// less a part of its usual deviation is a rate that is hardly a mere chance; the
// window that shows most is gone by. Windows that are short beside the time of a
// task are left out: few jobs of long tasks come in them, and there is time.
func (q *queueStats) perSecond(now time.Time) rates {
	q.turn(now)
	var found rates
	shortest, count, next := 0.0, 0, 0
	for _, window := range arrivalWindows {
		for ; next < window; next++ {
			count += q.counts[(q.slot-int64(next)+arrivalSlots)%arrivalSlots]
		}
		if window < arrivalSlots && float64(window*int(arrivalSlot.Milliseconds())) < shortestWindow*q.times.mean {
			continue
		}
		sure := (float64(count) - usualDeviation*math.Sqrt(float64(count))) / seconds(window)
		found.steady = max(found.steady, sure)
		if shortest == 0 {
			shortest = sure
		}
	}
	found.expected = max(found.steady, rising(shortest, float64(count)/seconds(arrivalSlots)))
	return found
}

func seconds(slots int) float64 {
	return (time.Duration(slots) * arrivalSlot).Seconds()
}

// rising returns the rate to expect when the newest one is well above that of a
// longer while: demand that has begun to move to a queue goes on doing so.
func rising(newest, longer float64) float64 {
	if longer <= 0 || newest < riseFrom*longer {
		return newest
	}
	return newest * min(mostRise, 1+risePart*(newest/longer-1))
}

// recentWork returns the work of the jobs of the longest window.
func (q *queueStats) recentWork() float64 {
	sum := 0.0
	for _, work := range q.works {
		sum += work
	}
	return sum
}

// offered returns the work that arrives, in thousandths of a core: what now comes,
// and what is to be expected. While few jobs have come, their mean work is a
// guess; no more is taken to come than what has, in a quarter of its time.
func (c *Cell) offered(now time.Time) (steady, expected int) {
	for _, known := range c.learned {
		rate := known.perSecond(now)
		most := known.recentWork() / seconds(arrivalSlots/recentShare)
		steady += int(min(rate.steady*known.work, most) / float64(time.Second.Milliseconds()))
		expected += int(min(rate.expected*known.work, most) / float64(time.Second.Milliseconds()))
	}
	return steady, expected
}

// slackMs returns the time that arriving jobs can wait, weighed by their work.
func (c *Cell) slackMs(now time.Time) int {
	sum, work := 0.0, 0.0
	for _, known := range c.learned {
		weight := known.perSecond(now).steady * known.work
		sum += known.slack * weight
		work += weight
	}
	if work > 0 {
		return int(sum / work)
	}
	// Nothing comes now; what came before tells.
	for _, known := range c.learned {
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
	for _, known := range c.learned {
		sum += known.times.mean * float64(known.times.actual.count)
		runs += known.times.actual.count
	}
	if runs == 0 {
		return 0
	}
	return int(sum / float64(runs))
}

// workOf estimates a job's work, in thousandths of a core times milliseconds.
func (c *Cell) workOf(j *job) int {
	known := c.statsOf(j.queue)
	work := 0
	for at := range j.spec.Phases {
		phase := &j.spec.Phases[at]
		if phase.Lasting || phase.Fills {
			continue
		}
		work += phase.Count * phase.Cpu * known.times.estimate(phase.EstimateMs)
	}
	return work
}
