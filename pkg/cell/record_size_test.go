package cell_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// repeatedSpec returns the specification of a job of that many rounds of 32 tasks, one each 120 ms from now on.
func repeatedSpec(r *recordTrial, rounds int) wire.JobSpec {
	spec := simSpec(wire.Phase{Count: 32, Cpu: 100, MemoryMb: 64, EstimateMs: 100})
	spec.Rounds, spec.EveryMs, spec.FirstMs = rounds, 120, int(r.now.UnixMilli())
	return spec
}

// TestRecordOfARepeatedJobStaysSmall guards against a record that grows with each task that was ever started: the store
// refused the record of 640 rounds of 32 tasks after some 14,500 tasks. Each 100 rounds a new owner takes over, which
// must not start a task again that is done.
func TestRecordOfARepeatedJobStaysSmall(t *testing.T) {
	for _, rounds := range []int{640, 6400} {
		t.Run(fmt.Sprint(rounds), func(t *testing.T) {
			trial := newRecordTrial(t)
			trial.submit("repeated", 1, repeatedSpec(trial, rounds))
			owners := 1
			for steps := 0; trial.state("repeated") != wire.JobStateCompleted; steps++ {
				assert.Assert(t, steps < 5*rounds, "the job is %s after %d steps and %d started tasks", trial.state("repeated"), steps, len(trial.starts))
				trial.step()
				if len(trial.starts) >= owners*3200 {
					// The results of the last step are recorded; the tasks that have just been started go on.
					owners++
					trial.takeOver(owners)
					trial.step()
				}
				trial.endRuns(damsonwinch.EndedDone, "")
			}
			assert.Equal(t, len(trial.starts), rounds*32)
			for task, starts := range trial.starts {
				assert.Equal(t, starts, 1, "starts of task %s", task)
			}
			t.Logf("%d rounds of 32 tasks: the largest of the records of %d appends has %d bytes of %d, %d owners", rounds, trial.commits, trial.largest, trialRecordBytes, owners)
		})
	}
}
