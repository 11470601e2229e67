package supply

import (
	"time"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// Rules of a pool's need.
const (
	// reportTime is how long a cell's report counts.
	reportTime = 2 * time.Second
	// wholeBox is a box in thousandths.
	wholeBox = 1000
	// growth is what a pool has above the work that comes in, in percent: work
	// comes unevenly, and boxes can't be packed to the last core.
	growth = 120
	// waitingWeight is the part of the waiting work, in percent, that should be
	// caught up with in the time of a few tasks.
	waitingWeight = 100
	// reserve is room that every pool keeps free for jobs to come, in thousandths
	// of a box.
	reserve = 700
	// leastBoxes keeps a pool through the loss of a box or a zone.
	leastBoxes = 2
)

// pool is a service's boxes as the planner knows them.
type pool struct {
	name       string
	parking    bool
	report     wire.SyncReply
	reportedAt time.Time
	// need is how many boxes the pool should have now, and held the highest need
	// within the holding time.
	need  int
	peaks []peak
}

// peak is a need at a moment.
type peak struct {
	at   time.Time
	need int
}

// fresh says whether the cell's report can be gone by.
func (l *pool) fresh(now time.Time) bool {
	return l.report.Known && now.Sub(l.reportedAt) <= reportTime
}

// learnNeed works out how many boxes the pool should have.
func (l *pool) learnNeed(now time.Time, hold time.Duration, boxCPU int) {
	if boxCPU == 0 || !l.report.Known {
		return
	}
	busy := max(l.report.OfferedCpu, l.report.RunningCpu)
	cpu := l.report.LastingCpu + busy*growth/100 + l.report.WaitingCpu*waitingWeight/100
	share := max(cpu*wholeBox/boxCPU, l.report.MemoryShare*growth/100) + reserve
	l.need = max(leastBoxes, l.report.Spread, (share+wholeBox-1)/wholeBox)
	keep := l.peaks[:0]
	for _, old := range l.peaks {
		if now.Sub(old.at) < hold && old.need > l.need {
			keep = append(keep, old)
		}
	}
	l.peaks = append(keep, peak{at: now, need: l.need})
}

// held is the highest need within the holding time.
func (l *pool) held() int {
	most := l.need
	for _, old := range l.peaks {
		most = max(most, old.need)
	}
	return most
}

// has counts the boxes that serve a pool or will soon.
func (p *Planner) has(name string) int {
	count := 0
	for _, b := range p.order {
		if p.serves(b, name) {
			count++
		}
	}
	return count
}

// serves says whether a box serves a pool, or will without another decision.
func (p *Planner) serves(b *box, name string) bool {
	if b.ordered != nil {
		return b.ordered.Pool == name || (b.ordered.Pool == "" && b.info.Pool == name)
	}
	if b.info.Pool != name || b.info.State == damsonwinch.BoxDown {
		return false
	}
	if b.purpose != nil {
		return b.purpose.pool == "" || b.purpose.pool == name
	}
	if b.report != nil {
		return b.report.Usable || p.now.Sub(b.upAt) < arrival
	}
	return !p.pools[name].fresh(p.now) || p.now.Sub(b.upAt) < arrival
}
