// Package planner runs the fleet planner on the one node that owns the fleet's cell. The planner gets
// reports from the owners of all cells, has package boxplan decide on the boxes, records each order and
// then sends it to the platform. It also divides the customers' caps among the cells by package quota.
package planner

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"damsonwinch"
	"damsonwinch/pkg/boxplan"
	"damsonwinch/pkg/evacuation"
	"damsonwinch/pkg/fairshare"
	"damsonwinch/pkg/metrics"
	"damsonwinch/pkg/quota"
	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/stream"
	"damsonwinch/pkg/wire"
)

const (
	// planInterval is the time between two plans. It is short because the most urgent jobs can wait for
	// only 1.2 s and still be on time, and they already wait for half of that.
	planInterval    = 100 * time.Millisecond
	boxListInterval = 400 * time.Millisecond // Between two requests for the list of boxes.
	// callTimeout bounds a call. For the list of boxes it bounds only the time without progress: the
	// list grows with the fleet and has 1.7 MB for 5,800 boxes.
	callTimeout     = 800 * time.Millisecond
	poolLogInterval = time.Second // Between two log lines on the pools.
	inboxCapacity   = 64          // Messages.
)

// Deps are the dependencies of a Planner.
type Deps struct {
	Store   damsonwinch.Store
	Fleet   damsonwinch.Fleet
	Clock   damsonwinch.Clock
	Logger  logrus.FieldLogger
	Metrics *metrics.Set
	// SuspendedTime returns for how long the machine has been suspended.
	SuspendedTime damsonwinch.SuspendedTime
	// Sync calls the owner of the cell args.Cell. The reply is the owner's report on the cell.
	Sync func(ctx context.Context, args wire.SyncArgs) (wire.SyncReply, error)
	// OnFirstBoxList is called with the number of boxes in the first list that has been received.
	OnFirstBoxList func(count int)
	// WaveReport returns a report to the operator that a wave is completed, or else that it has started,
	// and the stream to append it to.
	WaveReport func(wave int, completed bool) (damsonwinch.Stream, damsonwinch.Record)
}

// Options identify a Planner and hold the durations by which it plans.
type Options struct {
	Node           string             // The name of this node.
	Cell           string             // The name of the fleet's cell.
	Stream         damsonwinch.Stream // The planner's stream: orders, progress of waves, allowances.
	Token          int                // The epoch by which this node owns the fleet's cell.
	BoxPlanOptions boxplan.Options
	// EvacuationBound is the longest time after the evacuation of a zone for which an owner that doesn't
	// know of it may start tasks there.
	EvacuationBound time.Duration
}

// Planner is a running fleet planner. One goroutine handles messages and plans, calls run in others.
type Planner struct {
	deps        Deps
	options     Options
	boxPlan     *boxplan.Planner
	allocator   *quota.Allocator
	arrivals    *fairshare.Totals // The customers' arrivals in all cells.
	evacuations *evacuation.Tracker
	inbox       chan any
	group       *errgroup.Group
	ctx         context.Context // Ends with the planner.
	cancel      context.CancelFunc
	done        chan struct{}
	writer      *stream.Writer
	pools       []damsonwinch.Pool
	layout      shard.Layout
	// takenOverAt is when this planner took over.
	takenOverAt time.Time
	// syncInFlight holds the cells whose owners are being called; syncedAt is when each was called last.
	syncInFlight     map[string]bool
	syncedAt         map[string]time.Time
	allocatedAt      time.Time // The last allocation round of allocateThrottled.
	boxesRequestedAt time.Time // The newest request for the list of boxes.
	boxListInFlight  bool
	boxListReceived  bool // At least one has been received.
	// rowProblems holds the problems of invalid rows in the newest list, by box and endpoint.
	rowProblems map[string]string
	// pendingRecords are the records for the next append. After that append pendingOrders are sent to
	// the platform, and the raised allowances of pendingCustomers to the cells.
	pendingRecords   []damsonwinch.Record
	pendingOrders    []boxplan.Order
	pendingCustomers []string
	appendInFlight   bool
	reportInFlight   map[int]bool // By wave.
	poolsLoggedAt    time.Time
	// suspendedBefore is for how long the machine had been suspended when this planner started.
	suspendedBefore time.Duration
}

