package cell

import (
	"math"
	"time"
)

// Sizes of what is remembered of the jobs that arrive.
const (
	arrivalSlot = 100 * time.Millisecond
	// arrivalSlotCount cover the longest window twice: what came before tells whether
	// the rate changes.
	arrivalSlotCount = 48
	// minWindowJobs is the number of jobs in a window from which it tells the rate well:
	// chance makes it a quarter more or less.
	minWindowJobs = 16
	// steadyDeviations and trendDoubt are the parts of a figure's standard deviation that
	// are taken for chance, of a steady rate and of one that is seen to change.
	steadyDeviations = 0.15
	trendDeviations  = 1.5
	// maxRateFactor bounds how many times the present rate may be expected.
	maxRateFactor = 3
)

// arrivalWindows are numbers of slots: a short window shows a change of demand soon,
// a long one tells the rate of jobs that are few.
var arrivalWindows = []int{6, 12, 24}

// arrivals counts the jobs of a queue by the time at which they came.
type arrivals struct {
	// counts holds the jobs of each slot, by the slot's number since 1970.
	counts [arrivalSlotCount]int
	slot   int64
}

// advance forgets the slots that are too long ago.
func (a *arrivals) advance(now time.Time) {
	slot := now.UnixMilli() / arrivalSlot.Milliseconds()
	for step := min(slot-a.slot, arrivalSlotCount) - 1; step >= 0; step-- {
		a.counts[(slot-step)%arrivalSlotCount] = 0
	}
	a.slot = max(a.slot, slot)
}

// add counts a job.
func (a *arrivals) add(now time.Time) {
	a.advance(now)
	a.counts[a.slot%arrivalSlotCount]++
}

// count returns the jobs of a number of slots that ended some slots ago.
func (a *arrivals) count(slots, ago int) int {
	sum := 0
	for back := ago; back < ago+slots; back++ {
		sum += a.counts[(a.slot-int64(back)+arrivalSlotCount)%arrivalSlotCount]
	}
	return sum
}

// rates are a queue's jobs a second.
type rates struct {
	// steady is what now comes, and expected what will come if a trend goes on.
	steady   float64
	expected float64
}

// rates returns the rates now and some time ahead. Each is one that is hardly a
// mere chance.
func (a *arrivals) rates(now time.Time, ahead time.Duration) rates {
	a.advance(now)
	var found rates
	for _, window := range arrivalWindows {
		newer := a.count(window, 0)
		if found.steady == 0 && (newer >= minWindowJobs || window == arrivalWindows[len(arrivalWindows)-1]) {
			found.steady = steadyRate(newer, window)
		}
		found.expected = max(found.expected, trendRate(newer, a.count(window, window), window, ahead))
	}
	found.expected = max(found.steady, found.expected)
	return found
}

// steadyRate returns the rate of a window's jobs less a little for chance.
func steadyRate(count, window int) float64 {
	return (float64(count) - steadyDeviations*math.Sqrt(float64(count))) / seconds(window)
}

// trendRate returns the rate some time ahead if it goes on to change as it did from one
// window to the next, less what may be chance.
func trendRate(newer, older, window int, ahead time.Duration) float64 {
	length := seconds(window)
	// The newer window's rate is that of its middle.
	reach := (length/2 + ahead.Seconds()) / (length * length)
	rate := float64(newer) / length
	deviation := math.Sqrt(float64(newer)*square(1/length+reach) + float64(older)*square(reach))
	return min(rate*maxRateFactor, rate+float64(newer-older)*reach-trendDeviations*deviation)
}

func square(value float64) float64 {
	return value * value
}

func seconds(slots int) float64 {
	return (time.Duration(slots) * arrivalSlot).Seconds()
}
