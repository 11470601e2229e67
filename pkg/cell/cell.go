// Package cell decides for the owner of a cell: which task starts where, what is
// recorded before it is told, and what a new owner may take for granted. It is
// pure: events and the time go in, effects come out.
//
// A cell is a pool's endpoints with the jobs of the queues that lead there. Three
// rules hold all the rest:
//   - A start is ordered only after its record is in the cell's stream, so that a
//     later owner knows every run that may exist, and where.
//   - An end is forgotten by its endpoint only after its record is in the stream.
//   - A client is told only what is in the stream.
package cell

import (
	"fmt"
	"slices"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/crash"
	"damsonwinch/pkg/quota"
	"damsonwinch/pkg/wire"
)

// Cell is the owner's view of one cell.
type Cell struct {
	options Options
	token   int
	queues  map[string]damsonwinch.Queue
	jobs    map[string]*job
	// activeJobs holds the jobs that have not ended, in activeJobs of acceptance.
	activeJobs []*job
	// openPhases holds the phases with tasks that may start, the most urgent first.
	openPhases []*phase
	endpoints  map[damsonwinch.Life]*endpoint
	// sortedEndpoints holds the endpoints in order of their IDs, so that choices do not
	// depend on the order of a map.
	sortedEndpoints []*endpoint
	// zones holds the endpoints' zones in order of their names.
	zones []*zone
	// suspects are tasks that are to be started on trial, and trials the endpoints where one
	// is on trial or is about to be.
	suspects           []*task
	probationEndpoints []*endpoint
	// baselineExits tells how often endpoints end by themselves, and trialEnds how often they do in
	// trials.
	baselineExits  baselineExitRate
	probationExits exits
	// queueExits tells, by queue, of the endpoints that have ended just after something of it had
	// begun there, and prone holds the queues with many of these.
	queueExits map[string]*exits
	crashProne map[string]bool
	// batching says that more events follow before anything is done about them.
	batching bool
	// placementDue says that something has happened since the last choice that may let
	// tasks start.
	placementDue bool
	// pollDue holds the endpoints to see about, unless it is all of them.
	pollDue []*endpoint
	pollAll bool
	// noCapacityCheck says that the endpoints start whatever they are told.
	noCapacityCheck bool
	// step counts events. Looks and answers of different connections overtake
	// each other; steps tell what was sent before what was known.
	step int
	now  time.Time
	// suspendedFor is for how long this owner's machine has been suspended.
	suspendedFor time.Duration
	// resumedAt is when this owner last went on after it had stood still: what it hears for a
	// moment after that has happened before.
	resumedAt time.Time
	// lastTickAt is when time was last let pass.
	lastTickAt time.Time
	// confirmedAt is until when this owner's claim stood for certain.
	confirmedAt time.Time
	commits     commits
	// permitCalls counts the calls for permits on their way.
	permitCalls int
	// statsByQueue tells, by queue, how much work comes and how long it takes.
	statsByQueue map[string]*queueStats
	// quota holds what customers may have running here and have, overQuota those of whom something
	// waits for that, as the last choice found, and inLine those of whom nothing else may begin.
	quota        *quota.Allowances
	overQuota    map[string]bool
	quotaBlocked map[string]bool
	// overQuotaSince is since when customers wait for their allowances.
	overQuotaSince map[string]time.Time
	// queueStatsDirty says that something was learned since it was last recorded.
	queueStatsDirty      bool
	queueStatsRecordedAt time.Time
	effects              Effects
	stats                Stats
}

// New returns an empty cell for an owner with a fencing token. It orders nothing
// before Load has been called.
func New(options Options, token int) *Cell {
	if options.CrashRules == (crash.Rules{}) {
		options.CrashRules = crash.DefaultRules()
	}
	return &Cell{
		options: options, token: token,
		queues:         map[string]damsonwinch.Queue{},
		jobs:           map[string]*job{},
		endpoints:      map[damsonwinch.Life]*endpoint{},
		commits:        newCommits(),
		statsByQueue:   map[string]*queueStats{},
		queueExits:     map[string]*exits{},
		crashProne:     map[string]bool{},
		quota:          quota.NewAllowances(),
		overQuota:      map[string]bool{},
		quotaBlocked:   map[string]bool{},
		overQuotaSince: map[string]time.Time{},
	}
}

// beginEvent notes an event and the time at which it came.
func (c *Cell) beginEvent(now time.Time) {
	if !c.now.IsZero() && now.Sub(c.now) > pauseThreshold {
		c.resumedAt = now
	}
	c.now = now
	c.step++
}

