package planbench

import (
	"context"
	"runtime"
	"slices"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/fleetstate"
	"damsonwinch/pkg/plan"
	"damsonwinch/pkg/settings"
	"damsonwinch/pkg/trial"
	"damsonwinch/pkg/wire"
)

// Result compares a simulated month of a fleet under the planner with the same month
// under Baseline, and with lower bounds.
type Result struct {
	Fleet string `json:"fleet"`
	Boxes int    `json:"boxes"`
	// Moves counts the boxes that left a pool. MovesBound counts those that had to leave:
	// the failed boxes, and the boxes that other pools lacked.
	Moves         int `json:"moves"`
	MovesBaseline int `json:"moves_baseline"`
	MovesBound    int `json:"moves_bound"`
	// RolloutRounds is the number of planning rounds until all boxes were maintained.
	RolloutRounds   int `json:"rollout_rounds"`
	RolloutBaseline int `json:"rollout_baseline"`
	RolloutBound    int `json:"rollout_bound"`
	// Spare is the number of slots that all pools together had above their floors at the
	// start of the month.
	Spare         int `json:"spare"`
	SpareBaseline int `json:"spare_baseline"`
	SpareBound    int `json:"spare_bound"`
	// PlanMs is the median time of a plan for a fleet whose boxes are all free, and
	// IncrementalMs that of a plan for a fleet that lacks one box after an edit, in
	// milliseconds.
	PlanMs        float64 `json:"plan_ms"`
	IncrementalMs float64 `json:"incremental_ms"`
	// HeapGrowthMb is by how much the heap grew while the fleet was enrolled and PlanMs
	// was measured, in units of 1024 x 1024 bytes.
	HeapGrowthMb float64 `json:"peak_mb"`
	// BrokenBudgets counts the pools that would lack slots if their largest rack failed.
	// They are counted after the plans for each event of the month, and summed over all
	// events.
	BrokenBudgets int `json:"broken_budgets"`
}

const (
	largeFleetName = "two-years"
	maxRounds      = 400
	timedRuns      = 7
	// maxSimulatedWaveBoxes is the number of boxes up to which a maintenance wave is
	// simulated even if it maintains only one box in each round.
	maxSimulatedWaveBoxes = 500
)

