package cell

import (
	"slices"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/overload"
)

// fixedValueShare is the part of a job's value that does not depend on its work. By the users'
// measure, the value of a job is 0.3, plus 0.7 times its work divided by the queue's mean work.
const fixedValueShare = 0.3

// deferPhases chooses the phases that have to wait behind others when not all can meet their
// deadlines, and sets deferred on them.
func (c *Cell) deferPhases() {
	nowMs := int(c.now.UnixMilli())
	for _, p := range c.openPhases {
		p.deferred = false
		if p.isLate(nowMs) {
			c.withdrawCharge(p.job())
		}
	}
	waiting, needed := c.onTimePhases(nowMs)
	capacity := c.capacity()
	if needed <= capacity.FreeCPU {
		return
	}
	slices.SortStableFunc(waiting, func(a, b *phase) int { return a.startByMs() - b.startByMs() })
	items := make([]overload.Item, len(waiting))
	for at, p := range waiting {
		items[at] = c.overloadItem(p, nowMs)
	}
	for at, isDeferred := range overload.Defer(items, capacity) {
		waiting[at].deferred = isDeferred
	}
}

// onTimePhases returns the phases with waiting tasks whose jobs can still meet their deadlines, and
// the CPU that those tasks need, in thousandths of a core.
func (c *Cell) onTimePhases(nowMs int) (waiting []*phase, needed int) {
	for _, p := range c.openPhases {
		if !p.spec.Lasting && p.lateAtMs > 0 && !p.isLate(nowMs) && len(p.ready) > 0 && !c.waitsForAllowance(p) {
			waiting = append(waiting, p)
			needed += len(p.ready) * p.need().MilliCPU
		}
	}
	return waiting, needed
}

// capacity returns the free CPU of the endpoints that may get work, and how much more becomes free
// per millisecond as tasks end.
func (c *Cell) capacity() overload.Capacity {
	free, turnover := 0, 0
	for _, e := range c.sortedEndpoints {
		if !e.usable() || e.leavesUnanswered() || e.zone.mayBeCutOff() || !c.healthAllows(e) {
			continue
		}
		free += max(0, e.free().MilliCPU)
		turnover += max(0, e.info.Capacity.MilliCPU-e.longRunningNeed().MilliCPU)
	}
	taskMs := c.workload.MeanTaskMs()
	if taskMs == 0 {
		taskMs = int(defaultTaskTime.Milliseconds())
	}
	return overload.Capacity{FreeCPU: free, FreedCPUPerMs: float64(turnover) / float64(taskMs)}
}

// defaultTaskTime is the assumed time of a task while none has ended yet.
const defaultTaskTime = time.Second

// longRunningNeed returns the resources that long-running tasks use on the endpoint.
func (e *endpoint) longRunningNeed() damsonwinch.Resources {
	var sum damsonwinch.Resources
	for _, r := range e.runsByStart {
		if r.task.phase.spec.Lasting {
			sum = sum.Plus(r.task.phase.need())
		}
	}
	return sum
}

// overloadItem returns how much CPU a phase's waiting tasks need, within what time they have to
// start, the value of the job, and the work that is left of its round.
func (c *Cell) overloadItem(p *phase, nowMs int) overload.Item {
	j := p.job()
	rest := 0
	for _, other := range p.round.phases {
		left := other.unfinishedTasks
		if other == p {
			left = len(p.ready)
		}
		rest += left * other.spec.Cpu * j.taskMs[other.number]
	}
	mean := c.workload.Of(j.queue).MeanWork()
	return overload.Item{
		CPU: len(p.ready) * p.need().MilliCPU, StartWithinMs: p.startByMs() - nowMs,
		Value: fixedValueShare*mean + (1-fixedValueShare)*float64(j.work), RemainingWork: float64(rest),
		OverShare: j.overShare,
	}
}

// startByMs returns the time, in Unix milliseconds, by which a phase's tasks have to start for the
// job to meet its deadline, if the tasks take as long as expected.
func (p *phase) startByMs() int {
	return p.lateAtMs - p.job().criticalPathMs[p.number]*(100-minPathPercent)/100
}
