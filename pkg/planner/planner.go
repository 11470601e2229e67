// Package planner runs the fleet planner: the task of the one node that owns the
// fleet's cell. It asks the owners of all cells how they are, lets pkg/supply
// decide, records each order and gives it.
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
	"damsonwinch/pkg/idle"
	"damsonwinch/pkg/metrics"
	"damsonwinch/pkg/quota"
	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/stream"
	"damsonwinch/pkg/supply"
	"damsonwinch/pkg/wire"
)

// Times of the planner.
const (
	// planInterval is the time between two plans: a queue in time for 1.2 s is waiting for half of that already.
	planInterval = 100 * time.Millisecond
	// boxListInterval is the time between two readings of the list of boxes.
	boxListInterval = 400 * time.Millisecond
	// callTimeout bounds a call to a cell's owner or the control of boxes. The list of
	// boxes may be silent for so long; it is as large as the fleet, 1.7 MB with 5,800.
	callTimeout = 800 * time.Millisecond
	// poolLogInterval is the time between two log lines on the pools.
	poolLogInterval = time.Second
	inboxSize       = 64
)

// Deps are what a planner works with.
type Deps struct {
	Store   damsonwinch.Store
	Fleet   damsonwinch.Fleet
	Clock   damsonwinch.Clock
	Logger  logrus.FieldLogger
	Metrics *metrics.Set
	// SuspendedTime tells of suspensions of the machine.
	SuspendedTime damsonwinch.Slept
	// Sync asks the owner of a cell.
	Sync func(ctx context.Context, args wire.SyncArgs) (wire.SyncReply, error)
	// OnFirstBoxList is told how many boxes the first list that was read has.
	OnFirstBoxList func(count int)
	// WaveReport returns the record that tells the operator of a wave.
	WaveReport func(wave int, completed bool) (damsonwinch.Stream, damsonwinch.Record)
}

// Options say who plans.
type Options struct {
	Node   string
	Cell   string
	Stream damsonwinch.Stream
	Token  int
	Supply supply.Options
}

// Planner is the running task.
type Planner struct {
	deps         Deps
	options      Options
	supply       *supply.Planner
	allotter     *quota.Allocator
	inbox        chan any
	group        *errgroup.Group
	ctx          context.Context // Ends with the task.
	cancel       context.CancelFunc
	done         chan struct{}
	writer       *stream.Writer
	pools        []damsonwinch.Pool
	layout       shard.Layout
	syncInFlight map[string]bool
	// syncedAt is when each cell's owner was last called, and dealtAt when caps were last dealt.
	syncedAt         map[string]time.Time
	allocatedAt      time.Time
	boxesRequestedAt time.Time
	boxListInFlight  bool
	boxListReceived  bool
	// pendingRecords are records that wait for the append on its way.
	pendingRecords []damsonwinch.Record
	pendingOrders  []supply.Order
	// pendingCustomers are the customers of whom cells may be told more once that is recorded.
	pendingCustomers []string
	appendInFlight   bool
	reportInFlight   map[int]bool
	poolsLoggedAt    time.Time
	// suspendedBefore is for how long the machine had been suspended when this planner began.
	suspendedBefore time.Duration
}

// Messages to the task.
type (
	configured struct {
		configuration damsonwinch.Configuration
		layout        shard.Layout
	}
	waveRequested struct{ wave damsonwinch.Wave }
	synced        struct {
		cell  string
		reply wire.SyncReply
		err   error
	}
	boxesListed struct {
		boxes   []damsonwinch.Box
		askedAt time.Time
		err     error
	}
	appended struct {
		orders []supply.Order
		raised []string
		err    error
	}
	orderAnswered struct {
		order supply.Order
		err   error
	}
	waveReported struct {
		wave      int
		completed bool
		err       error
	}
)

