package boxplan

import (
	"fmt"
	"maps"
	"slices"

	"damsonwinch"
)

// Summary returns lines of text on the control of boxes if it is away, on the boxes and demand of each cell
// and on the progress of each wave, for the log and for operators.
func (p *Planner) Summary() []string {
	lines := make([]string, 0, len(p.cellNames))
	counts := p.countActivities()
	if p.controlIsAway() {
		lines = append(lines, fmt.Sprintf("control of boxes has not answered for %d ms: boxes are given back to their cells", p.now.Sub(p.listedAt).Milliseconds()))
	}
	for _, name := range p.cellNames {
		c := p.cells[name]
		if shortage := p.shortages[name]; shortage != "" {
			lines = append(lines, shortage)
		}
		if !c.unservedSince.IsZero() {
			lines = append(lines, p.longRunningState(c).describe(name))
		}
		n := counts[name]
		boxes := fmt.Sprintf("%s: %d boxes at work, %d coming, %d being emptied, %d in maintenance, %d down, %d out of reach, %d in evacuated zones", name, n[boxWorking], n[boxComing], n[boxEmptying], n[boxMaintained], n[boxDown], n[boxSilent], n[boxEvacuated])
		if c.poweredOff {
			lines = append(lines, boxes)
			continue
		}
		r := c.report
		lines = append(lines, fmt.Sprintf("%s; needs %d, keeps %d; cores: long-running %d, running %d and %d late, waiting %d and %d late, arriving %d a second; %d ms a task, %d ms of slack",
			boxes, c.required, c.retained(), r.LastingCpu/1000, r.RunningCpu/1000, r.RunningLateCpu/1000, r.WaitingCpu/1000, r.LateCpu/1000, r.OfferedCpu/1000, r.TaskMs, r.SlackMs))
	}
	return append(lines, p.summarizeWaves()...)
}

// summarizeWaves returns a line on the progress of each wave that isn't completed.
func (p *Planner) summarizeWaves() []string {
	var lines []string
	for _, number := range slices.Sorted(maps.Keys(p.waves)) {
		w := p.waves[number]
		if w.completed {
			continue
		}
		due, down, emptying := p.waveProgress(w)
		lines = append(lines, fmt.Sprintf("wave %d: %d boxes due, %d being emptied, %d in maintenance, %d ordered, after %d of %d s",
			number, len(due), emptying, down, len(w.ordered), int(p.now.Sub(w.startedAt).Seconds()), int(w.Duration.Seconds())))
	}
	return lines
}

// boxActivity is what a box does, for the summary.
type boxActivity int

const (
	boxWorking boxActivity = iota
	boxComing
	boxEmptying
	boxMaintained
	boxDown
	boxSilent
	boxEvacuated
	boxActivities
)

// activityCounts holds the numbers of boxes by what they do.
type activityCounts [boxActivities]int

// countActivities counts, by cell, the boxes of the cell and those on their way to it.
func (p *Planner) countActivities() map[string]activityCounts {
	counts := make(map[string]activityCounts, len(p.cellNames))
	for _, b := range p.boxesByName {
		cell, activity := b.cellName(), p.activityOf(b)
		if activity == boxComing {
			cell = p.servedCell(b)
		}
		n := counts[cell]
		n[activity]++
		counts[cell] = n
	}
	return counts
}

// activityOf returns what a box does.
func (p *Planner) activityOf(b *box) boxActivity {
	switch {
	case b.issued != nil && b.issued.Pool != "":
		return boxComing
	case b.issued != nil || b.info.State == damsonwinch.BoxMaintenance:
		return boxMaintained
	case b.info.State == damsonwinch.BoxDown:
		return boxDown
	case b.report != nil && b.report.Silent:
		return boxSilent
	case b.planned != nil:
		return boxEmptying
	case p.isEvacuated(b):
		return boxEvacuated
	}
	return boxWorking
}
