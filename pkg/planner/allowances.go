package planner

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"damsonwinch"
	"damsonwinch/pkg/wire"
)

// allottedPrefix starts the keys of records of what cells may have running of a customer.
const allottedPrefix = "allotted/"

func (p *Planner) recallAllotted(record damsonwinch.Record) error {
	var saved wire.AllottedRecord
	if err := json.Unmarshal(record.Value, &saved); err != nil {
		return fmt.Errorf("read %s: %w", record.Key, err)
	}
	p.allotter.Load(strings.TrimPrefix(record.Key, allottedPrefix), saved)
	return nil
}

// cells returns the names of the cells that run jobs.
func (p *Planner) cells() []string {
	var names []string
	for _, pool := range p.pools {
		if !pool.PoweredOff {
			names = append(names, p.layout.CellNames(pool.Name)...)
		}
	}
	return names
}

// deal deals the customers' caps to the cells. What is raised is recorded first.
func (p *Planner) deal() {
	if !p.layout.Decided() {
		return
	}
	for _, customer := range p.allotter.Allocate(p.deps.Clock.Now()) {
		p.add(allottedPrefix+customer, p.allotter.Record(customer))
		p.raised = append(p.raised, customer)
	}
	p.flush()
}

// Pace of dealing: a round costs as much as there are cells, and if each reply brought one there
// would be as many rounds. The planner may be on a weak node.
const (
	// dealGap is the least time between two rounds of dealing, for each cell.
	dealGap = 2 * time.Millisecond
	// newsGap is the least time between two calls of one owner because of news, for each cell: the
	// owner records what it is told, and its reply tells of all its endpoints.
	newsGap = 5 * time.Millisecond
)

// dealPaced deals the customers' caps and has the news told, unless that was done just now: the
// next reply or plan has it done.
func (p *Planner) dealPaced(now time.Time) {
	if now.Sub(p.dealtAt) < time.Duration(len(p.cells()))*dealGap {
		return
	}
	p.dealtAt = now
	p.deal()
	p.tellNews()
}

// tellNews calls the owners of cells that may have more or less running from now on: a customer's
// work goes from pool to pool within a second, and waits until its allowance has followed.
func (p *Planner) tellNews() {
	cells := p.cells()
	now, gap := p.deps.Clock.Now(), time.Duration(len(cells))*newsGap
	for _, cell := range cells {
		if p.allotter.HasUpdate(cell) && now.Sub(p.syncedAt[cell]) >= gap {
			p.syncOnce(cell)
		}
	}
}
