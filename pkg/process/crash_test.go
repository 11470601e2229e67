package process

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"damsonwinch/platform/standin"
)

// mostCrashingStarts is how often a task may be started that crashes each endpoint: three
// times until that many have crashed, and fewer than three times more.
const mostCrashingStarts = 5

// TestACrashingTaskIsGivenUp on whole nodes, as TestTasksThatCrashTheirEndpointsAreGivenUp
// of pkg/cell tells it: its job ends as failed, and those beside it are done.
func TestACrashingTaskIsGivenUp(t *testing.T) {
	newStory(t, 2).crashingTask()
}

// crashingTask hands a job in with a task that crashes each endpoint that starts it, and sees it
// given up.
func (s *story) crashingTask() {
	t := s.t
	t.Helper()
	for number := range 6 {
		s.submit(id(number), standin.Work{Ms: 300}, standin.Phase{Count: 2, MilliCPU: 1000, EstimatedMs: 300})
	}
	s.submit(id(10), standin.Work{Ms: 500, CrashMs: 10}, standin.Phase{Count: 2, MilliCPU: 1000, EstimatedMs: 500})
	s.until("it is given up", func() bool {
		assert.Assert(t, s.platform.CountStarts(id(10))[id(10)+".0.0.0"] <= mostCrashingStarts, "its task is started again and again")
		return s.state(id(10)) == "failed"
	})
	for number := range 6 {
		s.until("a job beside it is completed", func() bool { return s.state(id(number)) == "completed" })
	}
	clockwork.NewRealClock().Sleep(time.Second)
	assert.Assert(t, s.platform.CountStarts(id(10))[id(10)+".0.0.0"] <= mostCrashingStarts)
}
