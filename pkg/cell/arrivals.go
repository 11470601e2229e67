package cell

import (
	"math"
	"time"
)

// Sizes of what is remembered of the jobs that arrive.
const (
	arrivalSlot = 100 * time.Millisecond
	// arrivalSlots cover the longest window twice: what came before tells whether
	// the rate changes.
	arrivalSlots = 48
	// enoughJobs is the number of jobs in a window from which it tells the rate well:
	// chance makes it a quarter more or less.
	enoughJobs = 16
	// rateDoubt and trendDoubt are the parts of a figure's standard deviation that
	// are taken for chance, of a steady rate and of one that is seen to change.
	rateDoubt  = 0.15
	trendDoubt = 1.5
	// mostRise bounds how many times the present rate may be expected.
	mostRise = 3
)

// arrivalWindows are numbers of slots: a short window shows a change of demand soon,
// a long one tells the rate of jobs that are few.
var arrivalWindows = []int{6, 12, 24}

// arrivals counts the jobs of a queue by the time at which they came.
type arrivals struct {
	// counts holds the jobs of each slot, by the slot's number since 1970.
	counts [arrivalSlots]int
	slot   int64
}

// turn forgets the slots that are too long ago.
func (a *arrivals) turn(now time.Time) {
	slot := now.UnixMilli() / arrivalSlot.Milliseconds()
	for step := min(slot-a.slot, arrivalSlots) - 1; step >= 0; step-- {
		a.counts[(slot-step)%arrivalSlots] = 0
	}
	a.slot = max(a.slot, slot)
}

// add counts a job.
func (a *arrivals) add(now time.Time) {
	a.turn(now)
	a.counts[a.slot%arrivalSlots]++
}

// count returns the jobs of a number of slots that ended some slots ago.
func (a *arrivals) count(slots, ago int) int {
	sum := 0
	for back := ago; back < ago+slots; back++ {
		sum += a.counts[(a.slot-int64(back)+arrivalSlots)%arrivalSlots]
	}
	return sum
}

// rates are a queue's jobs a second.
type rates struct {
	// steady is what now comes, and expected what will come if a trend goes on.
	steady   float64
	expected float64
}

// perSecond returns the rates now and some time ahead. Each is one that is hardly a
// mere chance.
func (a *arrivals) perSecond(now time.Time, ahead time.Duration) rates {
	a.turn(now)
	var found rates
	for _, window := range arrivalWindows {
		newer := a.count(window, 0)
		if found.steady == 0 && (newer >= enoughJobs || window == arrivalWindows[len(arrivalWindows)-1]) {
			found.steady = sureRate(newer, window)
		}
		found.expected = max(found.expected, trend(newer, a.count(window, window), window, ahead))
	}
	found.expected = max(found.steady, found.expected)
	return found
}

// sureRate returns the rate of a window's jobs less a little for chance.
func sureRate(count, window int) float64 {
	return (float64(count) - rateDoubt*math.Sqrt(float64(count))) / seconds(window)
}

// trend returns the rate some time ahead if it goes on to change as it did from one
// window to the next, less what may be chance.
func trend(newer, older, window int, ahead time.Duration) float64 {
	length := seconds(window)
	// The newer window's rate is that of its middle.
	reach := (length/2 + ahead.Seconds()) / (length * length)
	rate := float64(newer) / length
	deviation := math.Sqrt(float64(newer)*square(1/length+reach) + float64(older)*square(reach))
	return min(rate*mostRise, rate+float64(newer-older)*reach-trendDoubt*deviation)
}

func square(value float64) float64 {
	return value * value
}

func seconds(slots int) float64 {
	return (time.Duration(slots) * arrivalSlot).Seconds()
}
