package cell

import (
	"time"

	"damsonwinch"
	"damsonwinch/pkg/boxneed"
	"damsonwinch/pkg/quota"
	"damsonwinch/pkg/wire"
)

// Report returns the state of the cell for the fleet planner: its endpoints, its demand, and the
// customers that need more than their allowances.
func (c *Cell) Report(now time.Time) wire.SyncReply {
	report := wire.SyncReply{Known: true, TaskMs: c.workload.MeanTaskMs(), SlackMs: c.workload.MeanSlackMs(now)}
	c.now = now
	report.SteadyCpu, report.OfferedCpu = c.workload.OfferedCPU(now, c.options.BoxLeadTime)
	memoryMB, boxMemoryMB := 0, 0
	missingBoxes, neededEndpoints := c.longRunningBoxes()
	report.MissingBoxes = missingBoxes
	for _, e := range c.sortedEndpoints {
		if c.superseded(e) {
			// The planner tracks one life per box.
			continue
		}
		boxMemoryMB = max(boxMemoryMB, e.info.Capacity.MemoryMB)
		row := wire.EndpointReport{
			Endpoint: e.info.Life.String(), Box: e.info.Box, Usable: e.usable() && !e.zone.isCutOff(now), Withdrawn: e.withdrawn && e.withdrawal.recorded,
			Silent: e.silent || e.zone.isCutOff(now), Runs: len(e.runs), UsedCpu: e.used.MilliCPU,
			NeededByLasting: neededEndpoints[e],
		}
		if len(e.runs) == 0 {
			row.IdleMs = int(now.Sub(e.lastBusy).Milliseconds())
		}
		for _, r := range e.runs {
			need := r.task.phase.need()
			if r.task.phase.spec.Lasting {
				memoryMB += need.MemoryMB
				row.Lasting++
				report.LastingCpu += need.MilliCPU
				continue
			}
			switch {
			case row.Silent, e.zone.evacuated:
				// Runs on unreachable endpoints and in evacuated zones take no capacity of the
				// remaining boxes.
			case r.jobLate:
				report.RunningLateCpu += need.MilliCPU
			default:
				memoryMB += need.MemoryMB
				report.RunningCpu += need.MilliCPU
			}
			row.EmptyMs = max(row.EmptyMs, c.estimateRemainingMs(r))
		}
		report.Endpoints = append(report.Endpoints, row)
	}
	memoryMB += c.reportWaiting(&report)
	if boxMemoryMB > 0 {
		report.MemoryShare = memoryMB * boxneed.MilliPerBox / boxMemoryMB
	}
	report.Spread = c.spreadBoxes()
	c.reportDedicatedBoxes(&report)
	c.reportCustomers(&report)
	report.Arrivals = c.shares.Report(now)
	c.reportEvacuatedZones(&report)
	c.lastSync.reportNumber++
	report.ReportNumber = c.lastSync.reportNumber
	c.passOverYoung()
	c.lastSync.reportedAt, c.lastSync.spreadBoxes, c.lastSync.missingBoxes = now, report.Spread, report.MissingBoxes
	return report
}

