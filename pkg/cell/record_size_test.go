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

// TestTasksWaitForRoomInTheRecord guards against a record that the store refuses because more tasks run at once than it
// has room for.
func TestTasksWaitForRoomInTheRecord(t *testing.T) {
	wide := wire.Phase{Count: 19_000, Cpu: 100, MemoryMb: 64, EstimateMs: 100}
	gang := wire.Phase{Count: 400, Cpu: 100, MemoryMb: 64, EstimateMs: 100, Gang: true}
	many := simSpec(wire.Phase{Count: 2, Cpu: 100, MemoryMb: 64, EstimateMs: 100}, wire.Phase{Count: 2, Cpu: 100, MemoryMb: 64, EstimateMs: 100, After: []int{0}})
	many.Rounds = 2000
	for name, spec := range map[string]wire.JobSpec{"wide": simSpec(wide), "gangs": simSpec(gang, gang, gang), "gang beside others": simSpec(wide, gang), "all rounds due": many} {
		t.Run(name, func(t *testing.T) {
			trial := newRecordTrial(t)
			trial.submit("job", 1, spec)
			most := 0
			for steps := 0; trial.state("job") != wire.JobStateCompleted; steps++ {
				assert.Assert(t, steps < 1000, "the job is %s after %d started tasks", trial.state("job"), len(trial.starts))
				trial.step()
				most = max(most, trial.running())
				trial.endRuns(damsonwinch.EndedDone, "")
			}
			assert.Equal(t, len(trial.starts), taskCount(spec))
			assert.Assert(t, most <= 819, "%d tasks run at once", most)
			t.Logf("at most %d tasks at once; the largest record has %d bytes", most, trial.largest)
		})
	}
}

// TestJobWithATooLongRecordFailsAlone guards against a store that refuses all records of a cell because one of them is
// too long: here that of a job whose checkpoints are unusually long.
func TestJobWithATooLongRecordFailsAlone(t *testing.T) {
	trial := newRecordTrial(t)
	trial.submit("long", 1, simSpec(wire.Phase{Count: 32, Cpu: 100, MemoryMb: 64, EstimateMs: 100, Checkpoints: true}))
	trial.step()
	trial.submit("other", 2, simSpec(wire.Phase{Count: 1, Cpu: 100, MemoryMb: 64, EstimateMs: 100}, wire.Phase{Count: 1, Cpu: 100, MemoryMb: 64, EstimateMs: 100, After: []int{0}}))
	trial.step()
	trial.endRuns(damsonwinch.EndedStopped, string(make([]byte, 10_000)))
	for range 5 {
		trial.step()
		trial.endRuns(damsonwinch.EndedDone, "")
	}
	assert.Equal(t, trial.state("long"), wire.JobStateFailed)
	assert.Equal(t, trial.state("other"), wire.JobStateCompleted)
	found := false
	for _, line := range trial.logged {
		found = found || line.Job == "long" && line.Message == "job failed" && line.Reason != ""
	}
	assert.Assert(t, found, "no log line says that the job has failed")
}

// TestJobsThatNeedTooLongRecordsAreRefused guards against jobs that are accepted although the store could never take
// their records.
func TestJobsThatNeedTooLongRecordsAreRefused(t *testing.T) {
	labelled := simSpec()
	for range 200 {
		labelled.Phases = append(labelled.Phases, wire.Phase{Count: 1, Cpu: 100, Label: string(make([]byte, 2000))})
	}
	repeated := simSpec(wire.Phase{Count: 10, Cpu: 100, MemoryMb: 64, Lasting: true})
	repeated.Rounds, repeated.EveryMs = 100, 1000
	for name, test := range map[string]struct {
		spec wire.JobSpec
		want wire.JobOutcome
	}{
		"specification":         {labelled, wire.JobOutcomeInvalid},
		"gang":                  {simSpec(wire.Phase{Count: 1000, Cpu: 100, MemoryMb: 64, Gang: true}), wire.JobOutcomeInvalid},
		"long-running":          {simSpec(wire.Phase{Count: 1000, Cpu: 100, MemoryMb: 64, Lasting: true}), wire.JobOutcomeInvalid},
		"repeated long-running": {repeated, wire.JobOutcomeInvalid},
		"smaller gang":          {simSpec(wire.Phase{Count: 400, Cpu: 100, MemoryMb: 64, Gang: true}, wire.Phase{Count: 5000, Cpu: 100}), wire.JobOutcomeAccepted},
	} {
		t.Run(name, func(t *testing.T) {
			trial := newRecordTrial(t)
			trial.submit("job", 1, test.spec)
			trial.step()
			assert.Equal(t, trial.replies[1].Outcome, test.want, trial.replies[1].Reason)
		})
	}
}
