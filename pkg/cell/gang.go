package cell

import (
	"slices"
	"time"
)

// sameRackWait is how long a gang that should run on one rack waits for a rack that can hold all of
// it. It is about as long as the gang's tasks are delayed by being spread over racks.
const sameRackWait = 400 * time.Millisecond

// placeGang starts all tasks of a gang together, or none. It waits until all unfinished members are
// ready.
func (c *Cell) placeGang(p *phase) {
	if len(p.ready) < p.unfinishedTasks {
		// Runs of some members have not ended yet.
		return
	}
	if len(p.ready) > 0 && p.ready[0].lastAttempt == 0 && !c.recordHolds(p.round, len(p.ready)) {
		return
	}
	if !c.withinQuota(p, len(p.ready)) {
		return
	}
	chosen := c.chooseGangEndpoints(p)
	if chosen == nil {
		return
	}
	attempt := 0
	for _, t := range p.tasks {
		attempt = max(attempt, t.lastAttempt)
	}
	members := p.ready
	p.ready, p.gangReadySince = nil, time.Time{}
	for i, t := range members {
		t.ready = false
		// All members use the same attempt number.
		t.lastAttempt = attempt
		c.planRun(t, chosen[i])
	}
}

// saveCheckpoint notes the newest checkpoint of a task, unless it is empty. The checkpoint of any member of a gang is
// good for the gang, and all members must be started with the same one, so each member takes it over.
func (t *task) saveCheckpoint(checkpoint string) {
	if checkpoint == "" {
		return
	}
	t.checkpoint = checkpoint
	if !t.phase.spec.Gang {
		return
	}
	for _, member := range t.phase.tasks {
		member.checkpoint = checkpoint
	}
}

// stopGang stops all runs of a gang of which one member can't run, since the others would wait for
// that one. It does nothing for other phases.
func (c *Cell) stopGang(p *phase, reason string) {
	if !p.spec.Gang {
		return
	}
	for _, t := range p.tasks {
		for _, r := range slices.Clone(t.runs) {
			if !r.stopping {
				c.stop(r, reason)
			}
		}
	}
}

// chooseGangEndpoints returns an endpoint for each ready task of a gang, or nil if they can't all
// start now. A gang that should run on one rack is spread over racks only after sameRackWait.
func (c *Cell) chooseGangEndpoints(p *phase) []*endpoint {
	if p.gangReadySince.IsZero() {
		p.gangReadySince = c.now
	}
	if !p.spec.SameRack {
		return c.chooseGangWithLabel(p, "")
	}
	for _, rack := range c.racks() {
		if chosen := c.chooseGangWithLabel(p, rack); chosen != nil {
			return chosen
		}
	}
	if c.now.Sub(p.gangReadySince) < sameRackWait {
		return nil
	}
	return c.chooseGangWithLabel(p, "")
}

// chooseGangWithLabel returns an endpoint with the given label for each ready task of a gang, or
// nil if they can't all start now. During the choice it occupies the capacity that the members
// chosen so far need, so that no two of them rely on the same.
func (c *Cell) chooseGangWithLabel(p *phase, label string) []*endpoint {
	chosen := make([]*endpoint, 0, len(p.ready))
	p.gangReserved = map[*endpoint]int{}
	defer func() {
		for _, e := range chosen {
			c.release(e, p.need())
		}
		p.gangReserved = nil
	}()
	for _, t := range p.ready {
		e := c.chooseEndpoint(t, label)
		if e == nil {
			return nil
		}
		chosen = append(chosen, e)
		c.occupy(e, p.need())
		p.gangReserved[e]++
	}
	return chosen
}

// racks returns the racks of the cell's endpoints in sorted order.
func (c *Cell) racks() []string {
	var found []string
	for _, e := range c.sortedEndpoints {
		if e.info.Rack != "" && !slices.Contains(found, e.info.Rack) {
			found = append(found, e.info.Rack)
		}
	}
	slices.Sort(found)
	return found
}
