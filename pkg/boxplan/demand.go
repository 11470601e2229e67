package boxplan

import (
	"math"
	"time"

	"damsonwinch/pkg/wire"
)

const (
	// reportLifetime is how long a cell's report is used.
	reportLifetime = 2 * time.Second
	// milliPerBox is one box in thousandths of a box.
	milliPerBox = 1000
	// minSlack is the least slack that the planner assumes for a cell, whatever the cell reports;
	// see cell.slack. defaultSlack is that of a cell that reports none. The most urgent of the
	// users' jobs have a slack of about a second.
	minSlack     = 500 * time.Millisecond
	defaultSlack = 1200 * time.Millisecond
	// cpuHeadroomPercent is what a pool gets beyond the CPU that arriving work needs: work arrives
	// unevenly, and tasks can't be packed onto boxes without unused cores.
	cpuHeadroomPercent = 45
	// donorSlackFactor decides when a pool gives another one boxes that it doesn't use at the
	// moment: its slack must be at least this many times the other pool's.
	donorSlackFactor = 2
	// memoryFactorPercent is the memory that a pool gets as a percentage of what its tasks need. It
	// is above 100 for the same reasons as cpuHeadroomPercent.
	memoryFactorPercent = 120
	// lateWorkPercent is the part of the work of late jobs for which a pool gets boxes: late jobs
	// are worth little, but must be done.
	lateWorkPercent = 20
	// defaultTaskMs is the assumed duration of a task while none has ended yet.
	defaultTaskMs = 1000
	// FirstTaskDelay is the time from the end of a box's move until the box has work.
	FirstTaskDelay = 500 * time.Millisecond
	// reserveMilliBoxes is the capacity, in thousandths of a box, that a pool keeps free for jobs to
	// come. In a pool of several shards each cell keeps this divided by the square root of their
	// number, since random variation of the load grows only with the square root of the load.
	reserveMilliBoxes = 1700
	// averagingTime is the time constant of the running means that decide how many boxes a pool
	// gives away. The number of waiting tasks changes within 0.1 s, and a box that is given away and
	// taken back serves nobody for about five seconds.
	averagingTime = 600 * time.Millisecond
	// minBoxesPerPool is the number of boxes that a pool keeps even without work, so that it survives
	// the loss of a box or a zone.
	minBoxesPerPool = 2
	// busyPercent is the CPU utilization of a pool from which late jobs without a running task
	// wait for those that have one. Below it, each of them gets capacity for a task. Otherwise
	// users would see a job that makes no progress beside idle boxes, since the pool's other cells
	// can't run it.
	busyPercent = 50
)

// cell is what the planner knows of a cell: the boxes of a pool that belong to one shard.
type cell struct {
	name string
	// pool and shard identify the cell: it has those boxes of the pool that are in the shard.
	pool  string
	shard int
	// poweredOff says that the pool's boxes are powered off.
	poweredOff bool
	// shards is the number of the pool's cells.
	shards int
	// poolIdle says that the CPU utilization of the pool is below busyPercent.
	poolIdle bool
	// report is the newest report of the cell's owner, received at reportedAt.
	report     wire.SyncReply
	reportedAt time.Time
	// directedAt is the time of the newest directives to the owner, and reportFollows that of the directives that
	// it had followed when it made the report.
	directedAt    time.Time
	reportFollows time.Time
	// reportedSince is when the endpoints of the report were first reported.
	reportedSince map[string]time.Time
	// reportAtRequest is the newest report that there was at the newest request for the list of boxes, and boxesAfter the
	// one at the request for the newest list.
	reportAtRequest, boxesAfter ReportID
	// reportIsNew says that the demand hasn't been computed from the report yet.
	reportIsNew bool
	// required is how many boxes the cell should have now.
	required int
	// peaks are the highest steady demands in the recent past, for which the cell keeps boxes. Steady
	// demand doesn't include what the load is expected to rise further.
	peaks []peak
	// requiredOnTime is how many boxes the cell needs for its present work, without late work, which
	// can no longer be done on time. When late work counted, a pool kept 39 of 49 boxes for 10 s
	// after a burst, for late work only, and 120 of the next pool's 139 jobs were late. This rule
	// raises the score of a simulated day with a 10 s burst of five times the traffic by 0.034, on a
	// scale of 0 to 1.
	requiredOnTime int
	// requiredLongRunning is how many boxes the cell needs for its long-running tasks alone. required
	// and requiredOnTime are at least as many.
	requiredLongRunning int
	// shortSince is since when the cell has had fewer boxes than requiredLongRunning; zero if it
	// has enough.
	shortSince time.Time
	// unservedSince is since when the cell's owner has been able to use fewer boxes than requiredLongRunning;
	// zero if it has enough. Boxes on their way to the cell don't count, so that it can be set while shortSince
	// is not. It is for the log only.
	unservedSince time.Time
	// meanRequired and meanRequiredOnTime are running means of required and requiredOnTime, updated
	// at averagedAt. They decide how many boxes the cell gives to other pools.
	meanRequired       float64
	meanRequiredOnTime float64
	averagedAt         time.Time
}

