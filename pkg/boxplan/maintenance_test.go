package boxplan_test

import (
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/boxplan"
	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/wire"
)

// TestBoxWhoseMaintenanceIsRefusedIsNotWaitedFor guards against a long-running task that waits beside a box of its cell
// which is withdrawn for a wave: the platform refuses the maintenance, and the box counts for the cell as one that is
// back soon, so that it isn't given back and no other is ordered.
func TestBoxWhoseMaintenanceIsRefusedIsNotWaitedFor(t *testing.T) {
	f := newShardedFleet()
	f.add("held", 3, 0)
	f.add("off", 1, 1)
	held, due := shard.CellName("held", 0), f.boxes[0]
	f.planner.SetBoxes(f.now.Add(-time.Minute), f.boxes)
	f.planner.SetWave(f.now, damsonwinch.Wave{Number: 1, MaxDown: 1, Duration: time.Minute, Boxes: []string{due.Name}})
	withdrawn := false
	for range 80 {
		f.now = f.now.Add(100 * time.Millisecond)
		f.planner.SetBoxes(f.now, f.boxes)
		report := wire.SyncReply{Known: true, TaskMs: 1000, SlackMs: 1200, Endpoints: f.reports("held", 1)}
		report.Endpoints[0].Lasting = 0
		if withdrawn {
			// The other two boxes are full, and a task of the cell is without a run.
			report.Endpoints[0].Usable, report.Endpoints[0].Withdrawn, report.MissingBoxes = false, true, 1
		}
		f.planner.SetReport(f.now, held, report)
		for _, order := range f.planner.Plan(f.now) {
			if order.Pool == "held" {
				return
			}
			f.planner.HandleOrderResult(f.now, order, damsonwinch.ErrRefused)
		}
		directives := f.planner.Directives(held)
		if withdrawn && len(directives.Restore) > 0 {
			return
		}
		withdrawn = withdrawn || len(directives.Withdraw) > 0
	}
	assert.Assert(t, withdrawn, "the box is withdrawn for the wave")
	t.Fatalf("the box isn't given back and none is ordered in 8 s: %v", f.planner.Summary())
}

// refusedMaintenance is a cell whose long-running tasks need each of its three boxes, and a wave for one of them. Its
// owner withdraws and restores the box at once.
type refusedMaintenance struct {
	*shardedFleet
	held                  string
	withdrawn             bool
	withdrawals, restores int
}

// newRefusedMaintenance returns such a cell with a wave of the given duration.
func newRefusedMaintenance(duration time.Duration) *refusedMaintenance {
	f := &refusedMaintenance{shardedFleet: newShardedFleet(), held: shard.CellName("held", 0)}
	f.add("held", 3, 0)
	f.planner.SetBoxes(f.now.Add(-time.Minute), f.boxes)
	f.planner.SetWave(f.now, damsonwinch.Wave{Number: 1, MaxDown: 1, Duration: duration, Boxes: []string{f.boxes[0].Name}})
	return f
}

// step lets a tenth of a second pass. The platform gives the answer to all orders, whose number it returns.
func (f *refusedMaintenance) step(answer error) int {
	f.now = f.now.Add(100 * time.Millisecond)
	f.planner.SetBoxes(f.now, f.boxes)
	report := wire.SyncReply{Known: true, TaskMs: 1000, SlackMs: 1200, Spread: 3, Endpoints: f.reports("held", 1)}
	if f.withdrawn {
		report.Endpoints[0].Usable, report.Endpoints[0].Withdrawn, report.Endpoints[0].Lasting = false, true, 0
	}
	f.planner.SetReport(f.now, f.held, report)
	orders := f.planner.Plan(f.now)
	f.handleAll(orders, answer)
	directives := f.planner.Directives(f.held)
	if f.withdrawn && len(directives.Restore) > 0 {
		f.withdrawn = false
		f.restores++
	} else if !f.withdrawn && len(slices.Concat(directives.Withdraw, directives.WithdrawUrgently)) > 0 {
		f.withdrawn = true
		f.withdrawals++
	}
	return len(orders)
}

