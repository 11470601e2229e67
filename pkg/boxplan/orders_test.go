package boxplan_test

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/wire"
)

// TestOrderInFlightOutlastsItsLife guards against more boxes in maintenance than a wave allows: the call with an order is
// still to be made, once the order has been recorded, or has no answer yet, while a list shows a later life on its box.
func TestOrderInFlightOutlastsItsLife(t *testing.T) {
	f := newShardedFleet()
	f.add("held", 2, 0)
	f.planner.SetBoxes(f.now.Add(-time.Minute), f.boxes)
	first, second := &f.boxes[0], &f.boxes[1]
	f.planner.SetWave(f.now, damsonwinch.Wave{Number: 1, MaxDown: 1, Duration: 20 * time.Second, Boxes: []string{first.Name, second.Name}})
	emptyMs, withdrawn := map[string]int{second.Name: 5000}, map[string]bool{}
	plan := func() (ordered []string) {
		f.now = f.now.Add(100 * time.Millisecond)
		report := wire.SyncReply{Known: true, TaskMs: 1000, SlackMs: 1200, Spread: 2, Endpoints: f.reports("held", 0)}
		for i := range report.Endpoints {
			row := &report.Endpoints[i]
			row.Withdrawn, row.Usable, row.EmptyMs = withdrawn[row.Box], !withdrawn[row.Box], emptyMs[row.Box]
		}
		f.planner.SetReport(f.now, shard.CellName("held", 0), report)
		for _, order := range f.planner.Plan(f.now) {
			ordered = append(ordered, order.Box)
		}
		return ordered
	}
	plan()
	withdrawn[first.Name] = true
	assert.DeepEqual(t, plan(), []string{first.Name})

	first.State = damsonwinch.BoxDown
	f.planner.SetBoxes(f.now, f.boxes)
	first.State, first.EndpointID = damsonwinch.BoxUp, "later"
	f.now = f.now.Add(100 * time.Millisecond)
	f.planner.SetBoxes(f.now, f.boxes)
	withdrawn[first.Name] = false
	emptyMs = map[string]int{first.Name: 5000}
	plan()
	withdrawn[second.Name] = true
	assert.Equal(t, len(plan()), 0, "the first order is on its way")
}

// TestRefusedRepetitionOfAnOrderKeepsTheOrder guards against more boxes in maintenance than a wave
// allows. A box that is down because of an order whose answer was lost refuses the repetition of that
// order, and must go on counting as down.
func TestRefusedRepetitionOfAnOrderKeepsTheOrder(t *testing.T) {
	f := newShardedFleet()
	f.add("off", 2, 1)
	f.planner.SetBoxes(f.now.Add(-time.Minute), f.boxes)
	f.planner.SetWave(f.now, damsonwinch.Wave{Number: 1, MaxDown: 1, Duration: 20 * time.Second, Boxes: []string{f.boxes[0].Name, f.boxes[1].Name}})
	first := f.planner.Plan(f.now)
	assert.Equal(t, len(first), 1)
	f.planner.HandleOrderResult(f.now, first[0], errors.New("the answer is lost"))

	f.now = f.now.Add(400 * time.Millisecond)
	repeated := f.planner.Plan(f.now)
	assert.DeepEqual(t, repeated, first)
	f.planner.HandleOrderResult(f.now, repeated[0], damsonwinch.ErrBoxNotUp)

	for i := range f.boxes {
		if f.boxes[i].Name == first[0].Box {
			f.boxes[i].State = damsonwinch.BoxMaintenance
		}
	}
	f.now = f.now.Add(100 * time.Millisecond)
	f.planner.SetBoxes(f.now, f.boxes)
	assert.Equal(t, len(f.planner.Plan(f.now)), 0, "the wave's only box down is still in maintenance")
}

// TestInheritedOrderOutlastsARefusal guards against the same after a new planner has taken over: the box is
// down because of an order that the planner before it had recorded.
func TestInheritedOrderOutlastsARefusal(t *testing.T) {
	f := newShardedFleet()
	f.add("off", 2, 1)
	inherited := f.boxes[0].Name
	f.planner.LoadWave(f.now, wire.WaveRecord{Wave: 1, Done: []string{inherited}})
	f.planner.SetWave(f.now, damsonwinch.Wave{Number: 1, MaxDown: 1, Duration: 20 * time.Second, Boxes: []string{inherited, f.boxes[1].Name}})
	f.planner.LoadOrder(wire.OrderRecord{Box: inherited, Wave: 1, AtMs: int(f.now.UnixMilli())})
	f.boxes[0].State = damsonwinch.BoxMaintenance
	f.planner.SetBoxes(f.now, f.boxes)

	f.now = f.now.Add(4 * time.Second)
	repeated := f.planner.Plan(f.now)
	assert.Equal(t, len(repeated), 1)
	f.planner.HandleOrderResult(f.now, repeated[0], damsonwinch.ErrBoxNotUp)
	f.now = f.now.Add(100 * time.Millisecond)
	f.planner.SetBoxes(f.now, f.boxes)
	assert.Equal(t, len(f.planner.Plan(f.now)), 0, "the wave's only box down is still in maintenance")
}

