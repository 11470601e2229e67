package boxplan_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch/pkg/boxplan"
	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/wire"
)

// TestLongRunningTaskGetsABoxWithinTheRestartBound guards against a long-running task that is without a run for over 6 s
// during the turn of another pool. No box is powered off, and the idle boxes of its own pool are in other cells, where
// they count as room for it.
func TestLongRunningTaskGetsABoxWithinTheRestartBound(t *testing.T) {
	const (
		step      = 100 * time.Millisecond
		moveTime  = 1500 * time.Millisecond
		shortTask = 700 * time.Millisecond
		bound     = 6 * time.Second
	)
	f := newShardedFleet()
	f.add("held", 3, 0)
	f.add("held", 2, 1)
	f.add("short", 30, 0)
	f.planner.SetBoxes(f.now.Add(-time.Minute), f.boxes)
	held, turn := shard.CellName("held", 0), shard.CellName("short", 0)
	emptyAt, withdrawn := map[string]time.Time{}, map[string]bool{}
	began := f.now
	var moved *boxplan.Order
	for ; f.now.Sub(began) < 2*bound && moved == nil; f.now = f.now.Add(step) {
		f.planner.SetBoxes(f.now, f.boxes)
		for number, name := range []string{held, shard.CellName("held", 1)} {
			report := wire.SyncReply{Known: true, TaskMs: 1000, SlackMs: 1200, Spread: (1 - number) * 3, MissingBoxes: 1 - number}
			for _, row := range f.reports("held", 1-number) {
				if f.layout.BoxShard(row.Box) == number {
					report.Endpoints = append(report.Endpoints, row)
				}
			}
			f.planner.SetReport(f.now, name, report)
		}
		report := wire.SyncReply{Known: true, TaskMs: 700, SlackMs: 1200, WaitingCpu: 300 * scriptMilliCPU, RunningCpu: 30 * scriptMilliCPU, Endpoints: f.reports("short", 0)}
		for i := range report.Endpoints {
			row := &report.Endpoints[i]
			row.EmptyMs = int(shortTask.Milliseconds())
			if end, leaving := emptyAt[row.Endpoint]; leaving {
				withdrawn[row.Endpoint] = !f.now.Before(end)
				row.Usable, row.Withdrawn, row.EmptyMs = false, withdrawn[row.Endpoint], max(0, int(end.Sub(f.now).Milliseconds()))
			}
		}
		f.planner.SetReport(f.now, turn, report)
		orders := f.planner.Plan(f.now)
		if at := slices.IndexFunc(orders, func(o boxplan.Order) bool { return o.Pool == "held" && o.Shard == 0 }); at >= 0 {
			moved = &orders[at]
		}
		f.handleAll(orders, nil)
		for _, life := range f.planner.Directives(turn).WithdrawUrgently {
			if _, leaving := emptyAt[life]; !leaving {
				emptyAt[life] = f.now.Add(shortTask)
			}
		}
	}
	assert.Assert(t, moved != nil, "no box is moved to the cell")
	upAfter := f.now.Sub(began) + moveTime + boxplan.FirstTaskDelay
	assert.Assert(t, upAfter <= bound, "the task can start after %v", upAfter)
}
