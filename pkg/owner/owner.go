// Package owner runs the owner of a cell: a task that holds the cell's state and
// carries out its decisions, on the store and at the endpoints.
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
	"damsonwinch/pkg/cell"
	"damsonwinch/pkg/metrics"
	"damsonwinch/pkg/stream"
	"damsonwinch/pkg/wire"
	"damsonwinch/pkg/workers"
)

// inboxSize lets answers wait while the owner is at work; who finds it full waits.
const inboxSize = 256

// Deps are what an owner works with.
type Deps struct {
	Store     damsonwinch.Store
	Endpoints damsonwinch.EndpointControl
	Fleet     damsonwinch.Fleet
	Advisor   damsonwinch.Advisor
	Clock     damsonwinch.Clock
	Logger    logrus.FieldLogger
	Metrics   *metrics.Set
	// SuspendedTime tells of suspensions of the machine.
	SuspendedTime damsonwinch.SuspendedTime
	// StoreAnsweredAt returns when the store last answered this node.
	StoreAnsweredAt func() time.Time
	// ReservePartition takes a partition of the store that no cell has had, StreamAt returns its
	// stream, and Move has the cell that is owned by a token claimed anew in it.
	ReservePartition func(take func(number int))
	PartitionStream  func(number int) damsonwinch.Stream
	MoveClaim        func(cell string, token, number int)
	// OnTasksWaiting is told when tasks begin to wait for room. It must not wait.
	OnTasksWaiting func()
}

// Options say what is owned.
type Options struct {
	Cell string
	// Stream holds the cell's records.
	Stream damsonwinch.Stream
	// Token is the epoch of the claim by which the cell is owned.
	Token int
	// MaxAppendBytes is the most that the store takes in a call.
	MaxAppendBytes int
	CellOptions    cell.Options
}

// Owner owns one cell until it is closed or deposed.
type Owner struct {
	deps    Deps
	options Options
	cell    *cell.Cell
	inbox   chan message
	group   *errgroup.Group
	// calling makes the calls at endpoints.
	calling *workers.Pool
	ctx     context.Context // Ends with the owner; net calls hang on it.
	cancel  context.CancelFunc
	// calls holds the waiting calls of clients by ticket.
	calls  map[int]chan<- wire.JobReply
	ticket int
	writer *stream.Writer
	// syncs are calls of the planner that wait for a record.
	syncs []waitingSync
	// plannerToken is the epoch of the newest fleet planner heard of.
	plannerToken int
	boxesAt      time.Time
	boxesOut     bool
	move         move
	// sleptBefore is for how long the machine had been suspended when this owner began.
	sleptBefore time.Duration
	// published are the figures of the cell that the node's counters have.
	published cell.Stats
	// waits says that tasks wait for room.
	waits atomic.Bool
	// ready is closed once the cell's state has been loaded.
	ready chan struct{}
	done  chan struct{}
}

// New starts to own a cell.
func New(deps Deps, options Options) *Owner {
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	o := &Owner{
		deps: deps, options: options, cell: cell.New(options.CellOptions, options.Token), inbox: make(chan message, inboxSize),
		writer: stream.New(stream.Deps{Store: deps.Store, Clock: deps.Clock, Metrics: deps.Metrics}, options.Stream, options.Cell, options.Token),
		group:  group, calling: workers.New(ctx, group), ctx: ctx, cancel: cancel, calls: map[int]chan<- wire.JobReply{},
		ready: make(chan struct{}), done: make(chan struct{}), sleptBefore: deps.SuspendedTime.Total(),
	}
	group.Go(o.run)
	return o
}

// Done is closed once the owner has ended, by itself or not.
func (o *Owner) Done() <-chan struct{} {
	return o.done
}

// Token returns the epoch by which the cell is owned.
func (o *Owner) Token() int {
	return o.options.Token
}

// Close ends the owner and waits for its calls to end.
func (o *Owner) Close() error {
	o.cancel()
	if err := o.group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

func (o *Owner) run() error {
	defer close(o.done)
	defer o.cancel()
	defer o.failCalls()
	if err := o.takeOver(); err != nil {
		o.deps.Logger.WithError(err).Warn("cell not taken over")
		return err
	}
	close(o.ready)
	return o.loop()
}

// takeOver loads what the stream holds, after earlier owners are kept out of it.
func (o *Owner) takeOver() error {
	begun := o.deps.Clock.Now()
	records, err := o.writer.TakeOver(o.ctx)
	if err != nil {
		return err
	}
	now := o.deps.Clock.Now()
	if err := o.cell.Load(now, records); err != nil {
		return fmt.Errorf("load cell %s: %w", o.options.Cell, err)
	}
	o.deps.Logger.WithFields(logrus.Fields{
		"token": o.options.Token, "records": len(records), "took_ms": now.Sub(begun).Milliseconds(),
	}).Info("cell taken over")
	return nil
}

// loop takes messages and lets time pass until the owner ends.
func (o *Owner) loop() error {
	timer := o.deps.Clock.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-o.ctx.Done():
			return o.ctx.Err()
		case m := <-o.inbox:
			o.cell.Batch(func() { o.takeAll(m) })
		case <-timer.Chan():
			now := o.deps.Clock.Now()
			o.cell.Tick(now)
			o.answerSyncs(now, false)
			o.considerMove(now)
			o.publish()
		}
		o.wake()
		if o.carryOut() {
			o.deps.Logger.WithField("token", o.options.Token).Warn("cell lost: a newer owner may give orders")
			return stream.ErrDeposed
		}
		o.noteWaits()
		resetTimer(timer, o.cell.NextTick().Sub(o.deps.Clock.Now()))
	}
}

// wake tells the cell for how long the machine has been suspended. It must come right before
// orders are given: what was decided before a suspension is no longer true.
func (o *Owner) wake() bool {
	return o.cell.Suspended(o.deps.SuspendedTime.Total() - o.sleptBefore)
}

// HasWaitingTasks says whether tasks of the cell wait for room.
func (o *Owner) HasWaitingTasks() bool {
	return o.waits.Load()
}

func (o *Owner) noteWaits() {
	waits := o.cell.HasWaitingTasks()
	if o.waits.Swap(waits) != waits && waits {
		o.deps.OnTasksWaiting()
	}
}

// takeAll takes a message and those that wait behind it, as many as an inbox holds
// at most.
func (o *Owner) takeAll(m message) {
	for taken := 1; ; taken++ {
		m.apply(o, o.deps.Clock.Now())
		if taken >= inboxSize {
			return
		}
		select {
		case m = <-o.inbox:
		default:
			return
		}
	}
}

func resetTimer(timer interface {
	Stop() bool
	Reset(time.Duration) bool
	Chan() <-chan time.Time
}, length time.Duration) {
	if !timer.Stop() {
		select {
		case <-timer.Chan():
		default:
		}
	}
	timer.Reset(max(length, 0))
}

// send gives the owner a message; it is dropped once the owner has ended.
func (o *Owner) send(m message) {
	select {
	case o.inbox <- m:
	case <-o.ctx.Done():
	}
}

// failCalls tells the waiting clients that nobody knows.
func (o *Owner) failCalls() {
	for ticket, call := range o.calls {
		call <- wire.JobReply{Outcome: wire.JobOutcomeUnknown, Reason: "the owner of the cell has ended"}
		delete(o.calls, ticket)
	}
}