// New starts to plan.
func New(deps Deps, options Options) *Planner {
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	p := &Planner{
		deps: deps, options: options, supply: supply.New(options.Supply), allotter: quota.NewAllocator(), inbox: make(chan any, inboxSize),
		writer: stream.New(stream.Deps{Store: deps.Store, Clock: deps.Clock, Metrics: deps.Metrics}, options.Stream, options.Cell, options.Token),
		group:  group, ctx: ctx, cancel: cancel, done: make(chan struct{}), syncInFlight: map[string]bool{}, syncedAt: map[string]time.Time{}, reportInFlight: map[int]bool{},
		suspendedBefore: deps.SuspendedTime.Total(),
	}
	group.Go(p.run)
	return p
}

// Done is closed once the planner has ended, by itself or not.
func (p *Planner) Done() <-chan struct{} {
	return p.done
}

// Token returns the epoch by which the fleet's cell is owned.
func (p *Planner) Token() int {
	return p.options.Token
}

// Close ends the planner and waits for its calls.
func (p *Planner) Close() error {
	p.cancel()
	if err := p.group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// Configure tells the planner the configuration in force and into how many cells each pool is
// cut.
func (p *Planner) Configure(configuration damsonwinch.Configuration, layout shard.Layout) {
	p.send(configured{configuration: configuration, layout: layout})
}

// SetWave tells the planner of a wave.
func (p *Planner) SetWave(wave damsonwinch.Wave) {
	p.send(waveRequested{wave: wave})
}

func (p *Planner) send(m any) {
	select {
	case p.inbox <- m:
	case <-p.ctx.Done():
	}
}

func (p *Planner) run() error {
	defer close(p.done)
	defer p.cancel()
	if err := p.takeOver(); err != nil {
		p.deps.Logger.WithError(err).Warn("planning not taken over")
		return err
	}
	ticker := p.deps.Clock.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		var due func() error
		select {
		case <-p.ctx.Done():
			return p.ctx.Err()
		case m := <-p.inbox:
			due = func() error { return p.handle(m) }
		case <-ticker.Chan():
			due = func() error { p.plan(); return nil }
		}
		if err := p.checkSuspension(); err != nil {
			return err
		}
		if err := due(); err != nil {
			p.deps.Logger.WithError(err).Warn("planning lost")
			return err
		}
	}
}

var errSuspended = errors.New("the machine was suspended")

// checkSuspension returns an error once the machine has been suspended: another node may plan by then,
// and what this one knows of boxes is old. It gives no order any more.
func (p *Planner) checkSuspension() error {
	slept := p.deps.SuspendedTime.Total() - p.suspendedBefore
	if slept < damsonwinch.NegligibleSleep {
		return nil
	}
	p.deps.Logger.WithField("slept_ms", slept.Milliseconds()).Warn("planning given up: the machine was suspended")
	return errSuspended
}

// takeOver loads what earlier planners recorded, after they are kept out of the stream.
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
	p.deps.Logger.WithFields(logrus.Fields{"token": p.options.Token, "records": len(records)}).Info("planning taken over")
	return nil
}

