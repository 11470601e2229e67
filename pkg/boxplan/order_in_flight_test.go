package boxplan_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/wire"
)

// TestOrderInFlightOutlastsItsLife guards against more boxes in maintenance than a wave allows: the call with an order is
// still to be made, once the order has been recorded, or has no answer yet, while a list shows a later life on its box.
func TestOrderInFlightOutlastsItsLife(t *testing.T) {
	f := newShardedFleet()
	f.add("held", 2, 0)
	f.planner.SetBoxes(f.now.Add(-time.Minute), f.boxes)
	first, second := &f.boxes[0], &f.boxes[1]
	f.planner.SetWave(f.now, damsonwinch.Wave{Number: 1, MaxDown: 1, Duration: 20 * time.Second, Boxes: []string{first.Name, second.Name}})
	emptyMs, withdrawn := map[string]int{second.Name: 5000}, map[string]bool{}
	plan := func() (ordered []string) {
		f.now = f.now.Add(100 * time.Millisecond)
		report := wire.SyncReply{Known: true, TaskMs: 1000, SlackMs: 1200, Spread: 2, Endpoints: f.reports("held", 0)}
		for i := range report.Endpoints {
			row := &report.Endpoints[i]
			row.Withdrawn, row.Usable, row.EmptyMs = withdrawn[row.Box], !withdrawn[row.Box], emptyMs[row.Box]
		}
		f.planner.SetReport(f.now, shard.CellName("held", 0), report)
		for _, order := range f.planner.Plan(f.now) {
			ordered = append(ordered, order.Box)
		}
		return ordered
	}
	plan()
	withdrawn[first.Name] = true
	assert.DeepEqual(t, plan(), []string{first.Name})

	first.State = damsonwinch.BoxDown
	f.planner.SetBoxes(f.now, f.boxes)
	first.State, first.EndpointID = damsonwinch.BoxUp, "later"
	f.now = f.now.Add(100 * time.Millisecond)
	f.planner.SetBoxes(f.now, f.boxes)
	withdrawn[first.Name] = false
	emptyMs = map[string]int{first.Name: 5000}
	plan()
	withdrawn[second.Name] = true
	assert.Equal(t, len(plan()), 0, "the first order is on its way")
}