// peak is the steady demand of a cell, in boxes, at a time.
type peak struct {
	at    time.Time
	boxes int
}

// hasFreshReport reports whether the cell's owner has sent a report that is at most reportLifetime old.
func (c *cell) hasFreshReport(now time.Time) bool {
	return c.report.Known && now.Sub(c.reportedAt) <= reportLifetime
}

// updateDemands computes the demand of the cells that have a new report.
func (p *Planner) updateDemands() {
	idle := p.idlePools()
	for _, name := range p.cellNames {
		if c := p.cells[name]; c.reportIsNew {
			c.reportIsNew = false
			c.poolIdle = idle[c.pool]
			p.updateDemand(c, p.now)
		}
	}
}

// idlePools returns, by pool, whether its CPU utilization over all shards is below busyPercent. Boxes that are to be
// powered off count as well, since no other cell needs them: without them a pool that has given up most of its boxes
// would count as busy.
func (p *Planner) idlePools() map[string]bool {
	used, capacity := map[string]int{}, map[string]int{}
	for _, b := range p.boxesByName {
		if b.report != nil && (b.report.Usable || p.isBeingPoweredOff(b)) {
			used[b.info.Pool] += b.report.UsedCpu
			capacity[b.info.Pool] += b.info.Capacity.MilliCPU
		}
	}
	idle := make(map[string]bool, len(capacity))
	for pool, cpu := range capacity {
		idle[pool] = used[pool]*100 < cpu*busyPercent
	}
	return idle
}

// updateDemand computes from a cell's report how many boxes it should have: for the work that
// arrives, the work that waits, and the work that will have accumulated when new boxes are ready.
func (p *Planner) updateDemand(c *cell, now time.Time) {
	boxCPU := p.maxBoxCPU(c.name)
	if boxCPU == 0 || !c.report.Known {
		return
	}
	onTime := c.report.RunningCpu + c.report.WaitingCpu
	reactive := onTime + c.lateCPU()
	if c.poolIdle {
		reactive = max(reactive, onTime+c.report.RunningLateCpu+c.report.StalledCpu)
	}
	cpu := max(reactive, p.predictedCPU(c, boxCPU))
	c.requiredLongRunning = c.boxesForLongRunning(boxCPU)
	c.required = max(c.boxesFor(c.report.LastingCpu+cpu, boxCPU), c.dedicatedBoxes(c.lateDedicatedMilliBoxes()), c.requiredLongRunning)
	c.requiredOnTime = max(c.boxesFor(c.report.LastingCpu+onTime, boxCPU), c.dedicatedBoxes(0), c.requiredLongRunning)
	c.updateMeans(now)
	steady := max(reactive, c.report.SteadyCpu*(100+cpuHeadroomPercent)/100)
	window := time.Duration(int64(p.options.ScaleDownDelay) * int64(c.slack()) / int64(defaultSlack))
	c.recordPeak(now, window, max(c.boxesFor(c.report.LastingCpu+steady, boxCPU), c.dedicatedBoxes(c.lateDedicatedMilliBoxes())))
}

// boxesForLongRunning returns how many boxes the cell needs for its long-running tasks. If some of them
// fit on none of its boxes, those are too few, however much they have in total. boxCPU is the CPU
// capacity of a box.
func (c *cell) boxesForLongRunning(boxCPU int) int {
	boxes := max(c.report.Spread, (c.report.LastingCpu+boxCPU-1)/boxCPU)
	if c.report.MissingBoxes > 0 {
		boxes = max(boxes, c.usableBoxes()+c.report.MissingBoxes)
	}
	return boxes
}

// usableBoxes returns how many of the cell's boxes its owner can use.
func (c *cell) usableBoxes() int {
	count := 0
	for i := range c.report.Endpoints {
		if c.report.Endpoints[i].Usable {
			count++
		}
	}
	return count
}

