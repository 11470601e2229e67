package cell

import (
	"fmt"
	"slices"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/crash"
	"damsonwinch/pkg/wire"
)

// markLost takes note that a life has ended: all that ran there is gone.
func (c *Cell) markLost(e *endpoint, why string) {
	c.markLostKeeping(e, why, func(*run) bool { return false })
}

// markLostKeeping takes note that a life has ended, and keeps those of its runs that may yet be found
// at a later life under its ID.
func (c *Cell) markLostKeeping(e *endpoint, why string, kept func(r *run) bool) {
	if e.exited {
		return
	}
	c.logEndpointLost(e, why)
	e.exited = true
	c.countLossForLapsed(e)
	c.forgetLapsed(e)
	blamedRun := c.runToBlame(e)
	if len(e.runs) > 0 && !c.startedWithin(e, e.exitedAt(c.now), c.options.CrashRules.MeasuredSuspectAge()) {
		c.baselineExits.exits.add(c.now)
	}
	c.countQueueExits(e, blamedRun)
	if e.probation != nil {
		c.probationExits.add(c.now)
	}
	for _, r := range e.sortedRuns() {
		if r.state == runPending {
			// The commit takes it back.
			r.stopping = true
			continue
		}
		end := c.lossOf(r)
		end.Explained = end.Explained || blamedRun != nil && blamedRun != r
		if kept(r) {
			r.pendingLoss = &runLoss{life: e.info.Life, loss: end}
			continue
		}
		c.removeLostRun(r, runLoss{life: e.info.Life, loss: end})
	}
}

// runLoss is how a run went: with which life, and how that ended.
type runLoss struct {
	life damsonwinch.Life
	loss crash.Loss
}

// removeLostRun takes away a run that has gone with its endpoint.
func (c *Cell) removeLostRun(r *run, lost runLoss) {
	c.stats.RunsLost++
	c.removeRun(r)
	c.countLoss(r, lost)
	if len(r.task.runs) == 0 {
		c.makeReady(r.task)
	}
}

// removeMissingRun takes away a run that its endpoint doesn't have.
func (c *Cell) removeMissingRun(r *run) {
	c.logRun("run is not there", r, "")
	if r.pendingLoss != nil {
		c.removeLostRun(r, *r.pendingLoss)
		return
	}
	c.requeue(r)
}

// runToBlame returns the run that was on trial on an endpoint that has ended and is to blame,
// nil if there is none: then all tasks there may have ended it.
func (c *Cell) runToBlame(e *endpoint) *run {
	if r := e.probation; r != nil && r.state != runPending && c.options.CrashRules.Blames(r.task.crashes, c.lossOf(r)) {
		return r
	}
	return nil
}

// lossOf describes the end of a run's endpoint.
func (c *Cell) lossOf(r *run) crash.Loss {
	exitedAt := r.endpoint.exitedAt(c.now)
	end := crash.Loss{MaxAge: r.age(exitedAt), MinAge: r.age(r.endpoint.lastAnsweredAt), Explained: c.hasCommonCause(r.endpoint, exitedAt), Probation: r.endpoint.probation == r, LossRate: c.baselineExits.rate(c.now)}
	if r.endpoint.silent && r.endpoint.pollBroken {
		// The look that broke off would have told of the run's end. Otherwise it may have ended
		// before, unheard of. A start whose answer is lost with the endpoint had come there: where
		// nothing else had begun, the weight of the end says how surely.
		end.MinAge, end.Certain = end.MaxAge, r.state == runConfirmed || end.Probation
	}
	if r.inherited {
		end.MaxAge = max(end.MaxAge, c.options.CrashRules.MaxCrashAge)
	}
	return end
}

// countLoss counts the end of a run's endpoint against its task, and gives the task up if
// that is enough.
func (c *Cell) countLoss(r *run, lost runLoss) {
	t := r.task
	t.crashes = c.options.CrashRules.Add(t.crashes, lost.loss)
	c.logRunLost(r, lost)
	if t.done || t.phase.job().ended() || c.giveUpIfConvicted(t, lost) {
		return
	}
	c.addSuspect(t)
}

// giveUpIfConvicted ends the job of a task whose trials have shown that it crashes its
// endpoints. It says whether it is one.
func (c *Cell) giveUpIfConvicted(t *task, last runLoss) bool {
	if !c.options.CrashRules.IsCrasher(t.crashes) {
		return false
	}
	c.giveUp(t, fmt.Sprintf("task %s crashes its endpoints: %d have ended under it, the last one, %s, %d ms after its start, where nothing else had begun",
		t.id(), t.crashes.Losses, last.life, last.loss.MaxAge.Milliseconds()))
	return true
}

// giveUpIfStartsExhausted gives a task up that has been started too often. It says whether it is one.
func (c *Cell) giveUpIfStartsExhausted(t *task) bool {
	if !c.options.CrashRules.StartsExhausted(t.crashes) {
		return false
	}
	c.giveUp(t, fmt.Sprintf("%d endpoints have ended under task %s, and it has come to nothing since in %d more starts", t.crashes.Losses, t.id(), t.crashes.ExtraStarts))
	return true
}

// giveUp ends the job of a task that must not be started any more. A lasting job goes on with
// what is left of it: its other tasks serve, and more of them may not be away than it allows.
func (c *Cell) giveUp(t *task, why string) {
	if t.givenUp {
		return
	}
	t.givenUp = true
	c.stats.JobsGivenUp++
	if j := t.phase.job(); !t.phase.spec.Lasting || j.runCount == 0 && !j.hasStartableTask() {
		c.endJob(j, wire.JobStateFailed, why)
	} else {
		c.logJob("task given up", j, why)
	}
}

