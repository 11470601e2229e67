package supply

import (
	"math"
	"time"

	"damsonwinch/pkg/wire"
)

// Rules of a pool's need.
const (
	// reportLifetime is how long a cell's report counts.
	reportLifetime = 2 * time.Second
	// milliPerBox is a box in thousandths.
	milliPerBox = 1000
	// minSlack and usualSlack bound the time that jobs are taken to be able to
	// wait: the quickest of the users' jobs can wait about a second.
	minSlack     = 500 * time.Millisecond
	defaultSlack = 1200 * time.Millisecond
	// cpuHeadroomPercent is what a pool has above the work that comes in, in percent,: work
	// comes unevenly, and boxes can't be packed to the last core.
	cpuHeadroomPercent = 45
	// donorSlackFactor is how many times as long as those of another pool a pool's jobs
	// must be able to wait for it to give what it doesn't use now.
	donorSlackFactor = 2
	// memoryFactorPercent is the same for memory.
	memoryFactorPercent = 120
	// lateWorkPercent is the part of the work of late jobs, in percent, that a pool gets boxes
	// for: they are worth little, but must be done.
	lateWorkPercent = 20
	// defaultTaskMs is the time of a task while none has ended yet.
	defaultTaskMs = 1000
	// FirstTaskDelay is added to a move's own time until a box has work.
	FirstTaskDelay = 500 * time.Millisecond
	// reserveMilliBoxes is room that every pool keeps free for jobs to come, in thousandths
	// of a box. That of each cell of a pool in several shards is less by the root of
	// their number, as what comes by chance is.
	reserveMilliBoxes = 1700
	// averagingTime is the time over which a pool's need is averaged where it is asked for
	// boxes: what waits comes and goes within 0.1 s, and a box that is given and taken
	// back has served nobody for some five seconds.
	averagingTime = 600 * time.Millisecond
	// minBoxesPerPool keeps a pool through the loss of a box or a zone.
	minBoxesPerPool = 2
	// busyPercent is the part of a pool's room, in percent, from which late jobs of which
	// nothing runs have to wait for those that do. Below, each gets room for a task: the
	// pool's other cells can't help, and users see a job that stands still beside idle
	// boxes.
	busyPercent = 50
)

// cell is a pool's boxes of one shard as the planner knows them.
type cell struct {
	name string
	// pool and shard are those of which it is.
	pool       string
	shard      int
	poweredOff bool
	// shards is the number of the pool's cells.
	shards int
	// poolIdle says that most of the pool's room isn't used.
	poolIdle   bool
	report     wire.SyncReply
	reportedAt time.Time
	// reportIsNew says that the report is newer than the need.
	reportIsNew bool
	// required is how many boxes the pool should have now, and peaks the highest steady
	// needs of late, which it keeps boxes for.
	required int
	peaks    []peak
	// requiredOnTime is how many boxes the work that is there and can be in time takes. What is late
	// doesn't count: after a burst a pool kept 39 of 49 boxes for 10 s in which it had late
	// work only, and 120 of the next pool's 139 jobs were not in time. Worth 0.034 of a
	// day's 1.0 with a burst of five times the traffic for 10 s, by eight paired plays.
	requiredOnTime int
	// requiredLongRunning is how many boxes the requiredLongRunning tasks take by themselves.
	requiredLongRunning int
	// shortSince is since when the cell has had fewer, zero if it hasn't.
	shortSince time.Time
	// meanRequired and usualFirm are running means of both, by which the pool gives boxes.
	meanRequired       float64
	meanRequiredOnTime float64
	averagedAt         time.Time
}

// peak is a need at a moment.
type peak struct {
	at    time.Time
	boxes int
}

// hasFreshReport says whether the cell's report can be gone by.
func (l *cell) hasFreshReport(now time.Time) bool {
	return l.report.Known && now.Sub(l.reportedAt) <= reportLifetime
}

// updateDemands works out the needs of the cells that have reported.
func (p *Planner) updateDemands() {
	idle := p.idlePools()
	for _, name := range p.cellNames {
		if l := p.cells[name]; l.reportIsNew {
			l.reportIsNew = false
			l.poolIdle = idle[l.pool]
			p.updateDemand(l, p.now)
		}
	}
}

// idlePools returns the pools most of whose room isn't used, over all shards.
func (p *Planner) idlePools() map[string]bool {
	used, room := map[string]int{}, map[string]int{}
	for _, b := range p.boxesByName {
		if b.report != nil && b.report.Usable {
			used[b.info.Pool] += b.report.UsedCpu
			room[b.info.Pool] += b.info.Capacity.CPU
		}
	}
	idle := make(map[string]bool, len(room))
	for pool, cpu := range room {
		idle[pool] = used[pool]*100 < cpu*busyPercent
	}
	return idle
}

