package planbench

import (
	"context"
	"runtime"
	"slices"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/fold"
	"damsonwinch/pkg/plan"
	"damsonwinch/pkg/settings"
	"damsonwinch/pkg/trial"
	"damsonwinch/pkg/wire"
)

// Result compares one fleet's month with the baseline and the bounds.
type Result struct {
	Fleet           string  `json:"fleet"`
	Boxes           int     `json:"boxes"`
	Moves           int     `json:"moves"`
	MovesBaseline   int     `json:"moves_baseline"`
	MovesBound      int     `json:"moves_bound"`
	RolloutRounds   int     `json:"rollout_rounds"`
	RolloutBaseline int     `json:"rollout_baseline"`
	RolloutBound    int     `json:"rollout_bound"`
	Spare           int     `json:"spare"`
	SpareBaseline   int     `json:"spare_baseline"`
	SpareBound      int     `json:"spare_bound"`
	PlanMs          float64 `json:"plan_ms"`
	IncrementalMs   float64 `json:"incremental_ms"`
	HeapGrowthMb    float64 `json:"peak_mb"`
	BrokenBudgets   int     `json:"broken_budgets"`
}

const (
	twoYears   = "two-years"
	mostRounds = 400
	repeats    = 7
	// playedBoxes is the largest fleet whose wave is played one box at a time.
	playedBoxes = 500
)

// Run measures both users' fleets and one of the given sizes.
func Run(ctx context.Context, clock damsonwinch.Clock, sizes Sizes) ([]Result, error) {
	var results []Result
	for _, name := range append(trial.UserNames(), twoYears) {
		if ctx.Err() != nil {
			return results, ctx.Err()
		}
		boxes, table := LargeFleet(sizes)
		if name != twoYears {
			var err error
			if boxes, table, err = UserFleet(name); err != nil {
				return nil, err
			}
		}
		result, err := measure(clock, name, boxes, table)
		if err != nil {
			return nil, err
		}
		results = append(results, result)
	}
	return results, nil
}

func measure(clock damsonwinch.Clock, name string, boxes []wire.BoxInfo, table settings.Table) (Result, error) {
	result := Result{Fleet: name, Boxes: len(boxes)}
	ours, err := playMonth(plan.New, boxes, table)
	if err != nil {
		return result, err
	}
	plain, err := playMonth(Baseline, boxes, table)
	if err != nil {
		return result, err
	}
	result.Moves, result.MovesBaseline, result.MovesBound = ours.moves, plain.moves, ours.evicted+ours.forced
	result.RolloutRounds, result.RolloutBaseline, result.RolloutBound = ours.rounds, plain.rounds, ours.roundsBound
	result.Spare, result.SpareBaseline, result.SpareBound = ours.spare, plain.spare, ours.spareBound
	result.BrokenBudgets = ours.broken
	return result, timePlans(clock, &result, boxes, table)
}

// month is what one planner's month came to.
type month struct {
	moves, evicted, forced    int
	rounds, roundsBound       int
	spare, spareBound, broken int
}

// playMonth plays 30 days: demand shifts to pay day and back, a pool grows, a
// rack fails every week, small edits come and go, and every box is maintained.
func playMonth(planner Planner, boxes []wire.BoxInfo, table settings.Table) (month, error) {
	b, err := newBench(planner)
	if err != nil {
		return month{}, err
	}
	if err := b.start(boxes, table); err != nil {
		return month{}, err
	}
	b.settle(mostRounds)
	var m month
	m.spare, m.spareBound = b.spare(), b.spareBound()
	for _, step := range monthSteps(boxes) {
		b.at += dayMs
		if err := step(b); err != nil {
			return month{}, err
		}
		m.forced += b.forcedMoves()
		b.settle(mostRounds)
		m.broken += b.brokenBudgets()
	}
	m.roundsBound = b.roundsBound()
	if err := b.edit(func(wanted *settings.Table) { wanted.Deployment.MaintainBefore = b.at }); err != nil {
		return month{}, err
	}
	m.moves, m.evicted = b.moves, b.evicted
	m.rounds = b.waveRounds(len(boxes))
	return m, nil
}

// waveRounds plays the wave. One box at a time is only counted in a large fleet:
// playing thousands of rounds that each do the same shows nothing more.
func (b *bench) waveRounds(boxes int) int {
	due := b.dueBoxes()
	b.round()
	if done := due - b.dueBoxes(); boxes > playedBoxes && done <= 1 {
		return due
	}
	return 1 + b.settle(mostRounds)
}

func (b *bench) dueBoxes() int {
	due := 0
	for _, box := range b.state.Boxes() {
		if box.MaintainedAt < b.state.Table().Deployment().MaintainBefore && box.Health == wire.HealthUp {
			due++
		}
	}
	return due
}

