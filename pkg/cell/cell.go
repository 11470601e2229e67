// Package cell makes the decisions of a cell's owner: which task starts on which endpoint, what is
// recorded before anyone is told of it, and what a new owner may assume about the work of earlier
// owners. It does no I/O and reads no clock: each method that takes an event also takes the current
// time, and TakeEffects returns the calls, appends, replies and log lines that follow.
//
// A cell is a part of a pool's endpoints together with the jobs of the queues that are routed
// there. Everything else depends on three rules:
//   - A start is sent only after its record is in the cell's stream, so that a later owner knows
//     every run that may exist, and where.
//   - An endpoint is told to forget the result of a run only after the record of that result is in
//     the stream.
//   - A client is told only what is in the stream.
package cell

import (
	"fmt"
	"slices"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/admission"
	"damsonwinch/pkg/crash"
	"damsonwinch/pkg/fairshare"
	"damsonwinch/pkg/pause"
	"damsonwinch/pkg/quota"
	"damsonwinch/pkg/responsiveness"
	"damsonwinch/pkg/wire"
	"damsonwinch/pkg/workload"
)

// Cell holds the owner's state of one cell. It is not safe for concurrent use.
type Cell struct {
	options Options
	token   int
	queues  *QueueTable
	jobs    map[string]*job
	// unsubmittedJobs is the number of jobs that were cancelled before a submission of them arrived.
	unsubmittedJobs int
	// activeJobs holds, in order of acceptance, the jobs that have not ended, that may still have
	// runs, or whose end is not recorded yet.
	activeJobs []*job
	// openPhases holds the phases with tasks that are ready to start, the most urgent first.
	openPhases []*phase
	endpoints  map[damsonwinch.Life]*endpoint
	// lastPollNumber is the number of the last poll sent. Polls are numbered across all endpoints, since an endpoint
	// may be removed and listed again while a poll is in flight.
	lastPollNumber int
	// sortedEndpoints holds the endpoints sorted by life, so that choices do not depend on the
	// iteration order of a map.
	sortedEndpoints []*endpoint
	// zones holds the availability zones of the endpoints, sorted by name.
	zones []*zone
	// suspects holds the tasks that are suspected of crashing their endpoints and have to be
	// started on probation. probationEndpoints holds the endpoints where a task is on probation,
	// and those that are reserved for a probation.
	suspects           []*task
	probationEndpoints []*endpoint
	// reservedEndpoints holds the endpoints that are reserved for long-running tasks.
	reservedEndpoints []*endpoint
	// baselineExits estimates how often endpoints exit for reasons other than their tasks.
	// probationLimit limits how many endpoints probations take up.
	baselineExits  crash.BaselineRate
	probationLimit crash.ProbationLimit
	// crashQueues finds the queues whose tasks crash many endpoints.
	crashQueues *crash.Queues
	// batching is set while Batch runs: finishEvent does nothing until all events of the batch have
	// been handled.
	batching bool
	// placementDue is set when something has happened since the last placement that may allow a
	// task to start.
	placementDue bool
	// pollDue holds the endpoints to check for a due poll. With pollAll set, all endpoints are
	// checked.
	pollDue []*endpoint
	pollAll bool
	// acceptsOverload is set when the endpoints start tasks that exceed their free capacity.
	acceptsOverload bool
	// step is a logical clock that counts events. Replies on different connections may arrive out
	// of order; comparing steps shows whether a request was sent before something became known.
	step int
	now  time.Time
	// suspendedFor is the total time for which the machine was suspended, as of the last call of
	// CheckSuspension.
	suspendedFor time.Duration
	// pauses detects that this owner has been paused or held up.
	pauses pause.Detector
	// idleJobsCheckedAt and idleJobLoggedAt are the times of the last check and the last log line of
	// logIdleJobs.
	idleJobsCheckedAt time.Time
	idleJobLoggedAt   time.Time
	// lastTickAt is the time of the last Tick.
	lastTickAt time.Time
	// confirmedAt is the last time at which this owner's claim of the cell is known to have been
	// valid.
	confirmedAt time.Time
	evacuations evacuations
	commits     commits
	addresses   addresses
	// answerTimes holds how long endpoints take to answer, and calls how many calls stay unanswered.
	answerTimes responsiveness.AnswerTimes
	calls       responsiveness.Calls
	// callsDueAt is the time by which the next call in flight counts as unanswered, or zero.
	callsDueAt  time.Time
	permitCalls permitCalls
	// workload holds, by queue, statistics of how much work arrives and how long it takes.
	workload workload.Queues
	// quota holds the customers' allowances in this cell and what they have running here, and
	// quotaWaits the customers with tasks that wait for their allowances.
	quota      *quota.Allowances
	quotaWaits *quota.Waits
	// shares decides which jobs are within their customers' shares.
	shares fairshare.Shares
	// refusals remembers the jobs that were refused, for when their clients come back.
	refusals admission.Refusals
	// workloadDirty is set when workload has changed since it was last recorded.
	workloadDirty      bool
	workloadRecordedAt time.Time
	// refusalsAreCommon is set while so many endpoints refuse starts that it isn't held against them.
	refusalsAreCommon bool
	// lastSync is what is known of the newest call of the fleet planner.
	lastSync lastSync
	// recentRemovals holds the last runs that were removed without a result of their endpoints.
	recentRemovals recentRemovals
	effects        Effects
	stats          Stats
}

