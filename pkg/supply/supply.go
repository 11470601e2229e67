// Package supply decides which pool has which boxes and when each is maintained.
// It is pure: what the cells report, the platform's list of boxes and the waves go
// in; orders on boxes and wishes to the cells come out. A box is taken only after
// the owner of its cell has recorded that nothing runs there and nothing will.
package supply

import (
	"cmp"
	"slices"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/shard"
	"damsonwinch/pkg/wire"
)

// Options are what the planner weighs and how long things take.
type Options struct {
	// MoveTime and MaintainTime are what the platform takes.
	MoveTime     time.Duration
	MaintainTime time.Duration
	// ScaleDownDelay is how long a pool keeps boxes after it has needed them last: moves
	// to and fro cost more than the boxes' time.
	ScaleDownDelay time.Duration
	// TakeoverDelay is the time between the orders of two holders for one box.
	TakeoverDelay time.Duration
}

// Order is an order on a box.
type Order struct {
	Box string
	// Pool is where it moves to; empty for maintenance.
	Pool string
	// Shard is the one to which it belongs after that, and Before the one until then.
	Shard         int
	PreviousShard int
	// Wave is what it is maintained for.
	Wave int
	// Life is the life that runs on the box, empty for none.
	Life  damsonwinch.Life
	Cause string
}

// Directives are what the planner wants of one cell's endpoints.
type Directives struct {
	Withdraw         []string
	WithdrawUrgently []string
	Restore          []string
	// Exited are endpoints that have ended for certain.
	Exited []string
	// DueForMaintenance are those whose boxes are still to be maintained.
	DueForMaintenance []string
}

// Planner keeps what it has decided until that is done.
type Planner struct {
	options Options
	now     time.Time
	layout  shard.Layout
	// cells are the pools' parts, by their names, which stand in order in names.
	cells       map[string]*cell
	cellNames   []string
	boxes       map[string]*box
	boxesByName []*box
	// boxesByCell holds the boxes of each cell in order of their names.
	boxesByCell map[string][]*box
	boxCounts   boxCounts
	// cutOffZones are the zones whose boxes the cells can't reach.
	cutOffZones map[string]bool
	waves       map[int]*wave
	// boxesRequestedAt is when the list of boxes was asked for.
	boxesRequestedAt time.Time
	orders           []Order
	shortages        map[string]string
}

// New returns a planner that knows nothing yet.
func New(options Options) *Planner {
	return &Planner{options: options, cells: map[string]*cell{}, boxes: map[string]*box{}, waves: map[int]*wave{}, shortages: map[string]string{}}
}

// SetPools takes the pools of the configuration in force and the layout of their cells.
func (p *Planner) SetPools(pools []damsonwinch.Pool, layout shard.Layout) {
	p.setLayout(layout)
	known := map[string]*cell{}
	p.cellNames = p.cellNames[:0]
	for _, listed := range pools {
		for number, name := range layout.CellNames(listed.Name) {
			kept := p.cells[name]
			if kept == nil {
				kept = &cell{name: name, pool: listed.Name, shard: number}
			}
			kept.poweredOff, kept.shards = listed.Parking, layout.Shards
			known[name] = kept
			p.cellNames = append(p.cellNames, name)
		}
	}
	slices.Sort(p.cellNames)
	p.cells = known
}

// setLayout puts the boxes into their shards.
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

// SetReport takes how a cell is. A cell that can't be asked has no report.
func (p *Planner) SetReport(now time.Time, name string, report wire.SyncReply) {
	if known := p.cells[name]; known != nil {
		known.report, known.reportedAt, known.reportIsNew = report, now, true
	}
}

// Plan decides what is to be done now.
func (p *Planner) Plan(now time.Time) []Order {
	p.now = now
	p.orders = nil
	p.attachReports()
	p.findCutOffZones()
	p.countBoxes()
	p.updateDemands()
	p.planWaves()
	p.fillCells()
	p.powerOffSurplus()
	p.issueDueOrders()
	return p.orders
}

