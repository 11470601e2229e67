package boxplan

import (
	"fmt"
	"maps"
	"slices"

	"damsonwinch"
)

// Summary returns lines of text on the boxes and demand of each cell and on the progress of each
// wave, for the log and for operators.
func (p *Planner) Summary() []string {
	lines := make([]string, 0, len(p.cellNames))
	for _, name := range p.cellNames {
		c := p.cells[name]
		if shortage := p.shortages[name]; shortage != "" {
			lines = append(lines, shortage)
		}
		n := p.countByState(name)
		boxes := fmt.Sprintf("%s: %d boxes at work, %d coming, %d being emptied, %d in maintenance, %d down, %d out of reach, %d in evacuated zones", name, n.working, n.coming, n.emptying, n.maintained, n.down, n.silent, n.evacuated)
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

// stateCounts holds the numbers of a cell's boxes by their states, in the order of the Summary's text:
// in use, on their way to the cell, being withdrawn, being maintained, down, not answering, in evacuated
// zones.
type stateCounts struct {
	working, coming, emptying, maintained, down, silent, evacuated int
}

// countByState counts the boxes of a cell, and those on their way to it, by their states.
func (p *Planner) countByState(cellName string) stateCounts {
	var n stateCounts
	for _, b := range p.boxesByName {
		switch {
		case b.issued != nil && b.issued.Pool != "":
			if p.servedCell(b) == cellName {
				n.coming++
			}
		case b.cellName() != cellName:
		case b.issued != nil || b.info.State == damsonwinch.BoxMaintenance:
			n.maintained++
		case b.info.State == damsonwinch.BoxDown:
			n.down++
		case b.report != nil && b.report.Silent:
			n.silent++
		case b.planned != nil:
			n.emptying++
		case p.isEvacuated(b):
			n.evacuated++
		default:
			n.working++
		}
	}
	return n
}
