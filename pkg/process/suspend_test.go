package process

import (
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch/platform/standin"
)

// TestASuspendedNodeGivesItsCellsUp, since another may own them by then, and nothing that it
// was handed is lost.
func TestASuspendedNodeGivesItsCellsUp(t *testing.T) {
	s := newStory(t, 2)
	s.submit(id(0), standin.Work{Ms: 800}, standin.Phase{Count: 2, MilliCPU: 500, EstimatedMs: 800}, standin.Phase{Count: 1, DependsOn: []int{0}})
	s.until("it runs", func() bool { return len(s.platform.CountRuns(id(0))) == 2 })
	owner := s.ownerOf("runs")
	before := s.nodes[owner].Metrics.Count("suspensions")
	assert.Equal(t, before, 0)
	s.slept[owner].Store(int64(5 * time.Second))
	s.until("it notices", func() bool { return s.nodes[owner].Metrics.Count("suspensions") == 1 })
	s.until("the cell has an owner again", func() bool { return s.ownerOf("runs") >= 0 && s.state(id(0)) != "" })
	s.submit(id(1), standin.Work{Ms: 20}, standin.Phase{Count: 1})
	s.until("both are completed", func() bool { return s.state(id(0)) == "completed" && s.state(id(1)) == "completed" })
	assert.Equal(t, s.nodes[owner].Metrics.Count("suspended_ms"), 5000)
}

// sleeping returns what tells a node for how long its machine has been suspended.
func (s *story) sleeping(number int) func() time.Duration {
	for len(s.slept) <= number {
		s.slept = append(s.slept, &atomic.Int64{})
	}
	slept := s.slept[number]
	return func() time.Duration { return time.Duration(slept.Load()) }
}
