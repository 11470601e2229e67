package process

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch/platform/standin"
)

// newClusterReusingIDs is newCluster with endpoints that have the same IDs after a restart.
func newClusterReusingIDs(t *testing.T, nodes int) *testCluster {
	options := platformOptions()
	options.ReuseEndpointIDs = true
	return newClusterWithOptions(t, nodes, options)
}

// TestTasksRestartWhenEndpointRestartsUnderItsID crashes two endpoints that restart under the same
// IDs. Their tasks are started again, even if an endpoint is back before any node has noticed the
// end of its earlier life.
func TestTasksRestartWhenEndpointRestartsUnderItsID(t *testing.T) {
	c := newClusterReusingIDs(t, 2)
	c.submit(jobID(0), standin.Work{}, standin.Phase{Count: 2, MilliCPU: 500, LongRunning: true, MaxMissing: 1, MaxPerBox: 1})
	for number := range 4 {
		c.submit(jobID(1+number), standin.Work{Ms: 2500}, standin.Phase{Count: 3, MilliCPU: 1000, EstimatedMs: 2500})
	}
	c.waitUntil("all tasks run", func() bool {
		running := 0
		for number := range 5 {
			running += len(c.platform.CountRuns(jobID(number)))
		}
		return running == 14
	})
	for i, box := range c.platform.Boxes()[:2] {
		c.platform.CrashEndpoint(box, []time.Duration{20 * time.Millisecond, 800 * time.Millisecond}[i])
	}
	for number := range 4 {
		c.waitUntil("the job is completed", func() bool { return c.jobState(jobID(1+number)) == "completed" })
	}
	c.waitUntil("the long-running tasks run again", func() bool { return len(c.platform.CountRuns(jobID(0))) == 2 })
}

// TestResultsOfLaterLifeAreAccepted checks that the results of a restarted endpoint are not mistaken
// for those of its earlier life, which had the same ID and the same sequence numbers. No task runs
// twice.
func TestResultsOfLaterLifeAreAccepted(t *testing.T) {
	c := newClusterReusingIDs(t, 2)
	runShortJob := func(job string) {
		c.submit(job, standin.Work{Ms: 50}, standin.Phase{Count: 12, MilliCPU: 1000, EstimatedMs: 50})
		c.waitUntil("the job is completed", func() bool { return c.jobState(job) == "completed" })
	}
	runShortJob(jobID(0))
	for _, box := range c.platform.Boxes()[:2] {
		c.platform.CrashEndpoint(box, 20*time.Millisecond)
	}
	runShortJob(jobID(1))
	for task, starts := range c.platform.CountStarts(jobID(1)) {
		assert.Equal(t, starts, 1, "task %s", task)
	}
}

// TestTaskThatCrashesEndpointsWithReusedIDsIsGivenUp checks that each crash counts against the task,
// even if it hits an endpoint with the same ID.
func TestTaskThatCrashesEndpointsWithReusedIDsIsGivenUp(t *testing.T) {
	newClusterReusingIDs(t, 2).checkCrashingTaskIsGivenUp()
}

// TestWaveCompletesWithReusedEndpointIDs checks that a box counts as maintained although its endpoint
// has the same ID before and after the maintenance.
func TestWaveCompletesWithReusedEndpointIDs(t *testing.T) {
	c := newClusterReusingIDs(t, 2)
	c.submit(jobID(0), standin.Work{}, standin.Phase{Count: 1, MilliCPU: 500, LongRunning: true, MaxMissing: 1})
	assert.NilError(t, c.platform.PutWave(1, c.platform.Boxes(), 10*time.Second, 2))
	c.waitUntil("the wave is completed", func() bool { return c.platform.StatusRecord("wave/1") == `{"state":"completed"}` })
	c.waitUntil("the long-running task runs", func() bool { return len(c.platform.CountRuns(jobID(0))) == 1 })
	c.submit(jobID(1), standin.Work{Ms: 100}, standin.Phase{Count: 4, MilliCPU: 1000, EstimatedMs: 100})
	c.waitUntil("a job is completed after the wave", func() bool { return c.jobState(jobID(1)) == "completed" })
}
