package boxplan_test

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/boxplan"
	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/wire"
)

// Capacity of a box in scripts, in thousandths of a core and in mebibytes.
const (
	scriptMilliCPU = 16_000
	scriptMemoryMB = 32_768
)

// script is a planner with the boxes and reports of a data file.
type script struct {
	t       *testing.T
	planner *boxplan.Planner
	layout  shard.Layout
	pools   []damsonwinch.Pool
	boxes   []damsonwinch.Box
	// emptyMs holds the milliseconds until a box is empty, and longRunning the number of its
	// long-running tasks, by the name of the box.
	emptyMs     map[string]int
	longRunning map[string]int
	// running holds the number of runs, and usedCPU the CPU that they use, by the name of the box. withdrawn holds the boxes whose cells have
	// recorded the withdrawal that the last plan asked for, and ordered the orders that are to be carried out.
	running   map[string]int
	usedCPU   map[string]int
	withdrawn map[string]bool
	ordered   []boxplan.Order
	// evacuated holds the evacuated zones, and needed the boxes that long-running tasks need.
	evacuated, needed []string
	now               time.Time
}

// TestScripts runs the data files of testdata and compares the output of their plan commands. Commands:
//
//	fleet shards=N: lines "pool boxes"; the first pool's boxes are powered off
//	report pool=P shard=N: the report of a cell's owner, with
//	  lasting=C running=C running-late=C waiting=C late=C steady=C offered=C stalled=C in cores, slack=MS,
//	  spread=N lasting-boxes=N missing=N in boxes, whole=N whole-late=N in thousandths of a box
//	busy pool=P boxes=N ms=MS: the first N boxes of a pool are empty after MS milliseconds
//	lasting box=B tasks=N: a box has N long-running tasks
//	needed boxes=(B, ...): long-running tasks that don't run need these boxes and no others
//	wave number=N down=N s=S pools=(P, ...) boxes=(B, ...): a wave for all boxes of some pools and for other boxes, of
//	  which at most N may be down at the same time, to be completed within S seconds
//	recorded-wave number=N done=(B, ...): an earlier planner has recorded that it has ordered the maintenance
//	  of these boxes
//	reports: prints what is to be reported to the operator on the waves, and counts it as reported
//	evacuate zones=(Z, ...): the operator evacuates these zones and no others
//	run box=B tasks=N cores=C: a box has N runs that use C cores
//	withdraw: the cells record the withdrawals that the last plan asked for
//	accept: the platform accepts the orders so far, and has moved no box yet
//	summary: prints the planner's lines on the cells
//	carry-out: the platform carries out the orders so far
//	plan at=MS: prints the orders and the withdrawals that the planner decides at that time
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{t: t, emptyMs: map[string]int{}, longRunning: map[string]int{}, running: map[string]int{}, usedCPU: map[string]int{}, withdrawn: map[string]bool{}, now: time.Unix(1_000_000, 0)}
		datadriven.RunTest(t, path, s.run)
	})
}

// run executes a command and returns its output.
func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "fleet":
		s.fleet(max(1, number(t, d, "shards")), d.Input)
	case "report":
		s.report(d)
	case "busy":
		s.setBusy(d)
	case "lasting":
		var box string
		d.ScanArgs(t, "box", &box)
		s.longRunning[box] = number(t, d, "tasks")
	case "needed":
		s.needed = nil
		for _, arg := range d.CmdArgs {
			s.needed = append(s.needed, arg.Vals...)
		}
	case "wave":
		s.wave(d)
	case "recorded-wave":
		s.planner.LoadWave(s.now, wire.WaveRecord{Wave: number(t, d, "number"), Done: list(d, "done")})
	case "reports":
		return s.reports()
	case "evacuate":
		s.evacuate(d)
	case "run":
		var box string
		d.ScanArgs(t, "box", &box)
		s.running[box], s.usedCPU[box] = number(t, d, "tasks"), number(t, d, "cores")*1000
	case "withdraw":
		s.withdraw()
	case "carry-out":
		s.carryOut()
	case "accept":
		s.accept()
	case "summary":
		return strings.Join(s.planner.Summary(), "\n")
	case "plan":
		s.now = time.Unix(1_000_000, 0).Add(time.Duration(number(t, d, "at")) * time.Millisecond)
		return s.plan()
	default:
		t.Fatalf("%s: unknown command %s", d.Pos, d.Cmd)
	}
	return ""
}

