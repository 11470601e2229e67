package crash_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"damsonwinch/pkg/crash"
)

// TestBlame leads a task through ends of endpoints under it.
func TestBlame(t *testing.T) {
	rules := crash.DefaultRules()
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var known crash.History
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			verdict := ""
			switch d.Cmd {
			case "fresh":
				known = crash.History{}
			case "end":
				end := crash.Loss{Certain: d.HasArg("sure"), Explained: d.HasArg("explained"), Probation: d.HasArg("trial")}
				var ms int
				d.ScanArgs(t, "age", &ms)
				end.MaxAge = time.Duration(ms) * time.Millisecond
				end.MinAge = end.MaxAge
				if d.HasArg("least") {
					d.ScanArgs(t, "least", &ms)
					end.MinAge = time.Duration(ms) * time.Millisecond
				}
				d.MaybeScanArgs(t, "rate", &end.LossRate)
				if rules.Blames(known, end) {
					verdict = "; it is to blame"
				}
				known = rules.Add(known, end)
			case "start":
				if rules.CountsStarts(known) {
					known = known.WithExtraStarts(1)
				}
			default:
				d.Fatalf(t, "unknown command")
			}
			return fmt.Sprintf("%d ended, %d surely under it, %d alike at %v to %v, weight %d; %s%s\n",
				known.Losses, known.CertainLosses, known.SimilarLosses, known.MinAge, known.MaxAge, known.Weight, next(rules, known), verdict)
		})
	})
}

// next says how a task is started next.
func next(rules crash.Rules, known crash.History) string {
	switch {
	case rules.IsCrasher(known), rules.StartsExhausted(known):
		return "never again"
	case rules.IsSuspect(known):
		return fmt.Sprintf("on trial for %v", rules.ProbationTime(known))
	}
	return "as any other"
}
