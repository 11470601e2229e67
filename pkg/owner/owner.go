// Package owner runs the owner of a cell: a goroutine that passes events to the cell, a state machine
// of pkg/cell, and carries out the decisions that the cell makes. It appends records to the store,
// sends requests to endpoints and replies to clients.
package owner

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"damsonwinch"
	"damsonwinch/pkg/callturn"
	"damsonwinch/pkg/cell"
	"damsonwinch/pkg/metrics"
	"damsonwinch/pkg/stream"
	"damsonwinch/pkg/wire"
	"damsonwinch/pkg/workers"
)

// inboxCapacity is how many messages can wait while the owner's goroutine is busy. A sender blocks while
// the inbox is full.
const inboxCapacity = 256

// Deps are the dependencies of an Owner.
type Deps struct {
	Store     damsonwinch.Store
	Endpoints damsonwinch.EndpointControl
	Fleet     damsonwinch.Fleet
	Advisor   damsonwinch.Advisor
	// AdviceTurns are the turns of this node's cells at the advice service.
	AdviceTurns *callturn.Turns
	Clock       damsonwinch.Clock
	Logger      logrus.FieldLogger
	Metrics     *metrics.Set
	// SuspendedTime returns for how long the machine has been suspended.
	SuspendedTime damsonwinch.SuspendedTime
	// StoreAnsweredAt returns when the store last answered one of the calls that this node makes all the
	// time, such as its heartbeats.
	StoreAnsweredAt func() time.Time
	// ReservePartition reserves a partition of the store that no cell has used, and calls onReserved
	// with its number. PartitionStream returns the stream of a partition. MoveClaim replaces this
	// node's claim with the given token by a new one, under which the cell's records are in the
	// partition.
	ReservePartition func(onReserved func(partition int))
	PartitionStream  func(partition int) damsonwinch.Stream
	MoveClaim        func(cell string, token, partition int)
	// OnTasksWaiting is called when tasks begin to wait for capacity. It must not block.
	OnTasksWaiting func()
}

// Options identify the cell to own, and configure its owner.
type Options struct {
	Cell string
	// Stream holds the cell's records.
	Stream damsonwinch.Stream
	// Token is the epoch of the claim by which this node owns the cell. It is the fencing token of
	// the owner's appends and requests.
	Token int
	// MaxAppendBytes is the size of the largest append that the store accepts.
	MaxAppendBytes int
	CellOptions    cell.Options
}

// Owner owns one cell until it is closed, until a newer owner has taken the cell over, or until the
// machine has been suspended for longer than is negligible.
type Owner struct {
	deps    Deps
	options Options
	cell    *cell.Cell
	inbox   chan message
	group   *errgroup.Group
	// requestPool runs the requests to endpoints.
	requestPool *workers.Pool
	ctx         context.Context // Ends when the owner stops; the owner's network calls end then, too.
	cancel      context.CancelFunc
	// pendingCalls holds, by call ID, the channels for the replies to clients' calls that wait for one.
	// lastCallID is the highest ID that has been used.
	pendingCalls map[int]chan<- wire.JobReply
	lastCallID   int
	writer       *stream.Writer
	// waitingSyncs are the planner's calls that wait for a record to be stored, oldest first.
	waitingSyncs []waitingSync
	// plannerToken is the highest token of a fleet planner that has called. Calls with a lower token
	// come from an earlier planner and are ignored.
	plannerToken int
	// plannerCalledAt is when the fleet planner last called, or when this owner was started.
	plannerCalledAt time.Time
	// boxesRequestedAt is when the list of boxes was last requested.
	boxesRequestedAt time.Time
	boxListInFlight  bool
	move             move
	// suspendedBefore is for how long the machine had been suspended when this owner started.
	suspendedBefore time.Duration
	// publishedStats are the statistics of the cell that the node's counters include.
	publishedStats cell.Stats
	// tasksWaiting is set while tasks wait for capacity.
	tasksWaiting atomic.Bool
	// longRunningWait is the result of LongRunningWait, in nanoseconds.
	longRunningWait atomic.Int64
	// ready is closed once the cell's state has been loaded.
	ready chan struct{}
	// done is closed once the owner has stopped.
	done chan struct{}
}

// New starts an owner. It takes the cell over in the background; until then clients' calls wait.
func New(deps Deps, options Options) *Owner {
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	o := &Owner{
		deps: deps, options: options, cell: cell.New(options.CellOptions, options.Token), inbox: make(chan message, inboxCapacity),
		writer: stream.New(stream.Deps{Store: deps.Store, Clock: deps.Clock, Metrics: deps.Metrics}, options.Stream, options.Cell, options.Token),
		group:  group, requestPool: workers.New(ctx, group), ctx: ctx, cancel: cancel, pendingCalls: map[int]chan<- wire.JobReply{},
		ready: make(chan struct{}), done: make(chan struct{}), suspendedBefore: deps.SuspendedTime.Total(),
		plannerCalledAt: deps.Clock.Now(),
	}
	group.Go(o.run)
	return o
}

