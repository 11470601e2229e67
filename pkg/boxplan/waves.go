package boxplan

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

const (
	// plannedPercent is the part of a wave's duration in which it is planned to be completed. The
	// rest is for faults and delays.
	plannedPercent = 75
	// urgentPercent is the part of a wave's duration after which tasks are stopped to empty boxes.
	urgentPercent = 45
	// poweredOffReserve is how many available powered-off boxes are kept out of maintenance while
	// the wave is on schedule, because pools may need them.
	poweredOffReserve = 6
	// typicalEmptyTime is about how long it takes until a withdrawn box is empty: tasks last up to
	// a few seconds.
	typicalEmptyTime = 2500 * time.Millisecond
)

// wave is an operator's request for maintenance and its progress. The progress may be known before the
// request: see isRequested.
type wave struct {
	damsonwinch.Wave
	startedAt time.Time
	// members holds the names of the wave's boxes.
	members map[string]bool
	// ordered holds the names of the boxes whose maintenance has been ordered.
	ordered map[string]bool
	// revised says that an order has been taken back since the wave was last recorded.
	revised bool
	// reported says that the operator has been told the present state of the wave: that it has
	// started or, if completed is set, that it is completed.
	reported bool
	// completed is set once the maintenance of all listed boxes is over.
	completed bool
}

// SetWave adds or changes a wave. A wave that exists keeps its progress, but is no longer completed if the
// request names other boxes of which some haven't been ordered.
func (p *Planner) SetWave(now time.Time, request damsonwinch.Wave) {
	if existing := p.waves[request.Number]; existing != nil {
		existing.set(request)
		return
	}
	w := &wave{startedAt: now, ordered: map[string]bool{}}
	w.set(request)
	p.waves[request.Number] = w
}

// set replaces the operator's request.
func (w *wave) set(request damsonwinch.Wave) {
	if w.completed && !slices.Equal(w.Boxes, request.Boxes) && !w.hasOrdered(request.Boxes) {
		w.completed, w.reported = false, false
	}
	w.Wave = request
	w.members = make(map[string]bool, len(request.Boxes))
	for _, name := range request.Boxes {
		w.members[name] = true
	}
}

// isRequested reports whether the operator's request is known. Without it nothing can be said of what is left
// to do: a planner that has taken over may have the progress of a wave from an earlier planner only.
func (w *wave) isRequested() bool {
	return len(w.Boxes) > 0
}

// hasOrdered reports whether the maintenance of all given boxes has been ordered.
func (w *wave) hasOrdered(boxes []string) bool {
	return !slices.ContainsFunc(boxes, func(name string) bool { return !w.ordered[name] })
}

// LoadWave takes over the progress of a wave from the record of an earlier planner. If the record has
// no start time, a wave that was not known starts at now.
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

// WaveRecord returns the progress of a wave as it is recorded in the planner's stream. For an unknown
// wave the record has only the number.
func (p *Planner) WaveRecord(number int) wire.WaveRecord {
	w := p.waves[number]
	if w == nil {
		return wire.WaveRecord{Wave: number}
	}
	return wire.WaveRecord{
		Wave: number, BegunMs: int(w.startedAt.UnixMilli()), Done: slices.Sorted(maps.Keys(w.ordered)), Completed: w.completed,
	}
}

// RevisedWaves returns the progress of the waves of which an order has been taken back since the last call. The
// record that went with the order says that the box was ordered.
func (p *Planner) RevisedWaves() []wire.WaveRecord {
	var records []wire.WaveRecord
	for _, number := range slices.Sorted(maps.Keys(p.waves)) {
		if w := p.waves[number]; w.revised {
			w.revised = false
			records = append(records, p.WaveRecord(number))
		}
	}
	return records
}

// PendingWaveReports returns the progress of the waves that have started or been completed without
// that having been reported to the operator. See WaveReported.
func (p *Planner) PendingWaveReports() []wire.WaveRecord {
	var reports []wire.WaveRecord
	for _, number := range slices.Sorted(maps.Keys(p.waves)) {
		if w := p.waves[number]; w.isRequested() && (!w.reported || w.completed) && !(w.reported && w.completed) {
			reports = append(reports, p.WaveRecord(number))
		}
	}
	return reports
}

// WaveReported notes what has been reported to the operator on a wave: that it is completed, or else
// that it has started.
func (p *Planner) WaveReported(number int, completed bool) {
	if w := p.waves[number]; w != nil {
		w.reported = !w.completed || completed
	}
}

// planWaves makes the decisions that are due for all requested waves in progress.
func (p *Planner) planWaves() {
	for _, number := range slices.Sorted(maps.Keys(p.waves)) {
		if w := p.waves[number]; w.isRequested() && !w.completed {
			p.planWave(w)
		}
	}
}

// planWave marks a wave as completed if nothing is left to do. Otherwise it orders maintenance and
// starts withdrawals as far as the wave's schedule asks for more and its limit on boxes down allows it.
func (p *Planner) planWave(w *wave) {
	due, down, emptying := p.waveProgress(w)
	if len(due) == 0 && down == 0 && emptying == 0 {
		if p.countUnordered(w) == 0 && len(p.boxes) > 0 {
			w.completed, w.reported = true, false
		}
		return
	}
	budget := w.MaxDown - down - emptying
	atOnce := p.targetConcurrency(w, len(due)+emptying+down) - down - emptying
	budget -= p.maintainPoweredOff(w, due, min(budget, max(atOnce, p.availablePoweredOff()-poweredOffReserve)))
	if !p.controlIsAway() {
		p.withdrawForWave(w, due, min(budget, atOnce))
	}
	p.makeUrgent(w)
}