func (p *Planner) handle(m any) error {
	now := p.deps.Clock.Now()
	switch m := m.(type) {
	case configured:
		p.pools, p.layout = m.configuration.Pools, m.layout
		p.supply.SetPools(p.pools, p.layout)
		p.allotter.Configure(m.configuration.Version, m.configuration.Customers)
		if p.layout.Decided() {
			p.allotter.SetCells(now, p.cellNames())
		}
		p.allocate()
	case waveRequested:
		p.supply.SetWave(now, m.wave)
	case synced:
		delete(p.syncInFlight, m.cell)
		if m.err == nil {
			p.supply.SetReport(now, m.cell, m.reply)
			p.allotter.HandleReply(m.cell, p.options.Token, m.reply)
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
		p.supply.SetBoxes(m.askedAt, m.boxes)
	case appended:
		return p.handleAppended(m)
	case orderAnswered:
		p.handleOrderAnswer(now, m)
	case waveReported:
		delete(p.reportInFlight, m.wave)
		if m.err == nil {
			p.supply.WaveReported(m.wave, m.completed)
		}
	}
	return nil
}

func (p *Planner) handleOrderAnswer(now time.Time, m orderAnswered) {
	fields := logrus.Fields{"box": m.order.Box, "pool": m.order.Pool, "wave": m.order.Wave}
	if m.err != nil {
		p.deps.Logger.WithError(m.err).WithFields(fields).Warn("order on box not carried out")
	}
	p.supply.HandleOrderResult(now, m.order, m.err)
	if errors.Is(m.err, damsonwinch.ErrOldToken) {
		p.deps.Logger.Warn("planning lost: a newer planner has ordered")
		p.cancel()
	}
}

// plan makes the calls that are due and decides.
func (p *Planner) plan() {
	now := p.deps.Clock.Now()
	if !p.boxListInFlight && now.Sub(p.boxesRequestedAt) >= boxListInterval {
		p.boxListInFlight, p.boxesRequestedAt = true, now
		p.requestBoxList(now)
	}
	if !p.layout.Decided() {
		return
	}
	if p.boxListReceived {
		for _, order := range p.supply.Plan(now) {
			p.queueOrder(order, now)
		}
		p.flush()
		p.reportWaves()
		p.logPools(now)
	}
	p.allocateThrottled(now)
	for _, cell := range p.cellNames() {
		p.syncUnlessInFlight(cell)
	}
}

// logPools writes what the planner believes of the pools.
func (p *Planner) logPools(now time.Time) {
	if now.Sub(p.poolsLoggedAt) < poolLogInterval {
		return
	}
	p.poolsLoggedAt = now
	p.deps.Logger.WithField("pools", p.supply.Summary()).Info("pools")
	if pressed := p.allotter.Summary(); len(pressed) > 0 {
		p.deps.Logger.WithField("customers", pressed).Info("customers that want more than their allowances")
	}
}

func (p *Planner) requestBoxList(now time.Time) {
	p.group.Go(func() error {
		ctx, cancel := idle.WithTimeout(p.ctx, p.deps.Clock, callTimeout, callTimeout)
		defer cancel(nil)
		boxes, err := p.deps.Fleet.Boxes(ctx)
		p.send(boxesListed{boxes: boxes, askedAt: now, err: err})
		return nil
	})
}

// sendOrder gives a recorded sendOrder.
func (p *Planner) sendOrder(order supply.Order) {
	p.deps.Logger.WithFields(logrus.Fields{"box": order.Box, "pool": order.Pool, "wave": order.Wave, "why": order.Cause}).Info("order on box")
	holder := damsonwinch.Holder{Node: p.options.Node, Token: p.options.Token}
	p.group.Go(func() error {
		ctx, cancel := context.WithTimeout(p.ctx, callTimeout)
		defer cancel()
		var err error
		if order.Pool == "" {
			err = p.deps.Fleet.Maintain(ctx, holder, order.Box, order.Wave)
		} else {
			err = p.deps.Fleet.Move(ctx, holder, order.Box, order.Pool)
		}
		p.send(orderAnswered{order: order, err: err})
		return nil
	})
}

// reportWaves tells the operator how far the waves are.
func (p *Planner) reportWaves() {
	for _, report := range p.supply.PendingWaveReports() {
		if p.reportInFlight[report.Wave] {
			continue
		}
		p.reportInFlight[report.Wave] = true
		p.group.Go(func() error {
			stream, record := p.deps.WaveReport(report.Wave, report.Completed)
			ctx, cancel := context.WithTimeout(p.ctx, callTimeout)
			defer cancel()
			_, err := p.deps.Store.Append(ctx, stream, []damsonwinch.Record{record}, damsonwinch.Fence{})
			p.send(waveReported{wave: report.Wave, completed: report.Completed, err: err})
			return nil
		})
	}
}

// Keys of the planner's stream.
const (
	orderPrefix = "order/"
	wavePrefix  = "wave/"
)

func (p *Planner) loadRecord(record damsonwinch.Record) error {
	switch {
	case strings.HasPrefix(record.Key, orderPrefix):
		return p.loadOrder(record)
	case strings.HasPrefix(record.Key, wavePrefix):
		return p.loadWave(record)
	case strings.HasPrefix(record.Key, allocationPrefix):
		return p.loadAllocation(record)
	}
	return fmt.Errorf("record %s of the planner's stream is unknown", record.Key)
}
