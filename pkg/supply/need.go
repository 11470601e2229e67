package supply

import (
	"math"
	"time"

	"damsonwinch/pkg/wire"
)

// Rules of a pool's need.
const (
	// reportTime is how long a cell's report counts.
	reportTime = 2 * time.Second
	// wholeBox is a box in thousandths.
	wholeBox = 1000
	// leastSlack and usualSlack bound the time that jobs are taken to be able to
	// wait: the quickest of the users' jobs can wait about a second.
	leastSlack = 500 * time.Millisecond
	usualSlack = 1200 * time.Millisecond
	// growth is what a pool has above the work that comes in, in percent,: work
	// comes unevenly, and boxes can't be packed to the last core.
	growth = 45
	// patientTimes is how many times as long as those of another pool a pool's jobs
	// must be able to wait for it to give what it doesn't use now.
	patientTimes = 2
	// memoryGrowth is the same for memory.
	memoryGrowth = 120
	// lateShare is the part of the work of late jobs, in percent, that a pool gets boxes
	// for: they are worth little, but must be done.
	lateShare = 20
	// usualTaskMs is the time of a task while none has ended yet.
	usualTaskMs = 1000
	// FirstTaskDelay is added to a move's own time until a box has work.
	FirstTaskDelay = 500 * time.Millisecond
	// reserve is room that every pool keeps free for jobs to come, in thousandths
	// of a box. That of each cell of a pool in several shards is less by the root of
	// their number, as what comes by chance is.
	reserve = 1700
	// averageTime is the time over which a pool's need is averaged where it is asked for
	// boxes: what waits comes and goes within 0.1 s, and a box that is given and taken
	// back has served nobody for some five seconds.
	averageTime = 600 * time.Millisecond
	// leastBoxes keeps a pool through the loss of a box or a zone.
	leastBoxes = 2
	// busyShare is the part of a pool's room, in percent, from which late jobs of which
	// nothing runs have to wait for those that do. Below, each gets room for a task: the
	// pool's other cells can't help, and users see a job that stands still beside idle
	// boxes.
	busyShare = 50
)

// cell is a pool's boxes of one shard as the planner knows them.
type cell struct {
	name string
	// pool and shard are those of which it is.
	pool    string
	shard   int
	parking bool
	// shards is the number of the pool's cells.
	shards int
	// idle says that most of the pool's room isn't used.
	idle       bool
	report     wire.SyncReply
	reportedAt time.Time
	// unread says that the report is newer than the need.
	unread bool
	// need is how many boxes the pool should have now, and peaks the highest steady
	// needs of late, which it keeps boxes for.
	need  int
	peaks []peak
	// firm is how many boxes the work that is there and can be in time takes. What is late
	// doesn't count: after a burst a pool kept 39 of 49 boxes for 10 s in which it had late
	// work only, and 120 of the next pool's 139 jobs were not in time. Worth 0.034 of a
	// day's 1.0 with a burst of five times the traffic for 10 s, by eight paired plays.
	firm int
	// lasting is how many boxes the lasting tasks take by themselves.
	lasting int
	// lackingSince is since when the cell has had fewer, zero if it hasn't.
	lackingSince time.Time
	// usualNeed and usualFirm are running means of both, by which the pool gives boxes.
	usualNeed  float64
	usualFirm  float64
	averagedAt time.Time
}

// peak is a need at a moment.
type peak struct {
	at   time.Time
	need int
}

// fresh says whether the cell's report can be gone by.
func (l *cell) fresh(now time.Time) bool {
	return l.report.Known && now.Sub(l.reportedAt) <= reportTime
}

// learnNeeds works out the needs of the cells that have reported.
func (p *Planner) learnNeeds() {
	idle := p.idlePools()
	for _, name := range p.names {
		if l := p.cells[name]; l.unread {
			l.unread = false
			l.idle = idle[l.pool]
			p.learnNeed(l, p.now)
		}
	}
}

// idlePools returns the pools most of whose room isn't used, over all shards.
func (p *Planner) idlePools() map[string]bool {
	used, room := map[string]int{}, map[string]int{}
	for _, b := range p.order {
		if b.report != nil && b.report.Usable {
			used[b.info.Pool] += b.report.UsedCpu
			room[b.info.Pool] += b.info.Capacity.MilliCPU
		}
	}
	idle := make(map[string]bool, len(room))
	for pool, cpu := range room {
		idle[pool] = used[pool]*100 < cpu*busyShare
	}
	return idle
}

