// Package boxplan decides which pool has which boxes and when each box is maintained.
// It does no I/O and reads no clock. Its inputs are the cells' reports, the platform's list of
// boxes and the maintenance waves. Its outputs are orders on boxes and directives to the owners
// of the cells. It issues an order on a box only after the owner of the box's cell has recorded
// that nothing runs there and that nothing more will be started.
package boxplan

import (
	"cmp"
	"slices"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/wire"
)

// Options are the durations that a Planner uses in its decisions.
type Options struct {
	// MoveTime and MaintainTime are how long the platform takes to move and to maintain a box.
	MoveTime     time.Duration
	MaintainTime time.Duration
	// ScaleDownDelay is how long a cell whose jobs have the default slack keeps boxes after it last
	// needed them. With other slacks the time is proportionally longer or shorter. Moving a box away
	// and back costs more than keeping it.
	ScaleDownDelay time.Duration
	// TakeoverDelay is the minimum time between an order of one planner on a box and an order of
	// its successor on the same box.
	TakeoverDelay time.Duration
	// EvacuationPowerOffDelay is how long a zone must have been evacuated until its boxes are powered
	// off as far as nothing runs there; 0 for never.
	EvacuationPowerOffDelay time.Duration
	// OrdersPerSecond is how many orders the platform takes in a second; 0 for no limit.
	OrdersPerSecond int
	// PowerOffsPerSecond is how many boxes the platform can power off in a second; 0 for no limit. No more
	// than that are being withdrawn for it at a time.
	PowerOffsPerSecond int
}

// Order is an order to the platform to move a box to another pool or to maintain it.
type Order struct {
	Box string
	// Pool is the pool to which the box moves; empty for maintenance.
	Pool string
	// Shard is the shard of the box after the order has been carried out, PreviousShard its shard
	// until then.
	Shard         int
	PreviousShard int
	// Wave is the number of the wave for which the box is maintained; 0 for a move.
	Wave int
	// Life is the endpoint's life on the box, which the order ends; empty if none runs there.
	Life damsonwinch.Life
	// Cause tells operators why the order is issued.
	Cause string
}

// Directives tell the owner of one cell what to do with its endpoints, and what the planner knows
// about them. Each list holds lives in the form of damsonwinch.Life.String.
type Directives struct {
	// Withdraw lists endpoints that must start nothing more, so that they become empty.
	Withdraw []string
	// WithdrawUrgently lists endpoints that must start nothing more and whose tasks must be stopped
	// and run elsewhere instead of being waited for.
	WithdrawUrgently []string
	// Restore lists withdrawn endpoints that may be used again.
	Restore []string
	// Exited lists endpoints that have exited by the newest list of boxes, unless they have answered the owner since the
	// report BoxesAfter: the newest one that the planner had when it requested the list.
	Exited     []string
	BoxesAfter ReportID
	// DueForMaintenance lists endpoints whose boxes are still to be maintained in a wave: a
	// long-running task that starts there will have to move again.
	DueForMaintenance []string
}

// Planner decides which boxes move and which are maintained. It remembers each decision until it
// has been carried out.
type Planner struct {
	options Options
	// now is the time of the newest call of Plan.
	now    time.Time
	layout shard.Layout
	// cells are all pools' cells by name; cellNames are their names in order.
	cells     map[string]*cell
	cellNames []string
	// boxes are all boxes by name; boxesByName are the same boxes in order of their names.
	boxes       map[string]*box
	boxesByName []*box
	// boxesByCell holds the boxes of each cell in order of their names.
	boxesByCell map[string][]*box
	boxCounts   boxCounts
	// liveEndpoints holds the endpoints that may run by the newest list of boxes.
	liveEndpoints damsonwinch.LiveEndpoints
	// cutOffZones are the zones whose boxes the owners of the cells can't reach.
	cutOffZones map[string]bool
	// evacuatedZones holds since when the operator has wanted no task to start in a zone.
	evacuatedZones map[string]time.Time
	// waves are the maintenance waves by number.
	waves map[int]*wave
	// boxesRequestedAt is when the newest list of boxes was requested.
	boxesRequestedAt time.Time
	// notedList is the request time of the newest list that Plan has seen, and listedAt when it did.
	notedList, listedAt time.Time
	// orderAcceptedAt is when the platform last accepted an order. orderFailedAt is when an order was last refused or left
	// unanswered, zero if one has been accepted since.
	orderAcceptedAt, orderFailedAt time.Time
	// recordedLives holds the lives of the orders that an earlier planner has recorded, by their IDs.
	recordedLives map[string][]damsonwinch.Life
	// firstReportAt is when the first report of an owner arrived.
	firstReportAt time.Time
	// restoredUnlisted holds the IDs of the endpoints that owners were asked to use again before the first list.
	restoredUnlisted map[string]bool
	// orders are the orders issued by the call of Plan in progress, and spareBoxes the boxes that it can
	// give to any cell; nil before it has looked for them.
	orders     []Order
	spareBoxes *spareBoxes
	orderPace  orderPace
	// boxesExamined counts how often the newest call of Plan has looked at a box to find one that suits.
	boxesExamined int
	// shortages holds texts for operators, by cell name; see Shortages.
	shortages map[string]string
}

