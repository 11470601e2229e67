package workload

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestArrivalRates replays jobs that arrive, slot by slot, and prints the rates that are estimated
// from them.
func TestArrivalRates(t *testing.T) {
	datadriven.Walk(t, "testdata/arrivals", func(t *testing.T, path string) {
		var counts arrivals
		now := time.UnixMilli(1_700_000_000_000)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "arrive":
				for _, count := range strings.Fields(d.Input) {
					jobs, err := strconv.Atoi(count)
					if err != nil {
						t.Fatal(err)
					}
					now = now.Add(arrivalSlot)
					for range jobs {
						counts.add(now)
					}
				}
				counts.advance(now)
				return "arrived"
			case "rates":
				ahead := 0
				d.MaybeScanArgs(t, "ahead_ms", &ahead)
				result := counts.rates(now, time.Duration(ahead)*time.Millisecond)
				return fmt.Sprintf("steady %.1f, expected %.1f a second", result.Steady, result.Expected)
			}
			t.Fatalf("unknown command %s", d.Cmd)
			return ""
		})
	})
}

// TestMeanWorkIsNotDominatedByOneJob checks the mean work of a queue with one very large job among
// few.
func TestMeanWorkIsNotDominatedByOneJob(t *testing.T) {
	var stats Queue
	now := time.UnixMilli(1_700_000_000_000)
	for _, work := range []int{80_000, 110_000, 100_000, 3_000_000, 90_000} {
		stats.AddJob(now, work, 1000, 1000)
	}
	if mean := stats.MeanWork(); mean < 100_000 || mean > 300_000 {
		t.Errorf("mean work %.0f, want that of the usual jobs, 100000 to 300000", mean)
	}
}
