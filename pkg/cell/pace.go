package cell

import "time"

// progress is how fast a run gets on, by what looks have shown of it.
type progress struct {
	// basePercent is where it was when it was first seen to get on, in percent.
	basePercent int
	baseAt      time.Time
	reportedAt  time.Time
	percent     int
	// advancedAt is when it was last seen to have got on.
	advancedAt time.Time
}

// minMeasuredPercent is the progress, in percent, from which a pace can be told: looks
// round to whole percents.
const minMeasuredPercent = 6

// update takes how far a run is.
func (p *progress) update(now time.Time, percent int) {
	switch {
	case p.advancedAt.IsZero():
		p.advancedAt = now
	case percent != p.percent:
		p.advancedAt = now
		if p.baseAt.IsZero() {
			p.basePercent, p.baseAt = percent, now
		}
	}
	p.reportedAt, p.percent = now, percent
}

// percentPerMs returns the progress in percent a millisecond, or 0 while it isn't known.
func (p *progress) percentPerMs() float64 {
	if p.baseAt.IsZero() || p.percent-p.basePercent < minMeasuredPercent {
		return 0
	}
	return float64(p.percent-p.basePercent) / float64(max(1, p.reportedAt.Sub(p.baseAt).Milliseconds()))
}

// totalMs returns how long the whole task takes at this pace, or 0 while that
// isn't known.
func (p *progress) totalMs() float64 {
	if speed := p.percentPerMs(); speed > 0 {
		return fullPercent / speed
	}
	return 0
}

// remainingMs returns how long the run still takes at its pace, or 0 while that isn't
// known.
func (r *run) remainingMs() float64 {
	if speed := r.progress.percentPerMs(); speed > 0 {
		return float64(fullPercent-r.percent) / speed
	}
	return 0
}

// remainingMs estimates how long a run still takes, in milliseconds.
func (c *Cell) remainingMs(r *run) int {
	if left := r.remainingMs(); left > 0 {
		return int(left) - int(c.now.Sub(r.progress.reportedAt).Milliseconds())
	}
	usual := c.statsOf(r.task.phase.job().queue).times.estimate(r.task.phase.spec.EstimateMs)
	return max(minRemainingMs, usual-int(c.now.Sub(r.startedAt).Milliseconds()))
}

// minRemainingMs is what a run is taken to need when it should have ended already.
const minRemainingMs = 200