// Run measures the planner on the fleets of both users of package trial and on a fleet
// of the given sizes.
func Run(ctx context.Context, clock damsonwinch.Clock, sizes Sizes) ([]Result, error) {
	var results []Result
	for _, name := range append(trial.UserNames(), largeFleetName) {
		if ctx.Err() != nil {
			return results, ctx.Err()
		}
		boxes, table := LargeFleet(sizes)
		if name != largeFleetName {
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

// measure simulates a month under the planner and under Baseline, and measures the time
// of plans.
func measure(clock damsonwinch.Clock, name string, boxes []wire.BoxInfo, table settings.Table) (Result, error) {
	result := Result{Fleet: name, Boxes: len(boxes)}
	ours, err := simulateMonth(plan.New, boxes, table)
	if err != nil {
		return result, err
	}
	baseline, err := simulateMonth(Baseline, boxes, table)
	if err != nil {
		return result, err
	}
	result.Moves, result.MovesBaseline, result.MovesBound = ours.moves, baseline.moves, ours.evicted+ours.forced
	result.RolloutRounds, result.RolloutBaseline, result.RolloutBound = ours.rounds, baseline.rounds, ours.roundsBound
	result.Spare, result.SpareBaseline, result.SpareBound = ours.spare, baseline.spare, ours.spareBound
	result.BrokenBudgets = ours.brokenBudgets
	return result, timePlans(clock, &result, boxes, table)
}

// monthResult is the result of a simulated month under one planner.
type monthResult struct {
	// moves counts the boxes that left a pool, evicted those of them that were not up,
	// and forced those that other pools lacked.
	moves, evicted, forced int
	// rounds is the number of planning rounds of the maintenance wave.
	rounds, roundsBound int
	// spare is the number of slots above the pools' floors before the first event.
	// brokenBudgets is as in Result.
	spare, spareBound, brokenBudgets int
}

// simulateMonth simulates the events of a month, one a day: demand rises towards pay
// day and falls again, racks fail and come back, and small edits are made and undone.
// At the end it maintains every box.
func simulateMonth(planner Planner, boxes []wire.BoxInfo, table settings.Table) (monthResult, error) {
	s, err := newSimulation(planner)
	if err != nil {
		return monthResult{}, err
	}
	if err := s.enroll(boxes, table); err != nil {
		return monthResult{}, err
	}
	s.planUntilStable(maxRounds)
	var m monthResult
	m.spare, m.spareBound = s.spareSlots(), s.spareSlotsBound()
	for _, event := range monthEvents(boxes) {
		s.nowMs += dayMs
		if err := event(s); err != nil {
			return monthResult{}, err
		}
		m.forced += s.forcedMoves()
		s.planUntilStable(maxRounds)
		m.brokenBudgets += s.brokenBudgets()
	}
	m.roundsBound = s.roundsBound()
	if err := s.editTable(func(wanted *settings.Table) { wanted.Deployment.MaintainBefore = s.nowMs }); err != nil {
		return monthResult{}, err
	}
	m.moves, m.evicted = s.moves, s.evicted
	m.rounds = s.waveRounds(len(boxes))
	return m, nil
}

// waveRounds simulates a maintenance wave over the given number of boxes and returns the
// number of its rounds. If the first round maintains at most one box of a large fleet, it
// returns the number of due boxes without simulating the other rounds: thousands of
// rounds that all do the same would show nothing more.
func (s *simulation) waveRounds(boxes int) int {
	due := s.dueBoxes()
	s.runRound()
	if maintained := due - s.dueBoxes(); boxes > maxSimulatedWaveBoxes && maintained <= 1 {
		return due
	}
	return 1 + s.planUntilStable(maxRounds)
}

// dueBoxes counts the boxes that are up and due for maintenance.
func (s *simulation) dueBoxes() int {
	due := 0
	for _, box := range s.state.Boxes() {
		if box.MaintainedAt < s.state.Table().Deployment().MaintainBefore && box.Health == wire.HealthUp {
			due++
		}
	}
	return due
}

// monthEvents returns the events of a month, one for each day: the first service's floor
// and the last service's spare slots change, and racks fail and come back.
func monthEvents(boxes []wire.BoxInfo) []func(*simulation) error {
	changeFloor := func(percentChange int) func(*simulation) error {
		return func(s *simulation) error {
			return s.editTable(func(wanted *settings.Table) {
				row := &wanted.Services[0].Row
				row.Floor += row.Floor * percentChange / percent
			})
		}
	}
	changeSpare := func(by int) func(*simulation) error {
		return func(s *simulation) error {
			return s.editTable(func(wanted *settings.Table) { wanted.Services[len(wanted.Services)-1].Row.Spare += by })
		}
	}
	changeRack := func(box int, health wire.Health) func(*simulation) error {
		return func(s *simulation) error {
			s.setRackHealth(boxes[box].Hall, boxes[box].Rack, health)
			return nil
		}
	}
	last := len(boxes) - 1
	return []func(*simulation) error{
		changeSpare(4), changeSpare(-4), changeRack(0, wire.HealthGone), changeRack(0, wire.HealthUp), changeSpare(8), changeSpare(-8),
		changeFloor(20), changeRack(last, wire.HealthGone), changeRack(last, wire.HealthUp), changeSpare(4),
		changeFloor(15), changeRack(last/2, wire.HealthGone), changeRack(last/2, wire.HealthUp), changeSpare(-4),
		changeFloor(-25), changeRack(last/3, wire.HealthGone), changeRack(last/3, wire.HealthUp),
	}
}

// spareSlots returns the number of slots that all pools together have above their
// floors.
func (s *simulation) spareSlots() int {
	spare := 0
	for _, pool := range s.state.Table().Deployment().Pools {
		spare += s.state.Pool(pool).Slots - s.state.Table().FloorSlots(pool)
	}
	return spare
}

// spareSlotsBound returns a lower bound for spareSlots. It requires that every pool has
// the slots that its services need even if one rack has failed and as many boxes are in
// maintenance as the table's weights ask for. It assumes that the boxes of a pool can be
// spread evenly over all racks.
func (s *simulation) spareSlotsBound() int {
	bound := 0
	size := s.maxBoxSlots()
	names := map[string]bool{}
	for _, box := range s.state.Boxes() {
		names[box.Info.Hall+"/"+box.Info.Rack] = true
	}
	racks := len(names)
	for _, pool := range s.state.Table().Deployment().Pools {
		needed := s.state.Table().NeededSlots(pool)
		kept := (needed+size-1)/size + plan.ConcurrentMaintenance(s.state.Table(), pool, size)
		boxes := kept + 1
		for boxes-(boxes+racks-1)/racks < kept {
			boxes++
		}
		bound += boxes*size - s.state.Table().FloorSlots(pool)
	}
	return bound
}

// roundsBound returns a lower bound for the number of rounds in which every box is
// maintained. It assumes that each round maintains as many boxes of each pool as the
// table's weights ask for.
func (s *simulation) roundsBound() int {
	bound := 0
	for _, pool := range s.state.Table().Deployment().Pools {
		atOnce := plan.ConcurrentMaintenance(s.state.Table(), pool, s.maxBoxSlots())
		bound = max(bound, (s.state.Pool(pool).Boxes+atOnce-1)/atOnce)
	}
	return bound
}

// maxBoxSlots returns the number of slots of the largest box.
func (s *simulation) maxBoxSlots() int {
	largest := 1
	for _, box := range s.state.Boxes() {
		largest = max(largest, box.Info.Slots)
	}
	return largest
}

// forcedMoves returns how many boxes must leave a pool because other pools lack more
// boxes than are free.
func (s *simulation) forcedMoves() int {
	size := s.maxBoxSlots()
	freeBoxes, neededBoxes := 0, 0
	for _, box := range s.state.Boxes() {
		if box.Pool == fleetstate.FreePool && box.Health == wire.HealthUp {
			freeBoxes++
		}
	}
	for _, pool := range s.state.Table().Deployment().Pools {
		short := s.state.Table().NeededSlots(pool) - s.state.Pool(pool).Slots
		neededBoxes += max(0, (short+size-1)/size)
	}
	return max(0, neededBoxes-freeBoxes)
}

// brokenBudgets returns the number of pools whose services would lack slots if the
// largest rack of the pool failed.
func (s *simulation) brokenBudgets() int {
	count := 0
	for _, pool := range s.state.Table().Deployment().Pools {
		if s.state.Headroom(pool) < 0 {
			count++
		}
	}
	return count
}

// timePlans sets PlanMs, IncrementalMs and HeapGrowthMb of a result. It measures a plan
// for a fleet whose boxes are all free. It then plans until nothing is left to do, edits
// the table and measures the next plan.
func timePlans(clock damsonwinch.Clock, result *Result, boxes []wire.BoxInfo, table settings.Table) error {
	s, err := newSimulation(plan.New)
	if err != nil {
		return err
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	if err := s.enroll(boxes, table); err != nil {
		return err
	}
	result.PlanMs = MedianMs(clock, func() { plan.New(s.state, plan.Options{}) })
	runtime.ReadMemStats(&after)
	result.HeapGrowthMb = float64(after.HeapAlloc-min(before.HeapAlloc, after.HeapAlloc)) / (1 << 20)
	s.planUntilStable(maxRounds)
	if err := s.editTable(func(wanted *settings.Table) { wanted.Services[0].Row.Floor += s.maxBoxSlots() }); err != nil {
		return err
	}
	result.IncrementalMs = MedianMs(clock, func() { plan.New(s.state, plan.Options{}) })
	return nil
}

// MedianMs calls work seven times and returns the median of the times that it takes, in
// milliseconds.
func MedianMs(clock damsonwinch.Clock, work func()) float64 {
	var times []float64
	for range timedRuns {
		startedAt := clock.Now()
		work()
		times = append(times, float64(clock.Since(startedAt))/float64(time.Millisecond))
	}
	slices.Sort(times)
	return times[len(times)/2]
}