// predictedCPU returns the CPU, in thousandths of a core, that a cell needs for the work that arrives
// and for the backlog that it will have when new boxes are ready. boxCPU is the CPU capacity of a box.
func (p *Planner) predictedCPU(c *cell, boxCPU int) int {
	taskMs := c.report.TaskMs
	if taskMs == 0 {
		taskMs = defaultTaskMs
	}
	missing := max(0, c.report.OfferedCpu+c.report.LastingCpu-p.boxCount(c.name)*boxCPU)
	leadTime := p.options.MoveTime + FirstTaskDelay
	backlog := (c.report.WaitingCpu+c.lateCPU())*taskMs + missing*int(leadTime.Milliseconds())
	// The backlog is to be done in half of the slack; the other half is left for later work.
	return max(c.report.OfferedCpu*(100+cpuHeadroomPercent)/100, c.report.RunningCpu) + 2*backlog/int(c.slack().Milliseconds())
}

// lateCPU returns the CPU, in thousandths of a core, for which the cell gets boxes for late jobs.
func (c *cell) lateCPU() int {
	return (c.report.RunningLateCpu + c.report.LateCpu) * lateWorkPercent / 100
}

// dedicatedBoxes returns the number of boxes that the cell needs for long-running tasks and for the
// tasks that are too large to fit beside them. For such tasks of late jobs it counts lateMilliBoxes, in
// thousandths of a box.
func (c *cell) dedicatedBoxes(lateMilliBoxes int) int {
	return c.report.LastingBoxes + (c.report.WholeBoxes+lateMilliBoxes+milliPerBox-1)/milliPerBox
}

// lateDedicatedMilliBoxes returns the capacity, in thousandths of a box, that the cell gets for tasks of
// late jobs that don't fit beside long-running tasks. It is at least one box if there are such tasks,
// so that some of them always make progress.
func (c *cell) lateDedicatedMilliBoxes() int {
	if c.report.WholeLateBoxes == 0 {
		return 0
	}
	return max(milliPerBox, c.report.WholeLateBoxes*lateWorkPercent/100)
}

// boxesFor returns the number of boxes that the cell should have for tasks that need cpu, given the
// CPU capacity of a box, both in thousandths of a core. The number also suffices for the memory that
// the cell's tasks need and for the reserve.
func (c *cell) boxesFor(cpu, boxCPU int) int {
	milliBoxes := max(cpu*milliPerBox/boxCPU, c.report.MemoryShare*memoryFactorPercent/100) + int(reserveMilliBoxes/math.Sqrt(float64(c.shards)))
	return max(c.minBoxes(), c.report.Spread, (milliBoxes+milliPerBox-1)/milliPerBox)
}

// minBoxes returns how many boxes the cell keeps even without work.
func (c *cell) minBoxes() int {
	return (minBoxesPerPool + c.shards - 1) / c.shards
}

// updateMeans updates the running means with the present demand.
func (c *cell) updateMeans(now time.Time) {
	weight := 1.0
	if !c.averagedAt.IsZero() {
		weight = 1 - math.Exp(-float64(now.Sub(c.averagedAt))/float64(averagingTime))
	}
	c.averagedAt = now
	c.meanRequired += weight * (float64(c.required) - c.meanRequired)
	c.meanRequiredOnTime += weight * (float64(c.requiredOnTime) - c.meanRequiredOnTime)
}

// recordPeak adds the present steady demand, in boxes, to the peaks and drops those that are older
// than the window or not higher.
func (c *cell) recordPeak(now time.Time, window time.Duration, boxes int) {
	kept := c.peaks[:0]
	for _, earlier := range c.peaks {
		if now.Sub(earlier.at) < window && earlier.boxes > boxes {
			kept = append(kept, earlier)
		}
	}
	c.peaks = append(kept, peak{at: now, boxes: boxes})
}

// slack returns how long the cell's jobs can usually wait and still be done on time, minSlack at least.
func (c *cell) slack() time.Duration {
	if c.report.SlackMs <= 0 {
		return defaultSlack
	}
	return max(minSlack, time.Duration(c.report.SlackMs)*time.Millisecond)
}

// retained returns how many boxes the cell keeps: the highest of its present demand and its peaks.
func (c *cell) retained() int {
	highest := c.required
	for _, earlier := range c.peaks {
		highest = max(highest, earlier.boxes)
	}
	return highest
}