// The planner's goroutine handles these messages, and alone holds the plan and the allowances.
type (
	configured struct {
		configuration damsonwinch.Configuration
		layout        shard.Layout
	}
	waveRequested  struct{ wave damsonwinch.Wave }
	zonesEvacuated struct{ since map[string]time.Time }
	synced         struct { // The result of a call to the owner of a cell.
		cell  string
		reply wire.SyncReply
		err   error
	}
	boxesListed struct { // The result of a request for the list of boxes, sent at requestedAt.
		boxes       []damsonwinch.Box
		requestedAt time.Time
		err         error
	}
	appended struct { // The result of an append, with the orders and customers that waited for it.
		orders    []boxplan.Order
		customers []string
		err       error
	}
	orderResultReceived struct { // The platform's response to an order.
		order boxplan.Order
		err   error
	}
	waveReported struct { // The result of a report to the operator.
		wave      int
		completed bool
		err       error
	}
)

// New starts a planner. It stops at Close, an error, a suspension of the machine or another's takeover.
func New(deps Deps, options Options) *Planner {
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	p := &Planner{
		deps: deps, options: options, boxPlan: boxplan.New(options.BoxPlanOptions), allocator: quota.NewAllocator(),
		arrivals: fairshare.NewTotals(), evacuations: evacuation.New(options.EvacuationBound), inbox: make(chan any, inboxCapacity),
		writer: stream.New(stream.Deps{Store: deps.Store, Clock: deps.Clock, Metrics: deps.Metrics}, options.Stream, options.Cell, options.Token),
		group:  group, ctx: ctx, cancel: cancel, done: make(chan struct{}), syncInFlight: map[string]bool{}, syncedAt: map[string]time.Time{}, reportInFlight: map[int]bool{},
		suspendedBefore: deps.SuspendedTime.Total(),
	}
	group.Go(p.run)
	return p
}

// Done returns a channel that is closed once the planner has stopped, by itself or by Close.
func (p *Planner) Done() <-chan struct{} {
	return p.done
}

// Token returns the epoch by which this node owns the fleet's cell, the fencing token of its orders.
func (p *Planner) Token() int {
	return p.options.Token
}

// Close stops the planner, waits for its calls, and returns the error that stopped it before, if any.
func (p *Planner) Close() error {
	p.cancel()
	if err := p.group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// Configure sets the configuration in force and the cells' layout. Nothing is planned while it is undecided.
func (p *Planner) Configure(configuration damsonwinch.Configuration, layout shard.Layout) {
	p.send(configured{configuration: configuration, layout: layout})
}

// SetWave adds or changes a maintenance wave.
func (p *Planner) SetWave(wave damsonwinch.Wave) {
	p.send(waveRequested{wave: wave})
}

// SetEvacuatedZones sets the availability zones in which the operator wants no task to start, and since when
// this node has known of each evacuation. The map must not change any more.
func (p *Planner) SetEvacuatedZones(since map[string]time.Time) {
	p.send(zonesEvacuated{since: since})
}

// send queues a message, which is dropped if the planner is stopped. It blocks while the inbox is full.
func (p *Planner) send(m any) {
	select {
	case p.inbox <- m:
	case <-p.ctx.Done():
	}
}

// run takes over from earlier planners, then handles messages and plans until the planner is stopped.
func (p *Planner) run() error {
	defer close(p.done)
	defer p.cancel()
	defer p.setEvacuationGauges(nil)
	if err := p.takeOver(); err != nil {
		p.deps.Logger.WithError(err).Warn("planning not taken over")
		return err
	}
	ticker := p.deps.Clock.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		var step func() error
		select {
		case <-p.ctx.Done():
			return p.ctx.Err()
		case m := <-p.inbox:
			step = func() error { return p.handle(m) }
		case <-ticker.Chan():
			step = func() error { p.plan(); return nil }
		}
		if err := p.checkSuspension(); err != nil {
			return err
		}
		if err := step(); err != nil {
			p.deps.Logger.WithError(err).Warn("planning lost")
			return err
		}
	}
}

var errSuspended = errors.New("the machine was suspended")

// checkSuspension returns an error once the machine has been suspended: another node may be planning by
// then, and what this node knows of the boxes is outdated. It must send no more orders.
func (p *Planner) checkSuspension() error {
	suspended := p.deps.SuspendedTime.Total() - p.suspendedBefore
	if suspended < damsonwinch.NegligibleSuspension {
		return nil
	}
	p.deps.Logger.WithField("slept_ms", suspended.Milliseconds()).Warn("planning given up: the machine was suspended")
	return errSuspended
}

