package boxplan_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch"
)

// TestEndpointsDoNotFlapWhileListsAreSlowAndOrdersRefused guards against endpoints that are emptied and given back every
// one or two seconds: each list takes 1.2 s, the platform refuses all orders for a while, and each list counts as the end of
// the outage that the next refusal begins.
func TestEndpointsDoNotFlapWhileListsAreSlowAndOrdersRefused(t *testing.T) {
	const (
		step     = 100 * time.Millisecond
		listTime = 1200 * time.Millisecond
		most     = 3 // Withdrawals of an endpoint in 20 s.
	)
	f := newOutageFleet()
	requestedAt := f.now
	withdrawals := map[string]int{}
	for range 200 {
		if f.now.Sub(requestedAt) >= listTime {
			f.planner.SetBoxes(requestedAt, f.boxes)
			requestedAt = f.now
		}
		f.handleAll(f.plan(step), damsonwinch.ErrRefused)
		directives := f.planner.Directives(f.short)
		for _, life := range directives.Restore {
			f.withdrawn[life] = false
		}
		for _, life := range slices.Concat(directives.Withdraw, directives.WithdrawUrgently) {
			if !f.withdrawn[life] {
				f.withdrawn[life] = true
				withdrawals[life]++
			}
		}
	}
	for life, count := range withdrawals {
		assert.Assert(t, count <= most, "%s is withdrawn %d times in 20 s", life, count)
	}
}
