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
	// waveShare is the part of a wave's time in which it is planned to be done, in
	// percent; the rest is for what goes wrong.
	waveShare = 75
	// hurryShare is the part after which tasks are stopped to empty a box, in
	// percent.
	hurryShare = 45
	// leastParked is how many parked boxes are left out of maintenance for pools
	// that may need them, while there is time.
	leastParked = 6
	// emptyingTime is what the emptying of a box takes, about: tasks last up to a
	// few seconds.
	emptyingTime = 2500 * time.Millisecond
)

// wave is an operator's request as the planner carries it out.
type wave struct {
	damsonwinch.Wave
	begunAt time.Time
	// members are the boxes of the wave.
	members map[string]bool
	// done holds the boxes whose maintenance has been ordered.
	done map[string]bool
	// told is what the operator has been told: whether it is completed.
	told      bool
	completed bool
}

// SetWave takes a wave. One that is known already keeps its progress.
func (p *Planner) SetWave(now time.Time, request damsonwinch.Wave) {
	if known := p.waves[request.Number]; known != nil {
		known.set(request)
		return
	}
	w := &wave{begunAt: now, done: map[string]bool{}}
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

// RecallWave takes over what an earlier holder recorded of a wave.
func (p *Planner) RecallWave(now time.Time, record wire.WaveRecord) {
	w := p.waves[record.Wave]
	if w == nil {
		w = &wave{Wave: damsonwinch.Wave{Number: record.Wave}, begunAt: now, done: map[string]bool{}}
		p.waves[record.Wave] = w
	}
	if record.BegunMs > 0 {
		w.begunAt = time.UnixMilli(int64(record.BegunMs))
	}
	for _, name := range record.Done {
		w.done[name] = true
	}
	w.completed, w.told = record.Completed, record.Completed
}

// WaveRecord returns the progress of a wave, for the planner's stream.
func (p *Planner) WaveRecord(number int) wire.WaveRecord {
	w := p.waves[number]
	if w == nil {
		return wire.WaveRecord{Wave: number}
	}
	return wire.WaveRecord{
		Wave: number, BegunMs: int(w.begunAt.UnixMilli()), Done: slices.Sorted(maps.Keys(w.done)), Completed: w.completed,
	}
}

// Reports returns the waves of which the operator has not been told how far they
// are.
func (p *Planner) Reports() []wire.WaveRecord {
	var reports []wire.WaveRecord
	for _, number := range slices.Sorted(maps.Keys(p.waves)) {
		if w := p.waves[number]; len(w.Boxes) > 0 && (!w.told || w.completed) && !(w.told && w.completed) {
			reports = append(reports, p.WaveRecord(number))
		}
	}
	return reports
}

// Told takes note that the operator has been told of a wave.
func (p *Planner) Told(number int, completed bool) {
	if w := p.waves[number]; w != nil {
		w.told = !w.completed || completed
	}
}

// maintain goes on with all waves.
func (p *Planner) maintain() {
	for _, number := range slices.Sorted(maps.Keys(p.waves)) {
		if w := p.waves[number]; !w.completed {
			p.maintainWave(w)
		}
	}
}

func (p *Planner) maintainWave(w *wave) {
	due, down, emptying := p.wavePart(w)
	if len(due) == 0 && down == 0 && emptying == 0 {
		if p.missing(w) == 0 && len(p.boxes) > 0 {
			w.completed, w.told = true, false
		}
		return
	}
	budget := w.MaxDown - down - emptying
	atOnce := p.pace(w, len(due)+emptying+down) - down - emptying
	budget -= p.maintainParked(w, due, min(budget, max(atOnce, p.parkedFree()-leastParked)))
	p.emptyForWave(w, due, min(budget, atOnce))
	p.hurryWave(w)
}

// maintainParked maintains boxes that are parked, and says how many.
func (p *Planner) maintainParked(w *wave, due []*box, count int) int {
	begun := 0
	for _, b := range due {
		if begun >= count {
			break
		}
		if p.isParking(b.info.Pool) && p.free(b) {
			p.orderNow(b, purpose{wave: w.Number, shard: b.shard, cause: fmt.Sprintf("wave %d: the box is parked", w.Number)})
			begun++
		}
	}
	return begun
}

// parkedFree counts the parked boxes that a pool could have at once.
func (p *Planner) parkedFree() int {
	count := 0
	for _, b := range p.order {
		if p.isParking(b.info.Pool) && p.free(b) {
			count++
		}
	}
	return count
}

// wavePart returns the boxes still due, and counts those that are down and those
// that are being emptied.
func (p *Planner) wavePart(w *wave) (due []*box, down, emptying int) {
	for _, name := range w.Boxes {
		b := p.boxes[name]
		if b == nil {
			continue
		}
		switch {
		case b.ordered != nil && b.ordered.Wave == w.Number, w.done[name] && b.info.State == damsonwinch.BoxMaintenance:
			down++
		case w.done[name]:
		case b.purpose != nil && b.purpose.wave == w.Number:
			emptying++
		default:
			due = append(due, b)
		}
	}
	return due, down, emptying
}

// missing counts boxes of a wave that are still listed and not done.
func (p *Planner) missing(w *wave) int {
	count := 0
	for _, name := range w.Boxes {
		if p.boxes[name] != nil && !w.done[name] {
			count++
		}
	}
	return count
}

// pace returns how many boxes should be in hand at once for the wave to be done in
// time.
func (p *Planner) pace(w *wave, left int) int {
	cycle := emptyingTime + p.options.MaintainTime
	remaining := w.Duration*waveShare/100 - p.now.Sub(w.begunAt)
	if remaining <= cycle {
		return w.MaxDown
	}
	return min(w.MaxDown, 1+int(time.Duration(left)*cycle/remaining))
}

// emptyForWave begins to empty boxes for a wave: in each pool one with lasting tasks,
// and else the emptiest first. Lasting tasks leave one after the other, some 1.5 s each,
// so that boxes with several would be too late if they came last.
func (p *Planner) emptyForWave(w *wave, due []*box, count int) {
	var found []*box
	for _, b := range due {
		if !p.isParking(b.info.Pool) && p.free(b) && b.report != nil && !b.report.Silent {
			found = append(found, b)
		}
	}
	moving := p.lastingMoving(w)
	sortBoxes(found, p.emptying)
	for _, b := range found {
		if count > 0 && b.report.Lasting > 0 && !moving[b.info.Pool] {
			moving[b.info.Pool] = true
			p.takeForWave(w, b, len(due))
			count--
		}
	}
	for _, b := range found {
		if count > 0 && b.purpose == nil {
			p.takeForWave(w, b, len(due))
			count--
		}
	}
}

func (p *Planner) takeForWave(w *wave, b *box, due int) {
	p.take(b, purpose{wave: w.Number, shard: b.shard, cause: fmt.Sprintf("wave %d: %d boxes are due", w.Number, due)})
}

// lastingMoving returns the pools in which a box with lasting tasks is being emptied for
// a wave.
func (p *Planner) lastingMoving(w *wave) map[string]bool {
	moving := map[string]bool{}
	for _, b := range p.order {
		if b.purpose != nil && b.purpose.wave == w.Number && b.report != nil && b.report.Lasting > 0 {
			moving[b.info.Pool] = true
		}
	}
	return moving
}

// hurryWave has tasks stopped where a wave runs late or a box takes too long.
func (p *Planner) hurryWave(w *wave) {
	late := p.now.Sub(w.begunAt) > w.Duration*hurryShare/100
	for _, b := range p.order {
		if b.purpose != nil && b.purpose.wave == w.Number && (late || p.now.Sub(b.purpose.since) > emptyingTime) {
			b.purpose.hurry = true
		}
	}
}

// dueWave returns the wave for which a box is still due, or nil.
func (p *Planner) dueWave(b *box) *wave {
	for _, w := range p.waves {
		if !w.completed && !w.done[b.info.Name] && w.members[b.info.Name] {
			return w
		}
	}
	return nil
}
