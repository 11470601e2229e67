package boxplan_test

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/wire"
)

// TestUnansweredMaintenanceCountsOnAUsedLife guards against more boxes in maintenance than a wave allows: a call that got
// no answer may be carried out 2 to 12 s later, also if the owner has lost the withdrawal of the life meanwhile.
func TestUnansweredMaintenanceCountsOnAUsedLife(t *testing.T) {
	f := newShardedFleet()
	f.add("held", 2, 0)
	f.planner.SetBoxes(f.now.Add(-time.Minute), f.boxes)
	name, first := shard.CellName("held", 0), f.boxes[0].Name
	f.planner.SetWave(f.now, damsonwinch.Wave{Number: 1, MaxDown: 1, Duration: 20 * time.Second, Boxes: []string{first, f.boxes[1].Name}})
	emptyMs := map[string]int{f.boxes[1].Name: 5000}
	withdrawn := map[string]bool{}
	plan := func(after time.Duration) (ordered []string) {
		f.now = f.now.Add(after)
		report := wire.SyncReply{Known: true, TaskMs: 1000, SlackMs: 1200, Spread: 2, Endpoints: f.reports("held", 0)}
		for i := range report.Endpoints {
			row := &report.Endpoints[i]
			row.Withdrawn, row.Usable, row.EmptyMs = withdrawn[row.Box], !withdrawn[row.Box], emptyMs[row.Box]
		}
		f.planner.SetReport(f.now, name, report)
		for _, order := range f.planner.Plan(f.now) {
			ordered = append(ordered, order.Box)
			f.planner.HandleOrderResult(f.now, order, errors.New("no answer"))
		}
		return ordered
	}
	plan(0)
	withdrawn[first] = true
	assert.DeepEqual(t, plan(100*time.Millisecond), []string{first})

	withdrawn[first] = false
	emptyMs = map[string]int{first: 5000}
	plan(100 * time.Millisecond)
	withdrawn[f.boxes[1].Name] = true
	assert.Equal(t, len(plan(100*time.Millisecond)), 0, "the first call may still be carried out")
}
