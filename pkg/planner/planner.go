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
	// round is the time between two plans: a queue in time for 1.2 s is waiting for half of that already.
	round = 100 * time.Millisecond
	// boxesEvery is the time between two readings of the list of boxes.
	boxesEvery = 400 * time.Millisecond
	// callTimeout bounds a call to a cell's owner or the control of boxes. The list of
	// boxes may be silent for so long; it is as large as the fleet, 1.7 MB with 5,800.
	callTimeout = 800 * time.Millisecond
	// poolsLogged is the time between two log lines on the pools.
	poolsLogged = time.Second
	inboxSize   = 64
)

// Deps are what a planner works with.
type Deps struct {
	Store   damsonwinch.Store
	Fleet   damsonwinch.Fleet
	Clock   damsonwinch.Clock
	Logger  logrus.FieldLogger
	Metrics *metrics.Set
	// SuspendedTime tells of suspensions of the machine.
	SuspendedTime damsonwinch.SuspendedTime
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
	deps     Deps
	options  Options
	supply   *supply.Planner
	allotter *quota.Allocator
	inbox    chan any
	group    *errgroup.Group
	ctx      context.Context // Ends with the task.
	cancel   context.CancelFunc
	done     chan struct{}
	writer   *stream.Writer
	pools    []damsonwinch.Pool
	layout   shard.Layout
	syncing  map[string]bool
	// syncedAt is when each cell's owner was last called, and dealtAt when caps were last dealt.
	syncedAt map[string]time.Time
	dealtAt  time.Time
	boxesAt  time.Time
	boxesOut bool
	boxesIn  bool
	// pending are records that wait for the append on its way.
	pending   []damsonwinch.Record
	afterward []supply.Order
	// raised are the customers of whom cells may be told more once that is recorded.
	raised    []string
	appending bool
	telling   map[int]bool
	loggedAt  time.Time
	// sleptBefore is for how long the machine had been suspended when this planner began.
	sleptBefore time.Duration
}

