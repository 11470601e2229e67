package supply

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// Rules of waves.
const (
	// plannedPercent is the part of a wave's time in which it is planned to be done, in
	// percent; the rest is for what goes wrong.
	plannedPercent = 75
	// urgentPercent is the part after which tasks are stopped to empty a box, in
	// percent.
	urgentPercent = 45
	// poweredOffReserve is how many parked boxes are left out of maintenance for pools
	// that may need them, while there is time.
	poweredOffReserve = 6
	// typicalEmptyTime is what the emptying of a box takes, about: tasks last up to a
	// few seconds.
	typicalEmptyTime = 2500 * time.Millisecond
)

// wave is an operator's request as the planner carries it out.
type wave struct {
	damsonwinch.Wave
	startedAt time.Time
	// members are the boxes of the wave.
	members map[string]bool
	// ordered holds the boxes whose maintenance has been ordered.
	ordered map[string]bool
	// reported is what the operator has been reported: whether it is completed.
	reported  bool
	completed bool
}

// SetWave takes a wave. One that is known already keeps its progress.
func (p *Planner) SetWave(now time.Time, request damsonwinch.Wave) {
	if known := p.waves[request.Number]; known != nil {
		known.set(request)
		return
	}
	w := &wave{startedAt: now, ordered: map[string]bool{}}
	w.set(request)
	p.waves[request.Number] = w
}

func (w *wave) set(request damsonwinch.Wave) {
	w.Wave = request
	w.members = make(map[string]bool, len(request.Boxes))
	for _, name := range request.Boxes {
		w.members[name] = true
	}
}

// LoadWave takes over what an earlier holder recorded of a wave.
func (p *Planner) LoadWave(now time.Time, record wire.WaveRecord) {
	w := p.waves[record.Wave]
	if w == nil {
		w = &wave{Wave: damsonwinch.Wave{Number: record.Wave}, startedAt: now, ordered: map[string]bool{}}
		p.waves[record.Wave] = w
	}
	if record.BegunMs > 0 {
		w.startedAt = time.UnixMilli(int64(record.BegunMs))
	}
	for _, name := range record.Done {
		w.ordered[name] = true
	}
	w.completed, w.reported = record.Completed, record.Completed
}

// WaveRecord returns the progress of a wave, for the planner's stream.
func (p *Planner) WaveRecord(number int) wire.WaveRecord {
	w := p.waves[number]
	if w == nil {
		return wire.WaveRecord{Wave: number}
	}
	return wire.WaveRecord{
		Wave: number, BegunMs: int(w.startedAt.UnixMilli()), Done: slices.Sorted(maps.Keys(w.ordered)), Completed: w.completed,
	}
}

// PendingWaveReports returns the waves of which the operator has not been told how far they
// are.
func (p *Planner) PendingWaveReports() []wire.WaveRecord {
	var reports []wire.WaveRecord
	for _, number := range slices.Sorted(maps.Keys(p.waves)) {
		if w := p.waves[number]; len(w.Boxes) > 0 && (!w.reported || w.completed) && !(w.reported && w.completed) {
			reports = append(reports, p.WaveRecord(number))
		}
	}
	return reports
}

// WaveReported takes note that the operator has been told of a wave.
func (p *Planner) WaveReported(number int, completed bool) {
	if w := p.waves[number]; w != nil {
		w.reported = !w.completed || completed
	}
}

// planWaves goes on with all waves.
func (p *Planner) planWaves() {
	for _, number := range slices.Sorted(maps.Keys(p.waves)) {
		if w := p.waves[number]; !w.completed {
			p.planWave(w)
		}
	}
}

func (p *Planner) planWave(w *wave) {
	due, down, emptying := p.waveProgress(w)
	if len(due) == 0 && down == 0 && emptying == 0 {
		if p.unorderedBoxes(w) == 0 && len(p.boxes) > 0 {
			w.completed, w.reported = true, false
		}
		return
	}
	budget := w.MostDown - down - emptying
	atOnce := p.targetConcurrency(w, len(due)+emptying+down) - down - emptying
	budget -= p.maintainPoweredOff(w, due, min(budget, max(atOnce, p.availablePoweredOff()-poweredOffReserve)))
	p.withdrawForWave(w, due, min(budget, atOnce))
	p.makeUrgent(w)
}

