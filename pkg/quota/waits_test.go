package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// TestLargeTaskIsNotOvertakenForever guards against a large task that never fits into an allowance
// which the customer's smaller tasks always use in full.
func TestLargeTaskIsNotOvertakenForever(t *testing.T) {
	start := time.UnixMilli(1_700_000_000_000)
	allowances := NewAllowances()
	allowances.Configure(1, []damsonwinch.Customer{{Name: "a", Cap: damsonwinch.Resources{MilliCPU: 4000}}})
	amount := wire.Amount{Cpu: 4000}
	allowances.ApplyUpdate(1, wire.SyncArgs{
		Token: 1, CellToken: 1, AllowanceNumber: 1, ConfigVersion: 1, Allowances: []wire.AllowanceRow{{Customer: "a", Amount: amount, Cap: amount}},
	})
	allowances.AddRun("a", damsonwinch.Resources{MilliCPU: 2000}, false)
	w := NewWaits(allowances)
	small, large := damsonwinch.Resources{MilliCPU: 1000}, damsonwinch.Resources{MilliCPU: 3000}

	allowed, since := w.MayStart(start, "a", large, 1, time.Time{})
	assert.Assert(t, !allowed)
	allowed, _ = w.MayStart(start, "a", small, 1, time.Time{})
	assert.Assert(t, allowed, "a small task may overtake at first")

	w.BeginPlacement()
	later := start.Add(maxOvertakeTime)
	allowed, _ = w.MayStart(later, "a", large, 1, since)
	assert.Assert(t, !allowed)
	allowed, _ = w.MayStart(later, "a", small, 1, time.Time{})
	assert.Assert(t, !allowed, "a small task may overtake for maxOvertakeTime only")
	allowed, _ = w.MayStart(later, "", small, 1, time.Time{})
	assert.Assert(t, allowed, "work of no customer has no allowance")
}

// TestWaitIsReportedOnce guards against a log line at each tick while a customer waits.
func TestWaitIsReportedOnce(t *testing.T) {
	start := time.UnixMilli(1_700_000_000_000)
	w := NewWaits(NewAllowances())
	w.MayStart(start, "unknown", damsonwinch.Resources{MilliCPU: 1}, 1, time.Time{})
	begun, _ := w.Update(start)
	assert.DeepEqual(t, begun, []string{"unknown"})
	begun, ended := w.Update(start.Add(time.Second))
	assert.Equal(t, len(begun)+len(ended), 0)
	w.BeginPlacement()
	_, ended = w.Update(start.Add(2 * time.Second))
	assert.DeepEqual(t, ended, []WaitEnd{{Customer: "unknown", Waited: 2 * time.Second}})
}
