package workload

import (
	"math"
	"time"
)

// Limits of the statistics on arriving jobs.
const (
	// arrivalSlot is the length of the time slots in which arriving jobs are counted.
	arrivalSlot = 100 * time.Millisecond
	// arrivalSlotCount is the number of slots that are kept. They cover the longest window twice,
	// because the window before it shows whether the rate is changing.
	arrivalSlotCount = 48
	// minWindowJobs is the number of jobs in a window from which the window gives a good estimate
	// of the rate: the standard deviation is a quarter of the rate then.
	minWindowJobs = 16
	// steadyDeviations and trendDeviations are the numbers of standard deviations that are
	// subtracted from a steady rate and from a changing one, because that much may be chance.
	steadyDeviations = 0.15
	trendDeviations  = 1.5
	// maxRateFactor bounds the expected rate, as a multiple of the present one.
	maxRateFactor = 3
)

// arrivalWindows are window lengths in slots. A short window shows a change of demand soon; a long
// one gives the rate when there are few jobs.
var arrivalWindows = []int{6, 12, 24}

// arrivals counts the jobs of a queue by the time slot in which they arrived.
type arrivals struct {
	// counts is a ring buffer of the number of jobs in each slot. slot is the number of the newest
	// slot; slots are numbered from 1970.
	counts [arrivalSlotCount]int
	slot   int64
}

// advance moves to the slot of the given time and clears the slots that it reuses.
func (a *arrivals) advance(now time.Time) {
	slot := now.UnixMilli() / arrivalSlot.Milliseconds()
	for step := min(slot-a.slot, arrivalSlotCount) - 1; step >= 0; step-- {
		a.counts[(slot-step)%arrivalSlotCount] = 0
	}
	a.slot = max(a.slot, slot)
}

// add counts a job that arrives now.
func (a *arrivals) add(now time.Time) {
	a.advance(now)
	a.counts[a.slot%arrivalSlotCount]++
}

// count returns the number of jobs in a window. slots is the length of the window, and ago the
// number of slots from its end to the newest slot.
func (a *arrivals) count(slots, ago int) int {
	sum := 0
	for back := ago; back < ago+slots; back++ {
		sum += a.counts[(a.slot-int64(back)+arrivalSlotCount)%arrivalSlotCount]
	}
	return sum
}

// Rates are rates of arriving jobs, in jobs per second.
type Rates struct {
	// Steady is the present rate, and Expected the rate if the trend continues.
	Steady   float64
	Expected float64
}

// rates returns the present rate and the rate expected after the time ahead. Both are low
// estimates: what may be chance has been subtracted.
func (a *arrivals) rates(now time.Time, ahead time.Duration) Rates {
	a.advance(now)
	var result Rates
	for _, window := range arrivalWindows {
		newer := a.count(window, 0)
		if result.Steady == 0 && (newer >= minWindowJobs || window == arrivalWindows[len(arrivalWindows)-1]) {
			result.Steady = steadyRate(newer, window)
		}
		result.Expected = max(result.Expected, trendRate(newer, a.count(window, window), window, ahead))
	}
	result.Expected = max(result.Steady, result.Expected)
	return result
}

// steadyRate returns the rate of a window, in jobs per second, less steadyDeviations. count is the
// number of jobs in the window, and window its length in slots.
func steadyRate(count, window int) float64 {
	return (float64(count) - steadyDeviations*math.Sqrt(float64(count))) / seconds(window)
}

// trendRate returns the rate after the time ahead, in jobs per second, if it goes on changing as it
// did from one window to the next, less trendDeviations. older and newer are the numbers of jobs in
// the two windows, and window is the length of each in slots.
func trendRate(newer, older, window int, ahead time.Duration) float64 {
	length := seconds(window)
	// The rate of the newer window is the rate in its middle, so the trend goes on for half a
	// window and the time ahead. factor is the change of the rate by then per job of difference
	// between the windows.
	factor := (length/2 + ahead.Seconds()) / (length * length)
	rate := float64(newer) / length
	deviation := math.Sqrt(float64(newer)*square(1/length+factor) + float64(older)*square(factor))
	return min(rate*maxRateFactor, rate+float64(newer-older)*factor-trendDeviations*deviation)
}

func square(value float64) float64 {
	return value * value
}

// seconds returns the length of a number of slots in seconds.
func seconds(slots int) float64 {
	return (time.Duration(slots) * arrivalSlot).Seconds()
}
