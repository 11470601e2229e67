package boxplan_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"time"

	"damsonwinch"
	"damsonwinch/pkg/boxplan"
	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/wire"
)

// maxGrowth is how many times as much work four times the boxes may cost: linear growth with a margin.
const maxGrowth = 6

// TestPlanLooksAtEachBoxFewTimes checks the cost of a turn of demand: most boxes are powered off, and a tenth
// of them are needed at once. A search over all boxes for each of them made four times the fleet cost
// sixteen times as much.
func TestPlanLooksAtEachBoxFewTimes(t *testing.T) {
	const size = 400
	examined := map[int]int{}
	for _, boxes := range []int{size, 2 * size, 4 * size} {
		planner, orders := planTurnOfDemand(boxes)
		assert.Equal(t, orders, boxes/10, "orders in a fleet of %d boxes", boxes)
		examined[boxes] = planner.BoxesExamined()
	}
	t.Logf("boxes looked at: %v", examined)
	assert.Assert(t, examined[4*size] <= maxGrowth*examined[size], "%v", examined)
}

// planTurnOfDemand returns the planner of a fleet whose boxes are all powered off, in cells of 40 boxes, after
// a plan that gives a tenth of them to the cells of one pool, and the number of its orders.
func planTurnOfDemand(boxCount int) (*boxplan.Planner, int) {
	now := time.Unix(1_000_000, 0)
	shards := boxCount / 40
	planner := boxplan.New(boxplan.Options{MoveTime: 1500 * time.Millisecond, MaintainTime: 2 * time.Second, ScaleDownDelay: time.Second, TakeoverDelay: 3 * time.Second})
	planner.SetPools([]damsonwinch.Pool{{Name: "off", PoweredOff: true}, {Name: "busy"}, {Name: "other"}}, shard.New(shards, nil))
	boxes := make([]damsonwinch.Box, 0, boxCount)
	for number := range boxCount {
		boxes = append(boxes, damsonwinch.Box{
			Name: fmt.Sprintf("box-%05d", number), Pool: "off", State: damsonwinch.BoxUp, Zone: fmt.Sprintf("zone-%d", number%6),
			Capacity: damsonwinch.Resources{MilliCPU: scriptMilliCPU, MemoryMB: scriptMemoryMB},
		})
	}
	planner.SetBoxes(now.Add(-time.Minute), boxes)
	for number := range shards {
		planner.SetReport(now, shard.CellName("busy", number), wire.SyncReply{Known: true, TaskMs: 1000, SlackMs: 1200, Spread: boxCount / 10 / shards})
	}
	return planner, len(planner.Plan(now))
}