// number returns an argument of a command, 0 if it is missing.
func number(t *testing.T, d *datadriven.TestData, key string) int {
	if !d.HasArg(key) {
		return 0
	}
	value := 0
	d.ScanArgs(t, key, &value)
	return value
}

// list returns the values of an argument of a command, none if it is missing.
func list(d *datadriven.TestData, key string) []string {
	for _, arg := range d.CmdArgs {
		if arg.Key == key {
			return arg.Vals
		}
	}
	return nil
}

// fleet creates the pools and boxes that the lines of the input give, and the planner.
func (s *script) fleet(shards int, input string) {
	s.layout = shard.New(shards, nil)
	s.planner = boxplan.New(boxplan.Options{MoveTime: 1500 * time.Millisecond, MaintainTime: 2 * time.Second, ScaleDownDelay: time.Second, TakeoverDelay: 3 * time.Second, EvacuationPowerOffDelay: time.Minute})
	for i, line := range strings.Split(input, "\n") {
		fields := strings.Fields(line)
		count, err := strconv.Atoi(fields[1])
		assert.NilError(s.t, err)
		s.pools = append(s.pools, damsonwinch.Pool{Name: fields[0], PoweredOff: i == 0})
		for box := range count {
			name := fmt.Sprintf("%s-%02d", fields[0], box)
			s.boxes = append(s.boxes, damsonwinch.Box{
				Name: name, Pool: fields[0], State: damsonwinch.BoxUp, Zone: fmt.Sprintf("zone-%d", box%3), EndpointID: "at-" + name,
				Capacity: damsonwinch.Resources{MilliCPU: scriptMilliCPU, MemoryMB: scriptMemoryMB},
			})
		}
	}
	s.planner.SetPools(s.pools, s.layout)
	s.planner.SetBoxes(s.now.Add(-time.Minute), s.boxes)
}

// setBusy sets the time until the first boxes of a pool are empty.
func (s *script) setBusy(d *datadriven.TestData) {
	var pool string
	d.ScanArgs(s.t, "pool", &pool)
	left := number(s.t, d, "boxes")
	for _, b := range s.boxes {
		if b.Pool == pool && left > 0 {
			s.emptyMs[b.Name] = number(s.t, d, "ms")
			left--
		}
	}
}

// report gives the planner the report of a cell's owner.
func (s *script) report(d *datadriven.TestData) {
	var pool string
	d.ScanArgs(s.t, "pool", &pool)
	cores := func(key string) int { return number(s.t, d, key) * 1000 }
	reply := wire.SyncReply{
		Known: true, TaskMs: 1000, SlackMs: number(s.t, d, "slack"), LastingCpu: cores("lasting"), RunningCpu: cores("running"), RunningLateCpu: cores("running-late"),
		LastingBoxes: number(s.t, d, "lasting-boxes"), Spread: number(s.t, d, "spread"), StalledCpu: cores("stalled"),
		MissingBoxes: number(s.t, d, "missing"), WholeBoxes: number(s.t, d, "whole"), WholeLateBoxes: number(s.t, d, "whole-late"),
		WaitingCpu: cores("waiting"), LateCpu: cores("late"), SteadyCpu: cores("steady"), OfferedCpu: max(cores("steady"), cores("offered")),
	}
	shardNumber := number(s.t, d, "shard")
	for _, b := range s.boxes {
		if b.Pool == pool && s.layout.BoxShard(b.Name) == shardNumber {
			reply.Endpoints = append(reply.Endpoints, wire.EndpointReport{Endpoint: b.EndpointID, Box: b.Name, Usable: !slices.Contains(s.evacuated, b.Zone) && !s.withdrawn[b.Name], EmptyMs: s.emptyMs[b.Name], Lasting: s.longRunning[b.Name], Runs: s.running[b.Name], UsedCpu: s.usedCPU[b.Name], Withdrawn: s.withdrawn[b.Name], NeededByLasting: slices.Contains(s.needed, b.Name)})
		}
	}
	s.planner.SetReport(s.now, shard.CellName(pool, shardNumber), reply)
}

