package planner

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// allocationPrefix, followed by a customer's name, is the key of a record in the planner's stream. The
// record holds the limits that the cells have of the customer's cap.
const allocationPrefix = "allotted/"

// loadAllocation takes over the cells' limits for a customer from the record of an earlier planner.
func (p *Planner) loadAllocation(record damsonwinch.Record) error {
	var saved wire.AllottedRecord
	if err := json.Unmarshal(record.Value, &saved); err != nil {
		return fmt.Errorf("decode record %s: %w", record.Key, err)
	}
	p.allocator.Load(strings.TrimPrefix(record.Key, allocationPrefix), saved)
	return nil
}

// cellNames returns the names of the cells that run jobs: those of all pools but the powered-off one.
func (p *Planner) cellNames() []string {
	var names []string
	for _, pool := range p.pools {
		if !pool.PoweredOff {
			names = append(names, p.layout.CellNames(pool.Name)...)
		}
	}
	return names
}

// allocate divides the customers' caps among the cells, unless the layout of the cells isn't decided
// yet. It queues records of raised limits, which must be appended before the cells are told.
func (p *Planner) allocate() {
	if !p.layout.Decided() {
		return
	}
	for _, customer := range p.allocator.Allocate(p.deps.Clock.Now()) {
		p.queueRecord(allocationPrefix+customer, p.allocator.Record(customer))
		p.pendingCustomers = append(p.pendingCustomers, customer)
	}
	p.flush()
}

// Gaps between allocation rounds and between calls, in both cases multiplied by the number of cells. The
// cost of a round is proportional to that number. With a round for each reply of a cell the total cost
// would grow with its square, and the planner may run on a weak node.
const (
	// allocationGapPerCell is the minimum time between two allocation rounds.
	allocationGapPerCell = 2 * time.Millisecond
	// sendGapPerCell is the minimum time between two calls to the same owner to send allowances.
	// Calls are costly: the owner records what it is told and replies with reports on all its
	// endpoints.
	sendGapPerCell = 5 * time.Millisecond
)

// allocateThrottled runs an allocation round and sends the changed allowances. It does nothing if the
// last round was too recent; a later reply or plan calls it again.
func (p *Planner) allocateThrottled(now time.Time) {
	if now.Sub(p.allocatedAt) < time.Duration(len(p.cellNames()))*allocationGapPerCell {
		return
	}
	p.allocatedAt = now
	p.allocate()
	p.sendAllowances()
}

// sendAllowances calls the owners of the cells for which there are unsent allowances. It doesn't wait
// for the next plan, because a customer's work moves from pool to pool within a second and waits in the
// new pool until the allowance has moved too. An owner is not called within the gap after the last call.
func (p *Planner) sendAllowances() {
	cells := p.cellNames()
	now, gap := p.deps.Clock.Now(), time.Duration(len(cells))*sendGapPerCell
	for _, cell := range cells {
		if p.allocator.HasUpdate(cell) && now.Sub(p.syncedAt[cell]) >= gap {
			p.syncUnlessInFlight(cell)
		}
	}
}