// TestRepeatedOrderDoesNotEndALaterLife guards against an order that ends the runs of a life not withdrawn for it.
func TestRepeatedOrderDoesNotEndALaterLife(t *testing.T) {
	f := newShardedFleet()
	f.add("held", 3, 2)
	f.planner.SetBoxes(f.now.Add(-time.Minute), f.boxes)
	name := f.boxes[0].Name
	f.planner.SetWave(f.now, damsonwinch.Wave{Number: 1, MaxDown: 1, Duration: 20 * time.Second, Boxes: []string{name}})
	withdrawn, longRunning := false, 0
	plan := func(after time.Duration) []string {
		f.now = f.now.Add(after)
		report := wire.SyncReply{Known: true, TaskMs: 1000, SlackMs: 1200, Endpoints: f.reports("held", 0)}
		report.Endpoints[0].Usable, report.Endpoints[0].Withdrawn, report.Endpoints[0].Lasting = !withdrawn, withdrawn, longRunning
		f.planner.SetReport(f.now, shard.CellName("held", 2), report)
		var ordered []string
		for _, order := range f.planner.Plan(f.now) {
			ordered = append(ordered, order.Box)
			f.planner.HandleOrderResult(f.now, order, map[bool]error{false: errors.New("lost on its way"), true: damsonwinch.ErrBoxNotUp}[f.boxes[0].State == damsonwinch.BoxDown])
		}
		return ordered
	}
	assert.Equal(t, len(plan(0)), 0, "the endpoint is withdrawn first")
	withdrawn = true
	assert.DeepEqual(t, plan(100*time.Millisecond), []string{name})
	f.boxes[0].State = damsonwinch.BoxDown
	assert.DeepEqual(t, plan(400*time.Millisecond), []string{name})
	f.planner.SetBoxes(f.now, f.boxes)

	f.boxes[0].State, f.boxes[0].EndpointID = damsonwinch.BoxUp, "later"
	withdrawn, longRunning = false, 1
	f.planner.SetBoxes(f.now.Add(time.Second), f.boxes)
	assert.Equal(t, len(plan(2*time.Second)), 0, "a long-running task runs on the later life")
}

// TestBoxIsNotWithdrawnAgainAndAgainWhileMaintenanceIsRefused guards against long-running tasks that are moved off a box and
// back every few seconds for as long as the platform refuses its maintenance.
func TestBoxIsNotWithdrawnAgainAndAgainWhileMaintenanceIsRefused(t *testing.T) {
	f := newRefusedMaintenance(time.Minute)
	for range 250 {
		f.step(damsonwinch.ErrRefused)
	}
	assert.Assert(t, f.withdrawals <= 3, "the box is withdrawn %d times and restored %d times in 25 s", f.withdrawals, f.restores)
}

// TestBoxThatIsSlowToEmptyIsNotWaitedFor guards against a long-running task that waits for the short tasks on a box of
// another pool, however long they last, because the box counts for its cell: a powered-off box that is there since is not
// ordered.
func TestBoxThatIsSlowToEmptyIsNotWaitedFor(t *testing.T) {
	f := newShardedFleet()
	f.add("short", 6, 0)
	f.add("held", 1, 0)
	short, held := shard.CellName("short", 0), shard.CellName("held", 0)
	began := f.now
	plan := func(after time.Duration) (ordered int) {
		f.now = f.now.Add(after)
		f.planner.SetBoxes(f.now, f.boxes)
		f.planner.SetReport(f.now, held, wire.SyncReply{Known: true, TaskMs: 1000, SlackMs: 1200, MissingBoxes: 1, Endpoints: f.reports("held", 1)})
		report := f.shortReport(0)
		for i := range report.Endpoints {
			report.Endpoints[i].EmptyMs = 20_000 - int(f.now.Sub(began).Milliseconds())
		}
		f.planner.SetReport(f.now, short, report)
		for _, order := range f.planner.Plan(f.now) {
			f.planner.HandleOrderResult(f.now, order, nil)
			if order.Pool == "held" {
				ordered++
			}
		}
		return ordered
	}
	plan(0)
	assert.Equal(t, len(f.planner.Directives(short).WithdrawUrgently), 1, "a box is withdrawn for the cell")
	f.add("off", 1, 1)
	ordered := 0
	for range 60 {
		ordered += plan(100 * time.Millisecond)
	}
	assert.Assert(t, ordered > 0, "no box is ordered within 6 s: %v", f.planner.Summary())
}

// TestOneRefusedOrderIsNoOutageWhileListsAreSlow guards against boxes that are given back and withdrawn anew: each list
// takes over 1 s, and the platform refuses one order while no other is due.
func TestOneRefusedOrderIsNoOutageWhileListsAreSlow(t *testing.T) {
	const listTime = 1200 * time.Millisecond
	f := newOutageFleet()
	leaving := f.planner.Directives(f.short).WithdrawUrgently
	assert.Assert(t, len(leaving) >= 2, "%d boxes are on their way", len(leaving))
	// A list has just arrived.
	f.now = f.now.Add(listTime)
	f.planner.SetBoxes(f.now.Add(-listTime), f.boxes)
	f.withdrawn[leaving[0]] = true
	orders := f.plan(100 * time.Millisecond)
	assert.Equal(t, len(orders), 1)
	f.planner.HandleOrderResult(f.now, orders[0], damsonwinch.ErrRefused)
	f.plan(100 * time.Millisecond)
	restored := f.planner.Directives(f.short).Restore
	assert.Equal(t, len(restored), 0, "the refused order is repeated")
	assert.Equal(t, len(f.planner.Directives(f.short).WithdrawUrgently), len(leaving)-1, "the other boxes are still on their way")
}
