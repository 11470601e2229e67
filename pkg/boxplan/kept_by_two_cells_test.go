package boxplan_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/wire"
)

// TestCellKeepsBoxesThatWereOrderedAwayForAnother guards against a planner that crashes: a cell keeps boxes whose orders to
// another cell the platform refuses, and the other cell keeps boxes of its own in the same plan.
func TestCellKeepsBoxesThatWereOrderedAwayForAnother(t *testing.T) {
	f := newShardedFleet()
	f.add("held", 6, 0)
	f.add("short", 4, 0)
	f.add("off", 1, 1)
	held, short := shard.CellName("held", 0), shard.CellName("short", 0)
	plan := func(missing, backlog int) {
		f.now = f.now.Add(100 * time.Millisecond)
		f.planner.SetBoxes(f.now, f.boxes)
		report := wire.SyncReply{Known: true, TaskMs: 1000, SlackMs: 1200, MissingBoxes: missing, Endpoints: f.reports("held", 0)}
		for i := range report.Endpoints {
			row := &report.Endpoints[i]
			row.Withdrawn = f.withdrawn[row.Endpoint]
			row.Usable = !row.Withdrawn
		}
		f.planner.SetReport(f.now, held, report)
		needs := f.shortReport(0)
		needs.WaitingCpu = backlog * scriptMilliCPU
		f.planner.SetReport(f.now, short, needs)
		handleAll(f, f.planner.Plan(f.now), damsonwinch.ErrRefused)
		setAll(f.withdrawn, f.planner.Directives(held).WithdrawUrgently)
	}
	for range 5 {
		plan(0, 100)
	}
	ordered := 0
	for _, order := range f.planner.IssuedOrders() {
		if order.Pool == "short" {
			ordered++
		}
	}
	assert.Assert(t, ordered >= 2, "boxes of the first cell are ordered to the second: %d", ordered)
	for range 60 {
		plan(0, 0)
	}
	assert.Assert(t, len(f.planner.Directives(short).Withdraw) > 0, "boxes of the second cell are to be powered off: %v", f.planner.Summary())
	for range 3 {
		plan(3, 0)
	}
}
