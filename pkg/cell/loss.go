package cell

import (
	"fmt"
	"slices"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/crash"
	"damsonwinch/pkg/wire"
)

// otherLifeAnswered handles that another life has answered a call to this one that was sent to the given address. An endpoint
// that is at another address by now may go on there.
func (c *Cell) otherLifeAnswered(e *endpoint, address, source string) {
	if address == e.info.Address {
		c.markLost(e, source)
	}
}

// markLost marks a life as exited, since another one has answered a call to it. source says which call. All its
// runs are lost.
func (c *Cell) markLost(e *endpoint, source string) {
	by := removal{reason: removedOtherAddress, source: source}
	c.markLostKeeping(e, "another life answers at its address", by, func(*run) bool { return false })
}

// markLostKeeping marks a life as exited. reason is for the log. All its runs are lost and removed as by says, except
// those for which keep returns true: a later life with the same ID may run them.
func (c *Cell) markLostKeeping(e *endpoint, reason string, by removal, keep func(r *run) bool) {
	if e.exited {
		return
	}
	c.logEndpointLost(e, reason)
	e.exited = true
	c.countLossForLapsed(e)
	c.forgetLapsed(e)
	blamed := c.runToBlame(e)
	c.countExit(e, blamed)
	for _, r := range e.sortedRuns() {
		if r.state == runPending {
			// It is removed when its record is committed.
			r.stopping, r.stopReason = true, "its endpoint was lost"
			continue
		}
		loss := c.lossOf(r)
		loss.OtherBlamed = blamed != nil && blamed != r
		if keep(r) {
			r.pendingLoss = &runLoss{life: e.info.Life, details: loss}
			continue
		}
		c.removeLostRun(r, runLoss{life: e.info.Life, details: loss}, c.noteRemoval(r, by))
	}
}

// countExit counts the exit of an endpoint for the rates by which tasks are suspected and blamed. blamed is
// the run that is to blame for the exit, or nil.
func (c *Cell) countExit(e *endpoint, blamed *run) {
	if len(e.runs) > 0 && !c.startedWithin(e, e.exitedAt(c.now), c.options.CrashRules.MeasuredSuspectAge()) {
		c.baselineExits.AddExit(c.now)
	}
	c.countQueueExits(e, blamed)
	if e.probation != nil {
		c.probationLimit.AddExit(c.now)
	}
}

// runLoss describes how a run was lost: with which life, and under which circumstances.
type runLoss struct {
	life    damsonwinch.Life
	details crash.Loss
}

// removeLostRun removes a run that was lost with its endpoint, and counts the loss against its
// task. why says for the log what the owner goes by.
func (c *Cell) removeLostRun(r *run, loss runLoss, why string) {
	c.stats.RunsLost++
	c.removeRun(r)
	c.countLoss(r, loss, why)
	if len(r.task.runs) == 0 {
		c.makeReady(r.task)
	}
}

// removeMissingRun removes a run that its endpoint doesn't have. It counts as lost if it was kept
// after the exit of an earlier life.
func (c *Cell) removeMissingRun(r *run, by removal) {
	why := c.noteRemoval(r, by)
	c.logRun("run is not there", r, why)
	if r.pendingLoss != nil {
		c.removeLostRun(r, *r.pendingLoss, why)
		return
	}
	c.requeue(r)
}

// runToBlame returns the run on probation that is to blame for the exit of its endpoint. It returns
// nil if there is no such run: then any of the tasks there may have caused the exit.
func (c *Cell) runToBlame(e *endpoint) *run {
	if r := e.probation; r != nil && r.state != runPending && c.options.CrashRules.Blames(r.task.crashes, c.lossOf(r)) {
		return r
	}
	return nil
}

