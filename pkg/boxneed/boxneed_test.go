package boxneed_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/boxneed"
)

func cores(count int) damsonwinch.Resources {
	return damsonwinch.Resources{MilliCPU: 1000 * count}
}

// TestTasksNeedTheFirstBoxesThatHoldThem guards against boxes that are kept although tasks fit on fewer, and against a
// box that a task needs not being kept.
func TestTasksNeedTheFirstBoxesThatHoldThem(t *testing.T) {
	for name, test := range map[string]struct {
		phase  boxneed.Phase
		barred bool
		want   []bool
	}{
		"all fit on one":      {phase: boxneed.Phase{Need: cores(1), Waiting: 3}, want: []bool{true, false, false}},
		"one is not enough":   {phase: boxneed.Phase{Need: cores(1), Waiting: 5}, want: []bool{true, true, false}},
		"limit per box":       {phase: boxneed.Phase{Need: cores(1), Waiting: 2, MaxPerBox: 1}, want: []bool{true, true, false}},
		"may not run there":   {phase: boxneed.Phase{Need: cores(1), Waiting: 1}, barred: true, want: []bool{false, true, false}},
		"more than all hold":  {phase: boxneed.Phase{Need: cores(4), Waiting: 9}, want: []bool{true, true, true}},
		"no box holds a task": {phase: boxneed.Phase{Need: cores(5), Waiting: 1}, want: []bool{false, false, false}},
	} {
		for kind, place := range map[string]func(phases []*boxneed.Phase, boxes []*boxneed.Box){
			"Take":    boxneed.Take,
			"Missing": func(phases []*boxneed.Phase, boxes []*boxneed.Box) { boxneed.Missing(phases, boxes, nil) },
		} {
			var boxes []*boxneed.Box
			for range test.want {
				boxes = append(boxes, &boxneed.Box{Free: cores(4), Counts: map[*boxneed.Phase]int{}})
			}
			boxes[0].Barred = map[*boxneed.Phase]bool{&test.phase: test.barred}
			place([]*boxneed.Phase{&test.phase}, boxes)
			for at, b := range boxes {
				assert.Equal(t, b.Needed, test.want[at], "%s: %s, box %d", kind, name, at)
			}
		}
	}
}

// TestMissing guards against long-running tasks that wait forever although the boxes have enough capacity
// in total, and against orders for boxes that would not help.
func TestMissing(t *testing.T) {
	for name, test := range map[string]struct {
		phase      boxneed.Phase
		free       []int
		onFirst    int
		barred     bool
		capacities []damsonwinch.Resources
		want       int
	}{
		"scattered capacity":            {phase: boxneed.Phase{Need: cores(3), Waiting: 1}, free: []int{2, 2}, capacities: []damsonwinch.Resources{cores(4)}, want: 1},
		"one box holds the rest":        {phase: boxneed.Phase{Need: cores(2), Waiting: 5}, free: []int{2}, capacities: []damsonwinch.Resources{cores(4)}, want: 2},
		"limit per box":                 {phase: boxneed.Phase{Need: cores(1), Waiting: 2, MaxPerBox: 1}, free: []int{4}, onFirst: 1, capacities: []damsonwinch.Resources{cores(4)}, want: 2},
		"may not run there":             {phase: boxneed.Phase{Need: cores(1), Waiting: 2}, free: []int{4}, barred: true, capacities: []damsonwinch.Resources{cores(4)}, want: 1},
		"no box is large enough":        {phase: boxneed.Phase{Need: cores(9), Waiting: 2}, free: []int{4}, capacities: []damsonwinch.Resources{cores(4)}, want: 0},
		"the smallest box is too small": {phase: boxneed.Phase{Need: cores(6), Waiting: 2}, free: []int{1}, capacities: []damsonwinch.Resources{cores(4), cores(6)}, want: 2},
	} {
		var boxes []*boxneed.Box
		for _, free := range test.free {
			boxes = append(boxes, &boxneed.Box{Free: cores(free), Counts: map[*boxneed.Phase]int{}})
		}
		boxes[0].Counts[&test.phase] = test.onFirst
		boxes[0].Barred = map[*boxneed.Phase]bool{&test.phase: test.barred}
		assert.Equal(t, boxneed.Missing([]*boxneed.Phase{&test.phase}, boxes, test.capacities), test.want, name)
	}
}
