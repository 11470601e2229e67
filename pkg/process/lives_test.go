package process

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch/platform/standin"
)

// newLivesStory is a story in which endpoints start again under the IDs that they had.
func newLivesStory(t *testing.T, nodes int) *story {
	options := storyOptions()
	options.ReuseEndpointIDs = true
	return newStoryOn(t, nodes, options)
}

// TestWorkOutlivesEndpointsThatKeepTheirIDs on whole nodes: what ran on the earlier life is started
// anew, also where the later one is there before anybody has missed the earlier one.
func TestWorkOutlivesEndpointsThatKeepTheirIDs(t *testing.T) {
	s := newLivesStory(t, 2)
	s.submit(id(0), standin.Work{}, standin.Phase{Count: 2, MilliCPU: 500, LongRunning: true, MayMiss: 1, MaxPerBox: 1})
	for number := range 4 {
		s.submit(id(1+number), standin.Work{Ms: 2500}, standin.Phase{Count: 3, MilliCPU: 1000, EstimatedMs: 2500})
	}
	s.until("all of it runs", func() bool {
		running := 0
		for number := range 5 {
			running += len(s.platform.CountRuns(id(number)))
		}
		return running == 14
	})
	for at, box := range s.platform.Boxes()[:2] {
		s.platform.CrashEndpoint(box, []time.Duration{20 * time.Millisecond, 800 * time.Millisecond}[at])
	}
	for number := range 4 {
		s.until("a job is completed", func() bool { return s.state(id(1+number)) == "completed" })
	}
	s.until("the lasting tasks run again", func() bool { return len(s.platform.CountRuns(id(0))) == 2 })
}

// TestEndsOfALaterLifeAreTaken though they have the numbers of ends that the earlier one had: what
// it has done isn't done again.
func TestEndsOfALaterLifeAreTaken(t *testing.T) {
	s := newLivesStory(t, 2)
	quick := func(job string) {
		s.submit(job, standin.Work{Ms: 50}, standin.Phase{Count: 12, MilliCPU: 1000, EstimatedMs: 50})
		s.until("a job is completed", func() bool { return s.state(job) == "completed" })
	}
	quick(id(0))
	for _, box := range s.platform.Boxes()[:2] {
		s.platform.CrashEndpoint(box, 20*time.Millisecond)
	}
	quick(id(1))
	for task, starts := range s.platform.CountStarts(id(1)) {
		assert.Equal(t, starts, 1, "task %s", task)
	}
}

// TestACrashingTaskIsGivenUpWhereEndpointsKeepTheirIDs: each end counts against it, though the
// endpoint is the same by its ID.
func TestACrashingTaskIsGivenUpWhereEndpointsKeepTheirIDs(t *testing.T) {
	newLivesStory(t, 2).crashingTask()
}

// TestAWaveIsDoneWhereEndpointsKeepTheirIDs: a box is seen to have been maintained though what runs
// there afterwards has the same ID.
func TestAWaveIsDoneWhereEndpointsKeepTheirIDs(t *testing.T) {
	s := newLivesStory(t, 2)
	s.submit(id(0), standin.Work{}, standin.Phase{Count: 1, MilliCPU: 500, LongRunning: true, MayMiss: 1})
	assert.NilError(t, s.platform.PutWave(1, s.platform.Boxes(), 10*time.Second, 2))
	s.until("the wave is completed", func() bool { return s.platform.StatusRecord("wave/1") == `{"state":"completed"}` })
	s.until("the lasting task runs", func() bool { return len(s.platform.CountRuns(id(0))) == 1 })
	s.submit(id(1), standin.Work{Ms: 100}, standin.Phase{Count: 4, MilliCPU: 1000, EstimatedMs: 100})
	s.until("boxes are used afterwards", func() bool { return s.state(id(1)) == "completed" })
}