// monthSteps are the month's events, one a day.
func monthSteps(boxes []wire.BoxInfo) []func(*bench) error {
	shift := func(percentUp int) func(*bench) error {
		return func(b *bench) error {
			return b.edit(func(wanted *settings.Table) {
				row := &wanted.Services[0].Row
				row.Floor += row.Floor * percentUp / percent
			})
		}
	}
	nudge := func(by int) func(*bench) error {
		return func(b *bench) error {
			return b.edit(func(wanted *settings.Table) { wanted.Services[len(wanted.Services)-1].Row.Spare += by })
		}
	}
	rack := func(box int, health wire.Health) func(*bench) error {
		return func(b *bench) error {
			b.setRack(boxes[box].Hall, boxes[box].Rack, health)
			return nil
		}
	}
	last := len(boxes) - 1
	return []func(*bench) error{
		nudge(4), nudge(-4), rack(0, wire.HealthGone), rack(0, wire.HealthUp), nudge(8), nudge(-8),
		shift(20), rack(last, wire.HealthGone), rack(last, wire.HealthUp), nudge(4),
		shift(15), rack(last/2, wire.HealthGone), rack(last/2, wire.HealthUp), nudge(-4),
		shift(-25), rack(last/3, wire.HealthGone), rack(last/3, wire.HealthUp),
	}
}

// spare counts the slots that pools hold above what their floors need.
func (b *bench) spare() int {
	spare := 0
	for _, pool := range b.state.Table().Deployment().Pools {
		spare += b.state.Pool(pool).Slots - b.state.Table().FloorSlots(pool)
	}
	return spare
}

// spareBound is the least spare with which every pool keeps its services' needs
// with one rack lost and as many boxes in maintenance as the weights ask for, if
// the pool could use all racks alike.
func (b *bench) spareBound() int {
	bound := 0
	size := b.boxSlots()
	names := map[string]bool{}
	for _, box := range b.state.Boxes() {
		names[box.Info.Hall+"/"+box.Info.Rack] = true
	}
	racks := len(names)
	for _, pool := range b.state.Table().Deployment().Pools {
		needed := b.state.Table().NeededSlots(pool)
		kept := (needed+size-1)/size + plan.ConcurrentMaintenance(b.state.Table(), pool, size)
		boxes := kept + 1
		for boxes-(boxes+racks-1)/racks < kept {
			boxes++
		}
		bound += boxes*size - b.state.Table().FloorSlots(pool)
	}
	return bound
}

// roundsBound is the least number of rounds in which every box is maintained
// with as many at once as the weights ask for.
func (b *bench) roundsBound() int {
	bound := 0
	for _, pool := range b.state.Table().Deployment().Pools {
		together := plan.ConcurrentMaintenance(b.state.Table(), pool, b.boxSlots())
		bound = max(bound, (b.state.Pool(pool).Boxes+together-1)/together)
	}
	return bound
}

func (b *bench) boxSlots() int {
	largest := 1
	for _, box := range b.state.Boxes() {
		largest = max(largest, box.Info.Slots)
	}
	return largest
}

// forcedMoves counts the boxes that must leave a pool because pools lack more
// than the free boxes give.
func (b *bench) forcedMoves() int {
	size := b.boxSlots()
	free, lacking := 0, 0
	for _, box := range b.state.Boxes() {
		if box.Pool == fold.FreePool && box.Health == wire.HealthUp {
			free++
		}
	}
	for _, pool := range b.state.Table().Deployment().Pools {
		short := b.state.Table().NeededSlots(pool) - b.state.Pool(pool).Slots
		lacking += max(0, (short+size-1)/size)
	}
	return max(0, lacking-free)
}

// brokenBudgets counts pools whose budget doesn't hold after the fleet has
// settled.
func (b *bench) brokenBudgets() int {
	broken := 0
	for _, pool := range b.state.Table().Deployment().Pools {
		if b.state.Headroom(pool) < 0 {
			broken++
		}
	}
	return broken
}

// timePlans measures a full plan, of the empty fleet, and one after one edit.
func timePlans(clock damsonwinch.Clock, result *Result, boxes []wire.BoxInfo, table settings.Table) error {
	b, err := newBench(plan.New)
	if err != nil {
		return err
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	if err := b.start(boxes, table); err != nil {
		return err
	}
	result.PlanMs = MedianMs(clock, func() { plan.New(b.state, plan.Options{}) })
	runtime.ReadMemStats(&after)
	result.HeapGrowthMb = float64(after.HeapAlloc-min(before.HeapAlloc, after.HeapAlloc)) / (1 << 20)
	b.settle(mostRounds)
	if err := b.edit(func(wanted *settings.Table) { wanted.Services[0].Row.Floor += b.boxSlots() }); err != nil {
		return err
	}
	result.IncrementalMs = MedianMs(clock, func() { plan.New(b.state, plan.Options{}) })
	return nil
}

// MedianMs returns the median time of a piece of work, in milliseconds.
func MedianMs(clock damsonwinch.Clock, do func()) float64 {
	var times []float64
	for range repeats {
		begun := clock.Now()
		do()
		times = append(times, float64(clock.Since(begun))/float64(time.Millisecond))
	}
	slices.Sort(times)
	return times[len(times)/2]
}