const (
	// pauseThreshold is the time between two events from which an owner has stood still: it ticks
	// four times a second when nothing happens.
	pauseThreshold = 400 * time.Millisecond
	// catchUpTime is how long it takes to hear of what happened meanwhile.
	catchUpTime = 100 * time.Millisecond
)

// Suspended takes for how long the machine has been suspended since this owner began. The steady
// clock hasn't counted that: what this owner holds for certain may long be over, and another
// may own the cell. It gives no order any more. Suspended says whether that is so.
func (c *Cell) Suspended(total time.Duration) bool {
	slept := total - c.suspendedFor
	if slept < damsonwinch.NegligibleSuspension {
		return false
	}
	c.suspendedFor = total
	c.effects.OwnershipLost = true
	c.effects.LogLines = append(c.effects.LogLines, LogLine{Message: "owner was suspended", Reason: fmt.Sprintf("for %d ms; it gives its cell up", slept.Milliseconds())})
	return true
}

// caughtUp says whether this owner hears of things when they happen.
func (c *Cell) caughtUp() bool {
	return c.now.Sub(c.resumedAt) >= catchUpTime
}

// SetQueues takes the queues in force. Queues that have gone are remembered for
// the jobs that still run.
func (c *Cell) SetQueues(now time.Time, queues []damsonwinch.Queue) {
	c.beginEvent(now)
	for _, queue := range queues {
		c.queues[queue.Name] = queue
	}
}

// ConfirmOwnership takes note that the owner's claim stood at a moment.
func (c *Cell) ConfirmOwnership(at time.Time) {
	if at.After(c.confirmedAt) {
		c.confirmedAt = at
	}
}

// mayRenewLeases says whether this owner may go on prolonging leases: a new owner counts on
// earlier ones to end that in time.
func (c *Cell) mayRenewLeases() bool {
	return c.now.Sub(c.confirmedAt) < c.options.RenewalGrace
}

// Tick lets time pass.
func (c *Cell) Tick(now time.Time) {
	c.beginEvent(now)
	c.lastTickAt = now
	c.endpointsChanged()
	c.startDueRounds()
	c.expireLeases()
	c.resendStops()
	c.updateOverdue()
	c.requestBoxList()
	c.checkProbations()
	c.baselineExits.observe(now, c.countExposed())
	c.refuseUnrecordedJobs()
	c.deferPhases()
	for _, e := range c.sortedEndpoints {
		c.continueWithdrawal(e)
	}
	c.forgetEndedJobs()
	c.logQuotaWaits()
	c.finishEvent()
}

// Batch takes several events and does what follows from all of them at once: the
// more an owner has to do, the less each event costs.
func (c *Cell) Batch(events func()) {
	c.batching = true
	events()
	c.batching = false
	c.finishEvent()
}

// finishEvent does what follows from an event: new starts, looks and a commit.
func (c *Cell) finishEvent() {
	if c.batching {
		return
	}
	c.place()
	c.sendDuePolls()
	c.flush()
}

// endpointsChanged notes that something about the endpoints may let tasks start or call for
// looks.
func (c *Cell) endpointsChanged() {
	c.placementDue, c.pollAll = true, true
}

// TakeEffects returns the effects that have come up since the last call.
func (c *Cell) TakeEffects() Effects {
	taken := c.effects
	c.effects = Effects{}
	return taken
}

// sortOpen keeps the open phases in order of urgency.
func (c *Cell) insertOpenPhase(p *phase) {
	at, _ := slices.BinarySearchFunc(c.openPhases, p, comparePhases)
	c.openPhases = slices.Insert(c.openPhases, at, p)
}

func (c *Cell) removeOpenPhase(p *phase) {
	if at := slices.Index(c.openPhases, p); at >= 0 {
		c.openPhases = slices.Delete(c.openPhases, at, at+1)
	}
}

// Pending counts a queue's recorded jobs none of whose tasks has begun.
func (c *Cell) Pending(queue string) int {
	count := 0
	for _, j := range c.activeJobs {
		if j.queue == queue && j.recorded && !j.begun && !j.ended() {
			count++
		}
	}
	return count
}

// HasWaitingTasks says whether tasks that may start have found no room.
func (c *Cell) HasWaitingTasks() bool {
	return len(c.openPhases) > 0
}

// HasJob says whether a job has been handed in, and not been forgotten or refused.
func (c *Cell) HasJob(id string) bool {
	return c.jobs[id] != nil
}

// Show returns what may be told of a job to a caller.
func (c *Cell) Show(args wire.JobArgs) (wire.JobState, bool) {
	j, known := c.jobs[args.Id]
	if !known || !j.recorded || !j.visibleTo(args) {
		return "", false
	}
	if j.recordedState == wire.JobStateQueued && j.placed {
		return wire.JobStateRunning, true
	}
	return j.recordedState, true
}
