package boxplan_test

import (
	"fmt"
	"slices"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/boxplan"
	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/wire"
)

// shardedFleet is a planner's fleet in several shards, with a pool of powered-off boxes and two other
// pools: "held", whose boxes are held by long-running tasks, and "short", which lacks boxes.
type shardedFleet struct {
	now     time.Time
	layout  shard.Layout
	planner *boxplan.Planner
	boxes   []damsonwinch.Box
	// withdrawn and silent hold the endpoints of the pool "short" that its cells report so.
	withdrawn, silent map[string]bool
}

// newShardedFleet returns a fleet with its three pools and without boxes.
func newShardedFleet() *shardedFleet {
	f := &shardedFleet{now: time.Unix(1_000_000, 0), layout: shard.New(fleetShards, []string{"held", "short"}), withdrawn: map[string]bool{}, silent: map[string]bool{}}
	f.planner = boxplan.New(boxplan.Options{MoveTime: 1500 * time.Millisecond, MaintainTime: 2 * time.Second, ScaleDownDelay: time.Second, TakeoverDelay: 3 * time.Second})
	f.planner.SetPools([]damsonwinch.Pool{{Name: "off", PoweredOff: true}, {Name: "held"}, {Name: "short"}}, f.layout)
	return f
}

// add adds count boxes of one shard to a pool.
func (f *shardedFleet) add(pool string, count, shardNumber int) {
	for number := 0; count > 0; number++ {
		name := fmt.Sprintf("%s-%03d", pool, number)
		if f.layout.BoxShard(name) != shardNumber {
			continue
		}
		count--
		box := damsonwinch.Box{
			Name: name, Pool: pool, State: damsonwinch.BoxUp, Zone: "zone", Capacity: damsonwinch.Resources{MilliCPU: scriptMilliCPU, MemoryMB: scriptMemoryMB},
		}
		if pool != "off" {
			box.EndpointID = "at-" + name
		}
		f.boxes = append(f.boxes, box)
	}
}

// reports returns the endpoint reports for a pool's boxes, each with the given number of long-running
// tasks.
func (f *shardedFleet) reports(pool string, longRunning int) []wire.EndpointReport {
	var reported []wire.EndpointReport
	for _, b := range f.boxes {
		if b.Pool == pool {
			reported = append(reported, wire.EndpointReport{Endpoint: b.EndpointID, Box: b.Name, Usable: true, Lasting: longRunning})
		}
	}
	return reported
}

// backlog returns the report of a cell that has all boxes of a pool, and waiting work for the given number of boxes.
func (f *shardedFleet) backlog(pool string, boxes int) wire.SyncReply {
	return wire.SyncReply{Known: true, TaskMs: 1000, SlackMs: 1200, WaitingCpu: boxes * scriptMilliCPU, Endpoints: f.reports(pool, 0)}
}

// shortReport returns the report of a cell of the pool "short" that needs boxes for long-running tasks.
func (f *shardedFleet) shortReport(missing int) wire.SyncReply {
	report := wire.SyncReply{Known: true, TaskMs: 1000, SlackMs: 1200, MissingBoxes: missing, Endpoints: f.reports("short", 0)}
	for i := range report.Endpoints {
		row := &report.Endpoints[i]
		row.Withdrawn, row.Silent = f.withdrawn[row.Endpoint], f.silent[row.Endpoint]
		row.Usable = !row.Withdrawn && !row.Silent
	}
	return report
}

// planRefused is like planShort, and has the platform refuse the orders. It returns the pools that they name.
func (f *shardedFleet) planRefused(after time.Duration, missing int) (pools []string) {
	orders := f.planShort(after, missing)
	for _, order := range orders {
		pools = append(pools, order.Pool)
	}
	f.handleAll(orders, damsonwinch.ErrRefused)
	return pools
}

// leaving returns the endpoints of a cell of the pool "short" that are to be withdrawn.
func (f *shardedFleet) leaving() []string {
	directives := f.planner.Directives(shard.CellName("short", 0))
	return slices.Concat(directives.Withdraw, directives.WithdrawUrgently)
}

// setAll sets the values of keys to true.
func setAll(values map[string]bool, keys []string) {
	for _, key := range keys {
		values[key] = true
	}
}

// planShort gives the planner a list of boxes and the report of a cell of the pool "short", and returns its orders.
func (f *shardedFleet) planShort(after time.Duration, missing int) []boxplan.Order {
	f.now = f.now.Add(after)
	f.planner.SetBoxes(f.now, f.boxes)
	f.planner.SetReport(f.now, shard.CellName("short", 0), f.shortReport(missing))
	return f.planner.Plan(f.now)
}

// handleAll gives the planner the same answer to all given orders.
func (f *shardedFleet) handleAll(orders []boxplan.Order, answer error) {
	for _, order := range orders {
		f.planner.HandleOrderResult(f.now, order, answer)
	}
}

// planBothRefused lets time pass, plans by reports of the first cells of the pools short and held, and has the platform refuse
// all orders.
func (f *shardedFleet) planBothRefused(after time.Duration, shortReport, heldReport wire.SyncReply) {
	f.now = f.now.Add(after)
	f.planner.SetBoxes(f.now, f.boxes)
	f.planner.SetReport(f.now, shard.CellName("short", 0), shortReport)
	f.planner.SetReport(f.now, shard.CellName("held", 0), heldReport)
	f.handleAll(f.planner.Plan(f.now), damsonwinch.ErrRefused)
}

// inheritMove gives the planner an earlier planner's order, recorded some time ago, to move a box to a pool.
func (f *shardedFleet) inheritMove(box damsonwinch.Box, pool string, age time.Duration) {
	recordedAt := int(f.now.Add(-age).UnixMilli())
	f.planner.LoadOrder(wire.OrderRecord{Box: box.Name, Pool: pool, AtMs: recordedAt, Endpoint: box.EndpointID, Placement: &wire.PlacementRecord{}})
}
