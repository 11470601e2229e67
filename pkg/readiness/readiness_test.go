package readiness_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"damsonwinch/pkg/readiness"
)

// TestReports compares the times at which a wait is reported with those in the data file. It guards against a node that
// waits without a word, and against one that logs a line for each check.
func TestReports(t *testing.T) {
	datadriven.RunTest(t, "testdata/reports.txt", func(_ *testing.T, d *datadriven.TestData) string {
		var tracker readiness.Tracker
		var out strings.Builder
		for line := range strings.Lines(d.Input) {
			fields := strings.Fields(line)
			at, err := time.ParseDuration(fields[0])
			if err != nil {
				return err.Error()
			}
			var missing []readiness.Missing
			for _, condition := range fields[1:] {
				missing = append(missing, readiness.Missing{Condition: readiness.Condition(condition), Reason: "not known"})
			}
			if tracker.Update(missing, time.Unix(1_000_000, 0).Add(at)) {
				fmt.Fprintf(&out, "%v [%s]\n", at, tracker.Reason())
			}
		}
		return out.String()
	})
}