// New returns an empty cell for the owner with the given fencing token. Load must come before any
// other event.
func New(options Options, token int) *Cell {
	if options.CrashRules == (crash.Rules{}) {
		options.CrashRules = crash.DefaultRules()
	}
	if options.MaxRecordBytes == 0 {
		options.MaxRecordBytes = DefaultMaxRecordBytes
	}
	allowances := quota.NewAllowances()
	return &Cell{
		options: options, token: token,
		queues:      &QueueTable{},
		jobs:        map[string]*job{},
		endpoints:   map[damsonwinch.Life]*endpoint{},
		commits:     newCommits(),
		workload:    workload.Queues{},
		crashQueues: crash.NewQueues(),
		addresses:   newAddresses(),
		quota:       allowances,
		quotaWaits:  quota.NewWaits(allowances),
	}
}

// beginEvent sets the current time and advances the logical clock. Each method that handles an
// event calls it first.
func (c *Cell) beginEvent(now time.Time) {
	c.pauses.Event(c.now, now)
	if len(c.activeJobs) > 0 {
		c.pauses.BusyEvent(c.now, now)
	}
	c.now = now
	c.step++
}

// CheckSuspension takes the total time for which the machine has been suspended since this owner
// began. The monotonic clock does not count that time, so leases and claims that look valid may have
// expired long ago, and another node may own the cell. CheckSuspension returns true if the total has
// grown by at least damsonwinch.NegligibleSuspension since it last did: the owner then has to give up
// the cell and send no more requests.
func (c *Cell) CheckSuspension(total time.Duration) bool {
	suspended := total - c.suspendedFor
	if suspended < damsonwinch.NegligibleSuspension {
		return false
	}
	c.suspendedFor = total
	c.effects.OwnershipLost = true
	c.effects.LogLines = append(c.effects.LogLines, LogLine{Message: "owner was suspended", Reason: fmt.Sprintf("for %d ms; it gives up its cell", suspended.Milliseconds())})
	return true
}

// ConfirmOwnership notes that this owner's claim of the cell was valid at the given time.
func (c *Cell) ConfirmOwnership(at time.Time) {
	if at.After(c.confirmedAt) {
		c.confirmedAt = at
	}
}

// mayRenewLeases reports whether this owner may still renew leases. A new owner relies on earlier
// owners to stop that in time.
func (c *Cell) mayRenewLeases() bool {
	return c.now.Sub(c.confirmedAt) < c.options.RenewalGrace
}

// Tick does what is due because time has passed: rounds of repeated jobs, expired leases, retries,
// timeouts and cleanup.
func (c *Cell) Tick(now time.Time) {
	c.beginEvent(now)
	c.lastTickAt = now
	c.endpointsChanged()
	c.startDueRounds()
	c.expireLeases()
	c.checkUnanswered()
	c.limitSuspected()
	c.limitProbed()
	c.resendStops()
	c.updateOverdue()
	c.updateObstructions()
	c.requestBoxList()
	c.checkProbations()
	c.baselineExits.Observe(now, c.countExposed())
	c.refuseUnrecordedJobs()
	c.refuseOldQueries()
	c.deferPhases()
	for _, e := range c.sortedEndpoints {
		c.continueWithdrawal(e)
	}
	c.leaveEvacuatedZones()
	c.reserveForLongRunning()
	c.forgetEndedJobs()
	c.forgetAddresses()
	c.logQuotaWaits()
	c.logShares()
	c.logLongWaits()
	c.logIdleJobs()
	c.finishEvent()
}

