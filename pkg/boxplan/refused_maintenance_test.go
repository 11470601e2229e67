package boxplan_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch"
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
