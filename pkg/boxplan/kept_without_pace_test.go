package boxplan_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/boxplan"
	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/wire"
)

// TestBoxIsKeptWhileOrdersAreRefused guards against a long-running task that waits beside a withdrawn box of its cell for
// as long as the platform refuses orders: their repetitions use up the pace of orders, without which no box is kept
// either, although that needs no order.
func TestBoxIsKeptWhileOrdersAreRefused(t *testing.T) {
	const perSecond = 10
	f := newShardedFleet()
	f.planner = boxplan.New(boxplan.Options{MoveTime: 1500 * time.Millisecond, ScaleDownDelay: time.Second, TakeoverDelay: 3 * time.Second, OrdersPerSecond: perSecond, PowerOffsPerSecond: perSecond})
	f.planner.SetPools([]damsonwinch.Pool{{Name: "off", PoweredOff: true}, {Name: "held"}, {Name: "short"}}, f.layout)
	f.add("short", 4, 0)
	f.add("held", 1, 0)
	f.add("off", 2*perSecond, 1)
	plan := func(missing, backlog int) (restored int) {
		f.now = f.now.Add(100 * time.Millisecond)
		f.planner.SetBoxes(f.now, f.boxes)
		f.planner.SetReport(f.now, shard.CellName("short", 0), f.shortReport(missing))
		f.planner.SetReport(f.now, shard.CellName("held", 0), wire.SyncReply{Known: true, TaskMs: 1000, SlackMs: 1200, WaitingCpu: backlog * scriptMilliCPU, Endpoints: f.reports("held", 0)})
		for _, order := range f.planner.Plan(f.now) {
			f.planner.HandleOrderResult(f.now, order, damsonwinch.ErrRefused)
		}
		setAll(f.withdrawn, f.planner.Directives(shard.CellName("short", 0)).Withdraw)
		return len(f.planner.Directives(shard.CellName("short", 0)).Restore)
	}
	for range 30 {
		plan(0, 0)
	}
	assert.Assert(t, len(f.withdrawn) > 0, "boxes are to be powered off")
	for range 20 {
		plan(0, 100)
	}
	restored := 0
	for range 50 {
		restored = max(restored, plan(1, 100))
	}
	assert.Assert(t, restored > 0, "no box is kept within 5 s")
}