// wave gives the planner a wave.
func (s *script) wave(d *datadriven.TestData) {
	wave := damsonwinch.Wave{Number: number(s.t, d, "number"), MaxDown: number(s.t, d, "down"), Duration: time.Duration(number(s.t, d, "s")) * time.Second, Boxes: list(d, "boxes")}
	for _, arg := range d.CmdArgs {
		for _, b := range s.boxes {
			if arg.Key == "pools" && slices.Contains(arg.Vals, b.Pool) {
				wave.Boxes = append(wave.Boxes, b.Name)
			}
		}
	}
	s.planner.SetWave(s.now, wave)
}

// reports returns the reports on waves that are pending, one per line, and counts them as reported.
func (s *script) reports() string {
	var lines []string
	for _, report := range s.planner.PendingWaveReports() {
		state := "started"
		if report.Completed {
			state = "completed"
		}
		lines = append(lines, fmt.Sprintf("wave %d is %s, %d boxes ordered", report.Wave, state, len(report.Done)))
		s.planner.WaveReported(report.Wave, report.Completed)
	}
	return strings.Join(lines, "\n")
}

// evacuate gives the planner the evacuated zones. The endpoints there are not usable from then on.
func (s *script) evacuate(d *datadriven.TestData) {
	s.evacuated = nil
	for _, arg := range d.CmdArgs {
		s.evacuated = append(s.evacuated, arg.Vals...)
	}
	since := map[string]time.Time{}
	for _, zone := range s.evacuated {
		since[zone] = s.now
	}
	s.planner.SetEvacuatedZones(since)
}

// withdraw makes the reports show the withdrawals that the last plan asked for as recorded.
func (s *script) withdraw() {
	clear(s.withdrawn)
	for _, cell := range s.cells() {
		directives := s.planner.Directives(cell)
		for _, id := range slices.Concat(directives.Withdraw, directives.WithdrawUrgently) {
			s.withdrawn[strings.TrimPrefix(id, "at-")] = true
		}
	}
}

// accept has the platform accept the orders so far.
func (s *script) accept() {
	for _, order := range s.ordered {
		s.planner.HandleOrderResult(s.now, order, nil)
	}
}

// carryOut has the platform accept the orders so far and move the boxes.
func (s *script) carryOut() {
	for _, order := range s.ordered {
		s.planner.HandleOrderResult(s.now, order, nil)
		for i := range s.boxes {
			if s.boxes[i].Name == order.Box {
				s.boxes[i].Pool = order.Pool
				delete(s.withdrawn, order.Box)
			}
		}
	}
	s.ordered = nil
	s.now = s.now.Add(time.Millisecond)
	s.planner.SetBoxes(s.now, s.boxes)
}

// cells returns the names of all cells.
func (s *script) cells() []string {
	var names []string
	for _, pool := range s.pools {
		names = append(names, s.layout.CellNames(pool.Name)...)
	}
	return names
}

// plan calls the planner and returns its orders and the withdrawals in its directives, one per line,
// sorted.
func (s *script) plan() string {
	var lines []string
	orders := s.planner.Plan(s.now)
	s.ordered = append(s.ordered, orders...)
	for _, order := range orders {
		lines = append(lines, fmt.Sprintf("move %s to %s", order.Box, shard.CellName(order.Pool, order.Shard)))
	}
	for _, cell := range s.cells() {
		directives := s.planner.Directives(cell)
		for _, id := range directives.Withdraw {
			lines = append(lines, "empty "+strings.TrimPrefix(id, "at-"))
		}
		for _, id := range directives.WithdrawUrgently {
			lines = append(lines, "empty "+strings.TrimPrefix(id, "at-")+" in a hurry")
		}
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}
