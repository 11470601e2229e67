package cell_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// saveInterval is the work after which a run saves its progress.
const saveInterval = 200 * time.Millisecond

// checkpoint returns the newest checkpoint of a run whose progress was saved after the given time of work. It names the
// task and the attempt. Before the first save it is the one with which the run was started.
func (r *simRun) checkpoint(worked time.Duration) string {
	if r.workingSince.IsZero() || worked <= 0 {
		return r.request.Checkpoint
	}
	return fmt.Sprintf("%s attempt %d after %v", r.request.Task, r.request.Attempt, worked)
}

// listedCheckpoint returns the checkpoint that the endpoint lists for a run that goes on.
func (e *simEndpoint) listedCheckpoint(r *simRun) string {
	return e.world.checkpoints.list(r.request.Task, r.checkpoint(e.world.now.Sub(r.workingSince).Truncate(saveInterval)))
}

// finalCheckpoint returns the checkpoint that the endpoint lists for a run that has just ended. A run that is stopped
// saves its progress once more.
func (e *simEndpoint) finalCheckpoint(r *simRun, ending damsonwinch.Ending) string {
	worked := e.world.now.Sub(r.workingSince)
	switch ending {
	case damsonwinch.EndedDone:
		return ""
	case damsonwinch.EndedStopped:
		return e.world.checkpoints.list(r.request.Task, r.checkpoint(worked))
	}
	return e.world.checkpoints.list(r.request.Task, r.checkpoint(worked.Truncate(saveInterval)))
}

// checkpointRule checks the checkpoints with which runs are started. Each must have been listed for the very task, or
// for a member of its gang, and all members of a gang must be started with the same one.
type checkpointRule struct {
	world *world
	// listed holds, by task, the checkpoints that endpoints have listed. The members of a gang share an entry.
	listed map[damsonwinch.TaskID]map[string]bool
	// ofGangs holds the checkpoint of each attempt at a gang, by the run of its first member.
	ofGangs map[damsonwinch.Run]string
	// resumed counts the starts with a checkpoint, and resumedGangs those of them that are of members of gangs.
	resumed      int
	resumedGangs int
}

func newCheckpointRule(w *world) *checkpointRule {
	return &checkpointRule{world: w, listed: map[damsonwinch.TaskID]map[string]bool{}, ofGangs: map[damsonwinch.Run]string{}}
}

// owner returns the task in whose name checkpoints of a task are kept: the first member of its gang, or the task.
func (c *checkpointRule) owner(task damsonwinch.TaskID) damsonwinch.TaskID {
	if c.world.isGang(task) {
		task.Index = 0
	}
	return task
}

// list notes that an endpoint lists a checkpoint for a task, and returns the checkpoint.
func (c *checkpointRule) list(task damsonwinch.TaskID, checkpoint string) string {
	owner := c.owner(task)
	if c.listed[owner] == nil {
		c.listed[owner] = map[string]bool{}
	}
	c.listed[owner][checkpoint] = true
	return checkpoint
}

// checkStart checks the checkpoint of a start that an endpoint carries out.
func (c *checkpointRule) checkStart(request damsonwinch.StartRequest) {
	owner, gang := c.owner(request.Task), c.world.isGang(request.Task)
	if request.Checkpoint != "" {
		c.resumed++
		if !c.listed[owner][request.Checkpoint] {
			c.world.rules.fail("UNASKED: %s is started with checkpoint %q, which no endpoint has listed for it", request.Task, request.Checkpoint)
		}
	}
	if !gang {
		return
	}
	if request.Checkpoint != "" {
		c.resumedGangs++
	}
	attempt := damsonwinch.Run{Task: owner, Attempt: request.Attempt}
	if other, started := c.ofGangs[attempt]; started && other != request.Checkpoint {
		c.world.rules.fail("GANG: attempt %d at %s is started with checkpoint %q, another member with %q", request.Attempt, request.Task, request.Checkpoint, other)
	}
	c.ofGangs[attempt] = request.Checkpoint
}

// mixUpCheckpoints returns the records with each checkpoint assigned to the next task of its job.
func mixUpCheckpoints(records []damsonwinch.Record) []damsonwinch.Record {
	return editJobRecords(records, func(job *wire.JobRecord) {
		for i := range job.Saved {
			job.Saved[i].Row = (job.Saved[i].Row + 1) % len(job.Tasks)
		}
	})
}

// TestRulesDetectMixedUpCheckpoints makes sure that a task which is started with the checkpoint of another one is found.
func TestRulesDetectMixedUpCheckpoints(t *testing.T) {
	expectViolation(t, "UNASKED: ", firstSeeds(499), mutation{mixUpCheckpoints: true}, simulateFaults)
}

// TestSimulationsResumeFromCheckpoints guards against simulations that check no checkpoints because no run is started with
// one.
func TestSimulationsResumeFromCheckpoints(t *testing.T) {
	resumed, resumedGangs := 0, 0
	for _, seed := range firstSeeds(20) {
		resumed += simulateFaults(seed, mutation{}).checkpoints.resumed
		resumedGangs += simulateLateRequests(seed, mutation{}).checkpoints.resumedGangs
	}
	t.Logf("%d starts with checkpoints under random faults, %d of gangs with late requests", resumed, resumedGangs)
	assert.Assert(t, resumed > 0 && resumedGangs > 0)
}
