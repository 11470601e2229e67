package boxplan_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/wire"
)

// TestWaveLeavesANeededBoxWithLongRunningTasks guards against a waiting long-running task that loses its place: the wave
// begins with the box that the task needs, since it has other long-running tasks, although it could take another box.
func TestWaveLeavesANeededBoxWithLongRunningTasks(t *testing.T) {
	f := newShardedFleet()
	f.add("held", 2, 0)
	f.planner.SetBoxes(f.now.Add(-time.Minute), f.boxes)
	report := wire.SyncReply{Known: true, TaskMs: 1000, SlackMs: 1200, Endpoints: f.reports("held", 1)}
	report.Endpoints[0].NeededByLasting = true
	f.planner.SetReport(f.now, shard.CellName("held", 0), report)
	f.planner.SetWave(f.now, damsonwinch.Wave{Number: 1, MaxDown: 1, Duration: time.Minute, Boxes: []string{f.boxes[0].Name, f.boxes[1].Name}})
	f.planner.Plan(f.now)
	assert.DeepEqual(t, f.planner.Directives(shard.CellName("held", 0)).Withdraw, []string{f.boxes[1].EndpointID})
}