// updateDemand works out how many boxes the pool should have: for the work that
// comes, for what waits, and for what will have piled up by the time that new
// boxes come.
func (p *Planner) updateDemand(l *cell, now time.Time) {
	boxCPU := p.maxBoxCPU(l.name)
	if boxCPU == 0 || !l.report.Known {
		return
	}
	inTime := l.report.RunningCpu + l.report.WaitingCpu
	reactive := inTime + l.lateCPU()
	if l.poolIdle {
		reactive = max(reactive, inTime+l.report.RunningLateCpu+l.report.StalledCpu)
	}
	cpu := max(reactive, p.predictedCPU(l, boxCPU))
	l.required = max(l.boxesFor(l.report.LastingCpu+cpu, boxCPU), l.dedicatedBoxes(l.lateDedicatedMilliBoxes()))
	l.requiredOnTime = max(l.boxesFor(l.report.LastingCpu+inTime, boxCPU), l.dedicatedBoxes(0))
	l.requiredLongRunning = max(l.report.Spread, (l.report.LastingCpu+boxCPU-1)/boxCPU)
	l.updateMeans(now)
	steady := max(reactive, l.report.SteadyCpu*(100+cpuHeadroomPercent)/100)
	hold := time.Duration(int64(p.options.ScaleDownDelay) * int64(l.slack()) / int64(defaultSlack))
	l.recordPeak(now, hold, max(l.boxesFor(l.report.LastingCpu+steady, boxCPU), l.dedicatedBoxes(l.lateDedicatedMilliBoxes())))
}

// predictedCPU returns the processor room, in thousandths of a core, for the work that
// comes and for what will have piled up by the time that new boxes have come.
func (p *Planner) predictedCPU(l *cell, boxCPU int) int {
	taskMs := l.report.TaskMs
	if taskMs == 0 {
		taskMs = defaultTaskMs
	}
	short := max(0, l.report.OfferedCpu+l.report.LastingCpu-p.boxCount(l.name)*boxCPU)
	lead := p.options.MoveTime + FirstTaskDelay
	behind := (l.report.WaitingCpu+l.lateCPU())*taskMs + short*int(lead.Milliseconds())
	// Half of the slack is left for what else comes.
	return max(l.report.OfferedCpu*(100+cpuHeadroomPercent)/100, l.report.RunningCpu) + 2*behind/int(l.slack().Milliseconds())
}

// lateCPU returns the processor room that the cell gets for late jobs' work.
func (l *cell) lateCPU() int {
	return (l.report.RunningLateCpu + l.report.LateCpu) * lateWorkPercent / 100
}

// dedicatedBoxes returns the number of boxes for lasting tasks and for the tasks that don't fit
// beside them, those of late jobs as far as told, in thousandths of a box.
func (l *cell) dedicatedBoxes(late int) int {
	return l.report.LastingBoxes + (l.report.WholeBoxes+late+milliPerBox-1)/milliPerBox
}

// lateDedicatedMilliBoxes returns what such tasks of late jobs get, in thousandths of a box: some of it
// goes on in any case.
func (l *cell) lateDedicatedMilliBoxes() int {
	if l.report.WholeLateBoxes == 0 {
		return 0
	}
	return max(milliPerBox, l.report.WholeLateBoxes*lateWorkPercent/100)
}

// boxesFor returns the number of boxes for a need of processor.
func (l *cell) boxesFor(cpu, boxCPU int) int {
	share := max(cpu*milliPerBox/boxCPU, l.report.MemoryShare*memoryFactorPercent/100) + int(reserveMilliBoxes/math.Sqrt(float64(l.shards)))
	return max(l.minBoxes(), l.report.Spread, (share+milliPerBox-1)/milliPerBox)
}

// minBoxes is how many boxes the cell keeps in any case.
func (l *cell) minBoxes() int {
	return (minBoxesPerPool + l.shards - 1) / l.shards
}

// updateMeans brings the running means up to date.
func (l *cell) updateMeans(now time.Time) {
	weight := 1.0
	if !l.averagedAt.IsZero() {
		weight = 1 - math.Exp(-float64(now.Sub(l.averagedAt))/float64(averagingTime))
	}
	l.averagedAt = now
	l.meanRequired += weight * (float64(l.required) - l.meanRequired)
	l.meanRequiredOnTime += weight * (float64(l.requiredOnTime) - l.meanRequiredOnTime)
}

// recordPeak keeps the highest steady needs of the holding time.
func (l *cell) recordPeak(now time.Time, hold time.Duration, need int) {
	keep := l.peaks[:0]
	for _, old := range l.peaks {
		if now.Sub(old.at) < hold && old.boxes > need {
			keep = append(keep, old)
		}
	}
	l.peaks = append(keep, peak{at: now, boxes: need})
}

// slack returns how long the pool's jobs can wait.
func (l *cell) slack() time.Duration {
	if l.report.SlackMs <= 0 {
		return defaultSlack
	}
	return max(minSlack, time.Duration(l.report.SlackMs)*time.Millisecond)
}

// retained is how many boxes the pool keeps.
func (l *cell) retained() int {
	most := l.required
	for _, old := range l.peaks {
		most = max(most, old.boxes)
	}
	return most
}