// TestMaintenanceRefusedOnceIsRepeated guards against a box that is emptied in vain: the platform refuses one call, and the
// box is given back to its cell, which lacks none, instead of being ordered again 0.3 s later.
func TestMaintenanceRefusedOnceIsRepeated(t *testing.T) {
	f := newRefusedMaintenance(time.Minute)
	for ordered := 0; ordered == 0; {
		ordered = f.step(damsonwinch.ErrRefused)
		assert.Assert(t, f.now.Before(time.Unix(1_000_010, 0)), "no maintenance is ordered in 10 s")
	}
	for range 5 {
		f.step(nil)
	}
	assert.Equal(t, f.restores, 0)
}

// TestAcceptedInheritedMaintenanceIsNotDueAgain guards against a second maintenance of a box. The earlier
// planner's order was refused because the box was down, so that its record of the wave doesn't have the box;
// the new planner repeats the order, and the platform accepts it.
func TestAcceptedInheritedMaintenanceIsNotDueAgain(t *testing.T) {
	f := newOneBoxFleet()
	f.planner.LoadWave(f.now, wire.WaveRecord{Wave: 1})
	f.planner.SetWave(f.now, damsonwinch.Wave{Number: 1, MaxDown: 1, Duration: 20 * time.Second, Boxes: []string{f.box.Name}})
	f.planner.LoadOrder(wire.OrderRecord{Box: f.box.Name, Wave: 1, AtMs: int(f.now.UnixMilli())})
	f.list(damsonwinch.BoxDown)
	repeated := f.plan(4 * time.Second)
	assert.Equal(t, len(repeated), 1)
	f.planner.HandleOrderResult(f.now, repeated[0], nil)

	f.now = f.now.Add(time.Second)
	f.list(damsonwinch.BoxMaintenance)
	f.now = f.now.Add(2 * time.Second)
	f.list(damsonwinch.BoxUp)
	f.report(2, false)
	assert.Equal(t, len(f.plan(100*time.Millisecond)), 0)
	f.report(2, true)
	assert.Equal(t, len(f.plan(100*time.Millisecond)), 0, "the box has been maintained")
	assert.Assert(t, f.planner.WaveRecord(1).Completed)
}

// TestMaintenanceThatWasDoneBeforeCompletesTheWave guards against a wave that never ends. The platform accepts
// an order for a box that it has maintained already without doing anything, so that the box's life goes on.
func TestMaintenanceThatWasDoneBeforeCompletesTheWave(t *testing.T) {
	f := newOneBoxFleet()
	f.maintain(t, 1, 1)
	for range 8 {
		f.now = f.now.Add(time.Second)
		f.list(damsonwinch.BoxUp)
		f.report(1, false)
		assert.Equal(t, len(f.plan(0)), 0)
	}
	assert.Assert(t, f.planner.WaveRecord(1).Completed)
}

// TestUnansweredMaintenanceCountsOnAUsedLife guards against more boxes in maintenance than a wave allows: a call that got
// no answer may be carried out 2 to 12 s later, also if the owner has lost the withdrawal of the life meanwhile.
func TestUnansweredMaintenanceCountsOnAUsedLife(t *testing.T) {
	f := newShardedFleet()
	f.add("held", 2, 0)
	f.planner.SetBoxes(f.now.Add(-time.Minute), f.boxes)
	name, first := shard.CellName("held", 0), f.boxes[0].Name
	f.planner.SetWave(f.now, damsonwinch.Wave{Number: 1, MaxDown: 1, Duration: 20 * time.Second, Boxes: []string{first, f.boxes[1].Name}})
	emptyMs := map[string]int{f.boxes[1].Name: 5000}
	withdrawn := map[string]bool{}
	plan := func(after time.Duration) (ordered []string) {
		f.now = f.now.Add(after)
		report := wire.SyncReply{Known: true, TaskMs: 1000, SlackMs: 1200, Spread: 2, Endpoints: f.reports("held", 0)}
		for i := range report.Endpoints {
			row := &report.Endpoints[i]
			row.Withdrawn, row.Usable, row.EmptyMs = withdrawn[row.Box], !withdrawn[row.Box], emptyMs[row.Box]
		}
		f.planner.SetReport(f.now, name, report)
		for _, order := range f.planner.Plan(f.now) {
			ordered = append(ordered, order.Box)
			f.planner.HandleOrderResult(f.now, order, errors.New("no answer"))
		}
		return ordered
	}
	plan(0)
	withdrawn[first] = true
	assert.DeepEqual(t, plan(100*time.Millisecond), []string{first})

	withdrawn[first] = false
	emptyMs = map[string]int{first: 5000}
	plan(100 * time.Millisecond)
	withdrawn[f.boxes[1].Name] = true
	assert.Equal(t, len(plan(100*time.Millisecond)), 0, "the first call may still be carried out")
}

