package cell

import (
	"time"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// Report tells the fleet planner how the cell is.
func (c *Cell) Report(now time.Time) wire.SyncReply {
	report := wire.SyncReply{Known: true, TaskMs: c.taskMs(), SlackMs: c.slackMs(now)}
	c.now = now
	report.SteadyCpu, report.OfferedCpu = c.offered(now)
	memory, boxMemory := 0, 0
	for _, e := range c.sortedEndpoints {
		if c.followed(e) {
			// The planner has one life for each box.
			continue
		}
		boxMemory = max(boxMemory, e.info.Capacity.MemoryMB)
		entry := wire.EndpointReport{
			Endpoint: e.info.Life.String(), Box: e.info.Box, Usable: e.usable() && !e.zone.isCut(now), Withdrawn: e.withdrawn && e.withdraw.recorded,
			Silent: e.silent || e.zone.isCut(now), Runs: len(e.runs), UsedCpu: e.used.MilliCPU,
		}
		if len(e.runs) == 0 {
			entry.IdleMs = int(now.Sub(e.lastBusy).Milliseconds())
		}
		for _, r := range e.runs {
			need := r.task.phase.need()
			if r.task.phase.spec.Lasting {
				memory += need.MemoryMB
				entry.Lasting++
				report.LastingCpu += need.MilliCPU
				continue
			}
			switch {
			case entry.Silent:
				// What runs out of reach takes no room of the boxes that are left.
			case r.late:
				report.RunningLateCpu += need.MilliCPU
			default:
				memory += need.MemoryMB
				report.RunningCpu += need.MilliCPU
			}
			entry.EmptyMs = max(entry.EmptyMs, c.leftMs(r))
		}
		report.Endpoints = append(report.Endpoints, entry)
	}
	memory += c.reportWaiting(&report)
	if boxMemory > 0 {
		report.MemoryShare = memory * wholeBox / boxMemory
	}
	report.Spread = c.spread()
	c.reportWhole(&report)
	c.reportCustomers(&report)
	return report
}

// reportWhole adds what asks for boxes without lasting tasks: the largest tasks don't fit
// beside one. A job of tasks of 29 cores stood still for 15 s beside 38 boxes of 32 cores,
// half of whose room was free in sum.
func (c *Cell) reportWhole(report *wire.SyncReply) {
	var box, beside damsonwinch.Resources
	for _, e := range c.sortedEndpoints {
		box = most(box, e.info.Capacity)
		if lasting := e.longRunningNeed(); lasting != (damsonwinch.Resources{}) {
			report.LastingBoxes++
			beside = most(beside, e.info.Capacity.Minus(lasting))
		}
	}
	if report.LastingBoxes == 0 {
		return
	}
	nowMs := int(c.now.UnixMilli())
	add := func(p *phase, count int, late bool) {
		need := p.need()
		if p.spec.Lasting || beside.Holds(need) {
			return
		}
		if late {
			report.WholeLateBoxes += count * wholeBox / perBox(box, need)
			return
		}
		report.WholeBoxes += count * wholeBox / perBox(box, need)
	}
	for _, p := range c.openPhases {
		add(p, len(p.ready), p.isLate(nowMs))
	}
	for _, e := range c.sortedEndpoints {
		for _, r := range e.ordered {
			add(r.task.phase, 1, r.late)
		}
	}
}

// most returns the larger one of each kind of room.
func most(a, b damsonwinch.Resources) damsonwinch.Resources {
	return damsonwinch.Resources{MilliCPU: max(a.MilliCPU, b.MilliCPU), MemoryMB: max(a.MemoryMB, b.MemoryMB), GPUs: max(a.GPUs, b.GPUs)}
}

// perBox returns how many tasks of a need an empty box holds, 1 at least.
func perBox(box, need damsonwinch.Resources) int {
	return max(1, min(box.MilliCPU/max(1, need.MilliCPU), box.MemoryMB/max(1, need.MemoryMB)))
}

// wholeBox is a box's room in the unit of shares.
const wholeBox = 1000

// reportWaiting adds what ready tasks ask for, and returns their memory.
func (c *Cell) reportWaiting(report *wire.SyncReply) int {
	memory := 0
	nowMs := int(c.now.UnixMilli())
	allowed := c.newAllowedCPU()
	for _, p := range c.openPhases {
		need := p.need()
		if p.spec.Lasting {
			report.LastingCpu += len(p.ready) * need.MilliCPU
			continue
		}
		wanted := len(p.ready) * need.MilliCPU
		may := allowed.take(p, wanted)
		if p.isLate(nowMs) {
			report.LateCpu += may
			if p.job().runCount == 0 && may >= need.MilliCPU {
				report.StalledCpu += need.MilliCPU
			}
			continue
		}
		memory += len(p.ready) * need.MemoryMB * may / max(1, wanted)
		report.WaitingCpu += may
	}
	return memory
}

// spread returns how many boxes the cell's lasting phases need so that no box has
// more tasks of one than allowed.
func (c *Cell) spread() int {
	most := 0
	for _, j := range c.activeJobs {
		if j.ended() {
			continue
		}
		for _, r := range j.rounds {
			for _, p := range r.phases {
				if p.spec.Lasting && p.spec.MostPerBox > 0 {
					most = max(most, (p.spec.Count+p.spec.MostPerBox-1)/p.spec.MostPerBox)
				}
			}
		}
	}
	return most
}

// ApplySync takes what the fleet planner wants of the endpoints.
func (c *Cell) ApplySync(now time.Time, args wire.SyncArgs) {
	c.beginEvent(now)
	c.endpointsChanged()
	defer c.finishEvent()
	for _, e := range c.sortedEndpoints {
		e.withdraw.requested, e.withdraw.urgent, e.due = false, false, false
	}
	c.takeAllowances(args)
	c.want(args.Gone, func(e *endpoint) { c.loseUnheard(e, "the fleet planner has seen its box without it") })
	c.want(args.Withdraw, func(e *endpoint) { e.withdraw.requested = true })
	c.want(args.Hurry, func(e *endpoint) { e.withdraw.requested, e.withdraw.urgent = true, true })
	c.want(args.Due, func(e *endpoint) { e.due = true })
	c.want(args.Restore, func(e *endpoint) { c.restore(e) })
	for _, e := range c.sortedEndpoints {
		c.empty(e)
	}
}

// want does something with the endpoints of some lives. The planner doesn't know when those were
// born that it hasn't been told of.
func (c *Cell) want(lives []string, do func(e *endpoint)) {
	for _, text := range lives {
		life := damsonwinch.ParseLife(text)
		for _, e := range c.livesUnder(life.ID) {
			if life.MayBeSame(e.info.Life) {
				do(e)
			}
		}
	}
}

// lastingAway counts a phase's lasting tasks that are not at work.
func (c *Cell) lastingAway(p *phase) int {
	away := 0
	for _, t := range p.tasks {
		if !c.atWork(t) {
			away++
		}
	}
	return away
}

// atWork says whether a lasting task has started and is not being stopped.
func (c *Cell) atWork(t *task) bool {
	for _, r := range t.runs {
		if r.state == runConfirmed && !r.stopping && !r.at.silent && r.percent >= fullPercent && !c.mayBeStopping(r) {
			return true
		}
	}
	return false
}

// mayBeStopping says whether an earlier owner may have stopped a run that is still
// listed: it could do so until this owner's token came to the endpoint.
func (c *Cell) mayBeStopping(r *run) bool {
	return r.adopted && c.now.Sub(r.at.attachedAt) < c.options.MaxStopTime+stopOnWay
}

// stopOnWay is how long an earlier owner's stop may have been on its way when it
// reached the endpoint before this owner's first look did, beside the time that
// the task then takes to end.
const stopOnWay = 300 * time.Millisecond

const fullPercent = 100

// Endpoints returns what is known of the endpoints, for tests and status.
func (c *Cell) Endpoints() []damsonwinch.Endpoint {
	found := make([]damsonwinch.Endpoint, 0, len(c.sortedEndpoints))
	for _, e := range c.sortedEndpoints {
		found = append(found, e.info)
	}
	return found
}
