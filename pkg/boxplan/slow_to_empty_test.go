package boxplan_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/wire"
)

// TestBoxThatIsSlowToEmptyIsNotWaitedFor guards against a long-running task that waits for the short tasks on a box of
// another pool, however long they last, because the box counts for its cell: a powered-off box that is there since is not
// ordered.
func TestBoxThatIsSlowToEmptyIsNotWaitedFor(t *testing.T) {
	f := newShardedFleet()
	f.add("short", 6, 0)
	f.add("held", 1, 0)
	short, held := shard.CellName("short", 0), shard.CellName("held", 0)
	began := f.now
	plan := func(after time.Duration) (ordered int) {
		f.now = f.now.Add(after)
		f.planner.SetBoxes(f.now, f.boxes)
		f.planner.SetReport(f.now, held, wire.SyncReply{Known: true, TaskMs: 1000, SlackMs: 1200, MissingBoxes: 1, Endpoints: f.reports("held", 1)})
		report := f.shortReport(0)
		for i := range report.Endpoints {
			report.Endpoints[i].EmptyMs = 20_000 - int(f.now.Sub(began).Milliseconds())
		}
		f.planner.SetReport(f.now, short, report)
		for _, order := range f.planner.Plan(f.now) {
			f.planner.HandleOrderResult(f.now, order, nil)
			if order.Pool == "held" {
				ordered++
			}
		}
		return ordered
	}
	plan(0)
	assert.Equal(t, len(f.planner.Directives(short).WithdrawUrgently), 1, "a box is withdrawn for the cell")
	f.add("off", 1, 1)
	ordered := 0
	for range 60 {
		ordered += plan(100 * time.Millisecond)
	}
	assert.Assert(t, ordered > 0, "no box is ordered within 6 s: %v", f.planner.Summary())
}
