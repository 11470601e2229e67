package job_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"damsonwinch/pkg/job"
	"damsonwinch/pkg/wire"
)

// TestEstimateFollowsDependencies guards against a deadline that counts phases one after the other although
// they run side by side, and against work of long-running and filler tasks, which has no end.
func TestEstimateFollowsDependencies(t *testing.T) {
	phases := []wire.Phase{
		{Count: 1, Cpu: 1000, EstimateMs: 10},
		{Count: 2, Cpu: 500, EstimateMs: 30, After: []int{0}},
		{Count: 1, Cpu: 1000, EstimateMs: 20, After: []int{0}},
		{Count: 1, Cpu: 1000, EstimateMs: 5, After: []int{1, 2}},
		{Count: 1, Cpu: 1000, EstimateMs: 1, Lasting: true},
		{Count: 1, Cpu: 1000, EstimateMs: 1, Fills: true},
	}
	estimate := job.EstimateOf(phases, func(estimateMs int) int { return estimateMs * 2 })
	assert.DeepEqual(t, estimate, job.Estimate{
		TaskMs: []int{20, 60, 40, 10, 2, 2}, CriticalPathMs: []int{90, 70, 50, 10, 2, 2}, Work: 1000*20 + 2*500*60 + 1000*40 + 1000*10,
	})
}