// Batch calls a function that reports several events, and reacts once to all of them. So the cost
// per event falls as the owner gets busier.
func (c *Cell) Batch(events func()) {
	c.batching = true
	events()
	c.batching = false
	c.finishEvent()
}

// finishEvent reacts to an event: it starts tasks, sends polls and begins a commit, as far as they
// are due.
func (c *Cell) finishEvent() {
	if c.batching {
		return
	}
	c.sendHeldStarts()
	c.place()
	c.sendDuePolls()
	c.flush()
}

// endpointsChanged makes the next finishEvent place tasks and check all endpoints for due polls.
func (c *Cell) endpointsChanged() {
	c.placementDue, c.pollAll = true, true
}

// TakeEffects returns the effects that have accumulated since the last call.
func (c *Cell) TakeEffects() Effects {
	effects := c.effects
	c.effects = Effects{}
	return effects
}

// insertOpenPhase inserts a phase into openPhases, in order of urgency.
func (c *Cell) insertOpenPhase(p *phase) {
	at, _ := slices.BinarySearchFunc(c.openPhases, p, comparePhases)
	c.openPhases = slices.Insert(c.openPhases, at, p)
}

// removeOpenPhase removes a phase from openPhases, if it is there.
func (c *Cell) removeOpenPhase(p *phase) {
	if at := slices.Index(c.openPhases, p); at >= 0 {
		c.openPhases = slices.Delete(c.openPhases, at, at+1)
	}
}

// Pending returns the number of the recorded jobs of a call's queue that have not ended and of which no task is
// known to have started.
func (c *Cell) Pending(args wire.JobArgs) int {
	count := 0
	for _, j := range c.activeJobs {
		if j.isSubmittedTo(args) && j.recorded && !j.begun && !j.ended() {
			count++
		}
	}
	return count
}

// HasWaitingTasks reports whether there are tasks that are ready to start and have not found an
// endpoint.
func (c *Cell) HasWaitingTasks() bool {
	return len(c.openPhases) > 0
}

// HasJob reports whether the cell holds the job: it was submitted or cancelled, and has been neither refused nor
// forgotten.
func (c *Cell) HasJob(id string) bool {
	return c.jobs[id] != nil
}

// Query answers a client's call that asks for the state of a job. The reply with the given call ID becomes an
// effect at once if the job is found. That there is no such job is said only once the store has confirmed that
// this owner is the present one: a former owner doesn't know the jobs that its successor has accepted. A tentative call
// is answered at once.
func (c *Cell) Query(now time.Time, args wire.JobArgs, callID int) {
	c.beginEvent(now)
	defer c.finishEvent()
	if args.Closing {
		c.closeAddress(args, callID)
		return
	}
	if reply := c.stateReply(args); reply.Outcome == wire.JobOutcomeFound {
		c.reply(callID, reply)
		return
	}
	if args.Tentative {
		c.reply(callID, wire.JobReply{Outcome: wire.JobOutcomeNoSuchJob})
		return
	}
	c.noteAbsent("query", args)
	c.replyOnceCurrent(callID, args.WaitMs, func() wire.JobReply { return c.stateReply(args) })
}

// maxPendingAge is how old the users allow the number of pending jobs to be.
const maxPendingAge = 2 * time.Second

// CountPending answers a client's call that asks for the number of a queue's pending jobs. The reply with the given
// call ID becomes an effect at once, unless this owner may have been replaced more than maxPendingAge ago.
func (c *Cell) CountPending(now time.Time, args wire.JobArgs, callID int) {
	c.beginEvent(now)
	defer c.finishEvent()
	count := func() wire.JobReply {
		return wire.JobReply{Outcome: wire.JobOutcomeFound, Pending: c.Pending(args), Settled: c.isSettled(args.Address)}
	}
	if now.Sub(c.confirmedAt) <= maxPendingAge {
		c.reply(callID, count())
		return
	}
	c.replyOnceCurrent(callID, 0, count)
}

// Show returns the recorded state of a job. A job that is recorded as queued is shown as running
// once an endpoint has been chosen for one of its tasks. Show returns false if there is no such
// job, it is not recorded yet, or it is not visible to the client.
func (c *Cell) Show(args wire.JobArgs) (wire.JobState, bool) {
	j, exists := c.jobs[args.Id]
	if !exists || !j.recorded || j.unsubmitted || !j.visibleTo(args) {
		return "", false
	}
	if j.recordedState == wire.JobStateQueued && j.placed {
		return wire.JobStateRunning, true
	}
	return j.recordedState, true
}
