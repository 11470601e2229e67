package boxplan_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/boxplan"
	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/wire"
)

// TestStalledJobsKeepBoxesThatAreBeingPoweredOff guards against late jobs of which nothing runs although most of
// their pool's boxes are idle: the boxes wait to be powered off, and the few that remain in use are full.
func TestStalledJobsKeepBoxesThatAreBeingPoweredOff(t *testing.T) {
	const boxCount = 30
	now := time.Unix(1_000_000, 0)
	planner := boxplan.New(boxplan.Options{MoveTime: 1500 * time.Millisecond, MaintainTime: 2 * time.Second, ScaleDownDelay: time.Second, TakeoverDelay: 3 * time.Second})
	planner.SetPools([]damsonwinch.Pool{{Name: "off", PoweredOff: true}, {Name: "work"}}, shard.New(1, []string{"work"}))
	var boxes []damsonwinch.Box
	var endpoints []wire.EndpointReport
	for number := range boxCount {
		name := fmt.Sprintf("box-%02d", number)
		boxes = append(boxes, damsonwinch.Box{Name: name, EndpointID: "at-" + name, Pool: "work", State: damsonwinch.BoxUp, Zone: "zone", Capacity: damsonwinch.Resources{MilliCPU: scriptMilliCPU, MemoryMB: scriptMemoryMB}})
		endpoints = append(endpoints, wire.EndpointReport{Endpoint: "at-" + name, Box: name, Usable: true})
	}
	planner.SetBoxes(now.Add(-time.Minute), boxes)
	cellName := shard.CellName("work", 0)
	planner.SetReport(now, cellName, wire.SyncReply{Known: true, Endpoints: endpoints})
	planner.Plan(now)
	withdrawn := planner.Directives(cellName).Withdraw
	assert.Assert(t, len(withdrawn) > boxCount/2, "%d boxes are being withdrawn", len(withdrawn))

	// Late jobs arrive that need all boxes. They fill the boxes that are still in use.
	used := 0
	for i := range endpoints {
		e := &endpoints[i]
		if e.Usable = !containsLife(withdrawn, e.Endpoint); e.Usable {
			e.UsedCpu, e.Runs = scriptMilliCPU, 1
			used++
		}
	}
	stalled := (boxCount - used) * scriptMilliCPU
	now = now.Add(100 * time.Millisecond)
	planner.SetReport(now, cellName, wire.SyncReply{Known: true, Endpoints: endpoints, TaskMs: 1000, SlackMs: 1200, RunningLateCpu: used * scriptMilliCPU, LateCpu: stalled, StalledCpu: stalled})
	planner.Plan(now)
	kept := boxCount - len(planner.Directives(cellName).Withdraw)
	assert.Assert(t, kept*2 >= boxCount, "%d of %d boxes are in use beside jobs of which nothing runs", kept, boxCount)
}

// containsLife reports whether lives contains the life with an endpoint's ID.
func containsLife(lives []string, id string) bool {
	for _, text := range lives {
		if damsonwinch.ParseLife(text).ID == id {
			return true
		}
	}
	return false
}
