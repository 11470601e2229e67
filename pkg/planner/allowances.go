package planner

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// allocationPrefix starts the keys of records of what cells may have running of a customer.
const allocationPrefix = "allotted/"

func (p *Planner) loadAllocation(record damsonwinch.Record) error {
	var saved wire.AllottedRecord
	if err := json.Unmarshal(record.Value, &saved); err != nil {
		return fmt.Errorf("read %s: %w", record.Key, err)
	}
	p.allotter.Load(strings.TrimPrefix(record.Key, allocationPrefix), saved)
	return nil
}

// cellNames returns the names of the cellNames that run jobs.
func (p *Planner) cellNames() []string {
	var names []string
	for _, pool := range p.pools {
		if !pool.Parking {
			names = append(names, p.layout.CellNames(pool.Name)...)
		}
	}
	return names
}

// allocate deals the customers' caps to the cells. What is raised is recorded first.
func (p *Planner) allocate() {
	if !p.layout.Decided() {
		return
	}
	for _, customer := range p.allotter.Allocate(p.deps.Clock.Now()) {
		p.queueRecord(allocationPrefix+customer, p.allotter.Record(customer))
		p.pendingCustomers = append(p.pendingCustomers, customer)
	}
	p.flush()
}

// Pace of dealing: a round costs as much as there are cells, and if each reply brought one there
// would be as many rounds. The planner may be on a weak node.
const (
	// allocationGapPerCell is the least time between two rounds of dealing, for each cell.
	allocationGapPerCell = 2 * time.Millisecond
	// sendGapPerCell is the least time between two calls of one owner because of news, for each cell: the
	// owner records what it is told, and its reply tells of all its endpoints.
	sendGapPerCell = 5 * time.Millisecond
)

// allocateThrottled deals the customers' caps and has the news told, unless that was done just now: the
// next reply or plan has it done.
func (p *Planner) allocateThrottled(now time.Time) {
	if now.Sub(p.allocatedAt) < time.Duration(len(p.cellNames()))*allocationGapPerCell {
		return
	}
	p.allocatedAt = now
	p.allocate()
	p.sendAllowances()
}

// sendAllowances calls the owners of cells that may have more or less running from now on: a customer's
// work goes from pool to pool within a second, and waits until its allowance has followed.
func (p *Planner) sendAllowances() {
	cells := p.cellNames()
	now, gap := p.deps.Clock.Now(), time.Duration(len(cells))*sendGapPerCell
	for _, cell := range cells {
		if p.allotter.HasUpdate(cell) && now.Sub(p.syncedAt[cell]) >= gap {
			p.syncUnlessInFlight(cell)
		}
	}
}