// learnNeed works out how many boxes the pool should have: for the work that
// comes, for what waits, and for what will have piled up by the time that new
// boxes come.
func (p *Planner) learnNeed(l *cell, now time.Time) {
	boxCPU := p.wholeBoxCPU(l.name)
	if boxCPU == 0 || !l.report.Known {
		return
	}
	inTime := l.report.RunningCpu + l.report.WaitingCpu
	reactive := inTime + l.lateCPU()
	if l.idle {
		reactive = max(reactive, inTime+l.report.RunningLateCpu+l.report.StalledCpu)
	}
	cpu := max(reactive, p.predicted(l, boxCPU))
	l.need = max(l.boxesFor(l.report.LastingCpu+cpu, boxCPU), l.wholeBoxes(l.wholeLate()))
	l.firm = max(l.boxesFor(l.report.LastingCpu+inTime, boxCPU), l.wholeBoxes(0))
	l.lasting = max(l.report.Spread, (l.report.LastingCpu+boxCPU-1)/boxCPU)
	l.average(now)
	steady := max(reactive, l.report.SteadyCpu*(100+growth)/100)
	hold := time.Duration(int64(p.options.ScaleDownDelay) * int64(l.slack()) / int64(usualSlack))
	l.remember(now, hold, max(l.boxesFor(l.report.LastingCpu+steady, boxCPU), l.wholeBoxes(l.wholeLate())))
}

// predicted returns the processor room, in thousandths of a core, for the work that
// comes and for what will have piled up by the time that new boxes have come.
func (p *Planner) predicted(l *cell, boxCPU int) int {
	taskMs := l.report.TaskMs
	if taskMs == 0 {
		taskMs = usualTaskMs
	}
	short := max(0, l.report.OfferedCpu+l.report.LastingCpu-p.has(l.name)*boxCPU)
	lead := p.options.MoveTime + FirstTaskDelay
	behind := (l.report.WaitingCpu+l.lateCPU())*taskMs + short*int(lead.Milliseconds())
	// Half of the slack is left for what else comes.
	return max(l.report.OfferedCpu*(100+growth)/100, l.report.RunningCpu) + 2*behind/int(l.slack().Milliseconds())
}

// lateCPU returns the processor room that the cell gets for late jobs' work.
func (l *cell) lateCPU() int {
	return (l.report.RunningLateCpu + l.report.LateCpu) * lateShare / 100
}

// wholeBoxes returns the number of boxes for lasting tasks and for the tasks that don't fit
// beside them, those of late jobs as far as told, in thousandths of a box.
func (l *cell) wholeBoxes(late int) int {
	return l.report.LastingBoxes + (l.report.WholeBoxes+late+wholeBox-1)/wholeBox
}

// wholeLate returns what such tasks of late jobs get, in thousandths of a box: some of it
// goes on in any case.
func (l *cell) wholeLate() int {
	if l.report.WholeLateBoxes == 0 {
		return 0
	}
	return max(wholeBox, l.report.WholeLateBoxes*lateShare/100)
}

// boxesFor returns the number of boxes for a need of processor.
func (l *cell) boxesFor(cpu, boxCPU int) int {
	share := max(cpu*wholeBox/boxCPU, l.report.MemoryShare*memoryGrowth/100) + int(reserve/math.Sqrt(float64(l.shards)))
	return max(l.least(), l.report.Spread, (share+wholeBox-1)/wholeBox)
}

// least is how many boxes the cell keeps in any case.
func (l *cell) least() int {
	return (leastBoxes + l.shards - 1) / l.shards
}

// average brings the running means up to date.
func (l *cell) average(now time.Time) {
	weight := 1.0
	if !l.averagedAt.IsZero() {
		weight = 1 - math.Exp(-float64(now.Sub(l.averagedAt))/float64(averageTime))
	}
	l.averagedAt = now
	l.usualNeed += weight * (float64(l.need) - l.usualNeed)
	l.usualFirm += weight * (float64(l.firm) - l.usualFirm)
}

// remember keeps the highest steady needs of the holding time.
func (l *cell) remember(now time.Time, hold time.Duration, need int) {
	keep := l.peaks[:0]
	for _, old := range l.peaks {
		if now.Sub(old.at) < hold && old.need > need {
			keep = append(keep, old)
		}
	}
	l.peaks = append(keep, peak{at: now, need: need})
}

// slack returns how long the pool's jobs can wait.
func (l *cell) slack() time.Duration {
	if l.report.SlackMs <= 0 {
		return usualSlack
	}
	return max(leastSlack, time.Duration(l.report.SlackMs)*time.Millisecond)
}

// held is how many boxes the pool keeps.
func (l *cell) held() int {
	most := l.need
	for _, old := range l.peaks {
		most = max(most, old.need)
	}
	return most
}