// reportDedicatedBoxes adds the demand for boxes without long-running tasks, because the largest
// tasks do not fit beside one. A job with tasks of 29 cores once made no progress for 15 s although
// the pool had 38 boxes of 32 cores and half of their total capacity was free.
func (c *Cell) reportDedicatedBoxes(report *wire.SyncReply) {
	var dedicated boxneed.Dedicated
	for _, e := range c.sortedEndpoints {
		dedicated.AddBox(e.info.Capacity, e.longRunningNeed())
	}
	report.LastingBoxes = dedicated.Hosts()
	if report.LastingBoxes == 0 {
		return
	}
	nowMs := int(c.now.UnixMilli())
	add := func(p *phase, count int, late bool) {
		switch {
		case p.spec.Lasting:
		case late:
			report.WholeLateBoxes += dedicated.MilliBoxes(p.need(), count)
		default:
			report.WholeBoxes += dedicated.MilliBoxes(p.need(), count)
		}
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

// reportWaiting adds the demand of the ready tasks to the report. Short tasks count only as far as
// their customers' allowances permit. It returns the memory in MB that the tasks of phases that are
// not late need.
func (c *Cell) reportWaiting(report *wire.SyncReply) int {
	memoryMB := 0
	nowMs := int(c.now.UnixMilli())
	allowance := quota.NewCPUBudget(c.quota)
	for _, p := range c.openPhases {
		need := p.need()
		if p.spec.Lasting {
			report.LastingCpu += len(p.ready) * need.MilliCPU
			memoryMB += len(p.ready) * need.MemoryMB
			continue
		}
		wantedCPU := len(p.ready) * need.MilliCPU
		grantedCPU := allowance.Take(p.job().customer, wantedCPU)
		if p.isLate(nowMs) {
			report.LateCpu += grantedCPU
			if p.job().runCount == 0 && grantedCPU >= need.MilliCPU {
				report.StalledCpu += need.MilliCPU
			}
			continue
		}
		memoryMB += len(p.ready) * need.MemoryMB * grantedCPU / max(1, wantedCPU)
		report.WaitingCpu += grantedCPU
	}
	return memoryMB
}

// spreadBoxes returns how many boxes the cell needs so that each of its long-running phases can be
// placed without exceeding MostPerBox.
func (c *Cell) spreadBoxes() int {
	boxes := 0
	for _, j := range c.activeJobs {
		if j.ended() {
			continue
		}
		for _, r := range j.rounds {
			for _, p := range r.phases {
				if p.spec.Lasting && p.spec.MostPerBox > 0 {
					boxes = max(boxes, (p.spec.Count+p.spec.MostPerBox-1)/p.spec.MostPerBox)
				}
			}
		}
	}
	return boxes
}

// ApplySync applies a call of the fleet planner: allowances, endpoints that are known to have
// exited, and which endpoints to withdraw, restore or expect maintenance for.
func (c *Cell) ApplySync(now time.Time, args wire.SyncArgs) {
	c.beginEvent(now)
	c.endpointsChanged()
	defer c.finishEvent()
	for _, e := range c.sortedEndpoints {
		e.withdrawal.requested, e.withdrawal.urgent, e.maintenanceDue = false, false, false
	}
	c.applyAllowances(args)
	c.applyArrivals(now, args)
	c.forEachLife(args.Gone, func(e *endpoint) { c.reportedExited(e, args) })
	c.forEachLife(args.Withdraw, func(e *endpoint) { e.withdrawal.requested = true })
	c.forEachLife(args.Hurry, func(e *endpoint) { e.withdrawal.requested, e.withdrawal.urgent = true, true })
	c.forEachLife(args.Due, func(e *endpoint) { e.maintenanceDue = true })
	c.forEachLife(args.Restore, func(e *endpoint) { c.restoreEndpoint(e) })
	for _, e := range c.sortedEndpoints {
		c.continueWithdrawal(e)
	}
	c.updateWithdrawnSince()
	c.lastSync.calledAt = now
}

// forEachLife calls do for each endpoint to which one of the given lives may refer. The planner
// does not know the start time of a life that has not been reported to it yet.
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

// countUnavailable returns the number of a long-running phase's tasks that are not available.
func (c *Cell) countUnavailable(p *phase) int {
	count := 0
	for _, t := range p.tasks {
		if !c.isAvailable(t) {
			count++
		}
	}
	return count
}

// isAvailable reports whether a long-running task is doing its work: an attempt has reached full
// progress, its endpoint answers, and it is not being stopped.
func (c *Cell) isAvailable(t *task) bool {
	for _, r := range t.runs {
		if r.state == runConfirmed && !r.stopping && !r.endpoint.silent && r.percent >= fullPercent && !c.mayBeStopping(r) {
			return true
		}
	}
	return false
}

// mayBeStopping reports whether an earlier owner may have stopped a run that the endpoint still
// lists. It could do so until the endpoint had seen this owner's token.
func (c *Cell) mayBeStopping(r *run) bool {
	return r.inherited && c.now.Sub(r.endpoint.attachedAt) < c.options.MaxStopTime+maxStopTransit
}

// maxStopTransit is how long a stop request of an earlier owner may have been in transit when it
// reached the endpoint, just before this owner's first poll. After that the task takes up to
// MaxStopTime to end.
const maxStopTransit = 300 * time.Millisecond

// fullPercent is 100 percent: full progress of a run, full speed, or all of a number.
const fullPercent = 100

// Endpoints returns the known endpoints, sorted by life, for tests and status.
func (c *Cell) Endpoints() []damsonwinch.Endpoint {
	infos := make([]damsonwinch.Endpoint, 0, len(c.sortedEndpoints))
	for _, e := range c.sortedEndpoints {
		infos = append(infos, e.info)
	}
	return infos
}