// TestBoxThatIsGivenBackIsWithdrawnAnewForAWave guards against maintenance that ends the runs on a box: the planner has
// told the cell's owner to use the box again, and the report that shows it as withdrawn is from before that.
func TestBoxThatIsGivenBackIsWithdrawnAnewForAWave(t *testing.T) {
	f := newShardedFleet()
	f.add("short", 4, 0)
	name := shard.CellName("short", 0)
	for range 4 {
		f.planRefused(time.Second, 0)
		setAll(f.withdrawn, f.leaving())
	}
	f.planRefused(100*time.Millisecond, 1)
	restored := f.planner.Directives(name).Restore
	assert.Equal(t, len(restored), 1)

	// The owner's answer to the call that restored the endpoint is not there yet.
	var wave damsonwinch.Wave
	for _, b := range f.boxes {
		if slices.Contains(restored, b.EndpointID) {
			wave = damsonwinch.Wave{Number: 1, MaxDown: 1, Duration: 3 * time.Second, Boxes: []string{b.Name}}
		}
	}
	f.planner.SetWave(f.now, wave)
	for range 3 {
		f.now = f.now.Add(100 * time.Millisecond)
		for _, order := range f.planner.Plan(f.now) {
			assert.Assert(t, order.Wave == 0, "maintenance is ordered on a life that is in use again")
		}
	}
}

// TestMaintenanceThatIsTakenBackIsDueAfterATakeover guards against a box that is never maintained: the record of its wave
// says that it was ordered, the order was taken back, and a new planner takes it for maintained.
func TestMaintenanceThatIsTakenBackIsDueAfterATakeover(t *testing.T) {
	f := newOneBoxFleet()
	wave := damsonwinch.Wave{Number: 1, MaxDown: 1, Duration: 10 * time.Second, Boxes: []string{f.box.Name}}
	f.planner.SetWave(f.now, wave)
	f.report(1, false)
	f.plan(0)
	f.report(1, true)
	orders := f.plan(100 * time.Millisecond)
	assert.Equal(t, len(orders), 1)
	recorded := f.planner.WaveRecord(1)
	assert.DeepEqual(t, recorded.Done, []string{f.box.Name})
	f.planner.HandleOrderResult(f.now, orders[0], damsonwinch.ErrBoxNotUp)
	for _, record := range f.planner.RevisedWaves() {
		recorded = record
	}
	assert.Equal(t, len(f.planner.RevisedWaves()), 0, "each change is recorded once")
	next := boxplan.New(boxplan.Options{MoveTime: 1500 * time.Millisecond})
	next.LoadWave(f.now, recorded)
	next.SetWave(f.now, wave)
	next.SetBoxes(f.now, []damsonwinch.Box{f.box})
	next.Plan(f.now)
	assert.Assert(t, strings.Contains(strings.Join(next.Summary(), "\n"), "wave 1: 1 boxes due"), "%v", next.Summary())
}

// TestNoBoxIsWithdrawnForAWaveWhileControlIsAway guards against endpoints that are withdrawn for maintenance which control
// of boxes doesn't take, and that stay withdrawn, idle, until it is back.
func TestNoBoxIsWithdrawnForAWaveWhileControlIsAway(t *testing.T) {
	f := newOutageFleet()
	leaving := f.planner.Directives(f.short).WithdrawUrgently
	f.withdrawn[leaving[0]] = true
	orders := f.plan(100 * time.Millisecond)
	assert.Equal(t, len(orders), 1)
	f.now = f.now.Add(800 * time.Millisecond)
	f.planner.HandleOrderResult(f.now, orders[0], errNoAnswer)
	f.plan(200 * time.Millisecond)
	assert.Equal(t, len(f.planner.Directives(f.short).WithdrawUrgently), 0, "control of boxes is away")

	wave := damsonwinch.Wave{Number: 1, MaxDown: 6, Duration: 20 * time.Second}
	for _, b := range f.boxes {
		wave.Boxes = append(wave.Boxes, b.Name)
	}
	f.planner.SetWave(f.now, wave)
	for range 40 {
		f.plan(200 * time.Millisecond)
		directives := f.planner.Directives(f.short)
		assert.Equal(t, len(slices.Concat(directives.Withdraw, directives.WithdrawUrgently)), 0, "no box can be maintained")
	}
}
