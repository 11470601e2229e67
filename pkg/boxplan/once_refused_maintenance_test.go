package boxplan_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/wire"
)

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
	for _, order := range orders {
		f.planner.HandleOrderResult(f.now, order, answer)
	}
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
