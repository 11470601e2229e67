package responsiveness_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"damsonwinch/pkg/responsiveness"
)

// TestScripts runs the scripts in testdata. Each reports calls to an endpoint and to the rest of its cell, and shows
// what is decided.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var times responsiveness.AnswerTimes
		var endpoint, cell responsiveness.Calls
		now := time.UnixMilli(1_700_000_000_000)
		milliseconds := func(d *datadriven.TestData, key string) time.Duration {
			var value int
			d.MaybeScanArgs(t, key, &value)
			return time.Duration(value) * time.Millisecond
		}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			count := 1
			d.MaybeScanArgs(t, "count", &count)
			result := ""
			for range count {
				now = now.Add(milliseconds(d, "each"))
				took := milliseconds(d, "took")
				switch d.Cmd {
				case "answer":
					times.Observe(took)
					endpoint.ObserveAnswer(now, took)
					cell.ObserveAnswer(now, took)
				case "unanswered":
					endpoint.ObserveUnanswered(now)
					cell.ObserveUnanswered(now)
				case "other-answer":
					cell.ObserveAnswer(now, took)
				case "other-unanswered":
					cell.ObserveUnanswered(now)
				case "pass":
				case "bound":
					bound, known := times.Bound()
					result = fmt.Sprintf("known %v, of the cell %d ms, of the endpoint %d ms\n", known, bound.Milliseconds(), endpoint.Bound(now, bound).Milliseconds())
				case "judge":
					result = fmt.Sprintf("suspect %v, recovered %v, lost recently %v, short polls %v\n",
						endpoint.Suspect(now, &cell), endpoint.Recovered(), endpoint.LostRecently(now), cell.LeavesUnanswered(now))
				case "resend":
					for sent := 1; sent <= 5; sent++ {
						result += fmt.Sprintf("%d ms\n", responsiveness.ResendDelay(milliseconds(d, "bound"), sent).Milliseconds())
					}
				case "exclude":
					for endpoints := range 8 {
						excluded := 0
						for responsiveness.MayExclude(excluded, endpoints) {
							excluded++
						}
						result += fmt.Sprintf("%d of %d\n", excluded, endpoints)
					}
				default:
					t.Fatalf("unknown command %s", d.Cmd)
				}
			}
			return result
		})
	})
}
