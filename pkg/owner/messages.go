package owner

import (
	"time"

	"damsonwinch"
	"damsonwinch/pkg/cell"
	"damsonwinch/pkg/wire"
)

// message is something that the owner's task is told.
type message interface {
	apply(o *Owner, now time.Time)
}

type configured struct {
	configuration damsonwinch.Configuration
	guarded       bool
}

func (m configured) apply(o *Owner, now time.Time) {
	o.cell.SetQueues(now, m.configuration.Queues)
	o.cell.SetCustomers(now, m.configuration.Version, m.configuration.Customers)
	o.cell.SetRejectsOverload(now, m.guarded)
}

type confirmed struct{ at time.Time }

func (m confirmed) apply(o *Owner, _ time.Time) { o.cell.ConfirmOwnership(m.at) }

type endpointsListed struct{ endpoints []damsonwinch.Endpoint }

func (m endpointsListed) apply(o *Owner, now time.Time) { o.cell.SetEndpoints(now, m.endpoints) }

type boxesListed struct {
	boxes []damsonwinch.Box
	err   error
}

func (m boxesListed) apply(o *Owner, now time.Time) {
	o.boxesOut = false
	if m.err != nil {
		o.deps.Logger.WithError(m.err).Warn("list of boxes not read")
		return
	}
	o.cell.SetBoxes(now, m.boxes)
}

type committed struct{ number int }

func (m committed) apply(o *Owner, now time.Time) {
	if o.move.frozen {
		o.move.withheld = &m
		return
	}
	o.cell.Committed(now, m.number)
	o.answerSyncs(now, !o.cell.AllowancesPending())
}

type started struct {
	endpoint damsonwinch.Life
	run      damsonwinch.Run
	err      error
}

func (m started) apply(o *Owner, now time.Time) { o.cell.Started(now, m.endpoint, m.run, m.err) }

type stopped struct {
	endpoint damsonwinch.Life
	run      damsonwinch.Run
	err      error
}

func (m stopped) apply(o *Owner, now time.Time) { o.cell.Stopped(now, m.endpoint, m.run, m.err) }

type paced struct {
	endpoint damsonwinch.Life
	run      damsonwinch.Run
	err      error
}

func (m paced) apply(o *Owner, now time.Time) { o.cell.SpeedSet(now, m.endpoint, m.run, m.err) }

type advised struct {
	ask     cell.PermitRequest
	sentAt  time.Time
	permits []damsonwinch.Permit
	valid   time.Duration
	err     error
}

func (m advised) apply(o *Owner, now time.Time) {
	o.cell.Advised(now, m.sentAt, m.ask, m.permits, m.valid, m.err)
}

type looked struct {
	endpoint damsonwinch.Life
	number   int
	look     damsonwinch.PollReply
	err      error
}

func (m looked) apply(o *Owner, now time.Time) {
	o.cell.Polled(now, m.endpoint, m.number, m.look, m.err)
}

// clientCall is a client's call that changes a job.
type clientCall struct {
	args wire.JobArgs
	// at is when the call came to the owner.
	at     time.Time
	cancel bool
	reply  chan<- wire.JobReply
}

func (m clientCall) apply(o *Owner, now time.Time) {
	if !m.cancel && o.behind(now, m) {
		m.reply <- o.refuseBehind(now, m)
		return
	}
	o.ticket++
	o.calls[o.ticket] = m.reply
	if m.cancel {
		o.cell.Cancel(now, m.args, o.ticket)
		return
	}
	o.cell.Submit(now, m.args, o.ticket)
}

// syncCall is the fleet planner's call.
type syncCall struct {
	args  wire.SyncArgs
	reply chan<- wire.SyncReply
}

func (m syncCall) apply(o *Owner, now time.Time) {
	if m.args.Token < o.plannerToken {
		m.reply <- wire.SyncReply{}
		return
	}
	o.plannerToken = m.args.Token
	o.cell.ApplySync(now, m.args)
	if len(m.args.Allowances) > 0 {
		o.syncs = append(o.syncs, waitingSync{reply: m.reply, since: now})
		return
	}
	m.reply <- o.cell.Report(now)
}

// waitingSync is a call of the planner that is answered once its word on allowances is recorded:
// what it has taken back here is free for others then.
type waitingSync struct {
	reply chan<- wire.SyncReply
	since time.Time
}

// syncWait is how long the planner waits for that. It has to know how the cell is, also while the
// store is away.
const syncWait = 80 * time.Millisecond

// answerSyncs answers the planner's calls that have waited long enough, or all.
func (o *Owner) answerSyncs(now time.Time, all bool) {
	for len(o.syncs) > 0 && (all || now.Sub(o.syncs[0].since) >= syncWait) {
		o.syncs[0].reply <- o.cell.Report(now)
		o.syncs = o.syncs[1:]
	}
}

// question is a client's call that changes nothing.
type question struct {
	args  wire.JobArgs
	reply chan<- wire.JobReply
}

func (m question) apply(o *Owner, _ time.Time) {
	if m.args.Id == "" {
		m.reply <- wire.JobReply{Outcome: wire.JobOutcomeFound, Pending: o.cell.Pending(m.args.Queue)}
		return
	}
	state, known := o.cell.Show(m.args)
	if !known {
		m.reply <- wire.JobReply{Outcome: wire.JobOutcomeNoSuchJob}
		return
	}
	m.reply <- wire.JobReply{Outcome: wire.JobOutcomeFound, State: state}
}
