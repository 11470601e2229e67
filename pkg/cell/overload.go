package cell

import (
	"slices"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/triage"
)

// fixedValueShare is the part of a job's worth that doesn't grow with its work, by which the
// users measure: 0.3, and 0.7 times its work over the queue's mean.
const fixedValueShare = 0.3

// deferPhases chooses the phases that wait behind the others because not all can be in time.
func (c *Cell) deferPhases() {
	for _, p := range c.openPhases {
		p.deferred = false
	}
	nowMs := int(c.now.UnixMilli())
	waiting, needed := c.onTimePhases(nowMs)
	capacity := c.room()
	if needed <= capacity.FreeCPU {
		return
	}
	slices.SortStableFunc(waiting, func(a, b *phase) int { return a.startByMs() - b.startByMs() })
	items := make([]triage.Item, len(waiting))
	for at, p := range waiting {
		items[at] = c.triageItem(p, nowMs)
	}
	for at, put := range triage.Defer(items, capacity) {
		waiting[at].deferred = put
	}
}

// onTimePhases returns the phases with waiting tasks whose jobs can be in time, and the
// room that they need.
func (c *Cell) onTimePhases(nowMs int) (waiting []*phase, needed int) {
	for _, p := range c.openPhases {
		if !p.spec.Lasting && p.lateAtMs > 0 && !p.isLate(nowMs) && len(p.ready) > 0 && p.overQuotaSince.IsZero() {
			waiting = append(waiting, p)
			needed += len(p.ready) * p.need().MilliCPU
		}
	}
	return waiting, needed
}

// room returns what the cell's endpoints have free and how fast their tasks end.
func (c *Cell) room() triage.Capacity {
	free, turning := 0, 0
	for _, e := range c.sortedEndpoints {
		if !e.usable() || e.overdue || e.zone.mayBeCutOff() || !c.healthAllows(e) {
			continue
		}
		free += max(0, e.free().MilliCPU)
		turning += max(0, e.info.Capacity.MilliCPU-e.longRunningNeed().MilliCPU)
	}
	taskMs := c.meanTaskMs()
	if taskMs == 0 {
		taskMs = int(defaultTaskTime.Milliseconds())
	}
	return triage.Capacity{FreeCPU: free, FreedCPUPerMs: float64(turning) / float64(taskMs)}
}

// defaultTaskTime is the time of a task while none has ended yet.
const defaultTaskTime = time.Second

// longRunningNeed returns the room that lasting tasks take at an endpoint.
func (e *endpoint) longRunningNeed() damsonwinch.Resources {
	var sum damsonwinch.Resources
	for _, r := range e.runsByStart {
		if r.task.phase.spec.Lasting {
			sum = sum.Plus(r.task.phase.need())
		}
	}
	return sum
}

// triageItem says what a phase needs and what its job is worth.
func (c *Cell) triageItem(p *phase, nowMs int) triage.Item {
	j := p.job()
	rest := 0
	for _, other := range p.round.phases {
		left := other.unfinishedTasks
		if other == p {
			left = len(p.ready)
		}
		rest += left * other.spec.Cpu * j.taskMs[other.number]
	}
	mean := c.statsOf(j.queue).meanWork()
	return triage.Item{
		CPU: len(p.ready) * p.need().MilliCPU, StartWithinMs: p.startByMs() - nowMs,
		Value: fixedValueShare*mean + (1-fixedValueShare)*float64(j.work), RemainingWork: float64(rest),
	}
}

// startByMs returns until when a phase's tasks have to start for its job to be in time, if
// they take as long as expected.
func (p *phase) startByMs() int {
	return p.lateAtMs - p.job().criticalPathMs[p.number]*(100-minPathPercent)/100
}
