package cell

import "time"

// pace is how fast a run gets on, by what looks have shown of it.
type pace struct {
	// from is where it was when it was first seen to get on, in percent.
	from    int
	fromAt  time.Time
	seenAt  time.Time
	percent int
	// movedAt is when it was last seen to have got on.
	movedAt time.Time
}

// leastWatched is the progress, in percent, from which a pace can be told: looks
// round to whole percents.
const leastWatched = 6

// see takes how far a run is.
func (p *pace) see(now time.Time, percent int) {
	switch {
	case p.movedAt.IsZero():
		p.movedAt = now
	case percent != p.percent:
		p.movedAt = now
		if p.fromAt.IsZero() {
			p.from, p.fromAt = percent, now
		}
	}
	p.seenAt, p.percent = now, percent
}

// perMs returns the progress in percent a millisecond, or 0 while it isn't known.
func (p *pace) perMs() float64 {
	if p.fromAt.IsZero() || p.percent-p.from < leastWatched {
		return 0
	}
	return float64(p.percent-p.from) / float64(max(1, p.seenAt.Sub(p.fromAt).Milliseconds()))
}

// totalMs returns how long the whole task takes at this pace, or 0 while that
// isn't known.
func (p *pace) totalMs() float64 {
	if speed := p.perMs(); speed > 0 {
		return fullPercent / speed
	}
	return 0
}

// leftMs returns how long the run still takes at its pace, or 0 while that isn't
// known.
func (r *run) leftMs() float64 {
	if speed := r.pace.perMs(); speed > 0 {
		return float64(fullPercent-r.percent) / speed
	}
	return 0
}

// leftMs estimates how long a run still takes, in milliseconds.
func (c *Cell) leftMs(r *run) int {
	if left := r.leftMs(); left > 0 {
		return int(left) - int(c.now.Sub(r.pace.seenAt).Milliseconds())
	}
	usual := c.statsOf(r.task.phase.job().queue).times.estimate(r.task.phase.spec.EstimateMs)
	return max(leastLeftMs, usual-int(c.now.Sub(r.since).Milliseconds()))
}

// leastLeftMs is what a run is taken to need when it should have ended already.
const leastLeftMs = 200
