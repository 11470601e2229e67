package workload

import "time"

// Progress tracks how fast a run makes progress, according to the replies to polls.
type Progress struct {
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

// Update notes a report of how much of the task is done.
func (p *Progress) Update(now time.Time, percent int) {
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
func (p *Progress) percentPerMs() float64 {
	if p.baseAt.IsZero() || p.percent-p.basePercent < minMeasuredPercent {
		return 0
	}
	return float64(p.percent-p.basePercent) / float64(max(1, p.reportedAt.Sub(p.baseAt).Milliseconds()))
}

// TotalMs returns how many milliseconds the whole task takes at the measured speed, or 0 while that
// isn't known.
func (p *Progress) TotalMs() float64 {
	if speed := p.percentPerMs(); speed > 0 {
		return fullPercent / speed
	}
	return 0
}

// RemainingMs returns how many milliseconds the run still took at its measured speed when it was last
// reported, or 0 while that isn't known.
func (p *Progress) RemainingMs() float64 {
	if speed := p.percentPerMs(); speed > 0 {
		return float64(fullPercent-p.percent) / speed
	}
	return 0
}

// AdvancedAt returns when the run was last seen to have made progress.
func (p *Progress) AdvancedAt() time.Time {
	return p.advancedAt
}

// ReportedAt returns when the last report arrived.
func (p *Progress) ReportedAt() time.Time {
	return p.reportedAt
}

// fullPercent is the progress of a task that is done.
const fullPercent = 100