// lossOf describes the loss of a run's endpoint, as evidence against the run's task.
func (c *Cell) lossOf(r *run) crash.Loss {
	e := r.endpoint
	exitedAt := e.exitedAt(c.now)
	loss := crash.Loss{
		MaxAge: r.age(exitedAt), MinAge: r.leastAge(e.lastAnsweredAt), Explained: c.hasCommonCause(e, exitedAt), Probation: e.probation == r,
		LossRate: c.baselineExits.Rate(c.now),
	}
	if e.silent && e.pollBroken {
		// The poll that broke would have reported the end of the run. Without such a poll the run
		// may have ended before, unreported. A start request that was not answered may never have
		// arrived at the endpoint, not even on probation.
		loss.MinAge, loss.Certain = r.leastAge(exitedAt), r.state == runConfirmed
	}
	if r.inherited {
		loss.MaxAge = max(loss.MaxAge, c.options.CrashRules.MaxCrashAge)
		loss.Unsent = !r.wasSent() && c.options.CrashRules.RecordsStarts(r.task.crashes)
	}
	return loss
}

// countLoss counts the loss of a run's endpoint against the run's task, and gives the task up if
// that is enough evidence. why says for the log what the owner goes by.
func (c *Cell) countLoss(r *run, loss runLoss, why string) {
	t := r.task
	t.crashes = c.options.CrashRules.Add(t.crashes, loss.details)
	c.logRunLost(r, loss, why)
	if t.done || t.phase.job().ended() || c.giveUpIfCrasher(t, loss) {
		return
	}
	c.addSuspect(t)
}

// giveUpIfCrasher gives a task up if its probations have shown that it crashes its endpoints. It
// reports whether that is so.
func (c *Cell) giveUpIfCrasher(t *task, loss runLoss) bool {
	if !c.options.CrashRules.IsCrasher(t.crashes) {
		return false
	}
	c.giveUp(t, fmt.Sprintf("task %s crashes its endpoints: %d have ended under it, the last one, %s, %d ms after its start, where nothing else had begun",
		t.id(), t.crashes.Losses, loss.life, loss.details.MaxAge.Milliseconds()))
	return true
}

// giveUpIfStartsExhausted gives a task up if it must not be started again after the losses under
// it, whatever caused them. It reports whether that is so.
func (c *Cell) giveUpIfStartsExhausted(t *task) bool {
	if !c.options.CrashRules.StartsExhausted(t.crashes) {
		return false
	}
	c.giveUp(t, fmt.Sprintf("%d endpoints have ended under task %s, and it has come to nothing since in %d more starts", t.crashes.Losses, t.id(), t.crashes.ExtraStarts))
	return true
}

// giveUp marks a task as one that is not started any more, and fails its job. A long-running job
// goes on with its other tasks while one of its tasks runs or may be started. The task that was
// given up then counts as unavailable.
func (c *Cell) giveUp(t *task, reason string) {
	if t.givenUp {
		return
	}
	t.givenUp = true
	c.stats.TasksGivenUp++
	if j := t.phase.job(); !t.phase.spec.Lasting || j.runCount == 0 && !j.hasStartableTask() {
		c.endJob(j, wire.JobStateFailed, reason)
	} else {
		c.logJob("task given up", j, reason)
	}
}

// hasStartableTask reports whether the job has a task that is neither done nor given up.
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

// addExtraStarts adds delta to a task's extra starts, which are counted once too many endpoints
// have been lost under it. For other tasks it does nothing. delta is 1 for a planned start, and -1
// when that start has certainly not begun.
func (c *Cell) addExtraStarts(t *task, delta int) {
	if c.options.CrashRules.CountsStarts(t.crashes) {
		t.crashes = t.crashes.WithExtraStarts(delta)
	}
}

// countLossForLapsed counts the loss of an endpoint against the tasks of its lapsed attempts: the
// endpoint may have exited before their leases expired, and because of them.
func (c *Cell) countLossForLapsed(e *endpoint) {
	for _, l := range e.lapsedAttempts {
		l.task.crashes = c.options.CrashRules.Add(l.task.crashes, crash.Loss{MinAge: l.minAge, MaxAge: c.options.CrashRules.MaxCrashAge})
		c.addSuspect(l.task)
	}
}

