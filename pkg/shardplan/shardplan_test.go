package shardplan_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"

	"damsonwinch/pkg/shardplan"
)

// TestDecide compares decisions with those in the data file. It guards against a fleet without a layout because the
// list of its members stays incomplete, and against a layout for too few owners.
func TestDecide(t *testing.T) {
	datadriven.RunTest(t, "testdata/decide.txt", func(t *testing.T, d *datadriven.TestData) string {
		var pools, afterMs int
		in := shardplan.Input{Complete: d.HasArg("complete")}
		d.ScanArgs(t, "boxes", &in.Boxes)
		d.ScanArgs(t, "pools", &pools)
		d.ScanArgs(t, "missing", &in.MaxMissing)
		d.ScanArgs(t, "after_ms", &afterMs)
		in.SinceFirstRead = time.Duration(afterMs) * time.Millisecond
		for number := range pools {
			in.Pools = append(in.Pools, strconv.Itoa(number))
		}
		for _, group := range strings.Fields(d.Input) {
			var count, weight int
			_, err := fmt.Sscanf(group, "%dx%d", &count, &weight)
			assert.NilError(t, err)
			for range count {
				in.Weights = append(in.Weights, weight)
			}
		}
		decision := shardplan.Decide(in)
		if !decision.Layout.Decided() {
			return "waits: " + decision.WaitsFor + "\n"
		}
		return fmt.Sprintf("shards %d assumed %d incomplete %t\n", decision.Layout.Shards, decision.Assumed, decision.Incomplete)
	})
}