// maintainPoweredOff orders the maintenance of up to count due boxes that are powered off. It returns
// the number of orders.
func (p *Planner) maintainPoweredOff(w *wave, due []*box, count int) int {
	begun := 0
	for _, b := range due {
		if begun >= count {
			break
		}
		if p.isPoweredOff(b.info.Pool) && p.isAvailable(b) {
			p.issueOrder(b, plannedOrder{wave: w.Number, shard: b.shard, cause: fmt.Sprintf("wave %d: the box is powered off", w.Number)})
			begun++
		}
	}
	return begun
}

// availablePoweredOff returns how many powered-off boxes could be moved to another pool right now.
func (p *Planner) availablePoweredOff() int {
	count := 0
	for _, b := range p.boxesByName {
		if p.isPoweredOff(b.info.Pool) && p.isAvailable(b) {
			count++
		}
	}
	return count
}

// waveProgress returns the boxes of a wave that are still due, the number of those that are in
// maintenance or ordered to it, and the number of those that are being withdrawn for it. It leaves out
// boxes that the platform doesn't list.
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

// countUnordered returns for how many boxes of a wave no maintenance has been ordered yet. It leaves
// out boxes that the platform doesn't list.
func (p *Planner) countUnordered(w *wave) int {
	count := 0
	for _, name := range w.Boxes {
		if p.boxes[name] != nil && !w.ordered[name] {
			count++
		}
	}
	return count
}

// targetConcurrency returns how many boxes must be withdrawn or down at the same time for the wave to
// be completed on schedule, given the number of boxes that are left to maintain.
func (p *Planner) targetConcurrency(w *wave, left int) int {
	cycle := typicalEmptyTime + p.options.MaintainTime
	remaining := w.Duration*plannedPercent/100 - p.now.Sub(w.startedAt)
	if remaining <= cycle {
		return w.MaxDown
	}
	return min(w.MaxDown, 1+int(time.Duration(left)*cycle/remaining))
}

// withdrawForWave starts to withdraw up to count due boxes. It first takes one box with long-running
// tasks in each pool where none is being withdrawn, then boxes in order of the time until they are
// empty. Long-running tasks are moved one after the other, some 1.5 s each, so that boxes with several
// of them would be late if they came last.
func (p *Planner) withdrawForWave(w *wave, due []*box, count int) {
	var candidates []*box
	for _, b := range due {
		if !p.isPoweredOff(b.info.Pool) && p.isAvailable(b) && p.mayWithdrawAgain(b) && b.report != nil && !b.report.Silent {
			candidates = append(candidates, b)
		}
	}
	withdrawing := p.longRunningWithdrawals(w)
	sortBoxes(candidates, p.estimateEmptyMs)
	for _, b := range candidates {
		isNeeded := b.report.NeededByLasting && !w.isLate(p.now)
		if count > 0 && b.report.Lasting > 0 && !isNeeded && !withdrawing[b.info.Pool] {
			withdrawing[b.info.Pool] = true
			p.startWaveWithdrawal(w, b, len(due))
			count--
		}
	}
	for _, b := range candidates {
		if count > 0 && b.planned == nil && !p.mustKeepForLongRunning(w, b) {
			p.startWaveWithdrawal(w, b, len(due))
			count--
		}
	}
}

// mustKeepForLongRunning reports whether a box should stay in use because long-running tasks of its cell need it, or
// because it has some while others of its cell wait for a box: a withdrawn box takes none of them, and can't be
// emptied while its own tasks have nowhere to go. A wave that is late takes such boxes all the same.
func (p *Planner) mustKeepForLongRunning(w *wave, b *box) bool {
	c := p.cells[b.cellName()]
	othersWait := b.report.Lasting > 0 && c != nil && c.report.MissingBoxes > 0
	return (othersWait || b.report.NeededByLasting) && !w.isLate(p.now)
}

// isLate reports whether urgentPercent of the wave's duration has passed.
func (w *wave) isLate(now time.Time) bool {
	return now.Sub(w.startedAt) > w.Duration*urgentPercent/100
}

// startWaveWithdrawal starts to withdraw a box for a wave. due is the number of boxes that are due, for
// the cause of the order.
func (p *Planner) startWaveWithdrawal(w *wave, b *box, due int) {
	p.startWithdrawal(b, plannedOrder{wave: w.Number, shard: b.shard, cause: fmt.Sprintf("wave %d: %d boxes are due", w.Number, due)})
}

// longRunningWithdrawals returns the names of the pools in which a box with long-running tasks is being
// withdrawn for a wave.
func (p *Planner) longRunningWithdrawals(w *wave) map[string]bool {
	withdrawing := map[string]bool{}
	for _, b := range p.boxesByName {
		if b.planned != nil && b.planned.wave == w.Number && b.report != nil && b.report.Lasting > 0 {
			withdrawing[b.info.Pool] = true
		}
	}
	return withdrawing
}

// makeUrgent makes the withdrawals for a wave urgent: all of them once urgentPercent of the wave's
// duration has passed, else those that take longer than typicalEmptyTime.
func (p *Planner) makeUrgent(w *wave) {
	late := w.isLate(p.now)
	for _, b := range p.boxesByName {
		if b.planned != nil && b.planned.wave == w.Number && (late || p.now.Sub(b.planned.since) > typicalEmptyTime) {
			b.planned.urgent = true
		}
	}
}

// dueWave returns a wave in progress that includes a box and has no order for its maintenance yet; nil
// if there is none.
func (p *Planner) dueWave(b *box) *wave {
	for _, w := range p.waves {
		if !w.completed && !w.ordered[b.info.Name] && w.members[b.info.Name] {
			return w
		}
	}
	return nil
}
