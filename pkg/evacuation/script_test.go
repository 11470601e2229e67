package evacuation_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"damsonwinch/pkg/evacuation"
	"damsonwinch/pkg/wire"
)

// script is a tracker with the inputs of a data file.
type script struct {
	tracker *evacuation.Tracker
	boxes   map[string]map[string]int
	now     time.Time
}

// TestScripts runs the data files of testdata, each of which guards against a zone that is reported as clear too
// early or never. Commands:
//
//	tracker bound=MS cells=(POOL/CELL, ...): a new tracker
//	evacuate zones=(Z, ...): these zones are evacuated since now
//	boxes zone=Z cell=C count=N: how many boxes are powered on
//	report cell=C zone=Z age=MS endpoints=N unknown=N short=N checkpoint=N lasting=N stray=N ms=MS: the report of
//	  a cell's owner; without a zone it knows of no evacuation
//	explain at=MS, changes at=MS: prints all states, or those that are to be logged
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{now: time.Unix(1_000_000, 0)}
		datadriven.RunTest(t, path, s.run)
	})
}

// run executes a command and returns its output.
func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	if d.HasArg("at") {
		s.now = time.Unix(1_000_000, 0).Add(time.Duration(number(t, d, "at")) * time.Millisecond)
	}
	switch d.Cmd {
	case "tracker":
		s.tracker, s.boxes = evacuation.New(time.Duration(number(t, d, "bound"))*time.Millisecond), map[string]map[string]int{}
		var cells []evacuation.Cell
		for _, name := range texts(d, "cells") {
			pool, cell, _ := strings.Cut(name, "/")
			cells = append(cells, evacuation.Cell{Name: cell, Pool: pool})
		}
		s.tracker.SetCells(cells)
	case "evacuate":
		since := map[string]time.Time{}
		for _, zone := range texts(d, "zones") {
			since[zone] = s.now
		}
		s.tracker.SetZones(since)
	case "boxes":
		zone := texts(d, "zone")[0]
		if s.boxes[zone] == nil {
			s.boxes[zone] = map[string]int{}
		}
		s.boxes[zone][texts(d, "cell")[0]] = number(t, d, "count")
		s.tracker.SetBoxes(s.boxes)
	case "report":
		reply := wire.SyncReply{Known: true, EvacuationsAgeMs: number(t, d, "age")}
		for _, zone := range texts(d, "zone") {
			reply.EvacuatedZones = append(reply.EvacuatedZones, wire.ZoneReport{
				Zone: zone, Endpoints: number(t, d, "endpoints"), UnknownEndpoints: number(t, d, "unknown"), ShortRuns: number(t, d, "short"),
				CheckpointRuns: number(t, d, "checkpoint"), LastingRuns: number(t, d, "lasting"), StrayRuns: number(t, d, "stray"), EmptyMs: number(t, d, "ms"),
			})
		}
		s.tracker.SetReport(s.now, texts(d, "cell")[0], reply)
	case "explain", "changes":
		s.tracker.Update(s.now)
		statuses := s.tracker.Zones()
		if d.Cmd == "changes" {
			statuses = s.tracker.Changes(s.now)
		}
		var lines []string
		for _, status := range statuses {
			lines = append(lines, status.Explain()...)
		}
		return strings.Join(lines, "\n")
	default:
		t.Fatalf("%s: unknown command %s", d.Pos, d.Cmd)
	}
	return ""
}

// texts returns the values of an argument of a command.
func texts(d *datadriven.TestData, key string) []string {
	for _, arg := range d.CmdArgs {
		if arg.Key == key {
			return arg.Vals
		}
	}
	return nil
}

// number returns an argument of a command, 0 if it is missing.
func number(t *testing.T, d *datadriven.TestData, key string) int {
	value := 0
	if d.HasArg(key) {
		d.ScanArgs(t, key, &value)
	}
	return value
}

// TestStatusDoesNotGrowWithUnconfirmedCells guards against log lines that grow with the fleet: while no owner of
// n, 2n and 4n cells has confirmed an evacuation, the texts have the same number of names.
func TestStatusDoesNotGrowWithUnconfirmedCells(t *testing.T) {
	lengths := map[int]bool{}
	for _, count := range []int{200, 400, 800} {
		tracker := evacuation.New(0)
		var cells []evacuation.Cell
		for number := range count {
			cells = append(cells, evacuation.Cell{Name: fmt.Sprintf("cell-%03d", number), Pool: "pool"})
		}
		now := time.Unix(1_000_000, 0)
		tracker.SetCells(cells)
		tracker.SetZones(map[string]time.Time{"north": now})
		tracker.SetBoxes(map[string]map[string]int{"north": {"cell-000": 1}})
		tracker.Update(now)
		lengths[len(strings.Join(tracker.Zones()[0].Explain(), "\n"))] = true
	}
	if len(lengths) != 1 {
		t.Fatalf("the text grows with the number of cells: %v bytes", lengths)
	}
}