// Directives returns what is wanted of a cell's endpoints.
func (p *Planner) Directives(name string) Directives {
	var wishes Directives
	for _, b := range p.boxesByCell[name] {
		if b.info.Endpoint == "" {
			continue
		}
		if p.dueWave(b) != nil {
			wishes.DueForMaintenance = append(wishes.DueForMaintenance, b.life.String())
		}
		switch {
		case b.planned != nil && b.planned.urgent:
			wishes.WithdrawUrgently = append(wishes.WithdrawUrgently, b.life.String())
		case b.planned != nil:
			wishes.Withdraw = append(wishes.Withdraw, b.life.String())
		case b.report != nil && b.report.Withdrawn && b.issued == nil:
			wishes.Restore = append(wishes.Restore, b.life.String())
		}
	}
	if known := p.cells[name]; known != nil {
		wishes.Exited = p.exitedEndpoints(known)
	}
	return wishes
}

// exitedEndpoints returns the endpoints that a cell has reported and that a list of
// boxes asked for later doesn't show any more.
func (p *Planner) exitedEndpoints(known *cell) []string {
	if !known.hasFreshReport(p.now) || !p.boxesRequestedAt.After(known.reportedAt) {
		return nil
	}
	var found []string
	for _, entry := range known.report.Endpoints {
		b := p.boxes[entry.Box]
		if b != nil && (b.info.Endpoint != damsonwinch.ParseLife(entry.Endpoint).ID || b.info.State != damsonwinch.BoxUp) {
			found = append(found, entry.Endpoint)
		}
	}
	return found
}

// Shortages says what is wanted and can't be done now, for operators.
func (p *Planner) Shortages() map[string]string {
	return p.shortages
}

// updateLife takes note of a life that is reported on a box. It says whether the box is in
// another cell by that.
func (p *Planner) updateLife(b *box, life damsonwinch.Life) bool {
	if life == b.life {
		return false
	}
	if !life.MayBe(b.life) {
		// The list of boxes may not have shown that one ended and another came.
		b.dropPlannedOrder()
	}
	b.life = life
	before := b.shard
	p.updateShard(b)
	return b.shard != before
}

// attachReports ties the cells' reports to the boxes.
func (p *Planner) attachReports() {
	moved := false
	for _, b := range p.boxesByName {
		b.report = nil
	}
	for _, name := range p.cellNames {
		known := p.cells[name]
		if !known.hasFreshReport(p.now) {
			continue
		}
		for at := range known.report.Endpoints {
			entry := &known.report.Endpoints[at]
			life := damsonwinch.ParseLife(entry.Endpoint)
			if b := p.boxes[entry.Box]; b != nil && b.info.Endpoint == life.ID {
				b.report = entry
				moved = p.updateLife(b, life) || moved
			}
		}
	}
	if moved {
		p.groupBoxesByCell()
	}
}

// poweredOffPool returns the pool whose boxes are off, if there is one.
func (p *Planner) poweredOffPool() (string, bool) {
	for _, name := range p.cellNames {
		if p.cells[name].poweredOff {
			return p.cells[name].pool, true
		}
	}
	return "", false
}

// maxBoxCPU returns the processor room of a cell's usual box.
func (p *Planner) maxBoxCPU(name string) int {
	most := 0
	for _, b := range p.boxesByCell[name] {
		most = max(most, b.info.Capacity.CPU)
	}
	if most > 0 {
		return most
	}
	for _, b := range p.boxesByName {
		most = max(most, b.info.Capacity.CPU)
	}
	return most
}

// sortBoxes returns boxes in order of a cost, equal ones by their names.
func sortBoxes(boxes []*box, cost func(b *box) int) []*box {
	slices.SortStableFunc(boxes, func(a, b *box) int {
		return cmp.Or(cmp.Compare(cost(a), cost(b)), cmp.Compare(a.info.Name, b.info.Name))
	})
	return boxes
}