// New returns a Planner without pools, boxes and waves.
func New(options Options) *Planner {
	return &Planner{
		options: options, cells: map[string]*cell{}, boxes: map[string]*box{}, waves: map[int]*wave{}, shortages: map[string]string{},
		orderPace: orderPace{perSecond: options.OrdersPerSecond}, recordedLives: map[string][]damsonwinch.Life{}, restoredUnlisted: map[string]bool{},
	}
}

// SetPools sets the pools of the configuration in force and the layout of their cells. Cells
// that existed before keep their state.
func (p *Planner) SetPools(pools []damsonwinch.Pool, layout shard.Layout) {
	p.setLayout(layout)
	cells := map[string]*cell{}
	p.cellNames = p.cellNames[:0]
	for _, pool := range pools {
		for number, name := range layout.CellNames(pool.Name) {
			c := p.cells[name]
			if c == nil {
				c = &cell{name: name, pool: pool.Name, shard: number}
			}
			c.poweredOff, c.shards = pool.PoweredOff, layout.Shards
			cells[name] = c
			p.cellNames = append(p.cellNames, name)
		}
	}
	slices.Sort(p.cellNames)
	p.cells = cells
}

// setLayout recomputes the shards of all boxes if the layout has changed.
func (p *Planner) setLayout(layout shard.Layout) {
	if p.layout.Equal(layout) {
		return
	}
	p.layout = layout
	for _, b := range p.boxesByName {
		p.updateShard(b)
	}
	p.groupBoxesByCell()
}

// SetReport stores the report of a cell's owner, received at now. A report of a cell that doesn't
// exist is ignored, and so is that of an owner which doesn't know its cell yet while there is a fresh one.
func (p *Planner) SetReport(now time.Time, cellName string, report wire.SyncReply) {
	c := p.cells[cellName]
	if c == nil || !report.Known && c.hasFreshReport(now) {
		return
	}
	c.report, c.reportedAt, c.reportIsNew = report, now, true
	if p.firstReportAt.IsZero() {
		p.firstReportAt = now
	}
	c.reportFollows = c.directedAt
	c.updateReportedSince()
}

// Plan makes the decisions that are due at now and returns the orders to send to the platform: new
// ones, and those to be repeated because the platform has not accepted them. While there are more than
// the platform takes, boxes that have already been withdrawn from their cells go first, and boxes that
// nobody needs any more go last.
func (p *Planner) Plan(now time.Time) []Order {
	p.now = now
	p.orders, p.spareBoxes, p.boxesExamined = nil, nil, 0
	p.orderPace.advance(now)
	p.noteList()
	p.attachReports()
	p.dropObsoleteOrders()
	p.findCutOffZones()
	p.updatePlansForEvacuations()
	p.countBoxes()
	p.updateDemands()
	p.takeBackMovesInOutage()
	p.planWaves()
	p.keepBoxesForLongRunning()
	p.issueDueOrders()
	p.replaceSlowMoves()
	p.takeBackSlowMoves()
	p.fillCells()
	p.powerOffSurplus()
	p.powerOffEvacuatedZones()
	p.issueDuePowerOffs()
	return p.orders
}