// takeOver keeps earlier planners from writing to the stream and then loads what they recorded.
func (p *Planner) takeOver() error {
	records, err := p.writer.TakeOver(p.ctx)
	if err != nil {
		return err
	}
	for _, record := range records {
		if err := p.loadRecord(record); err != nil {
			return err
		}
	}
	p.takenOverAt = p.deps.Clock.Now()
	p.deps.Logger.WithFields(logrus.Fields{"token": p.options.Token, "records": len(records)}).Info("planning taken over")
	return nil
}

// handle handles a message in the planner's goroutine. An error stops the planner.
func (p *Planner) handle(m any) error {
	now := p.deps.Clock.Now()
	switch m := m.(type) {
	case configured:
		p.pools, p.layout = m.configuration.Pools, m.layout
		p.boxPlan.SetPools(p.pools, p.layout)
		p.evacuations.SetCells(p.workingCells())
		p.allocator.Configure(m.configuration.Version, m.configuration.Customers)
		p.arrivals.Configure(m.configuration.Customers)
		if p.layout.Decided() {
			p.allocator.SetCells(now, p.cellNames())
		}
		p.allocate()
	case waveRequested:
		p.boxPlan.SetWave(now, m.wave)
	case zonesEvacuated:
		p.setEvacuatedZones(m.since)
	case synced:
		delete(p.syncInFlight, m.cell)
		if m.err == nil {
			p.boxPlan.SetReport(now, m.cell, m.reply)
			p.arrivals.SetReport(now, m.cell, m.reply.Arrivals)
			p.evacuations.SetReport(now, m.cell, m.reply)
			p.allocator.HandleReply(m.cell, p.options.Token, m.reply)
			p.allocateThrottled(now)
		}
	case boxesListed:
		p.boxListInFlight = false
		if m.err != nil {
			p.deps.Logger.WithError(m.err).Warn("list of boxes not read")
			return nil
		}
		if !p.boxListReceived {
			p.boxListReceived = true
			p.deps.OnFirstBoxList(len(m.boxes))
		}
		p.logRowProblems(m.boxes)
		p.boxPlan.SetBoxes(m.requestedAt, m.boxes)
	case appended:
		return p.handleAppended(m)
	case orderResultReceived:
		p.handleOrderResult(now, m)
	case waveReported:
		delete(p.reportInFlight, m.wave)
		if m.err == nil {
			p.boxPlan.WaveReported(m.wave, m.completed)
		}
	}
	return nil
}

// plan requests the list of boxes and allocates caps if due, decides on orders and calls all cells' owners.
func (p *Planner) plan() {
	now := p.deps.Clock.Now()
	if !p.boxListInFlight && now.Sub(p.boxesRequestedAt) >= boxListInterval {
		p.boxListInFlight, p.boxesRequestedAt = true, now
		p.boxPlan.NoteBoxListRequest()
		p.requestBoxList(now)
	}
	if !p.layout.Decided() {
		return
	}
	if p.boxListReceived {
		for _, order := range p.boxPlan.Plan(now) {
			p.queueOrder(order, now)
		}
		for _, wave := range p.boxPlan.RevisedWaves() {
			p.queueWave(wave)
		}
		p.flush()
		p.reportWaves()
		p.logPools(now)
		p.trackEvacuations(now)
	}
	p.allocateThrottled(now)
	for _, cell := range p.cellNames() {
		p.syncUnlessInFlight(cell)
	}
}

// logPools logs the pools and the customers that need more than their allowances, once in poolLogInterval.
func (p *Planner) logPools(now time.Time) {
	if now.Sub(p.poolsLoggedAt) < poolLogInterval {
		return
	}
	p.poolsLoggedAt = now
	p.deps.Logger.WithField("pools", p.boxPlan.Summary()).Info("pools")
	if lines := p.allocator.Summary(); len(lines) > 0 {
		p.deps.Logger.WithField("customers", lines).Info("customers that want more than their allowances")
	}
}

// Prefixes of keys in the planner's stream. A box's name follows orderPrefix, a wave's number wavePrefix.
const (
	orderPrefix = "order/"
	wavePrefix  = "wave/"
)

// loadRecord restores state from a record of an earlier planner. A record of an unknown kind is an error.
func (p *Planner) loadRecord(record damsonwinch.Record) error {
	switch {
	case strings.HasPrefix(record.Key, orderPrefix):
		return p.loadOrder(record)
	case strings.HasPrefix(record.Key, wavePrefix):
		return p.loadWave(record)
	case strings.HasPrefix(record.Key, allocationPrefix):
		return p.loadAllocation(record)
	}
	return fmt.Errorf("unknown record key %s in the planner's stream", record.Key)
}
