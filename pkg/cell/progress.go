package cell

import "time"

// progress tracks how fast a run makes progress, according to the replies to polls.
type progress struct {
	// basePercent is how much of the task was done at baseAt, when the run was first seen to make
	// progress. The speed is measured from there.
	basePercent int
	baseAt      time.Time
	// reportedAt is when the last report arrived, and percent how much of the task was done by
	// then.
	reportedAt time.Time
	percent    int
	// advancedAt is when the run was last seen to have made progress.
	advancedAt time.Time
}

// minMeasuredPercent is the progress from which the speed of a run can be measured, since reports
// are rounded to whole percents.
const minMeasuredPercent = 6

// update notes a report of how much of the task is done.
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

// percentPerMs returns the speed in percent per millisecond, or 0 while it isn't known.
func (p *progress) percentPerMs() float64 {
	if p.baseAt.IsZero() || p.percent-p.basePercent < minMeasuredPercent {
		return 0
	}
	return float64(p.percent-p.basePercent) / float64(max(1, p.reportedAt.Sub(p.baseAt).Milliseconds()))
}

// totalMs returns how many milliseconds the whole task takes at the measured speed, or 0 while that
// isn't known.
func (p *progress) totalMs() float64 {
	if speed := p.percentPerMs(); speed > 0 {
		return fullPercent / speed
	}
	return 0
}

// measuredRemainingMs returns how many milliseconds the run still takes at its measured speed, or 0
// while that isn't known.
func (r *run) measuredRemainingMs() float64 {
	if speed := r.progress.percentPerMs(); speed > 0 {
		return float64(fullPercent-r.percent) / speed
	}
	return 0
}

// estimateRemainingMs estimates how many milliseconds a run still takes: from its measured speed if
// that is known, and otherwise from the expected time of its task.
func (c *Cell) estimateRemainingMs(r *run) int {
	if left := r.measuredRemainingMs(); left > 0 {
		return int(left) - int(c.now.Sub(r.progress.reportedAt).Milliseconds())
	}
	usual := c.statsOf(r.task.phase.job().queue).times.estimate(r.task.phase.spec.EstimateMs)
	return max(minRemainingMs, usual-int(c.now.Sub(r.startedAt).Milliseconds()))
}

// minRemainingMs is the remaining time that is assumed for a run that takes longer than expected,
// while its speed isn't known.
const minRemainingMs = 200
