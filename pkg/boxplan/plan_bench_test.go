package boxplan_test

import (
	"fmt"
	"testing"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/boxplan"
	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/wire"
)

// benchFleet is a planner with the boxes of a simulated platform, spread over pools of which one is
// powered off. The demand of each pool changes each second.
type benchFleet struct {
	planner *boxplan.Planner
	pools   []damsonwinch.Pool
	boxes   []damsonwinch.Box
	now     time.Time
}

// newBenchFleet returns a fleet with the given numbers of boxes and pools, which the planner knows.
func newBenchFleet(boxes, pools int) *benchFleet {
	f := &benchFleet{now: time.Unix(1_000_000, 0)}
	f.planner = boxplan.New(boxplan.Options{MoveTime: 1500 * time.Millisecond, MaintainTime: 2 * time.Second, ScaleDownDelay: time.Second, TakeoverDelay: 3 * time.Second})
	for i := range pools {
		f.pools = append(f.pools, damsonwinch.Pool{Name: fmt.Sprintf("pool-%02d", i), PoweredOff: i == 0})
	}
	for i := range boxes {
		f.boxes = append(f.boxes, damsonwinch.Box{
			Name: fmt.Sprintf("box-%04d", i), Pool: f.pools[i%pools].Name, State: damsonwinch.BoxUp, Zone: fmt.Sprintf("zone-%d", i%4),
			Capacity: damsonwinch.Resources{MilliCPU: 32000, MemoryMB: 128000}, EndpointID: fmt.Sprintf("endpoint-%04d", i),
		})
	}
	f.planner.SetPools(f.pools, shard.New(1, nil))
	f.planner.SetBoxes(f.now, f.boxes)
	f.now = f.now.Add(10 * time.Second)
	return f
}

// round gives the planner the cells' reports, plans, and carries out all orders at once. It returns the
// number of orders.
func (f *benchFleet) round(number int) int {
	f.now = f.now.Add(100 * time.Millisecond)
	for i, pool := range f.pools {
		if !pool.PoweredOff {
			f.planner.SetReport(f.now, pool.Name, f.report(pool.Name, (number/10+i)%len(f.pools)))
		}
	}
	orders := f.planner.Plan(f.now)
	for _, order := range orders {
		f.planner.HandleOrderResult(f.now, order, nil)
		f.move(order)
	}
	f.planner.SetBoxes(f.now.Add(time.Millisecond), f.boxes)
	return len(orders)
}

// move carries out an order.
func (f *benchFleet) move(order boxplan.Order) {
	for i := range f.boxes {
		if f.boxes[i].Name == order.Box && order.Pool != "" {
			f.boxes[i].Pool = order.Pool
			f.boxes[i].EndpointID += "+"
		}
	}
}

// report returns the report of a pool's cell, whose running tasks use 2*share/len(f.pools) times the
// capacity of a pool of average size.
func (f *benchFleet) report(pool string, share int) wire.SyncReply {
	reply := wire.SyncReply{Known: true, TaskMs: 800, SlackMs: 1200}
	withdrawn := map[string]bool{}
	directives := f.planner.Directives(pool)
	for _, id := range append(directives.Withdraw, directives.WithdrawUrgently...) {
		withdrawn[id] = true
	}
	for _, b := range f.boxes {
		if b.Pool == pool {
			reply.Endpoints = append(reply.Endpoints, wire.EndpointReport{Endpoint: b.EndpointID, Box: b.Name, Usable: !withdrawn[b.EndpointID], Withdrawn: withdrawn[b.EndpointID]})
		}
	}
	reply.RunningCpu = len(f.boxes) * 32000 / len(f.pools) * 2 * share / len(f.pools)
	return reply
}

// BenchmarkPlan measures one round of reports, plan and orders in fleets whose demand moves from pool
// to pool each second.
func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ boxes, pools int }{{50, 5}, {350, 5}, {5800, 45}} {
		b.Run(fmt.Sprintf("boxes=%d", size.boxes), func(b *testing.B) {
			f := newBenchFleet(size.boxes, size.pools)
			orders := 0
			for number := 0; b.Loop(); number++ {
				orders += f.round(number)
			}
			b.ReportMetric(float64(orders)/float64(b.N), "orders/op")
		})
	}
}