// hasStartableTask says whether a job has a task that isn't given up.
func (j *job) hasStartableTask() bool {
	for _, r := range j.rounds {
		for _, p := range r.phases {
			if slices.ContainsFunc(p.tasks, func(t *task) bool { return !t.done && !t.givenUp }) {
				return true
			}
		}
	}
	return false
}

// addStarts counts a start of a task under which many endpoints have ended, or takes it
// back where its endpoint has certainly not begun it.
func (c *Cell) addStarts(t *task, more int) {
	if c.options.CrashRules.CountsStarts(t.crashes) {
		t.crashes = t.crashes.WithExtraStarts(more)
	}
}

// countLossForLapsed counts the end of an endpoint against the tasks that were taken to have lapsed
// there: it may have ended before that, and because of them.
func (c *Cell) countLossForLapsed(e *endpoint) {
	for _, l := range e.lapsedAttempts {
		l.task.crashes = c.options.CrashRules.Add(l.task.crashes, crash.Loss{MinAge: l.minAge, MaxAge: c.options.CrashRules.MaxCrashAge})
		c.addSuspect(l.task)
	}
}

// exitedAt is when an endpoint that is lost has ended, as far as that can be told: a look
// waits there nearly always, and breaks off at once.
func (e *endpoint) exitedAt(now time.Time) time.Time {
	if e.silent {
		return e.silentSince
	}
	return now
}

// commonCauseTime is how close the ends of two endpoints must be to have one cause. The rack or
// zone that they share ends within some milliseconds.
const commonCauseTime = 50 * time.Millisecond

// hasCommonCause says whether endpoints that share something with this one have ended at the same
// moment, and not under tasks on trial there: another one of its rack, or half of the others of
// its zone. Where many endpoints end, two do at one moment by chance as well.
func (c *Cell) hasCommonCause(e *endpoint, endedAt time.Time) bool {
	zone, ended := 0, 0
	for _, other := range c.sortedEndpoints {
		if other == e || other.zone != e.zone {
			continue
		}
		zone++
		if other.probation != nil || !other.silent || other.silentSince.Sub(endedAt).Abs() > commonCauseTime {
			continue
		}
		ended++
		if e.info.Rack != "" && other.info.Rack == e.info.Rack {
			return true
		}
	}
	return ended > 0 && ended*2 >= zone
}

// age returns how long a run had been under way when its endpoint ended.
func (r *run) age(endedAt time.Time) time.Duration {
	return max(0, endedAt.Sub(r.startedAt))
}

// logEndpointLost tells what a lost endpoint takes with it.
func (c *Cell) logEndpointLost(e *endpoint, why string) {
	if len(e.runs) == 0 {
		c.logEndpoint("endpoint lost", e, why)
		return
	}
	c.stats.EndpointsLost++
	endedAt := e.exitedAt(c.now)
	youngest := e.runsByStart[len(e.runsByStart)-1].age(endedAt)
	c.logEndpoint("endpoint lost", e, fmt.Sprintf("%s; it ended %d ms ago with %d runs, the youngest for %d ms",
		why, c.now.Sub(endedAt).Milliseconds(), len(e.runs), youngest.Milliseconds()))
}

// logRunLost tells of a run that went with its endpoint. The first time it is one of many.
func (c *Cell) logRunLost(r *run, lost runLoss) {
	end := lost.loss
	c.effects.LogLines = append(c.effects.LogLines, LogLine{
		Message: "run lost", Job: r.task.phase.job().id, Task: r.id().Task.String(), Endpoint: lost.life.String(), Debug: r.task.crashes.Losses <= 1,
		Reason: fmt.Sprintf("its endpoint ended %d to %d ms after its start (surely under it %t, explained %t, on trial %t, rate %.3f a second); attempt %d, %d endpoints ended under its task, weight %d, %d starts since",
			end.MinAge.Milliseconds(), end.MaxAge.Milliseconds(), end.Certain, end.Explained, end.Probation, end.LossRate, r.attempt, r.task.crashes.Losses, r.task.crashes.Weight, r.task.crashes.ExtraStarts),
	})
}

// crashColumns is the number of columns of a task under which endpoints have ended, in its
// job's record: the place of its row, how many, on how many of them it certainly ran, how many
// in a row were alike, between which ages in milliseconds, the weight of the evidence, and its
// starts since there were many.
const crashColumns = 8

// writeCrashes adds what is known of a task's crashes to its job's record, whose next row is
// the task's.
func writeCrashes(t *task, record *wire.JobRecord) {
	if t.crashes.Losses > 0 && !t.done {
		record.Crashed = append(record.Crashed, []int{len(record.Tasks), t.crashes.Losses, t.crashes.CertainLosses, t.crashes.SimilarLosses, int(t.crashes.MinAge.Milliseconds()), int(t.crashes.MaxAge.Milliseconds()), t.crashes.Weight, t.crashes.ExtraStarts})
	}
}

// readCrashes takes over what a job's record tells of its tasks' crashes.
func (c *Cell) readCrashes(j *job, record wire.JobRecord) error {
	for _, row := range record.Crashed {
		if len(row) != crashColumns || row[0] < 0 || row[0] >= len(record.Tasks) {
			return fmt.Errorf("job %s has a crashed task %v", j.id, row)
		}
		if t := c.findTask(rowTaskID(j, record.Tasks[row[0]])); t != nil {
			t.crashes = crash.History{
				Losses: row[1], CertainLosses: row[2], SimilarLosses: row[3], MinAge: time.Duration(row[4]) * time.Millisecond, MaxAge: time.Duration(row[5]) * time.Millisecond,
				Weight: row[6], ExtraStarts: row[7],
			}
			t.givenUp = c.options.CrashRules.IsCrasher(t.crashes)
			c.addSuspect(t)
		}
	}
	return nil
}
