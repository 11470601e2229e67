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

// TestNoMoreBoxesAreWithdrawnThanCanBePoweredOff guards against cells without boxes for tens of seconds: in a quiet
// fleet all boxes but a few were withdrawn to be powered off, at once, and then waited for orders that the platform
// took one by one. Work that arrived meanwhile found no endpoint. However large the fleet, only as many boxes may
// be withdrawn as the platform takes in a second, and all that aren't needed must be powered off in the end.
func TestNoMoreBoxesAreWithdrawnThanCanBePoweredOff(t *testing.T) {
	const size, perSecond = 400, 30
	for _, boxes := range []int{size, 2 * size, 4 * size} {
		fleet := newQuietFleet(boxes, perSecond)
		for second := range boxes {
			now := startOfPlan.Add(time.Duration(second) * time.Second)
			withdrawn := fleet.plan(now)
			assert.Assert(t, withdrawn <= perSecond, "%d of %d boxes are withdrawn at a time", withdrawn, boxes)
			if withdrawn == 0 {
				assert.Assert(t, second <= boxes/perSecond+1, "%d s for %d boxes", second, boxes)
				break
			}
		}
		assert.Equal(t, fleet.poweredOff, boxes-quietCells*quietCellBoxes, "boxes powered off in a fleet of %d", boxes)
	}
}

// Sizes of a quiet fleet: its cells keep quietCellBoxes boxes each.
const (
	quietCells     = 10
	quietCellBoxes = 1
)

// quietFleet is a fleet whose cells have hardly any work. Its platform carries out the orders of each plan.
type quietFleet struct {
	planner    *boxplan.Planner
	boxes      []damsonwinch.Box
	withdrawn  map[string]bool
	poweredOff int
}

// newQuietFleet returns a quiet fleet whose platform powers off perSecond boxes a second.
func newQuietFleet(boxCount, perSecond int) *quietFleet {
	f := &quietFleet{withdrawn: map[string]bool{}}
	f.planner = boxplan.New(boxplan.Options{MoveTime: 1500 * time.Millisecond, ScaleDownDelay: time.Second, TakeoverDelay: 3 * time.Second, PowerOffsPerSecond: perSecond})
	f.planner.SetPools([]damsonwinch.Pool{{Name: "off", PoweredOff: true}, {Name: "quiet"}}, shard.New(quietCells, nil))
	for number := range boxCount {
		f.boxes = append(f.boxes, damsonwinch.Box{
			Name: fmt.Sprintf("box-%05d", number), Pool: "quiet", State: damsonwinch.BoxUp, Zone: fmt.Sprintf("zone-%d", number%6), EndpointID: fmt.Sprintf("life-%05d", number),
			Capacity: damsonwinch.Resources{MilliCPU: scriptMilliCPU, MemoryMB: scriptMemoryMB},
		})
	}
	return f
}

// plan makes a plan and another one after the cells have withdrawn endpoints as the first one asked. It returns how
// many were withdrawn. The platform carries out all orders.
func (f *quietFleet) plan(now time.Time) int {
	f.planner.SetBoxes(now, f.boxes)
	f.report(now)
	f.planner.Plan(now)
	withdrawn := 0
	for number := range quietCells {
		for _, life := range f.planner.Directives(shard.CellName("quiet", number)).Withdraw {
			f.withdrawn[life] = true
			withdrawn++
		}
	}
	f.report(now.Add(100 * time.Millisecond))
	for _, order := range f.planner.Plan(now.Add(100 * time.Millisecond)) {
		f.planner.HandleOrderResult(now.Add(200*time.Millisecond), order, nil)
		for i := range f.boxes {
			if f.boxes[i].Name == order.Box {
				f.boxes[i].Pool, f.boxes[i].EndpointID = order.Pool, ""
				f.poweredOff++
			}
		}
	}
	return withdrawn
}

// report sets reports by which each cell has one endpoint on each of its boxes, and no work.
func (f *quietFleet) report(now time.Time) {
	layout := shard.New(quietCells, nil)
	for number := range quietCells {
		reply := wire.SyncReply{Known: true, TaskMs: 1000, SlackMs: 1200, Spread: quietCellBoxes}
		for _, b := range f.boxes {
			if life := (damsonwinch.Life{ID: b.EndpointID}); b.EndpointID != "" && layout.LifeShard(b.Name, b.Pool, life, nil) == number {
				reply.Endpoints = append(reply.Endpoints, wire.EndpointReport{Endpoint: b.EndpointID, Box: b.Name, Usable: !f.withdrawn[b.EndpointID], Withdrawn: f.withdrawn[b.EndpointID]})
			}
		}
		f.planner.SetReport(now, shard.CellName("quiet", number), reply)
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
