package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestDecisions runs the scenarios in testdata. They guard against refusals of jobs that may be in time,
// and against clients that come back all at once or lose their place.
func TestDecisions(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		now, refusals := time.UnixMilli(0), &Refusals{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			number := func(name string) (value int) {
				if d.HasArg(name) {
					d.ScanArgs(t, name, &value)
				}
				return value
			}
			id := "job"
			if d.HasArg("id") {
				d.ScanArgs(t, "id", &id)
			}
			switch d.Cmd {
			case "decide":
				job := Job{ID: id, WithinMs: number("within"), PathMs: number("path"), MinPathMs: number("min-path"), CPU: number("cpu"), OverShare: d.HasArg("over")}
				verdict := Decide(job, Queue{
					AheadCPU: number("ahead"), FreeCPU: number("free"), FreedCPUPerMs: float64(number("freed")), BoxLeadMs: number("lead"),
					Refused: number("refused"), Entitled: number("entitled"),
				})
				return fmt.Sprintf("accept %v, wait %d ms, retry after %d ms: %s", verdict.Accept, verdict.WaitMs, verdict.RetryAfterMs, verdict.Reason)
			case "refuse":
				refusals.Add(now, Job{ID: id, Customer: "bakery"}, refusals.Rank(id, float64(number("rank"))))
			case "accept":
				refusals.Remove(id)
			case "rank":
				return fmt.Sprint(refusals.Rank(id, float64(number("rank"))))
			case "count":
				return fmt.Sprint(refusals.Count(now, "bakery"))
			case "wait":
				now = now.Add(time.Duration(number("ms")) * time.Millisecond)
			}
			return ""
		})
	})
}

// TestRefusalsAreBounded guards against a memory that grows with the number of refused jobs.
func TestRefusalsAreBounded(t *testing.T) {
	for _, count := range []int{maxRefusals, 2 * maxRefusals, 4 * maxRefusals} {
		refusals := &Refusals{}
		for number := range count {
			refusals.Add(time.UnixMilli(0), Job{ID: fmt.Sprint(number)}, 0)
		}
		if len(refusals.byID) != maxRefusals || len(refusals.order) != maxRefusals {
			t.Errorf("%d of %d jobs remembered", len(refusals.byID), count)
		}
	}
}
