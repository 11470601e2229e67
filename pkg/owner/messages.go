package owner

import (
	"time"

	"damsonwinch"
	"damsonwinch/pkg/cell"
	"damsonwinch/pkg/wire"
)

// message is an event that the owner's goroutine applies to the cell.
type message interface {
	apply(o *Owner, now time.Time)
}

// configured reports that a configuration has come into force.
type configured struct {
	configuration   damsonwinch.Configuration
	queues          *cell.QueueTable
	rejectsOverload bool
}

// apply puts the configuration in force in the cell.
func (m configured) apply(o *Owner, now time.Time) {
	o.cell.SetQueues(now, m.queues)
	o.cell.SetCustomers(now, m.configuration.Version, m.configuration.Customers)
	o.cell.SetRejectsOverload(now, m.rejectsOverload)
}

// evacuationsConfirmed reports the evacuated zones, and when no others were evacuated.
type evacuationsConfirmed struct {
	zones []string
	at    time.Time
}

func (m evacuationsConfirmed) apply(o *Owner, now time.Time) {
	o.cell.SetEvacuations(now, m.zones, m.at)
}

// ownershipConfirmed reports that the owner's claim was in force at the time at.
type ownershipConfirmed struct{ at time.Time }

func (m ownershipConfirmed) apply(o *Owner, _ time.Time) { o.cell.ConfirmOwnership(m.at) }

// endpointsListed holds all endpoints of the cell, as registered now.
type endpointsListed struct{ endpoints []damsonwinch.Endpoint }

func (m endpointsListed) apply(o *Owner, now time.Time) { o.cell.SetEndpoints(now, m.endpoints) }

// boxesListed is the result of a request for the list of boxes that was made at requestedAt.
type boxesListed struct {
	boxes       []damsonwinch.Box
	requestedAt time.Time
	err         error
}

// apply passes the list to the cell. If the request failed it only logs the error.
func (m boxesListed) apply(o *Owner, now time.Time) {
	o.boxListInFlight = false
	if m.err != nil {
		o.deps.Logger.WithError(m.err).Warn("list of boxes not read")
		return
	}
	o.cell.SetBoxes(now, m.requestedAt, m.boxes)
}

// committed reports that a commit of the cell is stored.
type committed struct{ number int }

// apply tells the cell that the commit is stored, and answers calls of the planner that waited for it. While
// the cell is being moved, the message is withheld.
func (m committed) apply(o *Owner, now time.Time) {
	if o.move.frozen {
		o.move.withheldCommit = &m
		return
	}
	o.cell.Committed(now, m.number)
	o.replyToSyncs(now, !o.cell.AllowancesPending())
}

// started is the result of a request to start a run on an endpoint.
type started struct {
	endpoint damsonwinch.Life
	run      damsonwinch.Run
	err      error
}

func (m started) apply(o *Owner, now time.Time) { o.cell.Started(now, m.endpoint, m.run, m.err) }

// stopped is the result of a request to stop a run.
type stopped struct {
	endpoint damsonwinch.Life
	run      damsonwinch.Run
	err      error
}

func (m stopped) apply(o *Owner, now time.Time) { o.cell.Stopped(now, m.endpoint, m.run, m.err) }

// speedSet is the result of a request to set the speed of a run.
type speedSet struct {
	endpoint damsonwinch.Life
	run      damsonwinch.Run
	err      error
}

func (m speedSet) apply(o *Owner, now time.Time) { o.cell.SpeedSet(now, m.endpoint, m.run, m.err) }

// polled is the result of a poll of an endpoint. number identifies the poll.
type polled struct {
	endpoint damsonwinch.Life
	number   int
	reply    damsonwinch.PollReply
	err      error
}

func (m polled) apply(o *Owner, now time.Time) {
	o.cell.Polled(now, m.endpoint, m.number, m.reply, m.err)
}

// jobChange is a client's call that submits or cancels a job.
type jobChange struct {
	args wire.JobArgs
	// receivedAt is when the call reached the owner, before it waited in the inbox.
	receivedAt time.Time
	cancel     bool
	reply      chan<- wire.JobReply
}

// apply passes the call to the cell, which replies later by the call's ID. A submission that has waited too
// long is refused.
func (m jobChange) apply(o *Owner, now time.Time) {
	if !m.cancel && o.isOverloaded(now, m) {
		m.reply <- o.refuseOverloaded(now, m)
		return
	}
	callID := o.registerCall(m.reply)
	if m.cancel {
		o.cell.Cancel(now, m.args, callID)
		return
	}
	o.cell.Submit(now, m.args, callID)
}

// registerCall stores the channel for the reply to a client's call and returns the ID of the call.
func (o *Owner) registerCall(reply chan<- wire.JobReply) int {
	o.lastCallID++
	o.pendingCalls[o.lastCallID] = reply
	return o.lastCallID
}

// syncCall is a call of the fleet planner.
type syncCall struct {
	args  wire.SyncArgs
	reply chan<- wire.SyncReply
}

// apply passes the planner's directives and allowances to the cell. It replies at once, or, if there are
// allowances, once they are stored. Calls of an earlier planner are refused.
func (m syncCall) apply(o *Owner, now time.Time) {
	if m.args.Token < o.plannerToken {
		m.reply <- wire.SyncReply{}
		return
	}
	o.plannerToken, o.plannerCalledAt = m.args.Token, now
	o.cell.ApplySync(now, m.args)
	if len(m.args.Allowances) > 0 {
		o.waitingSyncs = append(o.waitingSyncs, waitingSync{reply: m.reply, since: now})
		return
	}
	m.reply <- o.cell.Report(now)
}

// waitingSync is a call of the planner that is answered once its allowances are stored. If an allowance
// was lowered, the planner may give the difference to other cells from then on.
type waitingSync struct {
	reply chan<- wire.SyncReply
	since time.Time
}

// maxSyncWait is the longest time for which a call of the planner waits for the store: the planner needs
// reports on the cell even while the store doesn't answer.
const maxSyncWait = 80 * time.Millisecond

// replyToSyncs answers the planner's calls that have waited for maxSyncWait, or all of them.
func (o *Owner) replyToSyncs(now time.Time, all bool) {
	for len(o.waitingSyncs) > 0 && (all || now.Sub(o.waitingSyncs[0].since) >= maxSyncWait) {
		o.waitingSyncs[0].reply <- o.cell.Report(now)
		o.waitingSyncs = o.waitingSyncs[1:]
	}
}

// jobQuery is a client's call that changes nothing. It asks for the state of a job or, if its arguments
// have no job's ID, for the number of pending jobs of a queue.
type jobQuery struct {
	args  wire.JobArgs
	reply chan<- wire.JobReply
}

// apply passes the call to the cell, which replies by the call's ID.
func (m jobQuery) apply(o *Owner, now time.Time) {
	callID := o.registerCall(m.reply)
	if m.args.Id == "" {
		o.cell.CountPending(now, m.args, callID)
		return
	}
	o.cell.Query(now, m.args, callID)
}
