package supply

import (
	"fmt"
	"maps"
	"slices"

	"damsonwinch"
)

// Summary says in words how each cell stands, for the log and for operators.
func (p *Planner) Summary() []string {
	lines := make([]string, 0, len(p.cellNames))
	for _, name := range p.cellNames {
		pool := p.cells[name]
		if wait := p.shortages[name]; wait != "" {
			lines = append(lines, wait)
		}
		c := p.countByState(name)
		boxes := fmt.Sprintf("%s: %d boxes at work, %d coming, %d being emptied, %d in maintenance, %d down, %d out of reach", name, c.working, c.coming, c.emptying, c.maintained, c.down, c.silent)
		if pool.poweredOff {
			lines = append(lines, boxes)
			continue
		}
		r := pool.report
		lines = append(lines, fmt.Sprintf("%s; needs %d, lately %d; cores: lasting %d, running %d and %d late, waiting %d and %d late, arriving %d a second; %d ms a task, %d ms to wait",
			boxes, pool.required, pool.retained(), r.LastingCpu/1000, r.RunningCpu/1000, r.RunningLateCpu/1000, r.WaitingCpu/1000, r.LateCpu/1000, r.OfferedCpu/1000, r.TaskMs, r.SlackMs))
	}
	return append(lines, p.summarizeWaves()...)
}

// summarizeWaves says how far each wave is.
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

// counts are a cell's boxes by what they are doing.
type counts struct {
	working, coming, emptying, maintained, down, silent int
}

func (p *Planner) countByState(name string) counts {
	var c counts
	for _, b := range p.boxesByName {
		switch {
		case b.issued != nil && b.issued.Pool != "":
			if p.servedCell(b) == name {
				c.coming++
			}
		case b.cellName() != name:
		case b.issued != nil || b.info.State == damsonwinch.BoxMaintenance:
			c.maintained++
		case b.info.State == damsonwinch.BoxDown:
			c.down++
		case b.report != nil && b.report.Silent:
			c.silent++
		case b.planned != nil:
			c.emptying++
		default:
			c.working++
		}
	}
	return c
}