// Done returns a channel that is closed once the owner has stopped, by itself or by Close.
func (o *Owner) Done() <-chan struct{} {
	return o.done
}

// Token returns the epoch of the claim by which this node owns the cell.
func (o *Owner) Token() int {
	return o.options.Token
}

// Close stops the owner and waits for its calls to end. It returns the error with which the owner has
// stopped by itself, if any.
func (o *Owner) Close() error {
	o.cancel()
	if err := o.group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// run takes the cell over and handles messages until the owner stops. It returns the reason.
func (o *Owner) run() error {
	defer close(o.done)
	defer o.cancel()
	defer o.failPendingCalls()
	if err := o.takeOver(); err != nil {
		o.deps.Logger.WithError(err).Warn("cell not taken over")
		return err
	}
	close(o.ready)
	return o.loop()
}

// takeOver makes the store refuse appends of earlier owners and loads the cell from its stream.
func (o *Owner) takeOver() error {
	startedAt := o.deps.Clock.Now()
	records, err := o.writer.TakeOver(o.ctx)
	if err != nil {
		return err
	}
	now := o.deps.Clock.Now()
	if err := o.cell.Load(now, records); err != nil {
		return fmt.Errorf("load cell %s: %w", o.options.Cell, err)
	}
	o.deps.Logger.WithFields(logrus.Fields{
		"token": o.options.Token, "records": len(records), "took_ms": now.Sub(startedAt).Milliseconds(),
	}).Info("cell taken over")
	return nil
}

// loop handles messages and timer ticks until the owner stops.
func (o *Owner) loop() error {
	timer := o.deps.Clock.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-o.ctx.Done():
			return o.ctx.Err()
		case m := <-o.inbox:
			o.cell.Batch(func() { o.applyMessages(m) })
		case <-timer.Chan():
			// A reply that waits in the inbox must not count as missing.
			o.cell.Batch(o.applyWaitingMessages)
			now := o.deps.Clock.Now()
			o.cell.Tick(now)
			o.replyToSyncs(now, false)
			o.maybeStartMove(now)
			o.publishStats()
			o.longRunningWait.Store(int64(o.cell.LongestLongRunningWait(now)))
		}
		o.checkSuspension()
		if o.executeEffects() {
			o.deps.Logger.WithField("token", o.options.Token).Warn("cell lost: it may have a newer owner")
			return stream.ErrOwnershipLost
		}
		o.updateTasksWaiting()
		resetTimer(timer, o.cell.NextTick().Sub(o.deps.Clock.Now()))
	}
}

// checkSuspension tells the cell for how long the machine has been suspended since this owner started,
// and reports whether the cell may have a newer owner because of that. It must be called immediately
// before requests are sent, because decisions from before a suspension are out of date.
func (o *Owner) checkSuspension() bool {
	return o.cell.CheckSuspension(o.deps.SuspendedTime.Total() - o.suspendedBefore)
}

// HasWaitingTasks reports whether tasks of the cell wait for capacity. Any goroutine may call it.
func (o *Owner) HasWaitingTasks() bool {
	return o.tasksWaiting.Load()
}

// LongRunningWait returns how long the long-running task of the cell that waits longest has been waiting, as of
// the newest tick. Any goroutine may call it.
func (o *Owner) LongRunningWait() time.Duration {
	return time.Duration(o.longRunningWait.Load())
}

// updateTasksWaiting updates tasksWaiting and calls OnTasksWaiting if it has become true.
func (o *Owner) updateTasksWaiting() {
	waiting := o.cell.HasWaitingTasks()
	if o.tasksWaiting.Swap(waiting) != waiting && waiting {
		o.deps.OnTasksWaiting()
	}
}

// applyMessages applies a message and those that wait behind it in the inbox.
func (o *Owner) applyMessages(m message) {
	m.apply(o, o.deps.Clock.Now())
	o.applyWaitingMessages()
}

// applyWaitingMessages applies the messages that wait in the inbox, at most inboxCapacity.
func (o *Owner) applyWaitingMessages() {
	for range inboxCapacity {
		select {
		case m := <-o.inbox:
			m.apply(o, o.deps.Clock.Now())
		default:
			return
		}
	}
}

// resetTimer makes the timer fire after delay, or at once if delay is negative.
func resetTimer(timer interface {
	Stop() bool
	Reset(time.Duration) bool
	Chan() <-chan time.Time
}, delay time.Duration) {
	if !timer.Stop() {
		select {
		case <-timer.Chan():
		default:
		}
	}
	timer.Reset(max(delay, 0))
}

// send puts a message into the inbox. The message is dropped if the owner has stopped.
func (o *Owner) send(m message) {
	select {
	case o.inbox <- m:
	case <-o.ctx.Done():
	}
}

// failPendingCalls replies to the waiting clients that the outcome is unknown.
func (o *Owner) failPendingCalls() {
	for id, call := range o.pendingCalls {
		call <- wire.JobReply{Outcome: wire.JobOutcomeUnknown, Reason: "the owner of the cell has ended"}
		delete(o.pendingCalls, id)
	}
}