// Messages to the task.
type (
	configured struct {
		configuration damsonwinch.Configuration
		layout        shard.Layout
	}
	waveWanted struct{ wave damsonwinch.Wave }
	synced     struct {
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
	ordered struct {
		order supply.Order
		err   error
	}
	told struct {
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
		group:  group, ctx: ctx, cancel: cancel, done: make(chan struct{}), syncing: map[string]bool{}, syncedAt: map[string]time.Time{}, telling: map[int]bool{},
		sleptBefore: deps.SuspendedTime.Total(),
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
	p.send(waveWanted{wave: wave})
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
	ticker := p.deps.Clock.NewTicker(round)
	defer ticker.Stop()
	for {
		var due func() error
		select {
		case <-p.ctx.Done():
			return p.ctx.Err()
		case m := <-p.inbox:
			due = func() error { return p.take(m) }
		case <-ticker.Chan():
			due = func() error { p.plan(); return nil }
		}
		if err := p.awake(); err != nil {
			return err
		}
		if err := due(); err != nil {
			p.deps.Logger.WithError(err).Warn("planning lost")
			return err
		}
	}
}

var errSlept = errors.New("the machine was suspended")

// awake returns an error once the machine has been suspended: another node may plan by then,
// and what this one knows of boxes is old. It gives no order any more.
func (p *Planner) awake() error {
	slept := p.deps.SuspendedTime.Total() - p.sleptBefore
	if slept < damsonwinch.NegligibleSuspension {
		return nil
	}
	p.deps.Logger.WithField("slept_ms", slept.Milliseconds()).Warn("planning given up: the machine was suspended")
	return errSlept
}

// takeOver loads what earlier planners recorded, after they are kept out of the stream.
func (p *Planner) takeOver() error {
	records, err := p.writer.TakeOver(p.ctx)
	if err != nil {
		return err
	}
	for _, record := range records {
		if err := p.recall(record); err != nil {
			return err
		}
	}
	p.deps.Logger.WithFields(logrus.Fields{"token": p.options.Token, "records": len(records)}).Info("planning taken over")
	return nil
}

func (p *Planner) take(m any) error {
	now := p.deps.Clock.Now()
	switch m := m.(type) {
	case configured:
		p.pools, p.layout = m.configuration.Pools, m.layout
		p.supply.SetPools(p.pools, p.layout)
		p.allotter.Configure(m.configuration.Version, m.configuration.Customers)
		if p.layout.Decided() {
			p.allotter.SetCells(now, p.cells())
		}
		p.deal()
	case waveWanted:
		p.supply.SetWave(now, m.wave)
	case synced:
		delete(p.syncing, m.cell)
		if m.err == nil {
			p.supply.SetReport(now, m.cell, m.reply)
			p.allotter.HandleReply(m.cell, p.options.Token, m.reply)
			p.dealPaced(now)
		}
	case boxesListed:
		p.boxesOut = false
		if m.err != nil {
			p.deps.Logger.WithError(m.err).Warn("list of boxes not read")
			return nil
		}
		if !p.boxesIn {
			p.boxesIn = true
			p.deps.OnFirstBoxList(len(m.boxes))
		}
		p.supply.SetBoxes(m.askedAt, m.boxes)
	case appended:
		return p.recorded(m)
	case ordered:
		p.takeOrdered(now, m)
	case told:
		delete(p.telling, m.wave)
		if m.err == nil {
			p.supply.Told(m.wave, m.completed)
		}
	}
	return nil
}

func (p *Planner) takeOrdered(now time.Time, m ordered) {
	fields := logrus.Fields{"box": m.order.Box, "pool": m.order.Pool, "wave": m.order.Wave}
	if m.err != nil {
		p.deps.Logger.WithError(m.err).WithFields(fields).Warn("order on box not carried out")
	}
	p.supply.Ordered(now, m.order, m.err)
	if errors.Is(m.err, damsonwinch.ErrStaleToken) {
		p.deps.Logger.Warn("planning lost: a newer planner has ordered")
		p.cancel()
	}
}

// plan makes the calls that are due and decides.
func (p *Planner) plan() {
	now := p.deps.Clock.Now()
	if !p.boxesOut && now.Sub(p.boxesAt) >= boxesEvery {
		p.boxesOut, p.boxesAt = true, now
		p.readBoxes(now)
	}
	if !p.layout.Decided() {
		return
	}
	if p.boxesIn {
		for _, order := range p.supply.Plan(now) {
			p.record(order, now)
		}
		p.flush()
		p.tell()
		p.logPools(now)
	}
	p.dealPaced(now)
	for _, cell := range p.cells() {
		p.syncOnce(cell)
	}
}

// logPools writes what the planner believes of the pools.
func (p *Planner) logPools(now time.Time) {
	if now.Sub(p.loggedAt) < poolsLogged {
		return
	}
	p.loggedAt = now
	p.deps.Logger.WithField("pools", p.supply.Summary()).Info("pools")
	if pressed := p.allotter.Summary(); len(pressed) > 0 {
		p.deps.Logger.WithField("customers", pressed).Info("customers that want more than their allowances")
	}
}

func (p *Planner) readBoxes(now time.Time) {
	p.group.Go(func() error {
		ctx, cancel := idle.WithTimeout(p.ctx, p.deps.Clock, callTimeout, callTimeout)
		defer cancel(nil)
		boxes, err := p.deps.Fleet.Boxes(ctx)
		p.send(boxesListed{boxes: boxes, askedAt: now, err: err})
		return nil
	})
}

// order gives a recorded order.
func (p *Planner) order(order supply.Order) {
	p.deps.Logger.WithFields(logrus.Fields{"box": order.Box, "pool": order.Pool, "wave": order.Wave, "why": order.Cause}).Info("order on box")
	holder := damsonwinch.Issuer{Node: p.options.Node, Token: p.options.Token}
	p.group.Go(func() error {
		ctx, cancel := context.WithTimeout(p.ctx, callTimeout)
		defer cancel()
		var err error
		if order.Pool == "" {
			err = p.deps.Fleet.Maintain(ctx, holder, order.Box, order.Wave)
		} else {
			err = p.deps.Fleet.Move(ctx, holder, order.Box, order.Pool)
		}
		p.send(ordered{order: order, err: err})
		return nil
	})
}

// tell tells the operator how far the waves are.
func (p *Planner) tell() {
	for _, report := range p.supply.Reports() {
		if p.telling[report.Wave] {
			continue
		}
		p.telling[report.Wave] = true
		p.group.Go(func() error {
			stream, record := p.deps.WaveReport(report.Wave, report.Completed)
			ctx, cancel := context.WithTimeout(p.ctx, callTimeout)
			defer cancel()
			_, err := p.deps.Store.Append(ctx, stream, []damsonwinch.Record{record}, damsonwinch.Fence{})
			p.send(told{wave: report.Wave, completed: report.Completed, err: err})
			return nil
		})
	}
}

// Keys of the planner's stream.
const (
	orderPrefix = "order/"
	wavePrefix  = "wave/"
)

func (p *Planner) recall(record damsonwinch.Record) error {
	switch {
	case strings.HasPrefix(record.Key, orderPrefix):
		return p.recallOrder(record)
	case strings.HasPrefix(record.Key, wavePrefix):
		return p.recallWave(record)
	case strings.HasPrefix(record.Key, allottedPrefix):
		return p.recallAllotted(record)
	}
	return fmt.Errorf("record %s of the planner's stream is unknown", record.Key)
}
