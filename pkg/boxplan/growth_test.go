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
		planner, orders := planTurnOfDemand(boxes, 0)
		assert.Equal(t, orders, boxes/10, "orders in a fleet of %d boxes", boxes)
		examined[boxes] = planner.BoxesExamined()
	}
	t.Logf("boxes looked at: %v", examined)
	assert.Assert(t, examined[4*size] <= maxGrowth*examined[size], "%v", examined)
}

// TestOrdersKeepThePlatformsRate checks that a turn of demand costs no more orders in a second than the platform
// takes, however large the fleet, and that all boxes are ordered in the end. When a plan issued all orders at
// once, those above the rate were refused and issued again three times a second: four times the fleet
// got sixteen times as many refusals.
func TestOrdersKeepThePlatformsRate(t *testing.T) {
	const size, perSecond, plansPerSecond = 400, 30, 10
	for _, boxes := range []int{size, 2 * size, 4 * size} {
		planner, orders := planTurnOfDemand(boxes, perSecond)
		assert.Assert(t, orders <= perSecond, "%d orders at once in a fleet of %d boxes", orders, boxes)
		wanted, seconds := boxes/10, 0
		for ; orders < wanted && seconds < boxes; seconds++ {
			inSecond := 0
			for plan := range plansPerSecond {
				now := startOfPlan.Add(time.Duration(seconds*plansPerSecond+plan+1) * time.Second / plansPerSecond)
				reportTurnOfDemand(planner, now, boxes)
				inSecond += len(planner.Plan(now))
			}
			assert.Assert(t, inSecond <= perSecond, "%d orders in second %d in a fleet of %d boxes", inSecond, seconds, boxes)
			orders += inSecond
		}
		assert.Equal(t, orders, wanted, "orders in a fleet of %d boxes in %d s", boxes, seconds)
		assert.Assert(t, seconds <= wanted/perSecond+1, "%d s for %d orders", seconds, wanted)
	}
}

// startOfPlan is the time of the first plan.
var startOfPlan = time.Unix(1_000_000, 0)

// planTurnOfDemand returns the planner of a fleet whose boxes are all powered off, in cells of 40 boxes, after
// a plan that gives a tenth of them to the cells of one pool, and the number of its orders. ordersPerSecond
// is how many orders the platform takes; 0 for no limit.
func planTurnOfDemand(boxCount, ordersPerSecond int) (*boxplan.Planner, int) {
	now := startOfPlan
	shards := boxCount / 40
	planner := boxplan.New(boxplan.Options{MoveTime: 1500 * time.Millisecond, MaintainTime: 2 * time.Second, ScaleDownDelay: time.Second, TakeoverDelay: 3 * time.Second, OrdersPerSecond: ordersPerSecond})
	planner.SetPools([]damsonwinch.Pool{{Name: "off", PoweredOff: true}, {Name: "busy"}, {Name: "other"}}, shard.New(shards, nil))
	boxes := make([]damsonwinch.Box, 0, boxCount)
	for number := range boxCount {
		boxes = append(boxes, damsonwinch.Box{
			Name: fmt.Sprintf("box-%05d", number), Pool: "off", State: damsonwinch.BoxUp, Zone: fmt.Sprintf("zone-%d", number%6),
			Capacity: damsonwinch.Resources{MilliCPU: scriptMilliCPU, MemoryMB: scriptMemoryMB},
		})
	}
	planner.SetBoxes(now.Add(-time.Minute), boxes)
	reportTurnOfDemand(planner, now, boxCount)
	return planner, len(planner.Plan(now))
}

// reportTurnOfDemand sets reports by which the cells of one pool need a tenth of the boxes.
func reportTurnOfDemand(planner *boxplan.Planner, now time.Time, boxCount int) {
	shards := boxCount / 40
	for number := range shards {
		planner.SetReport(now, shard.CellName("busy", number), wire.SyncReply{Known: true, TaskMs: 1000, SlackMs: 1200, Spread: boxCount / 10 / shards})
	}
}
