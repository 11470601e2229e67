package fairshare

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// TestShares runs the scenarios in testdata on the shares of one cell. They guard against jobs that are
// classified by something other than the customer's arrivals and weight.
func TestShares(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		now, shares := time.UnixMilli(1_700_000_000_000), &Shares{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			number := func(name string, otherwise int) int {
				if d.HasArg(name) {
					d.ScanArgs(t, name, &otherwise)
				}
				return otherwise
			}
			var name string
			if d.HasArg("customer") {
				d.ScanArgs(t, "customer", &name)
			}
			switch d.Cmd {
			case "weights":
				var customers []damsonwinch.Customer
				for _, line := range strings.Fields(d.Input) {
					name, text, _ := strings.Cut(line, "=")
					weight, err := strconv.Atoi(text)
					if err != nil {
						t.Fatal(err)
					}
					customers = append(customers, damsonwinch.Customer{Name: name, Weight: weight})
				}
				shares.Configure(customers)
			case "takeover":
				shares = &Shares{}
			case "wait":
				now = now.Add(time.Duration(number("ms", 0)) * time.Millisecond)
			case "elsewhere":
				shares.SetElsewhere(now, number("cells", 1), []wire.CustomerArrivals{{Customer: name, Count: number("count", 0)}})
			case "begun":
				shares.Begun(float64(number("rank", 0)))
			case "arrive":
				var lines []string
				for range number("count", 1) {
					now = now.Add(time.Duration(number("every", 0)) * time.Millisecond)
					decision := shares.Arrive(now, name)
					line := decision.String()
					if decision.Over {
						shares.Accept(name, decision.Rank, number("work", 1000))
						line += fmt.Sprintf(", rank %g", decision.Rank)
					}
					lines = append(lines, line)
				}
				return strings.Join(lines, "\n")
			case "withdraw":
				shares.Withdraw(name, number("work", 1000))
			case "report":
				return fmt.Sprint(shares.Report(now))
			case "changes":
				return fmt.Sprint(shares.Changes(now))
			default:
				d.Fatalf(t, "unknown command")
			}
			return ""
		})
	})
}

// TestWeightsOfZeroHaveNoEffect guards against shares in deployments that configure no weight.
func TestWeightsOfZeroHaveNoEffect(t *testing.T) {
	now, shares, totals := time.UnixMilli(0), &Shares{}, NewTotals()
	customers := []damsonwinch.Customer{{Name: "a"}, {Name: "b"}}
	shares.Configure(customers)
	totals.Configure(customers)
	for range 100 {
		if shares.Arrive(now, "a").Over {
			t.Fatal("a job is over a share that nobody has configured")
		}
	}
	totals.SetReport(now, "cell", []wire.CustomerArrivals{{Customer: "a", Count: 100}})
	if shares.InEffect() || totals.InEffect() || shares.Report(now) != nil || totals.Elsewhere(now, "other") != nil {
		t.Fatal("shares are in effect without a weight")
	}
}

// TestMessageSizeIsBounded guards against messages that grow with the number of customers: at 25, 50 and
// 100 active customers a report has at most maxRows rows, the largest, and a calm fleet needs none.
func TestMessageSizeIsBounded(t *testing.T) {
	now := time.UnixMilli(0)
	for _, count := range []int{25, 50, 100} {
		shares, totals := &Shares{}, NewTotals()
		var customers []damsonwinch.Customer
		for number := range count {
			customers = append(customers, damsonwinch.Customer{Name: fmt.Sprintf("customer-%03d", number), Weight: 1000})
		}
		shares.Configure(customers)
		totals.Configure(customers)
		for number, c := range customers {
			for range number + 1 {
				shares.Arrive(now, c.Name)
			}
		}
		rows := shares.Report(now)
		if len(rows) != min(count, maxRows) || rows[0].Count != count {
			t.Errorf("%d customers: %d rows, the first with %d jobs", count, len(rows), rows[0].Count)
		}
		totals.SetReport(now, "cell", rows)
		if got := totals.Elsewhere(now, "other"); len(got) != 0 {
			t.Errorf("%d customers: %d rows for a calm fleet", count, len(got))
		}
	}
}

// TestRoundsGrowWithCells guards against a planner whose work for each cell grows with the number of cells:
// what is allocated for the message to one cell stays the same at 8, 16 and 32 cells.
func TestRoundsGrowWithCells(t *testing.T) {
	var allocations []float64
	for _, count := range []int{8, 16, 32} {
		now, totals := time.UnixMilli(0), NewTotals()
		totals.Configure([]damsonwinch.Customer{{Name: "a", Weight: 1}, {Name: "b", Weight: 1}})
		for number := range count {
			totals.SetReport(now, fmt.Sprint(number), []wire.CustomerArrivals{{Customer: "a", Count: 5}, {Customer: "b", Count: 4}})
		}
		if got := totals.Elsewhere(now, "0"); len(got) != 2 || got[0].Count != 5*(count-1) || got[1].Count != 4*(count-1) {
			t.Errorf("%d cells: arrivals elsewhere are %v", count, got)
		}
		allocations = append(allocations, testing.AllocsPerRun(100, func() { totals.Elsewhere(now, "0") }))
	}
	if allocations[2] > allocations[0] {
		t.Errorf("%v allocations for a message at 8, 16 and 32 cells", allocations)
	}
}