// maintainPoweredOff maintains boxes that are parked, and says how many.
func (p *Planner) maintainPoweredOff(w *wave, due []*box, count int) int {
	begun := 0
	for _, b := range due {
		if begun >= count {
			break
		}
		if p.isPoweredOff(b.info.Pool) && p.isAvailable(b) {
			p.issueOrder(b, plannedOrder{wave: w.Number, shard: b.shard, cause: fmt.Sprintf("wave %d: the box is parked", w.Number)})
			begun++
		}
	}
	return begun
}

// availablePoweredOff counts the parked boxes that a pool could have at once.
func (p *Planner) availablePoweredOff() int {
	count := 0
	for _, b := range p.boxesByName {
		if p.isPoweredOff(b.info.Pool) && p.isAvailable(b) {
			count++
		}
	}
	return count
}

// waveProgress returns the boxes still due, and counts those that are down and those
// that are being emptied.
func (p *Planner) waveProgress(w *wave) (due []*box, down, emptying int) {
	for _, name := range w.Boxes {
		b := p.boxes[name]
		if b == nil {
			continue
		}
		switch {
		case b.issued != nil && b.issued.Wave == w.Number, w.ordered[name] && b.info.State == damsonwinch.BoxMaintenance:
			down++
		case w.ordered[name]:
		case b.planned != nil && b.planned.wave == w.Number:
			emptying++
		default:
			due = append(due, b)
		}
	}
	return due, down, emptying
}

// unorderedBoxes counts boxes of a wave that are still listed and not done.
func (p *Planner) unorderedBoxes(w *wave) int {
	count := 0
	for _, name := range w.Boxes {
		if p.boxes[name] != nil && !w.ordered[name] {
			count++
		}
	}
	return count
}

// targetConcurrency returns how many boxes should be in hand at once for the wave to be done in
// time.
func (p *Planner) targetConcurrency(w *wave, left int) int {
	cycle := typicalEmptyTime + p.options.MaintainTime
	remaining := w.Duration*plannedPercent/100 - p.now.Sub(w.startedAt)
	if remaining <= cycle {
		return w.MostDown
	}
	return min(w.MostDown, 1+int(time.Duration(left)*cycle/remaining))
}

// withdrawForWave begins to empty boxes for a wave: in each pool one with lasting tasks,
// and else the emptiest first. Lasting tasks leave one after the other, some 1.5 s each,
// so that boxes with several would be too late if they came last.
func (p *Planner) withdrawForWave(w *wave, due []*box, count int) {
	var found []*box
	for _, b := range due {
		if !p.isPoweredOff(b.info.Pool) && p.isAvailable(b) && b.report != nil && !b.report.Silent {
			found = append(found, b)
		}
	}
	moving := p.longRunningWithdrawals(w)
	sortBoxes(found, p.estimateEmptyMs)
	for _, b := range found {
		if count > 0 && b.report.Lasting > 0 && !moving[b.info.Pool] {
			moving[b.info.Pool] = true
			p.startWaveWithdrawal(w, b, len(due))
			count--
		}
	}
	for _, b := range found {
		if count > 0 && b.planned == nil {
			p.startWaveWithdrawal(w, b, len(due))
			count--
		}
	}
}

func (p *Planner) startWaveWithdrawal(w *wave, b *box, due int) {
	p.startWithdrawal(b, plannedOrder{wave: w.Number, shard: b.shard, cause: fmt.Sprintf("wave %d: %d boxes are due", w.Number, due)})
}

// longRunningWithdrawals returns the pools in which a box with lasting tasks is being emptied for
// a wave.
func (p *Planner) longRunningWithdrawals(w *wave) map[string]bool {
	moving := map[string]bool{}
	for _, b := range p.boxesByName {
		if b.planned != nil && b.planned.wave == w.Number && b.report != nil && b.report.Lasting > 0 {
			moving[b.info.Pool] = true
		}
	}
	return moving
}

// makeUrgent has tasks stopped where a wave runs late or a box takes too long.
func (p *Planner) makeUrgent(w *wave) {
	late := p.now.Sub(w.startedAt) > w.Duration*urgentPercent/100
	for _, b := range p.boxesByName {
		if b.planned != nil && b.planned.wave == w.Number && (late || p.now.Sub(b.planned.since) > typicalEmptyTime) {
			b.planned.urgent = true
		}
	}
}

// dueWave returns the wave for which a box is still due, or nil.
func (p *Planner) dueWave(b *box) *wave {
	for _, w := range p.waves {
		if !w.completed && !w.ordered[b.info.Name] && w.members[b.info.Name] {
			return w
		}
	}
	return nil
}