// Directives returns the directives to the owner of a cell by the decisions made so far. They are
// repeated until they have been followed.
func (p *Planner) Directives(cellName string) Directives {
	var directives Directives
	for _, b := range p.boxesByCell[cellName] {
		if b.info.EndpointID == "" {
			continue
		}
		if p.dueWave(b) != nil {
			directives.DueForMaintenance = append(directives.DueForMaintenance, b.life.String())
		}
		switch {
		case b.planned != nil && b.planned.urgent:
			directives.WithdrawUrgently = append(directives.WithdrawUrgently, b.life.String())
		case b.planned != nil, p.needsWithdrawalAnew(b):
			directives.Withdraw = append(directives.Withdraw, b.life.String())
		case b.report != nil && b.report.Withdrawn && b.issued == nil:
			directives.Restore = append(directives.Restore, b.life.String())
			b.restoredAt = p.now
		}
	}
	if c := p.cells[cellName]; c != nil {
		directives.Exited, directives.BoxesAfter = p.exitedEndpoints(c), c.boxesAfter
		if !p.hasList() {
			directives.Restore = p.restoreUnlisted(c)
		}
		c.directedAt = p.now
	}
	return directives
}

// BoxesExamined returns how often the newest call of Plan has looked at a box to find one that suits: a
// measure of its cost that should grow no faster than the fleet.
func (p *Planner) BoxesExamined() int {
	return p.boxesExamined
}

// Shortages returns, by cell name, a text for operators on the boxes that the cell lacks and that no
// other cell can give. The next call of Plan changes the map.
func (p *Planner) Shortages() map[string]string {
	return p.shortages
}

// updateLife sets the life on a box to the one that its cell has reported. It drops the planned order
// if that is another life, and reports whether the shard of the box has changed.
func (p *Planner) updateLife(b *box, life damsonwinch.Life) bool {
	if life == b.life {
		return false
	}
	if !life.MayBeSame(b.life) {
		// The earlier life has exited. The list of boxes need not have shown that.
		b.dropPlannedOrder()
	}
	b.life = life
	before := b.shard
	p.updateShard(b)
	return b.shard != before
}

// attachReports sets the report of each box to the one on its endpoint in the fresh reports of the
// cells, and to nil without one.
func (p *Planner) attachReports() {
	moved := false
	for _, b := range p.boxesByName {
		b.report = nil
	}
	for _, name := range p.cellNames {
		c := p.cells[name]
		if !c.hasFreshReport(p.now) {
			continue
		}
		for i := range c.report.Endpoints {
			reported := &c.report.Endpoints[i]
			life := damsonwinch.ParseLife(reported.Endpoint)
			if b := p.boxes[reported.Box]; b != nil && b.info.EndpointID == life.ID {
				b.report = reported
				moved = p.updateLife(b, life) || moved
			}
		}
	}
	if moved {
		p.groupBoxesByCell()
	}
}

// poweredOffPool returns the name of the pool whose boxes are powered off, and whether there is one.
func (p *Planner) poweredOffPool() (string, bool) {
	for _, name := range p.cellNames {
		if p.cells[name].poweredOff {
			return p.cells[name].pool, true
		}
	}
	return "", false
}

// maxBoxCPU returns the CPU capacity, in thousandths of a core, of a cell's largest box. For a cell
// without boxes it returns that of the largest box of all.
func (p *Planner) maxBoxCPU(cellName string) int {
	largest := 0
	for _, b := range p.boxesByCell[cellName] {
		largest = max(largest, b.info.Capacity.MilliCPU)
	}
	if largest > 0 {
		return largest
	}
	for _, b := range p.boxesByName {
		largest = max(largest, b.info.Capacity.MilliCPU)
	}
	return largest
}

// sortBoxes sorts boxes in place by a cost, boxes of equal cost by name, and returns them.
func sortBoxes(boxes []*box, cost func(b *box) int) []*box {
	slices.SortStableFunc(boxes, func(a, b *box) int {
		return cmp.Or(cmp.Compare(cost(a), cost(b)), cmp.Compare(a.info.Name, b.info.Name))
	})
	return boxes
}
