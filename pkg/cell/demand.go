package cell

import (
	"time"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// Sizes of what is remembered of the work that arrives and of how long it takes.
const (
	// arrivalSlots of arrivalSlot each are the window over which arriving work is
	// counted: long enough for a dozen jobs at the users' rates, short enough to
	// see a change of demand within a second.
	arrivalSlots = 8
	arrivalSlot  = 100 * time.Millisecond
	// learnWeight is the part that a new run time has in the mean of its queue.
	learnWeight = 0.05
	// learnedRuns is the number of runs after which the mean is believed.
	learnedRuns = 20
)

// arrivals counts the work that has come within the last moments.
type arrivals struct {
	// work is in thousandths of a core times milliseconds.
	work [arrivalSlots]int
	// slot is the number of the newest slot since 1970.
	slot int64
}

func (a *arrivals) turn(now time.Time) {
	slot := now.UnixMilli() / arrivalSlot.Milliseconds()
	for step := min(slot-a.slot, arrivalSlots); step > 0; step-- {
		a.work[(slot-step+1)%arrivalSlots] = 0
	}
	a.slot = max(a.slot, slot)
}

func (a *arrivals) add(now time.Time, work int) {
	a.turn(now)
	a.work[a.slot%arrivalSlots] += work
}

// perSecond returns the arriving work in thousandths of a core.
func (a *arrivals) perSecond(now time.Time) int {
	a.turn(now)
	sum := 0
	for _, work := range a.work {
		sum += work
	}
	return sum / int((arrivalSlots * arrivalSlot).Milliseconds())
}

// runTimes is what has been learned of a queue's tasks.
type runTimes struct {
	runs int
	mean float64 // In milliseconds.
}

// observe learns from a task that is done.
func (c *Cell) observe(r *run) {
	if r.task.phase.spec.Lasting {
		return
	}
	times := c.times[r.task.phase.job().queue]
	if times == nil {
		times = &runTimes{}
		c.times[r.task.phase.job().queue] = times
	}
	took := float64(c.now.Sub(r.since).Milliseconds())
	times.runs++
	weight := max(learnWeight, 1/float64(times.runs))
	times.mean += weight * (took - times.mean)
}

// workOf estimates a job's work, in thousandths of a core times milliseconds.
// Clients' estimates are far off; the mean of the queue's own runs is better.
func (c *Cell) workOf(j *job) int {
	times := c.times[j.queue]
	work := 0
	for at := range j.spec.Phases {
		phase := &j.spec.Phases[at]
		if phase.Lasting || phase.Fills {
			continue
		}
		estimate := phase.EstimateMs
		if times != nil && times.runs >= learnedRuns {
			estimate = int(times.mean)
		}
		work += phase.Count * phase.Cpu * estimate
	}
	return work
}

// Report tells the fleet planner how the cell is.
func (c *Cell) Report(now time.Time) wire.SyncReply {
	report := wire.SyncReply{Known: true, OfferedCpu: c.arrived.perSecond(now)}
	memory, boxMemory := 0, 0
	for _, e := range c.ranked {
		boxMemory = max(boxMemory, e.info.Capacity.MemoryMB)
		entry := wire.EndpointReport{
			Endpoint: e.info.ID, Box: e.info.Box, Usable: e.usable(), Withdrawn: e.withdrawn && e.withdraw.recorded,
			Silent: e.silent, Runs: len(e.runs), UsedCpu: e.used.CPU,
		}
		if len(e.runs) == 0 {
			entry.IdleMs = int(now.Sub(e.lastBusy).Milliseconds())
		}
		for _, r := range e.runs {
			need := r.task.phase.need()
			memory += need.MemoryMB
			if r.task.phase.spec.Lasting {
				entry.Lasting++
				report.LastingCpu += need.CPU
				continue
			}
			report.RunningCpu += need.CPU
		}
		report.Endpoints = append(report.Endpoints, entry)
	}
	memory += c.reportWaiting(&report)
	if boxMemory > 0 {
		report.MemoryShare = memory * wholeBox / boxMemory
	}
	report.Spread = c.spread()
	return report
}

// wholeBox is a box's room in the unit of shares.
const wholeBox = 1000

// reportWaiting adds what ready tasks ask for, and returns their memory.
func (c *Cell) reportWaiting(report *wire.SyncReply) int {
	memory := 0
	for _, p := range c.open {
		need := p.need()
		memory += len(p.ready) * need.MemoryMB
		if p.spec.Lasting {
			report.LastingCpu += len(p.ready) * need.CPU
			continue
		}
		report.WaitingCpu += len(p.ready) * need.CPU
	}
	return memory
}

// spread returns how many boxes the cell's lasting phases need so that no box has
// more tasks of one than allowed.
func (c *Cell) spread() int {
	most := 0
	for _, j := range c.order {
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

// Withdraw takes what the fleet planner wants of the endpoints.
func (c *Cell) Withdraw(now time.Time, args wire.SyncArgs) {
	c.begin(now)
	defer c.settle()
	for _, e := range c.ranked {
		e.withdraw.wanted, e.withdraw.hurry = false, false
	}
	c.want(args.Withdraw, func(e *endpoint) { e.withdraw.wanted = true })
	c.want(args.Hurry, func(e *endpoint) { e.withdraw.wanted, e.withdraw.hurry = true, true })
	c.want(args.Restore, func(e *endpoint) { c.restore(e) })
	for _, e := range c.ranked {
		c.empty(e)
	}
}

func (c *Cell) want(ids []string, do func(e *endpoint)) {
	for _, id := range ids {
		if e := c.endpoints[id]; e != nil {
			do(e)
		}
	}
}

// LastingAway counts a phase's lasting tasks that are not at work.
func (p *phase) lastingAway() int {
	away := 0
	for _, t := range p.tasks {
		if !t.atWork() {
			away++
		}
	}
	return away
}

// atWork says whether a lasting task has started and is not being stopped.
func (t *task) atWork() bool {
	for _, r := range t.runs {
		if r.state == runConfirmed && !r.stopping && !r.at.silent && r.percent >= wholePercent {
			return true
		}
	}
	return false
}

const wholePercent = 100

// Endpoints returns what is known of the endpoints, for tests and status.
func (c *Cell) Endpoints() []damsonwinch.Endpoint {
	found := make([]damsonwinch.Endpoint, 0, len(c.ranked))
	for _, e := range c.ranked {
		found = append(found, e.info)
	}
	return found
}
