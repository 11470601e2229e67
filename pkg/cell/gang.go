package cell

import (
	"slices"
	"time"
)

// sameRackWait is how long a gang that is slow across racks waits for one that holds
// it: about what its tasks lose by being spread.
const sameRackWait = 400 * time.Millisecond

// placeGang starts all tasks of a phase together, or none.
func (c *Cell) placeGang(p *phase) {
	if len(p.ready) < p.unfinishedTasks {
		// Some members are still ending.
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
	for at, t := range members {
		t.ready = false
		// All members share the attempt.
		t.lastAttempt = attempt
		c.planRun(t, chosen[at])
	}
}

// stopGang stops what runs of a gang that can't be whole, so that its members
// don't wait for one that will not come.
func (c *Cell) stopGang(p *phase, why string) {
	if !p.spec.Gang {
		return
	}
	for _, t := range p.tasks {
		for _, r := range slices.Clone(t.runs) {
			if !r.stopping {
				c.stop(r, why)
			}
		}
	}
}

// chooseGangEndpoints returns an endpoint for each waiting task of a gang, or nil.
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

// chooseGangWithLabel returns an endpoint for each waiting task of a gang among those with
// a label, or nil. Room is held for the time of the choice, so that members don't
// count on the same.
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

// racks returns the racks of the cell's endpoints, in order.
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
