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
	Shard  int
	Before int
	// Wave is what it is maintained for.
	Wave int
	// Endpoint is the life that runs on the box, empty for none.
	Endpoint damsonwinch.Life
	Cause    string
}

// Wishes are what the planner wants of one cell's endpoints.
type Wishes struct {
	Withdraw []string
	Hurry    []string
	Restore  []string
	// Gone are endpoints that have ended for certain.
	Gone []string
	// Due are those whose boxes are still to be maintained.
	Due []string
}

// Planner keeps what it has decided until that is done.
type Planner struct {
	options Options
	now     time.Time
	layout  shard.Layout
	// cells are the pools' parts, by their names, which stand in order in names.
	cells map[string]*cell
	names []string
	boxes map[string]*box
	order []*box
	// byCell holds the boxes of each cell in order of their names.
	byCell map[string][]*box
	census census
	// cutZones are the zones whose boxes the cells can't reach.
	cutZones map[string]bool
	waves    map[int]*wave
	// boxesAt is when the list of boxes was asked for.
	boxesAt time.Time
	orders  []Order
	waits   map[string]string
}

// New returns a planner that knows nothing yet.
func New(options Options) *Planner {
	return &Planner{options: options, cells: map[string]*cell{}, boxes: map[string]*box{}, waves: map[int]*wave{}, waits: map[string]string{}}
}

// SetPools takes the pools of the configuration in force and the layout of their cells.
func (p *Planner) SetPools(pools []damsonwinch.Pool, layout shard.Layout) {
	p.setLayout(layout)
	known := map[string]*cell{}
	p.names = p.names[:0]
	for _, listed := range pools {
		for number, name := range layout.CellNames(listed.Name) {
			kept := p.cells[name]
			if kept == nil {
				kept = &cell{name: name, pool: listed.Name, shard: number}
			}
			kept.parking, kept.shards = listed.PoweredOff, layout.Shards
			known[name] = kept
			p.names = append(p.names, name)
		}
	}
	slices.Sort(p.names)
	p.cells = known
}

// setLayout puts the boxes into their shards.
func (p *Planner) setLayout(layout shard.Layout) {
	if p.layout.Equal(layout) {
		return
	}
	p.layout = layout
	for _, b := range p.order {
		p.place(b)
	}
	p.groupBoxes()
}

// SetReport takes how a cell is. A cell that can't be asked has no report.
func (p *Planner) SetReport(now time.Time, name string, report wire.SyncReply) {
	if known := p.cells[name]; known != nil {
		known.report, known.reportedAt, known.unread = report, now, true
	}
}

// Plan decides what is to be done now.
func (p *Planner) Plan(now time.Time) []Order {
	p.now = now
	p.orders = nil
	p.readReports()
	p.findCutZones()
	p.countBoxes()
	p.learnNeeds()
	p.maintain()
	p.fillCells()
	p.releaseSurplus()
	p.orderWithdrawn()
	return p.orders
}

// Wishes returns what is wanted of a cell's endpoints.
func (p *Planner) Wishes(name string) Wishes {
	var wishes Wishes
	for _, b := range p.byCell[name] {
		if b.info.EndpointID == "" {
			continue
		}
		if p.dueWave(b) != nil {
			wishes.Due = append(wishes.Due, b.life.String())
		}
		switch {
		case b.purpose != nil && b.purpose.hurry:
			wishes.Hurry = append(wishes.Hurry, b.life.String())
		case b.purpose != nil:
			wishes.Withdraw = append(wishes.Withdraw, b.life.String())
		case b.report != nil && b.report.Withdrawn && b.ordered == nil:
			wishes.Restore = append(wishes.Restore, b.life.String())
		}
	}
	if known := p.cells[name]; known != nil {
		wishes.Gone = p.gone(known)
	}
	return wishes
}

// gone returns the endpoints that a cell has reported and that a list of
// boxes asked for later doesn't show any more.
func (p *Planner) gone(known *cell) []string {
	if !known.fresh(p.now) || !p.boxesAt.After(known.reportedAt) {
		return nil
	}
	var found []string
	for _, entry := range known.report.Endpoints {
		b := p.boxes[entry.Box]
		if b != nil && (b.info.EndpointID != damsonwinch.ParseLife(entry.Endpoint).ID || b.info.State != damsonwinch.BoxUp) {
			found = append(found, entry.Endpoint)
		}
	}
	return found
}

// Waits says what is wanted and can't be done now, for operators.
func (p *Planner) Waits() map[string]string {
	return p.waits
}

// learnLife takes note of a life that is reported on a box. It says whether the box is in
// another cell by that.
func (p *Planner) learnLife(b *box, life damsonwinch.Life) bool {
	if life == b.life {
		return false
	}
	if !life.MayBeSame(b.life) {
		// The list of boxes may not have shown that one ended and another came.
		b.dropPurpose()
	}
	b.life = life
	before := b.shard
	p.place(b)
	return b.shard != before
}

// readReports ties the cells' reports to the boxes.
func (p *Planner) readReports() {
	moved := false
	for _, b := range p.order {
		b.report = nil
	}
	for _, name := range p.names {
		known := p.cells[name]
		if !known.fresh(p.now) {
			continue
		}
		for at := range known.report.Endpoints {
			entry := &known.report.Endpoints[at]
			life := damsonwinch.ParseLife(entry.Endpoint)
			if b := p.boxes[entry.Box]; b != nil && b.info.EndpointID == life.ID {
				b.report = entry
				moved = p.learnLife(b, life) || moved
			}
		}
	}
	if moved {
		p.groupBoxes()
	}
}

// parkingPool returns the pool whose boxes are off, if there is one.
func (p *Planner) parkingPool() (string, bool) {
	for _, name := range p.names {
		if p.cells[name].parking {
			return p.cells[name].pool, true
		}
	}
	return "", false
}

// wholeBoxCPU returns the processor room of a cell's usual box.
func (p *Planner) wholeBoxCPU(name string) int {
	most := 0
	for _, b := range p.byCell[name] {
		most = max(most, b.info.Capacity.MilliCPU)
	}
	if most > 0 {
		return most
	}
	for _, b := range p.order {
		most = max(most, b.info.Capacity.MilliCPU)
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