// exitedAt returns when a lost endpoint exited, as far as that is known, or now. The endpoint
// nearly always holds a poll, whose connection breaks at once when it exits.
func (e *endpoint) exitedAt(now time.Time) time.Time {
	if e.silent {
		return e.silentSince
	}
	return now
}

// commonCauseTime is how close in time the exits of two endpoints must be to have a common cause.
// Endpoints of a rack or zone that fails exit within some milliseconds.
const commonCauseTime = 50 * time.Millisecond

// hasCommonCause reports whether endpoints that share a rack or zone with this one exited at the
// same time: another one of the rack, or half of the others of the zone. Half are required since
// two of many endpoints may exit at the same time by chance. Endpoints with a task on probation
// don't count.
func (c *Cell) hasCommonCause(e *endpoint, exitedAt time.Time) bool {
	inZone, exited := 0, 0
	for _, other := range c.sortedEndpoints {
		if other == e || other.zone != e.zone {
			continue
		}
		inZone++
		if other.probation != nil || !other.silent || other.silentSince.Sub(exitedAt).Abs() > commonCauseTime {
			continue
		}
		exited++
		if e.info.Rack != "" && other.info.Rack == e.info.Rack {
			return true
		}
	}
	return exited > 0 && exited*2 >= inZone
}

// leastAge returns the age that the run had at least at the given time: the time since it was known to
// exist. An endpoint that answers says nothing of a run whose start isn't confirmed, and a start request may
// be carried out seconds after it was sent.
func (r *run) leastAge(at time.Time) time.Duration {
	if r.state != runConfirmed {
		return 0
	}
	return max(0, at.Sub(r.confirmedAt))
}

// age returns the age of the run at the given time: the time since its start, or 0 if it had not
// started.
func (r *run) age(at time.Time) time.Duration {
	return max(0, at.Sub(r.startedAt))
}

// logEndpointLost logs the loss of an endpoint. If it had runs, it counts the loss and logs the
// number of runs and the age of the youngest.
func (c *Cell) logEndpointLost(e *endpoint, reason string) {
	if len(e.runs) == 0 {
		c.logEndpoint("endpoint lost", e, reason)
		return
	}
	c.stats.EndpointsLost++
	exitedAt := e.exitedAt(c.now)
	youngest := e.runsByStart[len(e.runsByStart)-1].age(exitedAt)
	c.logEndpoint("endpoint lost", e, fmt.Sprintf("%s; it ended %d ms ago with %d runs, the youngest for %d ms",
		reason, c.now.Sub(exitedAt).Milliseconds(), len(e.runs), youngest.Milliseconds()))
}

// logRunLost logs a run that was lost with its endpoint. The first loss under a task is a debug
// line, since it is mostly one of many. why says what the owner goes by.
func (c *Cell) logRunLost(r *run, loss runLoss, why string) {
	details := loss.details
	c.effects.LogLines = append(c.effects.LogLines, LogLine{
		Message: "run lost", Job: r.task.phase.job().id, Task: r.id().Task.String(), Endpoint: loss.life.String(), Debug: r.task.crashes.Losses <= 1,
		Reason: fmt.Sprintf("its endpoint ended %d to %d ms after its start (surely under it %t, explained %t, another task to blame %t, on trial %t, rate %.3f a second); attempt %d, %d endpoints ended under its task, weight %d, %d starts since; %s",
			details.MinAge.Milliseconds(), details.MaxAge.Milliseconds(), details.Certain, details.Explained, details.OtherBlamed, details.Probation, details.LossRate, r.attempt, r.task.crashes.Losses, r.task.crashes.Weight, r.task.crashes.ExtraStarts, why),
	})
}

// restoreCrashes restores a task's history of losses, if it has any.
func (c *Cell) restoreCrashes(t *task, history crash.History) {
	if history.Losses > 0 {
		t.crashes = history
		t.givenUp = c.options.CrashRules.IsCrasher(history)
		c.addSuspect(t)
	}
}
