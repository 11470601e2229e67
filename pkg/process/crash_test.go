package process

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"damsonwinch/platform/standin"
)

// maxCrashingStarts is how often a task may be started if it crashes every endpoint on which it
// starts: three times until three endpoints have crashed, and then at most twice more.
const maxCrashingStarts = 5

// TestTaskThatCrashesItsEndpointsIsGivenUp checks on whole nodes what
// TestTasksThatCrashTheirEndpointsAreGivenUp of pkg/cell checks in a simulation: the job of the task
// fails, and all other jobs are completed.
func TestTaskThatCrashesItsEndpointsIsGivenUp(t *testing.T) {
	newCluster(t, 2).checkCrashingTaskIsGivenUp()
}

// checkCrashingTaskIsGivenUp submits six jobs, and then one whose first task crashes every endpoint
// that starts it. The last job has to fail, and the six others have to be completed.
func (c *testCluster) checkCrashingTaskIsGivenUp() {
	t := c.t
	t.Helper()
	for number := range 6 {
		c.submit(jobID(number), standin.Work{Ms: 300}, standin.Phase{Count: 2, MilliCPU: 1000, EstimatedMs: 300})
	}
	c.submit(jobID(10), standin.Work{Ms: 500, CrashMs: 10}, standin.Phase{Count: 2, MilliCPU: 1000, EstimatedMs: 500})
	c.waitUntil("the crashing job has failed", func() bool {
		assert.Assert(t, c.platform.CountStarts(jobID(10))[jobID(10)+".0.0.0"] <= maxCrashingStarts, "the crashing task is started too often")
		return c.jobState(jobID(10)) == "failed"
	})
	for number := range 6 {
		c.waitUntil("the other job is completed", func() bool { return c.jobState(jobID(number)) == "completed" })
	}
	clockwork.NewRealClock().Sleep(time.Second)
	assert.Assert(t, c.platform.CountStarts(jobID(10))[jobID(10)+".0.0.0"] <= maxCrashingStarts)
}
