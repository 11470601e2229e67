package cell

import (
	"time"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// Report tells the fleet planner how the cell is.
func (c *Cell) Report(now time.Time) wire.SyncReply {
	report := wire.SyncReply{Known: true, TaskMs: c.meanTaskMs(), SlackMs: c.meanSlackMs(now)}
	c.now = now
	report.SteadyCpu, report.OfferedCpu = c.offeredCPU(now)
	memory, boxMemory := 0, 0
	for _, e := range c.sortedEndpoints {
		if c.superseded(e) {
			// The planner has one life for each box.
			continue
		}
		boxMemory = max(boxMemory, e.info.Capacity.MemoryMB)
		entry := wire.EndpointReport{
			Endpoint: e.info.Life.String(), Box: e.info.Box, Usable: e.usable() && !e.zone.isCutOff(now), Withdrawn: e.withdrawn && e.withdrawal.recorded,
			Silent: e.silent || e.zone.isCutOff(now), Runs: len(e.runs), UsedCpu: e.used.MilliCPU,
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
			case r.jobLate:
				report.RunningLateCpu += need.MilliCPU
			default:
				memory += need.MemoryMB
				report.RunningCpu += need.MilliCPU
			}
			entry.EmptyMs = max(entry.EmptyMs, c.remainingMs(r))
		}
		report.Endpoints = append(report.Endpoints, entry)
	}
	memory += c.reportWaiting(&report)
	if boxMemory > 0 {
		report.MemoryShare = memory * sharesPerBox / boxMemory
	}
	report.Spread = c.spreadBoxes()
	c.reportDedicatedBoxes(&report)
	c.reportCustomers(&report)
	return report
}

// reportDedicatedBoxes adds what asks for boxes without lasting tasks: the largest tasks don't fit
// beside one. A job of tasks of 29 cores stood still for 15 s beside 38 boxes of 32 cores,
// half of whose room was free in sum.
func (c *Cell) reportDedicatedBoxes(report *wire.SyncReply) {
	var box, beside damsonwinch.Resources
	for _, e := range c.sortedEndpoints {
		box = maxResources(box, e.info.Capacity)
		if lasting := e.longRunningNeed(); lasting != (damsonwinch.Resources{}) {
			report.LastingBoxes++
			beside = maxResources(beside, e.info.Capacity.Minus(lasting))
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
			report.WholeLateBoxes += count * sharesPerBox / tasksPerBox(box, need)
			return
		}
		report.WholeBoxes += count * sharesPerBox / tasksPerBox(box, need)
	}
	for _, p := range c.openPhases {
		add(p, len(p.ready), p.isLate(nowMs))
	}
	for _, e := range c.sortedEndpoints {
		for _, r := range e.runsByStart {
			add(r.task.phase, 1, r.jobLate)
		}
	}
}

// maxResources returns the larger one of each kind of room.
func maxResources(a, b damsonwinch.Resources) damsonwinch.Resources {
	return damsonwinch.Resources{MilliCPU: max(a.MilliCPU, b.MilliCPU), MemoryMB: max(a.MemoryMB, b.MemoryMB), GPUs: max(a.GPUs, b.GPUs)}
}

// tasksPerBox returns how many tasks of a need an empty box holds, 1 at least.
func tasksPerBox(box, need damsonwinch.Resources) int {
	return max(1, min(box.MilliCPU/max(1, need.MilliCPU), box.MemoryMB/max(1, need.MemoryMB)))
}

// sharesPerBox is a box's room in the unit of shares.
const sharesPerBox = 1000

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

// spreadBoxes returns how many boxes the cell's lasting phases need so that no box has
// more tasks of one than allowed.
func (c *Cell) spreadBoxes() int {
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
		e.withdrawal.requested, e.withdrawal.urgent, e.maintenanceDue = false, false, false
	}
	c.applyAllowances(args)
	c.forEachLife(args.Gone, func(e *endpoint) { c.markLostByReport(e, "the fleet planner has seen its box without it") })
	c.forEachLife(args.Withdraw, func(e *endpoint) { e.withdrawal.requested = true })
	c.forEachLife(args.Hurry, func(e *endpoint) { e.withdrawal.requested, e.withdrawal.urgent = true, true })
	c.forEachLife(args.Due, func(e *endpoint) { e.maintenanceDue = true })
	c.forEachLife(args.Restore, func(e *endpoint) { c.restoreEndpoint(e) })
	for _, e := range c.sortedEndpoints {
		c.continueWithdrawal(e)
	}
}

// forEachLife does something with the endpoints of some lives. The planner doesn't know when those were
// born that it hasn't been told of.
func (c *Cell) forEachLife(lives []string, do func(e *endpoint)) {
	for _, text := range lives {
		life := damsonwinch.ParseLife(text)
		for _, e := range c.livesWithID(life.ID) {
			if life.MayBeSame(e.info.Life) {
				do(e)
			}
		}
	}
}

// countUnavailable counts a phase's lasting tasks that are not at work.
func (c *Cell) countUnavailable(p *phase) int {
	away := 0
	for _, t := range p.tasks {
		if !c.isAvailable(t) {
			away++
		}
	}
	return away
}

// isAvailable says whether a lasting task has started and is not being stopped.
func (c *Cell) isAvailable(t *task) bool {
	for _, r := range t.runs {
		if r.state == runConfirmed && !r.stopping && !r.endpoint.silent && r.percent >= fullPercent && !c.mayBeStopping(r) {
			return true
		}
	}
	return false
}

// mayBeStopping says whether an earlier owner may have stopped a run that is still
// listed: it could do so until this owner's token came to the endpoint.
func (c *Cell) mayBeStopping(r *run) bool {
	return r.inherited && c.now.Sub(r.endpoint.attachedAt) < c.options.MaxStopTime+maxStopTransit
}

// maxStopTransit is how long an earlier owner's stop may have been on its way when it
// reached the endpoint before this owner's first look did, beside the time that
// the task then takes to end.
const maxStopTransit = 300 * time.Millisecond

const fullPercent = 100

// Endpoints returns what is known of the endpoints, for tests and status.
func (c *Cell) Endpoints() []damsonwinch.Endpoint {
	found := make([]damsonwinch.Endpoint, 0, len(c.sortedEndpoints))
	for _, e := range c.sortedEndpoints {
		found = append(found, e.info)
	}
	return found
}
